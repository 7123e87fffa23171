//! A simulated network in virtual time: instances poll, gossip and fetch over links with seeded
//! delays.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{Reply, Row, Step, Transaction};
use fescuewell_membership::gossip::{self, Gossip, Message};
use fescuewell_membership::prelude::*;
use fescuewell_membership::propagate::{self, Assembler, Head, Propagation, Rejection, Source};
use fescuewell_membership::row::State;
use fescuewell_membership::slots::Assigner;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Fault, Store, info, instance};

/// Names and sizes of the objects of every document: a root, a directory and a leaf, each known
/// only from the previous one.
const OBJECTS: [(&str, usize); 3] = [("root", 350), ("directory", 700), ("leaf", 2_000)];

/// Test assembler whose objects are named after their version.
#[derive(Debug, Default)]
pub struct TestAssembler {
    pub objects: BTreeSet<Arc<str>>,
    version: u128,
    pub unreadable: BTreeSet<u128>,
}

pub fn object(version: u128, part: usize) -> Arc<str> {
    format!("{version}-{}", OBJECTS[part].0).into()
}

/// Content of the object with that name.
pub fn bytes(name: &str) -> Vec<u8> {
    let part = OBJECTS.iter().find(|(part, _)| name.ends_with(part));
    vec![0; part.map_or(0, |(_, size)| *size)]
}

impl Assembler for TestAssembler {
    fn head(&self, row: &Row) -> Result<Head, Rejection> {
        let text = std::str::from_utf8(&row.value).map_err(|_| Rejection::Unreadable)?;
        let version: u64 = text.parse().map_err(|_| Rejection::Unreadable)?;
        Ok(head(version))
    }

    fn start(&mut self, root: Digest) -> Result<(), Rejection> {
        self.version = root.0;
        Ok(())
    }

    fn missing(&self) -> Vec<Arc<str>> {
        let parts = (0..OBJECTS.len()).map(|part| object(self.version, part));
        parts
            .filter(|name| !self.objects.contains(name))
            .take(1)
            .collect()
    }

    fn supply(&mut self, name: &str, content: &[u8]) -> Result<(), Rejection> {
        if content != bytes(name) {
            return Err(Rejection::Corrupt);
        }
        if self.unreadable.contains(&self.version) {
            return Err(Rejection::Unreadable);
        }
        self.objects.insert(name.into());
        Ok(())
    }
}

pub fn head(version: u64) -> Head {
    Head {
        version: Version(version),
        root: Digest(u128::from(version)),
    }
}

/// One instance, without its router.
pub struct Node {
    pub members: Members,
    pub gossip: Gossip,
    pub propagation: Propagation,
    pub assembler: TestAssembler,
    pub assigner: Assigner,
    pub region: usize,
    pub zone: Arc<str>,
    pub sent: u64,
    pub received: u64,
    pub object_bytes: u64,
    pub applied: Vec<Version>,
    next_assign_at: Instant,
}

enum Event {
    Wake,
    Message {
        from: usize,
        message: Message,
    },
    TableReply {
        is_head: bool,
        reply: Reply,
    },
    Object {
        name: Arc<str>,
        content: Option<Vec<u8>>,
        from: Source,
    },
}

/// Which links and services work.
pub struct Faults {
    /// Whether the instance reaches the table and the object store.
    pub store: Box<dyn Fn(usize) -> bool>,
    /// Whether the two instances reach each other.
    pub peers: Box<dyn Fn(usize, usize) -> bool>,
    /// Percentage of table replies that are stale.
    pub stale_percent: u32,
}

pub struct Network {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub faults: Faults,
    pub objects: BTreeSet<Arc<str>>,
    pub object_reads: u64,
    pub stopped: BTreeSet<usize>,
    index: BTreeMap<Arc<str>, usize>,
    events: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    payloads: BTreeMap<u64, Event>,
    sequence: u64,
    rng: SmallRng,
}

/// Number of slots of request ids.
pub const SLOTS: u16 = 64;
const ASSIGN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval in a fleet of hundreds, which keeps the simulation fast.
const LARGE_FLEET_ASSIGN_INTERVAL: Duration = Duration::from_secs(5);
const LARGE_FLEET: usize = 100;
const WAKE_INTERVAL: Duration = Duration::from_millis(50);
/// Overhead per message: UDP and IP headers, QUIC header and tag.
pub const PACKET_OVERHEAD_BYTES: usize = 60;

