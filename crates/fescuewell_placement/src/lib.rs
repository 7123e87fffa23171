//! Placement of models and roles on backend servers, with fencing, as a pure state machine.
//!
//! One instance at a time is the leader for placement: the holder of slot 0, with that slot's
//! epoch. It runs a [`planner::Planner`], whose inputs are the document, the demand and the
//! observed state of the servers, and whose outputs are table steps and orders.
//!
//! | module | contents |
//! | --- | --- |
//! | [`planner`] | the planner, which writes rows, issues orders and observes their effect |
//! | [`fleet`] | observed state of the servers and orders that may still change it |
//! | [`goal`] | desired number of servers of each model, with hysteresis |
//! | [`plan`] | choice of the next order |
//! | [`order`] | orders and their rows |
//! | [`kv`] | whether cached prompts are moved when an engine drains |

pub mod fleet;
pub mod goal;
pub mod kv;
pub mod order;
pub mod plan;
pub mod planner;
pub mod settings;

/// Re-exports of the types that most users of this crate need.
pub mod prelude {
    pub use crate::fleet::Observation;
    pub use crate::order::{Action, Order, Reason, Response};
    pub use crate::planner::{Leadership, Notice, Planner};
    pub use crate::settings::Settings;
}
