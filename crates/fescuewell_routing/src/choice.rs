//! Queries to the router and the choices that it returns.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use snafu::Snafu;

/// A request that needs a backend server.
#[derive(Debug, Clone)]
pub struct Query<'a> {
    /// Requested model; `None` for a call to a plain service.
    pub model: Option<Arc<str>>,
    /// Backend servers that the request's group may use; for a service, those that run it.
    pub reach: &'a [ServerKey],
    /// Digests of the prompt's consecutive blocks, each over the prompt from its start to the end
    /// of the block. They must be salted per group: with equal digests, response times through a
    /// shared cache would reveal to one group that another one sent the same prompt.
    pub prefix: &'a [Digest],
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Whether the request may use the concurrency reserved for urgent requests.
    pub urgent: bool,
    /// Backend servers that must not be chosen, such as those where an earlier attempt failed.
    pub exclude: &'a [ServerKey],
}

fescuewell_core::message! {
    /// A chosen backend server.
    pub struct Choice {
        /// Backend server to send the request to.
        pub server: ServerKey,
        /// Reason for the choice, for the log line.
        pub reason: Reason,
        /// Prompt blocks expected in the server's cache.
        pub expected_hit_blocks: u32,
        /// Prompt tokens that the server is expected to compute; to be passed to `Router::started`.
        pub expected_tokens: u32,
    }

    /// Rule that decided a choice.
    #[derive(Copy, Eq)]
    pub enum Basis {
        /// The server caches a part of the prompt, which saves more time than its queue costs.
        PrefixHit,
        /// The server is a home of the prompt's first block on the hash ring, which all instances
        /// compute alike.
        PrefixHome,
        /// The server has the lowest predicted time to first token of the candidates.
        LeastLoad,
        /// There was no other candidate.
        OnlyOne,
    }

    /// Reason for the choice of a backend server. Its `Display` output is part of the log line.
    #[derive(Copy)]
    pub struct Reason {
        /// Rule that decided.
        pub basis: Basis,
        /// Number of candidates compared.
        pub compared: u16,
        /// Prompt blocks expected in the cache, out of [`Reason::blocks`].
        pub hit_blocks: u32,
        /// Prompt blocks of the request.
        pub blocks: u32,
        /// Estimated requests in flight on the server, from all instances.
        pub outstanding: f32,
        /// Predicted time to first token.
        pub predicted: Duration,
    }
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::PrefixHit => "prefix-hit",
            Self::PrefixHome => "prefix-home",
            Self::LeastLoad => "least-load",
            Self::OnlyOne => "only-one",
        })
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "basis={} compared={} hit={}/{} outstanding={:.1} predicted_ms={:.1}",
            self.basis,
            self.compared,
            self.hit_blocks,
            self.blocks,
            self.outstanding,
            self.predicted.as_secs_f64() * 1e3
        )
    }
}

/// Reason why no backend server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum NoChoice {
    /// No reachable backend server has the model or may load it.
    #[snafu(display("no backend server in reach serves the model"))]
    UnknownModel,
    /// Some reachable backend servers may load the model, but none has it loaded.
    #[snafu(display("no backend server in reach has the model loaded"))]
    NotLoaded,
    /// Every eligible backend server is at its concurrency limit.
    #[snafu(display("every backend server in reach is busy"))]
    AllBusy,
    /// Every eligible backend server is ejected.
    #[snafu(display("every backend server in reach is ejected"))]
    AllEjected,
    /// Every eligible backend server is draining or excluded.
    #[snafu(display("every backend server in reach is leaving or excluded"))]
    NoneLeft,
}
