//! What a slot's log consists of.
//!
//! A [`Record`] is a decision already taken: replaying the records of a slot in order gives the same
//! ledger. Names are written once, by [`Record::Name`], and then referred to by number.

use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::message::StoredResponse;

fescuewell_core::key! {
    /// A name (holder, group, backend server) within one slot, numbered in the order of first use.
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
    /// One run of a request, by the number of its holder's name.
    #[derive(Copy, Default)]
    pub struct Run {
        /// Number of the holder's name.
        pub holder: NameKey,
        /// Number of the attempt.
        pub attempt: u32,
    }

    /// One change of a slot.
    pub enum Record {
        /// The next name.
        Name(Arc<str>),
        /// A claim was granted.
        Claim {
            /// Digest of the request's key.
            request: Digest,
            /// First 64 bits of the hash of the body.
            fingerprint: u64,
            /// Group that pays.
            group: NameKey,
            /// Who runs it.
            run: Run,
            /// Upper bound of the cost.
            hold: Tokens,
            /// Whether it may run more than once.
            repeatable: bool,
        },
        /// A claimed request was sent to a backend server.
        Assign {
            /// Digest of the request's key.
            request: Digest,
            /// The backend server.
            server: NameKey,
            /// The stream id, when it is not the one that follows from the run.
            stream: Option<StreamId>,
        },
        /// The first bill of a request.
        Bill {
            /// Digest of the request's key.
            request: Digest,
            /// First 64 bits of the hash of the body; 0 when it is not known.
            fingerprint: u64,
            /// Group that pays.
            group: NameKey,
            /// Who ran it.
            run: Run,
            /// What is charged.
            charged: Tokens,
            /// Whether a repeat must not run again.
            complete: bool,
            /// Whether it may run more than once.
            repeatable: bool,
            /// Whether the outcome could not be learned.
            in_doubt: bool,
            /// StoredResponse for repeats.
            response: Option<StoredResponse>,
        },
        /// A request that was billed before has now been answered whole, by another run.
        Complete {
            /// Digest of the request's key.
            request: Digest,
            /// Who ran it.
            run: Run,
        },
        /// A claim was given up before anything was sent.
        Release {
            /// Digest of the request's key.
            request: Digest,
            /// Who had it.
            run: Run,
        },
        /// A terminated router was closed.
        Close {
            /// The router.
            holder: NameKey,
            /// Whether nothing may be charged to it any more.
            finish: bool,
        },
        /// A closed router's totals were dropped.
        Forget {
            /// The router.
            holder: NameKey,
        },
        /// Names were numbered anew.
        Compact {
            /// Routers closed long ago, which are forgotten altogether.
            dropped: Vec<NameKey>,
            /// The names that stay, in the order of their new numbers.
            kept: Vec<NameKey>,
        },
    }

    /// One row of a slot's log.
    #[derive(Default)]
    pub struct Batch {
        /// Random id of the commit, by which its writer recognises it when the reply was lost.
        pub commit: u64,
        /// The changes, in order.
        pub records: Vec<Record>,
    }
}
