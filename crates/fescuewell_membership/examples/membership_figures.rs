//! Measures membership at 9 and 850 instances in virtual time: how fast a head converges, what
//! control traffic and table accesses cost, how fast a crash is detected, and the real time that
//! decisions take.
//!
//! Run with `cargo run --release -p fescuewell_membership --example membership_figures`; the
//! argument `faults` after `--` skips the slowest measurements.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant as Wall};

use common::network::{Network, SLOTS};
use common::{info, instance};
use fescuewell_core::prelude::*;
use fescuewell_membership::address::{self, Caller};
use fescuewell_membership::row;
use fescuewell_membership::slots::{self, Candidate};

const CHANGES: u64 = 12;
const TRAFFIC_DURATION: Duration = Duration::from_secs(60);
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_160);

fn main() {
    let faults_only = std::env::args().any(|word| word == "faults");
    for (count, regions) in [(9, 1), (850, 4)] {
        measure(count, regions, faults_only);
    }
}

fn measure(count: usize, regions: usize, faults_only: bool) {
    println!("== {count} instances, {regions} region(s)");
    let mut network = Network::new(count, regions, 1);
    network.store.skip_history = true;
    network.accept(1);
    measure_start(&mut network);
    if !faults_only {
        measure_load(&mut network);
    }
    measure_crash(&mut network);
    measure_zone_loss(&mut network);
    measure_decision_costs(&network);
}

fn measure_load(network: &mut Network) {
    measure_convergence(network);
    measure_traffic(network, "idle", None);
    measure_traffic(network, "40,000 changes a day", Some(CHANGE_INTERVAL));
}

fn measure_start(network: &mut Network) {
    let mut busiest = 0;
    let mut complete_after = None;
    for second in 1..=600u64 {
        let before = network.store.reads;
        network.run(Duration::from_secs(1));
        busiest = busiest.max(network.store.reads - before);
        let complete = |node: &common::network::Node| node.members.view().complete;
        let done = network.nodes.iter().all(complete) && network.all_have(1);
        if done && complete_after.is_none() {
            complete_after = Some(second);
        }
        if complete_after.is_some_and(|at| second >= at + 120) {
            break;
        }
    }
    println!(
        "restart of all: every instance sees all others and has the document after {complete_after:?} s"
    );
    println!("restart of all: most table reads in one second {busiest}");
}

fn measure_convergence(network: &mut Network) {
    let mut samples = Vec::new();
    let reads = network.object_reads;
    for version in 2..2 + CHANGES {
        network.run(Duration::from_millis(7_137));
        let started_at = network.now;
        network.accept(version);
        let end = started_at + Duration::from_secs(60);
        network.run_while(end, |network| !network.all_have(version));
        assert!(network.all_have(version));
        samples.push(network.now.since(started_at));
    }
    samples.sort();
    let reads = (network.object_reads - reads) as f64 / CHANGES as f64;
    println!(
        "a change in force everywhere, {CHANGES} changes: median {:?}, worst {:?}; store object reads a change {reads:.1}",
        samples[samples.len() / 2],
        samples[samples.len() - 1],
    );
}

fn measure_traffic(network: &mut Network, label: &str, change_interval: Option<Duration>) {
    let started_at = network.now;
    let (reads, writes) = (network.store.reads, network.store.writes);
    for node in &mut network.nodes {
        node.sent = 0;
        node.received = 0;
        node.object_bytes = 0;
    }
    let mut version = network.nodes[0]
        .propagation
        .in_force()
        .map_or(0, |head| head.version.0);
    while network.now.since(started_at) < TRAFFIC_DURATION {
        network.run(change_interval.unwrap_or(TRAFFIC_DURATION));
        if change_interval.is_some() {
            version += 1;
            network.accept(version);
        }
    }
    let seconds = network.now.since(started_at).as_secs_f64();
    let count = network.nodes.len() as f64;
    let rate = |total: u64| total as f64 / seconds;
    let control: Vec<u64> = network
        .nodes
        .iter()
        .map(|node| node.sent + node.received)
        .collect();
    let objects: u64 = network.nodes.iter().map(|node| node.object_bytes).sum();
    println!(
        "{label}: table reads {:.1}/s, writes {:.1}/s; control bytes/s a node sent and received: mean {:.0}, worst {:.0}; objects {:.0}",
        rate(network.store.reads - reads),
        rate(network.store.writes - writes),
        rate(control.iter().sum::<u64>()) / count,
        rate(control.iter().copied().max().unwrap_or(0)),
        rate(objects) / count,
    );
}

