//! The system under test, and the sequence of faults of one seed.

mod silence;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use fescuewell::standin::rows;
use fescuewell::standin::worker::{Worker, wait_until};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::caller::{Caller, Kind, request};
use crate::conditions;
use crate::crowd::{self, Crowds};
use crate::document::{Change, Document};
use crate::fault::{self, Fault};
use crate::fixture::{Fixture, any_address, send};
use crate::instance::Instance;
use crate::poison::{self, PoisonCaller};
use crate::stops;
use crate::streams;
use crate::verdict;
use crate::{lists, number, parts};

/// Instances of a world, unless `SOAK_INSTANCES` says otherwise.
const DEFAULT_INSTANCES: u64 = 3;
const SERVERS: usize = 3;
const CALLERS: usize = 6;
/// Attempts within which an instance must quarantine the poison request, even without reports from other instances.
const MAX_QUARANTINE_ATTEMPTS: usize = 6;
/// Crashes that one request may cause without a quarantine.
const MAX_CRASHES: u64 = 3;
const FAULTS_PER_SEED: usize = 10;
/// Upper bound of faults between a copy of the store and its restore.
const MAX_FAULTS_BEFORE_RESTORE: usize = 4;
/// Initial prepaid total of the client account. Some hundred requests exhaust it.
const INITIAL_PREPAID_TOKENS: u64 = 150_000;

/// Number of worlds so far.
static WORLDS: AtomicUsize = AtomicUsize::new(0);

/// The instances under test, the stand-ins they use, and the callers.
pub struct World {
    random: SmallRng,
    /// Indices of the faults before which the store is copied and restored. Drawn from a separate generator, so that the faults
    /// of a seed stay the same.
    restore_schedule: (usize, usize),
    /// Generator of the conditions that servers declare, separate for the same reason.
    condition_random: SmallRng,
    /// Generator of cuts from the servers and of the servers' versions, separate for the same reason.
    stream_random: SmallRng,
    /// Generator of the servers' silences and of changes of the configuration, separate for the same reason.
    silence_random: SmallRng,
    /// Generator of late writes, late copies and stops, separate for the same reason.
    stop_random: SmallRng,
    seed: u64,
    /// Number of replaced servers.
    generation: usize,
    copy: Option<rows::Copy>,
    platform: Fixture,
    instances: Vec<Instance>,
    callers: Vec<Caller>,
    poison_caller: PoisonCaller,
    stop: Arc<AtomicBool>,
    document: Document,
    /// Generator of crowds, separate for the same reason.
    crowd_random: SmallRng,
    crowds: Crowds,
    /// Server of a service of its own, which takes part while servers are silent.
    spare: Worker,
}

impl World {
    pub fn start(seed: u64) -> Self {
        let world = WORLDS.fetch_add(1, Ordering::Relaxed);
        let mut silence_random = SmallRng::seed_from_u64(seed.rotate_left(48));
        let has_few_retries = silence_random.random_bool(0.5);
        let platform = Fixture::without_instance(SERVERS, INITIAL_PREPAID_TOKENS);
        let instance_count = number("SOAK_INSTANCES").unwrap_or(DEFAULT_INSTANCES) as usize;
        let mut instances: Vec<Instance> = (0..instance_count)
            .map(|index| {
                Instance::new(
                    world * instance_count + index,
                    index,
                    seed,
                    &platform,
                    has_few_retries,
                )
            })
            .collect();
        for instance in &mut instances {
            instance.start();
        }
        for instance in &instances {
            assert!(
                instance.wait_ready(),
                "seed {seed}: an instance never became ready"
            );
        }
        let stop = Arc::new(AtomicBool::new(false));
        let fronts: Vec<_> = instances.iter().map(|instance| instance.front).collect();
        let callers = (0..CALLERS)
            .map(|index| Caller::start(seed, index, fronts.clone(), stop.clone()))
            .collect();
        platform.crash_on(poison::BODY);
        let poison_caller = PoisonCaller::start(seed, fronts, stop.clone());
        let mut restore_random = SmallRng::seed_from_u64(!seed);
        let copied = restore_random.random_range(0..FAULTS_PER_SEED - 1);
        let restored = (copied + restore_random.random_range(1..=MAX_FAULTS_BEFORE_RESTORE))
            .min(FAULTS_PER_SEED - 1);
        Self {
            random: SmallRng::seed_from_u64(seed),
            restore_schedule: (copied, restored),
            condition_random: SmallRng::seed_from_u64(seed.rotate_left(32)),
            stream_random: SmallRng::seed_from_u64(seed.rotate_left(16)),
            silence_random,
            stop_random: SmallRng::seed_from_u64(seed.rotate_left(8)),
            seed,
            generation: 0,
            copy: None,
            platform,
            instances,
            callers,
            poison_caller,
            stop,
            document: Document::new(INITIAL_PREPAID_TOKENS),
            crowd_random: SmallRng::seed_from_u64(seed.rotate_left(24)),
            crowds: Crowds::default(),
            spare: Worker::start(any_address(), "spare").unwrap(),
        }
    }

