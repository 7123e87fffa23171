//! The fit, and that a run measures every axis and repeats itself.

use fescuewell_bench::capacity::fit::{Line, Point};
use fescuewell_bench::capacity::series::Series;
use fescuewell_bench::capacity::{self, Options, Report, total};

/// Sizes of the quick runs: a two-hundredth of the real ones.
const DIVISOR: usize = 200;

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    let values = values.iter();
    values.map(|&(size, value)| Point { size, value }).collect()
}

fn close(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}

fn quick(only: &str, seed: u64) -> Report {
    capacity::measure(&Options {
        only: only.into(),
        seed,
        divisor: DIVISOR,
        ..Options::default()
    })
}

/// The series whose figures are counts of virtual time, which no processor changes.
fn counted(report: &Report) -> Vec<&Series> {
    let series = report.series.iter();
    series
        .filter(|series| {
            !series.quantity.contains("processor") && !series.quantity.contains("memory")
        })
        .collect()
}

#[test]
fn the_error_of_a_slope_is_that_of_the_textbook() {
    // By hand: means 2.5 and 5, spread 5, slope 7 / 5, base 1.5, deviations -0.9, 1.7, -0.7, -0.1.
    let line = Line::through(&points(&[(1.0, 2.0), (2.0, 6.0), (3.0, 5.0), (4.0, 7.0)])).unwrap();

    assert!(close(line.slope, 1.4) && close(line.base, 1.5), "{line:?}");
    // Squares 0.81 + 2.89 + 0.49 + 0.01 = 4.2 over two degrees of freedom.
    assert!(close(line.residual, 2.1_f64.sqrt()), "{line:?}");
    assert!(close(line.slope_error, (2.1_f64 / 5.0).sqrt()), "{line:?}");
}

#[test]
fn there_is_no_line_through_two_points_or_one_size() {
    assert_eq!(Line::through(&points(&[(1.0, 2.0), (2.0, 6.0)])), None);
    assert_eq!(
        Line::through(&points(&[(1.0, 2.0), (1.0, 6.0), (1.0, 3.0)])),
        None
    );
}

#[test]
fn what_lies_beyond_the_points_is_called_extrapolated() {
    let mut series = Series::new("nodes", "reads", "1/s", 850.0);
    for size in [100.0, 200.0, 400.0, 800.0] {
        series.add(size, 2.0 * size);
    }

    assert!(series.is_extrapolated());
    assert!(
        series.text().contains("at 850: 1700, EXTRAPOLATED"),
        "{}",
        series.text()
    );

    series.add(1_000.0, 2_000.0);
    assert!(!series.is_extrapolated());
    assert!(
        series.text().contains("within the measured range"),
        "{}",
        series.text()
    );
}

#[test]
fn a_measured_value_goes_before_that_of_the_line() {
    let mut series = Series::new("nodes", "reads", "1/s", 400.0);
    for (size, value) in [(100.0, 8.0), (200.0, 4.0), (400.0, 2.0)] {
        series.add(size, value);
    }

    assert_eq!(series.at_wanted(), Some(2.0));
}

#[test]
fn a_total_is_the_sum_of_its_parts_and_holds_up_to_its_limit() {
    let mut reads = Series::new("nodes", "table reads of one instance", "1/s", 850.0);
    for size in [100.0, 400.0, 850.0] {
        reads.add(size, 2.0);
    }
    let totals = total::totals(&[reads.clone()]);
    assert_eq!(
        totals.len(),
        1,
        "what was not measured is not summed: {totals:?}"
    );
    assert!(close(totals[0].value(), 1_700.0) && totals[0].holds());

    for size in [100.0, 400.0, 850.0] {
        reads.points.retain(|point| point.size != size);
        reads.add(size, 3.0);
    }
    let totals = total::totals(&[reads]);
    assert!(close(totals[0].value(), 2_550.0) && !totals[0].holds());
}

#[test]
fn every_axis_has_four_points_and_a_line() {
    let report = quick("", 1);

    let axes: std::collections::BTreeSet<&str> =
        report.series.iter().map(|series| &*series.axis).collect();
    let wanted = [
        "accounts",
        "budgets",
        "budgets in use",
        "changes a day",
        "holders of a budget",
        "kept requests",
        "nodes",
        "requests a second",
        "streams",
        "the fleet's requests a second",
        "workers",
    ];
    assert_eq!(axes.into_iter().collect::<Vec<_>>(), wanted);
    assert_eq!(report.totals.len(), 5, "{:?}", report.totals);
    for series in &report.series {
        assert!(series.points.len() >= 4, "{series:?}");
        let finite = series.points.iter().all(|point| point.value.is_finite());
        assert!(finite, "{series:?}");
    }
}

#[test]
fn the_same_seed_counts_the_same() {
    let first = quick("changes", 7);
    let second = quick("changes", 7);

    assert!(!counted(&first).is_empty());
    assert_eq!(counted(&first), counted(&second));
}

#[test]
fn the_json_report_can_be_read_back() {
    let options = Options {
        json: true,
        only: "accounts".into(),
        divisor: DIVISOR,
        ..Options::default()
    };
    let mut written = Vec::new();
    capacity::run(&options, &mut written).unwrap();

    let report: Report = serde_json::from_slice(&written).unwrap();
    assert_eq!(report.seed, options.seed);
    assert!(report.series.iter().all(|series| series.axis == "accounts"));
    assert!(!report.series.is_empty());
}
