//! Relaying changes of the server list between instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_forward::config::Lag;
use fescuewell_forward::relay::{Cursor, DIGEST_TIMEOUT_MS, Digest, Head, History, Outbox, Query};
use fescuewell_forward::server::{Change, Entry, Registry, State, Update};
use proptest::prelude::*;

/// Offset of the store's clock from the local clock in milliseconds.
const STORE_MS: u64 = 1_000_000;

fn entry(id: &str, state: State) -> Entry {
    Entry {
        id: id.into(),
        started_at_ms: Some(1),
        service: "pool".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        cold_left_ms: 0,
        version: None,
        state,
    }
}

fn row(id: &str, version: u64, state: State) -> Update {
    Update {
        id: id.into(),
        version,
        change: Change::Entry(entry(id, state)),
    }
}

/// An instance with its registry and its position in the list.
#[derive(Default)]
struct Instance {
    registry: Registry,
    cursor: Cursor,
    lag: Lag,
    outbox: Outbox,
    history: History,
}

impl Instance {
    /// Returns an instance that has read the whole list, with one server, at version 10.
    fn started() -> Self {
        let mut instance = Self::default();
        instance
            .registry
            .apply_snapshot(10, vec![row("one", 9, State::Ready)], 0);
        instance.cursor.advance(10, 0);
        instance.outbox.restart(10);
        instance.history.restart(10);
        instance
    }

    /// Reads the changes up to a version.
    fn read(&mut self, rows: &[Update], version: u64, now_ms: u64) {
        let after = self.cursor.version();
        let mut changes = Vec::new();
        for row in rows {
            if self.registry.is_change(row, now_ms) {
                changes.push(row.clone());
            }
            self.registry.apply(row.clone(), now_ms);
        }
        self.history.add(changes.clone(), after, version);
        self.outbox.add(changes, after, version, now_ms);
        self.cursor.advance(version, now_ms);
    }

    /// Reads the whole list as of a version, to correct what polls have missed.
    fn read_all(&mut self, rows: &[Update], version: u64, now_ms: u64) {
        let known = self.cursor.version();
        let corrections = self.registry.corrections(known, version, rows, now_ms);
        if !corrections.is_empty() {
            self.history.restart(known);
        }
        self.outbox.add(corrections.clone(), known, known, now_ms);
        for row in corrections {
            self.registry.apply(row, now_ms);
        }
    }

    fn digest(&self, now_ms: u64) -> Digest {
        self.outbox.digest(
            "reader".into(),
            STORE_MS + now_ms,
            3,
            self.registry.zones().orders(),
        )
    }

    /// Answers a query of an instance that knows the list up to a version.
    fn answer(&mut self, after: u64, now_ms: u64) -> Vec<Digest> {
        let age_ms = self.cursor.age_ms(now_ms).unwrap();
        let head = Head {
            instance: "other".into(),
            as_of_ms: STORE_MS + now_ms - age_ms,
            configuration: 3,
            evacuations: Vec::new(),
        };
        self.history.answer(Query { after }, &head, now_ms)
    }

    fn receive(&mut self, digest: &Digest, now_ms: u64) -> bool {
        self.lag.report(digest.configuration, now_ms);
        let is_applied = self.cursor.check(digest, STORE_MS + now_ms).is_ok();
        if is_applied {
            for row in &digest.rows {
                self.registry.apply(row.clone(), now_ms);
            }
            let rows = digest.rows.iter().cloned();
            self.history.add(rows, digest.after, digest.until);
            let as_of_ms = digest.at_ms.saturating_sub(STORE_MS).min(now_ms);
            self.cursor.finish(digest, as_of_ms);
        }
        is_applied
    }
}

/// Guards against followers that learn late of a draining server. When each of 300 instances read
/// the list of 3,000 servers itself, they had to read it so rarely that a server received a request
/// 5,010 ms after it was draining (limit 4,900 ms).
#[test]
fn a_follower_hears_of_a_leaving_server() {
    let mut reader = Instance::started();
    let mut follower = Instance::started();

    reader.read(&[row("one", 12, State::Draining)], 14, 100);
    let is_applied = follower.receive(&reader.digest(100), 101);

    assert!(is_applied);
    assert!(!follower.registry.is_ready("one", 101));
    assert_eq!(follower.cursor.version(), 14);
    assert_eq!(follower.lag.reported(), 3);
}

