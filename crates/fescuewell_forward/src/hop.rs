//! Requests that one instance sends to a backend server for another one, which has no path to it.
//!
//! The instance that received the request from its caller keeps all decisions: the choice of the
//! server, retries, tokens, conditions of servers, deadlines. The other one makes a single exchange with
//! the named server and passes the response on as it arrives. It uses its own connections only, so that
//! a request is never passed on twice.

mod guard;
mod peers;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::server::Incarnation;

pub use guard::Guard;
pub use peers::{MAX_ATTEMPTS, Peers, SAMPLE};

/// Version of the encoding. An instance refuses any other one.
pub const FORMAT: u32 = 1;
/// Difference in milliseconds between the clocks of sender and receiver up to which a call is accepted.
pub const MAX_AGE_MS: u64 = 10_000;
/// Maximum number of servers that one call asks about.
pub const MAX_PROBED: usize = 4;

/// An incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Id of the server. The receiver looks up its address, so that it connects to no other host.
    pub id: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Timeouts of the exchange, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timeouts {
    /// Timeout for connecting.
    pub connect_ms: u64,
    /// Timeout from the request to the response head.
    pub first_byte_ms: u64,
    /// Timeout between two chunks of the response.
    pub progress_ms: u64,
    /// Time left until the deadline of the whole exchange.
    pub left_ms: u64,
}

/// A request to be sent to a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The server.
    pub server: Server,
    /// Timeouts of the exchange.
    pub timeouts: Timeouts,
    /// Id of the request, for logs.
    pub request: Arc<str>,
    /// Method.
    pub method: Arc<str>,
    /// Path and query.
    pub target: Arc<str>,
    /// Headers, complete but for those of the connection.
    pub headers: Vec<(Arc<str>, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// What a call asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Task {
    /// Connect to these servers and report how many are reached.
    Probe(Vec<Server>),
    /// Send a request to a server.
    Forward(Box<Forward>),
}

/// A call to another instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Encoding of the call.
    pub format: u32,
    /// When it was sent, in milliseconds of the store's clock.
    pub sent_at_ms: u64,
    /// Random number that no other call has.
    pub nonce: u64,
    /// What it asks for.
    pub task: Task,
}

impl Call {
    /// Creates a call at `store_ms` of the store's clock.
    pub fn new(task: Task, nonce: u64, store_ms: u64) -> Self {
        Self {
            format: FORMAT,
            sent_at_ms: store_ms,
            nonce,
            task,
        }
    }
}

/// Response to [`Task::Probe`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reached {
    /// Number of servers that were reached.
    pub count: u32,
}

/// Why an instance did not send a request. The request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has no path to the servers either.
    NoPath,
    /// It is at its limits.
    Busy,
    /// It is shutting down or starting.
    NotReady,
    /// It lists no such server, or one that is leaving.
    UnknownServer,
    /// It did not reach the server.
    Unreachable,
    /// It cannot read the call, or has seen it before.
    Malformed,
}

impl Refusal {
    const ALL: [Self; 6] = [
        Self::NoPath,
        Self::Busy,
        Self::NotReady,
        Self::UnknownServer,
        Self::Unreachable,
        Self::Malformed,
    ];

    /// Returns the name on the wire and in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoPath => "no-path",
            Self::Busy => "busy",
            Self::NotReady => "not-ready",
            Self::UnknownServer => "unknown-server",
            Self::Unreachable => "unreachable",
            Self::Malformed => "malformed",
        }
    }

    /// Finds a refusal by its name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|refusal| refusal.name() == name)
    }

    /// Returns `true` if the server is the reason, so that another instance would refuse as well.
    pub fn blames_server(self) -> bool {
        matches!(self, Self::UnknownServer | Self::Unreachable)
    }
}

/// Another instance and its share of the fleet's capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Address for messages of other instances.
    pub address: SocketAddr,
    /// Capacity relative to the other instances.
    pub weight: u32,
}
