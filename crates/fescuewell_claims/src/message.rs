//! Messages between the router that asks and the instance that holds a slot.
//!
//! All of them are plain data, sent with postcard. A request is named by the digest of its
//! [`RequestKey`]: 16 bytes instead of two texts, which also keeps
//! callers' ids out of the log.

use std::sync::Arc;

use fescuewell_core::prelude::*;

/// Most bytes of an answer that a slot keeps for repeats of a non-repeatable call.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// The slot, out of `slots`, that arbitrates a request.
///
/// # Panics
///
/// When `slots` is zero.
pub fn slot_of(request: Digest, slots: u16) -> SlotKey {
    SlotKey((request.0 % u128::from(slots)) as u16)
}

fescuewell_core::data! {
    /// One run of a request: which router, and the router's own number for it.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Owner {
        /// `instance.incarnation` of the router.
        pub holder: Arc<str>,
        /// Number of the attempt, unique among those of its holder and rising.
        pub attempt: u32,
    }

    /// The kept answer of a non-repeatable call.
    pub struct StoredResponse {
        /// HTTP status.
        pub status: u16,
        /// Value of `Content-Type`.
        pub content_type: Arc<str>,
        /// The body, at most [`MAX_RESPONSE_BYTES`] bytes.
        pub body: Arc<[u8]>,
    }

    /// Which backend server runs an attempt, and under which stream id.
    pub struct Assignment {
        /// Name of the backend server.
        pub server: Arc<str>,
        /// The id under which that server knows the stream.
        pub stream: StreamId,
    }

    /// Asks for the right to run a request.
    pub struct Claim {
        /// Digest of the request's key.
        pub request: Digest,
        /// Hash of the request's body: the same id with another one is refused.
        pub fingerprint: Digest,
        /// Group that pays.
        pub group: Arc<str>,
        /// The asking router and its number for the run; the same pair sent again is the same claim.
        pub owner: Owner,
        /// Upper bound of the cost; what is billed when the outcome can never be learned.
        pub hold: Tokens,
        /// Whether the call may run more than once without harm.
        pub repeatable: bool,
        /// A run by a terminated router of whose stream its backend server has no record.
        pub lost: Option<Owner>,
        /// The router's oldest unfinished attempt.
        pub oldest: u32,
    }

    /// States what a request cost.
    pub struct Bill {
        /// Digest of the request's key.
        pub request: Digest,
        /// Hash of the request's body.
        pub fingerprint: Digest,
        /// Group that pays.
        pub group: Arc<str>,
        /// The run that is billed.
        pub owner: Owner,
        /// Upper bound of the cost.
        pub hold: Tokens,
        /// True cost; what exceeds the hold is not charged.
        pub cost: Tokens,
        /// Whether a repeat of the request must not run again: its caller got the whole answer, gave up, or
        /// the call may not be repeated. When `false`, a repeat of a repeatable call runs again; it is not billed again.
        pub complete: bool,
        /// Whether the call may run more than once without harm.
        pub repeatable: bool,
        /// StoredResponse to give to repeats of a non-repeatable call.
        pub response: Option<StoredResponse>,
        /// The router's oldest unfinished attempt.
        pub oldest: u32,
    }

    /// What the sweep knows of a run by a terminated router.
    pub enum Evidence {
        /// A backend server's own record of a stream that has ended.
        Stream {
            /// Tokens that it produced and read, as a router would have billed them.
            cost: Tokens,
            /// Whether it ended by itself, rather than by a cancellation or a failure.
            complete: bool,
            /// The answer of a non-repeatable call, when the server keeps it.
            response: Option<StoredResponse>,
        },
        /// No record anywhere: the outcome can never be learned.
        InDoubt,
    }

    /// Bills a run by a terminated router on behalf of the sweep.
    pub struct Settlement {
        /// Digest of the request's key.
        pub request: Digest,
        /// Group that pays.
        pub group: Arc<str>,
        /// The run.
        pub owner: Owner,
        /// Upper bound of the cost.
        pub hold: Tokens,
        /// What is known of it.
        pub evidence: Evidence,
    }

    /// The two steps in which the sweep closes a terminated router in a slot.
    #[derive(Copy)]
    pub enum Phase {
        /// No more claims by that router; lists those still open. Bills are still charged.
        Freeze,
        /// Nothing is charged to that router any more; gives the final totals.
        Finish,
    }

    /// What the holder of a slot is asked.
    pub enum Request {
        /// May this request run?
        Claim(Claim),
        /// The run was sent to a backend server, or to another one than before.
        Assign {
            /// Digest of the request's key.
            request: Digest,
            /// The run.
            owner: Owner,
            /// Where it runs.
            assignment: Assignment,
        },
        /// What the request cost.
        Bill(Bill),
        /// The call was never sent.
        Release {
            /// Digest of the request's key.
            request: Digest,
            /// The run that will not be.
            owner: Owner,
        },
        /// What a terminated router's run cost.
        Settle(Settlement),
        /// Closes a terminated router.
        Close {
            /// `instance.incarnation` of the router.
            holder: Arc<str>,
            /// Which step.
            phase: Phase,
        },
        /// The closed router's totals have been used and may be dropped.
        Forget {
            /// `instance.incarnation` of the router.
            holder: Arc<str>,
        },
        /// What is known of a request?
        Lookup {
            /// Digest of the request's key.
            request: Digest,
        },
    }

    /// What a slot knows of a request.
    pub enum RequestState {
        /// Nothing, or only that it was never sent.
        Absent,
        /// It was claimed with another body.
        Conflict,
        /// It is under way, or was when its router was terminated.
        InProgress {
            /// The run.
            owner: Owner,
            /// Where it runs, as far as known.
            assignment: Option<Assignment>,
        },
        /// It ended.
        Done {
            /// Where it ran, as far as known.
            assignment: Option<Assignment>,
            /// The kept answer of a non-repeatable call.
            response: Option<StoredResponse>,
            /// Whether its outcome could not be learned.
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
        /// Where it ran, as far as known.
        pub assignment: Option<Assignment>,
        /// Whether the call may run more than once without harm.
        pub repeatable: bool,
    }

    /// What the holder of a slot answers.
    pub enum Reply {
        /// The claim is granted.
        Granted {
            /// Number of the attempt, as asked.
            attempt: u32,
            /// Whether the claim survives the holder of the slot. Nothing that may not be repeated is
            /// sent on a claim that does not.
            durable: bool,
        },
        /// The claim is not granted, or the answer to a look-up.
        Known(RequestState),
        /// The assignment was noted, or belongs to a run that is no longer of interest.
        Assigned,
        /// The request's bill is durable.
        Billed {
            /// What this run was charged; 0 when another run's bill came first.
            charged: Tokens,
        },
        /// The claim is durably given up.
        Released,
        /// The router is durably closed.
        Closed {
            /// Charged to it in this slot, for each group.
            totals: Vec<(Arc<str>, Tokens)>,
            /// Claims that remain open.
            open: Vec<OpenClaim>,
        },
        /// The totals were dropped.
        Forgotten,
        /// This instance does not hold the slot, or has not read its log yet.
        NotHolder,
        /// The holder cannot make it durable now, or has no room. It stays with the asker.
        Unavailable,
    }
}

impl Request {
    /// The request that this is about; `None` for messages about a router.
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
