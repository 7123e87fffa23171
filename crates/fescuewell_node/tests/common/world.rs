//! Drives several nodes by events and actions in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::platform::{Listing, Role, State};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Outcome, Table as _};
use fescuewell_document::chunk::Objects;
use fescuewell_document::head::{self, HEAD_KEY, Proposal};
use fescuewell_document::model::Document;
use fescuewell_membership::member::Me;
use fescuewell_node::prelude::*;
use fescuewell_platform::memory::Table;
use fescuewell_routing::load::Report;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::backend::Backend;
use super::checks::Bills;
use super::document::{DESKS, ENGINES, MODEL};

/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(10);
/// Time between two instance lists.
const LIST: Duration = Duration::from_millis(500);

/// Something that happens later.
pub(super) enum Due {
    Event { node: usize, event: NodeEvent },
    Tick { node: usize },
    List { node: usize },
}

/// Something that happens later to one start of an instance.
struct Planned {
    life: u64,
    due: Due,
}

impl Due {
    fn node(&self) -> usize {
        match self {
            Self::Event { node, .. } | Self::Tick { node } | Self::List { node } => *node,
        }
    }
}

/// One instance.
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// Number of its present start.
    pub life: u64,
    /// Its decisions; `None` once it was killed or has left.
    pub node: Option<Node>,
    /// Whether it left by itself.
    pub has_left: bool,
    /// Until when it is stopped.
    pub paused_until: Instant,
    /// Versions that it put in force, in order.
    pub versions: Vec<Version>,
}

/// A request as its caller sees it.
#[derive(Debug, Clone)]
pub struct Asked {
    /// The node that was asked.
    pub node: usize,
    /// Which request.
    pub key: RequestKey,
    /// When it was asked.
    pub at: Instant,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it was sent to a backend server, each time.
    pub runs: Vec<(Instant, Assignment)>,
    /// The refusal and when it came.
    pub refused: Option<(Instant, Refusal)>,
    /// Whether the answer came whole.
    pub answered: Option<Instant>,
    /// Whether the answer is that of another run.
    pub is_reader: bool,
}

/// Everything.
pub struct World {
    /// The time.
    pub now: Instant,
    /// The table service.
    pub table: Table,
    /// Instances, dead ones included.
    pub members: Vec<Member>,
    /// Backend servers.
    pub backend: Backend,
    /// Requests by ticket.
    pub asked: BTreeMap<Ticket, Asked>,
    /// Messages lost, out of 1000.
    pub loss: u32,
    /// Streams that a backend server runs at once; beyond them it answers "busy".
    pub places: usize,
    /// Milliseconds that a stream runs.
    pub takes: std::ops::Range<u64>,
    /// Settings of instances that are started.
    pub settings: Settings,
    /// Whether instances cannot reach each other.
    pub is_parted: bool,
    /// Charged by durable bills, by request; each entry is one bill.
    pub(super) bills: Bills,
    objects: Objects,
    due: BTreeMap<(Instant, u64), Planned>,
    sequence: u64,
    pub(super) random: SmallRng,
}

/// Settings with short times, so that a test's virtual time is short.
pub fn settings() -> Settings {
    let mut settings = Settings::sized(3);
    settings.slots = 8;
    settings.arbiter.slots = 8;
    settings.claims_client.slots = 8;
    settings.members.list_lag = Duration::from_secs(1);
    settings.members.exclusive_address = true;
    settings.drain.spread = Duration::from_millis(500);
    settings.drain.address_ttl = Duration::from_millis(500);
    settings
}

