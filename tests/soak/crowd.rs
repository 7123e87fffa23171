//! Crowds of clients that misbehave, beside the other faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use fescuewell::standin::worker::Worker;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::instance::Instance;
use crate::way::{Crowd, Door, Way};

/// Chance of a crowd beside a fault.
const CHANCE: f64 = 0.3;
/// Ways in which crowds misbehave, and the clients of each. None of their requests arrives completely.
const WAYS: [(Way, usize); 5] = [
    (Way::LargeBodies, 12),
    (Way::SmallBodies, 250),
    (Way::ManyFields, 100),
    (Way::Heads, 250),
    (Way::Silent, 250),
];
/// Interval at which a crowd looks whether it has to leave.
const LOOK: Duration = Duration::from_millis(20);
/// Memory limit in the settings of the instances, in kB.
const MEMORY_KB: u64 = 110 * 1_024;

/// The crowds of a world. They leave on drop.
#[derive(Default)]
pub struct Crowds {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowds {
    /// Sends a crowd to an instance, or none.
    pub fn disturb(&mut self, random: &mut SmallRng, instances: &[Instance]) {
        if !random.random_bool(CHANCE) {
            return;
        }
        let instance = &instances[random.random_range(0..instances.len())];
        let (way, clients) = WAYS[random.random_range(0..WAYS.len())];
        let doors = [
            (Door::Front, instance.front),
            (Door::NoRoute, instance.front),
            (Door::Ready, instance.ready()),
        ];
        let (door, address) = doors[random.random_range(0..doors.len())];
        let over = self.over.clone();
        let thread = std::thread::spawn(move || hold(address, door, way, clients, &over));
        self.threads.push(thread);
    }

    /// Lets all crowds leave.
    pub fn clear(&mut self) {
        self.over.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            // A panic has been reported by the thread.
            let _ = thread.join();
        }
        self.over = Arc::default();
    }
}

impl Drop for Crowds {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Holds the connections of a crowd until it is over.
fn hold(address: SocketAddr, door: Door, way: Way, clients: usize, over: &AtomicBool) {
    let mut crowd = Crowd::of(address, door, way, clients);
    crowd.send();
    while !over.load(Ordering::Acquire) {
        std::thread::sleep(LOOK);
    }
}

/// Describes instances over their memory limit, and requests of a crowd that ran although their bodies never ended.
pub fn violations(instances: &[Instance], workers: &[Worker]) -> Vec<String> {
    let mut violations = Vec::new();
    for (index, instance) in instances.iter().enumerate() {
        let Some(peak_kb) = instance.peak_kb() else {
            continue;
        };
        if peak_kb >= MEMORY_KB {
            violations.push(format!("instance {index} reached {peak_kb} kB"));
        }
    }
    for worker in workers {
        let runs = worker.runs();
        let ran = runs.iter().filter(|run| run.target.ends_with("/crowd"));
        let count = ran.count();
        if count > 0 {
            violations.push(format!("{count} unfinished requests of crowds ran"));
        }
    }
    violations
}
