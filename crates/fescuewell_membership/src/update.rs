//! Membership updates that instances gossip to each other.

use std::sync::Arc;

use crate::row::Row;
use crate::sighting::Beat;

fescuewell_core::data! {
    /// One membership change, small enough to be sent along with a head.
    pub enum Update {
        /// A member joined, or its state or incarnation changed.
        Member {
            /// Name of the instance.
            instance: Arc<str>,
            /// Its row after the change.
            row: Row,
        },
        /// The sender saw no heartbeat of the member after `beat` for a whole lease.
        Suspicion {
            /// Name of the instance.
            instance: Arc<str>,
            /// The last heartbeat seen.
            beat: Beat,
        },
    }
}
