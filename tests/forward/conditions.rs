//! Tests of backend servers that declare in their responses that they want fewer requests or none.

use std::time::{Duration, Instant};

use crate::fixture::{Fixture, Request};

/// Prepaid tokens of the client account; more than any test uses.
const PREPAID: u64 = 1_000_000;
/// Requests sent to each instance.
const REQUESTS: usize = 40;
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
