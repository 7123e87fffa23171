//! A stand-in for the platform's store: rows in tables, transactions with conditions, and feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Connection, Json, Message, base64, encode, query, quote};

type Place = (String, String, String);

/// Most rows in one response.
const PAGE: usize = 500;
/// Time that a transaction takes.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
/// Time that a read takes.
const READ_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    version: u64,
    /// Values in base64, with their versions.
    rows: BTreeMap<Place, (String, u64)>,
    /// Changed rows by version; a dropped row has no value.
    history: Vec<(u64, Place, Option<String>)>,
}

impl State {
    fn put(&mut self, place: Place, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows
                    .insert(place.clone(), (value.clone(), self.version));
            }
            None => {
                self.rows.remove(&place);
            }
        }
        self.history.push((self.version, place, value));
    }
}

/// Called with the keys of the first page of a table; returns those of the rows to remove.
type Hook = Box<dyn FnOnce(&[String]) -> Vec<String> + Send>;

/// Chooses the writes that are done late and not answered: by the address of the store that a process uses, and by
/// the tables that are written.
type Choice = Box<dyn Fn(usize, &[&str]) -> Option<Duration> + Send>;

struct Late {
    choose: Choice,
    writes: usize,
    chosen: usize,
}

/// A running store.
pub struct Store {
    state: Mutex<State>,
    /// What happens once a reader has been sent the first of several pages of a table.
    hook: Mutex<Option<(String, Hook)>>,
    /// Which writes are answered not at all, and applied late; counts all writes and these since it is set.
    late: Mutex<Option<Late>>,
    changed: Condvar,
    started: Instant,
}

fn row(place: &Place, value: Option<&str>, version: u64) -> String {
    let (table, part, key) = (quote(&place.0), quote(&place.1), quote(&place.2));
    let value = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".into(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{version},{value}}}")
}

fn place(json: &Json) -> Place {
    (
        json.text("table").into(),
        json.text("part").into(),
        json.text("key").into(),
    )
}

