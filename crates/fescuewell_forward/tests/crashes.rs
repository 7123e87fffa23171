//! Detection of backend server crashes and of the requests that were running.

use fescuewell_forward::crash::{
    Content, Detector, Evidence, Finding, Fingerprint, Loss, Part, Run, Stage,
};
use fescuewell_forward::server::{Entry, State};
use std::sync::Arc;

fn entry(id: &str, born: u64) -> Entry {
    Entry {
        id: id.into(),
        started_at_ms: Some(born),
        service: "pool".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        cold_left_ms: 0,
        version: None,
        state: State::Ready,
    }
}

fn content(account: &str) -> Content<'_> {
    Content {
        account,
        method: "POST",
        host: "desk.example",
        target: "/stream/x?y=1",
        body: b"prompt",
    }
}

fn request(number: u64) -> Fingerprint {
    let body = number.to_le_bytes();
    Fingerprint::new(&Content {
        body: &body,
        ..content("group")
    })
}

fn run(number: u64) -> Run {
    Run {
        request: request(number),
        parts: Arc::default(),
        stage: Stage::Waiting,
    }
}

fn shared(service: &str, model: &str, ids: &[&str]) -> Vec<Part> {
    let ids: Vec<Arc<str>> = ids.iter().map(|id| (*id).into()).collect();
    Part::shared(service, model, &ids).to_vec()
}

/// Guards against blaming the part that belongs to the request or its session alone, and against
/// counting a part twice that a prompt repeats.
#[test]
fn the_last_part_of_a_prompt_is_not_shared_and_a_repeated_one_counts_once() {
    let parts = shared("pool", "m", &["a1", "b2", "A1", "c3"]);

    let ids: Vec<&str> = parts.iter().map(|part| &*part.id).collect();
    assert_eq!(ids, ["a1", "b2"]);
    assert!(shared("pool", "m", &["a1"]).is_empty());
    assert!(shared("pool", "m", &[]).is_empty());
}

#[test]
fn a_part_is_another_one_for_another_service_or_model() {
    let own = &shared("pool", "m", &["a1", "x"])[0];

    for (service, model) in [("desk", "m"), ("pool", "n"), ("poolm", "")] {
        assert_ne!(shared(service, model, &["a1", "x"])[0].key, own.key);
    }
}

#[test]
fn requests_that_had_just_begun_are_the_likeliest_causes() {
    let mut detector = Detector::default();
    let server = entry("i-1", 1);
    let stages = [Stage::Advanced, Stage::Waiting, Stage::Beginning];

    for (number, stage) in (0..).zip(stages) {
        let run = Run {
            stage,
            ..run(number)
        };
        detector.lost(&server, run, Loss::Broken, 0);
    }
    let running = detector.crashed(server.incarnation(), 1);

    let order: Vec<Fingerprint> = running.iter().map(|run| run.request).collect();
    assert_eq!(order, [request(2), request(1), request(0)]);
}

#[test]
fn each_part_of_a_request_tells_it_from_others() {
    let own = Fingerprint::new(&content("group"));
    let others = [
        content("other"),
        Content {
            method: "PUT",
            ..content("group")
        },
        Content {
            host: "desk.example2",
            ..content("group")
        },
        Content {
            target: "/stream/x",
            ..content("group")
        },
        Content {
            body: b"prompt2",
            ..content("group")
        },
    ];

    assert_eq!(own, Fingerprint::new(&content("group")));
    for other in others {
        assert_ne!(own, Fingerprint::new(&other), "{other:?}");
    }
}

/// Guards against a caller that moves bytes between fields to collide with another account's
/// fingerprint.
#[test]
fn a_field_does_not_run_into_the_next_one() {
    let left = Content {
        account: "ab",
        method: "c",
        ..content("")
    };
    let right = Content {
        account: "a",
        method: "bc",
        ..content("")
    };

    assert_ne!(Fingerprint::new(&left), Fingerprint::new(&right));
}

#[test]
fn a_crash_names_each_request_that_was_running_once() {
    let mut detector = Detector::default();
    let server = entry("i-0", 1);

    let first = detector.lost(&server, run(1), Loss::Broken, 0);
    let second = detector.lost(&server, run(2), Loss::Broken, 1);
    detector.lost(&server, run(2), Loss::Broken, 2);
    let running = detector.crashed(server.incarnation(), 3);

    assert_eq!(first, Finding::Probe);
    assert_eq!(second, Finding::Awaited);
    assert_eq!(running, [run(1), run(2)]);
    assert_eq!(
        detector.lost(&server, run(3), Loss::Broken, 4),
        Finding::Crashed
    );
}

#[test]
fn a_server_that_accepts_connections_has_not_crashed() {
    let mut detector = Detector::default();
    let server = entry("i-0", 1);
    detector.lost(&server, run(1), Loss::Broken, 0);

    detector.accepted(server.incarnation());

    assert!(!detector.has_crashed(server.incarnation()));
    assert_eq!(detector.ended(&Arc::new(server), false), None);
}

#[test]
fn a_start_under_the_same_name_is_another_incarnation() {
    assert_ne!(entry("i-0", 1).incarnation(), entry("i-0", 2).incarnation());
    assert_eq!(entry("i-0", 1).incarnation(), entry("i-0", 1).incarnation());
}

#[test]
fn the_list_shows_a_crash_only_of_servers_that_did_not_drain() {
    let mut detector = Detector::default();
    let ready = Arc::new(entry("i-0", 1));
    let draining = Arc::new(Entry {
        state: State::Draining,
        ..entry("i-1", 1)
    });

    assert_eq!(detector.ended(&ready, true), Some(Evidence::Restarted));
    assert_eq!(detector.ended(&ready, false), None);
    assert_eq!(detector.ended(&draining, true), None);
    detector.lost(&ready, run(1), Loss::Broken, 0);
    assert_eq!(detector.ended(&ready, false), Some(Evidence::Removed));
}

#[test]
fn a_doubt_ends_after_a_while() {
    let mut detector = Detector::default();
    let server = Arc::new(entry("i-0", 1));
    detector.lost(&server, run(1), Loss::Broken, 0);

    detector.lost(&entry("i-1", 1), run(2), Loss::Broken, 60_000);

    assert_eq!(detector.ended(&server, false), None);
}

/// Guards against a broken connection that starts no probe because an earlier request at the same
/// server timed out.
#[test]
fn a_broken_connection_is_followed_by_a_probe_though_the_server_was_silent_before() {
    let mut detector = Detector::default();
    let server = entry("i-0", 1);

    let silent = detector.lost(&server, run(1), Loss::Silent, 0);
    let is_probed = detector.is_probed(server.incarnation());
    let broken = detector.lost(&server, run(2), Loss::Broken, 1);

    assert_eq!(silent, Finding::Open);
    assert!(!is_probed);
    assert_eq!(broken, Finding::Probe);
}

#[test]
fn a_probe_without_a_finding_is_not_awaited() {
    let mut detector = Detector::default();
    let server = entry("i-0", 1);
    detector.lost(&server, run(1), Loss::Broken, 0);

    detector.silent(server.incarnation());

    assert!(!detector.is_probed(server.incarnation()));
    assert_eq!(
        detector.lost(&server, run(2), Loss::Broken, 1),
        Finding::Open
    );
}
