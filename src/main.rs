//! The `fescuewell` binary, with one subcommand for each daemon and tool.

mod cli;
mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run(pico_args::Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fescuewell: {error}");
            error.exit_code()
        }
    }
}
