//! Holds: the worst case of a request, set aside before it is sent.

use std::time::Duration;

use fescuewell_core::prelude::*;

slotmap::new_key_type! {
    /// Names a hold of one ledger.
    pub struct HoldKey;
}

fescuewell_core::message! {
    /// Why a hold could not be had.
    #[derive(Copy, Eq)]
    pub enum Shortage {
        /// A draw is under way or due: ask again when [`crate::Notification::Funded`] names the group.
        Pending,
        /// What is left of the prepaid total does not cover the request and nothing under way can
        /// give anything back.
        Exhausted,
        /// What is left is held by requests under way, or by a holder that does not answer.
        InUse {
            /// When it makes sense to ask again.
            retry_after: Duration,
        },
        /// The row could not be consulted, or there is none.
        Unknown {
            /// When it makes sense to ask again.
            retry_after: Duration,
        },
    }
}

/// A hold in its two stages.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hold {
    pub group: GroupKey,
    /// The worst case while held; the true cost once settled.
    pub amount: Tokens,
    /// Whether the true cost is known and waits for its bill to become durable.
    pub is_settled: bool,
}
