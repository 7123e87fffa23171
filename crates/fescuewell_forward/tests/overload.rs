//! Callers that ask for more prompts than the engines read, in virtual time.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_forward::choice::{Load, Query, pick};
use fescuewell_forward::forecast::Forecast;
use fescuewell_forward::health::Health;
use fescuewell_forward::server::{Entry, State};

/// Tokens that a server reads in a millisecond.
const SPEED: u64 = 50;
/// Tokens of each prompt, of which a server reads so many a second: eight.
const PROMPT: u64 = 6_000;
/// Time within which a first event has its full value, in milliseconds.
const TARGET_MS: u64 = 600;
/// Time after which a caller leaves without a first event, in milliseconds.
const LEAVES_MS: u64 = 2_400;
const SERVERS: usize = 6;
const SECONDS: u64 = 10;

/// A server that reads one prompt after the other.
#[derive(Default)]
struct Server {
    queue: VecDeque<(u64, u64)>,
    free_at_ms: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    asked: u64,
    in_time: u64,
    refused: u64,
    given_up: u64,
}

fn entries() -> Vec<Arc<Entry>> {
    let ids = (0..SERVERS).map(|index| format!("i-{index}"));
    let entries = ids.map(|id| Entry {
        id: id.into(),
        born: None,
        service: "pool".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        slots: 64,
        state: State::Ready,
    });
    entries.map(Arc::new).collect()
}

/// Plays a load of so many prompts a second on all servers together; without `decides` everything is sent.
fn play(each_second: u64, decides: bool) -> Outcome {
    let entries = entries();
    let service: Arc<str> = "pool".into();
    let (mut load, health, mut forecast) =
        (Load::default(), Health::default(), Forecast::default());
    let mut servers: Vec<Server> = (0..SERVERS).map(|_| Server::default()).collect();
    let mut outcome = Outcome::default();
    for now_ms in 0..SECONDS * 1_000 + 5_000 {
        for (index, server) in servers.iter_mut().enumerate() {
            while let Some(&(sent_ms, ahead)) = server.queue.front() {
                let ends_ms = server.free_at_ms.max(sent_ms) + PROMPT / SPEED;
                if ends_ms > now_ms {
                    break;
                }
                server.queue.pop_front();
                server.free_at_ms = ends_ms;
                let id = &entries[index].id;
                load.read(id, PROMPT);
                load.end(id);
                let took_ms = ends_ms - sent_ms;
                forecast.observe(&service, ahead, took_ms as f64, now_ms);
                outcome.in_time += u64::from(took_ms <= TARGET_MS);
                outcome.given_up += u64::from(took_ms > LEAVES_MS);
            }
        }
        let is_due = now_ms < SECONDS * 1_000 && (now_ms * each_second) % 1_000 < each_second;
        if !is_due {
            continue;
        }
        outcome.asked += 1;
        let candidates: Vec<&Arc<Entry>> = entries.iter().collect();
        let part = format!("part-{now_ms}");
        let query = Query {
            affinity: Some(&part),
            shared_tokens: 2_000,
            zone: "a",
            draw: now_ms,
        };
        let chosen = pick(&candidates, &query, &load, &health, now_ms)
            .unwrap()
            .clone();
        let ahead = load.unread(&chosen.id) + PROMPT;
        let target = Duration::from_millis(TARGET_MS);
        let come_back = forecast.come_back(&service, ahead, target, now_ms);
        if decides && come_back.is_some() {
            outcome.refused += 1;
            continue;
        }
        load.begin(&chosen.id, PROMPT);
        let index = entries
            .iter()
            .position(|entry| entry.id == chosen.id)
            .unwrap();
        servers[index].queue.push_back((now_ms, ahead));
    }
    // What still waits has been waited for too long.
    let waiting = servers.iter().map(|server| server.queue.len() as u64);
    outcome.given_up += waiting.sum::<u64>();
    outcome
}

/// Symptom: at three times what the engines read nearly all answers were late, and prompts were read for callers that had left.
/// Sequence: prompts come at three times the speed at which they are read, for ten seconds. Cause: every request was sent,
/// however much waited at its server.
#[test]
fn at_three_times_the_load_what_is_sent_is_answered() {
    let capacity = SERVERS as u64 * SPEED * 1_000 / PROMPT;

    let sent_all = play(capacity * 3, false);
    let decided = play(capacity * 3, true);

    assert!(sent_all.given_up > sent_all.asked / 2, "{sent_all:?}");
    assert_eq!(decided.given_up, 0, "{decided:?}");
    assert!(decided.refused > decided.asked / 2, "{decided:?}");
}

#[test]
fn what_the_engines_can_read_is_never_refused() {
    let capacity = SERVERS as u64 * SPEED * 1_000 / PROMPT;

    let outcome = play(capacity * 8 / 10, true);

    assert_eq!(outcome.refused, 0, "{outcome:?}");
    assert_eq!(outcome.in_time, outcome.asked, "{outcome:?}");
}

#[test]
fn what_is_not_known_is_sent() {
    let forecast = Forecast::default();

    let come_back = forecast.come_back("pool", 1_000_000, Duration::from_millis(1), 0);

    assert_eq!(come_back, None);
}

#[test]
fn an_old_observation_refuses_nothing() {
    let mut forecast = Forecast::default();
    forecast.observe(&"pool".into(), 50_000, 5_000.0, 0);

    let early = forecast.come_back("pool", 50_000, Duration::from_millis(600), 4_000);
    let late = forecast.come_back("pool", 50_000, Duration::from_millis(600), 60_000);

    assert_eq!(early, Some(Duration::from_millis(4_400)));
    assert_eq!(late, None);
}
