//! Sets the logger up.

mod stdout;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, WriteMode};
use log::Record;
use pico_args::Arguments;

use crate::cli::Error;

/// How log lines look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// `time level text`.
    Plain,
    /// One JSON object a line.
    Json,
}

/// What the command line says about logging.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    form: Form,
    specification: String,
    target: Target,
}

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Target {
    /// Standard error, for people.
    Error,
    /// Standard output through a bounded ring, for a collector.
    Output,
}

/// Level unless another one is asked for.
const LEVEL: &str = "info";

impl Options {
    /// Takes `--log` and `--json` from the arguments.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`].
    pub fn read(arguments: &mut Arguments) -> Result<Self, Error> {
        Self::read_with(arguments, LEVEL)
    }

    /// The same with another level for when none is named.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`].
    pub fn read_with(arguments: &mut Arguments, level: &str) -> Result<Self, Error> {
        let specification: Option<String> = arguments.opt_value_from_str("--log")?;
        let form = if arguments.contains("--json") {
            Form::Json
        } else {
            Form::Plain
        };
        Ok(Self {
            form,
            specification: specification.unwrap_or_else(|| level.into()),
            target: Target::Error,
        })
    }

    /// JSON lines on standard output.
    pub fn on_standard_output(mut self) -> Self {
        self.form = Form::Json;
        self.target = Target::Output;
        self
    }
}

/// Lines that may wait for the writer's thread.
const POOL: usize = 1_024;
/// Bytes of a line that is kept for reuse.
const LINE: usize = 512;

/// Starts the logger; it lives as long as the handle. `--log` takes a level or a list of targets
/// with levels, as `flexi_logger` reads it.
///
/// # Errors
///
/// [`Error::Failed`] when the specification cannot be read.
pub fn start(options: &Options) -> Result<LoggerHandle, Error> {
    match options.target {
        Target::Error => try_start(options.form, &options.specification),
        Target::Output => stdout::start(&options.specification),
    }
    .map_err(Error::failed)
}

// Writing goes through a thread of its own, so that a slow terminal or collector delays no decision.
fn try_start(form: Form, specification: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let format = match form {
        Form::Plain => plain,
        Form::Json => json,
    };
    Logger::try_with_str(specification)?
        .log_to_stderr()
        .format(format)
        .write_mode(WriteMode::AsyncWith {
            pool_capa: POOL,
            message_capa: LINE,
            flush_interval: std::time::Duration::from_millis(100),
        })
        .start()
}

const TIME: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

fn plain(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record,
) -> std::io::Result<()> {
    let time = now.now_utc_owned().format(TIME);
    write!(out, "{time} {:5} {}", record.level(), record.args())
}

fn json(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record,
) -> std::io::Result<()> {
    let time = now.now_utc_owned().format(TIME).to_string();
    let line = object(&time, record);
    write!(out, "{line}")
}

/// A line as an object: an event's `key=value` pairs become fields, other text stays as it is.
pub(super) fn object(time: &str, record: &Record) -> serde_json::Value {
    let text = record.args().to_string();
    let mut line = serde_json::Map::new();
    let mut put = |key: &str, value: &str| {
        line.insert(key.into(), value.into());
    };
    put("time", time);
    put("level", record.level().as_str());
    let mut words = text.split(' ');
    put("event", words.next().unwrap_or_default());
    put("title", words.next().unwrap_or_default());
    let mut rest = Vec::new();
    for word in words {
        match word.split_once('=') {
            Some((key, value)) => put(key, value),
            None => rest.push(word),
        }
    }
    if !rest.is_empty() {
        put("text", &rest.join(" "));
    }
    line.into()
}
