//! The `check` subcommand, which validates settings files and configuration documents.

use fescuewell::document::parse;
use fescuewell::router::settings::Settings;
use pico_args::Arguments;

use super::console;
use crate::cli::{Error, finish, usage};

/// Help text of `check`.
pub const HELP: &str = "\
fescuewell check - check a settings file or a configuration document

usage: fescuewell check FILE [--as router|console|document|platform|deploy]

Without --as the kind is detected from the file's content: 'peers' means the settings of a router,
'operators' those of a console, 'platform.address=' the platform's file for an entry instance, '[roles.'
a deploy file; anything else is a document. Prints each error with its line; exit code 3 if there is one.
";

/// Checks the file given in the arguments.
///
/// # Errors
///
/// Returns [`Error::Invalid`] with the validation errors, [`Error::Failed`] if the file cannot be read, or
/// [`Error::Usage`].
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let kind: Option<String> = arguments.opt_value_from_str("--as")?;
    let path: String = arguments.free_from_str()?;
    finish(arguments)?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| Error::failed(format_args!("{path}: {error}")))?;
    let kind = kind.unwrap_or_else(|| detect_kind(&text).into());
    match kind.as_str() {
        "router" => Settings::read(&text, &path).map(drop).map_err(invalid)?,
        "console" => console::parse(&text, &path).map(drop)?,
        "document" => check_document(&text, &path)?,
        "platform" => check_platform(&text, &path)?,
        "deploy" => check_deploy(&text, &path)?,
        other => {
            return Err(usage(format!(
                "--as {other}: must be router, console, document, platform or deploy"
            )));
        }
    }
    println!("{path}: a valid {kind} file");
    Ok(())
}

fn detect_kind(text: &str) -> &'static str {
    match text {
        text if text.contains("\"peers\"") => "router",
        text if text.contains("\"operators\"") => "console",
        text if text.contains("platform.address=") => "platform",
        text if text.contains("[roles.") => "deploy",
        _ => "document",
    }
}

fn invalid(error: fescuewell::document::settings::Error) -> Error {
    Error::Invalid {
        message: error.to_string(),
    }
}

fn check_platform(text: &str, path: &str) -> Result<(), Error> {
    let read = fescuewell::adapter::settings::parse(text, path);
    read.map(drop).map_err(|error| Error::Invalid {
        message: error.to_string(),
    })
}

fn check_deploy(text: &str, path: &str) -> Result<(), Error> {
    let read = fescuewell::adapter::deploy::parse(text, path);
    read.map(drop).map_err(|error| Error::Invalid {
        message: error.to_string(),
    })
}

fn check_document(text: &str, path: &str) -> Result<(), Error> {
    let Err(faults) = parse::read_document(text) else {
        return Ok(());
    };
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{path}: {fault}"))
        .collect();
    Err(Error::Invalid {
        message: lines.join("\n"),
    })
}
