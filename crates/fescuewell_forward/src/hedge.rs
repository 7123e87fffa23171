//! Whether a second backend server is asked while the first one is silent.
//!
//! Silence does not show that a server has failed: it may be paused, overloaded, or behind a path that holds
//! bytes back, and go on a moment later. An attempt whose server is silent therefore stays open, and a second
//! server is asked beside it. Whichever delivers first is used, and the other one is cancelled.
//!
//! If most servers that work for this instance are silent at the same time, asking another one would only add
//! load and use up the retry budget, so the attempt waits. [`Monitor`] shows which servers were heard lately.
//!
//! ```
//! use fescuewell_forward::hedge::Monitor;
//! let (service, server) = ("pool".into(), "i-1".into());
//! let mut monitor = Monitor::default();
//! let activity = monitor.begin(&service, &server, 1_000);
//! assert!(monitor.is_quiet(&server, 500, 1_500));
//! activity.record(1_400);
//! assert!(!monitor.is_quiet(&server, 500, 1_500));
//! ```

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of attempts of one request that may be open at a time.
pub const MAX_OPEN: usize = 2;
/// Number of quiet servers from which the others of the service may be quiet for the same reason.
const MIN_QUIET_SERVERS: usize = 2;

/// Why no second server is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// The request may run only once.
    NotIdempotent,
    /// A second server has been asked already.
    Asked,
    /// The request may not be sent once more.
    LastAttempt,
    /// The time for another attempt has passed.
    Deadline,
    /// Servers may have crashed under the request.
    Suspect,
    /// No other server accepts the request now.
    NoServer,
    /// The servers that accept it are silent as well.
    Quiet,
    /// The retry budget is used up.
    NoRetry,
}

impl Obstacle {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotIdempotent => "not_idempotent",
            Self::Asked => "asked",
            Self::LastAttempt => "last_attempt",
            Self::Deadline => "deadline",
            Self::Suspect => "suspect",
            Self::NoServer => "no_server",
            Self::Quiet => "quiet",
            Self::NoRetry => "no_retry",
        }
    }
}

/// When a server was last heard.
#[derive(Debug)]
pub struct Activity {
    /// When the server got a request after it had none.
    busy_since_ms: u64,
    /// 0 if nothing was heard since then.
    heard_ms: AtomicU64,
}

/// What is known of a server that works on requests of this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    /// It has sent something within the window.
    Active,
    /// It has sent nothing yet, and its first request is more recent than the window.
    Unknown,
    /// It has sent nothing within the window.
    Quiet,
}

impl Activity {
    fn new(now_ms: u64) -> Self {
        Self {
            busy_since_ms: now_ms,
            heard_ms: AtomicU64::new(0),
        }
    }

    /// Records at `now_ms` of the local clock that the server has sent something.
    pub fn record(&self, now_ms: u64) {
        self.heard_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    fn status(&self, window_ms: u64, now_ms: u64) -> Status {
        let heard_ms = self.heard_ms.load(Ordering::Relaxed);
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < window_ms;
        if heard_ms > 0 && is_recent(heard_ms) {
            return Status::Active;
        }
        match heard_ms == 0 && is_recent(self.busy_since_ms) {
            true => Status::Unknown,
            false => Status::Quiet,
        }
    }
}

/// A server that works on requests of this instance.
#[derive(Debug)]
struct Busy {
    service: Arc<str>,
    activity: Arc<Activity>,
    in_flight: u32,
}

/// When the servers that work on requests of this instance were last heard. Holds an entry for each of them.
#[derive(Debug, Default)]
pub struct Monitor {
    servers: HashMap<Arc<str>, Busy>,
}

impl Monitor {
    /// Records that a server gets a request at `now_ms` of the local clock.
    pub fn begin(&mut self, service: &Arc<str>, server: &Arc<str>, now_ms: u64) -> Arc<Activity> {
        let busy = self.servers.entry(server.clone()).or_insert_with(|| Busy {
            service: service.clone(),
            activity: Arc::new(Activity::new(now_ms)),
            in_flight: 0,
        });
        busy.in_flight += 1;
        busy.activity.clone()
    }

    /// Records the end of a request.
    pub fn end(&mut self, server: &str) {
        let Some(busy) = self.servers.get_mut(server) else {
            return;
        };
        busy.in_flight -= 1;
        if busy.in_flight == 0 {
            self.servers.remove(server);
        }
    }

    /// Returns `true` if a server works on requests of this instance and has sent nothing for `window_ms`.
    pub fn is_quiet(&self, server: &str, window_ms: u64, now_ms: u64) -> bool {
        self.status(server, window_ms, now_ms) == Status::Quiet
    }

    /// Returns which servers of a service may be asked instead of a silent one: those that are heard, and those
    /// of which nothing is known if most others are heard.
    pub fn candidates<'a>(
        &'a self,
        service: &str,
        window_ms: u64,
        now_ms: u64,
    ) -> impl Fn(&str) -> bool + 'a {
        let is_quiet = self.is_service_quiet(service, window_ms, now_ms);
        move |server| match self.status(server, window_ms, now_ms) {
            Status::Active => true,
            Status::Unknown => !is_quiet,
            Status::Quiet => false,
        }
    }

    /// Returns `true` if most servers of a service of which something is known are quiet, and more than one.
    pub fn is_service_quiet(&self, service: &str, window_ms: u64, now_ms: u64) -> bool {
        let (quiet, heard) = self.count(service, window_ms, now_ms);
        quiet >= MIN_QUIET_SERVERS && quiet > heard
    }

    /// Returns `true` if most servers of a service of which something is known are quiet, be it the only one.
    pub fn is_mostly_quiet(&self, service: &str, window_ms: u64, now_ms: u64) -> bool {
        let (quiet, heard) = self.count(service, window_ms, now_ms);
        quiet > heard
    }

    /// Counts the servers of a service that are quiet, and those that were heard.
    fn count(&self, service: &str, window_ms: u64, now_ms: u64) -> (usize, usize) {
        let (mut quiet, mut heard) = (0, 0);
        for busy in self.servers.values() {
            if *busy.service != *service {
                continue;
            }
            match busy.activity.status(window_ms, now_ms) {
                Status::Quiet => quiet += 1,
                Status::Active => heard += 1,
                Status::Unknown => {}
            }
        }
        (quiet, heard)
    }

    fn status(&self, server: &str, window_ms: u64, now_ms: u64) -> Status {
        let busy = self.servers.get(server);
        busy.map_or(Status::Unknown, |busy| {
            busy.activity.status(window_ms, now_ms)
        })
    }

    /// Number of servers that are quiet.
    pub fn quiet(&self, window_ms: u64, now_ms: u64) -> usize {
        let busy = self.servers.values();
        busy.filter(|busy| busy.activity.status(window_ms, now_ms) == Status::Quiet)
            .count()
    }

    /// Number of servers that work on requests of this instance.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns `true` if no server works on a request of this instance.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
