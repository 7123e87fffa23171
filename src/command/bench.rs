//! `bench`: the load tool.

use std::path::{Path, PathBuf};

use fescuewell::bench::load::{self, plan::Plan, report::Report};
use pico_args::Arguments;

use super::{capacity, log};
use crate::cli::{Error, finish, usage};

/// Help text.
pub const HELP: &str = "\
fescuewell bench - the load tool

usage: fescuewell bench load [--file FILE] [--seconds N] [--routers N] [--engines N]
                             [--json OUT] [--compare EARLIER] [--log LEVEL]
       fescuewell bench capacity [--json] [--seed N] [--axis NAME] [--divide N]

load
Starts the demo's fleet in this process, sends a seeded load, drains, audits the bills and prints
what was measured. Fleet, stand-ins and callers share the machine, so times are upper bounds.

options
  --file FILE        the load, JSON with comments; benches/loads has some (default: a steady load)
  --seconds N        length of the load
  --routers N        entry instances
  --engines N        model engines
  --json OUT         write the report to this file
  --compare EARLIER  print what differs from an earlier report
  --log LEVEL        error, warn, info or debug (default error)

capacity
Drives the decisions of one instance in memory and virtual time, on one thread, fits a line through four
points on each axis and prints it with its standard error and the size that docs/CAPACITY.md asks for.
Uses under 2 GB of memory and takes about 20 seconds.

options
  --json             the report as JSON
  --seed N           feeds all random choices (default 1)
  --axis NAME        only axes whose name contains this: nodes, changes, streams, requests, claims,
                     workers, accounts, budgets
  --divide N         divides all sizes, for a quick try
";

/// The load without `--file`.
const STEADY: &str = include_str!("../../benches/loads/steady.json");

/// Runs the load tool.
///
/// # Errors
///
/// When the load cannot be read, the fleet not started, or a promise was broken: overspend, an answer
/// without its bill, or a call that ran twice.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    match arguments.subcommand()?.as_deref() {
        Some("load") => run_load(arguments),
        Some("capacity") => capacity::run(arguments),
        _ => Err(usage("bench measures: load, capacity")),
    }
}

fn run_load(mut arguments: Arguments) -> Result<(), Error> {
    let plan = read_plan(&mut arguments)?;
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let compare: Option<PathBuf> = arguments.opt_value_from_str("--compare")?;
    let options = log::Options::read_with(&mut arguments, "error")?;
    finish(arguments)?;
    // Read first: a run whose comparison fails at its end would be lost.
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
    let broken = report.broken_promises();
    if broken.is_empty() {
        return Ok(());
    }
    Err(Error::failed(broken.join("; ")))
}

fn read_plan(arguments: &mut Arguments) -> Result<Plan, Error> {
    let file: Option<PathBuf> = arguments.opt_value_from_str("--file")?;
    let mut plan = match &file {
        Some(path) => Plan::read(&read(path)?, &path.to_string_lossy()),
        None => Plan::read(STEADY, "steady.json"),
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
