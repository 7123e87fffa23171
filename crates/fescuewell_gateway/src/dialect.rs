//! How callers and backend servers name things: header names, paths and small bodies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName};

/// Names of headers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender will wait.
    pub deadline: HeaderName,
    /// Account key.
    pub account_key: HeaderName,
    /// Name of the client account, for the backend server.
    pub account: HeaderName,
    /// Incarnation of the backend server that is meant.
    pub expected_server: HeaderName,
    /// Rank in the backend server's queue, from 0 to 9.
    pub urgency: HeaderName,
    /// Mark of a backend server's own answer.
    pub seal: HeaderName,
    /// Says that the backend server did not run the request.
    pub not_executed: HeaderName,
    /// Last event that the caller has.
    pub last_event_id: HeaderName,
    /// Headers that only the system may set.
    pub reserved: Vec<HeaderName>,
}

/// Tokens of a request as the caller declares them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub max_output: u64,
}

/// A part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Its identity.
    pub id: Arc<str>,
    /// Its tokens.
    pub tokens: u64,
}

/// What a request's headers say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identity of the attempt.
    pub request_id: Option<Arc<str>>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// Account key.
    pub account_key: Option<Arc<str>>,
    /// Declared tokens.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt, in order; the last one is the request's own.
    pub prompt_parts: Vec<PromptPart>,
    /// Number of the last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// The platform's manner of speaking to callers and backend servers.
pub trait Dialect: Send + Sync {
    /// Names of headers.
    fn header_names(&self) -> &HeaderNames;

    /// Reads a request's headers.
    fn metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Path at which callers ask for addresses.
    fn directory_path(&self) -> &str;

    /// Path at which readiness is asked for.
    fn ready_path(&self) -> &str;

    /// Body that names addresses.
    fn addresses_body(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Type of that body.
    fn addresses_content_type(&self) -> &str;
}