impl Network {
    pub fn new(count: usize, regions: usize, seed: u64) -> Self {
        let size = count as u32;
        let node = |index: usize| {
            let mut own = info(index, 1);
            let region = index % regions;
            own.zone = format!("{region}{}", ["a", "b", "c"][index / regions % 3]).into();
            let seed = seed + index as u64 * 3;
            let settings = gossip::Settings::sized(size);
            Node {
                zone: own.zone.clone(),
                assigner: Assigner::new(own.instance.clone(), SLOTS, Duration::from_secs(3)),
                gossip: Gossip::new(settings, own.instance.clone(), own.zone.clone(), seed),
                members: Members::new(Settings::sized(size), own, seed + 1),
                propagation: Propagation::new(propagate::Settings::sized(size), seed + 2),
                assembler: TestAssembler::default(),
                region,
                sent: 0,
                received: 0,
                object_bytes: 0,
                next_assign_at: Instant::default(),
                applied: Vec::new(),
            }
        };
        let mut network = Self {
            now: Instant::default(),
            nodes: (0..count).map(node).collect(),
            store: Store::default(),
            faults: Faults {
                store: Box::new(|_| true),
                peers: Box::new(|_, _| true),
                stale_percent: 0,
            },
            objects: BTreeSet::new(),
            object_reads: 0,
            stopped: BTreeSet::new(),
            index: (0..count).map(|index| (instance(index), index)).collect(),
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for index in 0..count {
            let offset = network.rng.random_range(0..50);
            network.schedule(Duration::from_millis(offset), index, Event::Wake);
        }
        network
    }

    /// Accepts a document: stores its objects, then writes the row `head`.
    pub fn accept(&mut self, version: u64) {
        let names = (0..OBJECTS.len()).map(|part| object(u128::from(version), part));
        self.objects.extend(names);
        let value: Arc<[u8]> = version.to_string().into_bytes().into();
        let transaction = Transaction::default().with_put(propagate::HEAD_KEY, value);
        self.store.commit(&transaction);
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.run_while(end, |_| true);
    }

    /// Runs until `end` or until `condition` is false, which is checked before each event.
    pub fn run_while<Condition>(&mut self, end: Instant, condition: Condition)
    where
        Condition: Fn(&Self) -> bool,
    {
        while condition(self) {
            let Some(Reverse((at, ..))) = self.events.peek() else {
                return;
            };
            if *at > end {
                break;
            }
            self.step();
        }
        if condition(self) {
            self.now = end;
        }
    }

    fn step(&mut self) {
        let Some(Reverse((at, sequence, index))) = self.events.pop() else {
            return;
        };
        self.now = at;
        if self.stopped.contains(&index) {
            self.payloads.remove(&sequence);
            return;
        }
        match self.payloads.remove(&sequence) {
            Some(Event::Wake) => self.schedule(WAKE_INTERVAL, index, Event::Wake),
            Some(Event::Message { from, message }) => self.handle_message(index, from, message),
            Some(Event::TableReply { is_head, reply }) => self.handle_reply(index, is_head, reply),
            Some(Event::Object {
                name,
                content,
                from,
            }) => {
                let node = &mut self.nodes[index];
                let content = content.as_deref();
                node.object_bytes += content.map_or(0, <[u8]>::len) as u64;
                node.propagation
                    .supply(at, &name, content, from, &mut node.assembler);
            }
            None => {}
        }
        self.poll(index);
    }

    fn handle_message(&mut self, index: usize, from: usize, message: Message) {
        let now = self.now;
        let is_local = self.nodes[from].zone == self.nodes[index].zone;
        let from = instance(from);
        let node = &mut self.nodes[index];
        node.members.record_peer_response(now, &from);
        let received = node.gossip.receive(now, &from, message);
        if let Some(head) = received.head {
            node.propagation
                .record_peer_head(now, &from, is_local, head, &mut node.assembler);
        }
        for update in received.updates {
            node.members.apply_update(now, update);
        }
    }

    fn handle_reply(&mut self, index: usize, is_head: bool, reply: Reply) {
        let now = self.now;
        let node = &mut self.nodes[index];
        match is_head {
            true => node.propagation.reply(now, reply, &mut node.assembler),
            false => node.members.reply(now, reply),
        }
    }

    fn poll(&mut self, index: usize) {
        let now = self.now;
        let assign_interval = if self.nodes.len() < LARGE_FLEET {
            ASSIGN_INTERVAL
        } else {
            LARGE_FLEET_ASSIGN_INTERVAL
        };
        if let Some(step) = self.nodes[index].members.next_step(now) {
            self.access_table(index, false, &step);
        }
        if let Some(step) = self.nodes[index].propagation.next_step(now) {
            self.access_table(index, true, &step);
        }
        let node = &mut self.nodes[index];
        if let Some(head) = node.propagation.take_complete() {
            node.propagation
                .mark_applied(now, head, &mut node.assembler);
            node.applied.push(head.version);
            node.gossip.set_head(head);
            node.members.set_version(head.version);
            node.members.set_state(now, State::Ready);
        }
        if now >= node.next_assign_at {
            node.next_assign_at = now + assign_interval;
            node.assigner.update(now, node.members.view());
            node.members.set_watch(node.assigner.watch().clone());
        }
        let fetches = node.propagation.next_fetches(now, &mut node.assembler);
        let updates = node.members.take_updates();
        node.gossip.broadcast(now, updates);
        let outgoing = node.gossip.take_outgoing(now, node.members.view());
        for request in fetches {
            self.fetch(index, request.name, request.from);
        }
        for outgoing in outgoing {
            self.send(index, &outgoing.to, outgoing.message);
        }
    }

    fn access_table(&mut self, index: usize, is_head: bool, step: &Step) {
        let stale = self.rng.random_range(0..100) < self.faults.stale_percent;
        let fault = match ((self.faults.store)(index), stale) {
            (false, _) => Fault::Unreachable,
            (true, true) => Fault::StaleRead,
            (true, false) => Fault::None,
        };
        let before = self.store.bytes;
        let reply = self.store.execute(step, fault);
        self.nodes[index].received += self.store.bytes - before;
        let delay = Duration::from_micros(self.rng.random_range(3_000..12_000));
        self.schedule(delay, index, Event::TableReply { is_head, reply });
    }

    fn fetch(&mut self, index: usize, name: Arc<str>, from: Source) {
        let (content, delay) = match &from {
            Source::Store => {
                self.object_reads += 1;
                let exists = (self.faults.store)(index) && self.objects.contains(&name);
                let delay = Duration::from_micros(self.rng.random_range(10_000..40_000));
                (exists.then(|| bytes(&name)), delay)
            }
            Source::Peer(peer) => {
                let peer = self.index[peer];
                let exists = self.nodes[peer].assembler.objects.contains(&name);
                let exists = exists && !self.stopped.contains(&peer);
                let is_reachable = (self.faults.peers)(index, peer);
                if exists && is_reachable {
                    self.nodes[peer].object_bytes += bytes(&name).len() as u64;
                }
                (
                    (exists && is_reachable).then(|| bytes(&name)),
                    self.delay(index, peer) * 2,
                )
            }
        };
        self.schedule(
            delay,
            index,
            Event::Object {
                name,
                content,
                from,
            },
        );
    }

    fn send(&mut self, index: usize, to: &Arc<str>, message: Message) {
        let size = encoded_len(&message) + PACKET_OVERHEAD_BYTES;
        self.nodes[index].sent += size as u64;
        let to = self.index[to];
        if !(self.faults.peers)(index, to) {
            return;
        }
        self.nodes[to].received += size as u64;
        let delay = self.delay(index, to);
        let event = Event::Message {
            from: index,
            message,
        };
        self.schedule(delay, to, event);
    }

    /// One-way delay: 0.3 to 1.5 ms within a region, 30 to 90 ms between regions.
    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let same_region = self.nodes[from].region == self.nodes[to].region;
        let range = if same_region {
            300..1_500
        } else {
            30_000..90_000
        };
        Duration::from_micros(self.rng.random_range(range))
    }

    fn schedule(&mut self, delay: Duration, index: usize, event: Event) {
        self.sequence += 1;
        self.payloads.insert(self.sequence, event);
        self.events
            .push(Reverse((self.now + delay, self.sequence, index)));
    }

    /// Whether every instance has this version or a newer one in force.
    pub fn all_have(&self, version: u64) -> bool {
        let has = |node: &Node| {
            node.propagation
                .in_force()
                .is_some_and(|head| head.version.0 >= version)
        };
        self.nodes.iter().all(has)
    }
}

pub fn encoded_len(message: &Message) -> usize {
    postcard::to_allocvec(message).unwrap().len()
}
