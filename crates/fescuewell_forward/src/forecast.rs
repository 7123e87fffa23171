//! When a backend server would send the first event of a request, and whether that is soon enough to send it there.
//!
//! The load that this answers: callers ask for more prompts than the engines read. Each prompt then waits behind those sent
//! before it, everything is late, callers give up and come back, and what they gave up has been read in vain. A request that
//! would wait too long is refused before anything is charged or sent, and told when its prompt could be read at once; what is sent is
//! answered in time.
//!
//! ```
//! use std::time::Duration;
//! use fescuewell_forward::forecast::Forecast;
//!
//! let mut forecast = Forecast::default();
//! let service = "pool".into();
//! // 50 tokens a millisecond: 100,000 of them take two seconds.
//! forecast.observe(&service, 50_000, 1_000.0, 0);
//! let target = Duration::from_millis(600);
//! assert!(forecast.come_back(&service, 100_000, target, 0).is_some());
//! assert!(forecast.come_back(&service, 20_000, target, 0).is_none());
//! ```

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Tokens ahead from which a first event tells how fast prompts are read: with fewer, other delays weigh more.
const LEAST_TOKENS: u64 = 10_000;
/// Weight of the newest observation against the older ones.
const NEWEST: f64 = 0.1;
/// Age from which an observation tells nothing any more, in milliseconds: a load of another kind is read at another speed.
const FRESH_MS: u64 = 5_000;
/// Times the target that a first event may be expected to take. What is expected a little late is worth the wait to its caller,
/// and the forecast is rough.
const MOST_WAIT: f64 = 2.0;

/// How fast the servers of a service get through prompts.
#[derive(Debug, Clone, Copy)]
struct Speed {
    tokens_each_ms: f64,
    at_ms: u64,
}

/// What first events have told of the services' speed.
#[derive(Debug, Default)]
pub struct Forecast {
    speeds: HashMap<Arc<str>, Speed>,
}

impl Forecast {
    /// A first event came `took_ms` after its request was sent to a server at which `tokens` were to be read, its own included.
    pub fn observe(&mut self, service: &Arc<str>, tokens: u64, took_ms: f64, now_ms: u64) {
        if tokens < LEAST_TOKENS || took_ms <= 0.0 {
            return;
        }
        let measured = tokens as f64 / took_ms;
        let known = self
            .speeds
            .get(service)
            .filter(|speed| now_ms < speed.at_ms + FRESH_MS);
        let tokens_each_ms = match known {
            Some(speed) => speed.tokens_each_ms * (1.0 - NEWEST) + measured * NEWEST,
            None => measured,
        };
        let speed = Speed {
            tokens_each_ms,
            at_ms: now_ms,
        };
        self.speeds.insert(service.clone(), speed);
    }

    /// Time until the first event of a request at a server at which so many tokens are to be read, its own included; nothing while
    /// that is not known.
    pub fn wait(&self, service: &str, tokens: u64, now_ms: u64) -> Option<Duration> {
        let speed = self.speeds.get(service)?;
        if now_ms >= speed.at_ms + FRESH_MS {
            return None;
        }
        let wait_ms = tokens as f64 / speed.tokens_each_ms;
        Some(Duration::from_secs_f64(wait_ms / 1_000.0))
    }

    /// When a caller should come back whose request would wait too long: once what is ahead of it has been read down to its
    /// target. Nothing where the request should be sent.
    pub fn come_back(
        &self,
        service: &str,
        tokens: u64,
        target: Duration,
        now_ms: u64,
    ) -> Option<Duration> {
        let wait = self.wait(service, tokens, now_ms)?;
        (wait > target.mul_f64(MOST_WAIT)).then(|| wait.saturating_sub(target))
    }
}
