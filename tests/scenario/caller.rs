//! Callers, which send a request and classify the response.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Outcome of a request as the caller observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response arrived.
    Complete {
        /// Text of the chat, or body of the call.
        text: String,
        /// Total tokens that the response reports; 0 for calls.
        tokens: u64,
    },
    /// The request was refused with an error body.
    Refused {
        /// Number of the result code.
        code: u64,
        /// `not_run`, `unknown` or `ran`.
        run: String,
    },
    /// The connection broke before the response was complete.
    Broken {
        /// Number of the last event received.
        last: u64,
    },
}

impl Outcome {
    /// Returns the line that scripts match.
    pub fn line(&self) -> String {
        match self {
            Self::Complete { .. } => "whole".into(),
            Self::Refused { code, run } => format!("refused {code} {run}"),
            Self::Broken { .. } => "broken".into(),
        }
    }
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// API key of the client account.
    pub key: String,
    /// Idempotency key.
    pub id: String,
    /// Limit of output tokens; unused for calls.
    pub tokens: u64,
    /// Prompt of the chat, or booking of the call.
    pub text: String,
    /// Number of the last event that the caller received before, or 0.
    pub after: u64,
}

fn post(
    address: SocketAddr,
    path: &str,
    request: &Request,
    body: &Value,
) -> attohttpc::Result<attohttpc::Response> {
    attohttpc::post(format!("http://{address}{path}"))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .timeout(REQUEST_TIMEOUT)
        .bearer_auth(&request.key)
        .header("Idempotency-Key", &request.id)
        .header("Last-Event-ID", request.after)
        .text(body.to_string())
        .send()
}

/// Requests a streamed chat. Panics if an event is repeated or skipped.
pub fn chat(address: SocketAddr, model: &str, request: &Request) -> Outcome {
    let body = json!({
        "model": model,
        "stream": true,
        "stream_options": {"include_usage": true},
        "max_tokens": request.tokens,
        "messages": [{"role": "user", "content": request.text}],
    });
    match post(address, "/v1/chat/completions", request, &body) {
        Err(_) => Outcome::Broken {
            last: request.after,
        },
        Ok(response) if response.is_success() => {
            // The earlier run was not found, for example because the holder of its claim crashed. The response then
            // restarts from the first event, as its header indicates, and the caller discards the events it has.
            let is_restarted = response.headers().contains_key("x-answer-restarted");
            let after = if is_restarted { 0 } else { request.after };
            read_stream(response, after)
        }
        Ok(response) => refusal(response),
    }
}

/// Calls a plain service.
pub fn call(address: SocketAddr, name: &str, request: &Request) -> Outcome {
    let path = format!("/v1/services/desk/{name}");
    match post(address, &path, request, &json!({"booking": request.text})) {
        Err(_) => Outcome::Broken { last: 0 },
        Ok(response) if response.is_success() => match response.text() {
            Ok(text) => Outcome::Complete { text, tokens: 0 },
            Err(_) => Outcome::Broken { last: 0 },
        },
        Ok(response) => refusal(response),
    }
}

fn refusal(response: attohttpc::Response) -> Outcome {
    match response.json::<Value>() {
        Ok(body) => refused(&body),
        Err(_) => Outcome::Broken { last: 0 },
    }
}

fn refused(body: &Value) -> Outcome {
    let error = &body["error"];
    Outcome::Refused {
        code: error["code"].as_u64().unwrap_or_default(),
        run: error["run"].as_str().unwrap_or_default().into(),
    }
}

fn read_stream(response: attohttpc::Response, after: u64) -> Outcome {
    let (mut last, mut tokens, mut text) = (after, 0, String::new());
    for line in BufReader::new(response).lines() {
        let Ok(line) = line else {
            return Outcome::Broken { last };
        };
        if let Some(number) = line.strip_prefix("id: ") {
            let number: u64 = number.parse().expect("events are numbered");
            assert_eq!(number, last + 1, "an event was repeated or skipped");
            last = number;
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return Outcome::Complete { text, tokens };
        }
        let value: Value = serde_json::from_str(data).expect("events are JSON");
        if value["error"].is_object() {
            return refused(&value);
        }
        text.push_str(
            value["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        tokens = value["usage"]["total_tokens"].as_u64().unwrap_or(tokens);
    }
    Outcome::Broken { last }
}