#[test]
fn a_change_outlives_the_loss_of_its_first_digests() {
    let mut reader = Instance::started();
    let mut follower = Instance::started();

    reader.read(&[row("one", 12, State::Draining)], 14, 100);
    for step in 1..5 {
        reader.read(&[], 14 + step, 100 + step * 300);
    }
    let is_applied = follower.receive(&reader.digest(1_300), 1_301);

    assert!(is_applied);
    assert!(!follower.registry.is_ready("one", 1_301));
}

/// Guards against using a removed server until the list is read again: if all digests of three
/// seconds are lost, the next one no longer contains the change and must be rejected.
#[test]
fn a_gap_is_noticed() {
    let mut reader = Instance::started();
    let mut follower = Instance::started();

    reader.read(&[row("one", 12, State::Draining)], 14, 100);
    reader.read(&[], 30, 3_000);
    let is_applied = follower.receive(&reader.digest(3_000), 3_001);

    assert!(!is_applied);
    assert!(!follower.cursor.is_following(3_001));
    assert_eq!(follower.cursor.version(), 10);
}

/// Guards against using a draining server again because an old digest, of a frozen reader or
/// delayed in a full link, arrives after newer ones.
#[test]
fn an_old_digest_brings_no_server_back() {
    let mut reader = Instance::started();
    let mut follower = Instance::started();
    reader.read(&[row("two", 11, State::Ready)], 12, 50);
    let old = reader.digest(50);

    reader.read(&[row("two", 13, State::Draining)], 14, 100);
    follower.receive(&reader.digest(100), 101);
    let again = follower.receive(&old, 102);
    follower.receive(&reader.digest(100), 1_200);

    assert!(!again);
    assert!(!follower.cursor.is_following(1_200));
    assert_eq!(follower.cursor.age_ms(1_200), Some(1_100));
    assert!(!follower.registry.is_ready("two", 1_200));
}

#[test]
fn a_follower_reads_by_itself_when_readers_fall_silent() {
    let mut reader = Instance::started();
    let mut follower = Instance::started();

    reader.read(&[], 14, 100);
    follower.receive(&reader.digest(100), 100);

    assert!(follower.cursor.is_following(100 + DIGEST_TIMEOUT_MS - 1));
    assert!(!follower.cursor.is_following(100 + DIGEST_TIMEOUT_MS));
}

/// Guards against followers that keep using a server which reported to one reader that it is
/// draining (`Connection: close` in a response): the update of the list then is no change for that
/// reader.
#[test]
fn what_a_server_told_the_reader_alone_is_passed_on() {
    let mut reader = Instance::started();
    let mut follower = Instance::started();
    reader.registry.mark_draining("one");

    reader.read(&[row("one", 12, State::Draining)], 14, 100);
    follower.receive(&reader.digest(100), 101);

    assert!(!follower.registry.is_ready("one", 101));
}

#[test]
fn heartbeats_are_not_passed_on() {
    let mut reader = Instance::started();

    reader.read(&[row("one", 12, State::Ready)], 14, 100);

    assert!(reader.digest(100).rows.is_empty());
}

/// Guards against followers that reject all digests for a second after each full read of a reader.
#[test]
fn a_full_read_of_a_reader_leaves_no_gap() {
    let mut reader = Instance::started();
    let mut follower = Instance::started();

    reader.read_all(&[row("one", 12, State::Draining)], 16, 100);
    reader.read(&[row("one", 12, State::Draining)], 18, 200);
    let is_applied = follower.receive(&reader.digest(200), 201);

    assert!(is_applied);
    assert!(!follower.registry.is_ready("one", 201));
}

/// Guards against a server that followers go on using because a poll of the reader missed that it
/// had left.
#[test]
fn what_a_full_read_corrects_is_passed_on() {
    let mut reader = Instance::started();
    let mut follower = Instance::started();

    reader.read(&[], 14, 100);
    reader.read_all(&[], 16, 200);
    let is_applied = follower.receive(&reader.digest(200), 201);

    assert!(is_applied);
    assert!(!reader.registry.is_known("one"));
    assert!(!follower.registry.is_known("one"));
}

