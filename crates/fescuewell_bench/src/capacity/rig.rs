//! One instance's decisions with a table, an object store, peers and callers around it, in virtual time.
//!
//! Only what [`Node::handle`] uses is measured; what stands around it is not.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Reply, Row, Step, Table as _, Transaction, Write};
use fescuewell_document::chunk::{self, FORMAT, Objects};
use fescuewell_document::head::{self, HEAD_KEY};
use fescuewell_document::model::Document;
use fescuewell_membership::gossip;
use fescuewell_membership::member::InstanceInfo;
use fescuewell_membership::row as member_row;
use fescuewell_node::prelude::*;
use fescuewell_platform::memory::Table;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::meter::Filler;
use super::{meter, world};

/// Time between two ticks, as in the router daemon.
pub const TICK: Duration = Duration::from_millis(5);
/// Bytes around a message of a peer: headers of UDP, IP and QUIC, as the peers' example measures them.
const PACKET_BYTES: u64 = 54;
/// Length of an answer unless another one is set.
const STREAM_LENGTH: Duration = Duration::from_secs(18);
/// Sorts after every ticket.
const LAST: u64 = u64::MAX;

/// What has been counted since the last [`Rig::clear`].
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Processor time of the decisions.
    pub processor: Duration,
    /// Rows read from the table, counting a scan as one read.
    pub reads: u64,
    /// Rows written or removed.
    pub rows_written: u64,
    /// Bytes of rows, both ways.
    pub table_bytes: u64,
    /// Bytes of gossip, both ways.
    pub gossip_bytes: u64,
    /// Bytes of objects of documents.
    pub object_bytes: u64,
    /// Requests sent to a backend server.
    pub sent: u64,
    /// Requests refused.
    pub refused: u64,
}

/// What stands around the instance.
#[derive(Debug, Clone)]
pub struct Surroundings {
    /// Instances of the fleet, this one included.
    pub instances: usize,
    /// Other holders in each budget's row.
    pub holders: usize,
    /// The first document.
    pub document: Document,
    /// Feeds every random choice.
    pub seed: u64,
}

/// An instance and its surroundings.
pub struct Rig {
    /// The instance.
    pub node: Node,
    /// Present time.
    pub now: Instant,
    /// What was counted.
    pub counts: Counts,
    /// Growth of resident memory while the instance settled.
    pub memory: f64,
    table: Table,
    /// Objects of all documents; kept, since what is freed would hide the instance's growth.
    objects: Objects,
    head: gossip::Head,
    settings: Settings,
    instances: usize,
    waiting: VecDeque<NodeEvent>,
    open: BTreeMap<(Instant, u64), Ticket>,
    next_ticket: u64,
    beats: u64,
    stream_length: Duration,
    rng: SmallRng,
    /// All of them are kept: dropping one would make room that is used unseen.
    fillers: Vec<Filler>,
}

impl Rig {
    /// Starts an instance and lets it settle for `settle` of virtual time.
    pub fn start(surroundings: &Surroundings, settle: Duration) -> Self {
        let settings = Settings::sized(surroundings.instances as u32);
        let table = Table::default();
        for group in &surroundings.document.groups {
            let budget = world::budget(surroundings.holders);
            let key = fescuewell_budget::row::key(&group.name);
            put(&table, key, budget.encode());
        }
        for index in 1..surroundings.instances {
            let row = world::member(index, 0, Version(1));
            put(
                &table,
                member_row::key(&world::instance_name(index)),
                row.encode(),
            );
        }
        let node = Node::new(settings.clone(), me(), surroundings.seed);
        let mut rig = Self {
            node,
            now: Instant::from_millis(1_000),
            counts: Counts::default(),
            memory: 0.0,
            table,
            objects: Objects::new(),
            head: gossip::Head {
                version: Version(0),
                root: Digest(0),
            },
            settings,
            instances: surroundings.instances,
            waiting: VecDeque::new(),
            open: BTreeMap::new(),
            next_ticket: 0,
            beats: 0,
            stream_length: STREAM_LENGTH,
            rng: SmallRng::seed_from_u64(surroundings.seed),
            fillers: Vec::new(),
        };
        rig.accept(&surroundings.document);
        rig.fill();
        let before = meter::resident();
        rig.run(settle);
        rig.memory = meter::grown(before);
        rig.clear();
        rig
    }

