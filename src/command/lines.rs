//! Lines of instances' log files.

use std::path::{Path, PathBuf};

use pico_args::Arguments;
use serde_json::{Map, Value};

use crate::cli::{Error, finish, usage};

/// One line of a log.
pub(super) struct Line {
    /// Who wrote it: the collector's last word before the object, else the file's name without its ending.
    pub(super) instance: String,
    /// Moment of the line, as it stands there.
    pub(super) time: String,
    /// All that the line says.
    pub(super) fields: Map<String, Value>,
}

impl Line {
    /// The text of a field, empty if there is none.
    pub(super) fn field(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// What the line tells of.
    pub(super) fn title(&self) -> &str {
        self.field("title")
    }

    /// Whether the line tells of the request with this id or fingerprint.
    pub(super) fn is_of(&self, id: &str) -> bool {
        let mut named = self.field("fingerprints").split(',');
        self.field("request") == id
            || self.field("fingerprint") == id
            || named.any(|name| name == id)
    }

    /// Prints the line behind a mark.
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

/// Reads the files that the arguments name, in the order of time.
///
/// # Errors
///
/// When none is named or one cannot be read.
pub(super) fn from(mut arguments: Arguments) -> Result<Vec<Line>, Error> {
    let mut files: Vec<PathBuf> = Vec::new();
    while let Some(file) = arguments.opt_free_from_str()? {
        files.push(file);
    }
    finish(arguments)?;
    if files.is_empty() {
        return Err(usage("at least one log file is wanted"));
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
        // Collectors put their own words before the object.
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
        let collected = text[..start].split_whitespace().next_back();
        lines.push(Line {
            instance: collected.unwrap_or(&name).to_owned(),
            time: time.to_owned(),
            fields,
        });
    }
    Ok(())
}
