//! Order, floors, fairness and refusals of the queue, each by a short sequence.

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

fn admission(settings: Settings) -> Queue {
    let mut admission = Queue::new(settings, 1);
    admission.set_kinds(&[
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
    admission
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

fn of_group(ticket: u64, group: u32, cost: u64) -> Entry {
    Entry {
        group: GroupKey(group),
        cost: Tokens(cost),
        ..entry(ticket, BULK)
    }
}

fn tokens_by_group(admission: &mut Queue, tokens: u64) -> BTreeMap<GroupKey, u64> {
    let mut sums = BTreeMap::new();
    let mut total = 0;
    while total < tokens {
        let Some(started) = admission.pop(at(1), &mut |_| true) else {
            break;
        };
        *sums.entry(started.group).or_default() += started.cost.0;
        total += started.cost.0;
    }
    sums
}

/// A pool that runs at `per_second` requests of 100 tokens, with the queue full all the time.
fn measured(settings: Settings) -> Queue {
    let mut admission = admission(settings);
    for ticket in 0..100 {
        admission.push(at(0), entry(ticket, BULK)).unwrap();
    }
    let mut now = at(0);
    for _ in 0..50 {
        let mut room = true;
        while let Some(started) = admission.pop(now, &mut |_| std::mem::take(&mut room)) {
            admission.finish(&started, Some(Duration::from_millis(100)));
        }
        now = now + Duration::from_millis(100);
    }
    admission
}

#[test]
fn urgent_goes_first() {
    let mut admission = admission(Settings::default());
    admission.push(at(0), entry(1, BULK)).unwrap();
    admission.push(at(0), entry(2, URGENT)).unwrap();

    let order: Vec<u64> = std::iter::from_fn(|| admission.pop(at(0), &mut |_| true))
        .map(|entry| entry.ticket)
        .collect();

    assert_eq!(order, [2, 1]);
}

#[test]
fn bulk_keeps_its_floor_and_no_more_while_urgent_work_waits() {
    // Symptom: summaries never ran on days on which status calls alone filled the servers.
    // Sequence: urgent work waits at every moment.
    // Cause: strict order of kinds without a floor.
    let mut admission = admission(Settings::default());
    for ticket in 0..900 {
        admission.push(at(0), entry(ticket, URGENT)).unwrap();
    }
    for ticket in 1_000..1_200 {
        admission.push(at(0), entry(ticket, BULK)).unwrap();
    }

    let started = std::iter::from_fn(|| admission.pop(at(0), &mut |_| true)).take(900);
    let bulk = started.filter(|entry| entry.kind == BULK).count();

    assert!((89..=91).contains(&bulk), "{bulk} of 900");
}

#[test]
fn a_floor_saves_nothing_up_while_idle() {
    // Symptom: after a quiet night a batch of bulk work held up urgent calls.
    // Sequence: urgent work alone for a long time, then a batch of bulk work.
    // Cause: a floor that counts from the beginning, not from when there was something to start.
    let mut admission = admission(Settings::default());
    for ticket in 0..900 {
        admission.push(at(0), entry(ticket, URGENT)).unwrap();
    }
    for _ in 0..500 {
        admission.pop(at(0), &mut |_| true).unwrap();
    }
    for ticket in 1_000..1_100 {
        admission.push(at(0), entry(ticket, BULK)).unwrap();
    }

    let started = std::iter::from_fn(|| admission.pop(at(0), &mut |_| true)).take(50);
    let bulk = started.filter(|entry| entry.kind == BULK).count();

    assert!(bulk <= 6, "{bulk} of 50");
}

#[test]
fn single_bulk_requests_do_not_each_start_on_new_credit() {
    // Symptom: a trickle of bulk work got half of the starts with a floor of 10%.
    // Sequence: one bulk request waits, starts after one urgent start, the next one arrives.
    // Cause: the debt was dropped each time the bulk queue became empty.
    let mut admission = admission(Settings::default());
    for ticket in 0..900 {
        admission.push(at(0), entry(ticket, URGENT)).unwrap();
    }
    let mut bulk = 0;
    let mut next = 1_000;
    for _ in 0..500 {
        if admission.depth(BULK) == 0 {
            admission.push(at(0), entry(next, BULK)).unwrap();
            next += 1;
        }
        let started = admission.pop(at(0), &mut |_| true).unwrap();
        bulk += u32::from(started.kind == BULK);
    }

    assert!((49..=51).contains(&bulk), "{bulk} of 500");
}

#[test]
fn groups_share_by_tokens_and_weight_not_by_requests() {
    let mut admission = admission(Settings::default());
    admission.set_groups(&[GroupPolicy {
        key: GroupKey(2),
        weight: 3,
    }]);
    for ticket in 0..200 {
        admission.push(at(0), of_group(ticket, 1, 100)).unwrap();
        admission
            .push(at(0), of_group(1_000 + ticket, 2, 400))
            .unwrap();
    }

    let sums = tokens_by_group(&mut admission, 20_000);

    let (one, three) = (sums[&GroupKey(1)], sums[&GroupKey(2)]);
    assert!(one.abs_diff(three / 3) <= 100 + 400 / 3, "{one} {three}");
}

#[test]
fn a_group_that_costs_more_than_expected_pays_later() {
    // Symptom: a group that named tiny output limits got far more than its share.
    // Sequence: it expects 100 tokens each time and uses 300.
    // Cause: shares were kept by expected costs and never corrected.
    let mut admission = admission(Settings::default());
    for ticket in 0..200 {
        admission.push(at(0), of_group(ticket, 1, 100)).unwrap();
        admission
            .push(at(0), of_group(1_000 + ticket, 2, 100))
            .unwrap();
    }
    let mut true_tokens = BTreeMap::new();
    for _ in 0..160 {
        let started = admission.pop(at(1), &mut |_| true).unwrap();
        let actual = if started.group == GroupKey(1) {
            300
        } else {
            100
        };
        admission.correct_cost(&started, Tokens(actual));
        *true_tokens.entry(started.group).or_insert(0u64) += actual;
    }

    let (over, exact) = (true_tokens[&GroupKey(1)], true_tokens[&GroupKey(2)]);
    assert!(over.abs_diff(exact) <= 400, "{over} {exact}");
}

#[test]
fn a_full_pool_does_not_block_another() {
    let mut admission = admission(Settings::default());
    admission.push(at(0), entry(1, URGENT)).unwrap();
    let other = Entry {
        pool: 1,
        ..entry(2, BULK)
    };
    admission.push(at(0), other).unwrap();

    let started = admission.pop(at(0), &mut |entry| entry.pool == 1).unwrap();

    assert_eq!(started.ticket, 2);
}

#[test]
fn a_large_request_is_not_passed_for_ever() {
    // Symptom: a long correction card waited until its deadline while short ones went past it.
    // Sequence: each time that one place comes free, a request that needs one place takes it; the large one needs two.
    // Cause: what cannot start is skipped, and nothing keeps the places free for it.
    let settings = Settings {
        max_bypasses: 5,
        ..Settings::default()
    };
    let mut admission = admission(settings);
    admission.push(at(0), of_group(1, 1, 1_000)).unwrap();
    for ticket in 2..100 {
        admission.push(at(0), of_group(ticket, 2, 100)).unwrap();
    }
    let mut free = 1;
    let mut starts = 0;
    let found = loop {
        let needed = |entry: &Entry| if entry.ticket == 1 { 2 } else { 1 };
        match admission.pop(at(starts), &mut |entry| needed(entry) <= free) {
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

    assert!(found);
    assert!(starts <= 8, "{starts}");
}

#[test]
fn bulk_cannot_fill_the_queue() {
    // Symptom: status calls were refused as "queue full" while only bulk work waited.
    // Sequence: a batch fills all places, then an urgent request arrives.
    // Cause: one bound for all kinds.
    let settings = Settings {
        max_queued: 100,
        group_factor: 100,
        ..Settings::default()
    };
    let mut admission = admission(settings);
    let accepted = (0..200).filter(|&ticket| admission.push(at(0), entry(ticket, BULK)).is_ok());
    let accepted = accepted.count();

    let refusal = admission.push(at(0), entry(500, BULK)).unwrap_err();
    let urgent =
        (1_000..1_200).filter(|&ticket| admission.push(at(0), entry(ticket, URGENT)).is_ok());

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
    let mut admission = admission(settings);
    for ticket in 0..200 {
        let _ = admission.push(at(0), entry(ticket, URGENT));
    }

    let bulk = (1_000..1_100).filter(|&ticket| admission.push(at(0), entry(ticket, BULK)).is_ok());

    assert_eq!(bulk.count(), usize::from(FLOOR_PERCENT));
}

#[test]
fn one_group_cannot_fill_the_queue() {
    let settings = Settings {
        max_queued: 300,
        ..Settings::default()
    };
    let mut admission = admission(settings);
    for ticket in 0..300 {
        let _ = admission.push(at(0), of_group(ticket, 1, 10));
    }

    let other = admission.push(at(0), of_group(1_000, 2, 10));

    assert!(other.is_ok());
    assert!(admission.len() <= 101, "{}", admission.len());
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut admission = measured(Settings::default());
    let now = at(5_000);
    let near = Entry {
        deadline: now + Duration::from_millis(500),
        ..entry(1_000, BULK)
    };

    let refusal = admission.push(now, near).unwrap_err();
    let far = admission.push(now, entry(1_001, BULK)).unwrap();

    assert_eq!(refusal.code, Code::DeadlineTooNear);
    let wait = far.wait.unwrap();
    assert!((4_000..6_500).contains(&wait.as_millis()), "{wait:?}");
    assert!(refusal.retry_after.unwrap() >= Duration::from_secs(3));
}

#[test]
fn a_wait_that_takes_most_of_the_time_is_refused_as_a_full_queue() {
    // Symptom: a quarter of a minute after a surge first tries were still refused.
    // Sequence: a surge fills the queue up to the callers' deadlines, and it only empties by what load leaves free.
    // Cause: whatever could just have started in time was accepted.
    let mut admission = measured(Settings::default());
    let now = at(5_000);
    let request = Entry {
        deadline: now + Duration::from_millis(8_000),
        ..entry(1_000, BULK)
    };

    let refusal = admission.push(now, request).unwrap_err();

    assert_eq!(refusal.code, Code::QueueFull);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_request_that_lost_its_chance_is_given_up_before_its_deadline() {
    // Symptom: callers waited out their whole deadline for a refusal that was certain early on.
    // Sequence: a request is accepted, then the servers stop taking work.
    // Cause: queued requests were only looked at when their deadline had passed.
    let mut admission = measured(Settings::default());
    let now = at(5_000);
    let request = Entry {
        deadline: now + Duration::from_secs(12),
        ..entry(1_000, BULK)
    };
    admission.push(now, request).unwrap();
    let mut gone_at = None;
    for step in 0..120 {
        let now = now + Duration::from_millis(100 * step);
        assert!(admission.pop(now, &mut |_| false).is_none());
        if !admission.expire(now).is_empty() {
            gone_at = Some(step);
            break;
        }
    }

    let step = gone_at.expect("given up");
    assert!((1..50).contains(&step), "{step}");
}

#[test]
fn an_outage_does_not_make_the_queue_refuse_afterwards() {
    // Symptom: after the servers had come back, requests were still refused as too late to start.
    // Sequence: nothing starts for a minute, the queue empties by deadlines, servers return, requests trickle in.
    // Cause: the measured speed of nearly zero was kept, and only a full queue is measured again.
    let mut admission = measured(Settings::default());
    for second in 5..65 {
        admission.pop(at(second * 1_000), &mut |_| false);
    }
    let tickets: Vec<u64> = (0..100).collect();
    for ticket in tickets {
        admission.remove(at(65_000), ticket);
    }

    let mut refused = 0;
    for request in 0..100 {
        let now = at(65_000 + request * 100);
        let request = Entry {
            deadline: now + Duration::from_millis(500),
            ..entry(1_000 + request, BULK)
        };
        refused += u32::from(admission.push(now, request).is_err());
        let started = admission.pop(now, &mut |_| true);
        started.inspect(|entry| admission.finish(entry, Some(Duration::from_millis(100))));
    }

    assert_eq!(refused, 0);
}

#[test]
fn a_request_put_back_goes_first_again_and_costs_nothing() {
    let mut admission = admission(Settings::default());
    for ticket in 0..4 {
        admission.push(at(0), entry(ticket, BULK)).unwrap();
    }
    let started = admission.pop(at(0), &mut |_| true).unwrap();
    admission.requeue(at(0), started);

    let order: Vec<u64> = std::iter::from_fn(|| admission.pop(at(0), &mut |_| true))
        .map(|entry| entry.ticket)
        .collect();

    assert_eq!(order, [0, 1, 2, 3]);
}

#[test]
fn requests_of_a_kind_that_left_the_document_are_still_served() {
    let mut admission = admission(Settings::default());
    admission.push(at(0), entry(1, BULK)).unwrap();
    admission.set_kinds(&[KindPolicy {
        key: URGENT,
        priority: 0,
        floor_percent: 0,
    }]);

    let refusal = admission.push(at(0), entry(2, BULK)).unwrap_err();
    let started = admission.pop(at(0), &mut |_| true).unwrap();

    assert_eq!(refusal.code, Code::UnknownKind);
    assert_eq!(started.ticket, 1);
}

#[test]
fn a_request_put_back_into_a_forgotten_line_is_counted_once() {
    // Symptom: a panic, or a predicted wait of years, for the next request of the group.
    // Sequence: the only request of a group starts, is put back and starts again; another one arrives.
    // Cause: the tokens ahead were kept as two counters, and putting back lowered only one of them when
    // the group's line had been dropped meanwhile.
    let mut admission = admission(Settings::default());
    admission.push(at(0), of_group(1, 1, 0)).unwrap();
    admission.push(at(0), of_group(2, 1, 500)).unwrap();
    admission.pop(at(0), &mut |_| true).unwrap();
    let started = admission.pop(at(0), &mut |_| true).unwrap();
    admission.requeue(at(0), started);
    admission.push(at(0), of_group(3, 1, 500)).unwrap();
    admission.pop(at(0), &mut |_| true).unwrap();

    let position = admission.push(at(0), of_group(4, 1, 500)).unwrap();

    assert_eq!(position.ahead, 1);
    assert_eq!(admission.len(), 2);
}

#[test]
fn a_failed_request_that_is_put_back_frees_one_place_only() {
    // Symptom: after a few failed sends the predicted waits were several times too long.
    // Sequence: a popped request is reported as finished without success, then put back.
    // Cause: both reports took one off the number of running requests.
    let mut admission = measured(Settings::default());
    let mut running = Vec::new();
    while running.len() < 10 {
        running.extend(admission.pop(at(5_000), &mut |_| true));
    }
    let before = admission.next_finish(0);
    let failed = running.remove(0);

    admission.finish(&failed, None);
    admission.requeue(at(5_000), failed);
    admission.pop(at(5_000), &mut |entry| entry.ticket == failed.ticket);

    assert!(before.is_some());
    assert_eq!(admission.next_finish(0), before);
}
