//! Conversion of a refusal to an HTTP response: `{"error":{"code","name","message","run"}}` with its status and headers.

use std::time::Duration;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::Serialize;

/// Response header that holds the number of the result code.
pub const CODE_HEADER: HeaderName = HeaderName::from_static("x-fescuewell-code");

#[derive(Serialize)]
struct Envelope<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    code: u16,
    name: &'static str,
    message: &'a str,
    run: Run,
}

/// Converts a refusal to a response with JSON body, status, `X-Fescuewell-Code`, and `Retry-After` in
/// whole seconds, rounded up and at least 1.
///
/// ```
/// use fescuewell_core::prelude::*;
/// let response = fescuewell_http::refusal::refusal_response(&Refusal::new(Code::QueueFull));
/// assert_eq!(response.status(), 429);
/// assert_eq!(response.headers()["x-fescuewell-code"], "4001");
/// ```
pub fn refusal_response(refusal: &Refusal) -> Response<Bytes> {
    let body = serde_json::to_vec(&Envelope {
        error: Detail {
            code: refusal.code.number(),
            name: refusal.code.name(),
            message: &refusal.message,
            run: refusal.run,
        },
    });
    let mut response = Response::new(Bytes::from(body.unwrap_or_default()));
    *response.status_mut() = status(refusal.code);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CODE_HEADER, HeaderValue::from(refusal.code.number()));
    if let Some(wait) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(round_up_to_seconds(wait)));
    }
    response
}

/// Returns the HTTP status of a code; every defined code has a valid one.
fn status(code: Code) -> StatusCode {
    StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Rounds up, so that a caller never retries before `wait` has elapsed. The minimum is 1: zero would
/// allow an immediate retry, which `Retry-After` is meant to prevent.
fn round_up_to_seconds(wait: Duration) -> u64 {
    let rounded = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
    rounded.max(1)
}
