//! Random schedules of faults on several ledgers and a table that loses replies. No schedule may
//! overspend tokens or leave any that cannot be drawn.

mod common;

use common::fleet::{Fault, Fleet};
use fescuewell_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// One event in the fleet.
#[derive(Debug, Clone, Copy)]
enum Op {
    Request {
        node: usize,
        group: usize,
        amount: u64,
    },
    Settle {
        node: usize,
        pick: usize,
        percent: u64,
    },
    Bill {
        node: usize,
        pick: usize,
        is_duplicate: bool,
    },
    Release {
        node: usize,
        pick: usize,
    },
    Step {
        node: usize,
        fault: Fault,
    },
    Rounds {
        count: usize,
    },
    Advance {
        millis: u64,
    },
    Deliver {
        pick: usize,
        is_lost: bool,
    },
    DeliverDelayed {
        pick: usize,
    },
    TopUp {
        group: usize,
        amount: u64,
    },
    Pause {
        node: usize,
        is_paused: bool,
    },
    CutOff {
        node: usize,
        is_cut_off: bool,
    },
    Kill {
        node: usize,
    },
    Reclaim {
        pick: usize,
        fault: Fault,
    },
    Close {
        node: usize,
    },
}

fn apply(fleet: &mut Fleet, op: Op) {
    let size = fleet.nodes.len();
    match op {
        Op::Request {
            node,
            group,
            amount,
        } => fleet.request(node % size, group, Tokens(amount)),
        Op::Settle {
            node,
            pick,
            percent,
        } => fleet.settle(node % size, pick, percent),
        Op::Bill {
            node,
            pick,
            is_duplicate,
        } => fleet.bill(node % size, pick, is_duplicate),
        Op::Release { node, pick } => fleet.release(node % size, pick),
        Op::Step { node, fault } => {
            fleet.step(node % size, fault);
        }
        Op::Rounds { count } => (0..count).for_each(|_| fleet.round()),
        Op::Advance { millis } => fleet.advance(millis),
        Op::Deliver { pick, is_lost } => fleet.deliver(pick, is_lost),
        Op::DeliverDelayed { pick } => fleet.deliver_delayed(pick),
        Op::TopUp { group, amount } => fleet.top_up(group, Tokens(amount)),
        Op::Pause { node, is_paused } => fleet.nodes[node % size].is_paused = is_paused,
        Op::CutOff { node, is_cut_off } => fleet.nodes[node % size].is_cut_off = is_cut_off,
        Op::Kill { node } => fleet.kill(node % size),
        Op::Reclaim { pick, fault } => fleet.reclaim(pick, fault),
        Op::Close { node } => fleet.close(node % size),
    }
}

/// Applies the events, ends all faults, and checks that every token can be spent and is accounted
/// for.
fn run(size: usize, prepaid: u64, ops: &[Op]) {
    let mut fleet = Fleet::new(size, Tokens(prepaid), 11);
    for &op in ops {
        apply(&mut fleet, op);
        fleet.check();
    }
    fleet.recover();
    fleet.finish_requests();
    for group in 0..2 {
        let everything = fleet.available(group);
        let node = fleet.open_node();
        let is_granted = everything.is_zero() || fleet.is_granted(node, group, everything, 200);
        assert!(is_granted, "the last {everything} tokens cannot be drawn");
    }
    fleet.finish_requests();
    fleet.close_all();
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        2 => Just(Fault::ReplyLost),
        1 => Just(Fault::RequestLost),
        2 => Just(Fault::Delayed),
        1 => Just(Fault::Unreachable),
        1 => Just(Fault::Busy),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let node = || 0..5usize;
    let pick = || 0..8usize;
    prop_oneof![
        12 => (node(), 0..2usize, 1..400u64)
            .prop_map(|(node, group, amount)| Op::Request { node, group, amount }),
        8 => (node(), pick(), 0..=100u64)
            .prop_map(|(node, pick, percent)| Op::Settle { node, pick, percent }),
        6 => (node(), pick(), prop::bool::weighted(0.2))
            .prop_map(|(node, pick, is_duplicate)| Op::Bill { node, pick, is_duplicate }),
        2 => (node(), pick()).prop_map(|(node, pick)| Op::Release { node, pick }),
        24 => (node(), fault()).prop_map(|(node, fault)| Op::Step { node, fault }),
        3 => (1..6usize).prop_map(|count| Op::Rounds { count }),
        8 => (1..3_000u64).prop_map(|millis| Op::Advance { millis }),
        1 => (10_000..400_000u64).prop_map(|millis| Op::Advance { millis }),
        8 => (pick(), prop::bool::weighted(0.2))
            .prop_map(|(pick, is_lost)| Op::Deliver { pick, is_lost }),
        3 => pick().prop_map(|pick| Op::DeliverDelayed { pick }),
        1 => (0..2usize, 1..2_000u64).prop_map(|(group, amount)| Op::TopUp { group, amount }),
        2 => (node(), any::<bool>()).prop_map(|(node, is_paused)| Op::Pause { node, is_paused }),
        2 => (node(), any::<bool>()).prop_map(|(node, is_cut_off)| Op::CutOff { node, is_cut_off }),
        1 => node().prop_map(|node| Op::Kill { node }),
        4 => (pick(), fault()).prop_map(|(pick, fault)| Op::Reclaim { pick, fault }),
        1 => node().prop_map(|node| Op::Close { node }),
    ]
}

/// Default number of schedules; `FESCUEWELL_CASES` overrides it.
const CASES: u32 = 300;

fn config() -> ProptestConfig {
    let cases = std::env::var("FESCUEWELL_CASES").ok();
    let seed = std::env::var("FESCUEWELL_SEED").ok();
    ProptestConfig {
        cases: cases.and_then(|text| text.parse().ok()).unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(seed.and_then(|text| text.parse().ok()).unwrap_or(4)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn money_is_never_overspent_nor_stranded(
        size in 3..=5usize,
        prepaid in 100..20_000u64,
        ops in prop::collection::vec(op(), 1..150),
    ) {
        run(size, prepaid, &ops);
    }
}
