//! One attempt of a call of a plain service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_claims::message::{MAX_RESPONSE_BYTES, StoredResponse};
use fescuewell_core::prelude::*;
use fescuewell_http::upstream::{Client, Error, Exchange, Target, Timeouts};
use fescuewell_node::request::{Assignment, End};
use http::StatusCode;
use http::header::CONTENT_TYPE;

use crate::attempt::STREAM_HEADER;

/// Maximum size of the response body of a call.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// How often the service's record is requested after a response was lost.
const RECORD_ATTEMPTS: u32 = 5;
/// Delay after each of these requests.
const RECORD_DELAY: Duration = Duration::from_millis(200);

/// How often the record is requested after the caller was told that the outcome is unknown.
const LATE_RECORD_ATTEMPTS: u32 = 30;
/// Delay before each of these requests.
const LATE_RECORD_DELAY: Duration = Duration::from_secs(1);

/// One call of a service and what is needed to send it.
pub struct Call<'a> {
    /// HTTP client for backend servers.
    pub client: &'a Client,
    /// Timeouts of requests to backend servers.
    pub timeouts: Timeouts,
    /// Time at which the call is given up.
    pub deadline: Instant,
    /// Name of the call.
    pub call: &'a str,
    /// Body that the caller sent.
    pub body: &'a Bytes,
    /// Content type of the body; `application/json` if the caller sent none.
    pub content_type: Option<&'a http::HeaderValue>,
    /// Fixed price of the call.
    pub price: Tokens,
    /// Whether the call may run more than once.
    pub repeatable: bool,
}

/// How a call ended, with the response for the caller.
pub struct Outcome {
    /// Reported to the decision thread.
    pub end: End,
    /// The service's response.
    pub response: Option<StoredResponse>,
}

impl Call<'_> {
    /// Sends the call at most once. If it may have reached the service, it is not sent again: the outcome is
    /// read from the service's own record.
    pub async fn run(&self, assignment: &Assignment) -> Outcome {
        let target = Target::new(assignment.address).with_deadline(self.deadline);
        let exchange = match self
            .client
            .open(&target, self.request(assignment), self.timeouts)
            .await
        {
            Ok(exchange) => exchange,
            Err(Error::NotSent { .. }) => return without_response(End::NotSent),
            Err(error) => return self.poll_record(assignment, !error.is_broken()).await,
        };
        let status = exchange.status;
        if status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE {
            return without_response(End::Busy);
        }
        match read_response(exchange).await {
            Some(response) if !status.is_server_error() => self.done(response),
            _ => self.poll_record(assignment, false).await,
        }
    }

    fn done(&self, response: StoredResponse) -> Outcome {
        let is_stored = !self.repeatable && response.body.len() <= MAX_RESPONSE_BYTES;
        Outcome {
            end: End::Done {
                cost: self.price,
                output: 0,
                response: is_stored.then(|| response.clone()),
            },
            response: Some(response),
        }
    }

    fn request(&self, assignment: &Assignment) -> http::Request<Bytes> {
        let json = http::HeaderValue::from_static("application/json");
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(format!("/calls/{}", self.call))
            .header(CONTENT_TYPE, self.content_type.unwrap_or(&json))
            .header(STREAM_HEADER, &*assignment.stream)
            .header("x-fescuewell-group", &*assignment.group)
            .header(
                crate::caller::DEADLINE_HEADER,
                time_left.as_millis().to_string(),
            );
        request.body(self.body.clone()).unwrap_or_default()
    }

    /// Looks for a lost response in the service's record. A missing entry does not prove that the call did
    /// not run, since the call may still be in transit.
    async fn poll_record(&self, assignment: &Assignment, stalled: bool) -> Outcome {
        for _ in 0..RECORD_ATTEMPTS {
            if let Some(response) = self.fetch_record(assignment).await {
                return self.done(response);
            }
            tokio::time::sleep(RECORD_DELAY).await;
            if Instant::now() >= self.deadline {
                break;
            }
        }
        without_response(End::Lost {
            used: Tokens::ZERO,
            stalled,
            delivered: false,
        })
    }

    async fn fetch_record(&self, assignment: &Assignment) -> Option<StoredResponse> {
        let request = http::Request::builder()
            .uri(format!("/calls/{}", assignment.stream))
            .body(Bytes::new())
            .ok()?;
        let target = Target::new(assignment.address).with_deadline(self.deadline);
        let exchange = self
            .client
            .open(&target, request, self.timeouts)
            .await
            .ok()?;
        if exchange.status != StatusCode::OK {
            return None;
        }
        let record = read_response(exchange).await?;
        let value: serde_json::Value = serde_json::from_slice(&record.body).ok()?;
        if value["ran"] != true {
            return None;
        }
        Some(StoredResponse {
            body: value["answer"].to_string().into_bytes().into(),
            ..record
        })
    }

    /// Continues to request the record after the caller was told that the outcome is unknown, so that a
    /// repeated request can get the response.
    pub async fn poll_record_late(&self, assignment: &Assignment) -> End {
        for _ in 0..LATE_RECORD_ATTEMPTS {
            tokio::time::sleep(LATE_RECORD_DELAY).await;
            if let Some(response) = self.fetch_record(assignment).await {
                return self.done(response).end;
            }
        }
        End::Lost {
            used: Tokens::ZERO,
            stalled: false,
            delivered: false,
        }
    }
}

fn without_response(end: End) -> Outcome {
    Outcome {
        end,
        response: None,
    }
}

async fn read_response(exchange: Exchange) -> Option<StoredResponse> {
    let status = exchange.status.as_u16();
    let content_type = exchange.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type: Arc<str> = content_type.unwrap_or("application/json").into();
    let body = exchange.collect(MAX_BODY_BYTES).await.ok()?;
    Some(StoredResponse {
        status,
        content_type,
        body: body.as_ref().into(),
    })
}
