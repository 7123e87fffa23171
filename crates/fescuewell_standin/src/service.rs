//! A stand-in for a plain service that counts what really ran.
//!
//! | request | answer |
//! | --- | --- |
//! | `POST /calls/{call}` with `X-Request-Id` | runs the call and answers `{"id","call","run","answer"}` |
//! | `GET /calls/{id}` | the record: whether it ran, and its answer; 404 when it did not, 501 when no records are kept |
//! | `GET /health`, `POST /control` | health; test controls |
//!
//! A call runs as often as it arrives: that a call which may not be repeated runs only once is the sender's
//! duty, and [`Counters::runs`] shows whether it was met.
//!
//! ```
//! use fescuewell_standin::service::{Service, Settings};
//! let service = Service::start("127.0.0.1:0".parse().unwrap(), Settings::default()).unwrap();
//! assert!(service.counters().runs.is_empty());
//! service.stop();
//! ```

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use fescuewell_http::listener::{self, Handler, Listener, Reply, Request, spawn};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

/// Behaviour of a service from its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the service, used in its answers and thread names.
    pub name: Arc<str>,
    /// Whether `GET /calls/{id}` tells what ran.
    pub records: bool,
    /// Time that a call takes.
    pub delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "service".into(),
            records: true,
            delay: Duration::ZERO,
        }
    }
}

impl Settings {
    /// Sets the name.
    pub fn with_name(mut self, name: impl Into<Arc<str>>) -> Self {
        self.name = name.into();
        self
    }

    /// Sets whether records are kept.
    pub fn with_records(mut self, records: bool) -> Self {
        self.records = records;
        self
    }
}

/// A change of behaviour at run time, `POST /control`. Fields left out stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// So many of the next calls are cut off before they run.
    pub fail_before_run: Option<u32>,
    /// So many of the next calls run, and their replies are cut off.
    pub drop_reply: Option<u32>,
    /// Time that a call takes before it runs, in milliseconds.
    pub delay_ms: Option<u64>,
    /// New calls are refused with 503, not run.
    pub refuse: Option<bool>,
    /// Whether records are told.
    pub records: Option<bool>,
    /// Every answer carries `X-Leaving: true`.
    pub leaving: Option<bool>,
    /// Nothing is answered; what arrives meanwhile runs and is answered afterwards.
    pub silent: Option<bool>,
}

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls that were taken in, whether or not they have run by now.
    pub arrived: u64,
    /// How often the call of each request id ran.
    pub runs: HashMap<Arc<str>, u32>,
    /// Calls that were cut off before they ran.
    pub failed_before_run: u64,
    /// Calls that ran and whose replies were cut off.
    pub dropped_replies: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that arrived while the service was leaving.
    pub started_while_leaving: u64,
}

impl Counters {
    /// The most that any one request id ran.
    pub fn most_runs(&self) -> u32 {
        self.runs.values().copied().max().unwrap_or(0)
    }
}

struct State {
    control: Control,
    counters: Counters,
    answers: HashMap<Arc<str>, Value>,
    unnamed: u64,
}

struct Core {
    settings: Settings,
    state: Mutex<State>,
    /// Whether nothing is answered at present.
    silence: watch::Sender<bool>,
}

