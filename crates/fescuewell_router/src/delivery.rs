//! Delivers a model's response to the caller, as an event stream or as a single body.

use std::sync::Arc;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::{Reply, Sink};
use fescuewell_http::refusal::refusal_response;
use fescuewell_http::sse;
use http::StatusCode;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderMap, HeaderValue};
use serde_json::{Value, json};

use crate::chat::Path;

/// Response header with the id of the request.
pub const ID_HEADER: &str = "x-request-id";
/// Response header set when the response starts from the beginning although the caller asked to resume an
/// earlier one.
pub const RESTARTED_HEADER: &str = "x-answer-restarted";
/// Data of the last event of a stream, by the convention of model engines.
const DONE: &[u8] = b"[DONE]";

/// How the caller wants to receive the response.
#[derive(Debug, Clone)]
pub struct ResponseOptions {
    /// The API path that was called.
    pub path: Path,
    /// Whether the response is an event stream or a single body.
    pub stream: bool,
    /// Whether the stream includes token usage.
    pub include_usage: bool,
    /// The request's id, sent in [`ID_HEADER`].
    pub id: Arc<str>,
    /// Number of the last event that the caller has received.
    pub last_event: u64,
}

/// The response to one caller.
pub struct Delivery {
    options: ResponseOptions,
    reply: Option<Reply>,
    sink: Option<Sink>,
    builder: ResponseBuilder,
    /// Number of the last event handled.
    pub last_event: u64,
    /// Tokens used, as reported by the backend server.
    pub used: Tokens,
    /// Number of output tokens received.
    pub output: u32,
    is_gone: bool,
    is_done: bool,
    is_restarted: bool,
}

/// Builds a single response body from the events of a stream.
#[derive(Debug, Default)]
struct ResponseBuilder {
    first: Option<Value>,
    text: String,
    finish: Value,
    usage: Value,
}

impl Delivery {
    /// Creates a delivery that has sent nothing yet.
    pub fn new(options: ResponseOptions, reply: Reply) -> Self {
        Self {
            last_event: options.last_event,
            options,
            reply: Some(reply),
            sink: None,
            builder: ResponseBuilder::default(),
            used: Tokens::ZERO,
            output: 0,
            is_gone: false,
            is_done: false,
            is_restarted: false,
        }
    }

    /// Whether a part of the response was sent to the caller.
    pub fn has_begun(&self) -> bool {
        self.sink.is_some()
    }

    /// Whether the caller disconnected.
    pub fn is_gone(&self) -> bool {
        self.is_gone
            || self
                .reply
                .as_ref()
                .is_some_and(|reply| reply.closed().now().is_some())
            || self
                .sink
                .as_ref()
                .is_some_and(|sink| sink.closed().now().is_some())
    }

    /// Whether the end of the response was received.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Discards an attempt of which nothing was sent, before the next attempt.
    ///
    /// Another attempt generates another text. So the response starts at its first token, whatever the caller
    /// has received of an earlier one, and [`RESTARTED_HEADER`] tells the caller.
    pub fn restart(&mut self) {
        self.last_event = 0;
        self.builder = ResponseBuilder::default();
        self.used = Tokens::ZERO;
        self.output = 0;
        self.is_done = false;
        self.is_restarted = true;
    }

    /// Handles one event of the backend server's stream.
    pub async fn handle_event(&mut self, event: sse::Event) {
        if &event.data[..] == DONE {
            self.is_done = true;
            self.send(event).await;
            return;
        }
        let value: Value = serde_json::from_slice(&event.data).unwrap_or_default();
        if let Some(number) = event.id.as_deref().and_then(|id| id.parse().ok()) {
            self.last_event = number;
            self.output += 1;
        }
        let is_usage = value["usage"].is_object();
        if is_usage {
            let total = value["usage"]["total_tokens"].as_u64().unwrap_or_default();
            self.used = Tokens(total);
        }
        let is_usage_only = is_usage && value["choices"].as_array().is_none_or(Vec::is_empty);
        if self.options.stream {
            if !is_usage_only || self.options.include_usage {
                self.send(event).await;
            }
            return;
        }
        self.builder.add(self.options.path, value);
    }

    async fn send(&mut self, event: sse::Event) {
        if !self.options.stream || self.is_gone {
            return;
        }
        if self.sink.is_none() {
            self.open();
        }
        let Some(sink) = &self.sink else {
            return;
        };
        self.is_gone = sink.send(event.to_bytes()).await.is_err();
    }

    fn open(&mut self) {
        let Some(reply) = self.reply.take() else {
            return;
        };
        let mut headers = self.headers("text/event-stream");
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        self.sink = Some(reply.stream(StatusCode::OK, headers));
    }

    fn headers(&self, content_type: &'static str) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        if let Ok(id) = HeaderValue::from_str(&self.options.id) {
            headers.insert(ID_HEADER, id);
        }
        if self.options.last_event > 0 && self.is_restarted {
            headers.insert(RESTARTED_HEADER, HeaderValue::from_static("true"));
        }
        headers
    }

    /// Ends the stream, or sends the single body.
    pub async fn finish(mut self) {
        if self.options.stream && !self.is_done {
            self.send(sse::Event::data(DONE)).await;
        }
        if let Some(sink) = self.sink.take() {
            sink.finish();
            return;
        }
        let headers = self.headers("application/json");
        let Some(reply) = self.reply.take() else {
            return;
        };
        let body = self.builder.build(self.options.path);
        reply.send(StatusCode::OK, headers, Bytes::from(body.to_string()));
    }

    /// Forwards a complete response: a backend server's rejection or a stored response.
    pub fn forward(mut self, status: StatusCode, body: Bytes) {
        let headers = self.headers("application/json");
        if let Some(reply) = self.reply.take() {
            reply.send(status, headers, body);
        }
    }

    /// Refuses the request; if the stream has begun, the refusal is sent as its last event.
    pub async fn refuse(mut self, refusal: &Refusal) {
        if let Some(reply) = self.reply.take() {
            let mut response = refusal_response(refusal);
            if let Ok(id) = HeaderValue::from_str(&self.options.id) {
                response.headers_mut().insert(ID_HEADER, id);
            }
            let (parts, body) = response.into_parts();
            reply.send(parts.status, parts.headers, body);
            return;
        }
        let Some(sink) = self.sink.take() else {
            return;
        };
        let (_, body) = refusal_response(refusal).into_parts();
        let event = sse::Event::data(body).with_name("error");
        let _ = sink.send(event.to_bytes()).await;
        sink.finish();
    }
}

impl ResponseBuilder {
    fn add(&mut self, path: Path, value: Value) {
        let choice = &value["choices"][0];
        let text = match path {
            Path::Chat => &choice["delta"]["content"],
            Path::Text => &choice["text"],
        };
        self.text.push_str(text.as_str().unwrap_or_default());
        if !choice["finish_reason"].is_null() {
            self.finish = choice["finish_reason"].clone();
        }
        if value["usage"].is_object() {
            self.usage = value["usage"].clone();
        }
        if self.first.is_none() {
            self.first = Some(value);
        }
    }

    fn build(self, path: Path) -> Value {
        let first = self.first.unwrap_or_default();
        let (object, choice) = match path {
            Path::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": self.text},
                    "finish_reason": self.finish,
                }),
            ),
            Path::Text => (
                "text_completion",
                json!({"index": 0, "text": self.text, "finish_reason": self.finish}),
            ),
        };
        json!({
            "id": first["id"],
            "object": object,
            "created": first["created"],
            "model": first["model"],
            "choices": [choice],
            "usage": self.usage,
        })
    }
}