    /// Starts counting anew.
    pub fn clear(&mut self) {
        self.counts = Counts::default();
    }

    /// How long an answer takes.
    pub fn set_stream_length(&mut self, length: Duration) {
        self.stream_length = length;
    }

    /// Accepts a document: stores its objects, then writes the head.
    pub fn accept(&mut self, document: &Document) {
        let bundle = chunk::split(document);
        self.head = gossip::Head {
            version: self.head.version.next(),
            root: bundle.root,
        };
        self.objects.extend(bundle.objects);
        let head = head::Head {
            version: self.head.version,
            root: self.head.root,
            format: FORMAT,
            change: format!("change-{}", self.head.version.0).into(),
            author: "bench".into(),
            accepted_at_unix: 0,
        };
        put(&self.table, HEAD_KEY, head.encode());
    }

    /// Whether the newest document is in force.
    pub fn has_newest(&self) -> bool {
        self.node.summary().version == self.head.version
    }

    /// Lets time pass.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.turn();
        }
    }

    /// One tick: what was waiting, the peers, the ends of attempts, then the tick itself.
    pub fn turn(&mut self) {
        self.now = self.now + TICK;
        self.beat();
        self.hear();
        for event in std::mem::take(&mut self.waiting) {
            self.handle(event);
        }
        let later = self.open.split_off(&(self.now, LAST));
        for (_, ticket) in std::mem::replace(&mut self.open, later) {
            let end = End::Done {
                cost: Tokens(407),
                output: 300,
                response: None,
            };
            self.handle(NodeEvent::Ended { ticket, end });
        }
        self.handle(NodeEvent::Tick);
    }

    /// A request comes in; `repeatable` ones are model streams, the others plain calls.
    pub fn arrive(&mut self, group: usize, repeatable: bool) {
        self.next_ticket += 1;
        let number = self.next_ticket;
        let arrival = Arrival {
            ticket: Ticket(number),
            key: RequestKey::new("clinic", format!("job-{number}")),
            fingerprint: Digest(u128::from(number)),
            group: world::group_name(group),
            kind: world::KIND.into(),
            work: if repeatable { self.stream() } else { call() },
            deadline: Duration::from_secs(60),
        };
        self.handle(NodeEvent::Arrived(arrival));
    }

    /// A token of each open stream reaches the instance.
    pub fn progress(&mut self) {
        let tickets: Vec<Ticket> = self.open.values().copied().collect();
        for ticket in tickets {
            self.handle(NodeEvent::Progress { ticket, tokens: 1 });
        }
    }

    /// A load report of a backend server.
    pub fn report(&mut self, server: usize) {
        let report = fescuewell_routing::load::Report {
            running: self.rng.random_range(0..40),
            waiting: 0,
            cache_used: 0.5,
            age: Duration::ZERO,
        };
        let loaded = (0..world::MODELS).map(world::model_name).collect();
        self.handle(NodeEvent::LoadReported {
            server: format!("server-{server}").into(),
            report,
            loaded,
        });
    }

    /// Makes what is allocated next fresh memory.
    pub fn fill(&mut self) {
        self.fillers.push(Filler::new());
    }

    /// Streams that run.
    pub fn open_streams(&self) -> usize {
        self.open.len()
    }

    fn stream(&mut self) -> Work {
        let template = self.rng.random_range(0..40u32);
        let block = |block: u32| Digest::of(format!("{template}/{block}").as_bytes());
        Work::Model {
            model: world::model_name(self.rng.random_range(0..world::MODELS)),
            prefix: (0..16).map(block).collect(),
            prompt_bound: 400,
            output_limit: 400,
        }
    }

    fn handle(&mut self, event: NodeEvent) {
        let Self {
            node, now, counts, ..
        } = self;
        let actions = meter::timed(&mut counts.processor, || node.handle(*now, event));
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Table { component, step } => {
                let reply = table::carry_out(&self.table, &step);
                self.count_step(&step, &reply);
                self.waiting
                    .push_back(NodeEvent::TableReply { component, reply });
            }
            Action::Fetch { name } => {
                let content = self.objects.get(&name).map(|bytes| bytes.to_vec());
                self.counts.object_bytes += content.as_ref().map_or(0, |bytes| bytes.len() as u64);
                self.waiting
                    .push_back(NodeEvent::ObjectFetched { name, content });
            }
            Action::Send {
                instance, message, ..
            } => self.answer(instance, &message),
            Action::Decide { ticket, verdict } => self.decide(ticket, &verdict),
            _ => {}
        }
    }

    fn count_step(&mut self, step: &Step, reply: &Reply) {
        match step {
            Step::Read { keys } => self.counts.reads += keys.len() as u64,
            Step::Scan(_) => self.counts.reads += 1,
            Step::Commit(transaction) => {
                self.counts.rows_written += transaction.writes.len() as u64;
                self.counts.table_bytes += transaction.writes.iter().map(write_bytes).sum::<u64>();
            }
        }
        if let Reply::Rows(rows) = reply {
            self.counts.table_bytes += rows.iter().map(row_bytes).sum::<u64>();
        }
    }

    /// Peers serve chunks; what they are told by gossip is only counted.
    fn answer(&mut self, instance: Arc<str>, message: &Message) {
        match message {
            Message::Gossip(_) => self.counts.gossip_bytes += wire_bytes(message),
            Message::ChunkRequest { name } => {
                let content = self.objects.get(name).map(|bytes| bytes.to_vec());
                self.counts.object_bytes += content.as_ref().map_or(0, |bytes| bytes.len() as u64);
                let name = name.clone();
                let message = Message::Chunk { name, content };
                self.waiting.push_back(NodeEvent::PeerMessage {
                    from: instance,
                    message,
                });
            }
            _ => {}
        }
    }

    fn decide(&mut self, ticket: Ticket, verdict: &Verdict) {
        match verdict {
            Verdict::Run(_) => {
                self.counts.sent += 1;
                self.open
                    .insert((self.now + self.stream_length, ticket.0), ticket);
            }
            Verdict::Refuse(_) => self.counts.refused += 1,
            _ => {}
        }
    }

    /// The peers' heartbeats that are due, spread evenly.
    fn beat(&mut self) {
        let others = self.instances as u64 - 1;
        let interval = self.settings.members.beat_interval.as_secs_f64();
        let due = self.now.since(Instant::default()).as_secs_f64() / interval * others as f64;
        while self.beats < due as u64 {
            self.beats += 1;
            let index = 1 + (self.beats % others) as usize;
            let row = world::member(index, self.beats / others + 1, self.head.version);
            let key = member_row::key(&world::instance_name(index));
            put(&self.table, key, row.encode());
        }
    }

    /// As many messages of gossip as an instance sends reach it.
    fn hear(&mut self) {
        if self.instances < 2 {
            return;
        }
        let gossip = &self.settings.gossip;
        let rate = gossip.fanout.min(self.instances - 1) as f64 / gossip.interval.as_secs_f64();
        if self.rng.random::<f64>() >= rate * TICK.as_secs_f64() {
            return;
        }
        let from = world::instance_name(self.rng.random_range(1..self.instances));
        let message = Message::Gossip(gossip::Message {
            head: Some(self.head),
            updates: Vec::new(),
        });
        self.counts.gossip_bytes += wire_bytes(&message);
        self.handle(NodeEvent::PeerMessage { from, message });
    }
}

