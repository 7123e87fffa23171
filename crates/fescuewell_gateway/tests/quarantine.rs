//! Synchronization of quarantined requests with the store.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Behaviour, MemoryStore};
use fescuewell_forward::crash::{
    Content, Evidence, Fingerprint, Loss, Run, Stage, Subject, Verdict,
};
use fescuewell_forward::server::{Entry, State};
use fescuewell_gateway::gateway::Gateway;

const TABLE: &str = "quarantine";
/// Time after which the first quarantine period has elapsed.
const QUARANTINE_PERIOD: Duration = Duration::from_secs(601);
/// Time within which the instance has read the store's clock.
const CLOCK_SYNC_TIME: Duration = Duration::from_secs(1);
/// Time within which a write reaches the store.
const WRITE_TIME: Duration = Duration::from_millis(100);

fn request() -> Fingerprint {
    Fingerprint::new(&Content {
        account: common::ACCOUNT,
        method: "POST",
        host: "desk.example",
        target: "/stream/x",
        body: b"prompt",
    })
}

fn run() -> Run {
    Run {
        request: request(),
        parts: Arc::default(),
        stage: Stage::Waiting,
    }
}

fn server(number: u64) -> Entry {
    Entry {
        id: format!("i-{number}").into(),
        started_at_ms: Some(number),
        service: "pool".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        cold_left_ms: 0,
        version: None,
        state: State::Ready,
    }
}

/// Crashes servers while they run the request for this instance.
fn crash(gateway: &Arc<Gateway>, servers: std::ops::Range<u64>) {
    for number in servers {
        let server = server(number);
        let now_ms = gateway.now_ms();
        gateway
            .state()
            .crashes
            .lost(&server, run(), Loss::Broken, now_ms);
        gateway.record_crash(&server, Evidence::Refused);
    }
}

fn verdict(gateway: &Arc<Gateway>) -> Verdict {
    gateway.state().verdict(request(), gateway.now_ms())
}

/// Guards against reading a flapping store without a pause: each failed read counted as an outage,
/// and the next response as its end.
#[test]
fn a_store_that_answers_now_and_then_is_read_at_the_usual_pace() {
    let reads = common::run_scenario(1_000_000, 1, async move |_, store| {
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = store.read_count(TABLE);
        for step in 0..200 {
            store.set_behaviour(match step % 2 {
                0 => Behaviour::Refuse,
                _ => Behaviour::Answer,
            });
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        store.read_count(TABLE) - before
    });

    assert!(reads <= 5, "{reads} reads in ten seconds");
}

#[test]
fn a_quarantine_is_written_once() {
    let rows = common::run_scenario(1_000_000, 1, async move |gateway, store| {
        tokio::time::sleep(CLOCK_SYNC_TIME).await;
        crash(&gateway, 0..2);
        tokio::time::sleep(WRITE_TIME).await;
        let before = store.row_count(TABLE);
        crash(&gateway, 2..4);
        tokio::time::sleep(WRITE_TIME).await;
        (before, store.row_count(TABLE))
    });

    assert_eq!(rows, (0, 1));
}

/// Guards against each instance sending a probe of its own when the quarantine period ends.
#[test]
fn one_instance_of_the_fleet_gets_leave_for_a_probe() {
    let permissions = common::run_scenario(1_000_000, 1, async move |gateway, store| {
        tokio::time::sleep(CLOCK_SYNC_TIME).await;
        crash(&gateway, 0..3);
        tokio::time::sleep(WRITE_TIME).await;
        let settings = common::settings("entry-2");
        let (other, control) = common::instance(settings, &store, 2);
        let permissions = async {
            let early = gateway.request_probe(Subject::Request, request()).await;
            tokio::time::sleep(QUARANTINE_PERIOD).await;
            let permissions = tokio::join!(
                gateway.request_probe(Subject::Request, request()),
                other.request_probe(Subject::Request, request())
            );
            (early, verdict(&other), permissions)
        };
        tokio::select! {
            () = control.run() => unreachable!("the control tasks run until the process ends"),
            permissions = permissions => permissions,
        }
    });

    let (early, other, (first, second)) = permissions;
    assert!(!early);
    assert!(matches!(other, Verdict::Quarantined { .. }));
    assert!(first != second, "{first} {second}");
}

/// Guards against an unbounded number of probes: without the store, an instance does not know of
/// the probes of others.
#[test]
fn nobody_probes_while_the_store_is_away() {
    let may_probe = common::run_scenario(
        1_000_000,
        1,
        async move |gateway, store: Arc<MemoryStore>| {
            tokio::time::sleep(CLOCK_SYNC_TIME).await;
            crash(&gateway, 0..3);
            tokio::time::sleep(QUARANTINE_PERIOD).await;
            store.set_behaviour(Behaviour::Refuse);
            (
                verdict(&gateway),
                gateway.request_probe(Subject::Request, request()).await,
            )
        },
    );

    assert_eq!(may_probe, (Verdict::Quarantined { may_probe: true }, false));
}
