//! Changes of the membership that instances pass on to each other.

use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::row::Row;

fescuewell_core::data! {
    /// One change, small enough to travel with a digest.
    pub enum News {
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
            /// Its incarnation.
            incarnation: Incarnation,
            /// The last beat seen.
            beat: u64,
        },
    }
}
