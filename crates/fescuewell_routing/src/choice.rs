//! Questions to the router and its answers.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use snafu::Snafu;

/// A request that needs a backend server.
#[derive(Debug, Clone)]
pub struct Query<'a> {
    /// Model wanted; `None` for a call of a plain service.
    pub model: Option<Arc<str>>,
    /// Backend servers that the group may reach (for a service: those that run it).
    pub reach: &'a [ServerKey],
    /// Digests of the prompt's successive blocks, each covering the prompt from its start to the
    /// end of the block. They must be salted per group: two groups with the same prompt must not
    /// have the same digests, or timing through a shared cache tells one about the other.
    pub prefix: &'a [Digest],
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Whether the request may use the part of the concurrency kept for urgent work.
    pub urgent: bool,
    /// Backend servers that must not be chosen, such as those that failed an earlier attempt.
    pub exclude: &'a [ServerKey],
}

fescuewell_core::message! {
    /// A chosen backend server.
    pub struct Choice {
        /// Where to send the request.
        pub server: ServerKey,
        /// Why, for the log line.
        pub reason: Reason,
        /// Prompt blocks that the server's cache probably holds.
        pub expected_hit_blocks: u32,
        /// Prompt tokens that the server probably has to compute; to be passed to `started`.
        pub expected_tokens: u32,
    }

    /// What decided a choice.
    #[derive(Copy, Eq)]
    pub enum Basis {
        /// The server holds a part of the prompt and waiting for it costs less than that saves.
        PrefixHit,
        /// The server is one that all instances agree on for this prompt's first block.
        PrefixHome,
        /// The server has the least predicted wait among the candidates.
        LeastLoad,
        /// No other server could take the request.
        OnlyOne,
    }

    /// Why a backend server was chosen; its `Display` goes into the log line.
    #[derive(Copy)]
    pub struct Reason {
        /// What decided.
        pub basis: Basis,
        /// How many candidates were compared.
        pub compared: u16,
        /// Prompt blocks expected in the cache, out of [`Reason::blocks`].
        pub hit_blocks: u32,
        /// Prompt blocks of the request.
        pub blocks: u32,
        /// Requests expected to be on the server already, from all instances.
        pub outstanding: f32,
        /// Predicted time to the first token.
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

/// Why no backend server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum NoChoice {
    /// No backend server in reach has the model, nor may be ordered to load it.
    #[snafu(display("no backend server in reach serves the model"))]
    UnknownModel,
    /// Backend servers in reach may load the model, but none has it now.
    #[snafu(display("no backend server in reach has the model loaded"))]
    NotLoaded,
    /// Every backend server that could take it runs as much as it may.
    #[snafu(display("every backend server in reach is busy"))]
    AllBusy,
    /// Every backend server that could take it is ejected.
    #[snafu(display("every backend server in reach is ejected"))]
    AllEjected,
    /// Every backend server that could take it is leaving or excluded.
    #[snafu(display("every backend server in reach is leaving or excluded"))]
    NoneLeft,
}
