//! Quarantined requests and the store.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Behaviour, Memory};
use fescuewell_forward::crash::{Content, Evidence, Fingerprint, Loss, Verdict};
use fescuewell_forward::server::{Entry, State};
use fescuewell_gateway::gateway::Gateway;

const TABLE: &str = "quarantine";
/// Time after which a first quarantine is over.
const QUARANTINE: Duration = Duration::from_secs(601);
/// Time in which the instance has read the clock of the store.
const CLOCK_KNOWN: Duration = Duration::from_secs(1);
/// Time in which what is written has arrived.
const WRITTEN: Duration = Duration::from_millis(100);

fn request() -> Fingerprint {
    Fingerprint::new(&Content {
        account: common::ACCOUNT,
        method: "POST",
        host: "desk.example",
        target: "/stream/x",
        body: b"prompt",
    })
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
        state: State::Ready,
    }
}

/// Servers crash while they run the request for this instance.
fn crash(gateway: &Arc<Gateway>, servers: std::ops::Range<u64>) {
    for number in servers {
        let server = server(number);
        let now_ms = gateway.now_ms();
        gateway
            .state()
            .crashes
            .lost(&server, request(), Loss::Broken, now_ms);
        gateway.crashed(&server, Evidence::Refused);
    }
}

fn verdict(gateway: &Arc<Gateway>) -> Verdict {
    gateway.state().verdict(request(), gateway.now_ms())
}

/// Guards against a store that is read without a pause while it answers only now and then: each reading that failed counted as an
/// outage, and the next answer as its end.
#[test]
fn a_store_that_answers_now_and_then_is_read_at_the_usual_pace() {
    let readings = common::play(1_000_000, 1, async move |_, store| {
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = store.readings(TABLE);
        for step in 0..200 {
            store.set(match step % 2 {
                0 => Behaviour::Refuse,
                _ => Behaviour::Answer,
            });
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        store.readings(TABLE) - before
    });

    assert!(readings <= 5, "{readings} readings in ten seconds");
}

#[test]
fn a_quarantine_is_written_once() {
    let rows = common::play(1_000_000, 1, async move |gateway, store| {
        tokio::time::sleep(CLOCK_KNOWN).await;
        crash(&gateway, 0..2);
        tokio::time::sleep(WRITTEN).await;
        let before = store.rows(TABLE);
        crash(&gateway, 2..4);
        tokio::time::sleep(WRITTEN).await;
        (before, store.rows(TABLE))
    });

    assert_eq!(rows, (0, 1));
}

/// Guards against instances that each send a quarantined request once more when its time is over.
#[test]
fn one_instance_of_the_fleet_gets_leave_for_a_probe() {
    let leaves = common::play(1_000_000, 1, async move |gateway, store| {
        tokio::time::sleep(CLOCK_KNOWN).await;
        crash(&gateway, 0..3);
        tokio::time::sleep(WRITTEN).await;
        let settings = common::settings("entry-2");
        let (other, control) = common::instance(settings, &store, 2);
        let leaves = async {
            let early = gateway.may_probe(request()).await;
            tokio::time::sleep(QUARANTINE).await;
            let leaves = tokio::join!(gateway.may_probe(request()), other.may_probe(request()));
            (early, verdict(&other), leaves)
        };
        tokio::select! {
            () = control.run() => unreachable!("the duties end with the process"),
            leaves = leaves => leaves,
        }
    });

    let (early, other, (first, second)) = leaves;
    assert!(!early);
    assert!(matches!(other, Verdict::Quarantined { .. }));
    assert!(first != second, "{first} {second}");
}

/// Guards against probes that nobody can bound: without the store no instance knows of those of others.
#[test]
fn nobody_probes_while_the_store_is_away() {
    let may_probe = common::play(1_000_000, 1, async move |gateway, store: Arc<Memory>| {
        tokio::time::sleep(CLOCK_KNOWN).await;
        crash(&gateway, 0..3);
        tokio::time::sleep(QUARANTINE).await;
        store.set(Behaviour::Refuse);
        (verdict(&gateway), gateway.may_probe(request()).await)
    });

    assert_eq!(may_probe, (Verdict::Quarantined { may_probe: true }, false));
}
