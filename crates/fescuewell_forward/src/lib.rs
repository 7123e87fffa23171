//! Decisions of the forwarding path: which route a request takes, which backend server runs it, whether
//! its client account can pay for it, and whether it may be sent once more.
//!
//! Nothing here has a socket, a thread or a clock: events and time come in as arguments, answers go out as
//! values.
//!
//! ```
//! use fescuewell_forward::prelude::*;
//!
//! let table = Table::new(Configuration::default());
//! assert!(table.route("desk.example", "/status/1").is_none());
//! ```

pub mod admission;
pub mod choice;
pub mod config;
pub mod crash;
pub mod directory;
pub mod evacuation;
pub mod health;
pub mod loan;
pub mod message;
pub mod quota;
pub mod relay;
pub mod retry;
pub mod retry_after;
pub mod server;
pub mod version;
pub mod warmup;
pub mod window;

/// What nearly every user of this crate needs.
pub mod prelude {
    pub use crate::config::{Configuration, Kind, Limits, Route, Service, Table, Tenant};
    pub use crate::quota::{HoldOutcome, Quota};
    pub use crate::server::{Entry, Movement, Registry, Said, State};
}
