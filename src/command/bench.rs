//! The `bench` subcommand, which runs the load test or the capacity benchmark.

use std::path::{Path, PathBuf};

use fescuewell::bench::load::{self, plan::Plan, report::Report};
use pico_args::Arguments;

use super::{capacity, log};
use crate::cli::{Error, finish, usage};

/// Help text of `bench`.
pub const HELP: &str = "\
fescuewell bench - load test and capacity benchmark

usage: fescuewell bench load [--file FILE] [--seconds N] [--routers N] [--engines N]
                             [--json OUT] [--compare EARLIER] [--log LEVEL]
       fescuewell bench capacity [--json] [--seed N] [--axis NAME] [--divide N]

load
Starts the demo's fleet in this process, sends a reproducible load, drains, audits the bills and
prints the measurements. Fleet, stand-ins and callers share the machine, so times are upper bounds.

options
  --file FILE        load to send, JSON with comments; examples in benches/loads (default: steady.json)
  --seconds N        duration of the load
  --routers N        number of entry instances
  --engines N        number of model engines
  --json OUT         write the report to this file
  --compare EARLIER  print the differences from an earlier report
  --log LEVEL        error, warn, info or debug (default error)

capacity
Runs the decision logic of one instance in memory and virtual time, on one thread. For each axis, fits a
line through four points and prints it with its standard error and the size required by docs/CAPACITY.md.
Uses under 2 GB of memory and takes about 20 seconds.

options
  --json             print the report as JSON
  --seed N           seed of the random number generator (default 1)
  --axis NAME        measure only the axes whose name contains NAME: nodes, changes, streams, requests, claims,
                     workers, accounts, budgets
  --divide N         divide all sizes by N, for a quick run
";

/// Load that is used without `--file`.
const DEFAULT_LOAD: &str = include_str!("../../benches/loads/steady.json");

/// Runs the selected benchmark.
///
/// # Errors
///
/// Returns an error if the load cannot be read, the fleet cannot be started, or the run violated a
/// guarantee: overspend, a response without its bill, or a call that ran twice.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    match arguments.subcommand()?.as_deref() {
        Some("load") => run_load(arguments),
        Some("capacity") => capacity::run(arguments),
        _ => Err(usage("expected a benchmark: load or capacity")),
    }
}

fn run_load(mut arguments: Arguments) -> Result<(), Error> {
    let plan = read_plan(&mut arguments)?;
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let compare: Option<PathBuf> = arguments.opt_value_from_str("--compare")?;
    let options = log::Options::read_with(&mut arguments, "error")?;
    finish(arguments)?;
    // Read before the run, so that an unreadable report does not waste it.
    let earlier = compare.as_deref().map(read_report).transpose()?;
    let _logger = log::start(&options)?;
    let report = load::run(&plan).map_err(Error::failed)?;
    print!("{}", report.table());
    if let Some(earlier) = &earlier {
        println!("\ndifferences\n{}", report.differences(earlier));
    }
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&report).map_err(Error::failed)?;
        std::fs::write(&path, text).map_err(Error::failed)?;
    }
    let violations = report.broken_promises();
    if violations.is_empty() {
        return Ok(());
    }
    Err(Error::failed(violations.join("; ")))
}

fn read_plan(arguments: &mut Arguments) -> Result<Plan, Error> {
    let file: Option<PathBuf> = arguments.opt_value_from_str("--file")?;
    let mut plan = match &file {
        Some(path) => Plan::read(&read(path)?, &path.to_string_lossy()),
        None => Plan::read(DEFAULT_LOAD, "steady.json"),
    }
    .map_err(|error| Error::Invalid {
        message: error.to_string(),
    })?;
    if let Some(seconds) = arguments.opt_value_from_str("--seconds")? {
        plan.seconds = seconds;
    }
    if let Some(routers) = arguments.opt_value_from_str("--routers")? {
        plan.routers = routers;
    }
    if let Some(engines) = arguments.opt_value_from_str("--engines")? {
        plan.engines = engines;
    }
    plan.check().map_err(|error| usage(error.to_string()))?;
    Ok(plan)
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path)
        .map_err(|error| Error::failed(format_args!("{}: {error}", path.display())))
}

fn read_report(path: &Path) -> Result<Report, Error> {
    serde_json::from_str(&read(path)?)
        .map_err(|error| Error::failed(format_args!("{}: {error}", path.display())))
}
