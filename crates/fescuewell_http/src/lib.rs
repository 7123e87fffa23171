//! HTTP as fescuewell needs it: a bounded listener for callers, a client for backend servers, and
//! the splitting and writing of Server-Sent Events.
//!
//! # Why hyper
//!
//! The house style names rouille. Measured, rouille (and `tiny_http` below it) holds small chunks
//! of a streamed answer back until the whole answer is there, starts a thread for each connection,
//! and has neither a connection cap nor a timeout on a request's head. Streams of tokens and
//! hundreds of open connections on a small instance rule that out, so the callers' listener
//! and the client for backend servers are built on hyper 1, the nearest kin that flushes each chunk and
//! serves all connections from a few threads. Each thread runs a current-thread runtime, which keeps
//! the style of a thread for each duty. The operators' console, without streams, stays on rouille.
//!
//! # Modules
//!
//! - [`listener`]: accepts connections, reads whole and bounded requests, writes answers and streams.
//! - [`upstream`]: sends requests to backend servers and says truthfully whether one may have arrived.
//! - [`sse`]: Server-Sent Events.
//! - [`depth`]: bounds the nesting of JSON before it is parsed.
//! - [`refusal`]: the JSON form of a refusal.

pub mod depth;
pub mod listener;
pub mod refusal;
pub mod sse;
pub mod upstream;

/// The names that users of this crate usually need.
pub mod prelude {
    pub use crate::listener::{Handler, Listener, Reply, Request, Sink};
    pub use crate::refusal::refusal_response;
    pub use crate::upstream::{Client, Exchange, Target, Timeouts};
}
