//! The command line: which subcommand, its options, help texts and exit codes.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use snafu::Snafu;

use crate::command;

/// Exit code when the command itself failed.
const EXIT_FAILED: u8 = 1;
/// Exit code for a command line that cannot be understood.
const EXIT_USAGE: u8 = 2;
/// Exit code for settings or a document that do not pass their checks.
const EXIT_INVALID: u8 = 3;

const HELP: &str = "\
fescuewell - a router fleet that shares prepaid model capacity among groups

usage: fescuewell COMMAND [options]

commands
  entry [--settings FILE]      one entry instance on the users' platform
  router --settings FILE       one entry instance with the product's own interface
  console --settings FILE      the operators' console
  explain ID FILE...           the story of one request from log files
  losses FILE...               which requests were not served, when and why, from log files
  check FILE                   check a settings file or a configuration document
  config get|check|apply ...   read, check or replace the document through the console
  hash-key                     read a key from standard input, print the hash that documents keep
  hash-password                read an operator's password, print the hash that console settings keep
  issue-certificates           an authority and a certificate for each instance
  demo [--port N]              the whole system in one process, on embedded stand-ins
  bench NAME [options]         the load tool; 'bench --help' lists what it measures
  stand-in KIND [options]      one stand-in: platform, engine or service

options
  --help, -h                   this text; after a command, that command's text
  --version, -V                the version

exit codes: 0 done, 1 failed, 2 the command line is wrong, 3 settings or document are invalid
";

/// Why a command ended badly.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The command line is wrong.
    #[snafu(display("{message}\n(see 'fescuewell --help')"))]
    Usage {
        /// What is wrong with it.
        message: String,
    },
    /// Settings or a document do not pass.
    #[snafu(display("{message}"))]
    Invalid {
        /// The faults, a line each.
        message: String,
    },
    /// The command failed.
    #[snafu(display("{message}"))]
    Failed {
        /// Why.
        message: String,
    },
}

impl Error {
    /// Wraps anything that can be printed as a failure of the command.
    pub fn failed<Reason>(reason: Reason) -> Self
    where
        Reason: std::fmt::Display,
    {
        Self::Failed {
            message: reason.to_string(),
        }
    }

    /// The process's exit code.
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

/// Runs the subcommand that the arguments name.
///
/// # Errors
///
/// Whatever the subcommand reports, or [`Error::Usage`].
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
            Err(usage("a command is wanted"))
        };
    };
    if wants_help {
        print!("{}", command::help(&command).unwrap_or(HELP));
        return Ok(());
    }
    command::dispatch(&command, arguments)
}

/// A [`Error::Usage`].
pub fn usage<Message>(message: Message) -> Error
where
    Message: Into<String>,
{
    Error::Usage {
        message: message.into(),
    }
}

/// Refuses arguments that nobody asked for.
///
/// # Errors
///
/// [`Error::Usage`] naming the first one.
pub fn finish(arguments: Arguments) -> Result<(), Error> {
    let rest: Vec<OsString> = arguments.finish();
    match rest.first() {
        None => Ok(()),
        Some(extra) => Err(usage(format!(
            "unexpected argument {}",
            extra.to_string_lossy()
        ))),
    }
}

/// Reads the file named by `--settings`.
///
/// # Errors
///
/// [`Error::Usage`] without the option, [`Error::Failed`] when it cannot be read.
pub fn settings_text(arguments: &mut Arguments) -> Result<(PathBuf, String), Error> {
    let path: PathBuf = arguments.value_from_str("--settings")?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| Error::failed(format_args!("{}: {error}", path.display())))?;
    Ok((path, text))
}
