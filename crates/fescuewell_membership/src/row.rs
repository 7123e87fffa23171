//! The row `member/{instance}` that each instance writes about itself.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use snafu::Snafu;

/// Key prefix of all member rows.
pub const PREFIX: &str = "member/";

fescuewell_core::data! {
    /// Lifecycle state of an incarnation; it only advances.
    #[derive(Copy, PartialOrd, Ord, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum State {
        /// No document is in force yet.
        #[default]
        Starting,
        /// It accepts requests.
        Ready,
        /// It is shutting down and must not be advertised to callers.
        Draining,
        /// Its farewell: everything was handed over and the process spends nothing any more.
        Gone,
    }

    /// The load that an instance reports.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Open streams.
        pub streams: u32,
        /// Use of its most loaded limit, in thousandths; exceeds 1000 while it is over its limits.
        pub permille: u16,
    }

    /// An earlier incarnation of the same instance.
    #[derive(Copy)]
    pub struct EarlierIncarnation {
        /// The incarnation.
        pub incarnation: Incarnation,
        /// Whether it published its farewell, or the current incarnation proved that it has ended.
        pub ended: bool,
    }

    /// Content of a member row, stored as JSON.
    pub struct Row {
        /// The incarnation that wrote the row.
        pub incarnation: Incarnation,
        /// Heartbeat counter of this incarnation.
        pub beat: u64,
        /// Where callers connect.
        pub caller_address: SocketAddr,
        /// Where peers connect.
        pub peer_address: SocketAddr,
        /// Where operators connect.
        pub operator_address: SocketAddr,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// Its lifecycle state.
        pub state: State,
        /// Version of the document that it has in force; 0 for none.
        pub version: Version,
        /// Highest document format that its program reads.
        pub formats: u32,
        /// Its load.
        #[serde(default)]
        pub load: Load,
        /// Set by other instances once this incarnation has ended and everything that it left is
        /// settled.
        #[serde(default)]
        pub settled: bool,
        /// Incarnations before this one that are not settled yet.
        #[serde(default)]
        pub earlier: Vec<EarlierIncarnation>,
    }
}

/// The value is not a member row that this program can read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("invalid member row: {reason}"))]
pub struct Error {
    /// The error of the JSON parser.
    pub reason: Arc<str>,
}

impl Row {
    /// Encodes the row as it is stored.
    pub fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes stored bytes. Unknown fields are ignored, since newer programs may add some.
    ///
    /// # Errors
    ///
    /// If the bytes are not a member row.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(bytes).map_err(|error| Error {
            reason: error.to_string().into(),
        })
    }

    /// Whether the rows are equal except for the heartbeat counter.
    pub fn equals_except_beat(&self, other: &Self) -> bool {
        let beat = other.beat;
        let aligned = Self {
            beat,
            ..self.clone()
        };
        aligned == *other
    }

    /// Whether this was written after `other`, a row of the same instance.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.incarnation, self.beat) > (other.incarnation, other.beat)
    }
}

/// Key of the row of `instance`.
pub fn key(instance: &str) -> Arc<str> {
    format!("{PREFIX}{instance}").into()
}

/// The instance that a row's key belongs to.
pub fn instance(key: &str) -> Option<&str> {
    key.strip_prefix(PREFIX)
}

/// The name under which one incarnation holds slots and allowances: `instance.incarnation`.
pub fn holder(instance: &str, incarnation: Incarnation) -> Arc<str> {
    format!("{instance}.{:x}", incarnation.0).into()
}

/// Splits a holder name into instance and incarnation; `None` when it is not one.
pub fn parse_holder(holder: &str) -> Option<(&str, Incarnation)> {
    let (instance, incarnation) = holder.rsplit_once('.')?;
    let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
    Some((instance, Incarnation(incarnation)))
}
