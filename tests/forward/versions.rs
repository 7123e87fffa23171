//! Tests of streams while backend servers of several software versions serve side by side.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use fescuewell::standin::rows;
use fescuewell::standin::worker::{Behaviour, EVENTS, wait_until};
use serde_json::json;

use crate::fixture::{Fixture, KEY, Request, Response, configuration};
use crate::wire;

/// Prepaid tokens of the client account; more than any test uses.
const PREPAID: u64 = 1_000_000;
/// Beginning of a refusal for lack of tokens, which promises that the request has not run.
const NO_TOKENS: &str = "2003 ";
/// Time for which a caller comes back after such a refusal.
const RETURN_TIME: Duration = Duration::from_secs(5);
/// Number of streams in tests that depend on a random choice.
const STREAMS: usize = 12;

fn stream(id: &str) -> Request {
    Request::new("POST /stream/x", id)
        .with_tokens(10, 100)
        .with_body(b"prompt")
}

/// The request of a caller that received events up to `last`, the first of them from attempt `first`.
fn resume(id: &str, first: &str, last: u64) -> Request {
    stream(id)
        .with(wire::RESUMES, first)
        .with(wire::LAST_EVENT_ID, &last.to_string())
}

/// An instance and backend servers of these software versions.
fn instance(versions: &[&str]) -> Fixture {
    let mut fixture = Fixture::without_instance(versions.len(), PREPAID);
    for (index, version) in versions.iter().enumerate() {
        fixture.set_version(index, version);
    }
    fixture.start();
    fixture.wait_ready();
    fixture
}

/// Two instances that know each other, and backend servers of these software versions.
fn instances(versions: &[&str]) -> [Fixture; 2] {
    let [first, second] = unstarted(versions);
    start([first, second])
}

/// The same before they are started.
fn unstarted(versions: &[&str]) -> [Fixture; 2] {
    let mut first = Fixture::without_instance(versions.len(), PREPAID);
    for (index, version) in versions.iter().enumerate() {
        first.set_version(index, version);
    }
    let second = first.add_instance();
    [first, second]
}

fn start([mut first, mut second]: [Fixture; 2]) -> [Fixture; 2] {
    for instance in [&mut first, &mut second] {
        instance.start();
        instance.wait_listed("i-0");
    }
    first.wait_ready();
    first.wait_discovered(&second);
    [first, second]
}

/// Begins a stream at an instance, where it breaks after `last` events.
fn begin(instance: &Fixture, id: &str, last: u64) -> Response {
    begin_at(instance, instance, id, last)
}

/// Begins a stream at an instance that uses the backend servers of `platform`.
fn begin_at(instance: &Fixture, platform: &Fixture, id: &str, last: u64) -> Response {
    for worker in &platform.workers {
        // The second one is for an attempt that goes on at this server.
        worker.next(&[Behaviour::Break(last); 2]);
    }
    let response = instance.send(&stream(id));
    for worker in &platform.workers {
        worker.clear_next();
    }
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(response.events(), (1..=last).collect::<Vec<u64>>());
    assert!(!response.is_complete);
    response
}

/// Lets one backend server break off its next stream after `last` events.
fn break_next(instance: &Fixture, index: usize, last: u64) {
    for worker in &instance.workers {
        worker.clear_next();
    }
    instance.workers[index].next(&[Behaviour::Break(last)]);
}

fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}

/// Guards against a response whose events come from servers of two software versions.
#[test]
fn a_broken_stream_goes_on_only_at_the_version_that_began_it() {
    let fixture = instance(&["v1", "v2"]);
    let mut broken = 0;
    for number in 0..STREAMS {
        break_next(&fixture, number % 2, 2);

        let response = fixture.send(&stream(&format!("r-{number}")));

        assert_eq!(response.versions().len(), 1, "{}", response.text());
        broken += usize::from(response.events() == [1, 2] && !response.is_complete);
    }
    assert!(broken > 0, "no stream began at a server that breaks off");
}

