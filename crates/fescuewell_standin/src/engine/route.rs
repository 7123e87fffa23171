//! Paths of the engine's interface.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fescuewell_http::listener::{Handler, Reply, Request, spawn};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use serde_json::{Value, json};

use super::batch::Batch;
use super::cache::{self, Kind, block_hashes};
use super::problem::Problem;
use super::prompt::{Completion, Interface, Metadata, header, parse_json};
use super::record::RecordKey;
use super::stream::Reader;
use super::{Control, Core, Engine, order};

/// Cache events in one answer.
const EVENTS_AT_ONCE: usize = 1_000;

/// Size of a KV block, as reported by exports.
const KV_BLOCK_BYTES: u64 = 2 * 1024 * 1024;

/// Takes the engine's requests.
#[derive(Clone)]
pub(super) struct Router {
    core: Arc<Core>,
    unnamed: Arc<AtomicU64>,
}

/// An answer that is not a stream of its own.
enum Answer {
    Json(Value),
    Text(String),
    /// Read the response after this token.
    Read {
        key: RecordKey,
        after: u32,
        stream: bool,
    },
    /// Cut the connection off.
    Nothing,
}

impl Handler for Router {
    fn handle(&self, request: Request, reply: Reply) {
        // After a pause, a process reads what has arrived in the order in which it arrived.
        let is_next = !*self.core.silence.borrow() && self.core.turns.try_lock().is_ok();
        if is_next || &*request.path == "/control" {
            return self.respond(&request, reply);
        }
        let router = self.clone();
        spawn(async move {
            let _turn = router.core.turns.lock().await;
            router.core.silence_over().await;
            router.respond(&request, reply);
        });
    }
}

impl Router {
    fn respond(&self, request: &Request, reply: Reply) {
        let headers = self.headers(request);
        match self.answer(request) {
            Ok(Answer::Json(value)) => send(reply, StatusCode::OK, headers, value.to_string()),
            Ok(Answer::Text(text)) => reply.send(StatusCode::OK, headers, text.into()),
            Ok(Answer::Read { key, after, stream }) => {
                self.read(key, after, stream, headers, reply);
            }
            Ok(Answer::Nothing) => reply.abort(),
            Err(problem) => send(reply, problem.status(), headers, problem.body()),
        }
    }
}

fn send<Body>(reply: Reply, status: StatusCode, mut headers: HeaderMap, body: Body)
where
    Body: Into<Bytes>,
{
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply.send(status, headers, body.into());
}

impl Router {
    pub(super) fn new(core: Arc<Core>) -> Self {
        Self {
            core,
            unnamed: Arc::default(),
        }
    }

