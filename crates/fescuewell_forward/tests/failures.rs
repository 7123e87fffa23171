//! Faulty model engines in a fleet whose instances report failures to each other.

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_forward::health::failure::{
    Batch, Exchange, MAX_FAILURES, MAX_RECEIVERS, MAX_SENDERS, receivers,
};
use fescuewell_forward::health::{Health, Outcome};
use fescuewell_forward::server::{Entry, State};

/// Time between two requests of the whole fleet to the faulty engine while no instance ejects it.
const REQUEST_MS: u64 = 25;
/// Duration of the fault in milliseconds.
const FAULT_MS: u64 = 6_000;
/// Delay of a datagram between two instances in milliseconds.
const DELAY_MS: u64 = 5;
/// Time of the first request by the store's clock, in milliseconds.
const START_MS: u64 = 50_000;

fn id() -> Arc<str> {
    "engine".into()
}

fn engine() -> Entry {
    Entry {
        id: id(),
        service: "model".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        slots: 64,
        state: State::Ready,
        started_at_ms: None,
        cold_left_ms: 0,
        version: None,
    }
}

#[derive(Default)]
struct Instance {
    health: Health,
    exchange: Exchange,
}

/// Requests of a fleet at an engine that fails all of them. Each batch is lost with a probability
/// of one in `loss` (0 for never) and arrives twice otherwise. Returns the number of failures.
fn failures(instances: usize, reports: bool, loss: usize) -> usize {
    let mut fleet: Vec<Instance> = (0..instances).map(|_| Instance::default()).collect();
    let mut network: VecDeque<(u64, usize, Batch)> = VecDeque::new();
    let mut failures = 0;
    let mut sent = 0;
    for request in 0..FAULT_MS / REQUEST_MS {
        let now_ms = START_MS + request * REQUEST_MS;
        while network
            .front()
            .is_some_and(|(at_ms, _, _)| *at_ms <= now_ms)
        {
            let Some((_, to, batch)) = network.pop_front() else {
                break;
            };
            let instance = &mut fleet[to];
            for _ in instance.exchange.receive(batch, now_ms) {
                instance.health.record_reported(&id(), now_ms);
            }
        }
        let at = request as usize * 7 % instances;
        let instance = &mut fleet[at];
        if instance.health.is_ejected(&id(), now_ms) {
            continue;
        }
        failures += 1;
        instance
            .health
            .record_outcome(&id(), Outcome::Faulty, now_ms);
        instance.exchange.push(&engine(), now_ms);
        let name: Arc<str> = format!("entry-{at}").into();
        let Some(batch) = instance.exchange.take(&name, now_ms).filter(|_| reports) else {
            continue;
        };
        for to in (0..instances).filter(|to| *to != at) {
            sent += 1;
            if loss > 0 && sent % loss == 0 {
                continue;
            }
            network.push_back((now_ms + DELAY_MS, to, batch.clone()));
            network.push_back((now_ms + DELAY_MS, to, batch.clone()));
        }
    }
    failures
}

/// Guards against an engine that fails all requests at once and therefore looks idle: each of the
/// instances had to fail some requests before it left the engine out.
#[test]
fn an_engine_that_fails_everything_is_ejected_by_all_instances_at_once() {
    for instances in [9, 74, 300] {
        let alone = failures(instances, false, 0);

        let reported = failures(instances, true, 0);

        // Ejections last 1, 2 and 4 s, and a single failure is enough for the next one.
        assert!(reported <= 6, "{reported} at {instances} instances");
        assert!(reported * 4 <= alone, "{reported}, {alone} alone");
    }
}

/// Guards against a fleet that relies on each single report.
#[test]
fn reports_that_are_lost_or_arrive_twice_change_little() {
    let reported = failures(74, true, 3);

    assert!(reported <= 24, "{reported} failures");
}

#[test]
fn a_duplicate_counts_once() {
    let mut sender = Exchange::default();
    let mut receiver = Exchange::default();
    sender.push(&engine(), START_MS);
    let batch = sender.take(&"entry-1".into(), START_MS).unwrap();

    assert_eq!(receiver.receive(batch.clone(), START_MS).len(), 1);
    assert!(receiver.receive(batch, START_MS).is_empty());
}

/// Guards against the ejection of a server that recovered while a datagram was under way.
#[test]
fn a_late_report_is_ignored() {
    let mut sender = Exchange::default();
    let mut receiver = Exchange::default();
    sender.push(&engine(), START_MS);
    let batch = sender.take(&"entry-1".into(), START_MS).unwrap();

    assert!(receiver.receive(batch, START_MS + 2_000).is_empty());
}

#[test]
fn reports_of_a_sender_that_restarts_are_accepted() {
    let mut receiver = Exchange::default();
    for (start, at_ms) in [(0, START_MS), (1, START_MS + 1_000)] {
        let mut sender = Exchange::default();
        sender.push(&engine(), at_ms);
        let batch = sender.take(&"entry-1".into(), at_ms).unwrap();

        assert_eq!(receiver.receive(batch, at_ms).len(), 1, "start {start}");
    }
}

#[test]
fn two_batches_of_one_millisecond_both_count() {
    let mut sender = Exchange::default();
    let mut receiver = Exchange::default();
    for _ in 0..2 {
        sender.push(&engine(), START_MS);
        let batch = sender.take(&"entry-1".into(), START_MS).unwrap();

        assert_eq!(receiver.receive(batch, START_MS).len(), 1);
    }
}

#[test]
fn a_batch_is_bounded() {
    let mut sender = Exchange::default();
    for _ in 0..100 {
        sender.push(&engine(), START_MS);
    }

    let batch = sender.take(&"entry-1".into(), START_MS).unwrap();

    assert_eq!(batch.failures.len(), MAX_FAILURES);
    assert!(sender.take(&"entry-1".into(), START_MS).is_none());
}

