//! Types that describe a request: its arrival, the verdict on it, and the end of an attempt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_claims::message::StoredResponse;
use fescuewell_core::prelude::*;

fescuewell_core::key! {
    /// Identifies a request within one process; never reused.
    pub struct Ticket(pub u64);
}

fescuewell_core::message! {
    /// The work that a request asks for.
    pub enum Work {
        /// Inference with a model.
        Model {
            /// Name of the model.
            model: Arc<str>,
            /// Hashes of the prompt's consecutive blocks, salted per group.
            prefix: Vec<Digest>,
            /// Upper bound of the prompt length, in tokens.
            prompt_bound: u32,
            /// Maximum output tokens that the caller requested.
            output_limit: u32,
        },
        /// A call to a plain service.
        Call {
            /// Name of the service.
            service: Arc<str>,
            /// Name of the call.
            call: Arc<str>,
            /// Whether the call may run more than once.
            repeatable: bool,
            /// Fixed price of the call.
            price: Tokens,
        },
    }

    /// An incoming request from the listener.
    pub struct Arrival {
        /// Identifies the request within this process.
        pub ticket: Ticket,
        /// Identifies the request across the fleet.
        pub key: RequestKey,
        /// Hash of the request's content. The same id with a different fingerprint is a conflict.
        pub fingerprint: Digest,
        /// Name of the group that pays.
        pub group: Arc<str>,
        /// Kind of request.
        pub kind: Arc<str>,
        /// The requested work.
        pub work: Work,
        /// Time left until the response must be complete.
        pub deadline: Duration,
    }

    /// What the listener must do with a request.
    pub enum Verdict {
        /// Respond with a refusal.
        Refuse(Refusal),
        /// Send the work to a backend server.
        Run(Assignment),
        /// Deliver the response of another attempt that is running or complete; nothing is sent or billed.
        Attach {
            /// Backend server that has the stream.
            server: Arc<str>,
            /// Address of the server.
            address: SocketAddr,
            /// Id of the stream on the server.
            stream: StreamId,
        },
        /// Respond with the stored response of the first attempt.
        Stored(StoredResponse),
        /// Go on with the attempt, whose server is silent: no other attempt may take its place at present.
        Keep,
    }

    /// Target and limits of an attempt.
    pub struct Assignment {
        /// Name of the backend server.
        pub server: Arc<str>,
        /// Address of the server.
        pub address: SocketAddr,
        /// Stream id of this attempt on the backend server.
        pub stream: StreamId,
        /// Tokens held for the attempt; the output is truncated once they are used.
        pub hold: Tokens,
        /// Attempt number, starting at 1.
        pub attempt: u32,
        /// Scheduling priority in the engine; 0 is the most urgent.
        pub priority: u8,
        /// Name of the group that pays, sent to the server so that a sweep can bill the stream.
        pub group: Arc<str>,
        /// Salt for the engine's prefix cache, so that groups cannot probe each other's prompts.
        pub cache_salt: Arc<str>,
        /// Time left until the deadline when the attempt was assigned.
        pub deadline: Duration,
        /// The holder (`instance.incarnation`) that sends the attempt.
        pub holder: Arc<str>,
    }

    /// How an attempt ended, as reported by the data plane.
    pub enum End {
        /// The response is complete.
        Done {
            /// Prompt and output tokens, as the backend server counts them.
            cost: Tokens,
            /// Output tokens only.
            output: u32,
            /// The response, stored for repeats of a non-repeatable call.
            response: Option<StoredResponse>,
        },
        /// No byte was sent, so another attempt is safe.
        NotSent,
        /// The backend server is at capacity and did not run the request.
        Busy,
        /// The backend server rejected the request itself; it did not run and costs nothing.
        Rejected,
        /// The request was sent and the response was lost.
        Lost {
            /// Tokens that are known to have been used.
            used: Tokens,
            /// Whether the backend server stalled rather than failed.
            stalled: bool,
            /// Whether part of the response reached the caller, which rules out another attempt.
            delivered: bool,
        },
        /// The caller disconnected or the deadline passed, and the engine was asked to cancel.
        Cancelled {
            /// Tokens used before the cancellation.
            used: Tokens,
        },
    }
}

impl Work {
    /// Returns the maximum cost in tokens, which is held before anything is sent.
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

    /// Returns `true` if the work may safely run more than once. Model requests may; for plain calls the
    /// document specifies it.
    pub fn repeatable(&self) -> bool {
        match self {
            Self::Model { .. } => true,
            Self::Call { repeatable, .. } => *repeatable,
        }
    }
}
