//! Where an instance listens for its peers and how it proves who it is.

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
    /// Where to listen (UDP).
    pub listen: SocketAddr,
    /// This instance's certificate, followed by any intermediate ones. Its one DNS name is the
    /// instance's name.
    pub certificate: Arc<str>,
    /// The certificate's private key.
    pub key: Arc<str>,
    /// Certificates of the authorities that peers are trusted by. While an authority is replaced, both
    /// the old and the new one stand here.
    pub authority: Arc<str>,
    /// Time and number limits.
    #[serde(default)]
    pub limits: Limits,
}

/// Time and number limits of the transport.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// A message that is not acknowledged for so long closes its connection, in milliseconds.
    pub acknowledge_ms: u32,
    /// Longest wait for a connection to be made or taken, in milliseconds.
    pub handshake_ms: u32,
    /// Time between signs of life on a quiet connection, in milliseconds.
    pub keep_alive_ms: u32,
    /// A connection without any sign of life for so long is gone, in milliseconds.
    pub idle_ms: u32,
    /// A connection over which nothing was sent for so long is closed, in milliseconds.
    pub unused_ms: u32,
    /// A connection is replaced at this age, in milliseconds, since certificates are only looked at when it
    /// is made: one that has run out since would otherwise serve for ever.
    pub renew_ms: u32,
    /// Most connections taken from peers at once.
    pub max_incoming: u32,
    /// Most connections made to peers at once.
    pub max_outgoing: u32,
    /// Most messages under way on one connection.
    pub max_streams: u32,
    /// Messages that may wait for the transport's thread, and for each connection.
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

// The key may stand in the settings themselves, and what is printed ends up in logs.
impl std::fmt::Debug for Settings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Settings")
            .field("listen", &self.listen)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}
