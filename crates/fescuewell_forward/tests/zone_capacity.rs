//! Load of one availability zone: an account's callers that stay with one instance overload each
//! weak instance that they come to, until they reach a strong one.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_forward::admission::{Action, Limiter};
use fescuewell_forward::directory::{Directory, Member};

/// Instances of the zone; the last ones are strong.
const INSTANCES: usize = 22;
/// Number of weak instances that the callers come to before the first strong one.
const WEAK_VISITED: usize = 5;
/// Instances up to this one are cut off from the store for the whole time.
const CUT_OFF: usize = 4;
/// Requests per second of the callers, on a new connection each.
const REQUESTS_PER_S: u64 = 200;
/// Body size of a request in bytes.
const BODY: usize = 12_000;
/// Duration of the load in milliseconds.
const DURATION_MS: u64 = 30_000;
/// Interval between two reads of the heartbeats in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;
/// Time after which the callers have left an instance that became unready, in milliseconds.
const MOVE_MS: u64 = 2_000;
/// Time for which an instance relies on heartbeats that it has read, in milliseconds.
const RECENT_MS: u64 = 1_750;
/// Time of the first read by the store's clock, in milliseconds.
const STORE_MS: u64 = 10_000;

fn name(index: usize) -> Arc<str> {
    format!("entry-{index:02}").into()
}

fn member(index: usize, weight: u32, unready_until_ms: u64, now_ms: u64) -> Member {
    Member {
        address: ([127, 0, 0, 1], index as u16).into(),
        peer: None,
        zone: "a".into(),
        weight,
        requests_per_s: 5,
        usage: Vec::new(),
        era: 0,
        knows_grants: true,
        interval_ms: 0,
        heartbeat_at_ms: STORE_MS + now_ms,
        unready_until_ms,
    }
}

/// A zone with two strong instances, or with equal ones, of which the first `unready` are unready.
fn zone(strong_weight: u32, unready: usize) -> Directory {
    let mut members: BTreeMap<Arc<str>, Member> = BTreeMap::new();
    for index in 0..INSTANCES {
        let weight = if index >= INSTANCES - 2 {
            strong_weight
        } else {
            50
        };
        let unready_until_ms = if index < unready { u64::MAX } else { 0 };
        members.insert(name(index), member(index, weight, unready_until_ms, 0));
    }
    let mut directory = Directory::default();
    directory.replace(members, STORE_MS);
    directory
}

/// Counts the requests that find no connection. The callers go to the weak instances one after the
/// other, then to a strong one. `follows_zone` is the rule under test; without it an instance
/// relies on recent heartbeats only and closes its listener while it becomes unready.
fn failed_connections(follows_zone: bool) -> u64 {
    let limiter = |index: usize| match index < WEAK_VISITED {
        true => Limiter::new(10.0, 0.12),
        false => Limiter::new(200.0, 0.5),
    };
    let mut limiters: Vec<Limiter> = (0..=WEAK_VISITED).map(limiter).collect();
    let mut at = 0;
    let mut leaves_at_ms = None;
    let mut failed = 0;
    let mut next_read_ms = 0;
    for request in 0..DURATION_MS * REQUESTS_PER_S / 1_000 {
        let now_ms = request * 1_000 / REQUESTS_PER_S;
        if now_ms >= next_read_ms {
            let unready = limiters
                .iter()
                .filter(|limiter| limiter.unready_left_ms(now_ms) > 0);
            let directory = zone(500, unready.count());
            for (index, limiter) in limiters.iter_mut().enumerate() {
                if now_ms > 0 && (1..CUT_OFF).contains(&index) {
                    continue;
                }
                // The instance that asks is not among the unready ones that it knows.
                let asking = name(WEAK_VISITED + 1);
                let spare_ms = match follows_zone {
                    true => directory.spare_ms(&asking, RECENT_MS),
                    false => RECENT_MS,
                };
                limiter.set_spare(if index < WEAK_VISITED {
                    now_ms + spare_ms
                } else {
                    0
                });
                limiter.set_has_stronger_peer(follows_zone && index < WEAK_VISITED);
            }
            next_read_ms = now_ms + HEARTBEAT_MS;
        }
        if leaves_at_ms.is_some_and(|leaves_at_ms| now_ms >= leaves_at_ms) {
            at += 1;
            leaves_at_ms = None;
        }
        if limiters[at].is_closed(now_ms) {
            failed += 1;
            continue;
        }
        if limiters[at].admit(now_ms, BODY) == Action::Leave {
            leaves_at_ms = Some(now_ms + MOVE_MS);
        }
    }
    failed
}

