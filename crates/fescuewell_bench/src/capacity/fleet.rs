//! The axes of the fleet: instances, and changes of the document.

use std::hint::black_box;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_membership::address::{self, Caller};
use fescuewell_membership::slots::{self, Candidate};

use super::rig::{Rig, Surroundings};
use super::series::Series;
use super::{Kept, Options, meter, sizes, wanted, world};

const SLOTS: u16 = 64;
const SETTLE: Duration = Duration::from_secs(90);
const RUN: Duration = Duration::from_secs(60);
const CHANGE_RUN: Duration = Duration::from_secs(120);
const DAY_SECONDS: f64 = 86_400.0;
/// Times that a short piece of work is repeated.
const ROUNDS: u32 = 20;

/// An idle instance among so many others: what membership, gossip and head polls cost it.
pub fn nodes(options: &Options, kept: &mut Kept) -> Vec<Series> {
    let series = |quantity, unit| Series::new("nodes", quantity, unit, wanted::NODES);
    let mut processor = series("control, idle: processor", "% of a core");
    let mut memory = series("one instance, 500 groups, 240 servers: memory", "kB");
    let mut reads = series("table reads of one instance", "1/s");
    let mut writes = series("row writes of one instance", "1/s");
    let mut table = series("bytes of rows, both ways", "B/s");
    let mut gossip = series("gossip, both ways", "B/s");
    let mut assign = series("slots assigned anew: processor", "ms");
    let mut answer = series("addresses for a caller: processor", "us");
    for instances in sizes(options, [100, 200, 400, 850]) {
        let mut rig = start(options, instances.max(3), world::BASE, SETTLE);
        rig.run(RUN);
        let size = instances as f64;
        let seconds = RUN.as_secs_f64();
        let counts = rig.counts;
        processor.add(size, counts.processor.as_secs_f64() / seconds * 100.0);
        memory.add(size, rig.memory / 1e3);
        reads.add(size, counts.reads as f64 / seconds);
        writes.add(size, counts.rows_written as f64 / seconds);
        table.add(size, counts.table_bytes as f64 / seconds);
        gossip.add(size, counts.gossip_bytes as f64 / seconds);
        assign.add(size, assign_time(&rig).as_secs_f64() * 1e3);
        answer.add(size, answer_time(&rig).as_secs_f64() * 1e6);
        kept.keep(rig);
    }
    vec![
        processor, memory, reads, writes, table, gossip, assign, answer,
    ]
}

fn assign_time(rig: &Rig) -> Duration {
    let live = rig.node.view().live.iter();
    let candidates = live.map(|peer| Candidate {
        instance: peer.instance.clone(),
        zone: peer.zone.clone(),
    });
    let candidates: Vec<Candidate> = candidates.collect();
    let mut total = Duration::ZERO;
    for _ in 0..ROUNDS {
        meter::timed(&mut total, || black_box(slots::assign(SLOTS, &candidates)));
    }
    total / ROUNDS
}

fn answer_time(rig: &Rig) -> Duration {
    let settings = address::Settings::default();
    let caller = Caller {
        account: "signwise".into(),
        client: "10.0.0.1".into(),
        zone: Some("zone-1".into()),
        rate: 23,
    };
    let mut total = Duration::ZERO;
    for _ in 0..ROUNDS {
        meter::timed(&mut total, || {
            black_box(address::resolve(&settings, &caller, rig.node.view()))
        });
    }
    total / ROUNDS
}

/// Changes of a document of the base size, at a rising rate.
pub fn changes(options: &Options, kept: &mut Kept) -> Vec<Series> {
    let series = |quantity, unit| Series::new("changes a day", quantity, unit, wanted::CHANGES);
    let mut processor = series(
        "control with 500 groups, 240 servers: processor",
        "% of a core",
    );
    let mut objects = series("objects fetched", "B/s");
    let mut delay = series(
        "from the head's write to the document in force here, mean",
        "s",
    );
    for changes in sizes(options, [5_000, 10_000, 20_000, 40_000]) {
        let mut rig = start(options, 9, world::BASE, Duration::from_secs(5));
        let interval = Duration::from_secs_f64(DAY_SECONDS / changes as f64);
        let waits = change(&mut rig, interval);
        let seconds = CHANGE_RUN.as_secs_f64();
        let size = changes as f64;
        let counts = rig.counts;
        processor.add(size, counts.processor.as_secs_f64() / seconds * 100.0);
        objects.add(size, counts.object_bytes as f64 / seconds);
        let sum: Duration = waits.iter().sum();
        delay.add(size, sum.as_secs_f64() / waits.len().max(1) as f64);
        kept.keep(rig);
    }
    vec![processor, objects, delay]
}

/// Changes one group at each interval; returns how long each took to be in force.
fn change(rig: &mut Rig, interval: Duration) -> Vec<Duration> {
    let mut document = world::document(world::BASE);
    let end = rig.now + CHANGE_RUN;
    let mut next = rig.now;
    let mut waits = Vec::new();
    let mut since: Option<Instant> = None;
    while rig.now < end {
        if rig.now >= next {
            next = next + interval;
            let group = waits.len() * 7 % document.groups.len();
            document.groups[group].weight += 1;
            rig.accept(&document);
            since.get_or_insert(rig.now);
        }
        rig.turn();
        if let Some(at) = since
            && rig.has_newest()
        {
            waits.push(rig.now.since(at));
            since = None;
        }
    }
    waits
}

/// A rig of `instances` with a document of that size.
pub fn start(options: &Options, instances: usize, size: world::Size, settle: Duration) -> Rig {
    let surroundings = Surroundings {
        instances,
        holders: 6,
        document: world::document(size),
        seed: options.seed,
    };
    Rig::start(&surroundings, settle)
}
