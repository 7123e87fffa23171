//! Messages between a router and the holder of a slot.
//!
//! All messages are plain data encoded with postcard. A request is identified by the digest of its
//! [`RequestKey`], which takes 16 bytes instead of two strings and keeps callers' ids out of the
//! log.

use std::sync::Arc;

use fescuewell_core::prelude::*;

/// Maximum size in bytes of a response that a slot stores for repeats of a non-repeatable call.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Returns the slot, out of `slots`, that decides a request.
///
/// # Panics
///
/// If `slots` is zero.
pub fn slot_of(request: Digest, slots: u16) -> SlotKey {
    SlotKey((request.0 % u128::from(slots)) as u16)
}

fescuewell_core::data! {
    /// Identifies one attempt, a run of a request by one router.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Owner {
        /// `instance.incarnation` of the router.
        pub holder: Arc<str>,
        /// Number of the attempt. A router's numbers ascend and are never reused.
        pub attempt: u32,
    }

    /// The stored response of a non-repeatable call.
    pub struct StoredResponse {
        /// HTTP status code.
        pub status: u16,
        /// Value of the `Content-Type` header.
        pub content_type: Arc<str>,
        /// The body, at most [`MAX_RESPONSE_BYTES`] bytes.
        pub body: Arc<[u8]>,
    }

    /// The backend server and stream of an attempt.
    pub struct Assignment {
        /// Name of the backend server.
        pub server: Arc<str>,
        /// Id of the stream on that server.
        pub stream: StreamId,
    }

    /// Requests the right to run a request.
    pub struct Claim {
        /// Digest of the request's key.
        pub request: Digest,
        /// Hash of the request's body. A claim with the same id but a different hash is refused.
        pub fingerprint: Digest,
        /// Group that pays.
        pub group: Arc<str>,
        /// The attempt. A claim with the same attempt is a retransmission.
        pub owner: Owner,
        /// Upper bound of the cost; charged if the outcome cannot be determined.
        pub hold: Tokens,
        /// Whether the call can safely run more than once.
        pub repeatable: bool,
        /// An attempt by a terminated router whose stream is unknown to its backend server.
        pub lost: Option<Owner>,
        /// The router's oldest unfinished attempt.
        pub oldest: u32,
    }

    /// Reports the cost of a request.
    pub struct Bill {
        /// Digest of the request's key.
        pub request: Digest,
        /// Hash of the request's body.
        pub fingerprint: Digest,
        /// Group that pays.
        pub group: Arc<str>,
        /// The attempt that is billed.
        pub owner: Owner,
        /// Upper bound of the cost.
        pub hold: Tokens,
        /// Actual cost; anything above the hold is not charged.
        pub cost: Tokens,
        /// Whether repeats of the request must not run again, because the caller received the
        /// complete response or gave up, or the call is not repeatable. If `false`, a repeat of a
        /// repeatable call runs again but is not billed again.
        pub complete: bool,
        /// Whether the call can safely run more than once.
        pub repeatable: bool,
        /// Response for repeats of a non-repeatable call.
        pub response: Option<StoredResponse>,
        /// The router's oldest unfinished attempt.
        pub oldest: u32,
    }

    /// The sweep's information about an attempt by a terminated router.
    pub enum Evidence {
        /// A backend server's record of a stream that has ended.
        Stream {
            /// Tokens read and produced, counted like a router's bill.
            cost: Tokens,
            /// Whether the stream ended normally, without cancellation or failure.
            complete: bool,
            /// The response of a non-repeatable call, if the server keeps it.
            response: Option<StoredResponse>,
        },
        /// There is no record, so the outcome cannot be determined.
        InDoubt,
    }

    /// Bills an attempt by a terminated router; sent by the sweep.
    pub struct Settlement {
        /// Digest of the request's key.
        pub request: Digest,
        /// Group that pays.
        pub group: Arc<str>,
        /// The attempt.
        pub owner: Owner,
        /// Upper bound of the cost.
        pub hold: Tokens,
        /// What is known about the attempt.
        pub evidence: Evidence,
    }

    /// The two phases in which the sweep closes a terminated router in a slot.
    #[derive(Copy)]
    pub enum Phase {
        /// Rejects new claims by the router and lists its open ones. Bills are still charged.
        Freeze,
        /// Charges nothing more to the router and returns the final totals.
        Finish,
    }

    /// A request to the holder of a slot.
    pub enum Request {
        /// Requests the right to run a request.
        Claim(Claim),
        /// Reports the backend server to which an attempt was sent, also after a change of server.
        Assign {
            /// Digest of the request's key.
            request: Digest,
            /// The attempt.
            owner: Owner,
            /// Where it runs.
            assignment: Assignment,
        },
        /// Reports the cost of a request.
        Bill(Bill),
        /// Gives up an attempt of which nothing was sent.
        Release {
            /// Digest of the request's key.
            request: Digest,
            /// The attempt that is given up.
            owner: Owner,
        },
        /// Reports the cost of an attempt by a terminated router.
        Settle(Settlement),
        /// Closes a terminated router.
        Close {
            /// `instance.incarnation` of the router.
            holder: Arc<str>,
            /// The phase.
            phase: Phase,
        },
        /// Allows the slot to drop a closed router's totals, which have been used.
        Forget {
            /// `instance.incarnation` of the router.
            holder: Arc<str>,
        },
        /// Reads the state of a request.
        Lookup {
            /// Digest of the request's key.
            request: Digest,
        },
    }

    /// The state of a request in its slot.
    pub enum RequestState {
        /// Unknown, or released before anything was sent.
        Absent,
        /// Claimed with a different body.
        Conflict,
        /// In progress, or was when its router was terminated.
        InProgress {
            /// The attempt.
            owner: Owner,
            /// Where it runs, if known.
            assignment: Option<Assignment>,
        },
        /// Finished.
        Done {
            /// Where it ran, if known.
            assignment: Option<Assignment>,
            /// The stored response of a non-repeatable call.
            response: Option<StoredResponse>,
            /// Whether the outcome could not be determined.
            in_doubt: bool,
        },
    }

    /// A claim of a closed router that is neither billed nor released.
    pub struct OpenClaim {
        /// Digest of the request's key.
        pub request: Digest,
        /// Number of the attempt.
        pub attempt: u32,
        /// Group that pays.
        pub group: Arc<str>,
        /// Upper bound of the cost.
        pub hold: Tokens,
        /// Where it ran, if known.
        pub assignment: Option<Assignment>,
        /// Whether the call can safely run more than once.
        pub repeatable: bool,
    }

    /// A reply from the holder of a slot.
    pub enum Reply {
        /// The claim is granted.
        Granted {
            /// Number of the attempt, as in the claim.
            attempt: u32,
            /// Whether the claim survives a crash of the slot's holder. Non-repeatable requests are
            /// only sent to a backend server on a durable claim.
            durable: bool,
        },
        /// The claim is not granted, or the result of a lookup.
        Known(RequestState),
        /// The assignment was recorded, or belongs to an attempt that no longer owns the claim.
        Assigned,
        /// The request's bill is durable.
        Billed {
            /// What this attempt was charged; 0 if another attempt was billed first.
            charged: Tokens,
        },
        /// The claim is durably released.
        Released,
        /// The router is durably closed.
        Closed {
            /// Tokens charged to the router in this slot, by group.
            totals: Vec<(Arc<str>, Tokens)>,
            /// Claims that are still open.
            open: Vec<OpenClaim>,
        },
        /// The totals were dropped.
        Forgotten,
        /// This instance does not hold the slot or is still loading it.
        NotHolder,
        /// The holder cannot make the request durable now or has no room for it. The sender keeps
        /// it.
        Unavailable,
    }
}

impl Request {
    /// Returns the digest of the request concerned, or `None` for messages about a router.
    pub fn subject(&self) -> Option<Digest> {
        match self {
            Self::Claim(claim) => Some(claim.request),
            Self::Bill(bill) => Some(bill.request),
            Self::Settle(settlement) => Some(settlement.request),
            Self::Assign { request, .. }
            | Self::Release { request, .. }
            | Self::Lookup { request } => Some(*request),
            Self::Close { .. } | Self::Forget { .. } => None,
        }
    }
}