    /// Injects a sequence of faults, some of which overlap.
    pub fn inject_faults(&mut self) {
        let mut active: Vec<Fault> = Vec::new();
        for number in 0..FAULTS_PER_SEED {
            self.copy_or_restore(number);
            self.restart_crashed_servers();
            let fault = fault::draw(&mut self.random, self.instances.len(), SERVERS);
            self.inject(fault);
            conditions::disturb(&mut self.condition_random, &self.platform.workers);
            active.push(fault);
            self.disturb_streams();
            silence::disturb(&mut self.silence_random, &self.platform.workers);
            stops::disturb(&mut self.stop_random, &self.instances);
            self.crowds.disturb(&mut self.crowd_random, &self.instances);
            if self.silence_random.random_bool(0.2) {
                let change =
                    [Change::Idle, Change::Timeout][self.silence_random.random_range(0..2)];
                self.change(change);
            }
            let pause = Duration::from_millis(self.random.random_range(50..700));
            std::thread::sleep(pause);
            if self.random.random_bool(0.6) {
                for fault in active.drain(..) {
                    self.clear(fault);
                }
                conditions::clear(&self.platform.workers);
                silence::clear(&self.platform.workers);
                stops::clear(&self.instances);
                streams::heal(&self.instances);
                self.crowds.clear();
            }
        }
        self.crowds.clear();
        for fault in active {
            self.clear(fault);
        }
        conditions::clear(&self.platform.workers);
        silence::clear(&self.platform.workers);
        stops::clear(&self.instances);
        streams::heal(&self.instances);
    }

    pub(crate) fn instances(&mut self) -> &mut [Instance] {
        &mut self.instances
    }

    pub(crate) fn seed(&self) -> u64 {
        self.seed
    }

    /// Adds prepaid tokens for a phase.
    pub(crate) fn top_up_by(&mut self, tokens: u64) {
        self.document.top_up(tokens);
        self.platform.configure(&self.document.value());
    }

    pub(crate) fn set_event_interval(&self, interval: Duration) {
        for worker in self.phase_workers() {
            worker.set_event_interval(interval);
        }
    }

