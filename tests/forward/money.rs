//! Tests of prepaid tokens through the whole forwarding path.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use fescuewell::forward::quota::row::Ledger;
use fescuewell::standin::rows::Fault;
use fescuewell::standin::worker::{Behaviour, EVENTS, wait_until};

use crate::fixture::{Fixture, GROUP, Request, configuration};

fn stream(id: &str, prompt: u64, output: u64) -> Request {
    Request::new("POST /stream/x", id)
        .with_tokens(prompt, output)
        .with_body(b"")
}

#[test]
fn a_request_costs_its_prompt_and_what_was_delivered() {
    let fixture = Fixture::ready(1, 100_000);

    let response = fixture.send(&stream("r-1", 1_000, 5_000));

    assert_eq!(response.status, 200);
    assert!(wait_until(|| fixture.consumed() == 1_000 + EVENTS * 7));
}

#[test]
fn metrics_show_requests_and_tokens() {
    let fixture = Fixture::ready(1, 100_000);
    fixture.send(&stream("r-1", 1_000, 5_000));
    fixture.send(&stream("r-2", 900_000, 5_000));

    let has_metrics = || {
        let text = fixture.metrics();
        text.contains("outcome=\"whole\"")
            && text.contains("outcome=\"BudgetExhausted\"")
            && text.contains("fescuewell_tokens{account=\"group\",kind=\"prepaid\"")
    };

    assert!(wait_until(has_metrics), "{}", fixture.metrics());
}

#[test]
fn a_request_that_did_not_run_costs_nothing() {
    let fixture = Fixture::ready(1, 100_000);
    fixture.workers[0].next(&[Behaviour::TurnAway]);

    let response = fixture.send(&stream("r-1", 1_000, 5_000));

    assert_eq!(response.status, 503);
    assert!(wait_until(|| fixture.consumed() == 0));
}

/// A caller that disconnects is charged for its prompt and the events it received; the rest of the
/// reservation is released.
#[test]
fn a_caller_that_leaves_after_some_events_pays_for_these() {
    let fixture = Fixture::ready(1, 100_000);
    fixture.workers[0].next(&[Behaviour::Pause(2)]);
    let mut connection = fixture.connect();

    connection
        .write_all(&stream("r-1", 1_000, 5_000).bytes())
        .unwrap();
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains("id: 2") {
        let mut bytes = [0; 256];
        let length = connection.read(&mut bytes).unwrap();
        assert!(length > 0, "the stream ended");
        received.extend_from_slice(&bytes[..length]);
    }
    drop(connection);

    assert!(wait_until(|| fixture.consumed() == 1_000 + 2 * 7));
}

/// A request is charged once its server begins to respond, so a caller that disconnects before that
/// pays nothing.
#[test]
fn a_caller_that_leaves_before_the_first_event_pays_nothing() {
    let fixture = Fixture::ready(1, 100_000);
    fixture.workers[0].next(&[Behaviour::Hang]);
    let mut connection = fixture.connect();

    connection
        .write_all(&stream("r-1", 1_000, 5_000).bytes())
        .unwrap();
    assert!(wait_until(|| fixture.consumed() == 6_000));
    drop(connection);

    assert!(wait_until(|| fixture.consumed() == 0));
}

#[test]
fn what_is_left_does_not_cover_a_large_request() {
    let fixture = Fixture::ready(1, 10_000);

    let large = fixture.send(&stream("r-1", 9_000, 2_000));
    let small = fixture.send(&stream("r-2", 1_000, 100));

    assert_eq!(large.status, 402);
    assert_eq!(small.status, 200);
    assert_eq!(fixture.runs("r-1"), 0);
}

#[test]
fn a_top_up_is_used_at_once() {
    let fixture = Fixture::ready(1, 10_000);
    assert_eq!(fixture.send(&stream("r-1", 20_000, 100)).status, 402);

    fixture.configure(&configuration(2, 50_000));

    assert!(wait_until(|| fixture.version() == 2));
    assert!(wait_until(|| fixture
        .send(&stream("r-2", 20_000, 100))
        .status
        == 200));
}

