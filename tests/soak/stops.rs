//! Stops by SIGTERM in series under streams, beside late writes of the store and late copies of responses.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use fescuewell::standin::rows;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::caller::{Caller, Exchange};
use crate::instance::Instance;
use crate::world::World;

/// Table whose writes take effect late.
const LEDGERS: &str = "ledger";
/// Stops of the phase, each of one or two instances.
const STOPS: usize = 3;
/// First index of the callers of the phase, and their number.
const FIRST_CALLER: usize = 40;
const MORE_CALLERS: usize = 12;
/// Tokens for the requests of the phase.
const PHASE_TOKENS: u64 = 1_000_000;
/// Time from SIGTERM to SIGKILL, as in the settings of the instances.
const GRACE: Duration = Duration::from_secs(3);
/// Time before a stop from which its requests are judged; none of them lasts as long.
const BEFORE: Duration = Duration::from_secs(1);
/// Longest delay of a write, and of the pause before the next start.
const MAX_LATE_MS: u64 = 3_000;
const MAX_PAUSE_MS: u64 = 400;
/// Time for writes that are still on their way.
const SETTLE: Duration = Duration::from_millis(MAX_LATE_MS);

/// Draws by how much the ledger writes of an instance are late.
fn draw_late(random: &mut SmallRng) -> rows::Fault {
    let late_ms = random.random_range(300..MAX_LATE_MS);
    rows::Fault::LateWrites(LEDGERS, Duration::from_millis(late_ms))
}

/// Makes ledger writes of an instance late, or responses to it come twice, beside the other faults.
pub fn disturb(random: &mut SmallRng, instances: &[Instance]) {
    let instance = &instances[random.random_range(0..instances.len())];
    match random.random_range(0..4) {
        0 => instance.store.set_fault(draw_late(random)),
        1 => copy_late(instance, true),
        _ => {}
    }
}

/// Ends what [`disturb`] has begun.
pub fn clear(instances: &[Instance]) {
    for instance in instances {
        instance.store.set_fault(rows::Fault::None);
        copy_late(instance, false);
    }
}

fn copy_late(instance: &Instance, is_on: bool) {
    for server_proxy in &instance.server_proxies {
        server_proxy.copy_late(is_on);
    }
}

/// A stop of an instance.
struct Stop {
    instance: usize,
    from: Instant,
    until: Instant,
}

/// Stops of the phase, and the exchanges of its callers.
pub struct Record {
    stops: Vec<Stop>,
    pub exchanges: Vec<Exchange>,
}

impl Record {
    /// Describes each stop that lasted too long, and each request that a server ran and whose connection
    /// ended without a whole response around a stop.
    pub fn violations(&self, run_counts: &HashMap<&str, usize>) -> Vec<String> {
        let mut violations = Vec::new();
        for stop in &self.stops {
            let took = stop.until - stop.from;
            if took > GRACE {
                violations.push(format!(
                    "instance {} ended {} ms after SIGTERM",
                    stop.instance,
                    took.as_millis()
                ));
            }
            for exchange in &self.exchanges {
                let is_around = exchange.front == stop.instance
                    && exchange.sent + BEFORE > stop.from
                    && exchange.sent < stop.until;
                let response = exchange.response.as_ref();
                let is_whole = response.is_some_and(|response| response.is_complete);
                let has_run = run_counts.contains_key(exchange.id.as_str());
                if !is_around || is_whole || !has_run {
                    continue;
                }
                let sent_ms = exchange
                    .sent
                    .saturating_duration_since(stop.from)
                    .as_millis();
                violations.push(format!(
                    "{} ({:?}), sent {sent_ms} ms after SIGTERM, was cut off",
                    exchange.id, exchange.kind
                ));
            }
        }
        violations
    }
}

impl World {
    /// Stops instances in series, some at the same time, and starts them again, while callers send streams.
    pub fn play_stops(&mut self, random: &mut SmallRng) -> Record {
        let stop = Arc::new(AtomicBool::new(false));
        let fronts: Vec<_> = self
            .instances()
            .iter()
            .map(|instance| instance.front)
            .collect();
        let interval = Duration::from_millis(random.random_range(0..40));
        self.set_event_interval(interval);
        self.top_up_by(PHASE_TOKENS);
        let callers: Vec<Caller> = (FIRST_CALLER..FIRST_CALLER + MORE_CALLERS)
            .map(|index| Caller::start(self.seed(), index, fronts.clone(), stop.clone()))
            .collect();
        let mut stops = Vec::new();
        for _ in 0..STOPS {
            stops.extend(play_stop(random, self.instances()));
        }
        clear(self.instances());
        sleep(SETTLE);
        stop.store(true, Ordering::Release);
        let exchanges = callers.into_iter().flat_map(Caller::join).collect();
        self.set_event_interval(Duration::ZERO);
        Record { stops, exchanges }
    }
}

fn play_stop(random: &mut SmallRng, instances: &mut [Instance]) -> Vec<Stop> {
    disturb(random, instances);
    let first = random.random_range(0..instances.len());
    let mut stopped = vec![first];
    if random.random_bool(0.3) {
        stopped.push((first + 1) % instances.len());
    }
    let mut stops = Vec::new();
    for index in stopped {
        let instance = &instances[index];
        if random.random_bool(0.5) {
            instance.store.set_fault(draw_late(random));
        }
        let from = Instant::now();
        instance.terminate();
        stops.push((index, from));
        sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS)));
        if random.random_bool(0.3) {
            instance.reread();
            instance.terminate();
        }
    }
    let stops = stops.into_iter().map(|(index, from)| {
        instances[index].reap();
        let until = Instant::now();
        sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS)));
        instances[index].start();
        Stop {
            instance: index,
            from,
            until,
        }
    });
    let stops = stops.collect();
    for instance in instances.iter() {
        instance.wait_ready();
    }
    stops
}
