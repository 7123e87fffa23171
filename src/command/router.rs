//! The `router` subcommand, which runs an entry instance with the product's own interface.

use std::time::Duration;

use fescuewell::adapter::product;
use fescuewell::router::daemon::Router;
use fescuewell::router::settings::Settings;
use flume::RecvTimeoutError;
use pico_args::Arguments;

use super::{log, signal};
use crate::cli::{Error, finish, read_settings_file};

/// Help text of `router`.
pub const HELP: &str = "\
fescuewell router - an entry instance with the product's own interface

usage: fescuewell router --settings FILE [--log LEVEL] [--json]

SIGTERM or Ctrl-C drains: the instance is no longer listed to callers, finishes every stream, hands over
bills, allowances and slots, and exits. SIGHUP reloads the certificates given in the settings file.
";

/// Interval at which the main thread checks whether the instance has stopped by itself.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the instance until it has drained.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the instance cannot start.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let options = log::Options::read(&mut arguments)?;
    let (path, text) = read_settings_file(&mut arguments)?;
    finish(arguments)?;
    let file = path.to_string_lossy().into_owned();
    let settings = parse(&text, &file)?;
    let _logger = log::start(&options)?;
    let signals = signal::Listener::start()?.into_channel()?;
    let services = product::connect(&settings.platform).map_err(Error::failed)?;
    let router = Router::start(&settings, services).map_err(Error::failed)?;
    println!(
        "started callers={} operators={} peers={}",
        router.address(),
        router.operator_address(),
        router.peer_address()
    );
    while !router.is_finished() {
        match signals.recv_timeout(POLL_INTERVAL) {
            Ok(signal::Action::Stop) => router.terminate(),
            Ok(signal::Action::Reload) => reload(&router, &file),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
        }
    }
    router.join();
    Ok(())
}

fn parse(text: &str, file: &str) -> Result<Settings, Error> {
    Settings::read(text, file).map_err(|error| Error::Invalid {
        message: error.to_string(),
    })
}

// If the file is unreadable or invalid, the instance keeps its current certificates.
fn reload(router: &Router, file: &str) {
    let text = std::fs::read_to_string(file).map_err(Error::failed);
    let settings = text.and_then(|text| parse(&text, file));
    let result = settings.and_then(|settings| router.reload(&settings).map_err(Error::failed));
    if let Err(error) = result {
        eprintln!("fescuewell: settings not reloaded: {error}");
    }
}
