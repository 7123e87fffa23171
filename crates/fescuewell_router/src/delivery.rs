//! How a model's answer reaches the caller: event by event, or assembled and whole.

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

/// Carries the request's id back to the caller.
pub const ID_HEADER: &str = "x-request-id";
/// Says that the answer starts anew, although the caller asked to go on with an earlier one.
pub const RESTARTED_HEADER: &str = "x-answer-restarted";
/// End of an event stream, by the convention of the model engines.
const DONE: &[u8] = b"[DONE]";

/// What the caller wants to receive.
#[derive(Debug, Clone)]
pub struct Wish {
    /// Which of the model paths was called.
    pub path: Path,
    /// Event by event, or whole.
    pub stream: bool,
    /// Whether usage is wanted in the stream.
    pub include_usage: bool,
    /// The request's id, told in a header.
    pub id: Arc<str>,
    /// Number of the last event that the caller already has.
    pub last_event: u64,
}

/// The caller's end of an answer.
pub struct Delivery {
    wish: Wish,
    reply: Option<Reply>,
    sink: Option<Sink>,
    assembly: Assembly,
    /// Number of the last event that was taken in.
    pub last: u64,
    /// Tokens that the backend server says were used.
    pub used: Tokens,
    /// Output tokens seen.
    pub output: u32,
    is_gone: bool,
    is_done: bool,
    is_restarted: bool,
}

/// Puts a whole answer together from the events of a stream.
#[derive(Debug, Default)]
struct Assembly {
    first: Option<Value>,
    text: String,
    finish: Value,
    usage: Value,
}

impl Delivery {
    /// A delivery that has sent nothing yet.
    pub fn new(wish: Wish, reply: Reply) -> Self {
        Self {
            last: wish.last_event,
            wish,
            reply: Some(reply),
            sink: None,
            assembly: Assembly::default(),
            used: Tokens::ZERO,
            output: 0,
            is_gone: false,
            is_done: false,
            is_restarted: false,
        }
    }

    /// Whether the caller has received a part of the answer.
    pub fn has_begun(&self) -> bool {
        self.sink.is_some()
    }

    /// Whether the caller went away.
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

    /// Whether the end of the answer was taken in.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Forgets an attempt of which nothing was sent on, before another one.
    ///
    /// A new run gives a new text, so that it starts at its first token whatever the caller has of an
    /// earlier one; a header says so.
    pub fn restart(&mut self) {
        self.last = 0;
        self.assembly = Assembly::default();
        self.used = Tokens::ZERO;
        self.output = 0;
        self.is_done = false;
        self.is_restarted = true;
    }

    /// Takes in one event of the backend server's stream.
    pub async fn take(&mut self, event: sse::Event) {
        if &event.data[..] == DONE {
            self.is_done = true;
            self.send(event).await;
            return;
        }
        let value: Value = serde_json::from_slice(&event.data).unwrap_or_default();
        if let Some(number) = event.id.as_deref().and_then(|id| id.parse().ok()) {
            self.last = number;
            self.output += 1;
        }
        let is_usage = value["usage"].is_object();
        if is_usage {
            let total = value["usage"]["total_tokens"].as_u64().unwrap_or_default();
            self.used = Tokens(total);
        }
        let is_usage_alone = is_usage && value["choices"].as_array().is_none_or(Vec::is_empty);
        if self.wish.stream {
            if !is_usage_alone || self.wish.include_usage {
                self.send(event).await;
            }
            return;
        }
        self.assembly.add(self.wish.path, value);
    }

    async fn send(&mut self, event: sse::Event) {
        if !self.wish.stream || self.is_gone {
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
        if let Ok(id) = HeaderValue::from_str(&self.wish.id) {
            headers.insert(ID_HEADER, id);
        }
        if self.wish.last_event > 0 && self.is_restarted {
            headers.insert(RESTARTED_HEADER, HeaderValue::from_static("true"));
        }
        headers
    }

    /// Ends a whole answer.
    pub async fn finish(mut self) {
        if self.wish.stream && !self.is_done {
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
        let body = self.assembly.whole(self.wish.path);
        reply.send(StatusCode::OK, headers, Bytes::from(body.to_string()));
    }

    /// Passes on what a backend server said about a request that it did not take.
    pub fn pass_on(mut self, status: StatusCode, body: Bytes) {
        let headers = self.headers("application/json");
        if let Some(reply) = self.reply.take() {
            reply.send(status, headers, body);
        }
    }

    /// Refuses the request; within a stream that has begun, as its last event.
    pub async fn refuse(mut self, refusal: &Refusal) {
        if let Some(reply) = self.reply.take() {
            let mut response = refusal_response(refusal);
            if let Ok(id) = HeaderValue::from_str(&self.wish.id) {
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

impl Assembly {
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

    fn whole(self, path: Path) -> Value {
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
