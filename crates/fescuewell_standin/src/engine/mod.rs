//! A stand-in for a model engine.
//!
//! It speaks the interface that model clients know, batches continuously, caches prompt prefixes in limited
//! memory, and keeps a record of each response by which it can be resumed, cancelled and accounted for:
//!
//! | request | answer |
//! | --- | --- |
//! | `POST /v1/chat/completions`, `POST /v1/completions` | whole, or Server-Sent Events with `id: N` = tokens so far; `X-Request-Id` names the response |
//! | `GET /v1/responses/{id}?stream=true&starting_after=N` | the events after token `N`, then live |
//! | `GET /v1/responses/{id}` | the record: status, usage, metadata |
//! | `GET /v1/responses?holder=instance.incarnation` | records whose id starts with `fw.{holder}.` |
//! | `POST /v1/responses/{id}/cancel` | the record with its final usage |
//! | `GET /v1/models`, `POST /v1/orders` | loaded models; load, unload or role orders |
//! | `POST /v1/kv/export`, `POST /v1/kv/import` | cached blocks of a prompt, by hash and size |
//! | `GET /v1/cache_events?after=N` | changes of the prefix cache, late and with gaps |
//! | `GET /metrics`, `GET /health`, `POST /control` | lagging load report; health; test controls |
//!
//! ```
//! use fescuewell_standin::engine::{Engine, Settings};
//! let engine = Engine::start("127.0.0.1:0".parse().unwrap(), Settings::quick()).unwrap();
//! assert_eq!(engine.counters().finished, 0);
//! engine.stop();
//! ```

pub mod batch;
pub mod cache;
mod counters;
mod model;
mod order;
pub mod problem;
pub mod prompt;
mod record;
mod report;
mod route;
mod settings;
mod step;
mod stream;
pub mod text;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fescuewell_http::listener::{self, Listener};
use tokio::sync::{Notify, watch};

use batch::Batch;
pub use counters::Counters;
use model::Models;
pub use prompt::{Interface, Metadata};
pub use record::{Finish, Usage};
use report::Reports;
pub use settings::{Control, Settings};

/// Everything of an engine that changes.
struct State {
    batch: Batch,
    models: Models,
    reports: Reports,
    control: Control,
    stopped: bool,
}

/// What open stream connections have to do, by the number of the connection.
#[derive(Debug, Clone, Copy, Default)]
struct Cutoff {
    /// Connections up to this number are cut off.
    dropped: u64,
    /// Connections up to this number deliver nothing more.
    silenced: u64,
}

/// What the threads of an engine share.
struct Core {
    settings: Settings,
    state: Mutex<State>,
    /// Wakes the step loop when there may be something to do.
    wake: Notify,
    cutoff: watch::Sender<Cutoff>,
    /// Whether nothing is sent at present.
    silence: watch::Sender<bool>,
    /// Order of the requests that wait for the end of a silence.
    turns: tokio::sync::Mutex<()>,
    connections: std::sync::atomic::AtomicU64,
}

impl Core {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the engine is not silent.
    async fn silence_over(&self) {
        let mut silence = self.silence.subscribe();
        // Fails only once the engine is gone.
        let _ = silence.wait_for(|silent| !*silent).await;
    }
}

/// Bounds of the engine's listener that tests of other parts never meet.
const MAX_CONNECTIONS: usize = 16_384;
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A running engine. Dropping it stops it.
pub struct Engine {
    core: Arc<Core>,
    listener: Mutex<Option<Listener>>,
    address: SocketAddr,
    stepper: Mutex<Option<JoinHandle<()>>>,
}

impl Engine {
    /// Starts an engine that listens on `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on or a thread cannot be started.
    pub fn start(listen: SocketAddr, settings: Settings) -> Result<Self, listener::Error> {
        let core = Arc::new(Core {
            state: Mutex::new(State {
                batch: Batch::new(&settings),
                models: Models::new(&settings.models),
                reports: Reports::default(),
                control: Control::default(),
                stopped: false,
            }),
            wake: Notify::new(),
            cutoff: watch::channel(Cutoff::default()).0,
            silence: watch::channel(false).0,
            turns: tokio::sync::Mutex::default(),
            connections: std::sync::atomic::AtomicU64::new(0),
            settings,
        });
        let mut bounds = listener::Settings::new(listen)
            .with_name(core.settings.name.clone())
            .with_threads(core.settings.threads)
            .with_max_connections(MAX_CONNECTIONS);
        bounds.max_body_bytes = MAX_BODY_BYTES;
        bounds.idle_timeout = IDLE_TIMEOUT;
        let handler = Arc::new(route::Router::new(core.clone()));
        let listener = Listener::start(bounds, handler)?;
        let address = listener.address();
        let stepper = step::start(core.clone())?;
        Ok(Self {
            core,
            listener: Mutex::new(Some(listener)),
            address,
            stepper: Mutex::new(Some(stepper)),
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it really did so far.
    pub fn counters(&self) -> Counters {
        self.core.state().batch.counters.clone()
    }

    /// How many responses run and wait now, without the lag of the load reports.
    pub fn load(&self) -> (usize, usize) {
        let state = self.core.state();
        (state.batch.running(), state.batch.waiting())
    }

    /// Changes its behaviour.
    pub fn control(&self, control: &Control) {
        order::control(&self.core, control);
    }

    /// Starts or ends a silence of the whole engine, as of a paused process or a path that holds bytes back.
    pub fn set_silent(&self, silent: bool) {
        self.control(&Control {
            silent: Some(silent),
            ..Control::default()
        });
    }

    /// Stops it as if its machine had gone: connections are cut off, records are lost.
    pub fn stop(&self) {
        self.core.state().stopped = true;
        self.core.wake.notify_one();
        let listener = self.listener.lock().map(|mut listener| listener.take());
        drop(listener);
        let stepper = self.stepper.lock().map(|mut stepper| stepper.take());
        if let Ok(Some(stepper)) = stepper {
            let _ = stepper.join();
        }
    }

    /// The present time of the engine's clock.
    fn now() -> Instant {
        Instant::now()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop();
    }
}
