//! Choice of a backend server: load, prefix affinity, ejection, as a pure state machine.
//!
//! [`router::Router`] is the entry point. It is told what this instance sends and receives, what
//! backend servers report, and what their caches publish; it answers which backend server a
//! request should go to. Time is an argument, randomness is seeded, and nothing here does I/O.
//!
//! | module | job |
//! | --- | --- |
//! | [`router`] | puts the parts together and compares candidates |
//! | [`choice`] | questions and answers |
//! | [`server`] | what is known of one backend server |
//! | [`load`] | corrects lagging load reports |
//! | [`prefix`] | which server holds which prompt prefix |
//! | [`pool`] | which servers may take a model, indexed |
//! | [`health`] | ejection on lack of progress, gradual return |

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

/// The names that callers of this crate use.
pub mod prelude {
    pub use crate::choice::{Basis, Choice, NoChoice, Query, Reason};
    pub use crate::health::{Cause, Change};
    pub use crate::load::Report;
    pub use crate::prefix::Event as CacheEvent;
    pub use crate::router::Router;
    pub use crate::server::{Outcome, Spec, Ticket};
    pub use crate::settings::Settings;
}
