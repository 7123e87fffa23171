//! Events that a client reports to its router.

use fescuewell_core::tokens::Tokens;

#[cfg(doc)]
use super::Client;
use crate::message::RequestState;

fescuewell_core::message! {
    /// An event for the router.
    pub enum Event {
        /// The slot replied to a claim: it is granted, or the request is already known.
        ClaimAnswered {
            /// As passed to [`Client::claim`].
            ticket: u64,
            /// Number of the attempt.
            attempt: u32,
            /// `Ok(durable)` if the request may run, otherwise its state in the slot.
            result: Result<bool, RequestState>,
        },
        /// No holder of the slot replied in time. A repeatable call continues without a claim,
        /// since its bill is checked for duplicates in any case; any other call is refused, and the
        /// client releases its claim.
        ClaimTimedOut {
            /// As passed to [`Client::claim`].
            ticket: u64,
            /// Number of the attempt.
            attempt: u32,
        },
        /// The holder cannot record claims now. Handled like [`Event::ClaimTimedOut`], without the
        /// wait.
        ClaimUnavailable {
            /// As passed to [`Client::claim`].
            ticket: u64,
            /// Number of the attempt.
            attempt: u32,
        },
        /// A bill is durable.
        BillDurable {
            /// As passed to [`Client::bill`].
            ticket: u64,
            /// Number of the attempt.
            attempt: u32,
            /// Tokens charged; 0 if another attempt at the request was billed before.
            charged: Tokens,
        },
        /// The result of a lookup.
        LookedUp {
            /// As passed to [`Client::lookup`].
            ticket: u64,
            /// The state of the request; `None` if no reply arrived in time.
            known: Option<RequestState>,
        },
    }
}
