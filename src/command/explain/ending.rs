//! The ending of a request: one sentence on who ended it and why, from its own log lines alone.

use crate::command::lines::Line;

/// The log lines of one request that tell how it ended.
#[derive(Default)]
pub(super) struct Ending<'a> {
    cut: Option<&'a Line>,
    overtaken: Vec<&'a Line>,
    silent: Vec<&'a Line>,
    late: Option<&'a Line>,
    foreign: Option<&'a Line>,
    last: Option<&'a Line>,
}

impl<'a> Ending<'a> {
    /// Collects the lines of `request` from lines in the order of time.
    pub(super) fn of(request: &str, lines: &'a [Line]) -> Self {
        let mut ending = Self::default();
        for line in lines {
            if line.field("request") != request {
                continue;
            }
            match line.title() {
                "stream.cut" => ending.cut = Some(line),
                "attempt.overtaken" => ending.overtaken.push(line),
                "attempt.silent" => ending.silent.push(line),
                "drain.refused" => ending.late = Some(line),
                "response.foreign" => ending.foreign = Some(line),
                "request.done" | "route.refused" => ending.last = Some(line),
                _ => {}
            }
        }
        ending
    }

    /// Returns the conclusion, or `None` if the lines allow none.
    pub(super) fn sentence(&self) -> Option<String> {
        if let Some(cut) = self.cut {
            let followed = self.followed(cut)?;
            let version = cut.field("configuration");
            let age = grouped(cut.field("configuration_age_ms"))?;
            let end = ended(cut)?;
            return Some(format!(
                "{end}{followed}; configuration {version} was in force for {age} ms"
            ));
        }
        let outcome = outcome(self.last?)?;
        if !self.overtaken.is_empty() {
            let overtakings = self.overtaken.iter().map(|line| self.overtaking(line));
            let overtakings: Option<Vec<String>> = overtakings.collect();
            return Some(format!("{outcome}, after {}", overtakings?.join(" and ")));
        }
        if let Some(late) = self.late {
            return Some(format!("{outcome}: {}", lateness(late)?));
        }
        if let Some(foreign) = self.foreign {
            return Some(format!("{outcome}; {}", confusion(foreign)));
        }
        let silent = self.silent.last()?;
        Some(format!(
            "{outcome}; {} had been silent for {} ms when {}",
            silent.field("server"),
            grouped(silent.field("silent_ms"))?,
            decision(silent)?
        ))
    }

    /// Returns which server delivered before another one.
    fn overtaking(&self, line: &Line) -> Option<String> {
        let (winner, other) = (line.field("by"), line.field("server"));
        let mut silent = self.silent.iter();
        // A second server is asked while the first one is silent.
        if silent.any(|silent| silent.field("server") == winner) {
            return Some(format!("{winner} went on before {other} delivered"));
        }
        Some(format!(
            "{winner} overtook {other}, which had been silent for {} ms",
            grouped(line.field("silent_ms"))?
        ))
    }

    /// Returns what followed the loss of the server, as the end of a sentence.
    fn followed(&self, cut: &Line) -> Option<String> {
        match (cut.field("by"), cut.field("then")) {
            ("instance" | "server", "-") => Some(", and no other server was asked".into()),
            ("instance" | "server", code) => {
                Some(format!(", and no other server went on with it ({code})"))
            }
            _ => match self.silent.last() {
                Some(silent) => Some(format!("; when it was silent, {}", decision(silent)?)),
                None => Some(String::new()),
            },
        }
    }
}

/// Returns who ended a stream, and how.
fn ended(cut: &Line) -> Option<String> {
    let server = cut.field("server");
    let place = place(cut);
    let silent = grouped(cut.field("silent_ms"))?;
    match (cut.field("by"), cut.field("cause")) {
        ("instance", "silent") => Some(format!(
            "ended by this instance: {server} sent nothing for {silent} ms {place}"
        )),
        ("instance", "over_budget") => Some(format!(
            "ended by this instance: it had no memory left for more of {server} {place}"
        )),
        ("instance", "shutdown") => Some(format!(
            "ended by this instance, which was shut down, {place}"
        )),
        ("server", "broken") => Some(format!(
            "ended by the server: the connection to {server} broke {place}"
        )),
        ("server", "restarted") => Some(format!(
            "ended by the server: {server} started again {place}"
        )),
        ("server", "malformed") => Some(format!(
            "ended by the server: {server} sent something else than the next event {place}"
        )),
        ("deadline", _) => Some(format!(
            "ended by the deadline {place}: {server} had sent nothing for {silent} ms"
        )),
        ("caller", _) => Some(format!(
            "ended by the caller {place}: {server} had sent nothing for {silent} ms"
        )),
        _ => None,
    }
}

/// Returns the place in the stream at which it ended. Events of a stream that cannot be resumed may have no ids.
fn place(cut: &Line) -> String {
    match (cut.field("last_event"), cut.field("events")) {
        ("" | "-", "" | "0") => "before its first event".into(),
        ("" | "-", "1") => "after one event".into(),
        ("" | "-", events) => format!("after {events} events"),
        (id, _) => format!("after event {id}"),
    }
}

/// Returns how a request that was not cut ended.
fn outcome(last: &Line) -> Option<String> {
    match (last.title(), last.field("outcome")) {
        ("route.refused", _) => Some(format!("refused ({})", last.field("cause"))),
        (_, "whole") => Some("whole".into()),
        (_, status) if status.parse::<u16>().is_ok() => Some(format!("answered with {status}")),
        _ => None,
    }
}

/// Returns why a request was refused during a shutdown.
fn lateness(late: &Line) -> Option<String> {
    let left = grouped(late.field("left_ms"))?;
    Some(match grouped(late.field("expected_ms")) {
        Some(expected) => format!(
            "the shutdown of this instance ended in {left} ms, and such requests take up to {expected} ms"
        ),
        None => {
            format!("the shutdown of this instance ended in {left} ms, and its deadline was later")
        }
    })
}

/// Returns which responses a server sent besides the one to the request.
fn confusion(foreign: &Line) -> String {
    let server = foreign.field("server");
    match (foreign.field("own"), foreign.field("skipped")) {
        ("true", skipped) => format!("{server} sent {skipped} other responses before this one"),
        (_, _) => format!("{server} sent a response that does not name this request"),
    }
}

fn decision(silent: &Line) -> Option<String> {
    match silent.field("decision") {
        "second" => Some("a second server was asked".into()),
        "wait" => Some(format!(
            "no second server was asked ({})",
            silent.field("why")
        )),
        _ => None,
    }
}

/// Separates the thousands of a number, or returns `None` if the text is none.
fn grouped(number: &str) -> Option<String> {
    let number: u64 = number.parse().ok()?;
    let digits = number.to_string();
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    Some(text)
}
