//! The promises, as callers and backend servers see them.

use std::collections::HashMap;

use fescuewell::standin::worker::{EVENTS, Run};

use crate::caller::{Kind, Note, PROMPT};
use crate::poison;

/// Output tokens of one event, as the configuration says.
const TOKENS_PER_EVENT: u64 = 7;

/// Every broken promise, in words.
pub fn broken(notes: &[Note], runs: &[Vec<Run>], prepaid: u64) -> Vec<String> {
    let mut count: HashMap<&str, usize> = HashMap::new();
    for run in runs.iter().flatten() {
        *count.entry(&run.id).or_default() += 1;
    }
    let mut broken = Vec::new();
    for note in notes {
        let ran = count.get(note.id.as_str()).copied().unwrap_or_default();
        broken.extend(fault(note, ran));
    }
    let served = notes.iter().filter(|note| is_success(note)).count();
    if served == 0 {
        broken.push("nothing was served".into());
    }
    let spent = spent(notes, &count);
    if spent > prepaid {
        broken.push(format!("{spent} tokens of {prepaid}"));
    }
    broken
}

fn is_success(note: &Note) -> bool {
    note.answer
        .as_ref()
        .is_some_and(|answer| answer.status == 200)
}

fn fault(note: &Note, ran: usize) -> Option<String> {
    let may_repeat = matches!(note.kind, Kind::Safe | Kind::Stream);
    if !may_repeat && ran > 1 {
        return Some(format!("{} ran {ran} times", note.id));
    }
    let answer = note.answer.as_ref()?;
    if poison::is_quarantined(answer) {
        return Some(format!("{} crashes nothing and is quarantined", note.id));
    }
    let says_not_run = matches!(answer.status, 402 | 408 | 421 | 429 | 503);
    if says_not_run && !may_repeat && ran > 0 {
        return Some(format!(
            "{} was answered {} and ran",
            note.id, answer.status
        ));
    }
    if answer.status != 200 {
        return None;
    }
    let seal = answer
        .header("x-fescuewell-response-seal")
        .unwrap_or_default();
    if !seal.ends_with(&format!(".{}", note.id)) {
        return Some(format!("{} got the seal {seal}", note.id));
    }
    if matches!(note.kind, Kind::Stream | Kind::StreamOnce) {
        let events = answer.events();
        let expected: Vec<u64> = (1..=events.len() as u64).collect();
        let is_cut = answer.is_complete && events.len() as u64 != EVENTS;
        let wrong = events != expected || is_cut;
        return wrong.then(|| {
            format!(
                "{} got the events {events:?}, whole {}",
                note.id, answer.is_complete
            )
        });
    }
    let wrong = answer.is_complete && answer.text() != format!("{} ran", note.id);
    wrong.then(|| format!("{} got {:?}", note.id, answer.text()))
}

/// Tokens that were certainly consumed: prompts that ran, once for each request, and events that came.
fn spent(notes: &[Note], count: &HashMap<&str, usize>) -> u64 {
    let streams = notes.iter();
    let streams = streams.filter(|note| matches!(note.kind, Kind::Stream | Kind::StreamOnce));
    let ran = streams.filter(|note| count.contains_key(note.id.as_str()));
    ran.map(|note| {
        let events = note
            .answer
            .as_ref()
            .map_or(0, |answer| answer.events().len() as u64);
        PROMPT + events * TOKENS_PER_EVENT
    })
    .sum()
}
