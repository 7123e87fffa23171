//! Delayed load reports.

mod common;

use std::collections::HashMap;

use common::*;
use fescuewell_core::prelude::*;
use fescuewell_routing::prelude::*;

const ENGINES: u32 = 12;
const ROUTERS: u64 = 9;

#[test]
fn nine_instances_with_one_report_do_not_choose_one_engine() {
    // One engine reports no load, the others a little, and nine instances choose ten times each
    // before the next report. If all followed the same delayed report, the idle engine would get
    // the longest queue, then the next one.
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

    // 90 requests over 12 engines are 7.5 each; the idle one may get more, but not most of them.
    let idle = sent.get(&ServerKey(4)).copied().unwrap_or(0);
    assert!((3..=27).contains(&idle), "{sent:?}");
    assert!(sent.len() >= 8, "{sent:?}");
}

#[test]
fn own_requests_in_a_report_are_not_counted_twice() {
    // Twenty own requests run, some end, then a report arrives that includes them all. If they were
    // added to the own count, the engine would be rejected as busy at half its load.
    let mut router = router(1);
    let reach = keys(1);
    send(&mut router, at(0), ServerKey(0), 0, 20);
    for ticket in 0..5 {
        router.finished(at(900), ServerKey(0), Ticket(ticket), Outcome::Done);
    }

    router.record_load(at(1_000), ServerKey(0), report(22, 0, 500));

    // 15 own requests and 2 of other instances, with a limit of 32.
    assert!(router.choose(at(1_000), &query(&reach, &[])).is_ok());
    router.record_load(at(1_100), ServerKey(0), report(32, 0, 0));
    let full = router.choose(at(1_100), &query(&reach, &[]));
    assert_eq!(full, Err(NoChoice::AllBusy));
}

#[test]
fn a_report_that_was_overtaken_is_ignored() {
    // A report from 900 ms arrives, then an older one in which the engine is full. Applied in order
    // of arrival, the older one would make an engine with free capacity count as busy.
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
    for tick in 0..40 {
        router.record_load(at(tick * 500), ServerKey(0), report(24, 8, 250));
        router.record_load(at(tick * 500), ServerKey(1), report(3, 0, 250));
    }

    for _ in 0..20 {
        let choice = router.choose(at(20_000), &query(&reach, &[])).unwrap();
        assert_eq!(choice.server, ServerKey(1));
    }
}
