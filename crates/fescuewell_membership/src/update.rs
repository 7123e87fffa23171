//! Changes of the membership that instances pass on to each other.

use std::sync::Arc;

use crate::row::Row;
use crate::sighting::Beat;

fescuewell_core::data! {
    /// One change, small enough to travel with a digest.
    pub enum Update {
        /// A member joined, or stepped on in its life: its row as of then.
        Member {
            /// Name of the instance.
            instance: Arc<str>,
            /// Its row.
            row: Row,
        },
        /// A member's heartbeat stood still at `beat` for the sender.
        Suspicion {
            /// Name of the instance.
            instance: Arc<str>,
            /// The last heartbeat seen.
            beat: Beat,
        },
    }
}