/// Guards against a stream that is taken up at another instance and goes on at another software
/// version than the one that began it.
#[test]
fn a_stream_taken_up_elsewhere_goes_on_only_at_the_version_that_began_it() {
    let [first, second] = instances(&["v1", "v2"]);
    let mut begun_at = BTreeSet::new();
    for number in 0..STREAMS {
        let id = format!("r-{number}");
        let before = begin(&first, &id, 2);
        begun_at.extend(before.versions());

        let after = second.send(&resume(&format!("{id}-again"), &id, 2));

        assert_eq!(after.status, 200, "{}", after.text());
        assert_eq!(before.versions(), after.versions());
        assert_eq!([before.events(), after.events()].concat(), all_events());
        assert!(after.is_complete);
    }
    assert_eq!(begun_at.len(), 2, "all streams began at one version");
}

/// Guards against a head of one version's server and events of another one's: the server that sent the
/// head broke off within its first event.
#[test]
fn an_attempt_without_an_event_binds_its_stream_to_no_version() {
    let fixture = instance(&["v1", "v2"]);
    for number in 0..STREAMS {
        break_next(&fixture, number % 2, 0);

        let response = fixture.send(&stream(&format!("r-{number}")));

        assert!(response.is_complete);
        assert_eq!(response.events(), all_events());
        assert_eq!(response.versions().len(), 1, "{}", response.text());
        let seal = response.header(wire::SEAL).unwrap();
        let is_second = seal.starts_with("i-1.");
        assert_eq!(is_second, response.versions().contains("v2"), "{seal}");
    }
}

/// Guards against streams that are lost although another server of their version serves.
#[test]
fn a_broken_stream_goes_on_at_another_server_of_its_version() {
    let fixture = instance(&["v1", "v2", "v1", "v2"]);
    for number in 0..STREAMS {
        break_next(&fixture, number % 4, 2);

        let response = fixture.send(&stream(&format!("r-{number}")));

        assert!(response.is_complete, "{}", response.text());
        assert_eq!(response.events(), all_events());
        assert_eq!(response.versions().len(), 1);
    }
}

/// Guards against a stream that cannot be taken up because the instance that began it has ended.
#[test]
fn a_stream_is_taken_up_after_the_first_instance_has_ended() {
    let [mut first, second] = instances(&["v1", "v2"]);
    let before = begin(&first, "r-1", 2);
    assert!(wait_until(|| records(&second) > 0));

    first.kill();
    let after = second.send(&resume("r-2", "r-1", 2));

    assert_eq!(after.status, 200, "{}", after.text());
    assert_eq!(before.versions(), after.versions());
    assert_eq!([before.events(), after.events()].concat(), all_events());
}

/// Guards against a stream that goes on at any version because its instance has ended before it sent the
/// record.
#[test]
fn a_stream_whose_instance_ended_at_once_goes_on_at_its_version_or_not_at_all() {
    for number in 0..4 {
        let [mut first, second] = instances(&["v1", "v2"]);
        let id = format!("r-{number}");
        let before = begin(&first, &id, 2);

        first.kill();
        let after = second.send(&resume(&format!("{id}-b"), &id, 2));

        let goes_on = after.status == 200 && after.versions() == before.versions();
        assert!(goes_on || after.status == 503, "{}", after.text());
    }
}

/// Guards against a stream that cannot be taken up because one of the instances that hold its record has
/// ended as well.
#[test]
fn a_stream_is_taken_up_after_the_first_instance_and_a_holder_have_ended() {
    let [mut first, mut second] = instances(&["v1", "v2"]);
    let third = first.add_another(&second);
    let before = begin(&first, "r-1", 2);
    assert!(wait_until(|| records(&third) > 0));

    first.kill();
    second.kill();
    let after = third.send(&resume("r-2", "r-1", 2));

    assert_eq!(after.status, 200, "{}", after.text());
    assert_eq!(before.versions(), after.versions());
}

