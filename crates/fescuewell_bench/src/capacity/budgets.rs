//! The axes of the document's size: budgets, their holders, and client accounts.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_document::chunk;
use fescuewell_document::lookup::Index;

use super::meter::Filler;
use super::rig::Rig;
use super::series::Series;
use super::{Kept, Options, fleet, meter, sizes, wanted, world};

const SETTLE: Duration = Duration::from_secs(3);
const RUN: Duration = Duration::from_secs(10);
/// Longest virtual time that a change may take to be in force.
const CHANGE_LIMIT: Duration = Duration::from_secs(10);
const CHANGES: usize = 4;
const LOOKUPS: u32 = 10_000;

/// Budgets: in the document, in use, and in a row with many holders.
pub fn budgets(options: &Options, kept: &mut Kept) -> Vec<Series> {
    let mut all = known(options, kept);
    all.extend(in_use(options, kept));
    all.push(row_size(options));
    all
}

fn known(options: &Options, kept: &mut Kept) -> Vec<Series> {
    let series = |quantity, unit| Series::new("budgets", quantity, unit, wanted::BUDGETS);
    let mut memory = series("one instance, 240 servers: memory", "MB");
    let mut index = series("the listener's index: memory", "MB");
    let mut idle = series("control, idle: processor", "% of a core");
    let mut change = series("a change of one group: processor", "ms");
    let mut bytes = series("objects of the document", "kB");
    for groups in sizes(options, [2_750, 5_500, 11_000, 22_000]) {
        let size = world::Size {
            groups,
            ..world::BASE
        };
        let mut rig = fleet::start(options, 1, size, SETTLE);
        let size_on_axis = groups as f64;
        memory.add(size_on_axis, rig.memory / 1e6);
        rig.run(RUN);
        let spent = rig.counts.processor.as_secs_f64();
        let share = spent / RUN.as_secs_f64();
        idle.add(size_on_axis, share * 100.0);
        change.add(size_on_axis, change_time(&mut rig, size, share) * 1e3);
        let document = world::document(size);
        let objects = chunk::split(&document).objects;
        let total: usize = objects.values().map(|object| object.len()).sum();
        bytes.add(size_on_axis, total as f64 / 1e3);
        kept.keep((rig, objects));
        let document = Arc::new(document);
        let filler = Filler::new();
        let before = meter::resident();
        let lookup = Index::new(document);
        index.add(size_on_axis, meter::grown(before) / 1e6);
        kept.keep((lookup, filler));
    }
    vec![memory, index, idle, change, bytes]
}

/// Processor seconds of one change, without those of the ticks meanwhile (`idle` of a core).
fn change_time(rig: &mut Rig, size: world::Size, idle: f64) -> f64 {
    let mut document = world::document(size);
    rig.clear();
    let start = rig.now;
    for change in 0..CHANGES {
        let group = change * 31 % document.groups.len();
        document.groups[group].weight += 1;
        rig.accept(&document);
        let since = rig.now;
        while !rig.has_newest() && rig.now.since(since) < CHANGE_LIMIT {
            rig.turn();
        }
        assert!(rig.has_newest(), "a change was not in force in time");
    }
    let ticks = rig.now.since(start).as_secs_f64() * idle;
    (rig.counts.processor.as_secs_f64() - ticks).max(0.0) / CHANGES as f64
}

/// Budgets in use at one instance; with home subsets there are 155.
fn in_use(options: &Options, kept: &mut Kept) -> Vec<Series> {
    let series = |quantity, unit| Series::new("budgets in use", quantity, unit, 155.0);
    let mut memory = series("allowances, 6 other holders in each row: memory", "kB");
    let mut processor = series("control, just used: processor", "% of a core");
    for groups in sizes(options, [100, 200, 400, 800]) {
        let size = world::Size {
            groups: 1_000,
            ..world::BASE
        };
        let mut rig = fleet::start(options, 1, size, SETTLE);
        rig.set_stream_length(Duration::from_millis(50));
        rig.fill();
        let before = meter::resident();
        for group in 0..groups {
            rig.arrive(group, true);
            rig.turn();
        }
        rig.run(SETTLE);
        memory.add(groups as f64, meter::grown(before) / 1e3);
        rig.clear();
        rig.run(RUN);
        let spent = rig.counts.processor.as_secs_f64();
        processor.add(groups as f64, spent / RUN.as_secs_f64() * 100.0);
        kept.keep(rig);
    }
    vec![memory, processor]
}

fn row_size(options: &Options) -> Series {
    let mut bytes = Series::new("holders of a budget", "its row", "B", wanted::NODES);
    for holders in sizes(options, [6, 50, 200, 850]) {
        let row = world::budget(holders).encode();
        bytes.add(holders as f64, row.len() as f64);
    }
    bytes
}

/// Client accounts.
pub fn accounts(options: &Options, _: &mut Kept) -> Vec<Series> {
    let series = |quantity, unit| Series::new("accounts", quantity, unit, wanted::ACCOUNTS);
    let mut bytes = series("objects of the document, 500 groups", "kB");
    let mut build = series("the listener's index built: processor", "ms");
    let mut find = series("a key looked up: processor", "us");
    for accounts in sizes(options, [150, 300, 600, 1_200]) {
        let size = world::Size {
            accounts,
            ..world::BASE
        };
        let document = world::document(size);
        let objects = chunk::split(&document).objects;
        let total: usize = objects.values().map(|object| object.len()).sum();
        bytes.add(accounts as f64, total as f64 / 1e3);
        let mut spent = Duration::ZERO;
        let lookup = meter::timed(&mut spent, || Index::new(Arc::new(document)));
        build.add(accounts as f64, spent.as_secs_f64() * 1e3);
        let key = world::key_text(accounts - 1);
        let mut spent = Duration::ZERO;
        meter::timed(&mut spent, || {
            for _ in 0..LOOKUPS {
                black_box(lookup.account_by_key(black_box(&key)));
            }
        });
        find.add(
            accounts as f64,
            spent.as_secs_f64() * 1e6 / f64::from(LOOKUPS),
        );
    }
    vec![bytes, build, find]
}
