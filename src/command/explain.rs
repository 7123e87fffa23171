//! `explain`: the story of one request from the log files of several instances.

use pico_args::Arguments;

use super::lines::{self, Line};
use crate::cli::Error;

/// Help text.
pub const HELP: &str = "\
fescuewell explain - the story of one request

usage: fescuewell explain ID FILE...

Prints the log lines of the request with this id from the files of several instances, in the order of time, and
between them the lines of the same instance that changed what it believed in the seconds before: configuration,
backend servers, tokens of the account, the store, starts and stops. ID may also be a request's fingerprint, as the
lines name it: the story then covers all of its tries.

example: fescuewell explain 9c41d07be2a35f68 entry-1.log entry-2.log
";

/// Titles of lines that tell of a change of belief.
const BELIEFS: [&str; 23] = [
    "process.started",
    "process.ready",
    "drain.started",
    "drain.finished",
    "document.in_force",
    "server.leaving",
    "server.ejected",
    "server.ended",
    "server.crashed",
    "table.down",
    "table.up",
    "allowance.drawn",
    "allowance.returned",
    "allowance.reclaimed",
    "journal.adopted",
    "journal.lost",
    "journal.overdue",
    "journal.renewed",
    "table.silent",
    "peer.lost",
    "peer.joined",
    "settings.reloaded",
    "log.dropped",
];
/// Lines of each kind that are shown before the request: the last one decides.
const LINES_BEFORE: usize = 1;

/// Prints the story.
///
/// # Errors
///
/// When a file cannot be read or no line tells of the request.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let id: String = arguments.free_from_str()?;
    let lines = lines::from(arguments)?;
    tell(&id, &lines)
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
