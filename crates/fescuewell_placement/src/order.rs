//! Orders to backend servers and the table rows that are written before them.

use std::fmt;
use std::sync::Arc;

use fescuewell_core::prelude::*;

fescuewell_core::data! {
    /// What a backend server is told to do.
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
        /// Take a role.
        Role {
            /// Its name.
            role: Arc<str>,
        },
    }

    /// The row `order/{server}`: the last order that may have been sent to the server.
    pub struct Record {
        /// Epoch of the holder that wrote it.
        pub epoch: Epoch,
        /// Counts the orders of that holder.
        pub number: u64,
        /// The order; none once a new holder has taken the row over.
        pub action: Option<Action>,
        /// Earlier orders that may still arrive, those of earlier holders included.
        pub late: Vec<LateOrder>,
    }

    /// An order that may still arrive.
    pub struct LateOrder {
        /// Epoch of the holder that gave it.
        pub epoch: Epoch,
        /// The order.
        pub action: Action,
        /// Whether seeing its effect proves that it arrived. Not so when the same order was given
        /// again later: the effect may be that of the second one.
        pub single: bool,
    }
}

fescuewell_core::message! {
    /// An order ready to be sent, at most once.
    #[derive(Eq)]
    pub struct Order {
        /// Name of the backend server.
        pub server: Arc<str>,
        /// Fencing number.
        pub epoch: Epoch,
        /// Number of the order within the epoch.
        pub number: u64,
        /// What to do.
        pub action: Action,
        /// Why, for the log line.
        pub reason: Reason,
    }

    /// Why an order is given.
    #[derive(Copy, Eq)]
    pub enum Reason {
        /// The model needs more servers.
        Needed,
        /// The model gives room to one that needs it.
        Room,
        /// The document no longer lists the model for the server.
        Unlisted,
        /// The server's role is not the wanted one.
        Role,
        /// The server learns the new fencing number, so that it refuses late orders.
        Fence,
    }

    /// What became of a sent order.
    #[derive(Copy, Eq)]
    pub enum Response {
        /// The server took it.
        Accepted,
        /// The server refused it for its fencing number.
        Stale,
        /// The server refused it for another reason.
        Refused,
        /// No answer: it may arrive still.
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

/// Common start of the rows' keys.
pub const KEY_PREFIX: &str = "order/";

/// The key of a server's row.
pub fn row_key(server: &str) -> Arc<str> {
    format!("{KEY_PREFIX}{server}").into()
}

impl Record {
    /// The row's content.
    ///
    /// # Panics
    ///
    /// Never: a record has no content that JSON cannot hold.
    pub fn encode(&self) -> Arc<[u8]> {
        let bytes = serde_json::to_vec(self).expect("a record is plain data");
        bytes.into()
    }

    /// Reads a row's content; `None` when it is not a record.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
