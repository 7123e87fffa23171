//! Rate limits for cold backend servers when an availability zone returns all at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_forward::warmup::{INSTANCES_PER_SERVER, Limit, Warmup, assigned_instances};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Rate limit of a cold server in requests per second.
const RATE_PER_S: f64 = 6.6;
/// Maximum number of requests to a cold server within any second, from the whole fleet.
const MAX_IN_A_SECOND: usize = 14;

fn limit() -> Limit {
    Limit {
        duration: Duration::from_secs(3),
        interval: Duration::from_secs_f64(1.0 / RATE_PER_S),
    }
}

fn names(prefix: &str, count: usize) -> Vec<Arc<str>> {
    let names = (0..count).map(|index| format!("{prefix}-{index}").into());
    names.collect()
}

/// Instances that pick among cold servers, each with its own list of instances.
struct Fleet {
    servers: Vec<Arc<str>>,
    instances: Vec<Arc<str>>,
    /// List of instances known to each instance.
    lists: Vec<Vec<Arc<str>>>,
    warmups: Vec<Warmup>,
    /// Times of the requests that each server received, in milliseconds.
    sent: BTreeMap<Arc<str>, Vec<u64>>,
    rejected: usize,
}

impl Fleet {
    fn new(servers: usize, instances: usize) -> Self {
        let instances = names("instance", instances);
        Self {
            servers: names("server", servers),
            lists: vec![instances.clone(); instances.len()],
            warmups: instances.iter().map(|_| Warmup::default()).collect(),
            instances,
            sent: BTreeMap::new(),
            rejected: 0,
        }
    }

    /// Sends a request of an instance to the first server that has credit, starting at a random
    /// one.
    fn request(&mut self, at: usize, now_ms: u64, random: &mut SmallRng) {
        let list: Vec<&Arc<str>> = self.lists[at].iter().collect();
        let start = random.random_range(0..self.servers.len());
        for step in 0..self.servers.len() {
            let server = self.servers[(start + step) % self.servers.len()].clone();
            let chosen = assigned_instances(&server, &list);
            if !chosen.contains(&&self.instances[at]) {
                continue;
            }
            if !self.warmups[at].has_credit(&server, &limit(), chosen.len(), now_ms) {
                continue;
            }
            self.warmups[at].record_send(&server, &limit(), chosen.len(), now_ms);
            self.sent.entry(server).or_default().push(now_ms);
            return;
        }
        self.rejected += 1;
    }

    /// Simulates `per_s` requests per second for three seconds, at random instances.
    fn simulate(&mut self, per_s: u64, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        for step in 0..3 * per_s {
            let at = random.random_range(0..self.instances.len());
            self.request(at, step * 1_000 / per_s, &mut random);
        }
    }

    /// Returns the maximum number of requests that one server received in one second.
    fn max_in_a_second(&self) -> usize {
        let mut max_in_a_second = 0;
        for times in self.sent.values() {
            for (at, first) in times.iter().enumerate() {
                let within = times[at..].iter().take_while(|time| **time < first + 1_000);
                max_in_a_second = max_in_a_second.max(within.count());
            }
        }
        max_in_a_second
    }
}

/// Guards against ignoring that servers are cold. When a zone of twenty idle servers returned under
/// 3.5 times the traffic, all instances picked them: single servers received 16 to 18 requests
/// within a second (limit 14), and 61 engines failed.
#[test]
fn a_zone_that_comes_back_is_not_overrun() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(20, 6);

        fleet.simulate(600, seed);

        assert!(
            fleet.max_in_a_second() <= MAX_IN_A_SECOND,
            "{} with seed {seed}",
            fleet.max_in_a_second()
        );
    }
}

/// Guards against exceeding the limit while instances disagree on the members: half of them do not
/// know yet that one was replaced.
#[test]
fn instances_with_other_lists_keep_the_bound() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(20, 7);
        let instances = fleet.instances.clone();
        for (at, list) in fleet.lists.iter_mut().enumerate() {
            let missing = if at % 2 == 0 { 0 } else { 6 };
            list.retain(|name| *name != instances[missing]);
        }

        fleet.simulate(600, seed);

        assert!(
            fleet.max_in_a_second() <= MAX_IN_A_SECOND,
            "{} with seed {seed}",
            fleet.max_in_a_second()
        );
    }
}

/// With all servers cold, the fleet still serves requests up to their limits.
#[test]
fn cold_servers_are_used() {
    let mut fleet = Fleet::new(60, 6);

    fleet.simulate(252, 1);

    assert!(fleet.rejected * 20 < 3 * 252, "{} rejected", fleet.rejected);
}

#[test]
fn an_instance_alone_introduces_all_servers() {
    let mut fleet = Fleet::new(3, 1);

    fleet.simulate(12, 1);

    assert_eq!(fleet.rejected, 0);
}

#[test]
fn instances_agree_on_who_introduces_a_server() {
    let instances = names("instance", 9);
    let mut reversed: Vec<&Arc<str>> = instances.iter().collect();
    reversed.reverse();

    let one = assigned_instances("server", &instances.iter().collect::<Vec<_>>());
    let other = assigned_instances("server", &reversed);

    assert_eq!(one, other);
    assert_eq!(one.len(), INSTANCES_PER_SERVER);
}

/// Guards against a cached assignment that outlives a change of the list of instances.
#[test]
fn a_share_follows_the_list_of_instances() {
    let instances = names("instance", 9);
    let server: Arc<str> = "server".into();
    let first = assigned_instances(&server, &instances.iter().collect::<Vec<_>>())[0].clone();
    let mut warmup = Warmup::default();
    warmup.set_instances(instances.clone());
    let before = warmup.assigned_count(&server, &first);

    let others = instances.into_iter().filter(|name| *name != first);
    warmup.set_instances(others.collect());
    let after = warmup.assigned_count(&server, &first);

    assert_eq!(before, Some(INSTANCES_PER_SERVER));
    assert_eq!(after, None);
}
