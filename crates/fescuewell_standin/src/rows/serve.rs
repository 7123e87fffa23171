//! The store's protocol.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use fescuewell_core::platform::ObjectStore as _;
use fescuewell_http::listener::{Handler, Reply, Request, Sink, spawn};
use fescuewell_platform::layout;
use fescuewell_platform::memory::CallResult;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, HeaderName, Method, StatusCode};
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::Fault;
use super::content::{Content, Place, Write};

/// Begin of the paths of the store.
const STORE: &str = "/-/";
const ROWS_TX: &str = "/-/rows-tx";
/// Response header with the store's epoch.
const ERA: HeaderName = HeaderName::from_static("store-era");
/// Longest wait of a feed.
const MOST_WAIT: Duration = Duration::from_secs(30);
/// Chunks a second in which the body of a response arrives over a narrow link.
const CHUNKS_PER_S: usize = 20;
/// Rows in one reading.
const PAGE: usize = 500;
/// Entries in one transaction.
const MAX_ENTRIES: usize = 100;
/// Bytes of a table's, part's or key's name.
const MOST_NAME: usize = 200;
/// Tables that only the operator and the backend servers write.
const FOREIGN: [&str; 2] = ["op", SERVERS];
/// Table of the entries of backend servers.
const SERVERS: &str = "servers";

#[derive(Deserialize, Serialize)]
struct WireRow {
    table: Arc<str>,
    #[serde(default)]
    part: Arc<str>,
    key: Arc<str>,
    #[serde(default)]
    value: Option<String>,
    #[serde(default)]
    ver: u64,
}

impl WireRow {
    fn place(&self) -> Place {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }

    fn is_too_long(&self) -> bool {
        let names = [&self.table, &self.part, &self.key];
        names.iter().any(|name| name.len() > MOST_NAME)
    }
}

#[derive(Deserialize)]
struct WireChange {
    #[serde(default, rename = "expectedRev")]
    expected: Vec<WireRow>,
    #[serde(default)]
    puts: Vec<WireRow>,
    #[serde(default)]
    remove: Vec<WireRow>,
    #[serde(default)]
    across: bool,
}

impl WireChange {
    fn entries(&self) -> impl Iterator<Item = &WireRow> {
        let writes = self.puts.iter().chain(&self.remove);
        self.expected.iter().chain(writes)
    }

    /// Status of a change that the store does not take.
    fn refusal(&self) -> Option<StatusCode> {
        let mut written = self.puts.iter().chain(&self.remove);
        if written.any(|row| FOREIGN.contains(&&*row.table)) {
            return Some(StatusCode::FORBIDDEN);
        }
        let first = self.entries().next();
        let is_elsewhere = |row: &WireRow| first.is_some_and(|first| first.part != row.part);
        let is_split = !self.across && self.entries().any(is_elsewhere);
        let is_large = self.entries().count() > MAX_ENTRIES;
        let is_long = self.entries().any(WireRow::is_too_long);
        (is_split || is_large || is_long).then_some(StatusCode::BAD_REQUEST)
    }
}

/// Handler of one endpoint.
pub(super) struct Server {
    pub(super) content: Content,
    pub(super) fault: Arc<Mutex<Fault>>,
    pub(super) token: Option<Arc<str>>,
    pub(super) others: Option<Arc<dyn Handler>>,
    pub(super) reroutes: Arc<[(SocketAddr, SocketAddr)]>,
}

impl Handler for Server {
    fn handle(&self, request: Request, reply: Reply) {
        let endpoint = Endpoint {
            content: self.content.clone(),
            fault: *self.fault.lock().unwrap_or_else(PoisonError::into_inner),
            mode: self.fault.clone(),
            reroutes: self.reroutes.clone(),
        };
        if !self.is_allowed(&request) {
            return endpoint.send(reply, StatusCode::UNAUTHORIZED, &json!({}));
        }
        match &self.others {
            Some(others) if !request.path.starts_with(STORE) => others.handle(request, reply),
            _ => spawn(async move { endpoint.serve(request, reply).await }),
        }
    }
}

impl Server {
    fn is_allowed(&self, request: &Request) -> bool {
        let Some(token) = &self.token else {
            return true;
        };
        let header = request.headers.get(AUTHORIZATION);
        let sent = header.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
        sent == Some(token)
    }
}

fn row(place: &Place, value: Option<&[u8]>, version: u64) -> Value {
    let mut row = json!({"table": place.0, "part": place.1, "key": place.2, "ver": version});
    match value {
        Some(value) => row["value"] = STANDARD.encode(value).into(),
        None => row["deleted"] = true.into(),
    }
    row
}

/// Whether a transaction writes to a table.
fn writes_to(body: &[u8], table: &str) -> bool {
    let change = serde_json::from_slice::<WireChange>(body);
    change.is_ok_and(|change| change.puts.iter().any(|row| &*row.table == table))
}

/// Context of one call.
struct Endpoint {
    content: Content,
    /// Fault at the arrival of the call.
    fault: Fault,
    mode: Arc<Mutex<Fault>>,
    reroutes: Arc<[(SocketAddr, SocketAddr)]>,
}

