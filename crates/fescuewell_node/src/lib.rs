//! One entry instance's decisions, composed: events and time in, actions out.
//!
//! [`node::Node`] joins the pure machines of the other crates (budget, claims, queue, routing,
//! membership, placement) into one. It opens no socket and starts no thread; `fescuewell_router` does that.

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

/// The names that a driver of nodes uses.
pub mod prelude {
    pub use crate::event::{Action, Component, Event as NodeEvent, ModelReport, StreamRecord};
    pub use crate::message::Message;
    pub use crate::node::Node;
    pub use crate::request::{Arrival, Assignment, End, Ticket, Verdict, Work};
    pub use crate::settings::Settings;
}
