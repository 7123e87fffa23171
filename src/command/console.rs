//! `console`: the operators' console as a process of its own.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell::adapter::product;
use fescuewell::console::server::{self, Console};
use fescuewell::platform::settings::{Secret, Settings as PlatformSettings};
use pico_args::Arguments;
use serde::Deserialize;

use super::{log, signal};
use crate::cli::{Error, finish, settings_text};

/// Help text.
pub const HELP: &str = "\
fescuewell console - the operators' console

usage: fescuewell console --settings FILE [--log LEVEL] [--json]

SIGTERM or Ctrl-C ends it; nothing is kept in it.
";

/// The settings file of a console.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where operators connect.
    listen: SocketAddr,
    /// Who may sign in.
    operators: Vec<Operator>,
    /// Whether operators come through TLS.
    #[serde(default)]
    secure_cookie: bool,
    /// Token that the instances' operator listeners ask for.
    #[serde(default)]
    instance_token: Option<Secret>,
    /// The platform's store.
    platform: PlatformSettings,
}

/// One operator.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Operator {
    name: Arc<str>,
    password_hash: Secret,
    #[serde(default)]
    token_hash: Option<Secret>,
}

/// Reads a settings file.
///
/// # Errors
///
/// [`Error::Invalid`] with file and line.
pub fn read(text: &str, file: &str) -> Result<Settings, Error> {
    fescuewell::document::settings::read(text, file).map_err(|error| Error::Invalid {
        message: error.to_string(),
    })
}

/// Runs the console.
///
/// # Errors
///
/// When settings are wrong or the console cannot start.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let options = log::Options::read(&mut arguments)?;
    let (path, text) = settings_text(&mut arguments)?;
    finish(arguments)?;
    let settings = read(&text, &path.to_string_lossy())?;
    let _logger = log::start(&options)?;
    let mut signals = signal::Listener::start()?;
    let services = product::connect(&settings.platform).map_err(Error::failed)?;
    let own = own_settings(&settings)?;
    let mut console =
        Console::start(own, services.table, services.objects).map_err(Error::failed)?;
    println!("ready console={}", console.address());
    signals.wait_for_stop();
    console.stop();
    Ok(())
}

fn own_settings(settings: &Settings) -> Result<server::Settings, Error> {
    let mut own = server::Settings::new(settings.listen);
    own.secure_cookie = settings.secure_cookie;
    for operator in &settings.operators {
        let token = operator.token_hash.as_ref();
        own = own.with_operator(server::Operator {
            name: operator.name.clone(),
            password_hash: operator.password_hash.read().map_err(Error::failed)?,
            token_hash: token.map(Secret::read).transpose().map_err(Error::failed)?,
        });
    }
    if let Some(token) = &settings.instance_token {
        own = own.with_instance_token(token.read().map_err(Error::failed)?);
    }
    Ok(own)
}
