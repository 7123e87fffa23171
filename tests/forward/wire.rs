//! What callers, backend servers and the platform's own checks write, as the tests send and read it.
//!
//! Written out here once more on purpose, not taken from the adapter: a name that the adapter has wrong must fail a test.

/// Identity of a caller's attempt.
pub const REQUEST_ID: &str = "X-Fescuewell-Request-Id";
/// Milliseconds that the caller waits.
pub const DEADLINE: &str = "X-Fescuewell-Deadline-Ms";
/// Key of a client account, from callers only.
pub const KEY: &str = "X-Fescuewell-Key";
/// Name of the client account, to backend servers only.
pub const ACCOUNT: &str = "X-Fescuewell-Tenant";
/// Incarnation of a backend server that alone may run the request.
pub const EXPECTED_SERVER: &str = "X-Fescuewell-Expect-Instance";
/// Tokens of the prompt and most tokens of the answer.
pub const TOKENS: &str = "X-Fescuewell-Token-Counts";
/// Model that is asked for.
pub const MODEL: &str = "X-Fescuewell-Model";
/// A backend server's mark on its answer.
pub const SEAL: &str = "X-Fescuewell-Response-Seal";
/// Memory that a backend server reserves.
pub const HOLD: &str = "X-Fescuewell-Hold";
/// Milliseconds for which a backend server keeps a prompt.
pub const KEEP: &str = "X-Fescuewell-Pin-Ms";
/// Where a backend server copies its memory to.
pub const COPY_TO: &str = "X-Fescuewell-Kv-Backup";
/// Where a backend server copies its memory from.
pub const COPY_FROM: &str = "Kv-From";

/// Question after readiness.
pub const READY_PATH: &str = "/-/readyz";

/// Question after addresses.
pub fn directory_path(host: &str) -> String {
    format!("/-/resolve?name={host}&region=r&zone=a")
}
