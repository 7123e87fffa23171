//! Streams while backend servers of several software versions come and go, and callers take broken ones up at other instances.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

use fescuewell::standin::worker::{Behaviour, EVENTS, Worker};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::caller::{Exchange, Kind, request};
use crate::fixture::{Fixture, Request, Response, send};
use crate::instance::Instance;
use crate::server_proxy::Cut;
use crate::wire;

/// Software versions of the backend servers.
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v2"];
/// Versions of the three servers while the share of resumed streams is measured: only those of the first one must go on.
const PHASE_VERSIONS: [&str; 3] = ["v1", "v1", "v2"];
/// Time within which all instances list the servers of the phase.
const LIST_DELAY: Duration = Duration::from_secs(2);
/// Streams that begin in the phase.
const PHASE_STREAMS: usize = 24;
/// Events after which a stream of the phase breaks off.
const PHASE_EVENTS: u64 = 2;
/// Time between the break of a stream and the end of its instance.
const MAX_KILL_DELAY_MS: u64 = 100;
/// Streams of the version with two servers below which the share is not measured.
const MIN_RESUMED: usize = 12;

/// Returns the request with which a caller takes a stream up after the event `last`; attempt `first` brought the first event.
pub fn resume(id: &str, first: &str, last: u64) -> Request {
    request(Kind::Stream, id)
        .with(wire::RESUMES, first)
        .with(wire::LAST_EVENT_ID, &last.to_string())
}

/// Returns the last event of a stream that broke off after at least one.
pub fn broken_after(response: &Response) -> Option<u64> {
    let last = response.events().last().copied();
    last.filter(|_| response.status == 200 && !response.is_complete)
}

/// Replaces a random backend server by one of a random version.
pub fn roll(random: &mut SmallRng, platform: &Fixture, generation: usize) {
    let index = random.random_range(0..platform.workers.len());
    let version = VERSIONS[random.random_range(0..VERSIONS.len())];
    // One that has crashed is started again elsewhere.
    if !platform.workers[index].has_crashed() {
        platform.replace_server(index, &format!("i-{index}.{generation}"), version);
    }
}

/// Cuts a random instance off from all backend servers, or from the first ones.
pub fn cut(random: &mut SmallRng, instances: &[Instance]) {
    let instance = &instances[random.random_range(0..instances.len())];
    let kind = [Cut::Refused, Cut::Hanging, Cut::NewRefused][random.random_range(0..3)];
    let count = match random.random_bool(0.5) {
        true => instance.server_proxies.len(),
        false => 1,
    };
    for server_proxy in &instance.server_proxies[..count] {
        server_proxy.set(Some(kind));
    }
}

/// Ends all cuts.
pub fn heal(instances: &[Instance]) {
    for instance in instances {
        for server_proxy in &instance.server_proxies {
            server_proxy.set(None);
        }
    }
}

/// Describes a stream with events of two versions, in one response or over the attempts that take it up, and one whose attempts do
/// not fit together.
pub fn violation(exchange: &Exchange) -> Option<String> {
    let responses = exchange.response.iter().chain(&exchange.resumed);
    let responses = responses.filter(|response| response.status == 200);
    let mut versions = BTreeSet::new();
    let mut events = Vec::new();
    for response in responses {
        versions.extend(response.versions());
        events.extend(response.events());
    }
    let expected: Vec<u64> = (1..=events.len() as u64).collect();
    let is_mixed = versions.len() > 1;
    let is_violated = is_mixed || (!exchange.resumed.is_empty() && events != expected);
    is_violated.then(|| format!("{} got events {events:?} of {versions:?}", exchange.id))
}

/// Breaks streams off while two servers of their version serve, ends the instance of two in three, and describes a violation
/// if fewer than half of them go on at another instance, compared to the streams that begin.
pub fn share_violation(
    random: &mut SmallRng,
    platform: &Fixture,
    instances: &mut [Instance],
) -> Option<String> {
    for (index, version) in PHASE_VERSIONS.iter().enumerate() {
        platform.replace_server(index, &format!("i-{index}.last"), version);
    }
    sleep(LIST_DELAY);
    let (mut begun, mut resumed, mut gone_on) = (0, 0, 0);
    for number in 0..PHASE_STREAMS {
        let first = random.random_range(0..instances.len());
        let id = format!("s-{number}");
        break_streams(&platform.workers);
        let response = send(instances[first].front, &request(Kind::Stream, &id));
        platform.workers.iter().for_each(Worker::clear_next);
        let Some(response) = response.filter(|response| response.status == 200) else {
            continue;
        };
        begun += 1;
        let is_first_version = response.versions() == BTreeSet::from([PHASE_VERSIONS[0].into()]);
        let Some(last) = broken_after(&response).filter(|_| is_first_version) else {
            continue;
        };
        let is_killed = number % 3 != 0;
        if is_killed {
            sleep(Duration::from_millis(
                random.random_range(0..MAX_KILL_DELAY_MS),
            ));
            instances[first].kill();
        }
        resumed += 1;
        let other = (first + 1) % instances.len();
        let again = send(
            instances[other].front,
            &resume(&format!("{id}-b"), &id, last),
        );
        if is_killed {
            instances[first].start();
            instances[first].wait_ready();
        }
        let Some(again) = again else { continue };
        let events = [response.events(), again.events()].concat();
        let is_whole = events == (1..=EVENTS).collect::<Vec<u64>>();
        if is_whole && again.versions() == response.versions() {
            gone_on += 1;
        } else if again.status == 200 {
            return Some(format!("{id} went on as {}", again.text()));
        }
    }
    let begun_share = begun as f64 / PHASE_STREAMS as f64;
    let resumed_share = f64::from(gone_on) / resumed.max(1) as f64;
    let is_violated = resumed >= MIN_RESUMED && resumed_share < begun_share / 2.0;
    is_violated
        .then(|| format!("{gone_on} of {resumed} streams go on, {begun} of {PHASE_STREAMS} begin"))
}

fn break_streams(workers: &[Worker]) {
    for worker in workers {
        // One for the attempt that begins the stream and one for an attempt that resumes it.
        worker.next(&[Behaviour::Break(PHASE_EVENTS); 2]);
    }
}

/// Takes a broken stream up at other instances, at most three times.
pub fn take_up(
    random: &mut SmallRng,
    fronts: &[SocketAddr],
    id: &str,
    response: &Response,
) -> Vec<Response> {
    let mut resumed = Vec::new();
    let mut last = broken_after(response);
    for number in 0..3 {
        let Some(after) = last else { break };
        let at = random.random_range(0..fronts.len());
        // The check of what a server gets from one instance goes by the digits of the id.
        let (_, rest) = id.split_once('c').unwrap_or(("", id));
        let own = format!("f{at}c{rest}-again-{number}");
        let Some(again) = send(fronts[at], &resume(&own, id, after)) else {
            continue;
        };
        last = match again.status {
            200 => broken_after(&again),
            _ => Some(after),
        };
        resumed.push(again);
    }
    resumed
}
