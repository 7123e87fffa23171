//! Answers under way: a task for each connection that reads a response.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use fescuewell_http::listener::{Reply, Sink, spawn};
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, StatusCode};
use serde_json::json;
use tokio::sync::watch;

use super::prompt::Interface;
use super::record::{Finish, Record, RecordKey, Usage};
use super::text::Seed;
use super::{Core, Engine};

/// Tokens in one chunk, when a reader has some way to catch up.
const TOKENS_AT_ONCE: u32 = 64;

/// One connection's reading of one response.
pub(super) struct Reader {
    core: Arc<Core>,
    key: RecordKey,
    id: Arc<str>,
    model: Arc<str>,
    interface: Interface,
    created: u64,
    seed: Seed,
    progress: watch::Receiver<u32>,
    cutoff: watch::Receiver<super::Cutoff>,
    silence: watch::Receiver<bool>,
    number: u64,
    /// Tokens given to the caller, or skipped at its wish.
    position: u32,
    /// Cut the connection off once so many tokens have been given.
    drop_after: Option<u32>,
}

/// What a reader does next.
enum Next {
    /// Give the tokens up to this one.
    Tokens(u32),
    /// The answer is whole.
    End(Finish, Usage),
    /// There is nothing to give now.
    Wait,
    /// Cut the connection off.
    Drop,
}

impl Drop for Reader {
    fn drop(&mut self) {
        let now = Engine::now();
        self.core.state().batch.detach(self.key, now);
    }
}

impl Reader {
    /// Begins to read a response after token `position`; `None` when its record is gone.
    pub(super) fn new(core: &Arc<Core>, key: RecordKey, position: u32) -> Option<Self> {
        let mut state = core.state();
        state.batch.attach(key);
        let drop_after = state.control.drop_after_tokens.filter(|after| *after > 0);
        let record = state.batch.get(key)?;
        let reader = Self {
            core: core.clone(),
            key,
            id: record.id.clone(),
            model: record.completion.model.clone(),
            interface: record.completion.interface,
            created: record.created,
            seed: record.seed,
            progress: record.subscribe(),
            cutoff: core.cutoff.subscribe(),
            silence: core.silence.subscribe(),
            number: core.connections.fetch_add(1, Ordering::SeqCst) + 1,
            position,
            drop_after: drop_after.filter(|_| position == 0),
        };
        drop(state);
        core.wake.notify_one();
        Some(reader)
    }

    /// The response's id.
    pub(super) fn id(&self) -> &str {
        &self.id
    }

    /// Streams the response to the caller.
    pub(super) fn stream(self, reply: Reply, mut headers: HeaderMap) {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        let sink = reply.stream(StatusCode::OK, headers);
        spawn(async move {
            let closed = sink.closed();
            tokio::select! {
                () = self.run(sink) => {}
                _ = closed.wait() => {}
            }
        });
    }

    async fn run(mut self, sink: Sink) {
        let opening = self.opening();
        loop {
            match self.next() {
                Next::Tokens(up_to) => {
                    let mut chunk = self.tokens(&opening, up_to);
                    if self.is_silent() {
                        let begun = chunk.split_to(chunk.len() / 2);
                        if sink.send(begun).await.is_err() {
                            return;
                        }
                        self.core.silence_over().await;
                    }
                    if sink.send(chunk).await.is_err() {
                        return;
                    }
                }
                Next::End(finish, usage) => {
                    let _ = sink.send(self.closing(finish, usage)).await;
                    sink.finish();
                    return;
                }
                Next::Wait => self.changed().await,
                Next::Drop => return,
            }
        }
    }

    /// Answers with the whole response once it has ended.
    pub(super) fn whole(mut self, reply: Reply, mut headers: HeaderMap) {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        spawn(async move {
            let closed = reply.closed();
            let body = tokio::select! {
                body = self.wait_whole() => body,
                _ = closed.wait() => None,
            };
            // Without a body the reply is dropped, which the listener turns into an error for the caller.
            if let Some(body) = body {
                reply.send(StatusCode::OK, headers, body);
            }
        });
    }

    async fn wait_whole(&mut self) -> Option<Bytes> {
        loop {
            match self.next() {
                Next::Tokens(up_to) => self.position = up_to,
                Next::End(finish, usage) => return Some(self.whole_body(finish, usage)),
                Next::Wait => self.changed().await,
                Next::Drop => return None,
            }
        }
    }

