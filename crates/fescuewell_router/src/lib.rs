//! The router daemon: threads, rings and adapters around the decisions.
//!
//! | thread | duty |
//! | --- | --- |
//! | `decisions` | [`event_loop`]: all decisions of the instance |
//! | `callers-N` | [`plane`]: callers' connections and streams from backend servers |
//! | `operators-0` | [`operator`]: state and metrics |
//! | `table-*` | [`adapters`]: one for each duty at the table |
//! | `objects`, `instances` | [`adapters`]: object store, instance list |
//! | `backends` | [`backends`]: load reports, cache events, listings |
//! | `peer*` | messages between instances |
//! | `timer` | ticks |
//!
//! [`daemon::Router`] puts them together.

pub mod adapters;
pub mod attempt;
pub mod backends;
pub mod call;
pub mod caller;
pub mod chat;
pub mod daemon;
pub mod delivery;
pub mod event_loop;
pub mod metrics;
pub mod operator;
pub mod pending;
pub mod plane;
pub mod settings;

/// What the program needs to run an instance.
pub mod prelude {
    pub use crate::daemon::Router;
    pub use crate::settings::Settings;
}
