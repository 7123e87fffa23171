//! `router`: one entry instance.

use std::time::Duration;

use fescuewell::adapter::product;
use fescuewell::router::daemon::Router;
use fescuewell::router::settings::Settings;
use flume::RecvTimeoutError;
use pico_args::Arguments;

use super::{log, signal};
use crate::cli::{Error, finish, settings_text};

/// Help text.
pub const HELP: &str = "\
fescuewell router - one entry instance

usage: fescuewell router --settings FILE [--log LEVEL] [--json]

SIGTERM or Ctrl-C drains: the instance stops being named to callers, finishes every stream, hands over
bills, allowances and slots, and ends. SIGHUP reads the certificates of the settings file again.
";

/// Time between two looks at whether the instance has ended by itself.
const LOOK: Duration = Duration::from_millis(100);

/// Runs the instance.
///
/// # Errors
///
/// When settings are wrong or the instance cannot start.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let options = log::Options::read(&mut arguments)?;
    let (path, text) = settings_text(&mut arguments)?;
    finish(arguments)?;
    let file = path.to_string_lossy().into_owned();
    let settings = read(&text, &file)?;
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
        match signals.recv_timeout(LOOK) {
            Ok(signal::Action::Stop) => router.terminate(),
            Ok(signal::Action::Reload) => reload(&router, &file),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
        }
    }
    router.join();
    Ok(())
}

fn read(text: &str, file: &str) -> Result<Settings, Error> {
    Settings::read(text, file).map_err(|error| Error::Invalid {
        message: error.to_string(),
    })
}

// A file that cannot be used changes nothing: the instance goes on with the certificates that it has.
fn reload(router: &Router, file: &str) {
    let text = std::fs::read_to_string(file).map_err(Error::failed);
    let settings = text.and_then(|text| read(&text, file));
    let result = settings.and_then(|settings| router.reload(&settings).map_err(Error::failed));
    if let Err(error) = result {
        eprintln!("fescuewell: settings not reloaded: {error}");
    }
}
