//! One instance: its listeners, its control thread, and its orderly end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::{self, Handler, Listener};
use snafu::{ResultExt, Snafu};

use crate::control::Control;
use crate::dialect::Dialect;
use crate::front::Front;
use crate::gateway::{Gateway, Stage};
use crate::metrics;
use crate::settings::Settings;
use crate::side::Side;
use crate::source::Source;
use crate::store::Store;

/// Why an instance could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listener failed.
    #[snafu(display("{source}"))]
    Listen {
        /// Why.
        source: listener::Error,
    },
    /// The metrics failed.
    #[snafu(display("{source}"))]
    Metrics {
        /// Why.
        source: metrics::Error,
    },
    /// A thread or its runtime could not be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Thread {
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// After a request to stop, callers that hold an old address answer are served for so long, in parts of the grace
/// time: an answer is kept for two seconds, by some for three times as long.
const SERVE_PART: f64 = 0.4;
/// Left of the grace time for the end itself.
const RESERVE: Duration = Duration::from_millis(600);
/// Pause between two looks at what is still open.
const LOOK: Duration = Duration::from_millis(20);
/// Connections kept back from callers for backend servers, the store and the side listeners.
const OWN_SOCKETS: usize = 1_200;
/// Most connections of one side listener.
const SIDE_CONNECTIONS: usize = 200;
/// Part of the memory that bodies may take.
const BODY_PART: usize = 4;

/// A running instance.
pub struct Daemon {
    gateway: Arc<Gateway>,
    front: Listener,
    _sides: Vec<Listener>,
    _control: JoinHandle<()>,
}

impl Daemon {
    /// Binds the listeners and starts the threads.
    ///
    /// # Errors
    ///
    /// When a listener or thread cannot be started.
    pub fn start(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        store: Arc<dyn Store>,
        source: Arc<dyn Source>,
    ) -> Result<Self, Error> {
        let (gateway, inbox) = Gateway::new(settings, dialect).context(MetricsSnafu)?;
        let settings = &gateway.settings;
        let front = front_settings(settings);
        let handler: Arc<dyn Handler> = Arc::new(Front::new(gateway.clone()));
        let front = Listener::start(front, handler).context(ListenSnafu)?;
        gateway.set_gate(front.gate());
        // These listen without a break, also while the callers' listener keeps connections out, so that no second process
        // under the same name can start beside this one.
        let mut sides = Vec::new();
        for (name, address) in side_addresses(settings) {
            let listen = listener::Settings::new(address)
                .with_name(name)
                .with_max_connections(SIDE_CONNECTIONS);
            let handler: Arc<dyn Handler> = Arc::new(Side::new(gateway.clone()));
            sides.push(Listener::start(listen, handler).context(ListenSnafu)?);
        }
        let control = Control::new(gateway.clone(), store, source, inbox);
        let control = start_control(control)?;
        log_event!(
            Event::Started,
            "instance={} zone={} front={}",
            gateway.settings.name,
            gateway.settings.zone,
            front.address()
        );
        Ok(Self {
            gateway,
            front,
            _sides: sides,
            _control: control,
        })
    }

    /// The callers' address.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// The shared part, for tests and reports.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Ends in order: tokens go back first, callers are sent elsewhere, requests under way are answered.
    pub fn stop(&self) {
        let asked = Instant::now();
        let grace = self.gateway.settings.grace;
        if !self.gateway.advance(Stage::Draining) {
            return;
        }
        let open = self.gateway.in_flight_requests().load(Ordering::Acquire);
        log_event!(Event::DrainStarted, "open={open}");
        self.gateway.state().quota.close();
        self.gateway.sync_quota();
        std::thread::sleep(grace.mul_f64(SERVE_PART));
        let left = grace.saturating_sub(asked.elapsed() + RESERVE);
        let cut = self.front.drain(left);
        self.give_back();
        log_event!(
            Event::DrainFinished,
            "cut={cut} took_ms={}",
            asked.elapsed().as_millis()
        );
    }

    /// Waits until the tokens of requests that ended during the drain have gone back too.
    fn give_back(&self) {
        let until = Instant::now() + RESERVE / 3;
        let plans = self.gateway.token_changes();
        let seen = *plans.borrow();
        self.gateway.sync_quota();
        while *plans.borrow() <= seen && Instant::now() < until {
            std::thread::sleep(LOOK);
        }
    }
}

fn front_settings(settings: &Settings) -> listener::Settings {
    let connections = settings.sockets.saturating_sub(OWN_SOCKETS).max(64);
    let mut front = listener::Settings::new(settings.front)
        .with_name("front")
        .with_max_connections(connections);
    front.max_buffered_bytes = settings.memory / BODY_PART;
    front
}

fn side_addresses(settings: &Settings) -> Vec<(&'static str, SocketAddr)> {
    let ready = settings.ready.map(|address| ("ready", address));
    let directory = settings.directory.map(|address| ("directory", address));
    let metrics = settings.metrics.map(|address| ("metrics", address));
    ready.into_iter().chain(directory).chain(metrics).collect()
}

fn start_control(control: Control) -> Result<JoinHandle<()>, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(ThreadSnafu)?;
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || runtime.block_on(control.run()))
        .context(ThreadSnafu)
}
