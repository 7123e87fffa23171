//! What a courier tells its router.

use fescuewell_core::tokens::Tokens;

#[cfg(doc)]
use super::Client;
use crate::message::RequestState;

fescuewell_core::message! {
    /// What the router learns.
    pub enum Event {
        /// The slot answered a claim: granted, or known already.
        ClaimAnswered {
            /// As given to [`Client::claim`].
            ticket: u64,
            /// Number of the attempt.
            attempt: u32,
            /// `Ok(durable)` when the request may run, otherwise what is known of it.
            result: Result<bool, RequestState>,
        },
        /// No holder of the slot answered in time. A repeatable call goes on without a claim, its bill being
        /// arbitrated in any case; any other is refused, and the courier sees to its release.
        ClaimTimedOut {
            /// As given to [`Client::claim`].
            ticket: u64,
            /// Number of the attempt.
            attempt: u32,
        },
        /// The holder cannot record claims now. To be treated like [`Event::ClaimTimedOut`], only sooner.
        ClaimUnavailable {
            /// As given to [`Client::claim`].
            ticket: u64,
            /// Number of the attempt.
            attempt: u32,
        },
        /// A bill is durable.
        BillDurable {
            /// As given to [`Client::bill`].
            ticket: u64,
            /// Number of the attempt.
            attempt: u32,
            /// What was charged; 0 when another run of the request had been billed before.
            charged: Tokens,
        },
        /// The answer to a look-up; `None` when nobody answered in time.
        LookedUp {
            /// As given to [`Client::lookup`].
            ticket: u64,
            /// What is known.
            known: Option<RequestState>,
        },
    }
}
