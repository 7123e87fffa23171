//! Setup of the logger.

mod stdout;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, WriteMode};
use log::Record;
use pico_args::Arguments;

use crate::cli::Error;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// `time level message`.
    Plain,
    /// One JSON object per line.
    Json,
}

/// Logging options of the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    format: Format,
    specification: String,
    target: Target,
}

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Target {
    /// Standard error, for a terminal.
    Stderr,
    /// Standard output through a bounded queue, for a log collector.
    Stdout,
}

/// Log level without `--log`.
const DEFAULT_LEVEL: &str = "info";

impl Options {
    /// Reads `--log` and `--json` from the arguments.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] if `--log` has no value.
    pub fn read(arguments: &mut Arguments) -> Result<Self, Error> {
        Self::read_with(arguments, DEFAULT_LEVEL)
    }

    /// Reads `--log` and `--json` from the arguments; without `--log` the level is `default_level`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] if `--log` has no value.
    pub fn read_with(arguments: &mut Arguments, default_level: &str) -> Result<Self, Error> {
        let specification: Option<String> = arguments.opt_value_from_str("--log")?;
        let format = if arguments.contains("--json") {
            Format::Json
        } else {
            Format::Plain
        };
        Ok(Self {
            format,
            specification: specification.unwrap_or_else(|| default_level.into()),
            target: Target::Stderr,
        })
    }

    /// Sets the format to JSON and the destination to standard output.
    pub fn with_json_stdout(mut self) -> Self {
        self.format = Format::Json;
        self.target = Target::Stdout;
        self
    }
}

/// Message buffers kept in the pool of the asynchronous writer.
const BUFFER_POOL_SIZE: usize = 1_024;
/// Capacity of a pooled message buffer, in bytes.
const BUFFER_CAPACITY: usize = 512;

/// Starts the logger, which runs until the handle is dropped. `--log` accepts a level or a list of
/// targets with levels, in the syntax of `flexi_logger`.
///
/// # Errors
///
/// Returns [`Error::Failed`] if the specification is invalid or the logger cannot start.
pub fn start(options: &Options) -> Result<LoggerHandle, Error> {
    match options.target {
        Target::Stderr => start_stderr(options.format, &options.specification),
        Target::Stdout => stdout::start(&options.specification),
    }
    .map_err(Error::failed)
}

// Lines are written by a separate thread, so that a slow terminal or collector does not delay the caller.
fn start_stderr(format: Format, specification: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let formatter = match format {
        Format::Plain => format_plain,
        Format::Json => format_json,
    };
    Logger::try_with_str(specification)?
        .log_to_stderr()
        .format(formatter)
        .write_mode(WriteMode::AsyncWith {
            pool_capa: BUFFER_POOL_SIZE,
            message_capa: BUFFER_CAPACITY,
            flush_interval: std::time::Duration::from_millis(100),
        })
        .start()
}

/// Format of timestamps in log lines.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

fn format_plain(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record,
) -> std::io::Result<()> {
    let time = now.now_utc_owned().format(TIME_FORMAT);
    write!(out, "{time} {:5} {}", record.level(), record.args())
}

fn format_json(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record,
) -> std::io::Result<()> {
    let time = now.now_utc_owned().format(TIME_FORMAT).to_string();
    let line = to_json(&time, record);
    write!(out, "{line}")
}

/// Converts a log record to a JSON object. The first two words of the message are the event's number and title,
/// `key=value` words become fields, and the remaining words are joined in the field `text`.
pub(super) fn to_json(time: &str, record: &Record) -> serde_json::Value {
    let text = record.args().to_string();
    let mut line = serde_json::Map::new();
    let mut insert = |key: &str, value: &str| {
        line.insert(key.into(), value.into());
    };
    insert("time", time);
    insert("level", record.level().as_str());
    let mut words = text.split(' ');
    insert("event", words.next().unwrap_or_default());
    insert("title", words.next().unwrap_or_default());
    let mut text_words = Vec::new();
    for word in words {
        match word.split_once('=') {
            Some((key, value)) => insert(key, value),
            None => text_words.push(word),
        }
    }
    if !text_words.is_empty() {
        insert("text", &text_words.join(" "));
    }
    line.into()
}
