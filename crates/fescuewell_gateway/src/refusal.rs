//! Responses that the gateway generates itself for requests that no backend server answered.

use std::time::Duration;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::Reply;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};

/// Retry delay while the instance starts, in which it loads the configuration.
const START_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Retry delay while the instance drains: others accept the request now.
const DRAIN_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Retry delay for tokens: another instance, or this one after its next plan, may have them.
const TOKEN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Retry delay without a backend server: the minimum time until a lost one is replaced or found
/// healthy.
const SERVER_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Retry delay for overloaded backend servers: by then they have processed part of their queues.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Returns the default retry delay for a refusal, or `None` if a retry would not help.
pub fn retry_after(code: Code) -> Option<Duration> {
    match code {
        Code::NotReady => Some(START_RETRY_DELAY),
        Code::Draining => Some(DRAIN_RETRY_DELAY),
        Code::BudgetUnknown => Some(TOKEN_RETRY_DELAY),
        Code::NoServer => Some(SERVER_RETRY_DELAY),
        Code::TurnedAway | Code::DeadlineTooNear => Some(OVERLOAD_RETRY_DELAY),
        _ => None,
    }
}

/// Sends a refusal. `delay` overrides the default retry delay of the code; `close_connection` asks
/// the caller to open its next connection to another instance.
pub fn send(reply: Reply, code: Code, delay: Option<Duration>, close_connection: bool) {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(value) = delay.or(retry_after(code)).and_then(seconds) {
        headers.insert(RETRY_AFTER, value);
    }
    if close_connection {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let text = format!("{} {}\n", code.number(), code.text());
    reply.send(status, headers, Bytes::from(text));
}

fn seconds(delay: Duration) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64())).ok()
}
