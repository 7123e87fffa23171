//! The `losses` subcommand, which counts the requests that were not served, by cause and time, from log files.

mod accounts;
mod crashes;
mod cuts;

use std::collections::{BTreeMap, HashMap};

use pico_args::Arguments;

use super::lines::{self, Line};
use crate::cli::{Error, usage};

/// Help text of `losses`.
pub const HELP: &str = "\
fescuewell losses - count the requests that were not served, by cause and time

usage: fescuewell losses [--span SECONDS] [--accounts COUNT] FILE...

Counts the requests that were refused, that failed or whose callers disconnected, by cause and time span (4 seconds
by default) from the first line on, with the client account that each cause affected most. Below, it prints the
tokens charged for answered and for unanswered requests, the tokens charged at restarts and how many of them were
recorded as used, and the requests that were running when backend servers crashed. Then it prints how many streams
ended before their last event, by who ended them, why and what followed, how many of them did so within 3 seconds
after a change of the configuration, and the most backend servers that were silent at the same time. With
--accounts, it also prints the client accounts with the most refusals: the tokens prepaid, granted and used as of the
last line, and whether the missing tokens were used up, granted to other instances, or granted to none.

example: fescuewell losses --span 2 entry-1.log entry-2.log
";

/// Length of a time span without `--span`, in seconds.
const DEFAULT_SPAN_S: u64 = 4;

/// Requests lost for one cause.
#[derive(Default)]
struct Loss {
    /// Number of requests by index of the time span.
    spans: BTreeMap<u64, u64>,
    /// Number of requests by client account.
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
        let top_account = self
            .accounts
            .iter()
            .max_by_key(|(name, count)| (**count, (*name).clone()));
        let (account, account_count) =
            top_account.map_or(("-", 0), |(name, count)| (name.as_str(), *count));
        println!(
            "{cause:24} {:7}  account {account} {account_count}",
            self.count()
        );
        let spans = self.spans.iter();
        let spans: Vec<String> = spans
            .map(|(span, count)| format!("{}s:{count}", span * span_s))
            .collect();
        println!("  {}", spans.join(" "));
    }
}

/// Prints the losses in the log files.
///
/// # Errors
///
/// Returns an error if the span is 0 or a file cannot be read.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let span_s = arguments
        .opt_value_from_str("--span")?
        .unwrap_or(DEFAULT_SPAN_S);
    if span_s == 0 {
        return Err(usage(
            "--span: must be a whole number of seconds greater than 0",
        ));
    }
    let max_accounts = arguments.opt_value_from_str("--accounts")?;
    let lines = lines::read_all(arguments)?;
    let start_ms = lines
        .iter()
        .find_map(|line| parse_time_ms(&line.time))
        .unwrap_or_default();
    let mut losses: BTreeMap<String, Loss> = BTreeMap::new();
    let mut account_by_request: HashMap<&str, &str> = HashMap::new();
    let (mut served_requests, mut recorded_tokens, mut charged_tokens) = (0, 0, 0);
    let (mut answered_tokens, mut unanswered_tokens) = (0, 0);
    for line in &lines {
        if line.title() == "route.chosen" {
            account_by_request.insert(line.field("request"), line.field("account"));
        }
        if line.title() == "allowance.reclaimed" {
            recorded_tokens += number_field(line, "recorded");
            charged_tokens += number_field(line, "charged");
        }
        match line.title() {
            "request.done" => answered_tokens += number_field(line, "tokens"),
            "tokens.charged" => unanswered_tokens += number_field(line, "tokens"),
            _ => {}
        }
        let Some(cause) = cause(line) else {
            served_requests += u64::from(line.title() == "request.done");
            continue;
        };
        let account = match line.field("account") {
            "" => account_by_request
                .get(line.field("request"))
                .copied()
                .unwrap_or("-"),
            name => name,
        };
        let time_ms = parse_time_ms(&line.time).unwrap_or(start_ms);
        let span = time_ms.saturating_sub(start_ms) / 1_000 / span_s;
        losses.entry(cause).or_default().add(span, account);
    }
    let mut ranked: Vec<(&String, &Loss)> = losses.iter().collect();
    ranked.sort_by_key(|(_, loss)| std::cmp::Reverse(loss.count()));
    println!("{:24} {served_requests:7}", "answered");
    for (cause, loss) in ranked {
        loss.print(cause, span_s);
    }
    println!("tokens of answers {answered_tokens}, of requests without one {unanswered_tokens}");
    println!("tokens charged at restarts {charged_tokens}, of them recorded {recorded_tokens}");
    crashes::print(&lines);
    cuts::print(&lines);
    if let Some(max_accounts) = max_accounts {
        accounts::print(&lines, max_accounts);
    }
    Ok(())
}

/// Returns why a request was not served, or `None` if the line reports no such request.
fn cause(line: &Line) -> Option<String> {
    match (line.title(), line.field("outcome")) {
        ("route.refused", _) => Some(line.field("cause").to_owned()),
        ("request.done", "caller_gone") => Some("CallerGone".into()),
        ("request.done", "broken_off") => Some("BrokenOff".into()),
        ("request.done", status) if status.starts_with('5') => Some("ServerFailed".into()),
        _ => None,
    }
}

fn number_field(line: &Line, field: &str) -> u64 {
    // A missing number counts as 0: the collector truncated the line.
    line.field(field).parse().unwrap_or_default()
}

/// Parses a time such as `2026-05-30T10:35:34.944Z` into milliseconds since midnight.
fn parse_time_ms(time: &str) -> Option<u64> {
    let time_of_day = time.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = time_of_day.split(':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as u64)
}
