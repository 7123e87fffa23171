//! One entry instance's decisions: the machines, and how events reach them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use fescuewell_budget::ledger::Ledger;
use fescuewell_claims::arbiter::Arbiter;
use fescuewell_claims::client::Client;
use fescuewell_core::prelude::*;
use fescuewell_core::table;
use fescuewell_document::model::Document;
use fescuewell_forward::crash::Quarantine;
use fescuewell_membership::drain::Drain;
use fescuewell_membership::gossip::Gossip;
use fescuewell_membership::member::{Me, Members};
use fescuewell_membership::propagate::Propagation;
use fescuewell_membership::slots::Keeper;
use fescuewell_queue::admission::Admission;
use fescuewell_queue::retry;
use fescuewell_routing::router::Router;
use fescuewell_routing::server::Ticket as RouteTicket;

use crate::assembly::Collector;
use crate::catalog::Catalog;
use crate::estimate::Usual;
use crate::event::{Action, Component, Event as NodeEvent};
use crate::limits::Limits;
use crate::placement::Placing;
use crate::pump::Asker;
use crate::record::Book;
use crate::request::Ticket;
use crate::settings::Settings;
use crate::sweeps::Sweeping;

/// Who this instance is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// `instance.incarnation`, the name under which it holds money and slots.
    pub holder: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// The decisions of one entry instance.
///
/// [`Node::handle`] takes an event and the present time and returns what to do. Nothing else goes in
/// or out, so that a test or a bench can drive any number of them step by step.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) me: Identity,
    pub(crate) now: Instant,
    pub(crate) actions: Vec<Action>,
    pub(crate) catalog: Catalog,
    pub(crate) book: Book,
    pub(crate) ledger: Ledger,
    pub(crate) arbiter: Arbiter,
    pub(crate) claims_client: Client,
    pub(crate) admission: Admission,
    pub(crate) retries: retry::Budget,
    pub(crate) quarantine: Quarantine,
    pub(crate) limits: Limits,
    pub(crate) usual: Usual,
    pub(crate) crowded_at: Instant,
    pub(crate) router: Router,
    pub(crate) members: Members,
    pub(crate) keeper: Keeper,
    pub(crate) gossip: Gossip,
    pub(crate) propagation: Propagation,
    pub(crate) collector: Collector,
    pub(crate) drain: Drain,
    pub(crate) has_released_slots: bool,
    pub(crate) sweeping: Sweeping,
    pub(crate) placing: Placing,
    pub(crate) askers: HashMap<u64, Asker>,
    pub(crate) next_asker: u64,
    pub(crate) lookups: BTreeSet<Ticket>,
    pub(crate) reclaims: BTreeSet<Ticket>,
    pub(crate) busy: BTreeSet<Component>,
    pub(crate) needs_dispatch: bool,
    pub(crate) next_review: Instant,
    pub(crate) refusals: BTreeMap<Code, u64>,
}

impl Node {
    /// A node that knows nothing yet. `seed` feeds all jitter and random choices.
    pub fn new(settings: Settings, me: Me, seed: u64) -> Self {
        let holder: Arc<str> = format!("{}.{:x}", me.instance, me.incarnation.0).into();
        let identity = Identity {
            instance: me.instance.clone(),
            holder: holder.clone(),
            zone: me.zone.clone(),
        };
        let instance = me.instance.clone();
        let zone = me.zone.clone();
        Self {
            now: Instant::default(),
            actions: Vec::new(),
            catalog: Catalog::default(),
            book: Book::default(),
            ledger: Ledger::new(settings.budget.clone(), holder.clone(), seed ^ 1),
            arbiter: Arbiter::new(settings.arbiter.clone(), holder.clone(), seed ^ 2),
            claims_client: Client::new(settings.claims_client.clone(), holder.clone(), seed ^ 3),
            admission: Admission::new(settings.queue.clone(), seed ^ 4),
            retries: retry::Budget::new(settings.retry),
            quarantine: Quarantine::default(),
            limits: Limits::new(settings.limit.clone()),
            usual: Usual::default(),
            crowded_at: Instant::default(),
            router: Router::new(settings.routing, zone.clone(), seed ^ 5),
            members: Members::new(settings.members.clone(), me, seed ^ 6),
            keeper: Keeper::new(instance.clone(), settings.slots, settings.min_ready_time),
            gossip: Gossip::new(settings.gossip.clone(), instance, zone, seed ^ 7),
            propagation: Propagation::new(settings.propagation.clone(), seed ^ 8),
            collector: Collector::default(),
            drain: Drain::new(settings.drain.clone()),
            has_released_slots: false,
            sweeping: Sweeping::default(),
            placing: Placing::new(settings.placement.clone()),
            askers: HashMap::new(),
            next_asker: 0,
            lookups: BTreeSet::new(),
            reclaims: BTreeSet::new(),
            busy: BTreeSet::new(),
            needs_dispatch: false,
            next_review: Instant::default(),
            refusals: BTreeMap::new(),
            me: identity,
            settings,
        }
    }

