//! Messages between instances.

use std::sync::Arc;

use fescuewell_claims::message::{Reply, Request};
use fescuewell_core::prelude::*;

fescuewell_core::data! {
    /// A message between two instances. The transport authenticates the sender.
    pub enum Message {
        /// A request to the holder of a slot.
        SlotRequest {
            /// Matches the reply to the request; unique per requesting holder.
            correlation: u64,
            /// The slot that the request concerns.
            slot: SlotKey,
            /// The request.
            request: Request,
        },
        /// The reply to a [`Message::SlotRequest`].
        SlotReply {
            /// Copied from the request.
            correlation: u64,
            /// The reply.
            reply: Reply,
        },
        /// A message between the ledgers of two holders.
        Budget {
            /// The sending holder (`instance.incarnation`).
            from: Arc<str>,
            /// The message.
            message: fescuewell_budget::message::Message,
        },
        /// Membership digest and document heads.
        Gossip(fescuewell_membership::gossip::Message),
        /// Requests a chunk of the document.
        ChunkRequest {
            /// Content-addressed name of the chunk.
            name: Arc<str>,
        },
        /// A chunk of the document.
        Chunk {
            /// Content-addressed name of the chunk.
            name: Arc<str>,
            /// Bytes of the chunk; `None` when the sender does not have it.
            content: Option<Vec<u8>>,
        },
        /// Bills that a draining instance could not make durable itself.
        Bills(Vec<Request>),
    }
}
