//! Tests of backend servers that declare in their responses that they want fewer requests or none.

use std::io::Write;
use std::time::{Duration, Instant};

use fescuewell::standin::sample;
use fescuewell::standin::worker::{Behaviour, wait_until};

use crate::fixture::{Fixture, Request};
use crate::wire;

/// Prepaid tokens of the client account; more than any test uses.
const PREPAID: u64 = 1_000_000;
/// Requests sent to each instance.
const REQUESTS: usize = 40;
/// Number of streams that are open at the same time.
const STREAMS: usize = 12;
/// Window over which a limit holds.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that a server may get in each window beyond its limit and a half.
const SLACK: f64 = 5.0;

fn safe(id: &str) -> Request {
    Request::new("GET /safe/x", id)
}

/// Two instances that know each other and `workers` backend servers.
fn two_instances(workers: usize) -> [Fixture; 2] {
    let mut first = Fixture::without_instance(workers, PREPAID);
    let mut second = first.add_instance();
    for instance in [&mut first, &mut second] {
        instance.start();
        instance.wait_listed("i-0");
    }
    first.wait_discovered(&second);
    [first, second]
}

/// Number of requests that a server with a limit may get in a time from instances that know it.
fn allowed(limit: f64, elapsed: Duration) -> f64 {
    let windows = (elapsed.as_secs_f64() / WINDOW.as_secs_f64())
        .ceil()
        .max(1.0);
    windows * (limit * 1.5 * WINDOW.as_secs_f64() + SLACK)
}

/// Guards against a server that rests, or is limited, by what the response to another request declares.
#[test]
fn a_response_that_names_no_request_declares_nothing() {
    let fixture = Fixture::ready(1, PREPAID);
    fixture.workers[0].set_limit(Some("1"));
    fixture.workers[0].set_rest(Some("5"));
    fixture.workers[0].next(&[Behaviour::UnnamedRejection, Behaviour::LateRejection]);

    for number in 0..2 {
        let request = Request::new("POST /unsafe/x", &format!("r-{number}")).with_body(b"");
        assert_eq!(fixture.send(&request).status, 502);
    }

    let gateway = fixture.daemon.as_ref().unwrap().gateway();
    assert!(gateway.state().conditions.is_empty());
}

/// Guards against a server in need that gets as many requests as before it declared a limit, from
/// all instances together.
#[test]
fn a_server_gets_no_more_requests_than_its_limit_from_all_instances() {
    let instances = two_instances(2);
    let workers = &instances[0].workers;
    workers[0].set_limit(Some("1"));

    let started = Instant::now();
    for number in 0..REQUESTS {
        for (index, instance) in instances.iter().enumerate() {
            let response = instance.send(&safe(&format!("r-{index}-{number}")));
            assert_eq!(response.status, 200, "{}", response.text());
        }
    }
    let elapsed = started.elapsed();

    let runs = workers[0].runs().len();
    // The first request of each instance is the one that tells it of the limit.
    let counted = runs.saturating_sub(instances.len());
    let allowed = allowed(1.0, elapsed);
    assert!(
        counted as f64 <= allowed,
        "{counted} requests in {elapsed:?}, {allowed} allowed"
    );
}

/// Starts an instance with backend servers and waits until it sends to limited ones.
fn advertised(workers: usize) -> Fixture {
    let fixture = Fixture::ready(workers, PREPAID);
    fixture.wait_advertised();
    fixture
}

/// Guards against a request that waits until its deadline for a server that accepts none before.
#[test]
fn a_request_beyond_the_limits_of_all_servers_is_rejected_at_once() {
    let fixture = advertised(1);
    fixture.workers[0].set_limit(Some("0.1"));
    let first = fixture.send(&safe("r-1"));

    let second = fixture.send(&safe("r-2").with(wire::DEADLINE, "60000"));

    assert_eq!(first.status, 200);
    assert_eq!(second.status, 503, "{}", second.text());
    assert!(second.text().starts_with("4016 "), "{}", second.text());
    let retry_after: f64 = second.header("retry-after").unwrap().parse().unwrap();
    assert!((1.0..=20.0).contains(&retry_after), "{retry_after}");
    assert_eq!(fixture.runs("r-2"), 0);
}

/// Guards against a request that is rejected although a server accepts it well within the target
/// latency.
#[test]
fn a_request_waits_for_a_server_that_accepts_it_in_time() {
    let fixture = advertised(1);
    fixture.workers[0].set_limit(Some("20"));
    let first = fixture.send(&safe("r-1"));

    let second = fixture.send(&safe("r-2"));

    assert_eq!(first.status, 200);
    assert_eq!(second.status, 200, "{}", second.text());
}

/// Guards against a limit that outlives the need of its server.
#[test]
fn a_response_without_a_limit_ends_it() {
    let fixture = advertised(1);
    fixture.workers[0].set_limit(Some("5"));
    fixture.send(&safe("r-1"));
    fixture.wait_limited(1);
    fixture.workers[0].set_limit(None);

    let served = wait_until(|| fixture.send(&safe("r-2")).status == 200);

    assert!(served);
    fixture.wait_limited(0);
    for number in 0..20 {
        assert_eq!(fixture.send(&safe(&format!("s-{number}"))).status, 200);
    }
}

/// Guards against a limit that is only read from successful responses.
#[test]
fn a_limit_is_read_from_every_response() {
    let behaviours = [Behaviour::TurnAway, Behaviour::Fail, Behaviour::Pause(1)];
    for behaviour in behaviours {
        let fixture = advertised(1);
        let worker = &fixture.workers[0];
        worker.set_limit(Some("1"));
        worker.next(&[behaviour]);
        let request = Request::new("POST /stream-once/x", "r-1").with_tokens(10, 10);

        let mut connection = fixture.connect();
        connection
            .write_all(&request.with_body(b"x").bytes())
            .unwrap();

        fixture.wait_limited(1);
        worker.release();
    }
}

