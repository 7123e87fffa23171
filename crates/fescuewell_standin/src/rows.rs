//! A stand-in for the users' platform: its store of rows, with faults, over HTTP.
//!
//! | request | what |
//! | --- | --- |
//! | `GET /-/rows-get` | the rows of a part, in the order of their keys |
//! | `POST /-/rows-tx` | conditions and writes, atomic |
//! | `GET /-/rows-feed` | changes of a table after a version, waited for |
//!
//! ```
//! use fescuewell_standin::rows::Rows;
//! let store = Rows::start("127.0.0.1:0".parse().unwrap()).unwrap();
//! store.put("op", "", "config", b"{}");
//! assert_eq!(store.get("op", "", "config").as_deref(), Some(&b"{}"[..]));
//! ```

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use fescuewell_http::listener::{self, Handler, Listener, Reply, Request, spawn};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, HeaderName, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

/// What the store does to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It does not answer, and does nothing.
    Silent,
    /// It closes the connection and does nothing.
    Reset,
    /// It answers 503 and does nothing.
    Busy,
    /// It does what is asked and does not answer writes.
    LostReplies,
    /// Feeds hear nothing; all else works.
    SilentFeeds,
}

type Place = (Arc<str>, Arc<str>, Arc<str>);

#[derive(Debug, Clone)]
struct Cell {
    value: Arc<[u8]>,
    version: u64,
}

#[derive(Debug, Clone)]
struct Event {
    place: Place,
    version: u64,
    value: Option<Arc<[u8]>>,
}

/// All rows at a moment; see [`Rows::copy`].
#[derive(Debug, Clone)]
pub struct Copy {
    version: u64,
    rows: BTreeMap<Place, Cell>,
    history: Vec<Event>,
}

#[derive(Debug, Default)]
struct State {
    era: u32,
    version: u64,
    rows: BTreeMap<Place, Cell>,
    history: Vec<Event>,
    dropped: u64,
    fault: Fault,
    calls: HashMap<Arc<str>, u64>,
}

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    started: Instant,
}

/// A running stand-in.
pub struct Rows {
    shared: Arc<Shared>,
    listener: Listener,
}

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
}

#[derive(Deserialize)]
struct WireChange {
    #[serde(default, rename = "expectedRev")]
    expected: Vec<WireRow>,
    #[serde(default)]
    puts: Vec<WireRow>,
    #[serde(default)]
    remove: Vec<WireRow>,
}

/// Header of all answers: how often the store has come back from a copy.
const ERA: HeaderName = HeaderName::from_static("store-era");
/// Longest wait of a feed.
const MOST_WAIT: Duration = Duration::from_secs(30);
/// Rows in one reading.
const PAGE: usize = 500;