/// Guards against servers that are left out for rare failures: an instance that does not use a
/// server never sees it succeed.
#[test]
fn rare_failures_eject_no_server() {
    let mut health = Health::default();

    for failure in 0..20 {
        let now_ms = START_MS + failure * 10_000;

        assert!(!health.record_reported(&id(), now_ms));
    }
}

#[test]
fn a_server_that_mostly_succeeds_stays() {
    let mut health = Health::default();

    for request in 0..1_000 {
        let now_ms = START_MS + request * 100;
        if request % 10 == 0 {
            health.record_reported(&id(), now_ms);
        }
        health.record_outcome(&id(), Outcome::Good, now_ms);
    }

    assert!(!health.is_ejected(&id(), START_MS + 100_000));
}

/// Guards against a failure of a plain service's server counting as a fault: some of its requests
/// fail at every server.
#[test]
fn single_failures_of_plain_services_eject_no_server() {
    let mut health = Health::default();

    for request in 0..5 {
        assert!(!health.record_outcome(&id(), Outcome::Failed, START_MS + request));
    }
}

/// Guards against instances that do not use a server and leave it out, or avoid it, for good after
/// they ejected it once for reports.
#[test]
fn an_ejection_for_reports_leaves_no_lasting_score() {
    let mut health = Health::default();
    for _ in 0..2 {
        health.record_reported(&id(), START_MS);
    }
    assert!(health.is_ejected(&id(), START_MS));

    for failure in 1..20 {
        let now_ms = START_MS + failure * 10_000;

        assert!(!health.record_reported(&id(), now_ms));
    }
    assert_eq!(health.penalty(&id()), 0.0);
}

#[test]
fn a_report_soon_after_an_ejection_is_enough_for_the_next_one() {
    let mut health = Health::default();
    for _ in 0..2 {
        health.record_reported(&id(), START_MS);
    }

    assert!(health.record_reported(&id(), START_MS + 1_500));
}

/// Guards against scores that add up while a server is ejected, and eject it again once it works.
#[test]
fn reports_during_an_ejection_do_not_add_up() {
    let mut health = Health::default();
    for _ in 0..1_000 {
        health.record_reported(&id(), START_MS);
    }

    assert!(!health.record_outcome(&id(), Outcome::Full, START_MS + 1_000));
}

/// Guards against a failure that waits for bandwidth and is then reported as a new one: the pause
/// after a full batch takes several seconds.
#[test]
fn a_failure_that_waited_too_long_is_not_reported() {
    let mut sender = Exchange::default();
    sender.push(&engine(), START_MS);
    sender.push(&engine(), START_MS + 1_500);

    let batch = sender.take(&"entry-1".into(), START_MS + 2_000).unwrap();

    assert_eq!(batch.failures.len(), 1);
}

/// Guards against memory that grows with the number of senders.
#[test]
fn the_number_of_known_senders_is_bounded() {
    let mut receiver = Exchange::default();
    let batch = |number: usize, at_ms: u64| {
        let mut sender = Exchange::default();
        sender.push(&engine(), at_ms);
        let name: Arc<str> = format!("entry-{number}").into();
        sender.take(&name, at_ms).unwrap()
    };
    for number in 0..MAX_SENDERS {
        assert_eq!(receiver.receive(batch(number, START_MS), START_MS).len(), 1);
    }

    let further = receiver.receive(batch(MAX_SENDERS, START_MS), START_MS);
    let known = receiver.receive(batch(0, START_MS + 1), START_MS + 1);
    let later_ms = START_MS + 3_000;
    let later = receiver.receive(batch(MAX_SENDERS, later_ms), later_ms);

    assert!(further.is_empty());
    assert_eq!((known.len(), later.len()), (1, 1));
}

/// Guards against advertised instances that never receive a report, since a fleet advertises more
/// instances than a batch has receivers.
#[test]
fn every_advertised_instance_is_reached_in_turn() {
    let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], number));
    let advertised: Vec<SocketAddr> = (1..=164).map(address).collect();
    let others: Vec<SocketAddr> = (1_000..1_024).map(address).collect();

    let batches = (0..164).map(|random| receivers(advertised.clone(), others.clone(), random));
    let batches: Vec<Vec<SocketAddr>> = batches.collect();

    let reached: HashSet<&SocketAddr> = batches.iter().flatten().collect();
    assert!(batches.iter().all(|batch| batch.len() == MAX_RECEIVERS));
    assert_eq!(reached, advertised.iter().collect());
}

#[test]
fn a_batch_reaches_all_advertised_instances_of_a_small_fleet_and_others() {
    let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], number));
    let advertised = vec![address(1), address(2)];

    let reached = receivers(advertised, vec![address(2), address(3)], 7);

    assert_eq!(reached, [address(2), address(1), address(3)]);
    assert!(receivers(Vec::new(), Vec::new(), 7).is_empty());
}

/// Guards against a note that promises too much: at an instance without failures of its own, the
/// first report has lost some of its weight when the second one arrives.
#[test]
fn an_instance_without_own_failures_needs_a_third_report() {
    let mut health = Health::default();

    assert!(!health.record_reported(&id(), START_MS));
    assert!(!health.record_reported(&id(), START_MS + 100));
    assert!(health.record_reported(&id(), START_MS + 200));
}

#[test]
fn an_own_failure_and_a_report_are_enough() {
    let mut health = Health::default();

    assert!(!health.record_outcome(&id(), Outcome::Faulty, START_MS));
    assert!(health.record_reported(&id(), START_MS + 1_000));
}
