//! Membership as pure state machines: heartbeats, slot assignment, address selection, document
//! propagation and drain.
//!
//! Nothing here opens a socket, starts a thread or reads a clock. [`member::Members`] returns table
//! accesses as [`fescuewell_core::table::Step`]s and receives the replies; [`gossip::Gossip`]
//! produces the messages that instances exchange; the other modules decide on the resulting
//! [`view::View`].

pub mod address;
pub mod drain;
pub mod gossip;
pub mod listing;
pub mod member;
pub mod own;
pub mod pacing;
pub mod propagate;
pub mod row;
pub mod settings;
pub mod sighting;
pub mod slots;
pub mod update;
pub mod view;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::member::{InstanceInfo, Members};
    pub use crate::row::Row;
    pub use crate::settings::Settings;
    pub use crate::view::{Peer, View};
}
