//! Conditions that backend servers declare about themselves in the headers of their responses.
//!
//! A condition belongs to one incarnation of a server: a restart ends it.

pub mod limit;
pub mod rest;

use std::sync::Arc;
use std::time::Duration;

pub use limit::Rate;
use limit::{Limits, Moment};
use rest::Rests;

/// Value of a header.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Declared<Value> {
    /// The header is missing.
    #[default]
    Absent,
    /// The header has no valid value.
    Malformed,
    /// The header's value.
    Value(Value),
}

impl<Value> Declared<Value> {
    /// Returns the value, if it is present and valid.
    pub fn value(&self) -> Option<&Value> {
        match self {
            Self::Value(value) => Some(value),
            Self::Absent | Self::Malformed => None,
        }
    }
}

/// What a response declares about its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Request rate that the server accepts from all instances together.
    pub limit: Declared<Rate>,
    /// Whether the server is leaving.
    pub is_leaving: Declared<bool>,
    /// Time for which the server wants no requests from this instance.
    pub rest: Declared<Duration>,
}

/// Time until a server accepts a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wait {
    /// Time until it accepts one from this instance, in milliseconds.
    pub here_ms: u64,
    /// Time until it accepts one from any instance, in milliseconds, on average.
    pub anywhere_ms: u64,
}

/// Conditions of the backend servers, as known to one instance.
#[derive(Debug)]
pub struct Conditions {
    /// Request rates that servers accept from the whole fleet.
    pub limits: Limits,
    /// Times in which servers want no requests from this instance.
    pub rests: Rests,
}

impl Conditions {
    /// Creates the conditions known to an instance that has just started.
    pub fn new(instance: Arc<str>) -> Self {
        Self {
            limits: Limits::new(instance),
            rests: Rests::default(),
        }
    }

    /// Returns `true` if no server has declared a condition lately.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.rests.is_empty()
    }

    /// Returns the time until a server accepts a request, or `None` if it accepts one now.
    pub fn wait(&self, server: &str, now: Moment) -> Option<Wait> {
        let limit_ms = self.limits.wait_ms(server, now);
        let rest_ms = self.rests.wait_ms(server, now.local_ms);
        let here_ms = limit_ms.max(rest_ms);
        if here_ms == 0 {
            return None;
        }
        let anywhere_ms = self.limits.interval_ms(server).filter(|_| rest_ms == 0);
        Some(Wait {
            here_ms,
            anywhere_ms: anywhere_ms.unwrap_or(here_ms),
        })
    }

    /// Records that a request is sent to a server.
    pub fn record_send(&mut self, server: &str, now: Moment) {
        self.limits.record_send(server, now);
    }

    /// Drops conditions that have ended.
    pub fn expire(&mut self, now: Moment) {
        self.limits.shrink(now.store_ms);
        self.rests.expire(now.local_ms);
    }

    /// Forgets a server that has restarted or is gone.
    pub fn forget(&mut self, server: &str) {
        self.limits.forget(server);
        self.rests.forget(server);
    }
}