impl World {
    /// Starts `nodes` instances on a document and waits until they serve.
    pub fn new(nodes: usize, document: &Document, seed: u64) -> Self {
        let mut world = Self {
            now: Instant::from_millis(1_000),
            table: Table::default(),
            members: Vec::new(),
            backend: Backend::default(),
            asked: BTreeMap::new(),
            loss: 0,
            places: usize::MAX,
            takes: 20..400,
            settings: settings(),
            is_parted: false,
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

    /// Accepts a document in the table.
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

    /// Starts one more instance.
    pub fn start(&mut self) -> usize {
        let number = self.members.len();
        let name: Arc<str> = format!("entry-{number}").into();
        self.members.push(Member {
            name,
            life: 0,
            node: None,
            has_left: false,
            paused_until: Instant::default(),
            versions: Vec::new(),
        });
        self.restart(number);
        number
    }

    /// Starts an instance that was killed or has left, under its name and as its next incarnation.
    pub fn restart(&mut self, number: usize) {
        let seed = self.random.random();
        let address = ([127, 0, 0, 1], 7_000 + number as u16).into();
        let member = &mut self.members[number];
        member.life += 1;
        member.has_left = false;
        member.paused_until = Instant::default();
        let me = Me {
            instance: member.name.clone(),
            incarnation: Incarnation(member.life),
            caller_address: address,
            peer_address: address,
            operator_address: address,
            zone: "a".into(),
            formats: 1,
        };
        member.node = Some(Node::new(self.settings.clone(), me, seed));
        self.later(Duration::from_micros(10), Due::List { node: number });
        self.later(Duration::from_micros(20), Due::Tick { node: number });
    }

    /// Ends an instance without warning.
    pub fn kill(&mut self, node: usize) {
        self.members[node].node = None;
    }

    /// Stops an instance for a while; what reaches it waits.
    pub fn pause(&mut self, node: usize, millis: u64) {
        self.members[node].paused_until = self.now + Duration::from_millis(millis);
    }

    /// Asks an instance to leave.
    pub fn terminate(&mut self, node: usize) {
        self.happen(node, NodeEvent::Terminate);
    }

    /// The caller goes away.
    pub fn withdraw(&mut self, ticket: Ticket) {
        let node = self.asked[&ticket].node;
        self.happen(node, NodeEvent::Withdrawn { ticket });
    }

    /// Lets time pass.
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

    /// Lets time pass until something holds; whether it came to hold within the limit.
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

    pub(super) fn later(&mut self, after: Duration, due: Due) {
        let life = self.members[due.node()].life;
        self.sequence += 1;
        let planned = Planned { life, due };
        self.due.insert((self.now + after, self.sequence), planned);
    }

    pub(super) fn soon(&mut self, node: usize, event: NodeEvent) {
        let delay = Duration::from_micros(self.random.random_range(500..4_000));
        self.later(delay, Due::Event { node, event });
    }

    fn carry_out(&mut self, Planned { life, due }: Planned) {
        let member = &self.members[due.node()];
        if member.node.is_none() || member.life != life {
            return;
        }
        if member.paused_until > self.now {
            let rest = member.paused_until.since(self.now);
            self.later(rest, due);
            return;
        }
        match due {
            Due::Event { node, event } => self.happen(node, event),
            Due::Tick { node } => {
                self.later(TICK, Due::Tick { node });
                self.happen(node, NodeEvent::Tick);
            }
            Due::List { node } => {
                self.later(LIST, Due::List { node });
                let list = self.listing();
                self.happen(node, NodeEvent::InstancesListed(list));
                self.report(node);
            }
        }
    }

    fn report(&mut self, node: usize) {
        for name in ENGINES {
            let report = Report {
                running: self.backend.running(self.now, name) as u32,
                waiting: 0,
                cache_used: 0.5,
                at_age: Duration::from_millis(50),
            };
            let event = NodeEvent::LoadReported {
                server: name.into(),
                report,
                loaded: vec![MODEL.into()],
            };
            self.happen(node, event);
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

    pub(super) fn happen(&mut self, node: usize, event: NodeEvent) {
        if let NodeEvent::Ended {
            ticket,
            end: End::Done { .. },
        } = &event
            && let Some(asked) = self.asked.get_mut(ticket)
        {
            asked.answered = Some(self.now);
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
                let reply = table::carry_out(&self.table, &step);
                self.note_bills(&step, &reply);
                self.soon(node, NodeEvent::TableReply { component, reply });
            }
            Action::Fetch { name } => {
                let content = self.objects.get(&name).map(|bytes| bytes.to_vec());
                self.soon(node, NodeEvent::ObjectFetched { name, content });
            }
            Action::ListStreams { server, holder, .. } => {
                let streams = Some(self.backend.list(self.now, &server, &holder));
                let event = NodeEvent::StreamsListed {
                    server,
                    holder,
                    streams,
                };
                self.soon(node, event);
            }
            Action::CancelStream { stream, .. } => self.backend.cancel(self.now, &stream),
            Action::ApplyDocument { version, .. } => self.members[node].versions.push(version),
            Action::Exit => {
                self.members[node].has_left = true;
                self.members[node].node = None;
            }
            Action::Order { order, .. } => {
                panic!("no engine said what it has loaded, so that none may be ordered: {order}");
            }
            Action::StopListening | Action::Log { .. } => {}
        }
    }

    fn send(&mut self, from: usize, to: &str, message: Message) {
        let lost = self.is_parted || self.random.random_range(0..1_000) < self.loss;
        let to = self.members.iter().position(|member| &*member.name == to);
        let (Some(to), false) = (to, lost) else {
            return;
        };
        let from = self.members[from].name.clone();
        self.soon(to, NodeEvent::PeerMessage { from, message });
    }
}