    fn headers(&self, request: &Request) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(id) = request.headers.get("x-request-id") {
            headers.insert("x-request-id", id.clone());
        }
        if self.core.state().control.leaving == Some(true) {
            headers.insert("x-leaving", HeaderValue::from_static("true"));
        }
        headers
    }

    fn answer(&self, request: &Request) -> Result<Answer, Problem> {
        let mut path = request.path.split('/').skip(1);
        let parts = [path.next(), path.next(), path.next(), path.next()];
        let parts = parts.map(Option::unwrap_or_default);
        match (&request.method, parts) {
            (&Method::POST, ["v1", "chat", "completions", ""]) => {
                self.complete(Interface::Chat, request)
            }
            (&Method::POST, ["v1", "completions", "", ""]) => {
                self.complete(Interface::Text, request)
            }
            (&Method::GET, ["v1", "responses", "", ""]) => Ok(self.list(request)),
            (&Method::GET, ["v1", "responses", id, ""]) => self.response(id, request),
            (&Method::POST, ["v1", "responses", id, "cancel"]) => self.cancel(id),
            (&Method::GET, ["v1", "models", "", ""]) => {
                Ok(Answer::Json(self.core.state().models.to_json()))
            }
            (&Method::POST, ["v1", "orders", "", ""]) => {
                order::order(&self.core, &request.headers, &request.body).map(Answer::Json)
            }
            (&Method::POST, ["v1", "kv", "export", ""]) => self.export(request),
            (&Method::POST, ["v1", "kv", "import", ""]) => self.import(request),
            (&Method::GET, ["v1", "cache_events", "", ""]) => Ok(self.cache_events(request)),
            (&Method::GET, ["metrics", "", "", ""]) => Ok(self.metrics()),
            (&Method::GET, ["health", "", "", ""]) => Ok(self.health()),
            (&Method::POST, ["control", "", "", ""]) => self.control(request),
            _ => Err(Problem::NoSuchPath),
        }
    }

    fn complete(&self, interface: Interface, request: &Request) -> Result<Answer, Problem> {
        let completion = Completion::parse(interface, &request.body)?;
        let metadata = Metadata::from_headers(&request.headers);
        let id = header(&request.headers, "x-request-id").unwrap_or_else(|| self.name());
        let stream = completion.stream;
        let mut state = self.core.state();
        let state = &mut *state;
        if state.control.refuse == Some(true) {
            return Err(Problem::Refusing);
        }
        if !state.models.is_loaded(&completion.model) {
            let model = completion.model;
            return Err(Problem::ModelNotLoaded { model });
        }
        let settings = &self.core.settings;
        let now = Engine::now();
        let key = state
            .batch
            .submit(id, completion, metadata, settings, now)?;
        if state.control.leaving == Some(true) {
            state.batch.counters.started_while_leaving += 1;
        }
        self.core.wake.notify_one();
        if state.control.lose_replies == Some(true) {
            return Ok(Answer::Nothing);
        }
        let after = 0;
        Ok(Answer::Read { key, after, stream })
    }

    fn name(&self) -> Arc<str> {
        let number = self.unnamed.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.core.settings.name).into()
    }

    fn read(&self, key: RecordKey, after: u32, stream: bool, headers: HeaderMap, reply: Reply) {
        let Some(reader) = Reader::new(&self.core, key, after) else {
            return reply.abort();
        };
        let mut headers = headers;
        if let Ok(id) = HeaderValue::from_str(reader.id()) {
            headers.insert("x-request-id", id);
        }
        match stream {
            true => reader.stream(reply, headers),
            false => reader.whole(reply, headers),
        }
    }

    fn response(&self, id: &str, request: &Request) -> Result<Answer, Problem> {
        let state = self.core.state();
        let key = state.batch.find(id)?;
        let stream = parameter(&request.query, "stream") == Some("true");
        if stream {
            let after = number(&request.query, "starting_after")?.unwrap_or(0);
            let after = u32::try_from(after).unwrap_or(u32::MAX);
            return Ok(Answer::Read { key, after, stream });
        }
        let record = state.batch.get(key);
        Ok(Answer::Json(
            record.map_or(Value::Null, |record| record.to_json()),
        ))
    }

    fn list(&self, request: &Request) -> Answer {
        let holder = parameter(&request.query, "holder");
        let prefix = holder.map_or_else(String::new, |holder| format!("fw.{holder}."));
        let state = self.core.state();
        let matching = state
            .batch
            .records()
            .filter(|record| record.id.starts_with(&prefix));
        let records: Vec<Value> = matching.map(|record| record.to_json()).collect();
        Answer::Json(json!({"object": "list", "data": records}))
    }

    fn cancel(&self, id: &str) -> Result<Answer, Problem> {
        let mut state = self.core.state();
        let key = state.batch.find(id)?;
        state.batch.cancel(key, Engine::now());
        let record = state.batch.get(key);
        Ok(Answer::Json(
            record.map_or(Value::Null, |record| record.to_json()),
        ))
    }

    fn export(&self, request: &Request) -> Result<Answer, Problem> {
        let completion = Completion::parse(Interface::Chat, &request.body)
            .or_else(|_| Completion::parse(Interface::Text, &request.body))?;
        let chain = block_hashes(
            &completion.model,
            &completion.cache_salt,
            &completion.prompt,
        );
        let state = self.core.state();
        let cached = state.batch.cache.matching(&chain);
        let blocks: Vec<String> = chain[..cached].iter().copied().map(hex).collect();
        Ok(Answer::Json(blocks_json(&blocks)))
    }

    fn import(&self, request: &Request) -> Result<Answer, Problem> {
        let body = parse_json(&request.body)?;
        let blocks: Option<Vec<u64>> = body["blocks"]
            .as_array()
            .and_then(|blocks| blocks.iter().map(unhex).collect());
        let Some(chain) = blocks else {
            return Err(Problem::invalid("blocks is not a list of hashes"));
        };
        let mut state = self.core.state();
        let room = free_blocks(&state.batch, self.core.settings.kv_blocks);
        state.batch.cache.store(&chain, room, Engine::now());
        let blocks: Vec<String> = chain.iter().copied().map(hex).collect();
        Ok(Answer::Json(blocks_json(&blocks)))
    }

    fn cache_events(&self, request: &Request) -> Answer {
        let after = number(&request.query, "after").ok().flatten().unwrap_or(0);
        let state = self.core.state();
        let lag = millis_or(
            state.control.cache_event_lag_ms,
            self.core.settings.cache_event_lag,
        );
        let events = state
            .batch
            .cache
            .events(after, lag, EVENTS_AT_ONCE, Engine::now());
        let next = events.last().map_or(after, |event| event.seq);
        let events: Vec<Value> = events.into_iter().map(event_json).collect();
        Answer::Json(json!({"events": events, "next": next}))
    }

    fn metrics(&self) -> Answer {
        let state = self.core.state();
        let settings = &self.core.settings;
        let lag = millis_or(state.control.report_lag_ms, settings.report_lag);
        let text = state.reports.text(lag, settings.kv_blocks, Engine::now());
        Answer::Text(text)
    }

    fn health(&self) -> Answer {
        let leaving = self.core.state().control.leaving == Some(true);
        let status = if leaving { "leaving" } else { "ok" };
        Answer::Json(json!({ "status": status }))
    }

    fn control(&self, request: &Request) -> Result<Answer, Problem> {
        let control: Control = serde_json::from_slice(&request.body)
            .map_err(|error| Problem::invalid(error.to_string()))?;
        order::control(&self.core, &control);
        Ok(Answer::Json(json!({"accepted": true})))
    }
}