/// Number of records that an instance holds.
fn records(instance: &Fixture) -> usize {
    let gateway = instance.daemon.as_ref().unwrap().gateway();
    gateway.state().stream_records.count()
}

/// Guards against a stream that cannot be taken up at an instance that has started since, and has no
/// records.
#[test]
fn an_instance_that_has_started_since_asks_the_others() {
    let [first, mut second] = instances(&["v1", "v2"]);
    let before = begin(&first, "r-1", 2);
    // Otherwise the record may arrive after the restart.
    assert!(wait_until(|| records(&second) > 0));
    second.kill();
    second.start();
    second.wait_listed("i-0");
    first.wait_discovered(&second);
    assert_eq!(records(&second), 0);

    let after = second.send(&resume("r-2", "r-1", 2));

    assert_eq!(after.status, 200, "{}", after.text());
    assert_eq!(before.versions(), after.versions());
}

/// Guards against streams that cannot be taken up while the store is away.
#[test]
fn a_stream_is_taken_up_while_the_store_is_away() {
    let [first, second] = instances(&["v1", "v2"]);
    for instance in [&first, &second] {
        // Both have tokens when the store goes away.
        let has_tokens = || instance.send(&stream("r-0")).status == 200;
        assert!(wait_until(has_tokens), "an instance got no tokens");
    }
    first.store.set_fault(rows::Fault::Silent);
    let before = begin(&first, "r-1", 2);

    // Without the store, the tokens come from another instance, which may answer too late.
    let until = Instant::now() + RETURN_TIME;
    let mut after = second.send(&resume("r-2", "r-1", 2));
    while after.text().starts_with(NO_TOKENS) && Instant::now() < until {
        after = second.send(&resume("r-2", "r-1", 2));
    }

    assert_eq!(after.status, 200, "{}", after.text());
    assert_eq!(before.versions(), after.versions());
}

/// Guards against a chain of attempts that loses its version: the attempt that began the stream is named
/// by all later ones.
#[test]
fn a_stream_is_taken_up_twice() {
    let [first, second] = instances(&["v1", "v2", "v1", "v2"]);
    for number in 0..STREAMS {
        let id = format!("r-{number}");
        let begun = begin(&first, &id, 2);
        for worker in &first.workers {
            worker.next(&[Behaviour::Break(4); 2]);
        }

        let again = second.send(&resume(&format!("{id}-b"), &id, 2));
        for worker in &first.workers {
            worker.clear_next();
        }
        let last = first.send(&resume(&format!("{id}-c"), &id, 4));

        assert_eq!(again.versions(), begun.versions());
        assert_eq!(last.versions(), begun.versions());
        assert_eq!(again.events(), [3, 4]);
        assert!(last.is_complete);
    }
}

/// Asserts that a request is refused at once, has not run, and is told so.
fn assert_refused(instance: &Fixture, request: &Request, id: &str) {
    let begun = Instant::now();

    let response = instance.send(request);

    assert_eq!(response.status, 503, "{}", response.text());
    assert!(begun.elapsed() < Duration::from_secs(1));
    assert_eq!(instance.runs(id), 0);
}

/// Guards against a stream that goes on at any version because nobody knows which one began it.
#[test]
fn a_stream_of_an_unknown_attempt_is_refused() {
    let [first, _second] = instances(&["v1", "v2"]);

    assert_refused(&first, &resume("r-2", "r-1", 2), "r-2");
}

/// Guards against a stream that goes on at any version because its caller names no attempt.
#[test]
fn a_stream_whose_first_attempt_is_not_named_is_refused_beside_other_versions() {
    let fixture = instance(&["v1", "v2"]);
    let request = |id: &str| stream(id).with(wire::LAST_EVENT_ID, "2");

    assert_refused(&fixture, &request("r-1"), "r-1");
    fixture.store.remove("servers", "", "i-0");
    fixture.wait_server_gone("i-0");

    // The former version may have begun the stream.
    assert_refused(&fixture, &request("r-2"), "r-2");
}

