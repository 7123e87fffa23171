//! `entry`: one entry instance on the users' platform.

use std::path::PathBuf;
use std::sync::Arc;

use fescuewell::adapter::dialect::Wire;
use fescuewell::adapter::rows::Rows;
use fescuewell::adapter::settings::{self, Boot};
use fescuewell::adapter::source::Registry;
use fescuewell::gateway::daemon::Daemon;
use pico_args::Arguments;

use super::{log, stop};
use crate::cli::{Error, finish};

/// Help text.
pub const HELP: &str = "\
fescuewell entry - one entry instance on the users' platform

usage: fescuewell entry [--settings FILE] [--log LEVEL]

Without --settings the file is the one that the variable FESCUEWELL_SETTINGS names. Log lines are JSON on
standard output. SIGTERM or Ctrl-C drains within the grace time of the settings; SIGHUP reads them again.
";

/// Runs the instance.
///
/// # Errors
///
/// When settings are wrong or the instance cannot start.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let options = log::Options::read(&mut arguments)?.to_standard_output();
    let path = path(&mut arguments)?;
    finish(arguments)?;
    let boot = read(&path)?;
    let _logger = log::start(&options)?;
    let mut signals = stop::Listener::start()?;
    let daemon = start(boot)?;
    while signals.wait() == stop::Asked::Reload {
        reload(&path);
    }
    daemon.stop();
    Ok(())
}

fn path(arguments: &mut Arguments) -> Result<PathBuf, Error> {
    if let Some(path) = arguments.opt_value_from_str("--settings")? {
        return Ok(path);
    }
    let path = std::env::var_os(settings::PATH_VARIABLE).map(PathBuf::from);
    path.ok_or_else(|| {
        crate::cli::usage(format!(
            "--settings or the variable {} is wanted",
            settings::PATH_VARIABLE
        ))
    })
}

fn read(path: &PathBuf) -> Result<Boot, Error> {
    let file = path.to_string_lossy();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::failed(format_args!("{file}: {error}")))?;
    settings::read(&text, &file).map_err(|error| Error::Invalid {
        message: error.to_string(),
    })
}

/// The subsystems of an instance: the platform's store serves rows and lists, its dialect the rest.
fn start(boot: Boot) -> Result<Daemon, Error> {
    let rows = Arc::new(Rows::new(boot.store));
    let source = Arc::new(Registry::new(rows.clone()));
    let dialect = Arc::new(Wire::default());
    Daemon::start(boot.instance, dialect, rows, source).map_err(Error::failed)
}

/// A file that cannot be used changes nothing.
fn reload(path: &PathBuf) {
    match read(path) {
        Ok(_) => fescuewell::core::log_event!(
            fescuewell::core::event::Event::SettingsReloaded,
            "file={}",
            path.display()
        ),
        Err(error) => eprintln!("fescuewell: settings not reloaded: {error}"),
    }
}
