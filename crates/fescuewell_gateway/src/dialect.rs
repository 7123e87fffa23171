//! Interface to the platform's protocol: header names, paths and small bodies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuewell_forward::condition::{Declared, Report};
use http::{HeaderMap, HeaderName, StatusCode};

/// Header names of the platform.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt of a caller.
    pub request_id: HeaderName,
    /// Remaining time that the sender waits, in milliseconds.
    pub deadline: HeaderName,
    /// Key that authenticates a client account.
    pub account_key: HeaderName,
    /// Name of the client account, sent to the backend server.
    pub account: HeaderName,
    /// Id of the backend server that the request is meant for.
    pub expected_server: HeaderName,
    /// Priority in the backend server's queue, from 0 to 9.
    pub urgency: HeaderName,
    /// Present on responses that a backend server produced itself.
    pub seal: HeaderName,
    /// Present if the backend server did not execute the request.
    pub not_executed: HeaderName,
    /// Id of the last event that the caller received.
    pub last_event_id: HeaderName,
    /// Headers that only the system may set. They are removed from requests of callers.
    pub reserved: Vec<HeaderName>,
}

/// Token counts that a caller declares for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Prompt tokens.
    pub prompt: u64,
    /// Maximum number of output tokens.
    pub max_output: u64,
}

/// Part of a prompt, the unit in which backend servers cache prompts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part, equal in all prompts that share it.
    pub id: Arc<str>,
    /// Number of tokens.
    pub tokens: u64,
}

/// Metadata from a request's headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the attempt.
    pub request_id: Option<Arc<str>>,
    /// Time that the caller waits.
    pub timeout: Option<Duration>,
    /// Key of the client account.
    pub account_key: Option<Arc<str>>,
    /// Declared token counts.
    pub tokens: Option<TokenCounts>,
    /// Name of the model.
    pub model: Option<Arc<str>>,
    /// Parts of the prompt in order; the last one belongs to this request only.
    pub prompt_parts: Vec<PromptPart>,
    /// Id of the last event that the caller received.
    pub last_event_id: Declared<u64>,
    /// Id of the caller's attempt that received the first event of the stream that is resumed.
    pub resumes: Declared<Arc<str>>,
}

/// The platform's protocol towards callers and backend servers.
pub trait Dialect: Send + Sync {
    /// Returns the header names.
    fn header_names(&self) -> &HeaderNames;

    /// Extracts the metadata from a request's headers.
    fn metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Extracts what a backend server declares about itself in the head of a response.
    fn server_report(&self, status: StatusCode, headers: &HeaderMap) -> Report;

    /// Path of the address list for callers.
    fn directory_path(&self) -> &str;

    /// Path of the readiness check.
    fn ready_path(&self) -> &str;

    /// Encodes a list of addresses that callers may cache for `ttl`.
    fn addresses_body(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Content type of the address list.
    fn addresses_content_type(&self) -> &str;
}
