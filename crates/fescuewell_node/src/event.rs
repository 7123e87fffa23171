//! What an instance's decisions are told and what they ask for.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_claims::message::StoredResponse;
use fescuewell_core::platform::Listing;
use fescuewell_core::prelude::*;
use fescuewell_core::table;
use fescuewell_placement::order::{Answer as OrderAnswer, Order};
use fescuewell_routing::load::Report;

use crate::message::Message;
use crate::request::{Arrival, End, Ticket, Verdict};

fescuewell_core::message! {
    /// Which machine asked for a piece of table work. Each has at most one step outstanding.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum Component {
        /// Allowances.
        Budget,
        /// Slots: claims and bills.
        Claims,
        /// Heartbeats and membership.
        Members,
        /// The head of the document.
        Head,
        /// Orders to backend servers.
        Placement,
        /// Allowances of terminated holders.
        Reclaim,
    }

    /// A stream that a backend server has a record of.
    pub struct StreamRecord {
        /// Its name.
        pub stream: StreamId,
        /// The group that pays.
        pub group: Arc<str>,
        /// Tokens that were held for it.
        pub hold: Tokens,
        /// Whether it has ended.
        pub done: bool,
        /// Whether it came to its own end rather than being cancelled or failing.
        pub complete: bool,
        /// The answer of a call that may not be repeated, when the server keeps it.
        pub response: Option<StoredResponse>,
        /// Tokens used until now.
        pub used: Tokens,
    }

    /// What a backend server says of its models, read back by whoever gives orders.
    pub struct ModelReport {
        /// When the question was sent. An order that was sent later cannot show in the answer.
        pub requested_at: Instant,
        /// Models that it serves.
        pub loaded: Vec<Arc<str>>,
        /// Models that it is loading.
        pub loading: Vec<Arc<str>>,
        /// Its role; `None` when it knows no roles.
        pub role: Option<Arc<str>>,
    }

    /// Something that happened.
    pub enum Event {
        /// A request came in.
        Arrived(Arrival),
        /// A caller wants the answer of an earlier request, from wherever it runs or ran.
        Resume {
            /// Names the question in this process.
            ticket: Ticket,
            /// The earlier request.
            key: RequestKey,
        },
        /// Output tokens reached this instance.
        Progress {
            /// Of which request.
            ticket: Ticket,
            /// How many.
            tokens: u32,
        },
        /// An attempt ended.
        Ended {
            /// Of which request.
            ticket: Ticket,
            /// How.
            end: End,
        },
        /// The caller went away before a verdict.
        Withdrawn {
            /// Of which request.
            ticket: Ticket,
        },
        /// The backend server has no record of a stream that the claim names.
        StreamGone {
            /// Of which request.
            ticket: Ticket,
        },
        /// A message from another instance.
        PeerMessage {
            /// Its name, proved by its certificate.
            from: Arc<str>,
            /// What it says.
            message: Message,
        },
        /// An answer of the table.
        TableReply {
            /// Who asked.
            component: Component,
            /// The answer.
            reply: table::Reply,
        },
        /// The platform's instance list.
        InstancesListed(Vec<Listing>),
        /// A piece of the document from the object store; `None` when it gave no answer.
        ObjectFetched {
            /// Its name.
            name: Arc<str>,
            /// Its bytes.
            content: Option<Vec<u8>>,
        },
        /// A load report of a backend server.
        LoadReported {
            /// Name of the backend server.
            server: Arc<str>,
            /// What it says.
            report: Report,
            /// Models that it has loaded.
            loaded: Vec<Arc<str>>,
        },
        /// A backend server said which models it has.
        ModelsReported {
            /// Name of the backend server.
            server: Arc<str>,
            /// What it said.
            report: ModelReport,
        },
        /// What became of an order.
        OrderResponse {
            /// The order.
            order: Order,
            /// What became of it.
            response: OrderAnswer,
        },
        /// A cache event of a backend server.
        CacheEvent {
            /// Name of the backend server.
            server: Arc<str>,
            /// Sequence number there.
            sequence: u64,
            /// What happened.
            event: fescuewell_routing::prefix::Event,
        },
        /// A backend server said that it is leaving.
        ServerLeaving {
            /// Name of the backend server.
            server: Arc<str>,
        },
        /// The streams that a backend server has of a holder; `None` when it gave no answer.
        StreamsListed {
            /// Name of the backend server.
            server: Arc<str>,
            /// The holder that was asked for.
            holder: Arc<str>,
            /// Its streams.
            streams: Option<Vec<StreamRecord>>,
        },
        /// Time passed.
        Tick,
        /// The process was asked to stop.
        Terminate,
    }

    /// Something to do.
    pub enum Action {
        /// Tell the listener what to do with a request.
        Decide {
            /// Which request.
            ticket: Ticket,
            /// What to do.
            verdict: Verdict,
        },
        /// Send a message to another instance.
        Send {
            /// Its name.
            instance: Arc<str>,
            /// Where it listens for peers.
            address: SocketAddr,
            /// The message.
            message: Message,
        },
        /// Do a piece of table work.
        Table {
            /// Who asks.
            component: Component,
            /// What to do.
            step: table::Step,
        },
        /// Fetch a piece of the document from the object store.
        Fetch {
            /// Its name.
            name: Arc<str>,
        },
        /// Ask a backend server for the streams of a holder.
        ListStreams {
            /// Name of the backend server.
            server: Arc<str>,
            /// Where it listens.
            address: SocketAddr,
            /// The holder.
            holder: Arc<str>,
        },
        /// Tell a backend server to end a stream.
        CancelStream {
            /// Name of the backend server.
            server: Arc<str>,
            /// Where it listens.
            address: SocketAddr,
            /// The stream.
            stream: StreamId,
        },
        /// Give an order to a backend server, at most once and at once or not at all.
        Order {
            /// Name of the backend server.
            server: Arc<str>,
            /// Where it listens.
            address: SocketAddr,
            /// Fencing number.
            epoch: Epoch,
            /// The order, to come back with [`Event::OrderResponse`].
            order: Order,
        },
        /// A newer document is in force: the listener's index follows.
        ApplyDocument {
            /// Its version.
            version: Version,
            /// The document.
            document: Arc<fescuewell_document::model::Document>,
        },
        /// Stop taking new requests at the listener.
        StopListening,
        /// Nothing is left to do: end the process.
        Exit,
        /// Write a log line.
        Log {
            /// Its number.
            event: fescuewell_core::event::Event,
            /// Its `key=value` text.
            text: String,
        },
    }
}