/// Guards against streams of earlier clients, which do not name the first attempt, that are lost although
/// all servers have the same version.
#[test]
fn a_stream_whose_first_attempt_is_not_named_goes_on_at_the_only_version() {
    let fixture = instance(&["v1", "v1"]);

    let response = fixture.send(&stream("r-1").with(wire::LAST_EVENT_ID, "2"));

    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(response.events(), [3, 4, 5, 6]);
}

/// Guards against an instance with an old list, which takes the only version in it for the only one.
#[test]
fn an_old_list_does_not_show_the_only_version() {
    let fixture = instance(&["v1"]);
    fixture.store.set_fault(rows::Fault::Silent);
    let gateway = fixture.daemon.as_ref().unwrap().gateway();
    let is_old = || gateway.time_since_store_response() > Duration::from_millis(2_100);
    assert!(wait_until(is_old));

    let request = stream("r-1").with(wire::LAST_EVENT_ID, "2");

    assert_refused(&fixture, &request, "r-1");
}

/// Guards against a stream of another kind whose events would be joined with those of a second run.
#[test]
fn a_stream_that_may_not_be_resumed_is_not_taken_up() {
    let fixture = instance(&["v1"]);
    let request = Request::new("POST /stream-once/x", "r-2")
        .with_tokens(10, 100)
        .with_body(b"prompt")
        .with(wire::RESUMES, "r-1")
        .with(wire::LAST_EVENT_ID, "2");

    assert_refused(&fixture, &request, "r-2");
}

/// Guards against a request whose two `Resumes` name streams of two versions.
#[test]
fn a_request_that_resumes_two_streams_is_malformed() {
    let fixture = instance(&["v1"]);
    let request = resume("r-3", "r-1", 2).with("resumes", "r-2");

    let response = fixture.send(&request);

    assert_eq!(response.status, 400);
    assert_eq!(fixture.runs("r-3"), 0);
}

/// Guards against a header that means nothing on requests other than streams.
#[test]
fn other_requests_are_not_refused_for_what_they_resume() {
    let fixture = instance(&["v1"]);
    let request = Request::new("GET /safe/x", "r-1")
        .with(wire::RESUMES, "r-0")
        .with(wire::LAST_EVENT_ID, "2");

    assert_eq!(fixture.send(&request).status, 200);
}

/// Guards against an account that takes up, or learns of, the stream of another one.
#[test]
fn a_stream_of_another_account_is_unknown() {
    let [first, second] = instances(&["v1", "v2"]);
    let mut next = configuration(2, PREPAID);
    let tenants = next["tenants"].as_array_mut().unwrap();
    tenants.push(json!({"name": "other", "apiKeys": ["key-of-other"], "prepaid": PREPAID}));
    first.configure(&next);
    for instance in [&first, &second] {
        assert!(wait_until(|| instance.version() == 2));
    }
    begin(&first, "r-1", 2);

    for instance in [&first, &second] {
        let request = resume("r-2", "r-1", 2).with(wire::KEY, "key-of-other");
        assert_refused(instance, &request, "r-2");
    }
    let own = second.send(&resume("r-3", "r-1", 2).with(wire::KEY, KEY));
    assert_eq!(own.status, 200, "{}", own.text());
}

/// Guards against a stream that waits for its deadline, or goes on elsewhere, when no server of its version
/// is left.
#[test]
fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let [first, second] = instances(&["v1"]);
    begin(&first, "r-1", 2);
    first.workers[0].set_version("v2");
    first.workers[0].clear_next();
    first.register(0, "ready");
    for instance in [&first, &second] {
        let gateway = instance.daemon.as_ref().unwrap().gateway();
        let is_replaced = || {
            let state = gateway.state();
            let entry = state.registry.entry("i-0");
            entry.is_some_and(|entry| entry.software() == "v2")
        };
        assert!(wait_until(is_replaced));
    }

    for instance in [&first, &second] {
        assert_refused(instance, &resume("r-2", "r-1", 2), "r-2");
    }
}

