//! One attempt of a call of a plain service.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_claims::message::{MAX_RESPONSE_BYTES, StoredResponse};
use fescuewell_core::prelude::*;
use fescuewell_http::upstream::{Client, Error, Exchange, Target, Timeouts};
use fescuewell_node::request::{Assignment, End};
use http::StatusCode;
use http::header::CONTENT_TYPE;

use crate::attempt::{STREAM_HEADER, names_other};

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

/// Exchanges of one call that may still bring its response, by attempt.
#[derive(Default)]
pub struct Exchanges<'a>(Vec<(u32, Answer<'a>)>);

type Answer<'a> = Pin<Box<dyn Future<Output = Outcome> + Send + 'a>>;

impl Call<'_> {
    /// Sends the call at most once. If it may have reached the service, it is not sent again: the outcome is
    /// read from the service's own record.
    ///
    /// The exchange stays in `open` while the service is silent.
    pub async fn run<'b>(&'b self, assignment: &Assignment, open: &mut Exchanges<'b>) -> Outcome {
        let answer = Box::pin(self.exchange(assignment.clone()));
        open.0.push((assignment.attempt, answer));
        self.wait(assignment, open).await
    }

    /// Waits for a response to any open exchange until the service of the current attempt has been silent
    /// for too long.
    pub async fn wait(&self, assignment: &Assignment, open: &mut Exchanges<'_>) -> Outcome {
        tokio::select! {
            outcome = open.next(assignment.attempt) => outcome,
            outcome = self.watch_silence(assignment) => outcome,
        }
    }

    async fn exchange(&self, assignment: Assignment) -> Outcome {
        let target = Target::new(assignment.address).with_deadline(self.deadline);
        let time_left = self.time_left();
        let timeouts = Timeouts {
            connect: self.timeouts.connect,
            first_byte: time_left,
            progress: time_left,
        };
        let request = self.request(&assignment);
        let exchange = match self.client.open(&target, request, timeouts).await {
            Ok(exchange) => exchange,
            Err(Error::NotSent { .. }) => return without_response(End::NotSent),
            Err(error) => return self.poll_record(&assignment, !error.is_broken()).await,
        };
        if names_other(&exchange, &assignment.stream) {
            return self.poll_record(&assignment, false).await;
        }
        let status = exchange.status;
        if status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE {
            return without_response(End::Busy);
        }
        match read_response(exchange).await {
            Some(response) if !status.is_server_error() => self.done(response),
            _ => self.poll_record(&assignment, false).await,
        }
    }

    /// Looks for the response in the service's record while its exchange is silent, which may be the fault of
    /// that connection alone. A call that may not be repeated has no other way to its response.
    async fn watch_silence(&self, assignment: &Assignment) -> Outcome {
        tokio::time::sleep(self.timeouts.first_byte).await;
        for attempt in 0.. {
            if let Some(response) = self.fetch_record(assignment).await {
                return self.done(response);
            }
            let is_early = attempt < RECORD_ATTEMPTS;
            if Instant::now() >= self.deadline || (self.repeatable && !is_early) {
                break;
            }
            let delay = if is_early {
                RECORD_DELAY
            } else {
                LATE_RECORD_DELAY
            };
            tokio::time::sleep(delay.min(self.time_left())).await;
        }
        lost(true)
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
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
        let time_left = self.time_left();
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
        lost(stalled)
    }

    async fn fetch_record(&self, assignment: &Assignment) -> Option<StoredResponse> {
        let request = http::Request::builder()
            .uri(format!("/calls/{}", assignment.stream))
            .header(STREAM_HEADER, &*assignment.stream)
            .body(Bytes::new())
            .ok()?;
        let target = Target::new(assignment.address).with_deadline(self.deadline);
        let exchange = self
            .client
            .open(&target, request, self.timeouts)
            .await
            .ok()?;
        if exchange.status != StatusCode::OK || names_other(&exchange, &assignment.stream) {
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
    pub async fn poll_record_late(&self, assignment: &Assignment, unknown: End) -> End {
        for _ in 0..LATE_RECORD_ATTEMPTS {
            tokio::time::sleep(LATE_RECORD_DELAY).await;
            if let Some(response) = self.fetch_record(assignment).await {
                return self.done(response).end;
            }
        }
        unknown
    }
}

impl Exchanges<'_> {
    /// Waits for the first response, or for the end of the exchange of `attempt` without one.
    async fn next(&mut self, attempt: u32) -> Outcome {
        loop {
            let (ended, outcome) = std::future::poll_fn(|context| self.poll_next(context)).await;
            if ended == attempt || outcome.response.is_some() {
                return outcome;
            }
        }
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<(u32, Outcome)> {
        for (index, (attempt, answer)) in self.0.iter_mut().enumerate() {
            let Poll::Ready(outcome) = answer.as_mut().poll(context) else {
                continue;
            };
            let attempt = *attempt;
            drop(self.0.swap_remove(index));
            return Poll::Ready((attempt, outcome));
        }
        Poll::Pending
    }
}

fn lost(stalled: bool) -> Outcome {
    without_response(End::Lost {
        used: Tokens::ZERO,
        stalled,
        delivered: false,
    })
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