    /// Takes an event at a time that never goes back; returns what to do.
    pub fn handle(&mut self, now: Instant, event: NodeEvent) -> Vec<Action> {
        self.now = now;
        self.apply(event);
        self.pump();
        std::mem::take(&mut self.actions)
    }

    fn apply(&mut self, event: NodeEvent) {
        let now = self.now;
        match event {
            NodeEvent::Arrived(arrival) => self.arrive(arrival),
            NodeEvent::Resume { ticket, key } => self.look_up(ticket, &key),
            NodeEvent::Progress { ticket, tokens } => self.progress(ticket, tokens),
            NodeEvent::Ended { ticket, end } => {
                self.note_demand(ticket, &end);
                self.ended(ticket, end);
            }
            NodeEvent::Withdrawn { ticket } => self.withdraw(ticket),
            NodeEvent::StreamGone { ticket } => self.stream_gone(ticket),
            NodeEvent::PeerMessage { from, message } => self.hear(&from, message),
            NodeEvent::TableReply { component, reply } => self.table_replied(component, reply),
            NodeEvent::InstancesListed(list) => {
                self.members.instance_list(now, &list);
                self.sweeping.note_servers(&list);
            }
            NodeEvent::ObjectFetched { name, content } => {
                self.object_fetched(&name, content.as_deref())
            }
            NodeEvent::LoadReported {
                server,
                report,
                loaded,
            } => {
                if let Some(key) = self.catalog.server(&server) {
                    self.router.load_report(now, key, report);
                    self.router.set_loaded(key, &loaded);
                    self.needs_dispatch = true;
                }
            }
            NodeEvent::ModelsReported { server, report } => self.observe_models(&server, report),
            NodeEvent::OrderResponse { order, response } => self.order_answered(&order, response),
            NodeEvent::CacheEvent {
                server,
                sequence,
                event,
            } => {
                if let Some(key) = self.catalog.server(&server) {
                    self.router.cache_event(now, key, sequence, event);
                }
            }
            NodeEvent::ServerLeaving { server } => self.members.server_leaves(now, &server),
            NodeEvent::StreamsListed {
                server,
                holder,
                streams,
            } => {
                self.streams_listed(&server, &holder, streams);
            }
            NodeEvent::Tick => self.review(),
            NodeEvent::Terminate => self.terminate(),
        }
    }

    fn progress(&mut self, ticket: Ticket, tokens: u32) {
        let Some(record) = self.book.get_mut(ticket) else {
            return;
        };
        match &mut record.output {
            Some((_, since)) => *since = since.saturating_add(tokens),
            None => record.output = Some((self.now, 0)),
        }
        if let Some(server) = record.server {
            self.router
                .progressed(self.now, server, RouteTicket(ticket.0), tokens);
        }
    }

    fn table_replied(&mut self, component: Component, reply: table::Reply) {
        self.busy.remove(&component);
        let now = self.now;
        match component {
            Component::Budget => self.ledger.reply(now, reply),
            Component::Claims => self.arbiter.reply(now, reply),
            Component::Members => self.members.reply(now, reply),
            Component::Head => self.propagation.reply(now, reply, &mut self.collector),
            Component::Reclaim => self.sweeping.reclaimed(now, reply),
            Component::Placement => self.placement_replied(reply),
        }
    }

    /// Puts a document in force here.
    pub(crate) fn put_in_force(&mut self, version: Version, document: Document) {
        let document = Arc::new(document);
        self.catalog.replace(version, document.clone());
        self.ledger
            .set_groups(self.now, &self.catalog.budget_policies());
        self.admission.set_kinds(&self.catalog.kind_policies());
        self.admission.set_groups(&self.catalog.group_policies());
        self.router
            .set_servers(self.now, &self.catalog.server_policies());
        self.limit_servers();
        self.place_by_document();
        self.members.set_version(version);
        self.needs_dispatch = true;
        self.actions
            .push(Action::ApplyDocument { version, document });
    }

    /// Takes the document's backend servers over into the limits.
    pub(crate) fn limit_servers(&mut self) {
        let places = self.catalog.places();
        let servers = places.map(|(key, place)| (key, place.concurrency));
        self.limits.set_servers(servers);
        self.limits.tell_all(self.now, &mut self.router);
    }

    /// Adds a log line to the actions.
    pub(crate) fn log(&mut self, event: Event, text: String) {
        self.actions.push(Action::Log { event, text });
    }

    /// The fleet as this instance knows it.
    pub fn view(&self) -> &fescuewell_membership::view::View {
        self.members.view()
    }

    /// Whether this instance takes requests.
    pub fn is_ready(&self) -> bool {
        self.propagation.is_ready() && !self.members.view().isolated && self.drain.takes_requests()
    }
}
