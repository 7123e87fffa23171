//! Orders to backend servers, and the table rows that are written before an order is sent.

use std::fmt;
use std::sync::Arc;

use fescuewell_core::prelude::*;

fescuewell_core::data! {
    /// Action that a backend server is ordered to take.
    #[derive(PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Action {
        /// Load a model.
        Load {
            /// Its name.
            model: Arc<str>,
        },
        /// Unload a model.
        Unload {
            /// Its name.
            model: Arc<str>,
        },
        /// Change the role.
        Role {
            /// Its name.
            role: Arc<str>,
        },
    }

    /// The row `order/{server}`: the last order that may have been sent to the server.
    pub struct Record {
        /// Epoch of the leader that wrote it.
        pub epoch: Epoch,
        /// Sequence number of the order within the epoch.
        pub number: u64,
        /// Ordered action; `None` once a new leader has taken over the row.
        pub action: Option<Action>,
        /// Earlier orders that may still arrive, including those of earlier leaders.
        pub late: Vec<LateOrder>,
    }

    /// An order that may still arrive.
    pub struct LateOrder {
        /// Epoch of the leader that sent it.
        pub epoch: Epoch,
        /// Ordered action.
        pub action: Action,
        /// Whether its observed effect proves that it arrived. It does not if the same order may
        /// have been sent again, since the effect may be that of the second one.
        pub single: bool,
    }
}

fescuewell_core::message! {
    /// An order to be sent at most once.
    #[derive(Eq)]
    pub struct Order {
        /// Name of the backend server.
        pub server: Arc<str>,
        /// Fencing number.
        pub epoch: Epoch,
        /// Sequence number of the order within the epoch.
        pub number: u64,
        /// Action to take.
        pub action: Action,
        /// Reason, for the log line.
        pub reason: Reason,
    }

    /// Reason for an order.
    #[derive(Copy, Eq)]
    pub enum Reason {
        /// The model needs more servers.
        Needed,
        /// Another model needs the capacity.
        Room,
        /// The document no longer lists the model for the server.
        Unlisted,
        /// The server's role differs from the configured one.
        Role,
        /// The server has to learn the new fencing number, so that it rejects late orders.
        Fence,
    }

    /// Response of a backend server to an order.
    #[derive(Copy, Eq)]
    pub enum Response {
        /// The server accepted it.
        Accepted,
        /// The server rejected its fencing number as stale.
        Stale,
        /// The server rejected it for another reason, or it was not sent.
        Refused,
        /// There was no response, so it may still arrive.
        Unknown,
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load { model } => write!(f, "load model={model}"),
            Self::Unload { model } => write!(f, "unload model={model}"),
            Self::Role { role } => write!(f, "role role={role}"),
        }
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            server,
            epoch,
            number,
            action,
            reason,
        } = self;
        write!(
            f,
            "server={server} epoch={} number={number} why={reason:?} action={action}",
            epoch.0
        )
    }
}

/// Common prefix of the row keys.
pub const KEY_PREFIX: &str = "order/";

/// Returns the key of a server's row.
pub fn row_key(server: &str) -> Arc<str> {
    format!("{KEY_PREFIX}{server}").into()
}

impl Record {
    /// Encodes the record as a row value.
    ///
    /// # Panics
    ///
    /// Never, since every record can be represented in JSON.
    pub fn encode(&self) -> Arc<[u8]> {
        let bytes = serde_json::to_vec(self).expect("a record is plain data");
        bytes.into()
    }

    /// Decodes a row value; `None` when it is not a record.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
