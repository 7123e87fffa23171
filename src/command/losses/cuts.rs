//! Report of the streams that ended before their last event, and of the backend servers that were silent together.

use std::collections::BTreeMap;

use super::{number_field, parse_time_ms};
use crate::command::lines::Line;

/// Age of the configuration in force below which a cut counts as one beside a change of it.
const CHANGE_MS: u64 = 3_000;
/// Silence from which a server counts as silent when its stream ends for another cause.
const MIN_SILENCE_MS: u64 = 500;
/// Maximum number of servers printed.
const MAX_PRINTED: usize = 8;

/// Number of cut streams.
#[derive(Default)]
struct Cut {
    all: u64,
    /// Those beside a change of the configuration.
    changed: u64,
}

impl Cut {
    fn add(&mut self, line: &Line) {
        let age = line.field("configuration_age_ms").parse::<u64>();
        self.all += 1;
        self.changed += u64::from(age.is_ok_and(|age| age < CHANGE_MS));
    }
}

/// Prints how many streams were cut, by whom and why, how many of them soon after a change of the configuration,
/// and the servers that were silent at the same time.
pub(super) fn print(lines: &[Line]) {
    let mut total = Cut::default();
    let mut kinds: BTreeMap<[&str; 3], Cut> = BTreeMap::new();
    for line in lines {
        if line.title() != "stream.cut" {
            continue;
        }
        total.add(line);
        let kind = ["by", "cause", "then"].map(|field| line.field(field));
        kinds.entry(kind).or_default().add(line);
    }
    if total.all > 0 {
        println!(
            "streams cut {}, of them within {} s after a change of the configuration {}",
            total.all,
            CHANGE_MS / 1_000,
            total.changed
        );
    }
    let mut ranked: Vec<_> = kinds.into_iter().collect();
    ranked.sort_by_key(|(kind, cut)| (std::cmp::Reverse(cut.all), *kind));
    for ([by, cause, then], cut) in ranked {
        println!(
            "  by {by}, cause {cause}, then {then} {}, of them after a change {}",
            cut.all, cut.changed
        );
    }
    let silent = silent_together(lines);
    if silent.len() > 1 {
        let names: Vec<&str> = silent.iter().take(MAX_PRINTED).copied().collect();
        println!(
            "servers silent at the same time {}: {}",
            silent.len(),
            names.join(" ")
        );
    }
}

/// Returns the most servers that were silent at one moment.
fn silent_together(lines: &[Line]) -> Vec<&str> {
    // Moments at which a server's silence begins (`true`) or ends. An end at the moment of a beginning comes first.
    let mut moments: Vec<(u64, bool, &str)> = Vec::new();
    for line in lines {
        let silent_ms = number_field(line, "silent_ms");
        let is_silence = match line.title() {
            "attempt.silent" | "attempt.overtaken" => silent_ms > 0,
            "stream.cut" => silent_ms >= MIN_SILENCE_MS,
            _ => false,
        };
        let Some(end) = parse_time_ms(&line.time).filter(|_| is_silence) else {
            continue;
        };
        let server = line.field("server");
        moments.push((end.saturating_sub(silent_ms), true, server));
        moments.push((end, false, server));
    }
    moments.sort_unstable();
    let mut silent: BTreeMap<&str, u64> = BTreeMap::new();
    let mut most = Vec::new();
    for (_, begins, server) in moments {
        if begins {
            *silent.entry(server).or_default() += 1;
        } else if let Some(count) = silent.get_mut(server) {
            *count -= 1;
        }
        silent.retain(|_, count| *count > 0);
        if silent.len() > most.len() {
            most = silent.keys().copied().collect();
        }
    }
    most
}
