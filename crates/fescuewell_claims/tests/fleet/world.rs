//! Three instances, each a router and a holder of slots; two backend servers; a table; a network.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_claims::arbiter;
use fescuewell_claims::client::{self, ClaimRequest, Client, Cost, Event as Learned, Outgoing};
use fescuewell_claims::message::{Assignment, Owner, Reply, Request, RequestState};
use fescuewell_claims::stream;
use fescuewell_claims::sweep::{self, Action, Progress, Stream, Sweep};
use fescuewell_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Event;
use crate::support::{self, Fault, Node, Table};

pub const INSTANCES: usize = 3;
pub const SERVERS: usize = 2;
pub const KEYS: usize = 6;
/// Requests with a smaller number may not be repeated.
pub const FIRST_REPEATABLE: usize = 3;
const SLOTS: u16 = 3;
/// So many powers of four fit into a total.
const ATTEMPTS: usize = 31;
const TICK: Duration = Duration::from_millis(20);

/// One attempt at a request, as an all-seeing observer knows it.
struct Attempt {
    key: usize,
    ask: ClaimRequest,
    owner: Owner,
    router: usize,
    server: Option<Arc<str>>,
    is_sent: bool,
    is_answered: bool,
    is_bill_durable: bool,
}

struct Instance {
    name: Arc<str>,
    incarnation: u32,
    node: Node,
    courier: Client,
    is_paused: bool,
    /// Questions whose answer the node owes: ticket, asking instance, its name then, correlation.
    owed: BTreeMap<u64, (usize, Arc<str>, u64)>,
    /// What the network brings.
    inbox: VecDeque<(usize, Arc<str>, Outgoing)>,
}

struct Server {
    name: Arc<str>,
    records: Vec<Stream>,
}

pub(crate) struct World {
    now: Instant,
    rng: SmallRng,
    table: Table,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    dead_servers: BTreeSet<Arc<str>>,
    terminated: BTreeSet<Arc<str>>,
    attempts: Vec<Attempt>,
    late: Vec<(usize, Arc<str>, Outgoing)>,
    is_network_bad: bool,
    sweeps: Vec<Sweep>,
    /// Totals with which each dead router's allowance was reclaimed.
    reclaimed: BTreeMap<Arc<str>, u64>,
    served: u32,
}