/// Status and body of an answer; none if the connection is closed instead.
type Answer = Option<(StatusCode, Value)>;

impl Endpoint {
    fn send(&self, reply: Reply, status: StatusCode, body: &Value) {
        let mut headers = HeaderMap::new();
        headers.insert(ERA, HeaderValue::from(self.content.state().era));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let body = Bytes::from(body.to_string());
        let Fault::Narrow(bytes_per_s) = self.fault else {
            return reply.send(status, headers, body);
        };
        let sink = reply.stream(status, headers);
        spawn(trickle(sink, body, bytes_per_s));
    }

    async fn serve(&self, request: Request, reply: Reply) {
        let path = request.path.clone();
        self.content.count(&path);
        match self.fault {
            Fault::Silent => return hold(reply).await,
            Fault::Reset => return reply.abort(),
            Fault::Busy => return self.send(reply, StatusCode::SERVICE_UNAVAILABLE, &json!({})),
            Fault::None
            | Fault::LostReplies
            | Fault::Late(_)
            | Fault::LateWrites(..)
            | Fault::SilentFeeds
            | Fault::Narrow(_) => {}
        }
        if let Some(name) = path.strip_prefix("/-/blob-put/") {
            return self.put_object(reply, &request, name).await;
        }
        if let Some(name) = path.strip_prefix("/-/blob-get/") {
            return self.get_object(reply, name).await;
        }
        if let Fault::LateWrites(table, delay) = self.fault
            && &*path == ROWS_TX
            && writes_to(&request.body, table)
        {
            tokio::time::sleep(delay).await;
            // Nobody waits for the answer any more.
            let _ = self.transact(&request.body);
            return reply.abort();
        }
        self.content.delay().pass().await;
        let query: HashMap<String, String> = form_urlencoded::parse(request.query.as_bytes())
            .into_owned()
            .collect();
        let answer = match &*path {
            "/-/rows-get" => self.get(&query),
            ROWS_TX => self.transact(&request.body),
            "/-/rows-feed" => self.feed(&query).await,
            _ => Some((StatusCode::NOT_FOUND, json!({}))),
        };
        if let Fault::Late(time) = self.fault {
            tokio::time::sleep(time).await;
        }
        match answer {
            Some(_) if self.fault == Fault::LostReplies && &*path == ROWS_TX => reply.abort(),
            Some((status, body)) => self.send(reply, status, &body),
            None => reply.abort(),
        }
    }

    async fn put_object(&self, reply: Reply, request: &Request, name: &str) {
        self.content.objects_delay().pass().await;
        let Some(name) = decode(name).filter(|_| request.method == Method::PUT) else {
            return self.send(reply, StatusCode::BAD_REQUEST, &json!({}));
        };
        match self.content.objects.put(&name, &request.body) {
            Ok(()) => self.send(reply, StatusCode::OK, &json!({})),
            Err(_) => reply.abort(),
        }
    }

    async fn get_object(&self, reply: Reply, name: &str) {
        self.content.objects_delay().pass().await;
        let Some(name) = decode(name) else {
            return self.send(reply, StatusCode::BAD_REQUEST, &json!({}));
        };
        match self.content.objects.get(&name) {
            Ok(Some(bytes)) => {
                let mut headers = HeaderMap::new();
                headers.insert(ERA, HeaderValue::from(self.content.state().era));
                reply.send(StatusCode::OK, headers, bytes.into());
            }
            Ok(None) => self.send(reply, StatusCode::NOT_FOUND, &json!({})),
            Err(_) => reply.abort(),
        }
    }

    fn reading(&self, rows: Vec<Value>, version: u64, truncated: bool) -> Value {
        let now_ms = self.content.now_ms();
        json!({"rows": rows, "ver": version, "nowMs": now_ms, "truncated": truncated})
    }

    /// Encodes a row, in entries of backend servers with the addresses of this endpoint.
    fn row(&self, place: &Place, value: Option<&[u8]>, version: u64) -> Value {
        let rerouted = match &*place.0 == SERVERS && !self.reroutes.is_empty() {
            true => value.and_then(|value| std::str::from_utf8(value).ok()),
            false => None,
        };
        let Some(text) = rerouted else {
            return row(place, value, version);
        };
        let mut text = text.to_owned();
        for (address, proxy) in self.reroutes.iter() {
            text = text.replace(&format!("\"{address}\""), &format!("\"{proxy}\""));
        }
        row(place, Some(text.as_bytes()), version)
    }

