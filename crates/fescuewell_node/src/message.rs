//! What instances tell each other.

use std::sync::Arc;

use fescuewell_claims::message::{Reply, Request};
use fescuewell_core::prelude::*;

fescuewell_core::data! {
    /// One message between two instances; the transport proves who sent it.
    pub enum Message {
        /// A question to the holder of a slot.
        SlotRequest {
            /// Matches the answer to the question, unique per asking holder.
            correlation: u64,
            /// Which slot is asked.
            slot: SlotKey,
            /// The question.
            request: Request,
        },
        /// The answer to [`Message::SlotRequest`].
        SlotReply {
            /// From the question.
            correlation: u64,
            /// The answer.
            reply: Reply,
        },
        /// Between the ledgers of two holders.
        Budget {
            /// The holder (`instance.incarnation`) that sent it.
            from: Arc<str>,
            /// The message.
            message: fescuewell_budget::message::Message,
        },
        /// Membership digest and document heads.
        Gossip(fescuewell_membership::gossip::Message),
        /// Asks for a piece of the document.
        ChunkRequest {
            /// Its content-addressed name.
            name: Arc<str>,
        },
        /// A piece of the document, or that it is not here.
        Chunk {
            /// Its content-addressed name.
            name: Arc<str>,
            /// Its bytes.
            content: Option<Vec<u8>>,
        },
        /// Bills that a leaving instance could not make durable itself.
        Bills(Vec<Request>),
    }
}
