//! Retry budget of the fleet, divided among the instances.
//!
//! Retries prolong an overload. Each instance may retry a fraction of its own requests plus its
//! share of a fixed allowance, so that the fleet stays within its budget without coordination.

use std::collections::HashMap;
use std::sync::Arc;

use crate::window::Window;

/// Limits of the fleet's budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Retries allowed per request of the window.
    pub ratio: f64,
    /// Additional retries allowed for the whole fleet.
    pub slack: f64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
}

/// Fraction of the budget that is used. The windows of instances are not aligned, and the requests
/// of a failed instance are not counted by those that take over its callers.
const USED_FRACTION: f64 = 0.6;

/// Requests and retries of a service.
#[derive(Debug)]
struct Counts {
    requests: Window,
    retries: Window,
}

/// Share of one instance in the fleet's budget.
#[derive(Debug)]
pub struct Budget {
    bounds: Bounds,
    counts: HashMap<Arc<str>, Counts>,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            counts: HashMap::new(),
        }
    }

    /// Counts a request to a service.
    pub fn request(&mut self, service: &Arc<str>, now_ms: u64) {
        self.counts(service).requests.add(now_ms, 1);
    }

    /// Takes one retry from the share of an instance among `instances`. Returns `false` if none is
    /// left.
    pub fn try_retry(&mut self, service: &Arc<str>, instances: usize, now_ms: u64) -> bool {
        let Bounds { ratio, slack, .. } = self.bounds;
        let counts = self.counts(service);
        let requests = counts.requests.sum(now_ms) as f64;
        let retries = counts.retries.sum(now_ms) as f64;
        let allowed = USED_FRACTION * (ratio * requests + slack / instances.max(1) as f64);
        if retries + 1.0 > allowed {
            return false;
        }
        counts.retries.add(now_ms, 1);
        true
    }

    fn counts(&mut self, service: &Arc<str>) -> &mut Counts {
        let span = self.bounds.window_ms;
        self.counts
            .entry(service.clone())
            .or_insert_with(|| Counts {
                requests: Window::new(span),
                retries: Window::new(span),
            })
    }
}