impl Core {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running service. Dropping it stops it.
pub struct Service {
    core: Arc<Core>,
    listener: Mutex<Option<Listener>>,
    address: SocketAddr,
}

impl Service {
    /// Starts a service that listens on `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on or a thread cannot be started.
    pub fn start(listen: SocketAddr, settings: Settings) -> Result<Self, listener::Error> {
        let bounds = listener::Settings::new(listen).with_name(settings.name.clone());
        let core = Arc::new(Core {
            settings,
            state: Mutex::new(State {
                control: Control::default(),
                counters: Counters::default(),
                answers: HashMap::new(),
                unnamed: 0,
            }),
            silence: watch::channel(false).0,
        });
        let router = Arc::new(Router { core: core.clone() });
        let listener = Listener::start(bounds, router)?;
        Ok(Self {
            core,
            address: listener.address(),
            listener: Mutex::new(Some(listener)),
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it really did so far.
    pub fn counters(&self) -> Counters {
        self.core.state().counters.clone()
    }

    /// Changes its behaviour.
    pub fn control(&self, control: &Control) {
        self.core.control(control);
    }

    /// Starts or ends a silence of the whole service.
    pub fn set_silent(&self, silent: bool) {
        self.control(&Control {
            silent: Some(silent),
            ..Control::default()
        });
    }

    /// Stops it as if its machine had gone.
    pub fn stop(&self) {
        let listener = self.listener.lock().map(|mut listener| listener.take());
        drop(listener);
    }
}

#[derive(Clone)]
struct Router {
    core: Arc<Core>,
}

impl Handler for Router {
    fn handle(&self, request: Request, reply: Reply) {
        if !*self.core.silence.borrow() || &*request.path == "/control" {
            return self.respond(&request, reply);
        }
        let router = self.clone();
        spawn(async move {
            router.core.silence_over().await;
            router.respond(&request, reply);
        });
    }
}

impl Router {
    fn respond(&self, request: &Request, reply: Reply) {
        let mut path = request.path.split('/').skip(1);
        let parts = [path.next(), path.next(), path.next()].map(Option::unwrap_or_default);
        match (&request.method, parts) {
            (&Method::POST, ["calls", call, ""]) if !call.is_empty() => {
                self.call(call.into(), request, reply);
            }
            (&Method::GET, ["calls", id, ""]) => {
                let (status, body) = self.core.record(id);
                self.core.send(reply, status, &body);
            }
            (&Method::GET, ["health", "", ""]) => {
                self.core
                    .send(reply, StatusCode::OK, &json!({"status": "ok"}));
            }
            (&Method::POST, ["control", "", ""]) => {
                let (status, body) = self.core.read_control(&request.body);
                self.core.send(reply, status, &body);
            }
            _ => {
                let body = error("no_such_path", "not_run");
                self.core.send(reply, StatusCode::NOT_FOUND, &body);
            }
        }
    }
}

impl Router {
    fn call(&self, call: Arc<str>, request: &Request, reply: Reply) {
        let core = self.core.clone();
        let given = request.headers.get("x-request-id");
        let given = given.and_then(|id| id.to_str().ok()).map(Arc::from);
        let body = request.body.clone();
        let mut state = core.state();
        if state.control.leaving == Some(true) {
            state.counters.started_while_leaving += 1;
        }
        if state.control.refuse == Some(true) {
            state.counters.refused += 1;
            drop(state);
            let body = error("refusing", "not_run");
            return core.send(reply, StatusCode::SERVICE_UNAVAILABLE, &body);
        }
        if spend(&mut state.control.fail_before_run) {
            state.counters.failed_before_run += 1;
            return reply.abort();
        }
        let id = given.unwrap_or_else(|| {
            state.unnamed += 1;
            format!("unnamed-{}", state.unnamed).into()
        });
        state.counters.arrived += 1;
        let delay = state.control.delay_ms.map(Duration::from_millis);
        let delay = delay.unwrap_or(core.settings.delay);
        drop(state);
        if delay.is_zero() {
            return core.run(&id, &call, &body, reply);
        }
        // A call that has arrived runs, whether or not its caller still waits.
        spawn(async move {
            tokio::time::sleep(delay).await;
            core.silence_over().await;
            core.run(&id, &call, &body, reply);
        });
    }
}

/// Uses one of the faults that a control has ordered.
fn spend(left: &mut Option<u32>) -> bool {
    let Some(count) = left.filter(|count| *count > 0) else {
        return false;
    };
    *left = Some(count - 1);
    true
}

fn error(code: &str, run: &str) -> Value {
    json!({"error": {"code": code, "message": code, "run": run}})
}

impl Core {
    /// Waits until the service is not silent.
    async fn silence_over(&self) {
        let mut silence = self.silence.subscribe();
        // Fails only once the service is gone.
        let _ = silence.wait_for(|silent| !*silent).await;
    }

    fn run(&self, id: &Arc<str>, call: &str, body: &Bytes, reply: Reply) {
        let mut state = self.state();
        let runs = state.counters.runs.entry(id.clone()).or_default();
        *runs += 1;
        let answer = json!({
            "id": &**id,
            "call": call,
            "run": *runs,
            "service": &*self.settings.name,
            "answer": format!("{call} done for {} bytes", body.len()),
        });
        state.answers.insert(id.clone(), answer.clone());
        if spend(&mut state.control.drop_reply) {
            state.counters.dropped_replies += 1;
            return reply.abort();
        }
        drop(state);
        self.send(reply, StatusCode::OK, &answer);
    }

    fn record(&self, id: &str) -> (StatusCode, Value) {
        let state = self.state();
        if !state.control.records.unwrap_or(self.settings.records) {
            let body = error("no_records", "unknown");
            return (StatusCode::NOT_IMPLEMENTED, body);
        }
        match state.answers.get(id) {
            Some(answer) => (StatusCode::OK, json!({"ran": true, "answer": answer})),
            None => {
                let body = json!({"ran": false, "error": {"code": "not_run", "message": "no call of this id has run", "run": "not_run"}});
                (StatusCode::NOT_FOUND, body)
            }
        }
    }

    fn read_control(&self, body: &[u8]) -> (StatusCode, Value) {
        match serde_json::from_slice(body) {
            Ok(control) => {
                self.control(&control);
                (StatusCode::OK, json!({"accepted": true}))
            }
            Err(_) => (StatusCode::BAD_REQUEST, error("invalid_request", "not_run")),
        }
    }

    fn control(&self, change: &Control) {
        let current = &mut self.state().control;
        let change = change.clone();
        current.fail_before_run = change.fail_before_run.or(current.fail_before_run);
        current.drop_reply = change.drop_reply.or(current.drop_reply);
        current.delay_ms = change.delay_ms.or(current.delay_ms);
        current.refuse = change.refuse.or(current.refuse);
        current.records = change.records.or(current.records);
        current.leaving = change.leaving.or(current.leaving);
        if let Some(silent) = change.silent {
            current.silent = Some(silent);
            self.silence.send_replace(silent);
        }
    }

    fn send(&self, reply: Reply, status: StatusCode, body: &Value) {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.state().control.leaving == Some(true) {
            headers.insert("x-leaving", HeaderValue::from_static("true"));
        }
        reply.send(status, headers, body.to_string().into());
    }
}
