//! Measures membership at 9 and 850 instances in virtual time: how fast a head converges, what control
//! traffic and table accesses cost, how a crash is noticed, and what the decisions cost in real time.
//!
//! Run with `cargo run --release -p fescuewell_membership --example membership_figures`; with the word
//! `faults` after `--` it leaves out what takes longest.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant as Wall};

use common::network::{Network, SLOTS};
use common::{instance, me};
use fescuewell_core::prelude::*;
use fescuewell_membership::address::{self, Caller};
use fescuewell_membership::row;
use fescuewell_membership::slots::{self, Candidate};

const CHANGES: u64 = 12;
const IDLE: Duration = Duration::from_secs(60);
const BUSY_INTERVAL: Duration = Duration::from_millis(2_160);

fn main() {
    let faults_only = std::env::args().any(|word| word == "faults");
    for (count, regions) in [(9, 1), (850, 4)] {
        measure(count, regions, faults_only);
    }
}

fn measure(count: usize, regions: usize, faults_only: bool) {
    println!("== {count} instances, {regions} region(s)");
    let mut network = Network::new(count, regions, 1);
    network.store.forgets = true;
    network.accept(1);
    start(&mut network);
    if !faults_only {
        load(&mut network);
    }
    crash(&mut network);
    lose_zone(&mut network);
    real_costs(&network);
}

fn load(network: &mut Network) {
    converge(network);
    idle(network, "idle", None);
    idle(network, "40,000 changes a day", Some(BUSY_INTERVAL));
}

fn start(network: &mut Network) {
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
        "restart of all: everybody knows everybody and has the document after {complete_after:?} s"
    );
    println!("restart of all: most table reads in one second {busiest}");
}

fn converge(network: &mut Network) {
    let mut times = Vec::new();
    let reads = network.object_reads;
    for version in 2..2 + CHANGES {
        network.run(Duration::from_millis(7_137));
        let began = network.now;
        network.accept(version);
        let end = began + Duration::from_secs(60);
        network.run_while(end, |network| !network.all_have(version));
        assert!(network.all_have(version));
        times.push(network.now.since(began));
    }
    times.sort();
    let reads = (network.object_reads - reads) as f64 / CHANGES as f64;
    println!(
        "a change in force everywhere, {CHANGES} changes: median {:?}, worst {:?}; store object reads a change {reads:.1}",
        times[times.len() / 2],
        times[times.len() - 1],
    );
}

fn idle(network: &mut Network, label: &str, every: Option<Duration>) {
    let began = network.now;
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
    while network.now.since(began) < IDLE {
        network.run(every.unwrap_or(IDLE));
        if every.is_some() {
            version += 1;
            network.accept(version);
        }
    }
    let seconds = network.now.since(began).as_secs_f64();
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

fn crash(network: &mut Network) {
    let mut wishes: Vec<&slots::Assignment> = Vec::new();
    for node in &network.nodes {
        if !wishes.contains(&node.keeper.assignment()) {
            wishes.push(node.keeper.assignment());
        }
    }
    println!(
        "different wishes for the slots among the instances: {}",
        wishes.len()
    );
    let owner = network.nodes[0]
        .keeper
        .assignment()
        .owner(SlotKey(0))
        .cloned()
        .expect("an owner");
    let victim = (0..network.nodes.len())
        .find(|index| instance(*index) == owner)
        .expect("known");
    let holder = row::holder(&owner, Incarnation(1));
    let reads = network.store.reads;
    let began = network.now;
    network.stopped.insert(victim);
    let mut first = None;
    let mut named = None;
    let mut successor = None;
    for _ in 0..4_000 {
        network.run(Duration::from_millis(100));
        let now = network.now.since(began);
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
        let wants = others().any(|(_, node)| node.keeper.own_slots().contains(&SlotKey(0)));
        let trusts = others().any(|(_, node)| {
            node.members
                .view()
                .peer(&owner)
                .is_some_and(|peer| !peer.suspected)
        });
        first = first.or((lapsed > 0).then_some(now));
        successor = successor.or(wants.then_some(now));
        named = named.or((!trusts).then_some(now));
        if lapsed + 1 == network.nodes.len() && successor.is_some() {
            println!(
                "crash of a slot owner: first lapse seen after {first:?}, a successor wants the slot after {successor:?}"
            );
            println!(
                "crash: nobody names it to callers after {named:?}; lapsed for all after {now:?}"
            );
            let reads = (network.store.reads - reads) as f64 / now.as_secs_f64();
            println!("crash: table reads meanwhile {reads:.1}/s");
            return;
        }
    }
    println!(
        "crash: not lapsed for everybody within 400 s; first {first:?}, successor {successor:?}, unnamed {named:?}"
    );
}

/// Stops a whole zone and waits until each of its slots is wanted by exactly one instance elsewhere.
fn lose_zone(network: &mut Network) {
    let zone = network.nodes[1].zone.clone();
    let lost: Vec<usize> = (0..network.nodes.len())
        .filter(|index| network.nodes[*index].zone == zone)
        .collect();
    let (reads, began) = (network.store.reads, network.now);
    network.stopped.extend(&lost);
    for _ in 0..600 {
        network.run(Duration::from_secs(1));
        let mut wanting = vec![0u32; usize::from(SLOTS)];
        for (index, node) in network.nodes.iter().enumerate() {
            if network.stopped.contains(&index) {
                continue;
            }
            for slot in node.keeper.own_slots() {
                wanting[usize::from(slot.0)] += 1;
            }
        }
        if wanting.iter().all(|count| *count == 1) {
            break;
        }
    }
    let took = network.now.since(began);
    let reads = (network.store.reads - reads) as f64 / took.as_secs_f64();
    println!(
        "loss of a zone ({} instances): each slot wanted by one other after {took:?}; table reads meanwhile {reads:.1}/s",
        lost.len()
    );
}

fn timed<Work>(label: &str, times: u32, mut work: Work)
where
    Work: FnMut(),
{
    let began = Wall::now();
    for _ in 0..times {
        work();
    }
    let each = began.elapsed() / times;
    println!("{label}: {each:?}");
}

fn real_costs(network: &Network) {
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
    timed("answer with addresses", 1_000, || {
        std::hint::black_box(address::resolve(&settings, &caller, view));
    });
    let mut keeper = network.nodes[0].keeper.clone();
    let now = network.now;
    timed("update slots, nothing changed", 1_000, || {
        std::hint::black_box(keeper.update(now, view));
    });
    let own = fescuewell_membership::member::Members::new(common::settings(), me(0, 1), 1);
    println!("member row: {} bytes", own.own_row().encode().len());
    let resident = resident_bytes() / network.nodes.len() as u64;
    println!("resident memory of this program by instance: {resident} bytes");
}

/// The program's resident memory, from the operating system's account of this process.
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}
