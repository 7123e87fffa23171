//! Load balancing over backend servers by load, prefix affinity and outlier ejection, as a pure
//! state machine.
//!
//! [`router::Router`] is the entry point. Its inputs are the requests and responses of this
//! instance, the load reports of the backend servers and their cache events; its output is the
//! backend server for a request. Time is an argument, the random generator is seeded, and the crate
//! does no I/O.
//!
//! | module | contents |
//! | --- | --- |
//! | [`router`] | the router, which compares candidates |
//! | [`choice`] | queries and the choices made for them |
//! | [`server`] | configuration and state of one backend server |
//! | [`load`] | correction of delayed load reports |
//! | [`prefix`] | index of cached prompt prefixes by server |
//! | [`pool`] | index of the servers of each model |
//! | [`health`] | ejection of servers without progress, and their slow start |

pub mod choice;
mod gather;
pub mod health;
pub mod load;
pub mod pool;
pub mod prefix;
pub mod router;
pub mod server;
pub mod settings;
mod speed;

/// Re-exports of the types that most users of this crate need.
pub mod prelude {
    pub use crate::choice::{Basis, Choice, NoChoice, Query, Reason};
    pub use crate::health::{Cause, Change};
    pub use crate::load::Report;
    pub use crate::prefix::Event as CacheEvent;
    pub use crate::router::Router;
    pub use crate::server::{Outcome, Spec, Ticket};
    pub use crate::settings::Settings;
}