impl Rows {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn start(address: SocketAddr) -> Result<Self, listener::Error> {
        let (changed, _) = watch::channel(0);
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed,
            started: Instant::now(),
        });
        let handler = Arc::new(Server(shared.clone()));
        let settings = listener::Settings::new(address).with_name("rows");
        let listener = Listener::start(settings, handler)?;
        Ok(Self { shared, listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Writes a row, as an operator or a backend server does.
    pub fn put(&self, table: &str, part: &str, key: &str, value: &[u8]) -> u64 {
        let place = (table.into(), part.into(), key.into());
        self.shared.write(vec![(place, Some(value.into()))])
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, part: &str, key: &str) -> u64 {
        let place = (table.into(), part.into(), key.into());
        self.shared.write(vec![(place, None)])
    }

    /// A row's content.
    pub fn get(&self, table: &str, part: &str, key: &str) -> Option<Arc<[u8]>> {
        let place = (table.into(), part.into(), key.into());
        let state = self.shared.state();
        state.rows.get(&place).map(|cell| cell.value.clone())
    }

    /// The rows of a table.
    pub fn table(&self, table: &str) -> Vec<(Arc<str>, Arc<[u8]>)> {
        let state = self.shared.state();
        let rows = state.rows.iter().filter(|(place, _)| &*place.0 == table);
        rows.map(|(place, cell)| (place.2.clone(), cell.value.clone()))
            .collect()
    }

    /// Sets what it does to calls from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.state().fault = fault;
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Drops the history: feeds that are behind get 410.
    pub fn compact(&self) {
        let mut state = self.shared.state();
        state.dropped = state.version;
        state.history.clear();
    }

    /// Everything that is stored, for [`Rows::restore`].
    pub fn copy(&self) -> Copy {
        let state = self.shared.state();
        Copy {
            version: state.version,
            rows: state.rows.clone(),
            history: state.history.clone(),
        }
    }

    /// Comes back from a copy: what was written since is gone, and its versions are given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.shared.state();
        state.era += 1;
        state.version = copy.version;
        state.rows = copy.rows.clone();
        state.history = copy.history.clone();
        drop(state);
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Calls so far, by path.
    pub fn calls(&self, path: &str) -> u64 {
        let state = self.shared.state();
        state.calls.get(path).copied().unwrap_or_default()
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn write(&self, writes: Vec<(Place, Option<Arc<[u8]>>)>) -> u64 {
        let version = self.state().apply(writes);
        self.changed.send_modify(|count| *count += 1);
        version
    }

    fn reading(&self, rows: Vec<Value>, version: u64, truncated: bool) -> Value {
        json!({"rows": rows, "ver": version, "nowMs": self.now_ms(), "truncated": truncated})
    }
}

impl State {
    fn apply(&mut self, writes: Vec<(Place, Option<Arc<[u8]>>)>) -> u64 {
        self.version += 1;
        let version = self.version;
        for (place, value) in writes {
            match &value {
                Some(value) => {
                    let value = value.clone();
                    self.rows.insert(place.clone(), Cell { value, version });
                }
                None => {
                    self.rows.remove(&place);
                }
            }
            self.history.push(Event {
                place,
                version,
                value,
            });
        }
        version
    }

    fn version_of(&self, place: &Place) -> u64 {
        self.rows.get(place).map_or(0, |cell| cell.version)
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

struct Server(Arc<Shared>);

impl Handler for Server {
    fn handle(&self, request: Request, reply: Reply) {
        let shared = self.0.clone();
        spawn(async move { shared.serve(request, reply).await });
    }
}

fn send(reply: Reply, status: StatusCode, era: u32, body: &Value) {
    let mut headers = HeaderMap::new();
    headers.insert(ERA, HeaderValue::from(era));
    let json = HeaderValue::from_static("application/json");
    headers.insert(CONTENT_TYPE, json);
    reply.whole(status, headers, Bytes::from(body.to_string()));
}

impl Shared {
    async fn serve(&self, request: Request, reply: Reply) {
        let (fault, era) = {
            let mut state = self.state();
            *state.calls.entry(request.path.clone()).or_default() += 1;
            (state.fault, state.era)
        };
        match fault {
            Fault::Silent => return self.hold(reply).await,
            Fault::Reset => return reply.abort(),
            Fault::Busy => return send(reply, StatusCode::SERVICE_UNAVAILABLE, era, &json!({})),
            Fault::None | Fault::LostReplies | Fault::SilentFeeds => {}
        }
        let query: HashMap<String, String> = form_urlencoded::parse(request.query.as_bytes())
            .into_owned()
            .collect();
        let (status, body) = match &*request.path {
            "/-/rows-get" => self.get(&query),
            "/-/rows-tx" => self.transact(&request.body),
            "/-/rows-feed" => self.feed(&query).await,
            _ => (StatusCode::NOT_FOUND, json!({})),
        };
        if fault == Fault::LostReplies && &*request.path == "/-/rows-tx" {
            return reply.abort();
        }
        let era = self.state().era;
        send(reply, status, era, &body);
    }

    /// Answers nothing until the caller has gone.
    async fn hold(&self, reply: Reply) {
        reply.closed().wait().await;
        reply.abort();
    }

    fn get(&self, query: &HashMap<String, String>) -> (StatusCode, Value) {
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let state = self.state();
        let inside = state.rows.iter().filter(|(place, _)| {
            &*place.0 == text("table") && &*place.1 == text("part") && &*place.2 >= text("from")
        });
        let mut rows = Vec::new();
        let mut truncated = false;
        for (place, cell) in inside {
            if rows.len() == PAGE {
                truncated = true;
                break;
            }
            rows.push(row(place, Some(&cell.value), cell.version));
        }
        (StatusCode::OK, self.reading(rows, state.version, truncated))
    }

    fn transact(&self, body: &[u8]) -> (StatusCode, Value) {
        let Ok(change) = serde_json::from_slice::<WireChange>(body) else {
            return (StatusCode::BAD_REQUEST, json!({}));
        };
        let mut writes = Vec::new();
        for put in &change.puts {
            let value = put.value.as_deref().unwrap_or_default();
            let Ok(value) = STANDARD.decode(value) else {
                return (StatusCode::BAD_REQUEST, json!({}));
            };
            writes.push((put.place(), Some(value.into())));
        }
        writes.extend(change.remove.iter().map(|row| (row.place(), None)));
        let mut state = self.state();
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
        let version = state.apply(writes);
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        (StatusCode::OK, self.reading(Vec::new(), version, false))
    }

    async fn feed(&self, query: &HashMap<String, String>) -> (StatusCode, Value) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let table = query.get("table").map_or("", String::as_str);
        let after = number("afterRev").unwrap_or_default();
        let wait = Duration::from_millis(number("waitMs").unwrap_or_default()).min(MOST_WAIT);
        let until = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if let Some(answer) = self.news(table, after) {
                return answer;
            }
            let more = tokio::time::timeout_at(until, changed.changed()).await;
            if more.is_err() {
                let version = self.state().version;
                return (StatusCode::OK, self.reading(Vec::new(), version, false));
            }
        }
    }

    fn news(&self, table: &str, after: u64) -> Option<(StatusCode, Value)> {
        let state = self.state();
        if state.fault == Fault::SilentFeeds {
            return None;
        }
        if after < state.dropped || after > state.version {
            return Some((StatusCode::GONE, json!({})));
        }
        let events = state.history.iter();
        let events = events.filter(|event| event.version > after && &*event.place.0 == table);
        let rows: Vec<Value> = events
            .map(|event| row(&event.place, event.value.as_deref(), event.version))
            .collect();
        if rows.is_empty() {
            return None;
        }
        Some((StatusCode::OK, self.reading(rows, state.version, false)))
    }
}
