//! An HTTP/1.1 listener with resource limits, a client for backend servers, and a decoder and encoder
//! for Server-Sent Events.
//!
//! # Why hyper
//!
//! The project's default HTTP server is rouille. Measurements of rouille (and `tiny_http` below it)
//! showed that it buffers small chunks of a streamed response until the response is complete, starts
//! one thread per connection, and has neither a connection limit nor a timeout for the request head.
//! That rules it out for token streams and hundreds of open connections on a small instance, so the
//! listener for callers and the client for backend servers use hyper 1, the closest alternative that
//! flushes each chunk and serves all connections from a few threads. Each thread runs a current-thread
//! runtime, in line with the project's model of one thread per task. The operators' console does not
//! stream and uses rouille.
//!
//! # Modules
//!
//! - [`listener`]: accepts connections, reads complete requests within limits, writes responses and
//!   streams.
//! - [`upstream`]: sends requests to backend servers and reports whether a failed request may have
//!   been received.
//! - [`buffer`]: limits the memory that received responses take together.
//! - [`sse`]: Server-Sent Events.
//! - [`depth`]: limits the nesting of JSON before it is parsed.
//! - [`refusal`]: converts a refusal to an HTTP response.

mod allocator;

pub mod buffer;
pub mod depth;
pub mod listener;
pub mod refusal;
pub mod sse;
pub mod upstream;

/// The most commonly used types of this crate.
pub mod prelude {
    pub use crate::listener::{Handler, Listener, Reply, Request, Sink};
    pub use crate::refusal::refusal_response;
    pub use crate::upstream::{Client, Exchange, Target, Timeouts};
}
