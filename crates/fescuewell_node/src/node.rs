//! The node: its component state machines and the dispatch of events to them.

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
use fescuewell_membership::member::{InstanceInfo, Members};
use fescuewell_membership::propagate::Propagation;
use fescuewell_membership::slots::Assigner;
use fescuewell_queue::admission::Queue;
use fescuewell_queue::retry;
use fescuewell_routing::router::Router;
use fescuewell_routing::server::Ticket as RouteTicket;

use crate::assembly::Collector;
use crate::catalog::Catalog;
use crate::estimate::Estimator;
use crate::event::{Action, Component, Event as NodeEvent};
use crate::limits::Limits;
use crate::placement::Placement;
use crate::pump::Requester;
use crate::record::Requests;
use crate::request::Ticket;
use crate::settings::Settings;
use crate::sweeps::Sweeps;

/// Identity of this instance.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// `instance.incarnation`, the name under which it holds allowances and slots.
    pub holder: Arc<str>,
    /// Availability zone of the instance.
    pub zone: Arc<str>,
}

/// The state machine of one entry instance.
///
/// [`Node::handle`] takes an event and the current time and returns the actions to perform. It has no
/// other input or output, so a test or benchmark can drive any number of nodes step by step.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) now: Instant,
    pub(crate) actions: Vec<Action>,
    pub(crate) catalog: Catalog,
    pub(crate) requests: Requests,
    pub(crate) ledger: Ledger,
    pub(crate) arbiter: Arbiter,
    pub(crate) claims_client: Client,
    pub(crate) admission: Queue,
    pub(crate) retries: retry::Budget,
    pub(crate) quarantine: Quarantine,
    pub(crate) limits: Limits,
    pub(crate) estimator: Estimator,
    pub(crate) reserve_raised_at: Instant,
    pub(crate) router: Router,
    pub(crate) members: Members,
    pub(crate) slot_assigner: Assigner,
    pub(crate) gossip: Gossip,
    pub(crate) propagation: Propagation,
    pub(crate) collector: Collector,
    pub(crate) drain: Drain,
    pub(crate) has_released_slots: bool,
    pub(crate) sweeps: Sweeps,
    pub(crate) placement: Placement,
    pub(crate) requesters: HashMap<u64, Requester>,
    pub(crate) next_requester: u64,
    pub(crate) lookups: BTreeSet<Ticket>,
    pub(crate) claim_retries: BTreeSet<Ticket>,
    pub(crate) busy_components: BTreeSet<Component>,
    pub(crate) needs_dispatch: bool,
    pub(crate) next_update_at: Instant,
    pub(crate) refusals: BTreeMap<Code, u64>,
}

impl Node {
    /// Creates a node without a document or members. All jitter and random choices derive from `seed`.
    pub fn new(settings: Settings, info: InstanceInfo, seed: u64) -> Self {
        let holder: Arc<str> = format!("{}.{:x}", info.instance, info.incarnation.0).into();
        let identity = Identity {
            instance: info.instance.clone(),
            holder: holder.clone(),
            zone: info.zone.clone(),
        };
        let instance = info.instance.clone();
        let zone = info.zone.clone();
        Self {
            now: Instant::default(),
            actions: Vec::new(),
            catalog: Catalog::default(),
            requests: Requests::default(),
            ledger: Ledger::new(settings.budget.clone(), holder.clone(), seed ^ 1),
            arbiter: Arbiter::new(settings.arbiter.clone(), holder.clone(), seed ^ 2),
            claims_client: Client::new(settings.claims_client.clone(), holder.clone(), seed ^ 3),
            admission: Queue::new(settings.queue.clone(), seed ^ 4),
            retries: retry::Budget::new(settings.retry),
            quarantine: Quarantine::default(),
            limits: Limits::new(settings.limit.clone()),
            estimator: Estimator::default(),
            reserve_raised_at: Instant::default(),
            router: Router::new(settings.routing, zone.clone(), seed ^ 5),
            members: Members::new(settings.members.clone(), info, seed ^ 6),
            slot_assigner: Assigner::new(instance.clone(), settings.slots, settings.min_ready_time),
            gossip: Gossip::new(settings.gossip.clone(), instance, zone, seed ^ 7),
            propagation: Propagation::new(settings.propagation.clone(), seed ^ 8),
            collector: Collector::default(),
            drain: Drain::new(settings.drain.clone()),
            has_released_slots: false,
            sweeps: Sweeps::default(),
            placement: Placement::new(settings.placement.clone()),
            requesters: HashMap::new(),
            next_requester: 0,
            lookups: BTreeSet::new(),
            claim_retries: BTreeSet::new(),
            busy_components: BTreeSet::new(),
            needs_dispatch: false,
            next_update_at: Instant::default(),
            refusals: BTreeMap::new(),
            identity,
            settings,
        }
    }

