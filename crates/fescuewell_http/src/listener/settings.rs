//! Address, limits and TLS settings of a listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Memory;

/// Memory of a listener that shares none, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1024 * 1024;

/// Certificate and private key of a TLS listener.
#[derive(Clone, PartialEq, Eq)]
pub struct Tls {
    /// Certificate chain in PEM format.
    pub certificate: Arc<[u8]>,
    /// Private key in PEM format.
    pub key: Arc<[u8]>,
}

impl std::fmt::Debug for Tls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Omits the private key, so that logging the settings does not disclose it.
        f.write_str("Tls { .. }")
    }
}

/// Settings of a listener.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on; port 0 lets the operating system choose.
    pub address: SocketAddr,
    /// Prefix of the thread names.
    pub name: Arc<str>,
    /// Maximum number of open connections; further ones are sent a refusal and closed.
    pub max_connections: usize,
    /// Maximum idle time between two requests of a connection.
    pub idle_timeout: Duration,
    /// Timeout for receiving a complete request head, from its first byte (or from the start of the connection).
    pub header_timeout: Duration,
    /// Connections that have been unused for this long can be closed so that others are accepted.
    pub min_unused_time: Duration,
    /// Timeout for receiving a complete body.
    pub body_timeout: Duration,
    /// Maximum size of a request head in bytes; at least 8,192.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Copies of a body that a handler makes the process hold, with the received one; at least 1.
    pub body_copies: usize,
    /// Memory for all that connections hold; listeners of one process may share it.
    pub memory: Memory,
    /// Time in which a caller that does not keep up with its response must read 16 KiB of it, or all that is ready.
    pub write_stall_timeout: Duration,
    /// TLS settings; `None` for plain HTTP.
    pub tls: Option<Tls>,
    /// Number of serving threads; at least 1. One thread proxies 500 streams of 22 tokens per second with a third of
    /// a core. With two, a first token does not queue behind the tokens of all other streams when those are produced
    /// at the same time (`examples/streams.rs` measures both).
    pub threads: usize,
}

impl Settings {
    /// Creates settings for plain HTTP on `address`, with limits for a small instance.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            name: "http".into(),
            max_connections: 4_096,
            idle_timeout: Duration::from_secs(75),
            header_timeout: Duration::from_secs(10),
            min_unused_time: Duration::from_secs(1),
            body_timeout: Duration::from_secs(30),
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            body_copies: 1,
            memory: Memory::new(DEFAULT_MEMORY_BYTES),
            write_stall_timeout: Duration::from_secs(30),
            tls: None,
            threads: 1,
        }
    }

    /// Sets the prefix of the thread names.
    pub fn with_name(mut self, name: impl Into<Arc<str>>) -> Self {
        self.name = name.into();
        self
    }

    /// Sets the number of serving threads.
    pub fn with_threads(mut self, threads: usize) -> Self {
        self.threads = threads;
        self
    }

    /// Sets the maximum number of open connections.
    pub fn with_max_connections(mut self, connections: usize) -> Self {
        self.max_connections = connections;
        self
    }

    /// Sets the memory for all that connections hold.
    pub fn with_memory(mut self, memory: Memory) -> Self {
        self.memory = memory;
        self
    }

    /// Enables TLS.
    pub fn with_tls(mut self, tls: Tls) -> Self {
        self.tls = Some(tls);
        self
    }
}
