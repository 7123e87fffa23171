//! Tests of scheduling order, floors, fair sharing and refusals of the queue.

use std::collections::BTreeMap;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_queue::admission::{Entry, GroupPolicy, KindPolicy, Queue, Settings};

const URGENT: KindKey = KindKey(0);
const BULK: KindKey = KindKey(1);
const FLOOR_PERCENT: u8 = 10;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn queue(settings: Settings) -> Queue {
    let mut queue = Queue::new(settings, 1);
    queue.set_kinds(&[
        KindPolicy {
            key: URGENT,
            priority: 0,
            floor_percent: 0,
        },
        KindPolicy {
            key: BULK,
            priority: 9,
            floor_percent: FLOOR_PERCENT,
        },
    ]);
    queue
}

fn entry(ticket: u64, kind: KindKey) -> Entry {
    Entry {
        ticket,
        group: GroupKey(0),
        kind,
        pool: 0,
        cost: Tokens(100),
        deadline: at(1_000_000),
    }
}

fn group_entry(ticket: u64, group: u32, cost: u64) -> Entry {
    Entry {
        group: GroupKey(group),
        cost: Tokens(cost),
        ..entry(ticket, BULK)
    }
}

fn tokens_by_group(queue: &mut Queue, tokens: u64) -> BTreeMap<GroupKey, u64> {
    let mut sums = BTreeMap::new();
    let mut total = 0;
    while total < tokens {
        let Some(started) = queue.pop(at(1), &mut |_| true) else {
            break;
        };
        *sums.entry(started.group).or_default() += started.cost.0;
        total += started.cost.0;
    }
    sums
}

/// Returns a queue with a measured throughput of 10 requests of 100 tokens per second, and 50 requests still queued.
fn measured_queue(settings: Settings) -> Queue {
    let mut queue = queue(settings);
    for ticket in 0..100 {
        queue.push(at(0), entry(ticket, BULK)).unwrap();
    }
    let mut now = at(0);
    for _ in 0..50 {
        let mut room = true;
        while let Some(started) = queue.pop(now, &mut |_| std::mem::take(&mut room)) {
            queue.finish(&started, Some(Duration::from_millis(100)));
        }
        now = now + Duration::from_millis(100);
    }
    queue
}

#[test]
fn urgent_goes_first() {
    let mut queue = queue(Settings::default());
    queue.push(at(0), entry(1, BULK)).unwrap();
    queue.push(at(0), entry(2, URGENT)).unwrap();

    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(at(0), &mut |_| true))
        .map(|entry| entry.ticket)
        .collect();

    assert_eq!(order, [2, 1]);
}

#[test]
fn bulk_keeps_its_floor_and_no_more_while_urgent_work_waits() {
    // Guards against starving bulk requests when urgent requests always wait, as with strict priorities without a floor.
    let mut queue = queue(Settings::default());
    for ticket in 0..900 {
        queue.push(at(0), entry(ticket, URGENT)).unwrap();
    }
    for ticket in 1_000..1_200 {
        queue.push(at(0), entry(ticket, BULK)).unwrap();
    }

    let started = std::iter::from_fn(|| queue.pop(at(0), &mut |_| true)).take(900);
    let bulk = started.filter(|entry| entry.kind == BULK).count();

    assert!((89..=91).contains(&bulk), "{bulk} of 900");
}

#[test]
fn a_floor_saves_nothing_up_while_idle() {
    // Guards against bulk requests that delay urgent ones after only urgent requests ran for a long time: a floor must
    // not count the time in which no bulk request waited.
    let mut queue = queue(Settings::default());
    for ticket in 0..900 {
        queue.push(at(0), entry(ticket, URGENT)).unwrap();
    }
    for _ in 0..500 {
        queue.pop(at(0), &mut |_| true).unwrap();
    }
    for ticket in 1_000..1_100 {
        queue.push(at(0), entry(ticket, BULK)).unwrap();
    }

    let started = std::iter::from_fn(|| queue.pop(at(0), &mut |_| true)).take(50);
    let bulk = started.filter(|entry| entry.kind == BULK).count();

    assert!(bulk <= 6, "{bulk} of 50");
}