    /// Lets all servers fall silent, or go on.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        for worker in self.phase_workers() {
            worker.set_silent(is_silent);
        }
    }

    /// Replaces servers by ones of other versions, and cuts instances off from servers.
    fn disturb_streams(&mut self) {
        let random = &mut self.stream_random;
        if random.random_bool(0.6) {
            self.generation += 1;
            streams::roll(random, &self.platform, self.generation);
        }
        if random.random_bool(0.3) {
            streams::cut(random, &self.instances);
        }
    }

    /// Copies the store, and some faults later restores the copy. After the restore, writes the current configuration and
    /// registrations again, as the operator and the backend servers do.
    fn copy_or_restore(&mut self, number: usize) {
        let (copied, restored) = self.restore_schedule;
        if number == copied {
            self.copy = Some(self.platform.store.copy());
        }
        if number != restored {
            return;
        }
        if let Some(copy) = &self.copy {
            self.platform.store.restore(copy);
        }
        self.platform.configure(&self.document.value());
        // The store removes entries of servers that write no heartbeats.
        for (id, _) in self.platform.store.table("servers") {
            let mut workers = self.platform.workers.iter();
            if !workers.any(|worker| worker.name() == id) {
                self.platform.store.remove("servers", "", &id);
            }
        }
        self.write_heartbeats();
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(index) => self.instances[index].pause(),
            Fault::Kill(index) => self.instances[index].kill(),
            Fault::Stop(index) => self.instances[index].stop(),
            Fault::KillAll => self.instances.iter_mut().for_each(Instance::kill),
            Fault::Partition(index) => self.instances[index].proxy.partition(),
            Fault::Blackhole(index) => self.instances[index].proxy.blackhole(),
            Fault::DropReplies(index) => self.instances[index].proxy.drop_replies(),
            Fault::Reset(index) => self.instances[index].proxy.drop_connections(),
            Fault::Store(fault) => self.set_store_fault(fault),
            Fault::Compact => self.platform.store.compact(),
            Fault::Server(index, behaviour) => self.platform.workers[index].next(&[behaviour; 3]),
            Fault::Drain(index) => self.platform.register(index, "draining"),
            Fault::TopUp => self.top_up(),
        }
    }

    fn clear(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(index) => self.instances[index].resume(),
            Fault::Partition(index) => self.instances[index].proxy.heal(),
            Fault::Store(_) => self.set_store_fault(rows::Fault::None),
            Fault::Drain(index) => self.platform.register(index, "ready"),
            Fault::Kill(_) | Fault::Stop(_) | Fault::KillAll => self.start_missing(),
            _ => {}
        }
    }

    fn set_store_fault(&self, fault: rows::Fault) {
        for instance in &self.instances {
            instance.store.set_fault(fault);
        }
    }

    /// Restarts the backend servers that have crashed.
    fn restart_crashed_servers(&self) {
        for (index, worker) in self.platform.workers.iter().enumerate() {
            let has_crashed = worker.has_crashed() && wait_until(|| worker.is_down());
            if has_crashed || worker.is_down() {
                self.platform.restart_server(index);
            }
        }
    }

    /// Sends the poison request until the first instance quarantines it. Returns the number of crashes if that does not happen. If
    /// the client account is exhausted, the request reaches no server even without a quarantine.
    fn quarantine(&self) -> Result<(), u64> {
        let start = self.platform.crashes();
        let mut attempts = 0..MAX_QUARANTINE_ATTEMPTS;
        let is_quarantined = |number| {
            let response = send(
                self.instances[0].front,
                &poison::request(&format!("q-{number}")),
            );
            self.restart_crashed_servers();
            response.is_some_and(|response| poison::is_quarantined(&response))
        };
        match attempts.any(is_quarantined) {
            true => Ok(()),
            false => Err(self.platform.crashes() - start),
        }
    }

    /// Checks that all instances learn of the quarantine, and that the request reaches no backend server from then on.
    fn quarantine_violation(&self) -> Option<String> {
        for (index, instance) in self.instances.iter().enumerate() {
            if !instance.wait_quarantined(1) {
                return Some(format!("instance {index} does not learn of the quarantine"));
            }
        }
        let before = self.platform.crashes();
        for (index, instance) in self.instances.iter().enumerate() {
            // Ignores the response: the check counts server crashes instead.
            let _ = send(instance.front, &poison::request(&format!("after-{index}")));
        }
        let crashes = self.platform.crashes() - before;
        (crashes > 0).then(|| format!("{crashes} crashes caused by a quarantined request"))
    }

    fn write_heartbeats(&self) {
        for index in 0..SERVERS {
            self.platform.register(index, "ready");
        }
    }

    fn start_missing(&mut self) {
        let missing = self.instances.iter_mut();
        for instance in missing.filter(|instance| !instance.is_running()) {
            instance.start();
        }
    }

    fn change(&mut self, change: Change) {
        self.document.change(change, &mut self.silence_random);
        self.platform.configure(&self.document.value());
    }

    fn top_up(&mut self) {
        self.change(Change::TopUp);
    }

    /// Restarts what is down, waits for recovery, and describes what does not recover.
    fn recover(&mut self) -> Vec<String> {
        self.start_missing();
        self.poison_caller.stop();
        self.restart_crashed_servers();
        let mut violations = Vec::new();
        for (index, instance) in self.instances.iter().enumerate() {
            if !instance.wait_ready() {
                violations.push(format!("instance {index} is not ready after the faults"));
                continue;
            }
            let serves = || {
                let response = send(
                    instance.front,
                    &request(Kind::Safe, &format!("last-{index}")),
                );
                response.is_some_and(|response| response.status == 200)
            };
            if !wait_until(serves) {
                violations.push(format!("instance {index} serves nothing after the faults"));
            }
        }
        self.write_heartbeats();
        for (index, instance) in self.instances.iter().enumerate() {
            if !instance.wait_servers(SERVERS) {
                violations.push(format!(
                    "instance {index} lists other servers after the faults"
                ));
            }
        }
        // After a restore, the first entry of a server that was draining may come from the copy.
        self.write_heartbeats();
        violations
    }

    /// Recovers, and describes a violation if the poison request causes too many crashes.
    pub fn finish_with_quarantine(mut self) -> Vec<String> {
        let mut violations = self.recover();
        violations.extend(match self.quarantine() {
            Ok(()) => self.quarantine_violation(),
            Err(crashes) => {
                (crashes > MAX_CRASHES).then(|| format!("{crashes} crashes without a quarantine"))
            }
        });
        self.stop.store(true, Ordering::Release);
        self.callers.drain(..).for_each(|caller| {
            caller.join();
        });
        violations
    }

    /// Recovers, and returns the violated guarantees. Whether a quarantine comes early enough is left to
    /// [`World::finish_with_quarantine`].
    pub fn finish(mut self) -> Vec<String> {
        let mut violations = self.recover();
        violations.extend(crowd::violations(&self.instances, &self.platform.workers));
        let (record, mut exchanges) = self.play_silences();
        let mut stop_random = self.stop_random.clone();
        let stops = self.play_stops(&mut stop_random);
        let silent_stops = self.play_silent_stops();
        if self.quarantine().is_ok() {
            violations.extend(self.quarantine_violation());
        }
        violations.extend(conditions::failure_violation(&self.platform.workers));
        violations.extend(conditions::violations(&self.platform.workers));
        violations.extend(lists::violation(&self.platform, &self.instances));
        self.stop.store(true, Ordering::Release);
        exchanges.extend(self.callers.drain(..).flat_map(Caller::join));
        let runs: Vec<_> = self.phase_workers().map(|worker| worker.runs()).collect();
        for record in [stops, silent_stops] {
            violations.extend(record.violations(&verdict::run_counts(&runs)));
            exchanges.extend(record.exchanges);
        }
        violations.extend(verdict::violations(
            &exchanges,
            &runs,
            self.document.prepaid(),
            &record,
        ));
        self.top_up();
        violations.extend(streams::share_violation(
            &mut self.stream_random,
            &self.platform,
            &mut self.instances,
        ));
        violations.extend(parts::violations(
            &mut self.stream_random.clone(),
            &self.platform,
            &self.instances,
            || self.restart_crashed_servers(),
        ));
        violations
    }
}
