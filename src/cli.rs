//! The command line interface: subcommand dispatch, help texts, errors and exit codes.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use snafu::Snafu;

use crate::command;

/// Exit code of a command that failed while it ran.
const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Exit code for settings or a document that fail validation.
const EXIT_INVALID: u8 = 3;

const HELP: &str = "\
fescuewell - a router fleet that shares prepaid model capacity among groups

usage: fescuewell COMMAND [options]

commands
  entry [--settings FILE]      run an entry instance on the users' platform
  router --settings FILE       run an entry instance with the product's own interface
  console --settings FILE      run the operators' console
  explain ID FILE...           print the log lines of one request, with their context
  losses FILE...               count the requests that were not served, by cause and time
  check FILE                   check a settings file or a configuration document
  config get|check|apply ...   read, check or replace the document through the console
  hash-key                     read a key from standard input, print its hash for the document
  hash-password                read an operator's password, print its hash for the console settings
  issue-certificates           issue a certificate authority and a certificate for each instance
  demo [--port N]              run the whole system in one process, on embedded stand-ins
  bench NAME [options]         run a benchmark; 'bench --help' lists them
  stand-in KIND [options]      run a stand-in for the platform, an engine or a service

options
  --help, -h                   print this text, or after a command, the help of that command
  --version, -V                print the version

exit codes: 0 success, 1 failure, 2 invalid command line, 3 invalid settings or document
";

/// Error of a command; its variant determines the exit code.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The command line is invalid.
    #[snafu(display("{message}\n(see 'fescuewell --help')"))]
    Usage {
        /// Description of the error.
        message: String,
    },
    /// Settings or a document are invalid.
    #[snafu(display("{message}"))]
    Invalid {
        /// The validation errors, one per line.
        message: String,
    },
    /// The command failed.
    #[snafu(display("{message}"))]
    Failed {
        /// Description of the error.
        message: String,
    },
}

impl Error {
    /// Converts any displayable error into [`Error::Failed`].
    pub fn failed<Reason>(reason: Reason) -> Self
    where
        Reason: std::fmt::Display,
    {
        Self::Failed {
            message: reason.to_string(),
        }
    }

    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Usage { .. } => EXIT_USAGE,
            Self::Invalid { .. } => EXIT_INVALID,
            Self::Failed { .. } => EXIT_FAILED,
        };
        ExitCode::from(code)
    }
}

impl From<pico_args::Error> for Error {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage {
            message: error.to_string(),
        }
    }
}

/// Runs the subcommand given in the arguments.
///
/// # Errors
///
/// Returns the error of the subcommand, or [`Error::Usage`] if none is given.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    if arguments.contains(["-V", "--version"]) {
        println!("fescuewell {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let command = arguments.subcommand()?;
    let wants_help = arguments.contains(["-h", "--help"]);
    let Some(command) = command else {
        print!("{HELP}");
        return if wants_help {
            Ok(())
        } else {
            Err(usage("no command given"))
        };
    };
    if wants_help {
        print!("{}", command::help(&command).unwrap_or(HELP));
        return Ok(());
    }
    command::dispatch(&command, arguments)
}

/// Creates an [`Error::Usage`].
pub fn usage<Message>(message: Message) -> Error
where
    Message: Into<String>,
{
    Error::Usage {
        message: message.into(),
    }
}

/// Rejects the arguments that are left over after parsing.
///
/// # Errors
///
/// Returns [`Error::Usage`] with the first argument that is left.
pub fn finish(arguments: Arguments) -> Result<(), Error> {
    let remaining: Vec<OsString> = arguments.finish();
    match remaining.first() {
        None => Ok(()),
        Some(extra) => Err(usage(format!(
            "unexpected argument {}",
            extra.to_string_lossy()
        ))),
    }
}

/// Reads the file given by `--settings` and returns its path and content.
///
/// # Errors
///
/// Returns [`Error::Usage`] if the option is missing, and [`Error::Failed`] if the file cannot be read.
pub fn read_settings_file(arguments: &mut Arguments) -> Result<(PathBuf, String), Error> {
    let path: PathBuf = arguments.value_from_str("--settings")?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| Error::failed(format_args!("{}: {error}", path.display())))?;
    Ok((path, text))
}
