//! The axes of the load: streams held as records, and requests a second.

use std::time::Duration;

use super::rig::{Rig, TICK};
use super::series::Series;
use super::{Kept, Options, fleet, meter, sizes, wanted, world};

/// Groups in use on one instance, as with home subsets.
const GROUPS: usize = 155;
const SETTLE: Duration = Duration::from_secs(10);
const RUN: Duration = Duration::from_secs(30);
const STREAM_RUN: Duration = Duration::from_secs(10);
/// Time between two tokens of a stream.
const TOKEN: Duration = Duration::from_millis(45);
/// One request in so many may not be repeated.
const SINGLE: u64 = 10;
const HOUR: Duration = Duration::from_secs(3_600);

/// Streams that are open at one instance, without their sockets.
pub fn streams(options: &Options, kept: &mut Kept) -> Vec<Series> {
    let series = |quantity, unit| Series::new("streams", quantity, unit, wanted::STREAMS);
    let mut memory = series("records of open streams: memory", "kB");
    let mut token = series("a token noted: processor", "us");
    let mut processor = series("tokens and ticks: processor", "% of a core");
    for streams in sizes(options, [250, 500, 1_000, 2_000]) {
        let mut rig = fleet::start(options, 1, world::BASE, SETTLE);
        rig.set_stream_length(HOUR);
        rig.fill();
        let before = meter::resident();
        fill(&mut rig, streams);
        let size = rig.open_streams() as f64;
        memory.add(size, meter::grown(before) / 1e3);
        rig.clear();
        let (tokens, spent) = produce(&mut rig);
        token.add(size, spent.as_secs_f64() * 1e6 / tokens.max(1) as f64);
        let seconds = STREAM_RUN.as_secs_f64();
        processor.add(size, rig.counts.processor.as_secs_f64() / seconds * 100.0);
        kept.keep(rig);
    }
    vec![memory, token, processor]
}

fn fill(rig: &mut Rig, streams: usize) {
    for number in 0..streams {
        rig.arrive(number % GROUPS, true);
        rig.turn();
    }
    rig.run(Duration::from_secs(5));
}

/// Lets every stream have its tokens; returns how many and the processor time of noting them.
fn produce(rig: &mut Rig) -> (u64, Duration) {
    let end = rig.now + STREAM_RUN;
    let mut next = rig.now;
    let mut tokens = 0;
    let mut spent = Duration::ZERO;
    while rig.now < end {
        if rig.now >= next {
            next = next + TOKEN;
            let before = rig.counts.processor;
            rig.progress();
            spent += rig.counts.processor - before;
            tokens += rig.open_streams() as u64;
        }
        rig.turn();
    }
    (tokens, spent)
}

/// Requests a second at one instance that also holds all slots: everything but sockets and tokens.
pub fn requests(options: &Options, kept: &mut Kept) -> Vec<Series> {
    let series = |quantity, unit| Series::new("requests a second", quantity, unit, wanted::RATE);
    let mut processor = series("requests, slots and ticks: processor", "% of a core");
    let mut rows = series("row writes", "1/s");
    let mut reads = series("table reads", "1/s");
    let mut refused = series("refused or not sent", "% of requests");
    for rate in sizes(options, [8, 16, 32, 64]) {
        let mut rig = fleet::start(options, 1, world::BASE, SETTLE);
        rig.set_stream_length(Duration::from_secs(2));
        arrive(&mut rig, rate, SETTLE);
        rig.clear();
        let arrived = arrive(&mut rig, rate, RUN);
        let seconds = RUN.as_secs_f64();
        let counts = rig.counts;
        let size = rate as f64;
        processor.add(size, counts.processor.as_secs_f64() / seconds * 100.0);
        rows.add(size, counts.rows_written as f64 / seconds);
        reads.add(size, counts.reads as f64 / seconds);
        let lacking = arrived.saturating_sub(counts.sent) as f64;
        refused.add(
            size,
            lacking.max(counts.refused as f64) * 100.0 / arrived as f64,
        );
        kept.keep(rig);
    }
    vec![processor, rows, reads, refused]
}

fn arrive(rig: &mut Rig, rate: usize, duration: Duration) -> u64 {
    let start = rig.now;
    let mut arrived = 0;
    while rig.now.since(start) < duration {
        let due = rig.now.since(start) + TICK;
        while (arrived as f64) < due.as_secs_f64() * rate as f64 {
            arrived += 1;
            rig.arrive(arrived as usize % GROUPS, arrived % SINGLE != 0);
        }
        rig.turn();
    }
    arrived
}
