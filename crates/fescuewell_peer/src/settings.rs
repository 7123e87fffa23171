//! Settings of the transport: listen address, credentials and limits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of the transport.
///
/// Each of `certificate`, `key` and `authority` is the path of a PEM file, or the PEM text itself.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// UDP address to listen on.
    pub listen: SocketAddr,
    /// This instance's certificate, followed by any intermediate certificates. It must have exactly one
    /// DNS name, the instance's name.
    pub certificate: Arc<str>,
    /// The certificate's private key.
    pub key: Arc<str>,
    /// Certificates of the authorities trusted to sign peers' certificates. During a rotation this
    /// contains both the old and the new authority.
    pub authority: Arc<str>,
    /// Timeouts and limits.
    #[serde(default)]
    pub limits: Limits,
}

/// Timeouts and limits of the transport.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Timeout for the acknowledgement of a message, in milliseconds. When it expires, the connection is closed.
    pub acknowledge_ms: u32,
    /// Timeout for a handshake, and for receiving a complete message, in milliseconds.
    pub handshake_ms: u32,
    /// Interval of keep-alive packets on an idle connection, in milliseconds.
    pub keep_alive_ms: u32,
    /// Idle timeout: a connection on which nothing is received for this time is lost, in milliseconds.
    pub idle_ms: u32,
    /// An outbound connection is closed when no message is sent for this time, in milliseconds.
    pub unused_ms: u32,
    /// Maximum age of a connection, in milliseconds, after which it is replaced. Certificates are only
    /// verified during the handshake, so an expired one would otherwise stay in use indefinitely.
    pub renew_ms: u32,
    /// Maximum number of inbound connections at once.
    pub max_incoming: u32,
    /// Maximum number of outbound connections at once.
    pub max_outgoing: u32,
    /// Maximum number of messages in flight on one connection.
    pub max_streams: u32,
    /// Capacity, in messages, of the queue to the transport's thread and of each peer's send queue.
    pub ring: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            acknowledge_ms: 2_000,
            handshake_ms: 2_000,
            keep_alive_ms: 5_000,
            idle_ms: 15_000,
            unused_ms: 60_000,
            renew_ms: 3_600_000,
            max_incoming: 1_024,
            max_outgoing: 256,
            max_streams: 64,
            ring: 1_024,
        }
    }
}

impl Limits {
    pub(crate) fn acknowledge(&self) -> Duration {
        millis(self.acknowledge_ms)
    }

    pub(crate) fn handshake(&self) -> Duration {
        millis(self.handshake_ms)
    }

    pub(crate) fn renew(&self) -> Duration {
        millis(self.renew_ms)
    }

    pub(crate) fn unused(&self) -> Duration {
        millis(self.unused_ms)
    }
}

pub(crate) fn millis(value: u32) -> Duration {
    Duration::from_millis(value.into())
}

// Omits the credentials: the settings may contain the private key, and debug output reaches the logs.
impl std::fmt::Debug for Settings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Settings")
            .field("listen", &self.listen)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}
