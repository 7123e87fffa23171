//! Parser of the instances' log files.

use std::path::{Path, PathBuf};

use pico_args::Arguments;
use serde_json::{Map, Value};

use crate::cli::{Error, finish, usage};

/// A log line.
pub(super) struct Line {
    /// Instance that wrote the line: the last word that the log collector put before the JSON object, or else the
    /// file's name without its extension.
    pub(super) instance: String,
    /// Timestamp of the line, unparsed; empty if there is none.
    pub(super) time: String,
    /// Fields of the JSON object.
    pub(super) fields: Map<String, Value>,
}

impl Line {
    /// Returns a field's value; empty if the field is missing or not a string.
    pub(super) fn field(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns the title of the line's event.
    pub(super) fn title(&self) -> &str {
        self.field("title")
    }

    /// Returns `true` if the line belongs to the request with this id or fingerprint, or to requests with this part
    /// of a prompt.
    pub(super) fn belongs_to(&self, id: &str) -> bool {
        let is_listed = |field| self.field(field).split(',').any(|name| name == id);
        let is_named = ["request", "fingerprint", "part"];
        is_named.iter().any(|field| self.field(field) == id)
            || is_listed("fingerprints")
            || is_listed("parts")
    }

    /// Prints the line, preceded by `mark`.
    pub(super) fn print(&self, mark: char) {
        let hidden = ["time", "level", "event", "title", "request"];
        let shown = self
            .fields
            .iter()
            .filter(|(name, _)| !hidden.contains(&name.as_str()));
        let text: Vec<String> = shown
            .map(|(name, value)| format!("{name}={}", value.as_str().unwrap_or_default()))
            .collect();
        println!(
            "{mark} {} {:20} {:20} {}",
            self.time,
            self.instance,
            self.title(),
            text.join(" ")
        );
    }
}

/// Reads the log files given in the arguments and sorts their lines by time.
///
/// # Errors
///
/// Returns an error if no file is given or a file cannot be read.
pub(super) fn read_all(mut arguments: Arguments) -> Result<Vec<Line>, Error> {
    let mut files: Vec<PathBuf> = Vec::new();
    while let Some(file) = arguments.opt_free_from_str()? {
        files.push(file);
    }
    finish(arguments)?;
    if files.is_empty() {
        return Err(usage("expected at least one log file"));
    }
    let mut lines = Vec::new();
    for file in &files {
        read(file, &mut lines)?;
    }
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    Ok(lines)
}

fn read(file: &Path, lines: &mut Vec<Line>) -> Result<(), Error> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| Error::failed(format_args!("{}: {error}", file.display())))?;
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    for text in text.lines() {
        // Log collectors put their own prefix before the JSON object.
        let Some(start) = text.find('{') else {
            continue;
        };
        let Ok(Value::Object(fields)) = serde_json::from_str(&text[start..]) else {
            continue;
        };
        let time = fields
            .get("time")
            .and_then(Value::as_str)
            .unwrap_or_default();
        let collected_name = text[..start].split_whitespace().next_back();
        lines.push(Line {
            instance: collected_name.unwrap_or(&name).to_owned(),
            time: time.to_owned(),
            fields,
        });
    }
    Ok(())
}