fn instance(index: usize, incarnation: u32) -> Instance {
    let name: Arc<str> = format!("n{index}.{incarnation:x}").into();
    let settings = arbiter::Settings {
        slots: SLOTS,
        checkpoint_every: 3,
        chunk_bytes: 200,
        flush_interval: Duration::from_millis(100),
        ..support::settings()
    };
    let asking = client::Settings {
        slots: SLOTS,
        ..client::Settings::default()
    };
    let seed = (index as u64) << 32 | u64::from(incarnation);
    Instance {
        node: Node::new(&name, settings),
        courier: Client::new(asking, name.clone(), seed),
        name,
        incarnation,
        is_paused: false,
        owed: BTreeMap::new(),
        inbox: VecDeque::new(),
    }
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now: Instant::from_millis(0),
            rng: SmallRng::seed_from_u64(11),
            table: Table::default(),
            instances: (0..INSTANCES).map(|index| instance(index, 1)).collect(),
            servers: Vec::new(),
            dead_servers: BTreeSet::new(),
            terminated: BTreeSet::new(),
            attempts: Vec::new(),
            late: Vec::new(),
            is_network_bad: false,
            sweeps: Vec::new(),
            reclaimed: BTreeMap::new(),
            served: 0,
        };
        for _ in 0..SERVERS {
            world.add_server();
        }
        world.place_slots();
        world.run(20);
        world
    }

    pub fn apply(&mut self, event: &Event) {
        match *event {
            Event::Ask {
                router,
                key,
                other_body,
            } => self.ask(router, key, other_body),
            Event::End { pick, is_whole } => self.end(pick, is_whole),
            Event::Run { ticks } => self.run(u32::from(ticks)),
            Event::Kill { instance } => self.kill(instance),
            Event::Pause { instance } => {
                self.instances[instance].is_paused = true;
                self.place_slots();
            }
            Event::Wake => self.wake(),
            Event::KillServer { server } => self.kill_server(server),
            Event::KillSweep => self.restart_sweeps(),
            Event::Table(fault) => {
                if fault != Fault::Delays {
                    self.table.deliver_delayed();
                }
                self.table.fault = fault;
            }
            Event::Network { is_bad } => self.is_network_bad = is_bad,
        }
    }

    fn ask(&mut self, router: usize, key: usize, other_body: bool) {
        let name = &self.instances[router].name;
        // A router attaches a repeat to its own attempt while that is open.
        let is_open = self.attempts.iter().any(|attempt| {
            attempt.key == key && attempt.owner.holder == *name && !attempt.is_bill_durable
        });
        if is_open || self.instances[router].is_paused {
            return;
        }
        self.claim(router, key, other_body, None);
    }

    fn claim(&mut self, router: usize, key: usize, other_body: bool, lost: Option<Owner>) {
        if self.attempts.len() == ATTEMPTS {
            return;
        }
        let ticket = self.attempts.len() as u64;
        let body: &[u8] = if other_body { b"other" } else { b"body" };
        let ask = ClaimRequest {
            request: support::digest(&format!("x{key}")),
            fingerprint: Digest::of(body),
            group: "signwise".into(),
            hold: Tokens(1 << (2 * ticket)),
            repeatable: key >= FIRST_REPEATABLE,
            lost,
        };
        let courier = &mut self.instances[router].courier;
        let number = courier.claim(self.now, ticket, &ask);
        self.attempts.push(Attempt {
            key,
            ask,
            owner: courier.owner(number),
            router,
            server: None,
            is_sent: false,
            is_answered: false,
            is_bill_durable: false,
        });
    }

    /// Sends an attempt to a backend server, or gives it up before that.
    fn send(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        let courier = &mut self.instances[attempt.router].courier;
        let request = attempt.ask.request;
        if self.rng.random_bool(0.1) {
            courier.release(self.now, request, attempt.owner.attempt);
            attempt.is_bill_durable = true;
            return;
        }
        let server = &mut self.servers[index % SERVERS];
        let id = stream::id(&attempt.owner, request);
        server.records.push(Stream {
            stream: id.clone(),
            group: attempt.ask.group.clone(),
            hold: attempt.ask.hold,
            tokens: attempt.ask.hold,
            progress: Progress::Running,
            response: None,
        });
        let server = server.name.clone();
        let assignment = Assignment {
            server: server.clone(),
            stream: id,
        };
        courier.assign(self.now, request, attempt.owner.attempt, assignment);
        attempt.server = Some(server);
        attempt.is_sent = true;
    }

    fn end(&mut self, pick: usize, is_whole: bool) {
        let mut running = Vec::new();
        for (server, entry) in self.servers.iter().enumerate() {
            for (index, record) in entry.records.iter().enumerate() {
                if record.progress == Progress::Running {
                    running.push((server, index));
                }
            }
        }
        if running.is_empty() {
            return;
        }
        let (server, index) = running[pick % running.len()];
        let record = &mut self.servers[server].records[index];
        record.progress = if is_whole {
            Progress::Complete
        } else {
            Progress::Interrupted
        };
        let (owner, _) = stream::parse(&record.stream).expect("it is one of ours");
        let position = self
            .attempts
            .iter()
            .position(|attempt| attempt.owner == owner);
        self.bill(position.expect("it was recorded"), is_whole);
    }

    /// The router of an attempt learns that its stream has ended, if it still lives.
    fn bill(&mut self, index: usize, is_whole: bool) {
        let attempt = &mut self.attempts[index];
        let instance = &mut self.instances[attempt.router];
        if instance.name != attempt.owner.holder || instance.is_paused {
            return;
        }
        attempt.is_answered |= is_whole;
        let cost = Cost {
            tokens: attempt.ask.hold,
            complete: is_whole,
            response: None,
        };
        let number = attempt.owner.attempt;
        instance
            .courier
            .bill(self.now, index as u64, &attempt.ask, number, cost);
    }

    fn kill(&mut self, index: usize) {
        let former = &self.instances[index];
        let (name, incarnation) = (former.name.clone(), former.incarnation);
        self.instances[index] = instance(index, incarnation + 1);
        self.terminated.insert(name.clone());
        self.start_sweep(name);
        self.place_slots();
    }

    fn start_sweep(&mut self, holder: Arc<str>) {
        let settings = sweep::Settings {
            slots: SLOTS,
            cancel_after: Duration::from_secs(2),
            listing_delay: Duration::from_millis(500),
            retry_interval: Duration::from_millis(300),
            ..sweep::Settings::default()
        };
        let servers: Vec<Arc<str>> = self
            .servers
            .iter()
            .map(|server| server.name.clone())
            .collect();
        self.sweeps
            .push(Sweep::new(self.now, settings, holder, &servers));
    }

    fn restart_sweeps(&mut self) {
        let sweeps = std::mem::take(&mut self.sweeps);
        for sweep in sweeps {
            self.start_sweep(sweep.holder().clone());
        }
    }

    fn wake(&mut self) {
        for instance in &mut self.instances {
            instance.is_paused = false;
        }
        self.place_slots();
        // Streams that ended meanwhile.
        for index in 0..self.attempts.len() {
            let ended = self.progress(index);
            let attempt = &self.attempts[index];
            let is_due = attempt.is_sent && !attempt.is_answered && !attempt.is_bill_durable;
            if is_due && ended.is_some_and(|progress| progress != Progress::Running) {
                self.bill(index, ended == Some(Progress::Complete));
            }
        }
    }

    fn progress(&self, index: usize) -> Option<Progress> {
        let attempt = &self.attempts[index];
        let id = stream::id(&attempt.owner, attempt.ask.request);
        let mut records = self.servers.iter().flat_map(|server| &server.records);
        let record = records.find(|record| record.stream == id);
        record.map(|record| record.progress)
    }

    fn add_server(&mut self) {
        self.served += 1;
        let name = format!("e{}", self.served).into();
        let records = Vec::new();
        self.servers.push(Server { name, records });
    }

    fn kill_server(&mut self, index: usize) {
        self.add_server();
        let dead = self.servers.swap_remove(index);
        for sweep in &mut self.sweeps {
            sweep.server_terminated(&dead.name);
        }
        for record in &dead.records {
            let (owner, _) = stream::parse(&record.stream).expect("it is one of ours");
            let position = self
                .attempts
                .iter()
                .position(|attempt| attempt.owner == owner);
            if record.progress == Progress::Running {
                self.bill(position.expect("it was recorded"), false);
            }
        }
        self.dead_servers.insert(dead.name);
    }

    /// Gives each slot to an instance that is not paused.
    fn place_slots(&mut self) {
        let awake: Vec<usize> = (0..INSTANCES)
            .filter(|&index| !self.instances[index].is_paused)
            .collect();
        let mut lapsed = self.terminated.clone();
        for instance in self.instances.iter().filter(|instance| instance.is_paused) {
            lapsed.insert(instance.name.clone());
        }
        let holder = |slot: u16| Some(*awake.get(slot as usize % awake.len().max(1))?);
        let names: Vec<Arc<str>> = self
            .instances
            .iter()
            .map(|entry| entry.name.clone())
            .collect();
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if instance.is_paused {
                continue;
            }
            let wanted: Vec<SlotKey> = (0..SLOTS)
                .filter(|&slot| holder(slot) == Some(index))
                .map(SlotKey)
                .collect();
            let arbiter = &mut instance.node.arbiter;
            arbiter.set_wanted(self.now, &wanted);
            arbiter.set_lapsed(self.now, lapsed.clone());
            arbiter.set_terminated(self.now, self.terminated.clone());
            for slot in 0..SLOTS {
                let name = holder(slot).map(|holder| names[holder].clone());
                instance.courier.set_holder(self.now, SlotKey(slot), name);
            }
        }
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now = self.now + TICK;
            self.carry_messages();
            self.work();
            self.learn();
            self.sweep();
        }
    }

    fn carry_messages(&mut self) {
        let mut outgoing = std::mem::take(&mut self.late);
        for index in 0..INSTANCES {
            let instance = &mut self.instances[index];
            if instance.is_paused {
                continue;
            }
            let name = instance.name.clone();
            for message in instance.courier.take_outgoing(self.now) {
                outgoing.push((index, name.clone(), message));
            }
        }
        for message in outgoing {
            if self.is_network_bad && self.rng.random_bool(0.3) {
                continue;
            }
            if self.is_network_bad && self.rng.random_bool(0.3) {
                self.late.push(message.clone());
            }
            let (from, name, outgoing) = message;
            let target = self
                .instances
                .iter_mut()
                .find(|entry| entry.name == outgoing.instance);
            if let Some(target) = target {
                target.inbox.push_back((from, name, outgoing));
            }
        }
    }

    /// Lets every holder of slots decide, write and answer.
    fn work(&mut self) {
        let mut replies = Vec::new();
        for instance in &mut self.instances {
            if instance.is_paused {
                continue;
            }
            while let Some((from, name, outgoing)) = instance.inbox.pop_front() {
                let ticket = instance
                    .node
                    .ask_slot(self.now, outgoing.slot, &outgoing.request);
                instance
                    .owed
                    .insert(ticket, (from, name, outgoing.correlation));
            }
            instance.node.turn(self.now, &mut self.table);
            for (ticket, reply) in std::mem::take(&mut instance.node.replies) {
                if let Some((from, name, correlation)) = instance.owed.remove(&ticket) {
                    replies.push((from, name, correlation, reply));
                }
            }
        }
        for (from, name, correlation, reply) in replies {
            let is_lost = self.is_network_bad && self.rng.random_bool(0.3);
            let router = &mut self.instances[from];
            if !is_lost && router.name == name {
                router.courier.receive(self.now, correlation, reply);
            }
        }
    }

    fn learn(&mut self) {
        for index in 0..INSTANCES {
            if self.instances[index].is_paused {
                continue;
            }
            for event in self.instances[index].courier.take_events() {
                self.learned(event);
            }
        }
    }

    fn learned(&mut self, event: Learned) {
        match event {
            Learned::ClaimAnswered { ticket, result, .. } => {
                let index = ticket as usize;
                let is_single = !self.attempts[index].ask.repeatable;
                match result {
                    Ok(durable) => {
                        assert!(durable || !is_single, "a single call on a claim in memory");
                        self.send(index);
                    }
                    Err(known) => self.refused(index, known),
                }
            }
            Learned::ClaimTimedOut { ticket, .. } | Learned::ClaimUnavailable { ticket, .. } => {
                let index = ticket as usize;
                match self.attempts[index].ask.repeatable {
                    true => self.send(index),
                    false => self.attempts[index].is_bill_durable = true,
                }
            }
            Learned::BillDurable { ticket, .. } => {
                self.attempts[ticket as usize].is_bill_durable = true;
            }
            Learned::LookedUp { .. } => {}
        }
    }

    fn refused(&mut self, index: usize, known: RequestState) {
        let attempt = &mut self.attempts[index];
        attempt.is_bill_durable = true;
        let RequestState::InProgress {
            owner,
            assignment: Some(assignment),
        } = known
        else {
            return;
        };
        // The router looks for the stream and finds that its server is gone.
        if self.dead_servers.contains(&assignment.server) {
            let (router, key) = (attempt.router, attempt.key);
            self.claim(router, key, false, Some(owner));
        }
    }

    fn sweep(&mut self) {
        let mut sweeps = std::mem::take(&mut self.sweeps);
        for sweep in &mut sweeps {
            for action in sweep.take_actions(self.now) {
                self.carry_out(sweep, action);
            }
        }
        sweeps.retain(|sweep| !sweep.is_done());
        self.sweeps.extend(sweeps);
    }

    fn carry_out(&mut self, sweep: &mut Sweep, action: Action) {
        match action {
            Action::ListStreams { server } => {
                match self.servers.iter().find(|entry| entry.name == server) {
                    Some(entry) => sweep.record_streams(self.now, &server, &entry.records),
                    None => sweep.server_terminated(&server),
                }
            }
            Action::Cancel { server, stream } => {
                let entry = self.servers.iter_mut().find(|entry| entry.name == server);
                let records = entry.map(|entry| entry.records.iter_mut());
                for record in records.into_iter().flatten() {
                    if record.stream == stream {
                        record.progress = Progress::Interrupted;
                    }
                }
            }
            Action::Send {
                slot,
                correlation,
                request,
            } => {
                if let Some(reply) = self.ask_holder(slot, &request) {
                    sweep.reply(self.now, slot, correlation, reply);
                }
            }
            Action::Finished { totals } => {
                let charged = totals.iter().map(|(_, charged)| charged.0).sum();
                let first = *self
                    .reclaimed
                    .entry(sweep.holder().clone())
                    .or_insert(charged);
                // Once the first sweep has made the slots forget, another finds nothing; its reclaim finds no
                // allowance either.
                assert!(charged == first || charged == 0, "{charged} after {first}");
                sweep.reclaimed();
            }
        }
    }

    /// Asks the holder of a slot and lets it commit; the answer may be missing.
    fn ask_holder(&mut self, slot: SlotKey, request: &Request) -> Option<Reply> {
        let holder = self
            .instances
            .iter_mut()
            .find(|instance| !instance.is_paused && instance.node.arbiter.holds(slot))?;
        let ticket = holder.node.ask_slot(self.now, slot, request);
        self.now = self.now + Duration::from_millis(60);
        holder.node.turn(self.now, &mut self.table);
        holder.node.replies.remove(&ticket)
    }

    /// Mends everything, lets all end, then kills every router and sweeps it.
    pub fn settle(&mut self) {
        self.apply(&Event::Table(Fault::None));
        self.is_network_bad = false;
        self.wake();
        self.run(100);
        for index in 0..INSTANCES {
            self.kill(index);
        }
        for _ in 0..200 {
            if self.sweeps.is_empty() {
                return;
            }
            self.run(50);
        }
        panic!("not swept: {:?}", self.sweeps);
    }

    /// What must hold at any time.
    pub fn check(&self) {
        for key in 0..FIRST_REPEATABLE {
            let sent = self
                .attempts
                .iter()
                .filter(|attempt| attempt.key == key && attempt.is_sent);
            assert!(sent.count() <= 1, "single call {key} was sent twice");
        }
    }

    /// What must hold once every router is swept.
    pub fn check_settled(&self) {
        let mut charged = Vec::new();
        for (index, attempt) in self.attempts.iter().enumerate() {
            let total = self
                .reclaimed
                .get(&attempt.owner.holder)
                .copied()
                .unwrap_or(0);
            let digit = (total >> (2 * index)) & 3;
            assert!(digit <= 1, "attempt {index} was charged {digit} times");
            charged.push(digit == 1);
        }
        for key in 0..KEYS {
            let of_key = |index: &usize| self.attempts[*index].key == key;
            let attempts: Vec<usize> = (0..self.attempts.len()).filter(of_key).collect();
            let bills = attempts.iter().filter(|&&index| charged[index]).count();
            assert!(bills <= 1, "request {key} was charged {bills} times");
            let is_owed = attempts.iter().any(|&index| self.is_owed(index));
            assert!(
                bills == 1 || !is_owed,
                "request {key} was answered and never charged"
            );
        }
        for (holder, total) in &self.reclaimed {
            let own =
                |&index: &usize| self.attempts[index].owner.holder == *holder && charged[index];
            let sum: u64 = (0..self.attempts.len())
                .filter(own)
                .map(|index| 1 << (2 * index))
                .sum();
            assert_eq!(sum, *total, "{holder} was charged for what is not its own");
        }
    }

    /// Whether an answered attempt must have been charged. Its bill is lost only when the router died with it in
    /// memory and the backend server is gone with its record, both before the table had it.
    fn is_owed(&self, index: usize) -> bool {
        let attempt = &self.attempts[index];
        let is_server_gone = attempt
            .server
            .as_ref()
            .is_some_and(|server| self.dead_servers.contains(server));
        attempt.is_answered && (attempt.is_bill_durable || !is_server_gone)
    }
}
