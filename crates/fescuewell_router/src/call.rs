//! One attempt at a call of a plain service.

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

/// Largest answer of a call.
const LARGEST_ANSWER: usize = 4 * 1024 * 1024;
/// Times that the record is asked for, after an answer was lost.
const RECORD_TRIES: u32 = 5;
/// Pause before each of them.
const RECORD_PAUSE: Duration = Duration::from_millis(200);

/// Times that the record is asked for after the caller was answered.
const LATE_TRIES: u32 = 30;
/// Pause before each of them.
const LATE_PAUSE: Duration = Duration::from_secs(1);

/// One call.
pub struct Call<'a> {
    /// Connections to backend servers.
    pub client: &'a Client,
    /// Time limits towards backend servers.
    pub timeouts: Timeouts,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// Name of the call.
    pub call: &'a str,
    /// What the caller sent.
    pub body: &'a Bytes,
    /// Its type.
    pub content_type: Option<&'a http::HeaderValue>,
    /// Flat price.
    pub price: Tokens,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// How a call ended, and what is to be passed on.
pub struct Outcome {
    /// For the decision thread.
    pub end: End,
    /// The service's answer.
    pub answer: Option<StoredResponse>,
}

impl Call<'_> {
    /// Sends the call once. After a byte of it may have left it is never sent again from here: what
    /// became of it is asked of the service's own record.
    pub async fn run(&self, assignment: &Assignment) -> Outcome {
        let target = Target::new(assignment.address).with_deadline(self.deadline);
        let exchange = match self
            .client
            .open(&target, self.request(assignment), self.timeouts)
            .await
        {
            Ok(exchange) => exchange,
            Err(Error::NotSent { .. }) => return ended(End::NotSent),
            Err(error) => return self.ask_record(assignment, error == Error::Stalled).await,
        };
        let status = exchange.status;
        if status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE {
            return ended(End::Busy);
        }
        match read(exchange).await {
            Some(answer) if !status.is_server_error() => self.done(answer),
            _ => self.ask_record(assignment, false).await,
        }
    }

    fn done(&self, answer: StoredResponse) -> Outcome {
        let is_kept = !self.repeatable && answer.body.len() <= MAX_RESPONSE_BYTES;
        Outcome {
            end: End::Done {
                cost: self.price,
                output: 0,
                response: is_kept.then(|| answer.clone()),
            },
            answer: Some(answer),
        }
    }

    fn request(&self, assignment: &Assignment) -> http::Request<Bytes> {
        let json = http::HeaderValue::from_static("application/json");
        let left = self.deadline.saturating_duration_since(Instant::now());
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(format!("/calls/{}", self.call))
            .header(CONTENT_TYPE, self.content_type.unwrap_or(&json))
            .header(STREAM_HEADER, &*assignment.stream)
            .header("x-fescuewell-group", &*assignment.group)
            .header(crate::caller::DEADLINE_HEADER, left.as_millis().to_string());
        request.body(self.body.clone()).unwrap_or_default()
    }

    /// The answer was lost. The service's record may show that the call ran; that it shows nothing proves
    /// nothing, since the call may still be on its way.
    async fn ask_record(&self, assignment: &Assignment, stalled: bool) -> Outcome {
        for _ in 0..RECORD_TRIES {
            if let Some(answer) = self.record(assignment).await {
                return self.done(answer);
            }
            tokio::time::sleep(RECORD_PAUSE).await;
            if Instant::now() >= self.deadline {
                break;
            }
        }
        ended(End::Lost {
            used: Tokens::ZERO,
            stalled,
            delivered: false,
        })
    }

    async fn record(&self, assignment: &Assignment) -> Option<StoredResponse> {
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
        let record = read(exchange).await?;
        let value: serde_json::Value = serde_json::from_slice(&record.body).ok()?;
        if value["ran"] != true {
            return None;
        }
        Some(StoredResponse {
            body: value["answer"].to_string().into_bytes().into(),
            ..record
        })
    }

    /// Goes on asking for the record after the caller was told that the outcome is unknown, so that a repeat
    /// can be given the answer.
    pub async fn settle_later(&self, assignment: &Assignment) -> End {
        for _ in 0..LATE_TRIES {
            tokio::time::sleep(LATE_PAUSE).await;
            if let Some(answer) = self.record(assignment).await {
                return self.done(answer).end;
            }
        }
        End::Lost {
            used: Tokens::ZERO,
            stalled: false,
            delivered: false,
        }
    }
}

fn ended(end: End) -> Outcome {
    Outcome { end, answer: None }
}

async fn read(exchange: Exchange) -> Option<StoredResponse> {
    let status = exchange.status.as_u16();
    let content_type = exchange.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type: Arc<str> = content_type.unwrap_or("application/json").into();
    let body = exchange.collect(LARGEST_ANSWER).await.ok()?;
    Some(StoredResponse {
        status,
        content_type,
        body: body.as_ref().into(),
    })
}
