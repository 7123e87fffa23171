//! The `bench capacity` subcommand, which measures the cost of the decision logic along each axis of size.

use fescuewell::bench::capacity::{self, Options};
use pico_args::Arguments;

use crate::cli::{Error, finish};

/// Runs the benchmark and prints its report.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or the report cannot be written.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let defaults = Options::default();
    let options = Options {
        json: arguments.contains("--json"),
        seed: arguments
            .opt_value_from_str("--seed")?
            .unwrap_or(defaults.seed),
        only: arguments.opt_value_from_str("--axis")?.unwrap_or_default(),
        divisor: arguments
            .opt_value_from_str("--divide")?
            .unwrap_or(defaults.divisor),
    };
    finish(arguments)?;
    capacity::run(&options, &mut std::io::stdout().lock()).map_err(Error::failed)
}
