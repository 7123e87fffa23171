//! Header names and paths of the platform, as callers, backend servers and health checks use them.
//!
//! They are not taken from the adapter on purpose, so that a wrong name in the adapter fails a
//! test.

/// Id of one attempt of a caller.
pub const REQUEST_ID: &str = "X-Fescuewell-Request-Id";
/// Time that the caller waits, in milliseconds.
pub const DEADLINE: &str = "X-Fescuewell-Deadline-Ms";
/// Key of the client account; sent by callers only.
pub const KEY: &str = "X-Fescuewell-Key";
/// Name of the client account; sent to backend servers only.
pub const ACCOUNT: &str = "X-Fescuewell-Tenant";
/// Id of the only backend server that may run the request.
pub const EXPECTED_SERVER: &str = "X-Fescuewell-Expect-Instance";
/// Prompt tokens and maximum output tokens.
pub const TOKENS: &str = "X-Fescuewell-Token-Counts";
/// Parts of the prompt, in order.
pub const PARTS: &str = "X-Fescuewell-Prompt-Prefix";
/// Requested model.
pub const MODEL: &str = "X-Fescuewell-Model";
/// Id of the caller's attempt that brought the first event of the stream that it takes up.
pub const RESUMES: &str = "Resumes";
/// Id of the last event that the caller has.
pub const LAST_EVENT_ID: &str = "Last-Event-Id";
/// Identifies the backend server and the request that a response belongs to.
pub const SEAL: &str = "X-Fescuewell-Response-Seal";
/// Memory reservation on a backend server.
pub const HOLD: &str = "X-Fescuewell-Hold";
/// Time for which a backend server keeps a prompt, in milliseconds.
pub const KEEP: &str = "X-Fescuewell-Pin-Ms";
/// Address to which a backend server copies its KV cache.
pub const COPY_TO: &str = "X-Fescuewell-Kv-Backup";
/// Address from which a backend server copies its KV cache.
pub const COPY_FROM: &str = "Kv-From";

/// Path of the store's long polls for changes.
pub const FEED_PATH: &str = "/-/rows-feed";
/// Path of the readiness check.
pub const READY_PATH: &str = "/-/readyz";

/// Path of an address lookup for a host.
pub fn directory_path(host: &str) -> String {
    format!("/-/resolve?name={host}&region=r&zone=a")
}
