//! The system under the soak, and the course of one seed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fescuewell::standin::rows;
use fescuewell::standin::worker::wait_until;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::caller::{Caller, Kind, request};
use crate::fault::{self, Fault};
use crate::fixture::{Fixture, configuration, send};
use crate::instance::Instance;
use crate::poison::{self, Poisoner};
use crate::verdict;

const INSTANCES: usize = 3;
const WORKERS: usize = 3;
const CALLERS: usize = 6;
/// Tries within which a request that crashes each server is quarantined at an instance that hears of nothing else.
const MOST_TRIES: usize = 6;
/// Crashes of one request that are allowed.
const MOST_CRASHES: u64 = 3;
/// Faults of one seed.
const FAULTS: usize = 10;
/// Most faults between a copy of the store and its return.
const MOST_LOST: usize = 4;
/// The account's first total, in tokens: gone after some hundred requests.
const PREPAID: u64 = 150_000;
/// What a top-up adds.
const TOP_UP: u64 = 40_000;

pub struct World {
    random: SmallRng,
    /// The faults after which the store is copied and comes back from the copy. Drawn apart, so that the faults of a seed stay the
    /// same.
    drill: (usize, usize),
    copy: Option<rows::Copy>,
    platform: Fixture,
    instances: Vec<Instance>,
    callers: Vec<Caller>,
    poisoner: Poisoner,
    stop: Arc<AtomicBool>,
    version: u64,
    prepaid: u64,
}

impl World {
    pub fn start(seed: u64) -> Self {
        let platform = Fixture::without_instance(WORKERS, PREPAID);
        let store = platform.store.address();
        let mut instances: Vec<Instance> = (0..INSTANCES)
            .map(|index| Instance::new(index, seed, store))
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
            .map(|name| Caller::start(seed, name, fronts.clone(), stop.clone()))
            .collect();
        platform.crash_on(poison::BODY);
        let poisoner = Poisoner::start(seed, fronts, stop.clone());
        let mut apart = SmallRng::seed_from_u64(!seed);
        let copied = apart.random_range(0..FAULTS - 1);
        let returned = (copied + apart.random_range(1..=MOST_LOST)).min(FAULTS - 1);
        Self {
            random: SmallRng::seed_from_u64(seed),
            drill: (copied, returned),
            copy: None,
            platform,
            instances,
            callers,
            poisoner,
            stop,
            version: 1,
            prepaid: PREPAID,
        }
    }

    /// Faults in series, some of which overlap.
    pub fn play(&mut self) {
        let mut open: Vec<Fault> = Vec::new();
        for number in 0..FAULTS {
            self.drill(number);
            self.revive();
            let fault = fault::draw(&mut self.random, INSTANCES, WORKERS);
            self.begin(fault);
            open.push(fault);
            let pause = Duration::from_millis(self.random.random_range(50..700));
            std::thread::sleep(pause);
            if self.random.random_bool(0.6) {
                for fault in open.drain(..) {
                    self.end(fault);
                }
            }
        }
        for fault in open {
            self.end(fault);
        }
    }

    /// The store is copied, and some faults later it comes back from the copy. Then the operator and the servers write again what they
    /// wrote since.
    fn drill(&mut self, number: usize) {
        let (copied, returned) = self.drill;
        if number == copied {
            self.copy = Some(self.platform.store.copy());
        }
        if number != returned {
            return;
        }
        if let Some(copy) = &self.copy {
            self.platform.store.restore(copy);
        }
        let now = configuration(self.version, self.prepaid);
        self.platform.configure(&now);
        for at in 0..WORKERS {
            self.platform.register(at, "ready");
        }
    }

    fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(at) => self.instances[at].pause(),
            Fault::Kill(at) => self.instances[at].kill(),
            Fault::Stop(at) => self.instances[at].stop(),
            Fault::KillAll => self.instances.iter_mut().for_each(Instance::kill),
            Fault::Cut(at) => self.instances[at].proxy.cut(),
            Fault::Silence(at) => self.instances[at].proxy.silence(),
            Fault::Deafen(at) => self.instances[at].proxy.deafen(),
            Fault::Reset(at) => self.instances[at].proxy.drop_connections(),
            Fault::Store(fault) => self.platform.store.set_fault(fault),
            Fault::Compact => self.platform.store.compact(),
            Fault::Worker(at, behaviour) => self.platform.workers[at].next(&[behaviour; 3]),
            Fault::Drain(at) => self.platform.register(at, "draining"),
            Fault::TopUp => self.top_up(),
        }
    }

    fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(at) => self.instances[at].resume(),
            Fault::Cut(at) => self.instances[at].proxy.heal(),
            Fault::Store(_) => self.platform.store.set_fault(rows::Fault::None),
            Fault::Drain(at) => self.platform.register(at, "ready"),
            Fault::Kill(_) | Fault::Stop(_) | Fault::KillAll => self.start_missing(),
            _ => {}
        }
    }

    /// Starts the backend servers that have crashed again.
    fn revive(&self) {
        for (index, worker) in self.platform.workers.iter().enumerate() {
            if worker.has_crashed() && wait_until(|| worker.is_down()) {
                self.platform.restart_server(index);
            }
        }
    }

    /// A request under which servers crash is quarantined at all instances, and reaches no server then. Once the account is
    /// exhausted it reaches none anyway.
    fn check_quarantine(&self) -> Option<String> {
        let start = self.platform.crashes();
        let mut tries = 0..MOST_TRIES;
        let is_quarantined = |number| {
            let answer = send(
                self.instances[0].front,
                &poison::request(&format!("q-{number}")),
            );
            self.revive();
            answer.is_some_and(|answer| poison::is_quarantined(&answer))
        };
        if !tries.any(is_quarantined) {
            let crashes = self.platform.crashes() - start;
            let is_broken = crashes > MOST_CRASHES;
            return is_broken.then(|| format!("{crashes} crashes without a quarantine"));
        }
        for (at, instance) in self.instances.iter().enumerate() {
            if !instance.wait_quarantined(1) {
                return Some(format!("instance {at} never knows the quarantine"));
            }
        }
        let before = self.platform.crashes();
        for (at, instance) in self.instances.iter().enumerate() {
            // The answer is of no interest: no server must have crashed.
            let _ = send(instance.front, &poison::request(&format!("after-{at}")));
        }
        let crashes = self.platform.crashes() - before;
        (crashes > 0).then(|| format!("{crashes} crashes by a quarantined request"))
    }

    fn start_missing(&mut self) {
        let missing = self.instances.iter_mut();
        for instance in missing.filter(|instance| !instance.is_running()) {
            instance.start();
        }
    }

    fn top_up(&mut self) {
        self.version += 1;
        self.prepaid += TOP_UP;
        let next = configuration(self.version, self.prepaid);
        self.platform.configure(&next);
    }

    /// Ends the faults, waits for the recovery, and returns the promises that were broken.
    pub fn finish(mut self) -> Vec<String> {
        self.start_missing();
        self.poisoner.stop();
        self.revive();
        let mut broken = Vec::new();
        for (at, instance) in self.instances.iter().enumerate() {
            if !instance.wait_ready() {
                broken.push(format!("instance {at} is not ready after the faults"));
                continue;
            }
            let serves = || {
                let answer = send(instance.front, &request(Kind::Safe, &format!("last-{at}")));
                answer.is_some_and(|answer| answer.status == 200)
            };
            if !wait_until(serves) {
                broken.push(format!("instance {at} serves nothing after the faults"));
            }
        }
        broken.extend(self.check_quarantine());
        self.stop.store(true, Ordering::Release);
        let notes = self
            .callers
            .drain(..)
            .flat_map(Caller::join)
            .collect::<Vec<_>>();
        let runs: Vec<_> = self
            .platform
            .workers
            .iter()
            .map(|worker| worker.runs())
            .collect();
        broken.extend(verdict::broken(&notes, &runs, self.prepaid));
        broken
    }
}
