//! The decision logic of one entry instance as a state machine: events and time in, actions out.
//!
//! [`node::Node`] combines the state machines of the other crates (budget, claims, queue, routing,
//! membership, placement). It performs no I/O and starts no thread; `fescuewell_router` does that.

pub mod admit;
pub mod assembly;
pub mod catalog;
pub mod dispatch;
pub mod estimate;
pub mod event;
pub mod limits;
pub mod message;
pub mod node;
mod placement;
pub mod pump;
mod quarantine;
pub mod record;
pub mod request;
pub mod settings;
pub mod settle;
pub mod state;
pub mod sweeps;

/// Common imports for code that drives a node.
pub mod prelude {
    pub use crate::event::{Action, Component, Event as NodeEvent, ModelReport, StreamRecord};
    pub use crate::message::Message;
    pub use crate::node::Node;
    pub use crate::request::{Arrival, Assignment, End, Ticket, Verdict, Work};
    pub use crate::settings::Settings;
}
