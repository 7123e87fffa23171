//! Holds: the worst-case cost of a request, reserved before the request is sent.

use std::time::Duration;

use fescuewell_core::prelude::*;

slotmap::new_key_type! {
    /// Identifies a hold of one ledger.
    pub struct HoldKey;
}

fescuewell_core::message! {
    /// Why a hold was not granted.
    #[derive(Copy, Eq)]
    pub enum Shortage {
        /// A draw is pending or due: retry after [`crate::Notification::Funded`] for the group.
        Pending,
        /// The rest of the prepaid total does not cover the request, and no request in progress can
        /// return tokens.
        Exhausted,
        /// The remaining tokens are held by requests in progress or by a holder that does not
        /// reply.
        InUse {
            /// When a retry makes sense.
            retry_after: Duration,
        },
        /// The row is missing or could not be read.
        Unknown {
            /// When a retry makes sense.
            retry_after: Duration,
        },
    }
}

/// A hold, before or after settlement.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hold {
    pub group: GroupKey,
    /// The worst-case cost before settlement, the actual cost after it.
    pub amount: Tokens,
    /// Whether the actual cost is known and its bill is not durable yet.
    pub is_settled: bool,
}
