//! Simulation that drives several nodes by events and actions in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::platform::{Listing, Role, State};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Outcome, Table as _};
use fescuewell_document::chunk::Objects;
use fescuewell_document::head::{self, HEAD_KEY, Proposal};
use fescuewell_document::model::Document;
use fescuewell_membership::member::InstanceInfo;
use fescuewell_node::prelude::*;
use fescuewell_platform::memory::Table;
use fescuewell_routing::load::Report;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::backend::Backend;
use super::checks::Bills;
use super::document::{DESKS, ENGINES, MODEL};

/// Interval between two ticks of a node.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two instance lists.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// A scheduled event of a node.
pub(super) enum Scheduled {
    Event { node: usize, event: NodeEvent },
    Tick { node: usize },
    List { node: usize },
}

/// A scheduled event that applies to one incarnation of an instance.
struct ScheduledEntry {
    incarnation: u64,
    due: Scheduled,
}

impl Scheduled {
    fn node(&self) -> usize {
        match self {
            Self::Event { node, .. } | Self::Tick { node } | Self::List { node } => *node,
        }
    }
}

/// One simulated instance.
pub struct Member {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Current incarnation.
    pub incarnation: u64,
    /// The node; `None` after it was killed or has exited.
    pub node: Option<Node>,
    /// Whether the instance exited after a drain.
    pub has_exited: bool,
    /// Time until which the instance is paused.
    pub paused_until: Instant,
    /// Document versions that the instance applied, in order.
    pub versions: Vec<Version>,
}

/// A request from its caller's perspective.
#[derive(Debug, Clone)]
pub struct SubmittedRequest {
    /// The node that received the request.
    pub node: usize,
    /// Key of the request.
    pub key: RequestKey,
    /// When the request was submitted.
    pub submitted_at: Instant,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Attempts sent to backend servers, with their times.
    pub runs: Vec<(Instant, Assignment)>,
    /// The refusal and its time.
    pub refused: Option<(Instant, Refusal)>,
    /// When the response was complete.
    pub answered: Option<Instant>,
    /// Whether the response is that of another attempt.
    pub is_reader: bool,
}

/// The whole simulation.
pub struct World {
    /// Current virtual time.
    pub now: Instant,
    /// The table service.
    pub table: Table,
    /// Instances, including terminated ones.
    pub members: Vec<Member>,
    /// Backend servers.
    pub backend: Backend,
    /// Requests by ticket.
    pub requests: BTreeMap<Ticket, SubmittedRequest>,
    /// Messages lost between instances, per mille.
    pub loss: u32,
    /// Maximum concurrent streams of a backend server, which responds "busy" to any more.
    pub max_running: usize,
    /// Range of the duration of a stream, in milliseconds.
    pub run_ms: std::ops::Range<u64>,
    /// Settings of newly started instances.
    pub settings: Settings,
    /// Whether the instances are partitioned from each other.
    pub is_partitioned: bool,
    /// Durable charges per request; each entry is one bill.
    pub(super) bills: Bills,
    objects: Objects,
    due: BTreeMap<(Instant, u64), ScheduledEntry>,
    sequence: u64,
    pub(super) random: SmallRng,
}

/// Returns settings with short times, so that tests need little virtual time.
pub fn settings() -> Settings {
    let mut settings = Settings::sized(3);
    settings.slots = 8;
    settings.arbiter.slots = 8;
    settings.claims_client.slots = 8;
    settings.members.list_lag = Duration::from_secs(1);
    settings.members.exclusive_address = true;
    settings.drain.announcement_time = Duration::from_millis(500);
    settings.drain.address_ttl = Duration::from_millis(500);
    settings
}

impl World {
    /// Starts `nodes` instances with a document and waits until they are ready.
    pub fn new(nodes: usize, document: &Document, seed: u64) -> Self {
        let mut world = Self {
            now: Instant::from_millis(1_000),
            table: Table::default(),
            members: Vec::new(),
            backend: Backend::default(),
            requests: BTreeMap::new(),
            loss: 0,
            max_running: usize::MAX,
            run_ms: 20..400,
            settings: settings(),
            is_partitioned: false,
            bills: BTreeMap::new(),
            objects: Objects::new(),
            due: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
        };
        world.accept(&Document::default(), document);
        for _ in 0..nodes {
            world.start();
        }
        world.run_for(8_000);
        world
    }