fn free_blocks(batch: &Batch, capacity: usize) -> usize {
    capacity.saturating_sub(batch.used_blocks())
}

fn millis_or(millis: Option<u64>, otherwise: Duration) -> Duration {
    millis.map_or(otherwise, Duration::from_millis)
}

fn event_json(event: &cache::Event) -> Value {
    let kind = match event.kind {
        Kind::Stored => "stored",
        Kind::Removed => "removed",
    };
    let blocks: Vec<String> = event.blocks.iter().copied().map(hex).collect();
    json!({"seq": event.seq, "kind": kind, "blocks": blocks})
}

fn blocks_json(blocks: &[String]) -> Value {
    let bytes = blocks.len() as u64 * KV_BLOCK_BYTES;
    json!({"blocks": blocks, "bytes": bytes})
}

fn hex(hash: u64) -> String {
    format!("{hash:016x}")
}

fn unhex(value: &Value) -> Option<u64> {
    u64::from_str_radix(value.as_str()?, 16).ok()
}

/// The value of a query parameter; values here never need escapes.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut matching = pairs.filter(|(key, _)| *key == name);
    matching.next().map(|(_, value)| value)
}

fn number(query: &str, name: &str) -> Result<Option<u64>, Problem> {
    let Some(text) = parameter(query, name) else {
        return Ok(None);
    };
    let parsed = text.parse().map(Some);
    parsed.map_err(|_| Problem::invalid(format!("{name} is not a number")))
}