/// Guards against callers that are kept by an instance that cannot serve them: it was cut off from
/// the store, and its permission to become unready had expired.
#[test]
fn half_of_the_connections_of_a_zone_that_failed_succeed_when_callers_are_led_to_capacity() {
    let before = failed_connections(false);

    let after = failed_connections(true);

    assert!(after * 2 <= before, "{after} of {before}");
}

#[test]
fn an_instance_that_is_cut_off_may_leave_for_as_long_as_a_third_of_the_zone_allows() {
    // A third of 22 are 7: six more besides this one, one in each two seconds.
    assert_eq!(zone(500, 0).spare_ms("entry-10", RECENT_MS), 12_000);
    assert_eq!(zone(500, 3).spare_ms("entry-10", RECENT_MS), 6_000);
    assert_eq!(zone(500, 6).spare_ms("entry-10", RECENT_MS), RECENT_MS);
}

/// Guards against half of a zone becoming unready, after which callers ignore readiness.
#[test]
fn no_instance_leaves_beyond_a_third_of_the_zone_however_old_the_heartbeats() {
    assert_eq!(zone(500, 7).spare_ms("entry-10", RECENT_MS), 0);
    assert_eq!(zone(500, 11).spare_ms("entry-10", RECENT_MS), 0);
}

#[test]
fn a_zone_of_equal_instances_relies_on_recent_heartbeats_only() {
    let directory = zone(50, 0);
    let advertised = directory.advertised();
    let is_advertised = |name: &Arc<str>| advertised.iter().any(|(other, _)| *other == name);
    let name = (0..INSTANCES).map(name).find(|name| !is_advertised(name));
    let name = name.unwrap();

    assert!(!directory.has_stronger_peer(&name));
    assert_eq!(directory.spare_ms(&name, RECENT_MS), RECENT_MS);
}

#[test]
fn a_strong_instance_stays_ready() {
    assert_eq!(zone(500, 0).spare_ms("entry-21", RECENT_MS), 0);
    assert!(!zone(500, 0).has_stronger_peer("entry-21"));
}

/// A zone with four strong instances, more than are advertised without traffic; the weak ones up to
/// `unready` are unready.
fn zone_with_idle_strong(unready: usize) -> Directory {
    let mut members: BTreeMap<Arc<str>, Member> = BTreeMap::new();
    for index in 0..INSTANCES {
        let weight = if index >= INSTANCES - 4 { 500 } else { 50 };
        let unready_until_ms = if index < unready { u64::MAX } else { 0 };
        let mut member = member(index, weight, unready_until_ms, 0);
        member.requests_per_s = 0;
        members.insert(name(index), member);
    }
    let mut directory = Directory::default();
    directory.replace(members, STORE_MS);
    directory
}

/// Guards against callers that a strong instance sends to weak ones: it is not advertised, as the
/// traffic does not require it, and one account's callers overload it.
#[test]
fn a_strong_instance_that_is_not_advertised_stays_ready_beside_weak_ones() {
    let directory = zone_with_idle_strong(0);
    let strong = (INSTANCES - 4..INSTANCES).map(name);
    let mut idle = strong.filter(|name| !directory.is_advertised(name));
    let idle = idle.next().expect("all strong instances are advertised");

    assert_eq!(directory.spare_ms(&idle, RECENT_MS), 0);
    assert_eq!(directory.spare_ms("entry-00", RECENT_MS), 12_000);
}

#[test]
fn an_instance_of_the_highest_weight_leaves_where_no_weaker_one_is_ready() {
    let mut members: BTreeMap<Arc<str>, Member> = BTreeMap::new();
    members.insert(name(0), member(0, 50, u64::MAX, 0));
    for index in 1..INSTANCES {
        members.insert(name(index), member(index, 500, 0, 0));
    }
    let mut directory = Directory::default();
    directory.replace(members, STORE_MS);
    let mut idle = (1..INSTANCES).map(name);
    let idle = idle.find(|name| !directory.is_advertised(name)).unwrap();

    assert_eq!(directory.spare_ms(&idle, RECENT_MS), RECENT_MS);
}

/// Guards against an instance that drops its callers for as long as they take to leave it.
#[test]
fn an_unready_instance_serves_what_it_can_until_its_callers_have_moved() {
    let mut limiter = Limiter::new(10.0, 0.12);
    limiter.set_spare(u64::MAX);
    limiter.set_has_stronger_peer(true);
    let mut accepted = 0;

    for request in 0..MOVE_MS * REQUESTS_PER_S / 1_000 {
        let now_ms = request * 1_000 / REQUESTS_PER_S;
        if !limiter.is_closed(now_ms) {
            limiter.admit(now_ms, BODY);
            accepted += 1;
        }
    }

    assert!(limiter.unready_left_ms(MOVE_MS) > 0);
    // 0.4 of 10 Mbit/s are 40 requests of this size a second.
    assert!(accepted >= 60, "{accepted} in 2 s");
}