    fn next(&mut self) -> Next {
        let cutoff = *self.cutoff.borrow_and_update();
        self.progress.borrow_and_update();
        self.silence.borrow_and_update();
        if self.number <= cutoff.dropped {
            return Next::Drop;
        }
        if self.number <= cutoff.silenced {
            return Next::Wait;
        }
        if self.is_silent() && !self.may_begin_event() {
            return Next::Wait;
        }
        if self.drop_after.is_some_and(|after| self.position >= after) {
            return Next::Drop;
        }
        let state = self.core.state();
        let Some(record) = state.batch.get(self.key) else {
            return Next::Drop;
        };
        self.next_of(record)
    }

    fn is_silent(&self) -> bool {
        *self.silence.borrow()
    }

    /// Whether the silence is to begin inside an event that this connection has to send.
    fn may_begin_event(&self) -> bool {
        let state = self.core.state();
        let is_inside = state.control.silent_inside_event == Some(true);
        let record = state.batch.get(self.key);
        is_inside && record.is_some_and(|record| record.usage.completion > self.position)
    }

    fn next_of(&self, record: &Record) -> Next {
        let limit = self.drop_after.unwrap_or(u32::MAX);
        let available = record.usage.completion.min(limit);
        if available > self.position {
            let most = self.position.saturating_add(TOKENS_AT_ONCE);
            return Next::Tokens(available.min(most));
        }
        match record.finish {
            Some(finish) => Next::End(finish, record.usage),
            None => Next::Wait,
        }
    }

    async fn changed(&mut self) {
        tokio::select! {
            // Fails only once the record is gone, which the next look notices.
            progress = self.progress.changed() => {
                if progress.is_err() {
                    tokio::task::yield_now().await;
                }
            }
            _ = self.cutoff.changed() => {}
            _ = self.silence.changed() => {}
        }
    }

    /// What every chunk of this stream starts with.
    fn opening(&self) -> String {
        let object = match self.interface {
            Interface::Chat => "chat.completion.chunk",
            Interface::Text => "text_completion",
        };
        format!(
            "{{\"id\":{},\"object\":\"{object}\",\"created\":{},\"model\":{},",
            json!(&*self.id),
            self.created,
            json!(&*self.model)
        )
    }

    /// The events of the tokens after the reader's position, up to `up_to`.
    fn tokens(&mut self, opening: &str, up_to: u32) -> Bytes {
        let mut text = String::new();
        let mut token = String::new();
        while self.position < up_to {
            self.position += 1;
            token.clear();
            self.seed.push_token(self.position, &mut token);
            text.push_str("id: ");
            text.push_str(&self.position.to_string());
            text.push_str("\ndata: ");
            text.push_str(opening);
            text.push_str("\"choices\":[{\"index\":0,");
            self.push_content(&token, &mut text);
            text.push_str(",\"finish_reason\":null}]}\n\n");
        }
        text.into()
    }

    /// The tokens' words need no escapes in JSON.
    fn push_content(&self, token: &str, text: &mut String) {
        let (before, after) = match (self.interface, self.position) {
            (Interface::Chat, 1) => ("\"delta\":{\"role\":\"assistant\",\"content\":\"", "\"}"),
            (Interface::Chat, _) => ("\"delta\":{\"content\":\"", "\"}"),
            (Interface::Text, _) => ("\"text\":\"", "\""),
        };
        text.push_str(before);
        text.push_str(token);
        text.push_str(after);
    }

    /// The event that carries the finish reason and the usage, and the one that ends the stream.
    fn closing(&self, finish: Finish, usage: Usage) -> Bytes {
        let content = match self.interface {
            Interface::Chat => "\"delta\":{}",
            Interface::Text => "\"text\":\"\"",
        };
        format!(
            "data: {}\"choices\":[{{\"index\":0,{content},\"finish_reason\":\"{}\"}}],\"usage\":{}}}\n\ndata: [DONE]\n\n",
            self.opening(),
            finish.name(),
            usage.to_json()
        )
        .into()
    }

    fn whole_body(&self, finish: Finish, usage: Usage) -> Bytes {
        let answer = self.seed.answer(usage.completion);
        let (object, choice) = match self.interface {
            Interface::Chat => {
                let message = json!({"role": "assistant", "content": answer});
                (
                    "chat.completion",
                    json!({"index": 0, "message": message, "finish_reason": finish.name()}),
                )
            }
            Interface::Text => (
                "text_completion",
                json!({"index": 0, "text": answer, "finish_reason": finish.name()}),
            ),
        };
        let body = json!({
            "id": &*self.id,
            "object": object,
            "created": self.created,
            "model": &*self.model,
            "choices": [choice],
            "usage": usage.to_json(),
        });
        body.to_string().into()
    }
}
