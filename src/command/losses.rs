//! `losses`: which requests were not served, when and why, from log files alone.

mod accounts;
mod crashes;

use std::collections::{BTreeMap, HashMap};

use pico_args::Arguments;

use super::lines::{self, Line};
use crate::cli::{Error, usage};

/// Help text.
pub const HELP: &str = "\
fescuewell losses - which requests were not served, when and why

usage: fescuewell losses [--span SECONDS] [--accounts COUNT] FILE...

Counts the requests that were refused, failed or left by their callers, by cause and in spans of time (4 seconds unless told
otherwise) from the first line on, with the client account that each cause met most. What answers cost, what requests cost that
got none, what restarts charged without a record of its use, and the requests that were running when backend
servers crashed stand below. With --accounts the client accounts that were refused most follow, with what was prepaid,
granted and used by the last line, and whether the missing tokens were used up, stood at other instances, or at none.

example: fescuewell losses --span 2 entry-1.log entry-2.log
";

/// Length of a span unless the command line says another, in seconds.
const SPAN_S: u64 = 4;

/// Requests lost for one cause.
#[derive(Default)]
struct Loss {
    spans: BTreeMap<u64, u64>,
    accounts: HashMap<String, u64>,
}

impl Loss {
    fn add(&mut self, span: u64, account: &str) {
        *self.spans.entry(span).or_default() += 1;
        *self.accounts.entry(account.to_owned()).or_default() += 1;
    }

    fn count(&self) -> u64 {
        self.spans.values().sum()
    }

    fn print(&self, cause: &str, span_s: u64) {
        let most = self
            .accounts
            .iter()
            .max_by_key(|(name, count)| (**count, (*name).clone()));
        let (account, of_it) = most.map_or(("-", 0), |(name, count)| (name.as_str(), *count));
        println!("{cause:24} {:7}  account {account} {of_it}", self.count());
        let spans = self.spans.iter();
        let spans: Vec<String> = spans
            .map(|(span, count)| format!("{}s:{count}", span * span_s))
            .collect();
        println!("  {}", spans.join(" "));
    }
}

/// Prints the table.
///
/// # Errors
///
/// When the span is 0, or a file cannot be read.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let span_s = arguments.opt_value_from_str("--span")?.unwrap_or(SPAN_S);
    if span_s == 0 {
        return Err(usage("--span: a whole number of seconds above 0 is wanted"));
    }
    let most = arguments.opt_value_from_str("--accounts")?;
    let lines = lines::from(arguments)?;
    let start_ms = lines
        .iter()
        .find_map(|line| moment(&line.time))
        .unwrap_or_default();
    let mut losses: BTreeMap<String, Loss> = BTreeMap::new();
    let mut accounts: HashMap<&str, &str> = HashMap::new();
    let (mut served, mut recorded, mut charged) = (0, 0, 0);
    let (mut answered, mut unanswered) = (0, 0);
    for line in &lines {
        if line.title() == "route.chosen" {
            accounts.insert(line.field("request"), line.field("account"));
        }
        if line.title() == "allowance.reclaimed" {
            recorded += number(line, "recorded");
            charged += number(line, "charged");
        }
        match line.title() {
            "request.done" => answered += number(line, "tokens"),
            "tokens.charged" => unanswered += number(line, "tokens"),
            _ => {}
        }
        let Some(cause) = cause(line) else {
            served += u64::from(line.title() == "request.done");
            continue;
        };
        let account = match line.field("account") {
            "" => accounts.get(line.field("request")).copied().unwrap_or("-"),
            named => named,
        };
        let at_ms = moment(&line.time).unwrap_or(start_ms);
        let span = at_ms.saturating_sub(start_ms) / 1_000 / span_s;
        losses.entry(cause).or_default().add(span, account);
    }
    let mut ranked: Vec<(&String, &Loss)> = losses.iter().collect();
    ranked.sort_by_key(|(_, loss)| std::cmp::Reverse(loss.count()));
    println!("{:24} {served:7}", "answered");
    for (cause, loss) in ranked {
        loss.print(cause, span_s);
    }
    println!("tokens of answers {answered}, of requests without one {unanswered}");
    println!("tokens charged at restarts {charged}, of them recorded {recorded}");
    crashes::print(&lines);
    if let Some(most) = most {
        accounts::print(&lines, most);
    }
    Ok(())
}

/// Why a request was not served; nothing for a line that tells of none.
fn cause(line: &Line) -> Option<String> {
    match (line.title(), line.field("outcome")) {
        ("route.refused", _) => Some(line.field("cause").to_owned()),
        ("request.done", "caller_gone") => Some("CallerGone".into()),
        ("request.done", "broken_off") => Some("BrokenOff".into()),
        ("request.done", status) if status.starts_with('5') => Some("ServerFailed".into()),
        _ => None,
    }
}

fn number(line: &Line, field: &str) -> u64 {
    // A line without the figure counts as none: it was cut short by the collector.
    line.field(field).parse().unwrap_or_default()
}

/// Milliseconds of the day of a time like `2026-05-30T10:35:34.944Z`.
fn moment(time: &str) -> Option<u64> {
    let clock = time.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = clock.split(':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as u64)
}
