//! Input events and output actions of a node.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_claims::message::StoredResponse;
use fescuewell_core::platform::Listing;
use fescuewell_core::prelude::*;
use fescuewell_core::table;
use fescuewell_placement::order::{Order, Response as OrderResponse};
use fescuewell_routing::load::Report;

use crate::message::Message;
use crate::request::{Arrival, End, Ticket, Verdict};

fescuewell_core::message! {
    /// A component that uses the table. Each has at most one step in flight.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum Component {
        /// Allowances.
        Budget,
        /// Claims and bills of the slots.
        Claims,
        /// Heartbeats and membership rows.
        Members,
        /// The document head.
        Head,
        /// Orders to backend servers.
        Placement,
        /// Reclaim of terminated holders' allowances.
        Reclaim,
    }

    /// A backend server's record of a stream.
    pub struct StreamRecord {
        /// Id of the stream.
        pub stream: StreamId,
        /// The group that pays.
        pub group: Arc<str>,
        /// Tokens held for the stream.
        pub hold: Tokens,
        /// Whether the stream has ended.
        pub done: bool,
        /// Whether the stream completed, rather than being cancelled or failing.
        pub complete: bool,
        /// The response of a non-repeatable call, if the server stores it.
        pub response: Option<StoredResponse>,
        /// Tokens used so far.
        pub used: Tokens,
    }

    /// A backend server's report of its models, which the placement planner compares with its orders.
    pub struct ModelReport {
        /// When the report was requested. It cannot reflect an order that was sent later.
        pub requested_at: Instant,
        /// Models that the server serves.
        pub loaded: Vec<Arc<str>>,
        /// Models that the server is loading.
        pub loading: Vec<Arc<str>>,
        /// Role of the server; `None` when it does not support roles.
        pub role: Option<Arc<str>>,
    }

    /// Input of a node.
    pub enum Event {
        /// A request arrived.
        Arrived(Arrival),
        /// A caller resumes the response of an earlier request, wherever it runs or ran.
        Resume {
            /// Identifies the resume request within this process.
            ticket: Ticket,
            /// The earlier request.
            key: RequestKey,
        },
        /// Output tokens of a request arrived from the backend server.
        Progress {
            /// The request.
            ticket: Ticket,
            /// Number of tokens.
            tokens: u32,
        },
        /// An attempt ended.
        Ended {
            /// The request.
            ticket: Ticket,
            /// How the attempt ended.
            end: End,
        },
        /// The caller disconnected before it received a verdict.
        Withdrawn {
            /// The request.
            ticket: Ticket,
        },
        /// The backend server has no record of the stream that a request was attached to.
        StreamGone {
            /// The request.
            ticket: Ticket,
        },
        /// A message arrived from another instance.
        PeerMessage {
            /// Name of the sender, authenticated by its certificate.
            from: Arc<str>,
            /// The message.
            message: Message,
        },
        /// The table replied to a step.
        TableReply {
            /// The component that requested the step.
            component: Component,
            /// The reply.
            reply: table::Reply,
        },
        /// The platform's instance list was read.
        InstancesListed(Vec<Listing>),
        /// A fetch of a document chunk from the object store ended.
        ObjectFetched {
            /// Content-addressed name of the chunk.
            name: Arc<str>,
            /// Bytes of the chunk; `None` when the store did not return them.
            content: Option<Vec<u8>>,
        },
        /// A backend server reported its load.
        LoadReported {
            /// Name of the backend server.
            server: Arc<str>,
            /// The load report.
            report: Report,
            /// Models that the server has loaded.
            loaded: Vec<Arc<str>>,
        },
        /// A backend server reported its models.
        ModelsReported {
            /// Name of the backend server.
            server: Arc<str>,
            /// The model report.
            report: ModelReport,
        },
        /// A backend server responded to an order, or the order failed.
        OrderResponse {
            /// The order.
            order: Order,
            /// Result of the order.
            response: OrderResponse,
        },
        /// A backend server reported a change of its prefix cache.
        CacheEvent {
            /// Name of the backend server.
            server: Arc<str>,
            /// Sequence number of the event on that server.
            sequence: u64,
            /// The cache event.
            event: fescuewell_routing::prefix::Event,
        },
        /// A backend server reported that it is shutting down.
        ServerLeaving {
            /// Name of the backend server.
            server: Arc<str>,
        },
        /// A listing of a holder's streams on a backend server ended.
        StreamsListed {
            /// Name of the backend server.
            server: Arc<str>,
            /// The holder whose streams were listed.
            holder: Arc<str>,
            /// The streams; `None` when the listing failed.
            streams: Option<Vec<StreamRecord>>,
        },
        /// The periodic timer fired.
        Tick,
        /// The process received a request to terminate.
        Terminate,
    }

    /// Output of a node, to be performed by its driver.
    pub enum Action {
        /// Deliver a verdict on a request to the listener.
        Decide {
            /// The request.
            ticket: Ticket,
            /// The verdict.
            verdict: Verdict,
        },
        /// Send a message to another instance.
        Send {
            /// Name of the instance.
            instance: Arc<str>,
            /// Peer address of the instance.
            address: SocketAddr,
            /// The message.
            message: Message,
        },
        /// Perform a table step.
        Table {
            /// The component that requests the step.
            component: Component,
            /// The step.
            step: table::Step,
        },
        /// Fetch a document chunk from the object store.
        Fetch {
            /// Content-addressed name of the chunk.
            name: Arc<str>,
        },
        /// List the streams of a holder on a backend server.
        ListStreams {
            /// Name of the backend server.
            server: Arc<str>,
            /// Address of the server.
            address: SocketAddr,
            /// The holder.
            holder: Arc<str>,
        },
        /// Cancel a stream on a backend server.
        CancelStream {
            /// Name of the backend server.
            server: Arc<str>,
            /// Address of the server.
            address: SocketAddr,
            /// The stream.
            stream: StreamId,
        },
        /// Send an order to a backend server immediately and at most once; drop it rather than delay it.
        Order {
            /// Name of the backend server.
            server: Arc<str>,
            /// Address of the server.
            address: SocketAddr,
            /// Fencing token.
            epoch: Epoch,
            /// The order, returned with [`Event::OrderResponse`].
            order: Order,
        },
        /// Apply a newer document to the listener's index.
        ApplyDocument {
            /// Version of the document.
            version: Version,
            /// The document.
            document: Arc<fescuewell_document::model::Document>,
        },
        /// Stop accepting new requests at the listener.
        StopListening,
        /// End the process; the drain is complete.
        Exit,
        /// Write a log line.
        Log {
            /// Kind of the log line.
            event: fescuewell_core::event::Event,
            /// Text of the line as `key=value` pairs.
            text: String,
        },
    }
}
