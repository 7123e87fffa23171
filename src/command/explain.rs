//! The `explain` subcommand, which prints the log lines of one request from the files of several instances.

mod ending;

use std::collections::BTreeSet;

use ending::Ending;
use pico_args::Arguments;

use super::lines::{self, Line};
use crate::cli::Error;

/// Help text of `explain`.
pub const HELP: &str = "\
fescuewell explain - print the log lines of one request, with their context

usage: fescuewell explain ID FILE...

Prints the log lines of the request with this id from the files of several instances, sorted by time and marked
with '*'. Between and before them it prints the lines that report a change of the same instances' state:
configuration, backend servers, tokens of the account, the store, starts and stops. ID may also be the fingerprint
of a request as it appears in the logs; the output then covers all attempts of the request. The lines of attempts that
take up the request's stream are printed as well. ID may also be that of a part of prompts; the output then covers the
crashes, failed attempts and refusals of all requests with that part.

Last, marked with '=', comes a sentence for each of these requests whose lines tell who ended its stream and why, what
became of it while a server was silent or sent other responses, or why a shutdown did not accept it.

example: fescuewell explain 9c41d07be2a35f68 entry-1.log entry-2.log
";

/// Titles of log lines that report a change of an instance's state and are printed as context.
const CONTEXT_TITLES: [&str; 32] = [
    "process.started",
    "process.ready",
    "drain.started",
    "drain.finished",
    "document.in_force",
    "server.leaving",
    "server.ejected",
    "server.ended",
    "server.crashed",
    "servers.behind",
    "part.quarantined",
    "part.cleared",
    "path.lost",
    "path.restored",
    "path.server_lost",
    "path.server_restored",
    "streams.published",
    "document.behind",
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
/// Context lines of each kind printed from before the request. Only the last one was still in effect.
const CONTEXT_LINES_PER_KIND: usize = 1;

/// Prints the log lines of a request and their context.
///
/// # Errors
///
/// Returns an error if a file cannot be read or no line belongs to the request.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let id: String = arguments.free_from_str()?;
    let lines = lines::read_all(arguments)?;
    print_request(&id, &lines)
}

fn print_request(id: &str, lines: &[Line]) -> Result<(), Error> {
    let mut ids = vec![id];
    for line in lines.iter().filter(|line| line.field("resumes") == id) {
        ids.push(line.field("request"));
    }
    let is_own = |line: &Line| ids.iter().any(|id| line.belongs_to(id));
    let own_lines: Vec<usize> = (0..lines.len())
        .filter(|index| is_own(&lines[*index]))
        .collect();
    let (Some(first), Some(last)) = (own_lines.first(), own_lines.last()) else {
        return Err(Error::failed(format_args!(
            "no log line of request {id} found"
        )));
    };
    let instances: Vec<&str> = own_lines
        .iter()
        .map(|index| lines[*index].instance.as_str())
        .collect();
    for index in preceding_context(*first, lines, &instances) {
        lines[index].print(' ');
    }
    for line in &lines[*first..=*last] {
        if is_own(line) {
            line.print('*');
            continue;
        }
        if instances.contains(&line.instance.as_str()) && CONTEXT_TITLES.contains(&line.title()) {
            line.print(' ');
        }
    }
    print_endings(own_lines.iter().map(|index| &lines[*index]), lines);
    Ok(())
}

/// Prints the conclusion of each request that one of `own_lines` belongs to.
fn print_endings<'a, Own>(own_lines: Own, lines: &[Line])
where
    Own: Iterator<Item = &'a Line>,
{
    let mut printed = BTreeSet::new();
    for line in own_lines {
        let request = line.field("request");
        if request.is_empty() || !printed.insert(request) {
            continue;
        }
        if let Some(sentence) = Ending::of(request, lines).sentence() {
            println!("= {request} {sentence}");
        }
    }
}

/// Finds the last context line of each title, instance and account before the first line of the request.
fn preceding_context(first: usize, lines: &[Line], instances: &[&str]) -> Vec<usize> {
    let mut found: Vec<usize> = Vec::new();
    for index in (0..first).rev() {
        let line = &lines[index];
        if !instances.contains(&line.instance.as_str()) || !CONTEXT_TITLES.contains(&line.title()) {
            continue;
        }
        let is_same_kind = |other: &&usize| {
            let other = &lines[**other];
            other.title() == line.title()
                && other.instance == line.instance
                && other.field("account") == line.field("account")
        };
        if found.iter().filter(is_same_kind).count() < CONTEXT_LINES_PER_KIND {
            found.push(index);
        }
    }
    found.sort_unstable();
    found
}