    /// Handles an event and returns the actions to perform. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Instant, event: NodeEvent) -> Vec<Action> {
        self.now = now;
        self.apply(event);
        self.pump();
        std::mem::take(&mut self.actions)
    }

    fn apply(&mut self, event: NodeEvent) {
        let now = self.now;
        match event {
            NodeEvent::Arrived(arrival) => self.admit(arrival),
            NodeEvent::Resume { ticket, key } => self.look_up(ticket, &key),
            NodeEvent::Progress { ticket, tokens } => self.record_progress(ticket, tokens),
            NodeEvent::Ended { ticket, end } => {
                self.record_demand(ticket, &end);
                self.finish_attempt(ticket, end);
            }
            NodeEvent::Withdrawn { ticket } => self.withdraw(ticket),
            NodeEvent::StreamGone { ticket } => self.stream_gone(ticket),
            NodeEvent::PeerMessage { from, message } => self.receive_message(&from, message),
            NodeEvent::TableReply { component, reply } => self.handle_table_reply(component, reply),
            NodeEvent::InstancesListed(list) => {
                self.members.apply_instance_list(now, &list);
                self.sweeps.update_servers(&list);
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
                    self.router.record_load(now, key, report);
                    self.router.set_loaded(key, &loaded);
                    self.needs_dispatch = true;
                }
            }
            NodeEvent::ModelsReported { server, report } => self.observe_models(&server, report),
            NodeEvent::OrderResponse { order, response } => {
                self.handle_order_response(&order, response)
            }
            NodeEvent::CacheEvent {
                server,
                sequence,
                event,
            } => {
                if let Some(key) = self.catalog.server(&server) {
                    self.router.record_cache_event(now, key, sequence, event);
                }
            }
            NodeEvent::ServerLeaving { server } => self.members.mark_server_leaving(now, &server),
            NodeEvent::StreamsListed {
                server,
                holder,
                streams,
            } => {
                self.handle_stream_list(&server, &holder, streams);
            }
            NodeEvent::Tick => self.tick(),
            NodeEvent::Terminate => self.terminate(),
        }
    }

    fn record_progress(&mut self, ticket: Ticket, tokens: u32) {
        let Some(record) = self.requests.get_mut(ticket) else {
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

    fn handle_table_reply(&mut self, component: Component, reply: table::Reply) {
        self.busy_components.remove(&component);
        let now = self.now;
        match component {
            Component::Budget => self.ledger.reply(now, reply),
            Component::Claims => self.arbiter.reply(now, reply),
            Component::Members => self.members.reply(now, reply),
            Component::Head => self.propagation.reply(now, reply, &mut self.collector),
            Component::Reclaim => self.sweeps.handle_table_reply(now, reply),
            Component::Placement => self.handle_placement_reply(reply),
        }
    }

    /// Makes a document the current one and updates every component that depends on it.
    pub(crate) fn apply_document(&mut self, version: Version, document: Document) {
        let document = Arc::new(document);
        self.catalog.replace(version, document.clone());
        self.ledger
            .set_groups(self.now, &self.catalog.budget_policies());
        self.admission.set_kinds(&self.catalog.kind_policies());
        self.admission.set_groups(&self.catalog.group_policies());
        self.router
            .set_servers(self.now, &self.catalog.server_specs());
        self.update_limits();
        self.update_planner();
        self.members.set_version(version);
        self.needs_dispatch = true;
        self.actions
            .push(Action::ApplyDocument { version, document });
    }

    /// Updates the concurrency limits to the document's backend servers.
    pub(crate) fn update_limits(&mut self) {
        let endpoints = self.catalog.endpoints();
        let servers = endpoints.map(|(key, endpoint)| (key, endpoint.concurrency));
        self.limits.set_servers(servers);
        self.limits.update_all_headroom(self.now, &mut self.router);
    }

    /// Emits a log line as an action.
    pub(crate) fn log(&mut self, event: Event, text: String) {
        self.actions.push(Action::Log { event, text });
    }

    /// This instance's view of the fleet.
    pub fn view(&self) -> &fescuewell_membership::view::View {
        self.members.view()
    }

    /// Returns `true` if this instance accepts requests.
    pub fn is_ready(&self) -> bool {
        self.propagation.is_ready()
            && !self.members.view().isolated
            && self.drain.accepts_requests()
    }
}
