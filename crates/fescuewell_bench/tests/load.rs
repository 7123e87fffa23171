//! Plans, the all-seeing ledger, figures, and one short run of a whole fleet.

use fescuewell_bench::load::ledger::{Entry, judge};
use fescuewell_bench::load::plan::Plan;
use fescuewell_bench::load::report::{Report, spread};
use fescuewell_core::tokens::Tokens;

const SHORT: &str = r#"{
    "seed": 1, "seconds": 2, "routers": 2, "engines": 1, "skew": 1.0,
    "engine": {"base_step_us": 1000, "step_per_stream_us": 5},
    "prepaid": {"teinte": 3000},
    "traffic": [
        {"name": "card", "group": "teinte", "target": "chat", "per_second": 40.0, "output": [20, 60]},
        {"name": "confirm", "group": "handsign", "target": "confirm", "per_second": 20.0, "again_percent": 50}
    ]
}"#;

fn plan() -> Plan {
    Plan::read(SHORT, "short.json").expect("a plan")
}

fn entry(at_ms: f64, router: usize, cost: Option<u64>) -> Entry {
    Entry {
        at_ms,
        router,
        limit: Tokens(50),
        cost: cost.map(Tokens),
        is_refused: cost.is_none(),
    }
}

#[test]
fn arrivals_follow_the_seed_the_rate_and_the_skew() {
    let mut plan = plan();
    plan.seconds = 100;
    let arrivals = plan.arrivals();
    assert_eq!(arrivals, plan.arrivals());
    plan.seed = 2;
    assert_ne!(arrivals, plan.arrivals());
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at_ms));
    // 60 a second; two thirds of them at the first of two routers with exponent 1.
    assert!((5_500..6_500).contains(&arrivals.len()));
    let first = arrivals
        .iter()
        .filter(|arrival| arrival.router == 0)
        .count();
    let share = first as f64 / arrivals.len() as f64;
    assert!((0.63..0.70).contains(&share), "{share}");
}

// Symptom: the load tool filled the machine's memory. Sequence: a rate with a digit too many was run
// for an hour. Cause: nothing bounded how many requests a plan makes.
#[test]
fn a_plan_that_outgrows_memory_is_refused() {
    let mut plan = plan();
    plan.traffic[0].per_second = 1e9;
    assert!(plan.check().is_err());
    plan.traffic[0].per_second = f64::NAN;
    assert!(plan.check().is_err());
    plan.traffic[0].per_second = 1.0;
    plan.most_open = 1_000_000;
    assert!(plan.check().is_err());
}

#[test]
fn every_load_that_comes_along_can_be_read() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../benches/loads");
    let mut read = 0;
    for file in std::fs::read_dir(directory).expect("the directory of loads") {
        let path = file.expect("a file").path();
        let text = std::fs::read_to_string(&path).expect("its text");
        let plan = Plan::read(&text, &path.to_string_lossy()).expect("a plan");
        assert!(!plan.arrivals().is_empty());
        read += 1;
    }
    assert!(read >= 4);
}

#[test]
fn a_refusal_is_false_when_the_rest_would_have_covered_it() {
    // 100 prepaid. 40 are spent, then 50 asked for and refused: 60 were left. Then 50 are spent: 10 left.
    let entries = vec![
        entry(4.0, 0, None),
        entry(1.0, 0, Some(40)),
        entry(2.0, 0, None),
        entry(3.0, 0, Some(50)),
    ];
    let verdict = judge(Tokens(100), 1, entries);
    assert_eq!((verdict.refused, verdict.falsely), (2, 1));
    assert_eq!(verdict.spent_at_first, Some(0.4));
}

#[test]
fn an_equal_split_refuses_where_one_router_has_all_callers() {
    // 100 prepaid in two parts of 50; all callers are at router 0, so that its second request is refused.
    let entries = vec![entry(1.0, 0, Some(40)), entry(2.0, 0, Some(40))];
    let verdict = judge(Tokens(100), 2, entries);
    assert_eq!(verdict.falsely, 0);
    assert_eq!(verdict.equal_split_falsely, 1);
    assert_eq!(verdict.equal_split_spent_at_first, Some(0.4));
}

#[test]
fn percentiles_are_by_nearest_rank() {
    let hundred = spread((1..=100).rev().map(f64::from).collect());
    assert_eq!((hundred.p50, hundred.p95, hundred.p99), (50.0, 95.0, 99.0));
    assert_eq!(spread(Vec::new()).p99, 0.0);
}

#[test]
fn broken_promises_and_differences_are_told() {
    let mut report = Report::default();
    assert!(report.broken_promises().is_empty());
    let earlier = report.clone();
    assert_eq!(report.differences(&earlier), "");
    report.unbilled = 1;
    report.most_runs = 2;
    report.groups.entry("teinte".into()).or_default().overspend = 3;
    report.groups.entry("handsign".into()).or_default().answered = 1;
    assert_eq!(report.broken_promises().len(), 4);
    assert!(report.differences(&earlier).contains("most_runs"));
}

#[test]
fn a_short_run_of_a_whole_fleet_keeps_the_promises() {
    let report = fescuewell_bench::load::run(&plan()).expect("a run");
    assert_eq!(report.broken_promises(), Vec::<String>::new());
    assert_eq!(report.unfinished, 0);
    let card = &report.traffic["card"];
    let refused: u64 = card.refused.values().sum();
    assert_eq!(card.requests, card.whole + card.broken + refused);
    assert!(card.whole > 0 && refused > 0, "{report:?}");
    assert_eq!(report.billed, report.whole);
    assert_eq!(report.most_runs, 1);
    let repeats = &report.traffic["confirm"].repeats;
    assert!(
        repeats.get("whole").is_some_and(|count| *count > 0),
        "{repeats:?}"
    );
}
