//! Placement of models and roles on backend servers, with fencing, as a pure state machine.
//!
//! One instance at a time holds the duty to place (the holder of slot 0, with that slot's epoch).
//! It runs a [`planner::Planner`], which is told the document, the demand and what servers say they
//! have, and answers with table work and orders.
//!
//! | module | job |
//! | --- | --- |
//! | [`planner`] | takes over the duty, writes rows, hands out orders, reads back |
//! | [`fleet`] | what servers have and may lose |
//! | [`goal`] | how many servers each model needs, with hysteresis |
//! | [`plan`] | which orders bring the fleet there |
//! | [`order`] | orders and their rows |
//! | [`kv`] | whether cached prompts are moved on a planned leave |

pub mod fleet;
pub mod goal;
pub mod kv;
pub mod order;
pub mod plan;
pub mod planner;
pub mod settings;

/// The names that callers of this crate use.
pub mod prelude {
    pub use crate::fleet::Observation;
    pub use crate::order::{Action, Order, Reason, Response};
    pub use crate::planner::{Leadership, Notice, Planner};
    pub use crate::settings::Settings;
}
