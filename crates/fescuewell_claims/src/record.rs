//! The contents of a slot's log.
//!
//! A [`Record`] is a decision: replaying a slot's records in order restores its ledger. Names are
//! written once, as [`Record::Name`], and then referred to by [`NameKey`].

use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::message::StoredResponse;

fescuewell_core::key! {
    /// An interned name (holder, group or backend server) of one slot, numbered in order of first
    /// use.
    pub struct NameKey(pub u32);
}

impl fescuewell_core::intern::Index for NameKey {
    fn from_index(index: u32) -> Self {
        Self(index)
    }
    fn index(self) -> usize {
        self.0 as usize
    }
}

fescuewell_core::data! {
    /// One attempt, with its holder as an interned name.
    #[derive(Copy, Default)]
    pub struct Run {
        /// Key of the holder's name.
        pub holder: NameKey,
        /// Number of the attempt.
        pub attempt: u32,
    }

    /// One change of a slot's state.
    pub enum Record {
        /// Adds a name, which gets the next key.
        Name(Arc<str>),
        /// A claim was granted.
        Claim {
            /// Digest of the request's key.
            request: Digest,
            /// First 64 bits of the hash of the body.
            fingerprint: u64,
            /// Group that pays.
            group: NameKey,
            /// The attempt that owns the claim.
            run: Run,
            /// Upper bound of the cost.
            hold: Tokens,
            /// Whether the request can safely run more than once.
            repeatable: bool,
        },
        /// A claimed request was sent to a backend server.
        Assign {
            /// Digest of the request's key.
            request: Digest,
            /// The backend server.
            server: NameKey,
            /// The stream id, if it differs from the one derived from the attempt.
            stream: Option<StreamId>,
        },
        /// The first bill of a request.
        Bill {
            /// Digest of the request's key.
            request: Digest,
            /// First 64 bits of the hash of the body; 0 if unknown.
            fingerprint: u64,
            /// Group that pays.
            group: NameKey,
            /// The attempt that is billed.
            run: Run,
            /// Tokens charged.
            charged: Tokens,
            /// Whether repeats must not run again.
            complete: bool,
            /// Whether the request can safely run more than once.
            repeatable: bool,
            /// Whether the outcome could not be determined.
            in_doubt: bool,
            /// Response for repeats.
            response: Option<StoredResponse>,
        },
        /// A request that was billed earlier has received its complete response from another
        /// attempt.
        Complete {
            /// Digest of the request's key.
            request: Digest,
            /// The attempt that completed it.
            run: Run,
        },
        /// A claim was released before anything was sent.
        Release {
            /// Digest of the request's key.
            request: Digest,
            /// The attempt that owned the claim.
            run: Run,
        },
        /// A terminated router was closed.
        Close {
            /// The router.
            holder: NameKey,
            /// Whether nothing more may be charged to it.
            finish: bool,
        },
        /// A closed router's totals were dropped.
        Forget {
            /// The router.
            holder: NameKey,
        },
        /// Names were renumbered.
        Compact {
            /// Routers that were closed long ago and are removed.
            dropped: Vec<NameKey>,
            /// The remaining names, in the order of their new keys.
            kept: Vec<NameKey>,
        },
    }

    /// One row of a slot's log.
    #[derive(Default)]
    pub struct Batch {
        /// Random id of the commit, by which the writer recognises its own write after a lost
        /// reply.
        pub commit: u64,
        /// The changes, in order.
        pub records: Vec<Record>,
    }
}
