//! Answers of our own: what became of a request that no backend server answered.

use std::time::Duration;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::Reply;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};

/// A process that has just started has its configuration within this time.
const AFTER_START: Duration = Duration::from_millis(500);
/// Another instance, or this one after its next plan, may have the account's tokens.
const AFTER_SHORT: Duration = Duration::from_millis(150);
/// A backend server that was lost is replaced, or found sound again, no sooner.
const AFTER_NO_SERVER: Duration = Duration::from_millis(400);
/// A full backend server has worked off a part of its queue by then.
const AFTER_TURNED_AWAY: Duration = Duration::from_millis(150);

/// When a caller should come back after a refusal, where that may help.
pub fn retry_after(code: Code) -> Option<Duration> {
    match code {
        Code::NotReady | Code::Draining => Some(AFTER_START),
        Code::BudgetUnknown => Some(AFTER_SHORT),
        Code::NoServer => Some(AFTER_NO_SERVER),
        Code::TurnedAway | Code::DeadlineTooNear => Some(AFTER_TURNED_AWAY),
        _ => None,
    }
}

/// Sends a refusal. `wait` is when to come back where that is known better than the code tells; `closing` asks the caller to open its next connection elsewhere.
pub fn send(reply: Reply, code: Code, wait: Option<Duration>, closing: bool) {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(value) = wait.or(retry_after(code)).and_then(seconds) {
        headers.insert(RETRY_AFTER, value);
    }
    if closing {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let text = format!("{} {}\n", code.number(), code.text());
    reply.whole(status, headers, Bytes::from(text));
}

fn seconds(wait: Duration) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())).ok()
}
