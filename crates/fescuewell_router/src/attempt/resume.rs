//! Requests about a stream that its backend server already has: resumption and cancellation.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::spawn;
use fescuewell_http::upstream::{Client, Error, Exchange, Reachability, Target, Timeouts};
use fescuewell_node::request::Assignment;
use http::StatusCode;

use super::{MAX_ERROR_BODY_BYTES, Runner, STREAM_HEADER, matches_stream, names_other};
use crate::delivery::Delivery;

/// Maximum number of successive interruptions of one kind without a new token in between.
const MAX_INTERRUPTIONS: u32 = 4;

/// Successive interruptions of a response that brought no new token.
#[derive(Debug, Default)]
pub(super) struct Interruptions {
    broken: u32,
    silent: u32,
}

impl Interruptions {
    pub(super) fn record(&mut self, progressed: bool, stalled: bool) {
        if progressed {
            *self = Self::default();
            return;
        }
        match stalled {
            true => self.silent += 1,
            false => self.broken += 1,
        }
    }

    pub(super) fn total(&self) -> u32 {
        self.broken + self.silent
    }

    pub(super) fn is_broken(&self) -> bool {
        self.broken > MAX_INTERRUPTIONS
    }

    pub(super) fn is_silent(&self) -> bool {
        self.silent > MAX_INTERRUPTIONS
    }
}

/// Result of resuming a stream.
pub(super) enum ResumeResult {
    Response(Box<Exchange>),
    NotFound,
    /// Nothing arrived in time, which does not tell whether the stream goes on.
    Silent,
    Failed,
}

impl Runner<'_> {
    pub(super) async fn resume(
        &self,
        address: SocketAddr,
        stream: &str,
        after: u64,
    ) -> ResumeResult {
        let path = format!("/v1/responses/{stream}?stream=true&starting_after={after}");
        let request = http::Request::builder()
            .uri(path)
            .header(STREAM_HEADER, stream)
            .body(Bytes::new());
        let target = Target::new(address).with_deadline(self.deadline);
        let exchange = self
            .client
            .open(&target, request.unwrap_or_default(), self.timeouts)
            .await;
        match exchange {
            Ok(exchange)
                if exchange.status == StatusCode::OK && matches_stream(&exchange, stream) =>
            {
                ResumeResult::Response(Box::new(exchange))
            }
            Ok(exchange) if names_other(&exchange, stream) => ResumeResult::Failed,
            Ok(exchange) if exchange.status == StatusCode::NOT_FOUND => ResumeResult::NotFound,
            Err(Error::NotSent { .. }) => self.connection_failure(address).await,
            Err(error) if !error.is_broken() => ResumeResult::Silent,
            _ => ResumeResult::Failed,
        }
    }

    /// Distinguishes a path without any response from a server whose process is gone.
    async fn connection_failure(&self, address: SocketAddr) -> ResumeResult {
        match self.client.probe(address, self.timeouts.connect).await {
            Reachability::NoResponse => ResumeResult::Silent,
            Reachability::Accepted | Reachability::Refused => ResumeResult::Failed,
        }
    }

    /// Cancels the stream at the engine and takes the token usage from its record.
    pub(super) async fn cancel(&self, assignment: &Assignment, delivery: &mut Delivery) {
        let total = cancel(self.client, self.timeouts, assignment).await;
        delivery.used = total.unwrap_or(delivery.used);
    }

    /// Cancels a stream in the background, once another attempt has taken its place.
    pub fn discard(&self, assignment: Assignment) {
        let (client, timeouts) = (self.client.clone(), self.timeouts);
        spawn(async move {
            cancel(&client, timeouts, &assignment).await;
        });
    }
}

/// Cancels a stream and returns the token usage of its record.
///
/// The wait for the response is short: when the engine does not respond, the sweep or the engine's own
/// limits end the stream.
async fn cancel(client: &Client, timeouts: Timeouts, assignment: &Assignment) -> Option<Tokens> {
    let path = format!("/v1/responses/{}/cancel", assignment.stream);
    let request = http::Request::builder()
        .method(http::Method::POST)
        .uri(path)
        .header(STREAM_HEADER, &*assignment.stream)
        .body(Bytes::new());
    let timeouts = Timeouts {
        first_byte: timeouts.connect,
        ..timeouts
    };
    let longest = timeouts.connect + timeouts.first_byte + timeouts.progress;
    let target = Target::new(assignment.address).with_deadline(Instant::now() + longest);
    let exchange = client.open(&target, request.unwrap_or_default(), timeouts);
    let body = exchange.await.ok()?.collect(MAX_ERROR_BODY_BYTES).await;
    let record: serde_json::Value = serde_json::from_slice(&body.ok()?).ok()?;
    record["usage"]["total_tokens"].as_u64().map(Tokens)
}