#[test]
fn single_bulk_requests_do_not_each_start_on_new_credit() {
    // Guards against single bulk requests that get half of the starts with a floor of 10%: each one arrives after the
    // last has started. The negative deficit must be kept when the bulk queue becomes empty.
    let mut queue = queue(Settings::default());
    for ticket in 0..900 {
        queue.push(at(0), entry(ticket, URGENT)).unwrap();
    }
    let mut bulk = 0;
    let mut next = 1_000;
    for _ in 0..500 {
        if queue.depth(BULK) == 0 {
            queue.push(at(0), entry(next, BULK)).unwrap();
            next += 1;
        }
        let started = queue.pop(at(0), &mut |_| true).unwrap();
        bulk += u32::from(started.kind == BULK);
    }

    assert!((49..=51).contains(&bulk), "{bulk} of 500");
}

#[test]
fn groups_share_by_tokens_and_weight_not_by_requests() {
    let mut queue = queue(Settings::default());
    queue.set_groups(&[GroupPolicy {
        key: GroupKey(2),
        weight: 3,
    }]);
    for ticket in 0..200 {
        queue.push(at(0), group_entry(ticket, 1, 100)).unwrap();
        queue
            .push(at(0), group_entry(1_000 + ticket, 2, 400))
            .unwrap();
    }

    let sums = tokens_by_group(&mut queue, 20_000);

    let (one, three) = (sums[&GroupKey(1)], sums[&GroupKey(2)]);
    assert!(one.abs_diff(three / 3) <= 100 + 400 / 3, "{one} {three}");
}

#[test]
fn a_group_that_costs_more_than_expected_pays_later() {
    // Guards against a group that gets more than its share by setting low output limits: it expects 100 tokens each time
    // and uses 300, so shares must be corrected by the actual cost.
    let mut queue = queue(Settings::default());
    for ticket in 0..200 {
        queue.push(at(0), group_entry(ticket, 1, 100)).unwrap();
        queue
            .push(at(0), group_entry(1_000 + ticket, 2, 100))
            .unwrap();
    }
    let mut actual_tokens = BTreeMap::new();
    for _ in 0..160 {
        let started = queue.pop(at(1), &mut |_| true).unwrap();
        let actual = if started.group == GroupKey(1) {
            300
        } else {
            100
        };
        queue.correct_cost(&started, Tokens(actual));
        *actual_tokens.entry(started.group).or_insert(0u64) += actual;
    }

    let (over, exact) = (actual_tokens[&GroupKey(1)], actual_tokens[&GroupKey(2)]);
    assert!(over.abs_diff(exact) <= 400, "{over} {exact}");
}

#[test]
fn a_full_pool_does_not_block_another() {
    let mut queue = queue(Settings::default());
    queue.push(at(0), entry(1, URGENT)).unwrap();
    let other = Entry {
        pool: 1,
        ..entry(2, BULK)
    };
    queue.push(at(0), other).unwrap();

    let started = queue.pop(at(0), &mut |entry| entry.pool == 1).unwrap();

    assert_eq!(started.ticket, 2);
}

#[test]
fn a_large_request_is_not_passed_for_ever() {
    // Guards against starving a large request: it needs two free places, and each place that becomes free is taken by a
    // small request that bypasses it, unless the pool is reserved for the large one.
    let settings = Settings {
        max_bypasses: 5,
        ..Settings::default()
    };
    let mut queue = queue(settings);
    queue.push(at(0), group_entry(1, 1, 1_000)).unwrap();
    for ticket in 2..100 {
        queue.push(at(0), group_entry(ticket, 2, 100)).unwrap();
    }
    let mut free = 1;
    let mut starts = 0;
    let has_started = loop {
        let needed = |entry: &Entry| if entry.ticket == 1 { 2 } else { 1 };
        match queue.pop(at(starts), &mut |entry| needed(entry) <= free) {
            Some(started) if started.ticket == 1 => break true,
            Some(_) => free -= 1,
            None => {}
        }
        free += 1;
        starts += 1;
        if starts > 50 {
            break false;
        }
    };

    assert!(has_started);
    assert!(starts <= 8, "{starts}");
}