fn measure_crash(network: &mut Network) {
    let mut assignments: Vec<&slots::Assignment> = Vec::new();
    for node in &network.nodes {
        if !assignments.contains(&node.assigner.assignment()) {
            assignments.push(node.assigner.assignment());
        }
    }
    println!(
        "different slot assignments among the instances: {}",
        assignments.len()
    );
    let owner = network.nodes[0]
        .assigner
        .assignment()
        .owner(SlotKey(0))
        .cloned()
        .expect("an owner");
    let victim = (0..network.nodes.len())
        .find(|index| instance(*index) == owner)
        .expect("known");
    let holder = row::holder(&owner, Incarnation(1));
    let reads = network.store.reads;
    let started_at = network.now;
    network.stopped.insert(victim);
    let mut first = None;
    let mut unadvertised = None;
    let mut successor = None;
    for _ in 0..4_000 {
        network.run(Duration::from_millis(100));
        let now = network.now.since(started_at);
        let others = || {
            network
                .nodes
                .iter()
                .enumerate()
                .filter(|(index, _)| *index != victim)
        };
        let lapsed = others()
            .filter(|(_, node)| node.members.view().lapsed.contains(&holder))
            .count();
        let wants = others().any(|(_, node)| node.assigner.own_slots().contains(&SlotKey(0)));
        let advertises = others().any(|(_, node)| {
            node.members
                .view()
                .peer(&owner)
                .is_some_and(|peer| !peer.suspected)
        });
        first = first.or((lapsed > 0).then_some(now));
        successor = successor.or(wants.then_some(now));
        unadvertised = unadvertised.or((!advertises).then_some(now));
        if lapsed + 1 == network.nodes.len() && successor.is_some() {
            println!(
                "crash of a slot owner: first lapse seen after {first:?}, a successor is assigned the slot after {successor:?}"
            );
            println!(
                "crash: no instance advertises it to callers after {unadvertised:?}; lapsed for all after {now:?}"
            );
            let reads = (network.store.reads - reads) as f64 / now.as_secs_f64();
            println!("crash: table reads meanwhile {reads:.1}/s");
            return;
        }
    }
    println!(
        "crash: not lapsed for all instances within 400 s; first {first:?}, successor {successor:?}, unadvertised {unadvertised:?}"
    );
}

/// Stops a whole zone and waits until each of its slots is assigned to exactly one instance
/// elsewhere.
fn measure_zone_loss(network: &mut Network) {
    let zone = network.nodes[1].zone.clone();
    let stopped: Vec<usize> = (0..network.nodes.len())
        .filter(|index| network.nodes[*index].zone == zone)
        .collect();
    let (reads, started_at) = (network.store.reads, network.now);
    network.stopped.extend(&stopped);
    for _ in 0..600 {
        network.run(Duration::from_secs(1));
        let mut owner_counts = vec![0u32; usize::from(SLOTS)];
        for (index, node) in network.nodes.iter().enumerate() {
            if network.stopped.contains(&index) {
                continue;
            }
            for slot in node.assigner.own_slots() {
                owner_counts[usize::from(slot.0)] += 1;
            }
        }
        if owner_counts.iter().all(|count| *count == 1) {
            break;
        }
    }
    let duration = network.now.since(started_at);
    let reads = (network.store.reads - reads) as f64 / duration.as_secs_f64();
    println!(
        "loss of a zone ({} instances): each slot assigned to one other instance after {duration:?}; table reads meanwhile {reads:.1}/s",
        stopped.len()
    );
}

fn timed<Work>(label: &str, samples: u32, mut work: Work)
where
    Work: FnMut(),
{
    let started_at = Wall::now();
    for _ in 0..samples {
        work();
    }
    let each = started_at.elapsed() / samples;
    println!("{label}: {each:?}");
}

fn measure_decision_costs(network: &Network) {
    let view = network.nodes[0].members.view();
    let candidates: Vec<Candidate> = view
        .live
        .iter()
        .map(|peer| Candidate {
            instance: peer.instance.clone(),
            zone: peer.zone.clone(),
        })
        .collect();
    timed("assign slots", 20, || {
        std::hint::black_box(slots::assign(SLOTS, &candidates));
    });
    let settings = address::Settings::default();
    let caller = Caller {
        account: "signwise".into(),
        client: "10.0.0.1".into(),
        zone: Some("0a".into()),
        rate: 100,
    };
    timed("select addresses", 1_000, || {
        std::hint::black_box(address::resolve(&settings, &caller, view));
    });
    let mut assigner = network.nodes[0].assigner.clone();
    let now = network.now;
    timed("update slots, nothing changed", 1_000, || {
        std::hint::black_box(assigner.update(now, view));
    });
    let own = fescuewell_membership::member::Members::new(common::settings(), info(0, 1), 1);
    println!("member row: {} bytes", own.own_row().encode().len());
    let resident = resident_bytes() / network.nodes.len() as u64;
    println!("resident memory of this program by instance: {resident} bytes");
}

/// Resident memory of this process, as reported by the operating system.
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}
