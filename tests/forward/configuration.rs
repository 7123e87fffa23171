//! Tests of configuration updates and of the list of backend servers.

use fescuewell::standin::rows::Fault;
use fescuewell::standin::sample;
use fescuewell::standin::worker::{Behaviour, EVENTS, wait_until};

use crate::fixture::{Fixture, Request, configuration, send};
use crate::wire;

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

/// Guards against serving a removed route again, because an older version of the configuration that
/// is read later replaces the active one.
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

/// Guards against missing a change when the feed reports nothing at the time of the write and its
/// history is compacted afterwards, because only the feed is followed.
#[test]
fn a_change_that_the_feed_missed_is_found() {
    let fixture = Fixture::ready(1, 1_000_000);
    fixture.store.set_fault(Fault::SilentFeeds);

    fixture.configure(&configuration(2, 1_000_000));
    fixture.store.compact();
    fixture.store.set_fault(Fault::None);

    assert!(wait_until(|| fixture.version() == 2));
}

/// Guards against sending new requests to a draining server, because the list is read too rarely.
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
        let response = fixture.send(&Request::new("GET /safe/x", "r-1"));
        assert_eq!(response.status, 200, "{fault:?}");
    }
}

/// Guards against sending all callers of a zone to one instance with a narrow link, because it
/// returns only its own address before it has read the list of instances.
#[test]
fn no_address_is_told_before_the_list_was_read() {
    let mut fixture = Fixture::without_instance(1, 1_000_000);
    fixture.store.set_fault(Fault::Silent);
    fixture.start();
    let directory_responds = || fixture.directory_status().is_some();
    assert!(wait_until(directory_responds));

    let status = fixture.directory_status();

    assert_eq!(status, Some(503));
}

#[test]
fn callers_are_told_the_address_of_a_ready_instance() {
    let fixture = Fixture::ready(1, 1_000_000);

    let addresses = fixture.addresses();

    assert_eq!(addresses, [fixture.front.to_string()]);
}

/// Guards against refusing every request for lack of a server, because one row that no backend
/// server has written (arbitrary bytes, another type or an unknown state) makes the whole list
/// unreadable.
#[test]
fn rows_of_another_writer_leave_the_list_in_use() {
    let mut fixture = Fixture::without_instance(2, 1_000_000);
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
    let response = fixture.send(&Request::new("GET /safe/x", "r-1"));
    resting["state"] = "ready".into();
    fixture
        .store
        .put("servers", "", "i-1", resting.to_string().as_bytes());

    fixture.wait_server("i-1", true);
    assert_eq!(response.status, 200);
    assert!(fixture.workers[1].runs().is_empty());
}

/// Guards against a caller that waits until its deadline: its server crashes, restarts under the
/// same name and leaves the old connection silent, and the restart is not detected because servers
/// are identified by name alone.
#[test]
fn a_request_at_a_server_that_started_again_goes_on_elsewhere() {
    let fixture = Fixture::ready(2, 1_000_000);
    for worker in &fixture.workers {
        worker.next(&[Behaviour::Pause(2)]);
    }
    let front = fixture.front;
    let request = Request::new("POST /stream/x", "r-1").with(wire::DEADLINE, "20000");
    let caller = std::thread::spawn(move || send(front, &request));
    let busy = || {
        fixture
            .workers
            .iter()
            .position(|worker| !worker.runs().is_empty())
    };
    assert!(wait_until(|| busy().is_some()));
    let first = busy().unwrap();
    // The other server responds without a pause.
    fixture.workers[1 - first].release();

    let mut entry = sample::entry(fixture.workers[first].address(), "ready");
    entry["born"] = 9_000.into();
    let key = format!("i-{first}");
    fixture
        .store
        .put("servers", "", &key, entry.to_string().as_bytes());

    let response = caller.join().unwrap().unwrap();
    assert!(response.is_complete);
    assert_eq!(response.events(), (1..=EVENTS).collect::<Vec<u64>>());
    assert_eq!(fixture.workers[1 - first].runs().len(), 1);
}

/// Guards against treating an invalid configuration as an outage of the store.
#[test]
fn an_unreadable_configuration_leaves_the_one_before_in_force() {
    let fixture = Fixture::ready(1, 1_000_000);
    let mut unreadable = configuration(2, 1_000_000);
    unreadable["routes"][0]["timeoutMs"] = "soon".into();

    fixture.configure(&unreadable);
    fixture.store.put("op", "", "evacuate/a", b"{}");
    // The evacuation is read together with the configuration, so its effect shows that both rows
    // were processed.
    fixture.wait_server("i-0", false);
    let gateway = fixture.daemon.as_ref().unwrap().gateway();
    let is_store_up = gateway.is_store_up();
    fixture.store.remove("op", "", "evacuate/a");
    fixture.wait_server("i-0", true);
    let response = fixture.send(&Request::new("GET /safe/x", "r-1"));
    fixture.configure(&configuration(3, 1_000_000));

    assert!(is_store_up);
    assert_eq!(response.status, 200);
    assert!(wait_until(|| fixture.version() == 3));
}

/// Guards against a configuration that is never in force behind a narrow link, because reading it takes
/// longer than a store call may and each retry begins anew.
#[test]
fn a_configuration_that_takes_seconds_to_transfer_comes_into_force() {
    let fixture = Fixture::ready(1, 1_000_000);
    let mut large = configuration(2, 1_000_000);
    let route = large["routes"][0].clone();
    let routes = large["routes"].as_array_mut().unwrap();
    for number in 0..400 {
        let mut added = route.clone();
        added["name"] = format!("added-{number}").into();
        added["prefix"] = format!("/added-{number}/").into();
        routes.push(added);
    }
    let bytes = large.to_string().len() * 4 / 3;
    fixture.store.set_fault(Fault::Narrow(bytes * 2 / 5));
    // Polls that began before are answered at full speed.
    let polls = fixture.store.calls(wire::FEED_PATH);
    assert!(wait_until(
        || fixture.store.calls(wire::FEED_PATH) > polls + 4
    ));

    fixture.configure(&large);

    assert!(wait_until(|| fixture.version() == 2));
}