#[test]
fn bulk_cannot_fill_the_queue() {
    // Guards against refusing urgent requests as "queue full" after a batch of bulk requests has filled the queue, as
    // with one limit for all kinds.
    let settings = Settings {
        max_queued: 100,
        group_factor: 100,
        ..Settings::default()
    };
    let mut queue = queue(settings);
    let accepted = (0..200).filter(|&ticket| queue.push(at(0), entry(ticket, BULK)).is_ok());
    let accepted = accepted.count();

    let refusal = queue.push(at(0), entry(500, BULK)).unwrap_err();
    let urgent = (1_000..1_200).filter(|&ticket| queue.push(at(0), entry(ticket, URGENT)).is_ok());

    assert_eq!(accepted, 50);
    assert_eq!(refusal.code, Code::QueueFull);
    assert!(refusal.retry_after.is_some());
    assert_eq!(urgent.count(), 50);
}

#[test]
fn urgent_work_cannot_keep_bulk_out_of_the_queue() {
    let settings = Settings {
        max_queued: 100,
        group_factor: 100,
        ..Settings::default()
    };
    let mut queue = queue(settings);
    for ticket in 0..200 {
        let _ = queue.push(at(0), entry(ticket, URGENT));
    }

    let bulk = (1_000..1_100).filter(|&ticket| queue.push(at(0), entry(ticket, BULK)).is_ok());

    assert_eq!(bulk.count(), usize::from(FLOOR_PERCENT));
}

#[test]
fn one_group_cannot_fill_the_queue() {
    let settings = Settings {
        max_queued: 300,
        ..Settings::default()
    };
    let mut queue = queue(settings);
    for ticket in 0..300 {
        let _ = queue.push(at(0), group_entry(ticket, 1, 10));
    }

    let other = queue.push(at(0), group_entry(1_000, 2, 10));

    assert!(other.is_ok());
    assert!(queue.len() <= 101, "{}", queue.len());
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut queue = measured_queue(Settings::default());
    let now = at(5_000);
    let near = Entry {
        deadline: now + Duration::from_millis(500),
        ..entry(1_000, BULK)
    };

    let refusal = queue.push(now, near).unwrap_err();
    let far = queue.push(now, entry(1_001, BULK)).unwrap();

    assert_eq!(refusal.code, Code::DeadlineTooNear);
    let wait = far.wait.unwrap();
    assert!((4_000..6_500).contains(&wait.as_millis()), "{wait:?}");
    assert!(refusal.retry_after.unwrap() >= Duration::from_secs(3));
}