/// Guards against a new server that inherits the limit of the one before at its address.
#[test]
fn a_restarted_server_has_no_limit() {
    let fixture = advertised(1);
    fixture.workers[0].set_limit(Some("0"));
    fixture.send(&safe("r-1"));
    fixture.wait_limited(1);
    fixture.workers[0].set_limit(None);

    let mut entry = sample::entry(fixture.workers[0].address(), "ready");
    entry["born"] = (sample::BORN + 1).into();
    let entry = entry.to_string();
    fixture.store.put("servers", "", "i-0", entry.as_bytes());

    fixture.wait_limited(0);
    assert_eq!(fixture.send(&safe("r-3")).status, 200);
}

/// Guards against instances that each have to learn of a limit from the server in need.
#[test]
fn an_instance_learns_of_a_limit_from_another() {
    let instances = two_instances(1);
    instances[0].workers[0].set_limit(Some("1"));

    instances[0].send(&safe("r-1"));

    instances[1].wait_limited(1);
    instances[0].workers[0].set_limit(None);
    assert!(wait_until(|| {
        instances
            .iter()
            .any(|instance| instance.send(&safe("r-2")).status == 200)
    }));
    for instance in &instances {
        instance.wait_limited(0);
    }
}

#[test]
fn a_malformed_limit_is_counted_and_changes_nothing() {
    let fixture = advertised(1);
    fixture.workers[0].set_limit(Some("NaN"));

    for number in 0..3 {
        assert_eq!(fixture.send(&safe(&format!("r-{number}"))).status, 200);
    }

    fixture.wait_limited(0);
    let metrics = fixture.metrics();
    let line = "fescuewell_malformed_headers_total{header=\"limit\"";
    assert!(metrics.contains(line), "{metrics}");
}

/// Registers a server of another service and waits until it is listed, so that all rows that were
/// written before are applied.
fn wait_applied(fixture: &Fixture) {
    let mut entry = sample::entry(fixture.workers[0].address(), "ready");
    entry["service"] = "other".into();
    let entry = entry.to_string();
    fixture
        .store
        .put("servers", "", "i-marker", entry.as_bytes());
    fixture.wait_server("i-marker", true);
}

/// Guards against a server that gets new work after it has said that it leaves, because its entry
/// in the list still says that it is ready.
#[test]
fn a_server_that_says_that_it_leaves_gets_no_new_work() {
    let fixture = advertised(2);
    fixture.send(&safe("first"));
    // The instance prefers the server that it has a connection to.
    let mut workers = fixture.workers.iter();
    let index = workers.position(|worker| !worker.runs().is_empty());
    let index = index.unwrap();
    let leaving = &fixture.workers[index];
    leaving.set_leaving(true);
    fixture.send(&safe("told"));
    let before = leaving.runs().len();
    assert_eq!(before, 2);

    fixture.register(index, "ready");
    wait_applied(&fixture);
    for number in 0..REQUESTS {
        let response = fixture.send(&safe(&format!("s-{number}")));
        assert_eq!(response.status, 200, "{}", response.text());
    }

    let after = leaving.runs().len() - before;
    assert_eq!(after, 0, "{after} requests reached the leaving server");
}

/// Guards against a server that wants no requests from this instance for a while and gets them all
/// the same, as the one with the fewest requests in flight.
#[test]
fn a_server_that_asks_for_rest_gets_no_requests_from_this_instance() {
    let fixture = advertised(2);
    let [resting, busy] = &fixture.workers[..] else {
        unreachable!("the fixture has two servers");
    };
    resting.set_rest(Some("60"));
    resting.next(&[Behaviour::TurnAway; REQUESTS]);
    busy.next(&[Behaviour::Pause(1); STREAMS]);

    let mut connections = Vec::new();
    for number in 1..=STREAMS {
        let request = Request::new("POST /stream/x", &format!("r-{number}")).with_tokens(10, 10);
        let mut connection = fixture.connect();
        connection
            .write_all(&request.with_body(b"x").bytes())
            .unwrap();
        connections.push(connection);
        assert!(busy.wait_for(number as u64), "r-{number} was not served");
    }

    let rejected = resting.refused();
    assert!(
        rejected <= 1,
        "{rejected} requests reached the resting server"
    );
    busy.release();
}

/// Guards against a caller that is kept waiting, or told to return too early, while all servers
/// rest.
#[test]
fn a_request_is_rejected_at_once_while_all_servers_rest() {
    let fixture = advertised(1);
    let worker = &fixture.workers[0];
    worker.set_rest(Some("30"));
    worker.next(&[Behaviour::TurnAway; REQUESTS]);

    let first = fixture.send(&safe("r-1"));
    let second = fixture.send(&safe("r-2").with(wire::DEADLINE, "60000"));

    for response in [first, second] {
        assert_eq!(response.status, 503);
        assert!(response.text().starts_with("4016 "), "{}", response.text());
        let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!((10.0..=60.0).contains(&retry_after), "{retry_after}");
    }
    assert_eq!(worker.refused(), 1);
}

/// Guards against a rejected request although a server accepts it well within the target latency.
#[test]
fn a_request_waits_for_the_end_of_a_short_rest() {
    let fixture = advertised(1);
    let worker = &fixture.workers[0];
    worker.set_rest(Some("0.2"));
    worker.next(&[Behaviour::TurnAway]);

    let first = fixture.send(&safe("r-1"));
    let second = fixture.send(&safe("r-2"));

    assert_eq!(first.status, 503);
    assert_eq!(second.status, 200, "{}", second.text());
    assert_eq!(worker.refused(), 1);
}