/// Guards against an instance behind a full link that never learns of a leaving server, since each
/// digest reaches it more than a second late.
#[test]
fn a_late_digest_is_applied_and_the_list_is_as_old_as_it() {
    let mut reader = Instance::started();
    let mut follower = Instance::started();

    reader.read(&[row("one", 12, State::Draining)], 14, 100);
    let is_applied = follower.receive(&reader.digest(100), 2_600);

    assert!(is_applied);
    assert!(!follower.registry.is_ready("one", 2_600));
    assert_eq!(follower.cursor.age_ms(2_600), Some(2_500));
    assert!(!follower.cursor.is_following(2_600));
}

/// Guards against an instance that trusts an old list while others have a newer one, and against one
/// that distrusts all servers while the store is away from every instance.
#[test]
fn an_old_list_is_doubtful_unless_no_other_instance_has_a_newer_one() {
    let mut instance = Instance::started();
    instance.cursor.advance(10, 10_000);

    let fresh = instance.cursor.is_doubtful(11_000);
    let alone = instance.cursor.is_doubtful(13_000);
    instance.cursor.hear(10_100, 13_000);
    let all_old = instance.cursor.is_doubtful(13_100);
    instance.cursor.hear(12_900, 13_200);
    let others_newer = instance.cursor.is_doubtful(13_300);
    instance.cursor.advance(10, 12_900);
    let caught_up = instance.cursor.is_doubtful(13_300);

    assert_eq!(
        (fresh, alone, all_old, others_newer, caught_up),
        (false, true, false, true, false)
    );
}

/// Step of a model with three servers, two readers and a follower.
#[derive(Debug, Clone)]
enum Step {
    Write(usize, Option<State>),
    Read(usize),
    ReadAll(usize),
    Send(usize),
    Deliver(usize),
    /// The follower asks a reader for changes; the answer is kept like a digest.
    Ask(usize),
    /// A reader asks the follower.
    AskFollower(usize),
    /// A reader receives a digest from an instance that considers it a follower.
    Misdirect(usize, usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let written = prop_oneof![
        Just(Some(State::Ready)),
        Just(Some(State::Draining)),
        Just(None)
    ];
    prop_oneof![
        4 => (0usize..3, written).prop_map(|(server, written)| Step::Write(server, written)),
        6 => (0usize..2).prop_map(Step::Read),
        1 => (0usize..2).prop_map(Step::ReadAll),
        6 => (0usize..2).prop_map(Step::Send),
        6 => (0usize..6).prop_map(Step::Deliver),
        2 => (0usize..2, 0usize..6).prop_map(|(who, which)| Step::Misdirect(who, which)),
        3 => (0usize..2).prop_map(Step::Ask),
        2 => (0usize..2).prop_map(Step::AskFollower),
        2 => (1u64..900).prop_map(Step::Advance),
    ]
}

/// Rows as written, and the version of the store.
#[derive(Default)]
struct Store {
    version: u64,
    feed: Vec<Update>,
}

impl Store {
    fn write(&mut self, server: usize, written: Option<State>) {
        self.version += 1;
        let id: Arc<str> = format!("server-{server}").into();
        let change = match written {
            Some(state) => Change::Entry(entry(&id, state)),
            None => Change::Removed,
        };
        self.feed.push(Update {
            id,
            version: self.version,
            change,
        });
    }

    fn after(&self, version: u64) -> Vec<Update> {
        let rows = self.feed.iter().filter(|row| row.version > version);
        rows.cloned().collect()
    }

    /// Returns `true` if a server is listed as ready as of a version.
    fn is_ready(&self, id: &str, version: u64) -> bool {
        let mut rows = self.feed.iter().filter(|row| row.version <= version);
        let last = rows.rfind(|row| &*row.id == id);
        last.is_some_and(
            |row| matches!(&row.change, Change::Entry(entry) if entry.state == State::Ready),
        )
    }

