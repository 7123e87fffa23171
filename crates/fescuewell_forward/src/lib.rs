//! Decisions of the forwarding path: routing, load balancing, prepaid quotas and retries.
//!
//! The crate performs no I/O and uses no threads or clocks: events and times are arguments, and
//! decisions are return values.
//!
//! ```
//! use fescuewell_forward::prelude::*;
//!
//! let table = Table::new(Configuration::default());
//! assert!(table.route("desk.example", "/status/1").is_none());
//! ```

pub mod admission;
pub mod cadence;
pub mod choice;
pub mod condition;
pub mod config;
pub mod crash;
pub mod directory;
pub mod drain;
pub mod evacuation;
pub mod health;
pub mod hedge;
pub mod hop;
pub mod loan;
pub mod message;
pub mod path;
pub mod quota;
pub mod relay;
pub mod retry;
pub mod retry_after;
pub mod server;
pub mod share;
pub mod snapshot;
pub mod stream;
pub mod version;
pub mod warmup;
pub mod window;

/// Commonly used items.
pub mod prelude {
    pub use crate::config::{Account, Configuration, Kind, Limits, Route, Service, Table};
    pub use crate::quota::{HoldOutcome, Quota};
    pub use crate::server::{Change, Entry, Registry, State, Update};
}