/// Guards against new work for a server that is leaving, because it is the last one of its version.
#[test]
fn a_leaving_server_does_not_take_up_streams_of_its_version() {
    let [first, second] = instances(&["v1", "v2"]);
    let mut taken_up = 0;
    let mut begun_at_first = None;
    for number in 0..STREAMS {
        let id = format!("r-{number}");
        if begin(&first, &id, 2).versions().contains("v1") {
            begun_at_first = Some(id);
            break;
        }
        taken_up += 1;
    }
    let begun = begun_at_first.unwrap_or_else(|| panic!("{taken_up} streams began at v2"));
    first.register(0, "draining");
    second.wait_server("i-0", false);
    let before = first.workers[0].runs().len();

    assert_refused(&second, &resume("r-again", &begun, 2), "r-again");

    assert_eq!(first.workers[0].runs().len(), before);
}

/// Guards against an instance whose list of servers is old, and that takes the only version in it for the
/// one that began a stream.
#[test]
fn an_instance_with_an_old_list_does_not_resume_at_the_version_that_it_knows() {
    let [first, mut second] = instances(&["v1"]);
    let store = second.use_own_store_endpoint();
    second.kill();
    second.start();
    second.wait_listed("i-0");
    first.wait_discovered(&second);
    store.set_fault(rows::Fault::Silent);
    first.workers[0].set_version("v2");
    first.register(0, "ready");
    let gateway = first.daemon.as_ref().unwrap().gateway();
    let is_replaced = || {
        let state = gateway.state();
        let entry = state.registry.entry("i-0");
        entry.is_some_and(|entry| entry.software() == "v2")
    };
    assert!(wait_until(is_replaced));
    begin(&first, "r-1", 2);

    assert_refused(&second, &resume("r-2", "r-1", 2), "r-2");
}

/// Guards against a stream that goes on at another version because the address of the server that its
/// instance still lists is used by a server of that version now.
#[test]
fn an_address_reused_by_another_version_does_not_resume_a_stream() {
    let [first, mut second] = instances(&["v1"]);
    let store = second.use_own_store_endpoint();
    second.kill();
    second.start();
    second.wait_listed("i-0");
    first.wait_discovered(&second);
    begin(&first, "r-1", 2);
    assert!(wait_until(|| records(&second) > 0));
    store.set_fault(rows::Fault::Silent);
    first.replace_server(0, "i-9", "v2");

    assert_refused(&second, &resume("r-2", "r-1", 2), "r-2");
}

/// Guards against streams that cannot be taken up while instances are cut off from each other, but not from
/// the store.
#[test]
fn a_stream_is_taken_up_while_instances_are_cut_apart() {
    let [mut first, second] = unstarted(&["v1", "v2"]);
    first.block_messages();
    let [first, second] = start([first, second]);
    for (begun_at, taken_up_at, id) in [(&first, &second, "r-1"), (&second, &first, "r-2")] {
        let before = begin_at(begun_at, &first, id, 2);
        let name = begun_at.name();
        let is_written = || {
            let rows = begun_at.store.table("streams");
            rows.iter().any(|(key, _)| **key == *name)
        };
        assert!(wait_until(is_written), "{name} has written no records");

        let after = taken_up_at.send(&resume(&format!("{id}-b"), id, 2));

        assert_eq!(after.status, 200, "{}", after.text());
        assert_eq!(before.versions(), after.versions());
        assert_eq!([before.events(), after.events()].concat(), all_events());
    }
}

/// Guards against writes to the store for each stream while all instances are in reach.
#[test]
fn nothing_is_written_while_all_instances_are_in_reach() {
    let [first, second] = instances(&["v1", "v2"]);
    let until = Instant::now() + Duration::from_secs(6);
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        begin(&first, &format!("r-{number}"), 2);
        std::thread::sleep(Duration::from_millis(200));
    }

    assert!(second.store.table("streams").is_empty());
}
