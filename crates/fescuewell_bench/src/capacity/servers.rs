//! The axis of backend servers.

use std::time::Duration;

use super::series::Series;
use super::{Kept, Options, fleet, sizes, wanted, world};

const SETTLE: Duration = Duration::from_secs(3);
const RUN: Duration = Duration::from_secs(5);
const REPORTS: usize = 2_000;
/// Groups whose first request is measured.
const FIRST: usize = 50;

/// Backend servers that the document names, 12 of them in reach of each group.
pub fn servers(options: &Options, kept: &mut Kept) -> Vec<Series> {
    let series = |quantity, unit| Series::new("workers", quantity, unit, wanted::SERVERS);
    let mut processor = series("control, idle: processor", "% of a core");
    let mut memory = series("one instance, 500 groups: memory", "MB");
    let mut report = series("a load report: processor", "us");
    let mut first = series("a group's first request after a change: processor", "us");
    let mut again = series("its second request: processor", "us");
    for servers in sizes(options, [1_500, 3_000, 6_000, 12_000]) {
        let size = world::Size {
            servers,
            ..world::BASE
        };
        let mut rig = fleet::start(options, 1, size, SETTLE);
        let size = servers as f64;
        memory.add(size, rig.memory / 1e6);
        rig.run(RUN);
        let spent = rig.counts.processor.as_secs_f64();
        processor.add(size, spent / RUN.as_secs_f64() * 100.0);
        rig.clear();
        for number in 0..REPORTS {
            rig.report(number % servers);
        }
        let spent = rig.counts.processor.as_secs_f64();
        report.add(size, spent * 1e6 / REPORTS as f64);
        for series in [&mut first, &mut again] {
            rig.clear();
            for group in 0..FIRST {
                rig.arrive(group, true);
            }
            let spent = rig.counts.processor.as_secs_f64();
            series.add(size, spent * 1e6 / FIRST as f64);
        }
        kept.keep(rig);
    }
    vec![processor, memory, report, first, again]
}
