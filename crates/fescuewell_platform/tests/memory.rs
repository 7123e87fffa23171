//! Tests of the in-memory services and their fault injection.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::platform::{InstanceList as _, Listing, ObjectStore as _, Role, State};
use fescuewell_core::table::{Error, Outcome, Range, Reply, Step, Table as _, Transaction};
use fescuewell_core::time::ManualClock;
use fescuewell_platform::{Worker, memory};

fn insert(key: &str) -> Transaction {
    Transaction::default()
        .with_compare(key, 0)
        .with_put(key, *b"content")
}

fn listing(name: &str, state: State) -> Listing {
    Listing {
        name: name.into(),
        role: Role::Engine,
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".into(),
        state,
    }
}

#[test]
fn a_conflict_shows_the_compared_rows_and_writes_nothing() {
    let table = memory::Table::default();
    table.commit(&insert("a")).unwrap();
    let conflicting = insert("a").with_compare("absent", 0).with_put("b", *b"2");

    let outcome = table.commit(&conflicting).unwrap();

    let Outcome::Conflict { rows } = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!(rows, table.rows());
    assert_eq!(rows.len(), 1);
}

#[test]
fn all_rows_of_a_transaction_share_one_revision_that_rises() {
    let table = memory::Table::default();
    table.commit(&insert("a")).unwrap();
    let both = Transaction::default()
        .with_compare("a", 1)
        .with_put("a", *b"2")
        .with_put("b", *b"2");

    let outcome = table.commit(&both).unwrap();

    assert_eq!(outcome, Outcome::Committed { revision: 2 });
    assert!(table.rows().iter().all(|row| row.revision == 2));
}

#[test]
fn a_scan_stays_within_prefix_limit_and_start() {
    let table = memory::Table::default();
    for key in ["budget/a", "budget/b", "budget/c", "budgets", "slot/1"] {
        table.commit(&insert(key)).unwrap();
    }
    let page = Range {
        after: Some("budget/a".into()),
        limit: 1,
        ..Range::prefix("budget/")
    };

    let all = table.scan(&Range::prefix("budget/")).unwrap();
    let second = table.scan(&page).unwrap();

    assert_eq!(all.len(), 3);
    assert_eq!(second.len(), 1);
    assert_eq!(&*second[0].key, "budget/b");
}

// Guards against withdrawing a group's money twice: a withdrawal is committed, its reply is lost, and
// the instance assumes that nothing was written and withdraws again. A lost reply proves neither.
#[test]
fn a_lost_reply_took_effect_and_a_lost_request_did_not() {
    let table = memory::Table::default();
    table.fault().lose_next_replies(1);

    let reply_lost = table.commit(&insert("a"));
    table.fault().lose_next_requests(1);
    let request_lost = table.commit(&insert("b"));

    assert!(matches!(reply_lost, Err(Error::Unknown { .. })));
    assert!(matches!(request_lost, Err(Error::Unknown { .. })));
    assert!(table.read("a").unwrap().is_some());
    assert!(table.read("b").unwrap().is_none());
}

// Models writes that fail after a restart because all instances write at once: the service limits
// writes per second and rejects the excess without applying it.
#[test]
fn writes_beyond_the_limit_are_refused_until_time_passes() {
    let clock = ManualClock::default();
    let table = memory::Table::default();
    table
        .fault()
        .set_writes_per_second(2, Arc::new(clock.clone()));
    table.commit(&insert("a")).unwrap();
    table.commit(&insert("b")).unwrap();

    let refused = table.commit(&insert("c"));
    clock.advance(Duration::from_millis(500));
    let accepted = table.commit(&insert("c"));

    assert_eq!(refused, Err(Error::Busy));
    assert!(accepted.is_ok());
    assert_eq!(table.commit(&insert("d")), Err(Error::Busy));
    let counters = table.fault().counters();
    assert_eq!(
        (counters.transactions, counters.writes, counters.busy),
        (5, 3, 2)
    );
}

// Models a long outage (such as an hour without replies) after which the service returns: calls fail
// during the outage, and data written before it must be kept.
#[test]
fn an_outage_refuses_everything_and_loses_nothing() {
    let table = memory::Table::default();
    let objects = memory::Objects::default();
    table.commit(&insert("a")).unwrap();
    objects.put("x", b"1").unwrap();

    table.fault().set_down(true);
    objects.fault().set_down(true);
    let refused = table.commit(&insert("b"));
    let read = table.read("a");
    let object = objects.get("x");
    table.fault().set_down(false);
    objects.fault().set_down(false);

    assert!(matches!(refused, Err(Error::Unreachable { .. })));
    assert!(matches!(read, Err(Error::Unreachable { .. })));
    assert!(object.is_err());
    assert!(table.read("a").unwrap().is_some());
    assert!(table.read("b").unwrap().is_none());
    assert_eq!(objects.get("x").unwrap().as_deref(), Some(&b"1"[..]));
}

// Models work sent to a backend server that has left: the instance list lags behind, so it still
// shows the server as live for a while.
#[test]
fn changes_of_a_lagging_list_are_seen_late_and_in_order() {
    let clock = ManualClock::default();
    let list = memory::Instances::default();
    list.put(listing("engine-1", State::Live));
    list.set_lag(Duration::from_secs(3), Arc::new(clock.clone()));

    assert!(list.set_state("engine-1", State::Leaving));
    clock.advance(Duration::from_secs(2));
    let early = list.list().unwrap();
    assert!(list.set_state("engine-1", State::Terminated));
    clock.advance(Duration::from_secs(1));
    let late = list.list().unwrap();

    assert_eq!(early, [listing("engine-1", State::Live)]);
    assert_eq!(late, [listing("engine-1", State::Leaving)]);
    assert_eq!(list.actual(), [listing("engine-1", State::Terminated)]);
    assert!(!list.set_state("engine-2", State::Leaving));
}

#[test]
fn a_worker_answers_in_order_and_ends_with_its_ring() {
    let table = memory::Table::default();
    let (steps, inbox) = flume::bounded(8);
    let (replies, outbox) = flume::bounded(8);
    let on_reply = move |tag: u32, reply| replies.send((tag, reply)).is_ok();
    let worker =
        Worker::start("table", Arc::new(table.clone()), inbox, Box::new(on_reply)).unwrap();

    steps.send((1, Step::Commit(insert("a")))).unwrap();
    let keys = vec!["a".into(), "absent".into()];
    steps.send((2, Step::Read { keys })).unwrap();
    drop(steps);
    worker.join();

    let (tag, reply) = outbox.recv().unwrap();
    assert_eq!(tag, 1);
    assert_eq!(reply, Reply::Outcome(Outcome::Committed { revision: 1 }));
    assert_eq!(outbox.recv().unwrap(), (2, Reply::Rows(table.rows())));
    assert!(outbox.recv().is_err());
}