    /// Accepts a new document in the table.
    pub fn accept(&mut self, before: &Document, after: &Document) {
        let head = self.table.read(HEAD_KEY).unwrap();
        let base = head
            .as_ref()
            .map_or(Version(0), |row| head::Head::decode(row).unwrap().version);
        let proposal = Proposal {
            base_version: base,
            before,
            after,
            author: "test".into(),
            change: format!("change-{}", base.0).into(),
            accepted_at_unix: 0,
        };
        let rows = self.table.rows();
        let budgets: Vec<_> = rows
            .into_iter()
            .filter(|row| row.key.starts_with("budget/"))
            .collect();
        let acceptance = head::accept(head.as_ref(), &proposal, &budgets).unwrap();
        self.objects.extend(acceptance.bundle.objects);
        let outcome = self.table.commit(&acceptance.transaction).unwrap();
        assert!(matches!(outcome, Outcome::Committed { .. }));
    }

    /// Starts another instance.
    pub fn start(&mut self) -> usize {
        let number = self.members.len();
        let name: Arc<str> = format!("entry-{number}").into();
        self.members.push(Member {
            name,
            incarnation: 0,
            node: None,
            has_exited: false,
            paused_until: Instant::default(),
            versions: Vec::new(),
        });
        self.restart(number);
        number
    }

    /// Restarts an instance that was killed or has exited, under the same name and the next incarnation.
    pub fn restart(&mut self, number: usize) {
        let seed = self.random.random();
        let address = ([127, 0, 0, 1], 7_000 + number as u16).into();
        let member = &mut self.members[number];
        member.incarnation += 1;
        member.has_exited = false;
        member.paused_until = Instant::default();
        let info = InstanceInfo {
            instance: member.name.clone(),
            incarnation: Incarnation(member.incarnation),
            caller_address: address,
            peer_address: address,
            operator_address: address,
            zone: "a".into(),
            formats: 1,
        };
        member.node = Some(Node::new(self.settings.clone(), info, seed));
        self.schedule(Duration::from_micros(10), Scheduled::List { node: number });
        self.schedule(Duration::from_micros(20), Scheduled::Tick { node: number });
    }

    /// Kills an instance without a drain.
    pub fn kill(&mut self, node: usize) {
        self.members[node].node = None;
    }

    /// Pauses an instance; its events are delayed until it resumes.
    pub fn pause(&mut self, node: usize, millis: u64) {
        self.members[node].paused_until = self.now + Duration::from_millis(millis);
    }

    /// Starts the drain of an instance.
    pub fn terminate(&mut self, node: usize) {
        self.handle(node, NodeEvent::Terminate);
    }

    /// Disconnects the caller of a request.
    pub fn withdraw(&mut self, ticket: Ticket) {
        let node = self.requests[&ticket].node;
        self.handle(node, NodeEvent::Withdrawn { ticket });
    }