impl Store {
    /// Creates a store that does not listen yet.
    pub fn start() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            hook: Mutex::default(),
            late: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        })
    }

    /// Listens on one more free port, whose calls bear this number.
    pub fn listen(self: &Arc<Self>, ip: &str, number: usize) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("the store cannot listen");
        let address = listener.local_addr().expect("the store has no address");
        let serving = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream), number));
            }
        });
        address
    }

    /// Sets which writes are done late and not answered.
    pub fn set_late<Choose>(&self, choose: Choose)
    where
        Choose: Fn(usize, &[&str]) -> Option<Duration> + Send + 'static,
    {
        *self.late.lock().unwrap() = Some(Late {
            choose: Box::new(choose),
            writes: 0,
            chosen: 0,
        });
    }

    /// Ends that. Returns the number of writes meanwhile, and of those that were chosen.
    pub fn end_late(&self) -> (usize, usize) {
        let late = self.late.lock().unwrap().take();
        late.map_or((0, 0), |late| (late.writes, late.chosen))
    }

    /// Returns after which time a write is to be done, if it is chosen.
    fn late_by(&self, number: usize, body: &[u8]) -> Option<Duration> {
        let mut late = self.late.lock().unwrap();
        let late = late.as_mut()?;
        late.writes += 1;
        let change = Json::parse(&String::from_utf8_lossy(body))?;
        let tables: Vec<&str> = change
            .list("puts")
            .iter()
            .map(|row| row.text("table"))
            .collect();
        let by = (late.choose)(number, &tables)?;
        late.chosen += 1;
        Some(by)
    }

    /// Writes a row as the operator or a worker does.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let value = value.map(|value| base64(value.as_bytes()));
        state.put((table.into(), String::new(), key.into()), value);
        drop(state);
        self.changed.notify_all();
    }

    /// Writes a row unless a condition holds, which is asked under the lock of the rows.
    pub fn write_unless<Condition>(
        &self,
        table: &str,
        key: &str,
        value: &str,
        is_forbidden: Condition,
    ) where
        Condition: Fn() -> bool,
    {
        let mut state = self.state.lock().unwrap();
        if is_forbidden() {
            return;
        }
        state.version += 1;
        let value = Some(base64(value.as_bytes()));
        state.put((table.into(), String::new(), key.into()), value);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes rows once a reader has been sent the first of several pages of a table.
    pub fn after_first_page<Choose>(&self, table: &str, choose: Choose)
    where
        Choose: FnOnce(&[String]) -> Vec<String> + Send + 'static,
    {
        *self.hook.lock().unwrap() = Some((table.into(), Box::new(choose)));
    }

    fn run_hook(&self, state: &mut State, table: &str, keys: &[String]) {
        let mut hook = self.hook.lock().unwrap();
        if hook.as_ref().is_none_or(|(hooked, _)| hooked != table) {
            return;
        }
        if let Some((_, choose)) = hook.take() {
            for key in choose(keys) {
                state.version += 1;
                state.put((table.into(), String::new(), key), None);
            }
        }
    }

    fn serve(self: &Arc<Self>, mut connection: Connection, number: usize) {
        while let Ok(request) = connection.read_message(false) {
            let is_write = request.target().starts_with("/-/rows-tx");
            if let Some(by) = is_write
                .then(|| self.late_by(number, &request.body))
                .flatten()
            {
                let store = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(by);
                    store.transact(&request.body);
                });
                // A connection on which a response is lost delivers nothing further.
                while connection.read_message(false).is_ok() {}
                return;
            }
            let (status, body) = self.answer(&request);
            let line = format!("HTTP/1.1 {status} -");
            let headers = [("Content-Type", "application/json")];
            if connection
                .send(&encode(&line, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or_default();
        let query = query(request.target());
        match path {
            "/-/rows-tx" => {
                std::thread::sleep(TRANSACTION_TIME);
                self.transact(&request.body)
            }
            "/-/rows-get" => {
                std::thread::sleep(READ_TIME);
                self.get(&query)
            }
            "/-/rows-feed" => self.feed(&query),
            _ => (404, "{}".into()),
        }
    }

    fn reading(&self, rows: &[String], version: u64, truncated: bool) -> String {
        let now_ms = 1_000_000 + self.started.elapsed().as_millis();
        let rows = rows.join(",");
        format!(
            "{{\"rows\":[{rows}],\"ver\":{version},\"nowMs\":{now_ms},\"truncated\":{truncated}}}"
        )
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(change) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".into());
        };
        let mut state = self.state.lock().unwrap();
        let version_of = |place: &Place| state.rows.get(place).map_or(0, |(_, version)| *version);
        let expected = change.list("expectedRev");
        if !expected
            .iter()
            .all(|row| version_of(&place(row)) == row.number("ver"))
        {
            let found = expected.iter().filter_map(|expected| {
                let place = place(expected);
                let (value, version) = state.rows.get(&place)?;
                Some(row(&place, Some(value), *version))
            });
            let found: Vec<String> = found.collect();
            return (412, self.reading(&found, state.version, false));
        }
        state.version += 1;
        for put in change.list("puts") {
            state.put(place(put), Some(put.text("value").into()));
        }
        for removed in change.list("remove") {
            state.put(place(removed), None);
        }
        let version = state.version;
        drop(state);
        self.changed.notify_all();
        (200, self.reading(&[], version, false))
    }

    fn get(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let limit = text("limit").parse().unwrap_or(PAGE).min(PAGE);
        let mut state = self.state.lock().unwrap();
        let inside = state.rows.iter().filter(|(place, _)| {
            let is_before_end = query.get("to").is_none_or(|to| place.2 < *to);
            place.0 == text("table")
                && place.1 == text("part")
                && place.2.as_str() >= text("from")
                && is_before_end
        });
        let found: Vec<(String, String)> = inside
            .take(limit + 1)
            .map(|(place, (value, version))| (place.2.clone(), row(place, Some(value), *version)))
            .collect();
        let truncated = found.len() > limit;
        let (keys, rows): (Vec<String>, Vec<String>) = found.into_iter().take(limit).unzip();
        let answer = (200, self.reading(&rows, state.version, truncated));
        if truncated && limit == PAGE {
            self.run_hook(&mut state, text("table"), &keys);
            drop(state);
            self.changed.notify_all();
        }
        answer
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or_default()
        };
        let table = query.get("table").cloned().unwrap_or_default();
        let after = number("afterRev");
        let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state
                .history
                .iter()
                .filter(|(version, place, _)| *version > after && place.0 == table);
            let rows: Vec<String> = changes
                .map(|(version, place, value)| row(place, value.as_deref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.reading(&rows, state.version, false));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