/// Guards against an account that gets its total twice: the process is killed with most of it spent
/// and restarted, and the count of spent tokens is kept only in memory.
#[test]
fn a_restart_remembers_what_was_spent() {
    let mut fixture = Fixture::ready(1, 10_000);
    assert_eq!(fixture.send(&stream("r-1", 8_000, 100)).status, 200);

    fixture.kill();
    fixture.start();
    fixture.wait_ready();

    assert_eq!(fixture.send(&stream("r-2", 8_000, 100)).status, 402);
    assert_eq!(fixture.runs("r-2"), 0);
}

/// Guards against an account that gets more than its total, because a grant is drawn again after
/// the store's reply is lost.
#[test]
fn lost_replies_do_not_double_a_grant() {
    let fixture = Fixture::ready(1, 30_000);
    fixture.store.set_fault(Fault::LostReplies);
    for number in 0..5 {
        fixture.send(&stream(&format!("r-{number}"), 1_000, 10));
    }
    fixture.store.set_fault(Fault::None);

    let first = || fixture.send(&stream("s-first", 1_000, 10)).status == 200;
    assert!(wait_until(first));
    let mut served = 0;
    for number in 0..60 {
        let response = fixture.send(&stream(&format!("s-{number}"), 1_000, 10));
        served += u64::from(response.status == 200);
    }

    assert!(served > 10, "{served}");
    let runs = fixture.workers[0].runs().len() as u64;
    assert!(runs * 1_010 <= 30_000, "{runs} runs");
}

#[test]
fn a_stop_gives_unused_tokens_back() {
    let mut fixture = Fixture::ready(1, 100_000);
    assert_eq!(fixture.send(&stream("r-1", 1_000, 100)).status, 200);

    fixture.daemon.take().unwrap().stop();

    let rows = fixture.store.table("ledger");
    let (name, value) = &rows[0];
    let ledger = Ledger::decode(value).unwrap();
    assert_eq!(&**name, GROUP);
    assert_eq!(ledger.total(), 1_000 + EVENTS * 7);
}

/// By how much writes to the ledgers are late.
const LATE: Duration = Duration::from_millis(3_500);

/// Tokens granted to an instance.
fn granted(fixture: &Fixture, holder: &str) -> u64 {
    let rows = fixture.store.table("ledger");
    let ledger = rows
        .first()
        .map(|(_, value)| Ledger::decode(value).unwrap());
    ledger.map_or(0, |ledger| ledger.granted(holder))
}

/// Sends streams until several in a row are refused.
fn spend(fixture: &Fixture, prefix: &str) {
    let mut refused = 0;
    for number in 0..100 {
        match fixture
            .send(&stream(&format!("{prefix}-{number}"), 1_000, 100))
            .status
        {
            200 => refused = 0,
            _ => refused += 1,
        }
        if refused == 4 {
            return;
        }
    }
}

/// Guards against tokens that are spent twice: an instance returns them by a write without an answer and
/// ends, the next process finds the row as it was and spends them, and then the write takes effect.
#[test]
fn a_late_return_of_the_process_before_takes_no_tokens_twice() {
    let mut first = Fixture::without_instance(1, 60_000);
    let mut second = first.add_instance();
    let endpoint = first.use_own_store_endpoint();
    first.start();
    first.wait_listed("i-0");
    let is_granted = || {
        let id = format!("r-{}", first.workers[0].runs().len());
        first.send(&stream(&id, 1_000, 100));
        granted(&first, "entry-1") > first.consumed() + 12_000
    };
    assert!(wait_until(is_granted));

    endpoint.set_fault(Fault::LateWrites("ledger", LATE));
    first.daemon.take().unwrap().stop();
    let returned = Instant::now() + LATE;
    first.start();
    first.wait_ready();
    spend(&first, "s");
    std::thread::sleep(returned.saturating_duration_since(Instant::now()));
    second.start();
    second.wait_listed("i-0");
    spend(&second, "t");

    let used = first.workers[0].runs().len() as u64 * (1_000 + EVENTS * 7);
    assert!(used <= 60_000, "{used} tokens");
}