    /// Advances the virtual time.
    pub fn run_for(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), due) = entry.remove_entry();
            self.now = at;
            self.carry_out(due);
        }
        self.now = end;
    }

    /// Advances the virtual time until `check` holds; returns `false` if it does not within the limit.
    pub fn run_until<Check>(&mut self, limit_ms: u64, check: Check) -> bool
    where
        Check: Fn(&Self) -> bool,
    {
        let end = self.now + Duration::from_millis(limit_ms);
        while self.now < end {
            if check(self) {
                return true;
            }
            self.run_for(20);
        }
        check(self)
    }

    pub(super) fn schedule(&mut self, after: Duration, due: Scheduled) {
        let incarnation = self.members[due.node()].incarnation;
        self.sequence += 1;
        let entry = ScheduledEntry { incarnation, due };
        self.due.insert((self.now + after, self.sequence), entry);
    }

    pub(super) fn schedule_delivery(&mut self, node: usize, event: NodeEvent) {
        let delay = Duration::from_micros(self.random.random_range(500..4_000));
        self.schedule(delay, Scheduled::Event { node, event });
    }

    fn carry_out(&mut self, ScheduledEntry { incarnation, due }: ScheduledEntry) {
        let member = &self.members[due.node()];
        if member.node.is_none() || member.incarnation != incarnation {
            return;
        }
        if member.paused_until > self.now {
            let rest = member.paused_until.since(self.now);
            self.schedule(rest, due);
            return;
        }
        match due {
            Scheduled::Event { node, event } => self.handle(node, event),
            Scheduled::Tick { node } => {
                self.schedule(TICK_INTERVAL, Scheduled::Tick { node });
                self.handle(node, NodeEvent::Tick);
            }
            Scheduled::List { node } => {
                self.schedule(LIST_INTERVAL, Scheduled::List { node });
                let list = self.listing();
                self.handle(node, NodeEvent::InstancesListed(list));
                self.report(node);
            }
        }
    }

    fn report(&mut self, node: usize) {
        for name in ENGINES {
            if self.backend.is_silent(self.now, name) {
                continue;
            }
            let report = Report {
                running: self.backend.running(self.now, name) as u32,
                waiting: 0,
                cache_used: 0.5,
                age: Duration::from_millis(50),
            };
            let event = NodeEvent::LoadReported {
                server: name.into(),
                report,
                loaded: vec![MODEL.into()],
            };
            self.handle(node, event);
        }
    }

    fn listing(&self) -> Vec<Listing> {
        let mut list = Vec::new();
        let entry = |name: &Arc<str>, role, state| Listing {
            name: name.clone(),
            role,
            address: ([127, 0, 0, 1], 9_000).into(),
            zone: "a".into(),
            state,
        };
        for member in &self.members {
            let state = match member.node {
                Some(_) => State::Live,
                None => State::Terminated,
            };
            list.push(entry(&member.name, Role::Entry, state));
        }
        for name in ENGINES {
            list.push(entry(&name.into(), Role::Engine, State::Live));
        }
        for name in DESKS {
            list.push(entry(&name.into(), Role::Service, State::Live));
        }
        list
    }

    pub(super) fn handle(&mut self, node: usize, event: NodeEvent) {
        if let NodeEvent::Ended {
            ticket,
            end: End::Done { .. },
        } = &event
            && let Some(request) = self.requests.get_mut(ticket)
        {
            request.answered = Some(self.now);
        }
        let Some(machine) = &mut self.members[node].node else {
            return;
        };
        for action in machine.handle(self.now, event) {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Decide { ticket, verdict } => self.decide(node, ticket, verdict),
            Action::Send {
                instance, message, ..
            } => self.send(node, &instance, message),
            Action::Table { component, step } => {
                let reply = table::execute(&self.table, &step);
                self.record_bills(&step, &reply);
                self.schedule_delivery(node, NodeEvent::TableReply { component, reply });
            }
            Action::Fetch { name } => {
                let content = self.objects.get(&name).map(|bytes| bytes.to_vec());
                self.schedule_delivery(node, NodeEvent::ObjectFetched { name, content });
            }
            Action::ListStreams { server, holder, .. } => {
                let streams = Some(self.backend.list(self.now, &server, &holder));
                let event = NodeEvent::StreamsListed {
                    server,
                    holder,
                    streams,
                };
                self.schedule_delivery(node, event);
            }
            Action::CancelStream { stream, .. } => self.backend.cancel(self.now, &stream),
            Action::ApplyDocument { version, .. } => self.members[node].versions.push(version),
            Action::Exit => {
                self.members[node].has_exited = true;
                self.members[node].node = None;
            }
            Action::Order { order, .. } => {
                panic!("no engine said what it has loaded, so that none may be ordered: {order}");
            }
            Action::StopListening | Action::Log { .. } => {}
        }
    }

    fn send(&mut self, from: usize, to: &str, message: Message) {
        let lost = self.is_partitioned || self.random.random_range(0..1_000) < self.loss;
        let to = self.members.iter().position(|member| &*member.name == to);
        let (Some(to), false) = (to, lost) else {
            return;
        };
        let from = self.members[from].name.clone();
        self.schedule_delivery(to, NodeEvent::PeerMessage { from, message });
    }
}
