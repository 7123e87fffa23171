//! Limits on requests that change while a listener runs.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use super::Settings;

/// Limits on the requests of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a complete head, from its first byte.
    pub header_timeout: Duration,
    /// Maximum idle time between two requests.
    pub idle_timeout: Duration,
}

impl Limits {
    pub(super) fn of(settings: &Settings) -> Self {
        Self {
            head_bytes: settings.max_head_bytes,
            body_bytes: settings.max_body_bytes,
            header_timeout: settings.header_timeout,
            idle_timeout: settings.idle_timeout,
        }
    }

    /// Returns the lower of both limits each.
    fn min(self, other: Self) -> Self {
        Self {
            head_bytes: self.head_bytes.min(other.head_bytes),
            body_bytes: self.body_bytes.min(other.body_bytes),
            header_timeout: self.header_timeout.min(other.header_timeout),
            idle_timeout: self.idle_timeout.min(other.idle_timeout),
        }
    }
}

/// Sets the limits of a running listener. Clones set the same.
#[derive(Debug, Clone)]
pub struct LimitsHandle {
    most: Limits,
    current: Arc<RwLock<Limits>>,
}

impl LimitsHandle {
    pub(super) fn new(most: Limits) -> Self {
        Self {
            most,
            current: Arc::new(RwLock::new(most)),
        }
    }

    /// Sets the limits for the next requests of all connections; none exceeds that of the listener's settings.
    /// `None` restores these.
    pub fn set(&self, limits: Option<Limits>) {
        let limits = limits.map_or(self.most, |limits| limits.min(self.most));
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    /// Returns the limits in force.
    pub fn get(&self) -> Limits {
        *self.current.read().unwrap_or_else(PoisonError::into_inner)
    }
}
