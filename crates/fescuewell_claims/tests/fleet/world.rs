//! A simulated fleet: three instances, each a router and a holder of slots, two backend servers, a
//! table and a network.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_claims::arbiter;
use fescuewell_claims::client::{self, ClaimRequest, Client, Cost, Event as ClientEvent, Outgoing};
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
/// Requests with a lower number are not repeatable.
pub const FIRST_REPEATABLE: usize = 3;
const SLOTS: u16 = 3;
/// Number of powers of four that fit into a total.
const ATTEMPTS: usize = 31;
const TICK: Duration = Duration::from_millis(20);

/// An attempt at a request, with facts that no single instance knows.
struct Attempt {
    key: usize,
    call: ClaimRequest,
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
    client: Client,
    is_paused: bool,
    /// Requests to which the node has not replied, by ticket: sender, its name at that time,
    /// correlation.
    awaiting_reply: BTreeMap<u64, (usize, Arc<str>, u64)>,
    /// Messages that the network has delivered.
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
    terminated_servers: BTreeSet<Arc<str>>,
    terminated: BTreeSet<Arc<str>>,
    attempts: Vec<Attempt>,
    delayed: Vec<(usize, Arc<str>, Outgoing)>,
    is_network_bad: bool,
    sweeps: Vec<Sweep>,
    /// Totals with which each terminated router's allowance was reclaimed.
    reclaimed: BTreeMap<Arc<str>, u64>,
    server_count: u32,
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
    let client_settings = client::Settings {
        slots: SLOTS,
        ..client::Settings::default()
    };
    let seed = (index as u64) << 32 | u64::from(incarnation);
    Instance {
        node: Node::new(&name, settings),
        client: Client::new(client_settings, name.clone(), seed),
        name,
        incarnation,
        is_paused: false,
        awaiting_reply: BTreeMap::new(),
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
            terminated_servers: BTreeSet::new(),
            terminated: BTreeSet::new(),
            attempts: Vec::new(),
            delayed: Vec::new(),
            is_network_bad: false,
            sweeps: Vec::new(),
            reclaimed: BTreeMap::new(),
            server_count: 0,
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
            Event::Submit {
                router,
                key,
                other_body,
            } => self.submit(router, key, other_body),
            Event::End { pick, is_complete } => self.end(pick, is_complete),
            Event::Run { ticks } => self.run(u32::from(ticks)),
            Event::Kill { instance } => self.kill(instance),
            Event::Pause { instance } => {
                self.instances[instance].is_paused = true;
                self.place_slots();
            }
            Event::Resume => self.resume(),
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

    fn submit(&mut self, router: usize, key: usize, other_body: bool) {
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
        let call = ClaimRequest {
            request: support::digest(&format!("x{key}")),
            fingerprint: Digest::of(body),
            group: "signwise".into(),
            hold: Tokens(1 << (2 * ticket)),
            repeatable: key >= FIRST_REPEATABLE,
            lost,
        };
        let client = &mut self.instances[router].client;
        let number = client.claim(self.now, ticket, &call);
        self.attempts.push(Attempt {
            key,
            call,
            owner: client.owner(number),
            router,
            server: None,
            is_sent: false,
            is_answered: false,
            is_bill_durable: false,
        });
    }

    /// Sends an attempt to a backend server, or releases it.
    fn send(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        let client = &mut self.instances[attempt.router].client;
        let request = attempt.call.request;
        if self.rng.random_bool(0.1) {
            client.release(self.now, request, attempt.owner.attempt);
            attempt.is_bill_durable = true;
            return;
        }
        let server = &mut self.servers[index % SERVERS];
        let id = stream::id(&attempt.owner, request);
        server.records.push(Stream {
            stream: id.clone(),
            group: attempt.call.group.clone(),
            hold: attempt.call.hold,
            tokens: attempt.call.hold,
            progress: Progress::Running,
            response: None,
        });
        let server = server.name.clone();
        let assignment = Assignment {
            server: server.clone(),
            stream: id,
        };
        client.assign(self.now, request, attempt.owner.attempt, assignment);
        attempt.server = Some(server);
        attempt.is_sent = true;
    }

    fn end(&mut self, pick: usize, is_complete: bool) {
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
        record.progress = if is_complete {
            Progress::Complete
        } else {
            Progress::Interrupted
        };
        let (owner, _) = stream::parse(&record.stream).expect("the stream id is valid");
        let position = self
            .attempts
            .iter()
            .position(|attempt| attempt.owner == owner);
        self.bill(position.expect("the attempt exists"), is_complete);
    }

    /// Bills an attempt whose stream has ended, if its router is still running.
    fn bill(&mut self, index: usize, is_complete: bool) {
        let attempt = &mut self.attempts[index];
        let instance = &mut self.instances[attempt.router];
        if instance.name != attempt.owner.holder || instance.is_paused {
            return;
        }
        attempt.is_answered |= is_complete;
        let cost = Cost {
            tokens: attempt.call.hold,
            complete: is_complete,
            response: None,
        };
        let number = attempt.owner.attempt;
        instance
            .client
            .bill(self.now, index as u64, &attempt.call, number, cost);
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

    fn resume(&mut self) {
        for instance in &mut self.instances {
            instance.is_paused = false;
        }
        self.place_slots();
        // Streams that ended during the pause.
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
        let id = stream::id(&attempt.owner, attempt.call.request);
        let mut records = self.servers.iter().flat_map(|server| &server.records);
        let record = records.find(|record| record.stream == id);
        record.map(|record| record.progress)
    }

    fn add_server(&mut self) {
        self.server_count += 1;
        let name = format!("e{}", self.server_count).into();
        let records = Vec::new();
        self.servers.push(Server { name, records });
    }

    fn kill_server(&mut self, index: usize) {
        self.add_server();
        let terminated = self.servers.swap_remove(index);
        for sweep in &mut self.sweeps {
            sweep.server_terminated(&terminated.name);
        }
        for record in &terminated.records {
            let (owner, _) = stream::parse(&record.stream).expect("the stream id is valid");
            let position = self
                .attempts
                .iter()
                .position(|attempt| attempt.owner == owner);
            if record.progress == Progress::Running {
                self.bill(position.expect("the attempt exists"), false);
            }
        }
        self.terminated_servers.insert(terminated.name);
    }

    /// Assigns each slot to an instance that is not paused.
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
                instance.client.set_holder(self.now, SlotKey(slot), name);
            }
        }
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now = self.now + TICK;
            self.carry_messages();
            self.work();
            self.handle_events();
            self.sweep();
        }
    }

    fn carry_messages(&mut self) {
        let mut outgoing = std::mem::take(&mut self.delayed);
        for index in 0..INSTANCES {
            let instance = &mut self.instances[index];
            if instance.is_paused {
                continue;
            }
            let name = instance.name.clone();
            for message in instance.client.take_outgoing(self.now) {
                outgoing.push((index, name.clone(), message));
            }
        }
        for message in outgoing {
            if self.is_network_bad && self.rng.random_bool(0.3) {
                continue;
            }
            if self.is_network_bad && self.rng.random_bool(0.3) {
                self.delayed.push(message.clone());
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

    /// Lets every holder of slots process its messages, commit and reply.
    fn work(&mut self) {
        let mut replies = Vec::new();
        for instance in &mut self.instances {
            if instance.is_paused {
                continue;
            }
            while let Some((from, name, outgoing)) = instance.inbox.pop_front() {
                let ticket = instance
                    .node
                    .submit_to(self.now, outgoing.slot, &outgoing.request);
                instance
                    .awaiting_reply
                    .insert(ticket, (from, name, outgoing.correlation));
            }
            instance.node.run_due_steps(self.now, &mut self.table);
            for (ticket, reply) in std::mem::take(&mut instance.node.replies) {
                if let Some((from, name, correlation)) = instance.awaiting_reply.remove(&ticket) {
                    replies.push((from, name, correlation, reply));
                }
            }
        }
        for (from, name, correlation, reply) in replies {
            let is_lost = self.is_network_bad && self.rng.random_bool(0.3);
            let router = &mut self.instances[from];
            if !is_lost && router.name == name {
                router.client.receive(self.now, correlation, reply);
            }
        }
    }

    fn handle_events(&mut self) {
        for index in 0..INSTANCES {
            if self.instances[index].is_paused {
                continue;
            }
            for event in self.instances[index].client.take_events() {
                self.handle_event(event);
            }
        }
    }

    fn handle_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::ClaimAnswered { ticket, result, .. } => {
                let index = ticket as usize;
                let is_non_repeatable = !self.attempts[index].call.repeatable;
                match result {
                    Ok(durable) => {
                        assert!(
                            durable || !is_non_repeatable,
                            "a non-repeatable request on a claim that is not durable"
                        );
                        self.send(index);
                    }
                    Err(known) => self.refused(index, known),
                }
            }
            ClientEvent::ClaimTimedOut { ticket, .. }
            | ClientEvent::ClaimUnavailable { ticket, .. } => {
                let index = ticket as usize;
                match self.attempts[index].call.repeatable {
                    true => self.send(index),
                    false => self.attempts[index].is_bill_durable = true,
                }
            }
            ClientEvent::BillDurable { ticket, .. } => {
                self.attempts[ticket as usize].is_bill_durable = true;
            }
            ClientEvent::LookedUp { .. } => {}
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
        if self.terminated_servers.contains(&assignment.server) {
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
                // Once the first sweep's totals are dropped, another sweep finds none, and its
                // reclaim finds no allowance either.
                assert!(charged == first || charged == 0, "{charged} after {first}");
                sweep.reclaimed();
            }
        }
    }

    /// Sends a request to the holder of a slot and lets it commit. There may be no reply.
    fn ask_holder(&mut self, slot: SlotKey, request: &Request) -> Option<Reply> {
        let holder = self
            .instances
            .iter_mut()
            .find(|instance| !instance.is_paused && instance.node.arbiter.holds(slot))?;
        let ticket = holder.node.submit_to(self.now, slot, request);
        self.now = self.now + Duration::from_millis(60);
        holder.node.run_due_steps(self.now, &mut self.table);
        holder.node.replies.remove(&ticket)
    }

    /// Ends all faults, lets all requests finish, then terminates and sweeps every router.
    pub fn settle(&mut self) {
        self.apply(&Event::Table(Fault::None));
        self.is_network_bad = false;
        self.resume();
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
        panic!("sweeps did not finish: {:?}", self.sweeps);
    }

    /// Invariants that hold at any time.
    pub fn check(&self) {
        for key in 0..FIRST_REPEATABLE {
            let sent = self
                .attempts
                .iter()
                .filter(|attempt| attempt.key == key && attempt.is_sent);
            assert!(
                sent.count() <= 1,
                "non-repeatable request {key} was sent twice"
            );
        }
    }

    /// Invariants that hold once every router has been swept.
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
                "request {key} got a complete response but was never charged"
            );
        }
        for (holder, total) in &self.reclaimed {
            let own =
                |&index: &usize| self.attempts[index].owner.holder == *holder && charged[index];
            let sum: u64 = (0..self.attempts.len())
                .filter(own)
                .map(|index| 1 << (2 * index))
                .sum();
            assert_eq!(
                sum, *total,
                "{holder} was charged for attempts of other routers"
            );
        }
    }

    /// Whether an attempt with a complete response must have been charged. Its bill is lost only if
    /// the router crashed while the bill was in memory and the backend server is gone with its
    /// record, both before the bill was durable.
    fn is_owed(&self, index: usize) -> bool {
        let attempt = &self.attempts[index];
        let is_server_gone = attempt
            .server
            .as_ref()
            .is_some_and(|server| self.terminated_servers.contains(server));
        attempt.is_answered && (attempt.is_bill_durable || !is_server_gone)
    }
}
