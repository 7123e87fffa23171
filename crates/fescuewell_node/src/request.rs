//! A request on its way through the instance: what arrives, what is decided, how it ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_claims::message::StoredResponse;
use fescuewell_core::prelude::*;

fescuewell_core::key! {
    /// Names a request within one process; never used twice.
    pub struct Ticket(pub u64);
}

fescuewell_core::message! {
    /// What a request asks for.
    pub enum Work {
        /// A model's answer.
        Model {
            /// Name of the model.
            model: Arc<str>,
            /// Hashes of the successive blocks of the prompt, salted by group.
            prefix: Vec<Digest>,
            /// Upper bound of the prompt, in tokens.
            prompt_bound: u32,
            /// Most tokens that the caller wants back.
            output_limit: u32,
        },
        /// A plain call.
        Call {
            /// Name of the service.
            service: Arc<str>,
            /// Name of the call.
            call: Arc<str>,
            /// Whether it may run more than once.
            repeatable: bool,
            /// Flat price.
            price: Tokens,
        },
    }

    /// A request as the listener hands it over: who, what, until when.
    pub struct Arrival {
        /// Names the request in this process.
        pub ticket: Ticket,
        /// Identity across the fleet.
        pub key: RequestKey,
        /// Hash of what is asked; the same id with another one is a conflict.
        pub fingerprint: Digest,
        /// Name of the group that pays.
        pub group: Arc<str>,
        /// Kind of request.
        pub kind: Arc<str>,
        /// What is asked.
        pub work: Work,
        /// Time that is left to answer it.
        pub deadline: Duration,
    }

    /// What the listener is told to do with a request.
    pub enum Verdict {
        /// Answer with a refusal.
        Refuse(Refusal),
        /// Send the work to a backend server.
        Run(Assignment),
        /// Deliver the answer of an attempt that is under way or done elsewhere; nothing is sent or billed.
        Attach {
            /// Backend server that has the stream.
            server: Arc<str>,
            /// Where it listens.
            address: SocketAddr,
            /// The stream's name there.
            stream: StreamId,
        },
        /// Answer with what is kept of the first run.
        Stored(StoredResponse),
    }

    /// Where an attempt goes and within which bounds.
    pub struct Assignment {
        /// Backend server's name.
        pub server: Arc<str>,
        /// Where it listens.
        pub address: SocketAddr,
        /// Name of this attempt at the backend server.
        pub stream: StreamId,
        /// Tokens held for it: the answer is cut when they are used.
        pub hold: Tokens,
        /// Number of the attempt, from 1.
        pub attempt: u32,
        /// Priority in the engine; 0 is the most urgent.
        pub priority: u8,
        /// Name of the paying group, sent along for the sweep.
        pub group: Arc<str>,
        /// Salt of the engine's prefix cache, so that groups learn nothing of each other's prompts.
        pub cache_salt: Arc<str>,
        /// Time left when this was decided.
        pub deadline: Duration,
        /// The holder (`instance.incarnation`) that sends it.
        pub holder: Arc<str>,
    }

    /// How an attempt ended, as the data plane saw it.
    pub enum End {
        /// The whole answer reached the end; its true cost.
        Done {
            /// Prompt and output tokens, as the backend server counts them.
            cost: Tokens,
            /// Output tokens alone.
            output: u32,
            /// The answer, kept for repeats of a call that may not run twice.
            response: Option<StoredResponse>,
        },
        /// Provably no byte was sent: another attempt may be made.
        NotSent,
        /// The backend server said that it takes nothing now and did not run it.
        Busy,
        /// The backend server refused the request itself; not run, nothing to pay.
        Rejected,
        /// Something was sent and then the answer was lost; `used` tokens are known to have been produced.
        Lost {
            /// Tokens known to be used.
            used: Tokens,
            /// Whether the backend server stalled rather than broke.
            stalled: bool,
            /// Whether a part of the answer has reached the caller, so that no other run can follow on.
            delivered: bool,
        },
        /// The caller went away or the deadline passed; the engine was told to stop.
        Cancelled {
            /// Tokens used until then.
            used: Tokens,
        },
    }
}

impl Work {
    /// Upper bound of the cost in tokens; what is held before anything is sent.
    pub fn bound(&self) -> Tokens {
        match self {
            Self::Model {
                prompt_bound,
                output_limit,
                ..
            } => Tokens(u64::from(*prompt_bound) + u64::from(*output_limit)),
            Self::Call { price, .. } => *price,
        }
    }

    /// Whether a second run does no harm. Model answers are; plain calls say so in the document.
    pub fn repeatable(&self) -> bool {
        match self {
            Self::Model { .. } => true,
            Self::Call { repeatable, .. } => *repeatable,
        }
    }
}
