//! Stand-in for what the product's own interface needs around it: the store of [`crate::rows`] with its instance list, and a weight
//! store, on one listener.
//!
//! | request | what |
//! | --- | --- |
//! | `/-/...` | the store, see [`crate::rows`] |
//! | `GET /weights/{model}` | the weight store: a model's bytes, at a rate that all downloads share |
//! | `POST /control`, `GET /control` | faults on and off (see [`Control`]); both answer with counters |
//!
//! What is down or lost closes the connection without a reply.

mod control;
mod weights;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuewell_core::platform::Listing;
use fescuewell_core::time::SystemClock;
use fescuewell_http::listener::{self, Handler, Reply, Request, spawn};
use http::{HeaderMap, Method, StatusCode};
use percent_encoding::percent_decode_str;
use snafu::Snafu;

use crate::rows::{self, Content, Rows};

pub use control::{Control, Fault, Instances, Report, Unknown};
pub use weights::Weights;

/// Settings of the stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Settings {
    /// The bearer token that every request must carry, if any.
    pub token: Option<Arc<str>>,
    /// Limit on writing transactions; 0 for none.
    pub writes_per_second: u32,
    /// Limit on readings of rows; 0 for none.
    pub reads_per_second: u32,
    /// The first content of the instance list.
    pub instances: Vec<Listing>,
    /// How long changes to the instance list take to be seen, in milliseconds.
    pub lag_ms: u64,
    /// The weight store.
    pub weights: Weights,
}

/// Why the stand-in could not start.
#[derive(Debug, Snafu)]
#[snafu(display("{source}"))]
pub struct Error {
    source: listener::Error,
}

/// A running stand-in. Dropping it stops it.
///
/// ```
/// use fescuewell_standin::platform::{Platform, Settings};
///
/// let listen = "127.0.0.1:0".parse().unwrap();
/// let platform = Platform::start(listen, Settings::default()).unwrap();
/// assert!(platform.content().product().is_empty());
/// platform.stop();
/// ```
pub struct Platform {
    rows: Rows,
    others: Arc<Others>,
}

/// What requests besides the store's need.
struct Others {
    content: Content,
    clock: Arc<SystemClock>,
    weights: Arc<weights::Store>,
}

impl Platform {
    /// Starts a stand-in with an empty store. Port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn start(listen: SocketAddr, settings: Settings) -> Result<Self, Error> {
        Self::start_with(listen, settings, Content::default())
    }

    /// Starts a stand-in over a store that exists already.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn start_with(
        listen: SocketAddr,
        settings: Settings,
        content: Content,
    ) -> Result<Self, Error> {
        let clock = Arc::new(SystemClock::default());
        for listing in &settings.instances {
            content.instances.put(listing.clone());
        }
        let lag = Duration::from_millis(settings.lag_ms);
        content.instances.set_lag(lag, clock.clone());
        let fault = content.fault();
        fault.set_writes_per_second(settings.writes_per_second, clock.clone());
        fault.set_reads_per_second(settings.reads_per_second, clock.clone());
        let others = Arc::new(Others {
            content: content.clone(),
            clock,
            weights: Arc::new(weights::Store::new(settings.weights)),
        });
        let own = rows::Settings {
            address: listen,
            token: settings.token,
            content,
            others: Some(others.clone()),
            reroutes: Vec::new(),
        };
        let rows = Rows::start_with(own).map_err(|source| Error { source })?;
        Ok(Self { rows, others })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.rows.address()
    }

    /// The store's content.
    pub fn content(&self) -> &Content {
        self.rows.content()
    }

    /// Carries out what `POST /control` would.
    ///
    /// # Errors
    ///
    /// When the control names a listing that there is not; nothing of it is done then.
    pub fn control(&self, control: &Control) -> Result<Report, Unknown> {
        control.apply(&self.others)?;
        Ok(Report::of(&self.others))
    }

    /// Settings with which a client reaches this stand-in, without a token.
    pub fn client_settings(&self) -> fescuewell_platform::Settings {
        fescuewell_platform::Settings::new(format!("http://{}", self.address()))
    }

    /// Closes the listener and cuts off what is under way.
    pub fn stop(self) {
        drop(self);
    }
}

impl Handler for Others {
    fn handle(&self, request: Request, reply: Reply) {
        let path = request.path.clone();
        match (&request.method, path.strip_prefix("/weights/")) {
            (&Method::GET, Some(model)) => self.send_weights(model, reply),
            (&Method::GET, None) if &*path == "/control" => self.report(reply),
            (&Method::POST, None) if &*path == "/control" => self.control(&request.body, reply),
            _ => refuse(
                reply,
                StatusCode::NOT_FOUND,
                "there is nothing at this path",
            ),
        }
    }
}

impl Others {
    fn send_weights(&self, model: &str, reply: Reply) {
        let model = percent_decode_str(model).decode_utf8_lossy();
        let Some(download) = self.weights.download(&model) else {
            return refuse(reply, StatusCode::NOT_FOUND, "no such model");
        };
        spawn(async move { download.send(reply).await });
    }

    fn report(&self, reply: Reply) {
        let body = serde_json::to_vec(&Report::of(self)).unwrap_or_default();
        reply.send(StatusCode::OK, HeaderMap::new(), body.into());
    }

    fn control(&self, body: &[u8], reply: Reply) {
        let control: Control = match serde_json::from_slice(body) {
            Ok(control) => control,
            Err(reason) => return refuse(reply, StatusCode::BAD_REQUEST, &reason.to_string()),
        };
        match control.apply(self) {
            Ok(()) => self.report(reply),
            Err(reason) => refuse(reply, StatusCode::BAD_REQUEST, &reason.to_string()),
        }
    }
}

fn refuse(reply: Reply, status: StatusCode, text: &str) {
    let body = serde_json::json!({ "error": text }).to_string();
    reply.send(status, HeaderMap::new(), Bytes::from(body));
}