fn call() -> Work {
    Work::Call {
        service: world::SERVICE.into(),
        call: "confirm".into(),
        repeatable: false,
        price: Tokens(1),
    }
}

fn me() -> InstanceInfo {
    let row = world::member(0, 0, Version(0));
    InstanceInfo {
        instance: world::instance_name(0),
        incarnation: Incarnation(1),
        caller_address: row.caller_address,
        peer_address: row.peer_address,
        operator_address: row.operator_address,
        zone: row.zone,
        formats: FORMAT,
    }
}

fn put<Key, Value>(table: &Table, key: Key, value: Value)
where
    Key: Into<Arc<str>>,
    Value: Into<Arc<[u8]>>,
{
    let written = table.commit(&Transaction::default().with_put(key, value));
    debug_assert!(
        written.is_ok(),
        "a table in memory without faults takes all writes"
    );
}

fn wire_bytes(message: &Message) -> u64 {
    let body = postcard::to_allocvec(message).map_or(0, |bytes| bytes.len());
    body as u64 + PACKET_BYTES
}

fn row_bytes(row: &Row) -> u64 {
    (row.key.len() + row.value.len()) as u64
}

fn write_bytes(write: &Write) -> u64 {
    match write {
        Write::Put { key, value } => (key.len() + value.len()) as u64,
        Write::Delete { key } => key.len() as u64,
    }
}
