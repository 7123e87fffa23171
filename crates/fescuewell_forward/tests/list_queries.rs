//! Queries of instances whose list of servers is old, and the answers of others.

use std::sync::Arc;

use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::relay::{
    ASKED, Cursor, Digest, Head, History, QUERY_AGE_MS, Query, Rejection,
};
use fescuewell_forward::server::{Change, Entry, State, Update};

/// Bytes a second that an instance may use for control traffic; see docs/CAPACITY.md.
const MAX_BYTES_S: usize = 4_096;

fn row(number: u64) -> Update {
    let id: Arc<str> = format!("i-{number:010x}").into();
    Update {
        id: id.clone(),
        version: number,
        change: Change::Entry(Entry {
            id,
            started_at_ms: Some(1_700_000_000_000),
            service: "formula-llm".into(),
            address: "10.1.64.32:8365".parse().unwrap(),
            zone: "casa-a".into(),
            slots: 48,
            cold_left_ms: 0,
            version: Some("v1".into()),
            state: State::Draining,
        }),
    }
}

fn head(as_of_ms: u64) -> Head {
    Head {
        instance: "front-casa-a-1".into(),
        as_of_ms,
        configuration: 88,
        evacuations: Vec::new(),
    }
}

/// An instance that knows the changes after version 10 up to `until`.
fn history(until: u64) -> History {
    let mut history = History::default();
    history.restart(10);
    history.add((11..=until).map(row), 10, until);
    history
}

fn versions(digests: &[Digest]) -> Vec<u64> {
    let rows = digests.iter().flat_map(|digest| &digest.rows);
    rows.map(|row| row.version).collect()
}

#[test]
fn an_answer_has_what_the_asking_instance_lacks() {
    let mut history = history(50);

    let digests = history.answer(Query { after: 20 }, &head(7), 0);

    assert_eq!(versions(&digests), (21..=50).collect::<Vec<u64>>());
    let mut cursor = Cursor::default();
    cursor.advance(20, 0);
    for digest in &digests {
        assert_eq!(cursor.check(digest, 7), Ok(()));
        cursor.finish(digest, 0);
    }
    assert_eq!(cursor.version(), 50);
}

/// Guards against an instance that takes its list for old while nothing changes.
#[test]
fn an_answer_without_changes_tells_how_current_the_list_is() {
    let mut history = history(50);

    let digests = history.answer(Query { after: 50 }, &head(7), 0);

    assert_eq!(digests.len(), 1);
    assert_eq!((digests[0].until, digests[0].at_ms), (50, 7));
}

/// Guards against a part of many changes that passes for all of them.
#[test]
fn an_answer_with_some_of_the_changes_ends_at_the_last_of_them() {
    let mut history = history(200);

    let digests = history.answer(Query { after: 10 }, &head(7), 0);

    let last = versions(&digests).last().copied();
    assert_eq!(digests.last().map(|digest| digest.until), last);
    assert!(last < Some(200));
}

/// Guards against an instance that misses changes which others no longer keep.
#[test]
fn changes_that_are_no_longer_kept_leave_a_gap() {
    let mut history = history(2_000);

    let digests = history.answer(Query { after: 20 }, &head(7), 0);

    let mut cursor = Cursor::default();
    cursor.advance(20, 0);
    assert_eq!(cursor.check(&digests[0], 7), Err(Rejection::Gap));
}

/// Guards against an instance with an old list that spoils those of others.
#[test]
fn the_answer_of_an_instance_that_is_further_behind_changes_nothing() {
    let mut history = history(50);

    let digests = history.answer(Query { after: 80 }, &head(7), 0);

    let mut cursor = Cursor::default();
    cursor.advance(80, 0);
    assert_eq!(digests.len(), 1);
    assert_eq!(cursor.check(&digests[0], 7), Err(Rejection::Outdated));
}

/// Counts what is sent in a fleet of which a third cannot read the list, while servers change ten
/// times a second: queries and answers at an instance that is behind and at one that answers.
#[test]
fn queries_and_answers_stay_within_the_bandwidth_of_an_instance() {
    const SECONDS: u64 = 60;
    const CHANGES_S: u64 = 10;
    let key = Key::new([7; 32]);
    let size = |message: &Message| key.seal(message).len();
    let query = size(&Message::ListQuery(Query { after: 1 << 30 }));
    for instances in [9u64, 100, 985] {
        let behind = instances / 3;
        // In a large fleet only the members of the summary are known.
        let known = (instances - behind).min(64);
        let mut history = history(10);
        let (mut answered, mut sent) = (0, 0);
        for step in 0..SECONDS * 1_000 / QUERY_AGE_MS {
            let now_ms = step * QUERY_AGE_MS;
            let after = 10 + step * CHANGES_S * QUERY_AGE_MS / 1_000;
            let until = 10 + (step + 1) * CHANGES_S * QUERY_AGE_MS / 1_000;
            history.add((after + 1..=until).map(row), after, until);
            let queries = (behind * ASKED as u64).div_ceil(known);
            for _ in 0..queries {
                let digests = history.answer(Query { after }, &head(0), now_ms);
                answered += u64::from(!digests.is_empty());
                let digests = digests.into_iter();
                sent += digests
                    .map(|digest| size(&Message::Digest(digest)))
                    .sum::<usize>();
            }
        }
        let steps = (SECONDS * 1_000 / QUERY_AGE_MS) as usize;
        let answer = sent / answered.max(1) as usize;
        let asking = steps * ASKED * (query + answer) / SECONDS as usize;
        let answering = sent / SECONDS as usize;
        println!(
            "{instances} instances: {asking} B/s at one that asks, {answering} B/s at one that answers"
        );
        assert!(asking < MAX_BYTES_S, "{asking} B/s at {instances}");
        assert!(
            answering < 2 * MAX_BYTES_S,
            "{answering} B/s at {instances}"
        );
    }
}