#[test]
fn a_wait_that_takes_most_of_the_time_is_refused_as_a_full_queue() {
    // Guards against refusals of first attempts for 15 s after a surge: if every request that can just meet its deadline
    // is accepted, the queue is as long as the deadlines allow and only shrinks by the capacity that the load leaves.
    let mut queue = measured_queue(Settings::default());
    let now = at(5_000);
    let request = Entry {
        deadline: now + Duration::from_millis(8_000),
        ..entry(1_000, BULK)
    };

    let refusal = queue.push(now, request).unwrap_err();

    assert_eq!(refusal.code, Code::QueueFull);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_request_that_lost_its_chance_is_given_up_before_its_deadline() {
    // Guards against callers that wait until their deadline for a refusal that is certain earlier: a request is accepted,
    // then the servers accept no more. Queued requests must be checked before their deadline has passed.
    let mut queue = measured_queue(Settings::default());
    let now = at(5_000);
    let request = Entry {
        deadline: now + Duration::from_secs(12),
        ..entry(1_000, BULK)
    };
    queue.push(now, request).unwrap();
    let mut given_up_at = None;
    for step in 0..120 {
        let now = now + Duration::from_millis(100 * step);
        assert!(queue.pop(now, &mut |_| false).is_none());
        if !queue.expire(now).is_empty() {
            given_up_at = Some(step);
            break;
        }
    }

    let step = given_up_at.expect("given up");
    assert!((1..50).contains(&step), "{step}");
}

#[test]
fn an_outage_does_not_make_the_queue_refuse_afterwards() {
    // Guards against refusals as `DeadlineTooNear` after an outage: nothing starts for a minute, the queue empties by
    // deadlines, then requests arrive slowly. The measured throughput of nearly zero must not be kept, since it is only
    // measured again while the pool is full.
    let mut queue = measured_queue(Settings::default());
    for second in 5..65 {
        queue.pop(at(second * 1_000), &mut |_| false);
    }
    let tickets: Vec<u64> = (0..100).collect();
    for ticket in tickets {
        queue.remove(at(65_000), ticket);
    }

    let mut refused = 0;
    for request in 0..100 {
        let now = at(65_000 + request * 100);
        let request = Entry {
            deadline: now + Duration::from_millis(500),
            ..entry(1_000 + request, BULK)
        };
        refused += u32::from(queue.push(now, request).is_err());
        let started = queue.pop(now, &mut |_| true);
        started.inspect(|entry| queue.finish(entry, Some(Duration::from_millis(100))));
    }

    assert_eq!(refused, 0);
}

#[test]
fn a_request_put_back_goes_first_again_and_costs_nothing() {
    let mut queue = queue(Settings::default());
    for ticket in 0..4 {
        queue.push(at(0), entry(ticket, BULK)).unwrap();
    }
    let started = queue.pop(at(0), &mut |_| true).unwrap();
    queue.requeue(at(0), started);

    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(at(0), &mut |_| true))
        .map(|entry| entry.ticket)
        .collect();

    assert_eq!(order, [0, 1, 2, 3]);
}

#[test]
fn requests_of_a_kind_that_left_the_document_are_still_served() {
    let mut queue = queue(Settings::default());
    queue.push(at(0), entry(1, BULK)).unwrap();
    queue.set_kinds(&[KindPolicy {
        key: URGENT,
        priority: 0,
        floor_percent: 0,
    }]);

    let refusal = queue.push(at(0), entry(2, BULK)).unwrap_err();
    let started = queue.pop(at(0), &mut |_| true).unwrap();

    assert_eq!(refusal.code, Code::UnknownKind);
    assert_eq!(started.ticket, 1);
}

#[test]
fn a_request_put_back_into_a_forgotten_line_is_counted_once() {
    // Guards against a panic or a predicted wait of years for the next request of a group: its only request starts, is
    // requeued and starts again. If the flow was dropped in between, requeueing must lower both token counters or neither.
    let mut queue = queue(Settings::default());
    queue.push(at(0), group_entry(1, 1, 0)).unwrap();
    queue.push(at(0), group_entry(2, 1, 500)).unwrap();
    queue.pop(at(0), &mut |_| true).unwrap();
    let started = queue.pop(at(0), &mut |_| true).unwrap();
    queue.requeue(at(0), started);
    queue.push(at(0), group_entry(3, 1, 500)).unwrap();
    queue.pop(at(0), &mut |_| true).unwrap();

    let position = queue.push(at(0), group_entry(4, 1, 500)).unwrap();

    assert_eq!(position.ahead, 1);
    assert_eq!(queue.len(), 2);
}

#[test]
fn a_failed_request_that_is_put_back_frees_one_place_only() {
    // Guards against predicted waits several times too long after failed sends: a popped request is finished as failed
    // and then requeued, and must be subtracted only once from the running requests.
    let mut queue = measured_queue(Settings::default());
    let mut running = Vec::new();
    while running.len() < 10 {
        running.extend(queue.pop(at(5_000), &mut |_| true));
    }
    let before = queue.next_finish(0);
    let failed = running.remove(0);

    queue.finish(&failed, None);
    queue.requeue(at(5_000), failed);
    queue.pop(at(5_000), &mut |entry| entry.ticket == failed.ticket);

    assert!(before.is_some());
    assert_eq!(queue.next_finish(0), before);
}
