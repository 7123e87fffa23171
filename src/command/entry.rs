//! `entry`: one entry instance on the users' platform.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use fescuewell::adapter::dialect::Platform;
use fescuewell::adapter::rows::Client;
use fescuewell::adapter::settings::{self, Process};
use fescuewell::adapter::source::Reader;
use fescuewell::core::event::Event;
use fescuewell::core::log_event;
use fescuewell::gateway::daemon::Daemon;
use flume::RecvTimeoutError;
use pico_args::Arguments;

use super::{log, stop};
use crate::cli::{Error, finish};

/// Help text.
pub const HELP: &str = "\
fescuewell entry - one entry instance on the users' platform

usage: fescuewell entry [--settings FILE] [--log LEVEL]

Without --settings the file is the one that the variable FESCUEWELL_SETTINGS names. Log lines are JSON on
standard output. SIGTERM or Ctrl-C drains within the grace time of the settings. The file is looked at each second and at
SIGHUP; a changed address of the store is taken up, anything else needs a restart.
";

/// Runs the instance.
///
/// # Errors
///
/// When settings are wrong or the instance cannot start.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let options = log::Options::read(&mut arguments)?.on_standard_output();
    let path = path(&mut arguments)?;
    finish(arguments)?;
    let boot = read(&path)?;
    let _logger = log::start(&options)?;
    let signals = stop::Listener::start()?.into_channel()?;
    let rows = Arc::new(Client::new(boot.store));
    let daemon = start(boot.clone(), rows.clone())?;
    let mut file = Watched { path, boot };
    loop {
        match signals.recv_timeout(LOOK) {
            Ok(stop::Asked::Stop) | Err(RecvTimeoutError::Disconnected) => break,
            Ok(stop::Asked::Reload) | Err(RecvTimeoutError::Timeout) => file.look(&rows),
        }
    }
    daemon.stop();
    Ok(())
}

/// Time between two looks at the settings file: it may change without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// The settings file and what it said last.
struct Watched {
    path: PathBuf,
    boot: Process,
}

impl Watched {
    /// Takes up a changed address of the store; other changes need a restart. A file that cannot be used changes
    /// nothing.
    fn look(&mut self, rows: &Client) {
        let boot = match read(&self.path) {
            Ok(boot) => boot,
            Err(error) => {
                let reason = error.to_string().replace(' ', "_");
                log_event!(Event::SettingsReloaded, "outcome=refused reason={reason}");
                return;
            }
        };
        if boot == self.boot {
            return;
        }
        rows.set_address(boot.store);
        log_event!(
            Event::SettingsReloaded,
            "outcome=changed store={}",
            boot.store
        );
        self.boot = boot;
    }
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

fn read(path: &PathBuf) -> Result<Process, Error> {
    let file = path.to_string_lossy();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::failed(format_args!("{file}: {error}")))?;
    settings::parse(&text, &file).map_err(|error| Error::Invalid {
        message: error.to_string(),
    })
}

/// The subsystems of an instance: the platform's store serves rows and lists, its dialect the rest.
fn start(boot: Process, rows: Arc<Client>) -> Result<Daemon, Error> {
    let source = Arc::new(Reader::new(rows.clone()));
    let dialect = Arc::new(Platform::default());
    Daemon::start(boot.instance, dialect, rows, source).map_err(Error::failed)
}
