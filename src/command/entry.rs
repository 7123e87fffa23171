//! The `entry` subcommand, which runs an entry instance on the users' platform.

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

use super::{log, signal};
use crate::cli::{Error, finish};

/// Help text of `entry`.
pub const HELP: &str = "\
fescuewell entry - an entry instance on the users' platform

usage: fescuewell entry [--settings FILE] [--log LEVEL]

Without --settings, the path of the file is read from the environment variable FESCUEWELL_SETTINGS. Logs are
written as JSON lines to standard output. SIGTERM or Ctrl-C drains within the grace period of the settings.
The file is reread every second and on SIGHUP; a changed store address is applied, anything else needs a
restart.
";

/// Runs the instance until the process receives a stop signal.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the instance cannot start.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let options = log::Options::read(&mut arguments)?.with_json_stdout();
    let path = settings_path(&mut arguments)?;
    finish(arguments)?;
    let process = read(&path)?;
    let _logger = log::start(&options)?;
    let signals = signal::Listener::start()?.into_channel()?;
    let client = Arc::new(Client::new(process.store));
    let daemon = start(process.clone(), client.clone())?;
    let mut file = SettingsFile { path, process };
    loop {
        match signals.recv_timeout(CHECK_INTERVAL) {
            Ok(signal::Action::Stop) | Err(RecvTimeoutError::Disconnected) => break,
            Ok(signal::Action::Reload) | Err(RecvTimeoutError::Timeout) => file.reload(&client),
        }
    }
    std::thread::scope(|scope| {
        let stopping = scope.spawn(|| daemon.stop());
        // The store may get another address meanwhile, and the last tokens are returned to it.
        while !stopping.is_finished() {
            match signals.recv_timeout(STOP_CHECK_INTERVAL) {
                Ok(signal::Action::Reload) => file.reload(&client),
                Ok(signal::Action::Stop) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
    });
    Ok(())
}

/// Interval at which the settings file is reread: it may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the end of the shutdown is checked.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Settings file and the last valid content that was read from it.
struct SettingsFile {
    path: PathBuf,
    process: Process,
}

impl SettingsFile {
    /// Rereads the file and applies a changed store address; other changes need a restart. An unreadable or
    /// invalid file changes nothing.
    fn reload(&mut self, client: &Client) {
        let process = match read(&self.path) {
            Ok(process) => process,
            Err(error) => {
                let reason = error.to_string().replace(' ', "_");
                log_event!(Event::SettingsReloaded, "outcome=refused reason={reason}");
                return;
            }
        };
        if process == self.process {
            return;
        }
        client.set_address(process.store);
        log_event!(
            Event::SettingsReloaded,
            "outcome=changed store={}",
            process.store
        );
        self.process = process;
    }
}

fn settings_path(arguments: &mut Arguments) -> Result<PathBuf, Error> {
    if let Some(path) = arguments.opt_value_from_str("--settings")? {
        return Ok(path);
    }
    let path = std::env::var_os(settings::PATH_VARIABLE).map(PathBuf::from);
    path.ok_or_else(|| {
        crate::cli::usage(format!(
            "neither --settings nor the environment variable {} is set",
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

/// Starts an instance that uses the platform's store for rows, configuration and server lists, and the
/// platform's request format.
fn start(process: Process, client: Arc<Client>) -> Result<Daemon, Error> {
    let source = Arc::new(Reader::new(client.clone()));
    let dialect = Arc::new(Platform::default());
    Daemon::start(process.instance, dialect, client, source).map_err(Error::failed)
}
