//! What the decisions cost along each axis of size, and what that says about the size of letter 1.
//!
//! `fescuewell bench capacity` drives the pure machines in memory and virtual time, on one thread, and fits a
//! line through at least four points on each axis. Processor time is that of the thread, so that other load on the
//! machine does not count directly; memory is the growth of the process's resident set.

pub mod fit;
pub mod meter;
pub mod rig;
pub mod series;
pub mod total;
pub mod world;

mod budgets;
mod claims;
mod fleet;
mod load;
mod servers;

use std::any::Any;
use std::io;
use std::io::Write;

use series::Series;
use total::Total;

/// What is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Writes the report as JSON.
    pub json: bool,
    /// Feeds all random choices.
    pub seed: u64,
    /// Only the axes whose name contains this; all when empty.
    pub only: String,
    /// Divides all sizes: 1 for a real run, more for a quick try.
    pub divisor: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            json: false,
            seed: 1,
            only: String::new(),
            divisor: 1,
        }
    }
}

/// Everything that was measured.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Feeds all random choices.
    pub seed: u64,
    /// All series.
    pub series: Vec<Series>,
    /// Sums at the wanted size, against their limits.
    pub totals: Vec<Total>,
    /// Most resident memory that was seen between two axes, in bytes.
    pub most_resident: u64,
}

/// The size that letter 1 asks for.
pub mod wanted {
    /// Entry instances.
    pub const NODES: f64 = 850.0;
    /// Backend servers.
    pub const SERVERS: f64 = 12_000.0;
    /// Budgets.
    pub const BUDGETS: f64 = 22_000.0;
    /// Client accounts.
    pub const ACCOUNTS: f64 = 1_200.0;
    /// Requests a second of the whole fleet.
    pub const FLEET_RATE: f64 = 27_000.0;
    /// Requests a second of one node.
    pub const RATE: f64 = FLEET_RATE / NODES;
    /// Streams open at one node: 11 million tokens a second, 45 ms a token.
    pub const STREAMS: f64 = 11e6 * 0.045 / NODES;
    /// Changes of the document in a day.
    pub const CHANGES: f64 = 40_000.0;
}

/// One axis: its name and how it is measured.
type Axis = (&'static str, fn(&Options, &mut Kept) -> Vec<Series>);

/// What was measured, kept to the end of the run so that its memory is not used again, see [`meter::Filler`].
#[derive(Default)]
pub struct Kept(Vec<Box<dyn Any>>);

impl Kept {
    /// Keeps a value.
    pub fn keep<Value>(&mut self, value: Value)
    where
        Value: 'static,
    {
        self.0.push(Box::new(value));
    }
}

/// Every axis.
const AXES: [Axis; 8] = [
    ("nodes", fleet::nodes),
    ("changes", fleet::changes),
    ("streams", load::streams),
    ("requests", load::requests),
    ("claims", claims::kept),
    ("workers", servers::servers),
    ("accounts", budgets::accounts),
    ("budgets", budgets::budgets),
];

/// Measures the axes that are asked for.
pub fn measure(options: &Options) -> Report {
    let mut report = Report {
        seed: options.seed,
        ..Report::default()
    };
    let mut kept = Kept::default();
    for (name, axis) in AXES {
        if !name.contains(&options.only) {
            continue;
        }
        report.series.extend(axis(options, &mut kept));
        report.most_resident = report.most_resident.max(meter::resident());
    }
    report.totals = total::totals(&report.series);
    report
}

/// Measures and writes the report.
///
/// # Errors
///
/// When `output` cannot be written.
pub fn run<Output>(options: &Options, output: &mut Output) -> io::Result<()>
where
    Output: Write,
{
    let report = measure(options);
    if options.json {
        serde_json::to_writer_pretty(&mut *output, &report)?;
        return writeln!(output);
    }
    for series in &report.series {
        write!(output, "{}", series.text())?;
    }
    for total in &report.totals {
        write!(output, "{}", total.text())?;
    }
    writeln!(
        output,
        "seed {}; most resident memory {} MB",
        report.seed,
        report.most_resident / 1_000_000
    )
}

/// The sizes of an axis, divided for a quick try.
fn sizes<const COUNT: usize>(options: &Options, sizes: [usize; COUNT]) -> [usize; COUNT] {
    sizes.map(|size| (size / options.divisor.max(1)).max(1))
}