    /// Returns the last row of each server that is listed as of a version.
    fn listed(&self, version: u64) -> Vec<Update> {
        let mut last: BTreeMap<Arc<str>, Update> = BTreeMap::new();
        for row in self.feed.iter().filter(|row| row.version <= version) {
            last.insert(row.id.clone(), row.clone());
        }
        let rows = last.into_values();
        rows.filter(|row| row.change != Change::Removed).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(21), ..ProptestConfig::default() })]

    /// Guards against a follower that lacks changes up to its version, in any sequence of writes,
    /// reads, snapshots, and digests of two readers that are lost, late, reordered or repeated.
    #[test]
    fn a_follower_knows_the_list_as_of_its_version(steps in prop::collection::vec(step(), 1..200)) {
        let mut store = Store { version: 10, ..Store::default() };
        let mut readers = [Instance::default(), Instance::default()];
        let mut follower = Instance::default();
        for instance in readers.iter_mut().chain([&mut follower]) {
            instance.registry.apply_snapshot(10, Vec::new(), 0);
            instance.cursor.advance(10, 0);
            instance.outbox.restart(10);
            instance.history.restart(10);
        }
        let mut sent: Vec<Digest> = Vec::new();
        let mut now_ms = 0;
        let mut is_corrected = false;
        for step in steps {
            match step {
                Step::Write(server, written) => store.write(server, written),
                Step::Read(who) => {
                    let rows = store.after(readers[who].cursor.version());
                    readers[who].read(&rows, store.version, now_ms);
                }
                Step::ReadAll(who) => {
                    let rows = store.listed(store.version);
                    readers[who].read_all(&rows, store.version, now_ms);
                    is_corrected = true;
                }
                Step::Send(who) => sent.push(readers[who].digest(now_ms)),
                Step::Deliver(which) => {
                    let digest = sent.len().checked_sub(1 + which).map(|at| sent[at].clone());
                    if let Some(digest) = digest {
                        follower.receive(&digest, now_ms);
                    }
                }
                Step::Ask(who) => {
                    let answer = readers[who].answer(follower.cursor.version(), now_ms);
                    sent.extend(answer);
                }
                Step::AskFollower(who) => {
                    let answer = follower.answer(readers[who].cursor.version(), now_ms);
                    for digest in answer {
                        readers[who].receive(&digest, now_ms);
                    }
                }
                Step::Misdirect(who, which) => {
                    let digest = sent.len().checked_sub(1 + which).map(|at| sent[at].clone());
                    if let Some(digest) = digest {
                        readers[who].receive(&digest, now_ms);
                    }
                }
                Step::Advance(ms) => now_ms += ms,
            }
            // Corrections may be newer than the version of the follower, never older.
            let known = follower.cursor.version();
            let newest = if is_corrected { store.version } else { known };
            for server in 0..3 {
                let id: Arc<str> = format!("server-{server}").into();
                let is_ready = follower.registry.is_ready(&id, now_ms);
                let is_listed = |version| store.is_ready(&id, version) == is_ready;
                prop_assert!((known..=newest).any(is_listed), "{} at {}", id, known);
            }
        }
    }
}

/// Guards against followers that all read the list when many servers change at once: a release of
/// 300 servers does not fit a digest.
#[test]
fn more_changes_than_fit_a_digest_follow_without_a_gap() {
    const CHANGES: u64 = 300;
    let mut reader = Instance::started();
    let mut follower = Instance::started();
    let rows: Vec<Update> = (0..CHANGES)
        .map(|number| row(&format!("new-{number}"), 11 + number, State::Ready))
        .collect();

    reader.read(&rows, 11 + CHANGES, 100);
    let overflow = reader
        .outbox
        .take_overflow(&"reader".into(), STORE_MS + 100, 3);
    let largest = overflow.iter().map(|digest| digest.rows.len()).max();
    for digest in &overflow {
        assert!(follower.receive(digest, 101));
    }
    let is_applied = follower.receive(&reader.digest(100), 102);

    assert!(is_applied);
    assert_eq!(follower.registry.count(), 1 + CHANGES as usize);
    assert!(largest <= Some(14), "{largest:?}");
    assert!(
        reader
            .outbox
            .take_overflow(&"reader".into(), STORE_MS, 3)
            .is_empty()
    );
}

/// Guards against a lost part of many changes that nobody notices.
#[test]
fn a_lost_digest_of_many_changes_leaves_a_gap() {
    let mut reader = Instance::started();
    let mut follower = Instance::started();
    let rows: Vec<Update> = (0..100)
        .map(|number| row(&format!("new-{number}"), 11 + number, State::Ready))
        .collect();

    reader.read(&rows, 120, 100);
    let overflow = reader
        .outbox
        .take_overflow(&"reader".into(), STORE_MS + 100, 3);
    follower.receive(&overflow[0], 101);
    let is_applied = overflow[2..]
        .iter()
        .any(|digest| follower.receive(digest, 101));

    assert!(!is_applied);
    assert!(!follower.receive(&reader.digest(100), 102));
}
