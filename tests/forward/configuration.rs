//! The configuration in force, and the list of backend servers.

use fescuewell::standin::rows::Fault;
use fescuewell::standin::sample;
use fescuewell::standin::worker::{Behaviour, EVENTS, wait_until};

use crate::fixture::{Fixture, Request, configuration, send};

#[test]
fn an_accepted_configuration_is_in_force_without_a_restart() {
    let fixture = Fixture::ready(1, 1_000_000);
    let mut next = configuration(2, 1_000_000);
    next["routes"][0]["prefix"] = "/renamed/".into();

    fixture.configure(&next);

    assert!(wait_until(|| fixture.version() == 2));
    assert_eq!(
        fixture.send(&Request::new("GET /renamed/x", "r-1")).status,
        200
    );
    assert_eq!(
        fixture.send(&Request::new("GET /safe/x", "r-2")).status,
        404
    );
}

/// Symptom: a dropped route was served again. Sequence: an old configuration is read after a newer one. Cause: what was
/// read last counted, whatever its version.
#[test]
fn an_older_version_never_comes_back() {
    let fixture = Fixture::ready(1, 1_000_000);
    fixture.configure(&configuration(5, 1_000_000));
    assert!(wait_until(|| fixture.version() == 5));

    fixture.configure(&configuration(4, 1_000_000));
    fixture.configure(&configuration(6, 1_000_000));

    assert!(wait_until(|| fixture.version() != 5));
    assert_eq!(fixture.version(), 6);
}

/// Symptom: a change was never in force. Sequence: the feed stays silent while the change is made, then its history is
/// dropped. Cause: only the feed was followed.
#[test]
fn a_change_that_the_feed_missed_is_found() {
    let fixture = Fixture::ready(1, 1_000_000);
    fixture.store.set_fault(Fault::SilentFeeds);

    fixture.configure(&configuration(2, 1_000_000));
    fixture.store.compact();
    fixture.store.set_fault(Fault::None);

    assert!(wait_until(|| fixture.version() == 2));
}

/// Symptom: a server that was leaving got new work. Sequence: it reports that it drains. Cause: the list was read
/// too seldom.
#[test]
fn a_draining_server_gets_no_more_requests() {
    let fixture = Fixture::ready(2, 1_000_000);

    fixture.register(0, "draining");
    fixture.wait_server("i-0", false);
    for number in 0..20 {
        fixture.send(&Request::new("GET /safe/x", &format!("r-{number}")));
    }

    assert!(fixture.workers[0].runs().is_empty());
    assert_eq!(fixture.workers[1].runs().len(), 20);
}

#[test]
fn an_outage_of_the_store_leaves_requests_served() {
    let fixture = Fixture::ready(1, 1_000_000);

    for fault in [Fault::Busy, Fault::Reset, Fault::Silent] {
        fixture.store.set_fault(fault);
        let answer = fixture.send(&Request::new("GET /safe/x", "r-1"));
        assert_eq!(answer.status, 200, "{fault:?}");
    }
}

/// Symptom: all callers of a zone came to one instance with a narrow link. Sequence: they ask while it has not read the list
/// of instances yet. Cause: it named itself alone.
#[test]
fn no_address_is_told_before_the_list_was_read() {
    let mut fixture = Fixture::platform(1, 1_000_000);
    fixture.store.set_fault(Fault::Silent);
    fixture.start();
    let directory_answers = || fixture.directory_status().is_some();
    assert!(wait_until(directory_answers));

    let status = fixture.directory_status();

    assert_eq!(status, Some(503));
}

#[test]
fn callers_are_told_the_address_of_a_ready_instance() {
    let fixture = Fixture::ready(1, 1_000_000);

    let addresses = fixture.addresses();

    assert_eq!(addresses, [fixture.front.to_string()]);
}

/// Symptom: every request was refused for want of a server. Sequence: something else writes rows into the list of backend
/// servers: bytes, another type, a state that does not exist. Cause: one such row made the whole list unreadable.
#[test]
fn rows_of_another_writer_leave_the_list_in_use() {
    let mut fixture = Fixture::platform(2, 1_000_000);
    fixture
        .store
        .put("servers", "", "i-bytes", &[0xff, 0xfe, 0x00]);
    fixture.store.put("servers", "", "i-list", b"[1, 2]");
    fixture.start();
    fixture.wait_ready();

    let mut resting = sample::entry(fixture.workers[1].address(), "resting");
    fixture
        .store
        .put("servers", "", "i-1", resting.to_string().as_bytes());
    fixture.wait_server_gone("i-1");
    let answer = fixture.send(&Request::new("GET /safe/x", "r-1"));
    resting["state"] = "ready".into();
    fixture
        .store
        .put("servers", "", "i-1", resting.to_string().as_bytes());

    fixture.wait_server("i-1", true);
    assert_eq!(answer.status, 200);
    assert!(fixture.workers[1].runs().is_empty());
}

/// Symptom: a caller waited for its whole deadline. Sequence: a server gets a request, crashes and starts again under its name,
/// and the connection stays silent. Cause: a start was told by the name alone.
#[test]
fn a_request_at_a_server_that_started_again_goes_on_elsewhere() {
    let fixture = Fixture::ready(2, 1_000_000);
    for worker in &fixture.workers {
        worker.next(&[Behaviour::Pause(2)]);
    }
    let front = fixture.front;
    let request = Request::new("POST /stream/x", "r-1").with("X-Fescuewell-Deadline-Ms", "20000");
    let asked = std::thread::spawn(move || send(front, &request));
    let at = || {
        fixture
            .workers
            .iter()
            .position(|worker| !worker.runs().is_empty())
    };
    assert!(wait_until(|| at().is_some()));
    let first = at().unwrap();
    // The other one answers without a pause.
    fixture.workers[1 - first].release();

    let mut entry = sample::entry(fixture.workers[first].address(), "ready");
    entry["born"] = 9_000.into();
    let key = format!("i-{first}");
    fixture
        .store
        .put("servers", "", &key, entry.to_string().as_bytes());

    let answer = asked.join().unwrap().unwrap();
    assert!(answer.whole);
    assert_eq!(answer.events(), (1..=EVENTS).collect::<Vec<u64>>());
    assert_eq!(fixture.workers[1 - first].runs().len(), 1);
}

/// Guards against a configuration that no instance can read and that each takes for an outage of the store.
#[test]
fn an_unreadable_configuration_leaves_the_one_before_in_force() {
    let fixture = Fixture::ready(1, 1_000_000);
    let mut unreadable = configuration(2, 1_000_000);
    unreadable["routes"][0]["timeoutMs"] = "soon".into();

    fixture.configure(&unreadable);
    fixture.store.put("op", "", "evacuate/a", b"{}");
    // Part of the same reading: that it is in force shows that the reading was taken.
    fixture.wait_server("i-0", false);
    let gateway = fixture.daemon.as_ref().unwrap().gateway();
    let is_store_up = gateway.is_store_up();
    fixture.store.remove("op", "", "evacuate/a");
    fixture.wait_server("i-0", true);
    let answer = fixture.send(&Request::new("GET /safe/x", "r-1"));
    fixture.configure(&configuration(3, 1_000_000));

    assert!(is_store_up);
    assert_eq!(answer.status, 200);
    assert!(wait_until(|| fixture.version() == 3));
}