    fn get(&self, query: &HashMap<String, String>) -> Answer {
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        if text("table") == layout::INSTANCES && !self.content.follow_instances() {
            return None;
        }
        match self.content.fault().on_read() {
            CallResult::Completed => {}
            CallResult::Busy => return Some((StatusCode::TOO_MANY_REQUESTS, json!({}))),
            CallResult::Down | CallResult::ReplyLost | CallResult::RequestLost => return None,
        }
        let limit = query.get("limit").and_then(|text| text.parse().ok());
        let limit = limit.unwrap_or(PAGE).min(PAGE);
        let to = query.get("to");
        let state = self.content.state();
        let inside = state.rows.iter().filter(|(place, _)| {
            let is_before_end = to.is_none_or(|to| *place.2 < **to);
            &*place.0 == text("table")
                && &*place.1 == text("part")
                && &*place.2 >= text("from")
                && is_before_end
        });
        let mut rows = Vec::new();
        let mut truncated = false;
        for (place, cell) in inside {
            if rows.len() == limit {
                truncated = true;
                break;
            }
            rows.push(self.row(place, Some(&cell.value), cell.version));
        }
        let body = self.reading(rows, state.version, truncated);
        Some((StatusCode::OK, body))
    }

    fn transact(&self, body: &[u8]) -> Answer {
        let bad = |status| Some((status, json!({})));
        let Ok(change) = serde_json::from_slice::<WireChange>(body) else {
            return bad(StatusCode::BAD_REQUEST);
        };
        if let Some(status) = change.refusal() {
            return bad(status);
        }
        let Some(writes) = writes(&change) else {
            return bad(StatusCode::BAD_REQUEST);
        };
        let fate = self.content.fault().on_transaction(writes.len());
        match fate {
            CallResult::Completed | CallResult::ReplyLost => {}
            CallResult::Busy => return bad(StatusCode::TOO_MANY_REQUESTS),
            CallResult::Down | CallResult::RequestLost => return None,
        }
        let answer = self.apply(&change, writes);
        (fate == CallResult::Completed).then_some(answer)
    }

    fn apply(&self, change: &WireChange, writes: Vec<Write>) -> (StatusCode, Value) {
        let mut state = self.content.state();
        let fits = |row: &WireRow| state.version_of(&row.place()) == row.ver;
        if !change.expected.iter().all(fits) {
            let places = change.expected.iter().map(WireRow::place);
            let rows = places.filter_map(|place| {
                let cell = state.rows.get(&place)?;
                Some(row(&place, Some(&cell.value), cell.version))
            });
            let rows = rows.collect();
            let body = self.reading(rows, state.version, false);
            return (StatusCode::PRECONDITION_FAILED, body);
        }
        let count = writes.len();
        let version = state.apply(writes);
        drop(state);
        self.content.fault().record_writes(count);
        self.content.wake();
        (StatusCode::OK, self.reading(Vec::new(), version, false))
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Answer {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let table = query.get("table").map_or("", String::as_str);
        let after = number("afterRev").unwrap_or_default();
        let wait = Duration::from_millis(number("waitMs").unwrap_or_default()).min(MOST_WAIT);
        let until = tokio::time::Instant::now() + wait;
        let mut changed = self.content.subscribe();
        loop {
            changed.mark_unchanged();
            if let Some(answer) = self.news(table, after) {
                return Some(answer);
            }
            let more = tokio::time::timeout_at(until, changed.changed()).await;
            if more.is_err() {
                let version = self.content.state().version;
                let body = self.reading(Vec::new(), version, false);
                return Some((StatusCode::OK, body));
            }
        }
    }

    fn news(&self, table: &str, after: u64) -> Option<(StatusCode, Value)> {
        let mode = *self.mode.lock().unwrap_or_else(PoisonError::into_inner);
        if mode == Fault::SilentFeeds {
            return None;
        }
        let state = self.content.state();
        if after < state.dropped || after > state.version {
            return Some((StatusCode::GONE, json!({})));
        }
        let events = state.history.iter();
        let events = events.filter(|event| event.version > after && &*event.place.0 == table);
        let rows: Vec<Value> = events
            .map(|event| self.row(&event.place, event.value.as_deref(), event.version))
            .collect();
        if rows.is_empty() {
            return None;
        }
        Some((StatusCode::OK, self.reading(rows, state.version, false)))
    }
}

/// The writes of a change, or nothing if a value is not base64.
fn writes(change: &WireChange) -> Option<Vec<Write>> {
    let mut writes = Vec::with_capacity(change.puts.len() + change.remove.len());
    for put in &change.puts {
        let value = put.value.as_deref().unwrap_or_default();
        let value = STANDARD.decode(value).ok()?;
        writes.push((put.place(), Some(value.into())));
    }
    let removals = change.remove.iter().map(|row| (row.place(), None));
    writes.extend(removals);
    Some(writes)
}

fn decode(name: &str) -> Option<String> {
    let name = percent_decode_str(name).decode_utf8().ok()?;
    Some(name.into_owned())
}

/// Sends a body at so many bytes a second.
async fn trickle(sink: Sink, body: Bytes, bytes_per_s: usize) {
    let chunk_bytes = (bytes_per_s / CHUNKS_PER_S).max(1);
    for chunk in body.chunks(chunk_bytes) {
        if sink.send(Bytes::copy_from_slice(chunk)).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_secs(1) / CHUNKS_PER_S as u32).await;
    }
    sink.finish();
}

/// Holds the connection without a reply until the caller closes it.
async fn hold(reply: Reply) {
    reply.closed().wait().await;
    reply.abort();
}
