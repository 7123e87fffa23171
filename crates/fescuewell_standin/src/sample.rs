//! A small configuration of the users' platform, with a route of each kind, for tests and the demo.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Key of the only client account.
pub const KEY: &str = "key-of-group";
/// Name of the only client account.
pub const GROUP: &str = "group";

/// Moment of the first start of each backend server, in Unix milliseconds.
pub const BORN: u64 = 1_000;

/// The configuration; `prepaid` is the account's total.
pub fn configuration(version: u64, prepaid: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, resumable: bool, attempts: u32| {
        json!({
            "name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": 3_000,
            "targetLatencyMs": 1_000, "priority": 1, "service": "pool", "maxAttempts": attempts,
            "public": false, "sticky": true, "resumable": resumable, "gapAimMs": 5_000
        })
    };
    json!({
        "version": version,
        "routes": [
            route("safe", "/safe/", "safe", false, 2),
            route("unsafe", "/unsafe/", "unsafe", false, 1),
            route("stream", "/stream/", "streaming", true, 2),
            route("once", "/stream-once/", "streaming", false, 1),
        ],
        "services": [{
            "name": "pool", "healthPath": "/healthz", "maxConns": 50,
            "engine": {"slots": 8, "kvCapacity": 100_000, "stride": 7}
        }],
        "tenants": [{"name": GROUP, "apiKeys": [KEY], "priority": 3, "prepaid": prepaid}],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000
        }
    })
}

/// The entry by which a backend server of the sample registers itself.
pub fn entry(address: SocketAddr, state: &str) -> Value {
    json!({
        "service": "pool", "address": address.to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": state, "coldLeftMs": 0, "seqNo": 1, "born": BORN
    })
}

/// Lines to paste, for an instance whose callers' and address listeners are these.
pub fn guide(front: SocketAddr, directory: SocketAddr) -> String {
    let ask = |line: &str, id: &str, more: &str| {
        format!(
            "curl -sN {line} -H 'Host: {HOST}' -H 'X-Fescuewell-Key: {KEY}' -H 'X-Fescuewell-Request-Id: {id}'{more}"
        )
    };
    let tokens = |output: u64| format!(" -H 'X-Fescuewell-Token-Counts: 900,{output}' -d prompt");
    let status = ask(&format!("http://{front}/safe/job-7"), "s-1", "");
    let confirm = ask(
        &format!("http://{front}/unsafe/booking-7"),
        "u-1",
        " -d booking",
    );
    let stream = ask(
        &format!("http://{front}/stream/summary"),
        "e-1",
        &tokens(200),
    );
    let large = ask(
        &format!("http://{front}/stream/summary"),
        "e-2",
        &tokens(900_000),
    );
    format!(
        "# the forwarding path: which addresses to use
curl -s 'http://{directory}/-/resolve?name={HOST}&region=r&zone=a'

# a status call, a confirmation that runs at most once, a streamed answer
{status}
{confirm}
{stream}

# more than the account has left: 402
{large}"
    )
}
