//! Lagging load reports.

mod common;

use std::collections::HashMap;

use common::*;
use fescuewell_core::prelude::*;
use fescuewell_routing::prelude::*;

const ENGINES: u32 = 12;
const ROUTERS: u64 = 9;

#[test]
fn nine_instances_with_one_report_do_not_choose_one_engine() {
    // Symptom: the engine that was idle a moment ago has the longest queue, and so on in turn.
    // Events: one engine reports no load, the others a little; nine instances choose ten times each
    // before the next report.
    // Cause: the report lags, and every instance acts on the same one.
    let reach = keys(ENGINES);
    let mut sent: HashMap<ServerKey, u32> = HashMap::new();
    for instance in 0..ROUTERS {
        let mut router = router(ENGINES);
        router.set_instances(ROUTERS as u32);
        for &server in &reach {
            let load = if server == ServerKey(4) { 0 } else { 6 };
            router.record_load(at(0), server, report(load, 0, 0));
        }
        for ticket in 0..10 {
            let choice = router.choose(at(100), &query(&reach, &[])).unwrap();
            router.started(at(100), choice.server, Ticket(instance * 100 + ticket), 100);
            *sent.entry(choice.server).or_default() += 1;
        }
    }

    // 90 requests over 12 engines are 7.5 each; the idle one may get more, but not the lot.
    let idle = sent.get(&ServerKey(4)).copied().unwrap_or(0);
    assert!((3..=27).contains(&idle), "{sent:?}");
    assert!(sent.len() >= 8, "{sent:?}");
}

#[test]
fn own_requests_in_a_report_are_not_counted_twice() {
    // Symptom: an engine is refused as busy though the fleet runs half of what it may.
    // Events: twenty own requests run; a report that includes them arrives; some end meanwhile.
    // Cause: the own part of the report was added to the own count.
    let mut router = router(1);
    let reach = keys(1);
    send(&mut router, at(0), ServerKey(0), 0, 20);
    for ticket in 0..5 {
        router.finished(at(900), ServerKey(0), Ticket(ticket), Outcome::Done);
    }

    router.record_load(at(1_000), ServerKey(0), report(22, 0, 500));

    // 15 own and 2 of others, of 32.
    assert!(router.choose(at(1_000), &query(&reach, &[])).is_ok());
    router.record_load(at(1_100), ServerKey(0), report(32, 0, 0));
    let full = router.choose(at(1_100), &query(&reach, &[]));
    assert_eq!(full, Err(NoChoice::AllBusy));
}

#[test]
fn a_report_that_was_overtaken_is_ignored() {
    // Symptom: an engine that has room is refused as busy.
    // Events: a report from 900 ms arrives, then an older one that says the engine is full.
    // Cause: reports were taken by the order of their arrival.
    let mut router = router(1);
    let reach = keys(1);
    router.record_load(at(1_000), ServerKey(0), report(1, 0, 100));
    router.record_load(at(1_010), ServerKey(0), report(40, 9, 800));

    assert!(router.choose(at(1_020), &query(&reach, &[])).is_ok());
}

#[test]
fn lasting_load_by_others_is_avoided() {
    let mut router = router(2);
    router.set_instances(9);
    let reach = keys(2);
    for beat in 0..40 {
        router.record_load(at(beat * 500), ServerKey(0), report(24, 8, 250));
        router.record_load(at(beat * 500), ServerKey(1), report(3, 0, 250));
    }

    for _ in 0..20 {
        let choice = router.choose(at(20_000), &query(&reach, &[])).unwrap();
        assert_eq!(choice.server, ServerKey(1));
    }
}
