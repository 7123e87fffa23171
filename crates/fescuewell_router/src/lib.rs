//! The router daemon: runs the decision logic of `fescuewell_node` with its threads, channels and adapters.
//!
//! | thread | task |
//! | --- | --- |
//! | `decisions` | [`event_loop`]: makes all decisions of the instance |
//! | `callers-N` | [`plane`]: connections of callers and response streams from backend servers |
//! | `operators-0` | [`operator`]: serves state and metrics to operators |
//! | `table-*` | [`adapters`]: one for each component that uses the table service |
//! | `objects`, `instances` | [`adapters`]: object store, instance list |
//! | `backends` | [`backends`]: load reports, loaded models, orders and stream listings |
//! | `peer*` | exchange messages with other instances |
//! | `timer` | sends periodic ticks |
//!
//! [`daemon::Router`] starts all of them.

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

/// The types that a program needs to run an instance.
pub mod prelude {
    pub use crate::daemon::Router;
    pub use crate::settings::Settings;
}
