//! Fixtures for the tests of engine and service.
#![allow(dead_code)] // Each test program uses some of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_http::sse::{Decoder, Event};
use fescuewell_http::upstream::{Client, Error, Exchange, Target, Timeouts};
use serde_json::{Value, json};

/// Longest that a test waits for something that must happen; reached only when it fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub const MODEL: &str = "auslan-7b";

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn patient() -> Timeouts {
    Timeouts {
        connect: PATIENCE,
        first_byte: PATIENCE,
        progress: PATIENCE,
    }
}

pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> http::Request<Bytes> {
    let mut request = http::Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = match body {
        Value::Null => Bytes::new(),
        body => body.to_string().into(),
    };
    request.body(body).unwrap()
}

pub async fn open(address: SocketAddr, request: http::Request<Bytes>) -> Result<Exchange, Error> {
    Client::default()
        .open(&Target::new(address), request, patient())
        .await
}

/// Sends a request and reads its JSON answer.
pub async fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> (u16, Value) {
    let exchange = open(address, request(method, path, headers, body))
        .await
        .unwrap();
    let status = exchange.status.as_u16();
    let body = exchange.collect(10_000_000).await.unwrap();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

pub async fn get(address: SocketAddr, path: &str) -> (u16, Value) {
    ask(address, "GET", path, &[], &Value::Null).await
}

pub async fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    ask(address, "POST", path, &[], body).await
}

/// A streamed chat request that yields exactly `tokens`.
pub fn chat(prompt: &str, tokens: u32) -> Value {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "ignore_eos": true,
        "stream": true,
    })
}

/// What one connection of a stream brought.
#[derive(Debug, Default)]
pub struct Heard {
    pub text: String,
    pub last: u32,
    pub ids: Vec<u32>,
    pub finish: Option<String>,
    pub usage: Value,
    pub done: bool,
    pub error: Option<Error>,
}

/// Opens a chat stream under an id.
pub async fn start(address: SocketAddr, id: &str, body: &Value) -> Exchange {
    let request = request(
        "POST",
        "/v1/chat/completions",
        &[("x-request-id", id)],
        body,
    );
    open(address, request).await.unwrap()
}

/// Takes a stream up again after a token.
pub async fn resume(address: SocketAddr, id: &str, after: u32) -> Exchange {
    let path = format!("/v1/responses/{id}?stream=true&starting_after={after}");
    open(address, request("GET", &path, &[], &Value::Null))
        .await
        .unwrap()
}

/// Reads a stream to its end, or to the token `until`.
pub async fn listen(exchange: &mut Exchange, until: u32) -> Heard {
    let mut heard = Heard::default();
    let mut decoder = Decoder::new(1_000_000);
    let mut events = Vec::new();
    while heard.last < until {
        match exchange.next_chunk().await {
            None => break,
            Some(Err(error)) => {
                heard.error = Some(error);
                break;
            }
            Some(Ok(chunk)) => decoder.push(&chunk, &mut events).unwrap(),
        }
        for event in events.drain(..) {
            take(&mut heard, &event);
        }
    }
    heard
}

fn take(heard: &mut Heard, event: &Event) {
    if &event.data[..] == b"[DONE]" {
        heard.done = true;
        return;
    }
    let data: Value = serde_json::from_slice(&event.data).unwrap();
    let choice = &data["choices"][0];
    let content = choice["delta"]["content"].as_str();
    heard
        .text
        .push_str(content.or(choice["text"].as_str()).unwrap_or_default());
    if let Some(id) = &event.id {
        heard.last = id.parse().unwrap();
        heard.ids.push(heard.last);
    }
    if let Some(finish) = choice["finish_reason"].as_str() {
        heard.finish = Some(finish.to_owned());
        heard.usage = data["usage"].clone();
    }
}

/// The answer that the engine must give.
pub fn expected(prompt: &str, id: &str, tokens: u32) -> String {
    use fescuewell_standin::engine::{prompt::render, text::Seed};
    Seed::new(&render(&[("user", prompt)]), id).answer(tokens)
}

/// Waits until `holds`, for what another thread does.
pub async fn eventually<Condition>(what: &str, holds: Condition)
where
    Condition: Fn() -> bool,
{
    let deadline = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < deadline, "never: {what}");
        tokio::task::yield_now().await;
    }
}

/// Asks again and again until the answer holds.
pub async fn eventually_get<Condition>(address: SocketAddr, path: &str, holds: Condition) -> Value
where
    Condition: Fn(&Value) -> bool,
{
    let deadline = Instant::now() + PATIENCE;
    loop {
        let (_, answer) = get(address, path).await;
        if holds(&answer) {
            return answer;
        }
        assert!(Instant::now() < deadline, "never: {path}: {answer}");
    }
}

pub fn text(text: &str) -> Arc<str> {
    text.into()
}
