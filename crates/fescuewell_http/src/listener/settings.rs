//! Bounds and addresses of a listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Certificate and key of a listener that speaks TLS.
#[derive(Clone, PartialEq, Eq)]
pub struct Tls {
    /// Certificate chain, PEM.
    pub certificate: Arc<[u8]>,
    /// Private key, PEM.
    pub key: Arc<[u8]>,
}

impl std::fmt::Debug for Tls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The key must not reach a log through a printed settings value.
        f.write_str("Tls { .. }")
    }
}

/// Where to listen and within which bounds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on; port 0 lets the operating system choose.
    pub address: SocketAddr,
    /// Start of the threads' names.
    pub name: Arc<str>,
    /// Most connections open at once; one more gets a refusal and is closed.
    pub max_connections: usize,
    /// How long a connection may wait between requests.
    pub idle_timeout: Duration,
    /// Time for the whole head of a request, from its first byte (or from the start of the connection).
    pub header_timeout: Duration,
    /// Time for the whole body.
    pub body_timeout: Duration,
    /// Largest head, in bytes; at least 8,192.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Most bytes of bodies whose answers have not begun, over all connections.
    pub max_buffered_bytes: usize,
    /// How long the caller may take nothing of an answer that is ready to be sent.
    pub write_stall_timeout: Duration,
    /// TLS, or plain HTTP.
    pub tls: Option<Tls>,
    /// Threads that serve connections; at least 1. One carries 500 proxied streams of 22 tokens a second with a
    /// third of a core; two keep a first token from waiting behind the tokens of all other streams when
    /// those come at the same moment (`examples/streams.rs` measures both).
    pub threads: usize,
}

impl Settings {
    /// Plain HTTP on `address` with bounds that suit a small instance.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            name: "http".into(),
            max_connections: 4_096,
            idle_timeout: Duration::from_secs(75),
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            max_buffered_bytes: 64 * 1024 * 1024,
            write_stall_timeout: Duration::from_secs(30),
            tls: None,
            threads: 1,
        }
    }

    /// Sets the start of the threads' names.
    pub fn with_name(mut self, name: impl Into<Arc<str>>) -> Self {
        self.name = name.into();
        self
    }

    /// Sets the number of threads.
    pub fn with_threads(mut self, threads: usize) -> Self {
        self.threads = threads;
        self
    }

    /// Sets the most connections open at once.
    pub fn with_max_connections(mut self, connections: usize) -> Self {
        self.max_connections = connections;
        self
    }

    /// Switches to TLS.
    pub fn with_tls(mut self, tls: Tls) -> Self {
        self.tls = Some(tls);
        self
    }
}
