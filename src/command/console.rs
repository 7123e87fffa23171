//! The `console` subcommand, which runs the operators' console.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell::adapter::product;
use fescuewell::console::server::{self, Console};
use fescuewell::platform::settings::{Secret, Settings as PlatformSettings};
use pico_args::Arguments;
use serde::Deserialize;

use super::{log, signal};
use crate::cli::{Error, finish, read_settings_file};

/// Help text of `console`.
pub const HELP: &str = "\
fescuewell console - the operators' console

usage: fescuewell console --settings FILE [--log LEVEL] [--json]

SIGTERM or Ctrl-C stops it; it stores no data of its own.
";

/// Content of a console's settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address on which the console listens for operators.
    listen: SocketAddr,
    /// Operators that may sign in.
    operators: Vec<Operator>,
    /// Marks the session cookie as `Secure`, for a console that is reached through TLS.
    #[serde(default)]
    secure_cookie: bool,
    /// Token with which the console authenticates to the operator listeners of instances.
    #[serde(default)]
    instance_token: Option<Secret>,
    /// Connection to the platform's store.
    platform: PlatformSettings,
}

/// Credentials of an operator.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Operator {
    name: Arc<str>,
    password_hash: Secret,
    #[serde(default)]
    token_hash: Option<Secret>,
}

/// Parses the content of a settings file.
///
/// # Errors
///
/// Returns [`Error::Invalid`] with the file and line.
pub fn parse(text: &str, file: &str) -> Result<Settings, Error> {
    fescuewell::document::settings::read(text, file).map_err(|error| Error::Invalid {
        message: error.to_string(),
    })
}

/// Runs the console until the process receives a stop signal.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the console cannot start.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let options = log::Options::read(&mut arguments)?;
    let (path, text) = read_settings_file(&mut arguments)?;
    finish(arguments)?;
    let settings = parse(&text, &path.to_string_lossy())?;
    let _logger = log::start(&options)?;
    let mut signals = signal::Listener::start()?;
    let services = product::connect(&settings.platform).map_err(Error::failed)?;
    let server_settings = to_server_settings(&settings)?;
    let mut console =
        Console::start(server_settings, services.table, services.objects).map_err(Error::failed)?;
    println!("ready console={}", console.address());
    signals.wait_for_stop();
    console.stop();
    Ok(())
}

fn to_server_settings(settings: &Settings) -> Result<server::Settings, Error> {
    let mut converted = server::Settings::new(settings.listen);
    converted.secure_cookie = settings.secure_cookie;
    for operator in &settings.operators {
        let token = operator.token_hash.as_ref();
        converted = converted.with_operator(server::Operator {
            name: operator.name.clone(),
            password_hash: operator.password_hash.read().map_err(Error::failed)?,
            token_hash: token.map(Secret::read).transpose().map_err(Error::failed)?,
        });
    }
    if let Some(token) = &settings.instance_token {
        converted = converted.with_instance_token(token.read().map_err(Error::failed)?);
    }
    Ok(converted)
}
