//! `explain`: the story of one request from the log files of several instances.

use std::path::{Path, PathBuf};

use pico_args::Arguments;
use serde_json::{Map, Value};

use crate::cli::{Error, finish, usage};

/// Help text.
pub const HELP: &str = "\
fescuewell explain - the story of one request

usage: fescuewell explain ID FILE...

Prints the log lines of the request with this id from the files of several instances, in the order of time, and
between them the lines of the same instance that changed what it believed in the seconds before: configuration,
backend servers, tokens of the account, the store, starts and stops.

example: fescuewell explain 9c41d07be2a35f68 entry-1.log entry-2.log
";

/// Titles of lines that tell of a change of belief.
const BELIEFS: [&str; 18] = [
    "process.started",
    "process.ready",
    "drain.started",
    "drain.finished",
    "document.in_force",
    "server.leaving",
    "server.ejected",
    "table.down",
    "table.up",
    "allowance.drawn",
    "allowance.returned",
    "allowance.reclaimed",
    "journal.adopted",
    "journal.lost",
    "peer.lost",
    "peer.joined",
    "settings.reloaded",
    "log.dropped",
];
/// Lines of each kind that are shown before the request: the last one decides.
const LINES_BEFORE: usize = 1;

/// One line of a log.
struct Line {
    instance: String,
    time: String,
    fields: Map<String, Value>,
}

impl Line {
    fn field(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn title(&self) -> &str {
        self.field("title")
    }

    fn is_of(&self, id: &str) -> bool {
        self.field("request") == id
    }

    fn print(&self, mark: char) {
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

/// Prints the story.
///
/// # Errors
///
/// When a file cannot be read or no line tells of the request.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let id: String = arguments.free_from_str()?;
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
    tell(&id, &lines)
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
        lines.push(Line {
            instance: name.clone().into_owned(),
            time: time.to_owned(),
            fields,
        });
    }
    Ok(())
}

fn tell(id: &str, lines: &[Line]) -> Result<(), Error> {
    let own: Vec<usize> = (0..lines.len()).filter(|at| lines[*at].is_of(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(Error::failed(format_args!("no line tells of request {id}")));
    };
    let instances: Vec<&str> = own.iter().map(|at| lines[*at].instance.as_str()).collect();
    for at in before(*first, lines, &instances) {
        lines[at].print(' ');
    }
    for line in &lines[*first..=*last] {
        if line.is_of(id) {
            line.print('*');
            continue;
        }
        if instances.contains(&line.instance.as_str()) && BELIEFS.contains(&line.title()) {
            line.print(' ');
        }
    }
    Ok(())
}

/// The last line of each kind, instance and subject before the request began.
fn before(first: usize, lines: &[Line], instances: &[&str]) -> Vec<usize> {
    let mut found: Vec<usize> = Vec::new();
    for at in (0..first).rev() {
        let line = &lines[at];
        if !instances.contains(&line.instance.as_str()) || !BELIEFS.contains(&line.title()) {
            continue;
        }
        let alike = |other: &&usize| {
            let other = &lines[**other];
            other.title() == line.title()
                && other.instance == line.instance
                && other.field("account") == line.field("account")
        };
        if found.iter().filter(alike).count() < LINES_BEFORE {
            found.push(at);
        }
    }
    found.sort_unstable();
    found
}
