//! Forecast of a backend server's time to the first event of a stream, and of the pause that a
//! prompt causes to the streams running there, learned from this instance's requests.
//!
//! The time to the first event is modelled as a fixed time, a time for each prompt token ahead of
//! and in the request, and a time for each in-flight request. These are learned for a service. A
//! server that is slower than its service for a while has a factor, which expires.

mod fit;
mod gaps;

use std::collections::HashMap;
use std::sync::Arc;

use fit::{Fit, Sample};
pub use gaps::{Gaps, Summary};

/// What was known when a request was sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sent {
    /// Prompt tokens pending prefill at the server, without those of the request.
    pub tokens_ahead: u64,
    /// Tokens of the request's prompt that the server has to process.
    pub own_tokens: u64,
    /// In-flight requests at the server, without this one.
    pub in_flight: u32,
}

/// Age from which a server's factor is discarded, in milliseconds. Servers slow down for short
/// periods, and one that was avoided as slow is then tried again.
const FACTOR_TTL_MS: f64 = 3_000.0;
/// Weight of the newest time to the first event in a server's factor.
const FIRST_EVENT_WEIGHT: f64 = 0.4;
/// Weight of the newest gap in a server's factor; gaps are observed more often.
const GAP_WEIGHT: f64 = 0.2;
/// Bounds of a single observation's ratio to the forecast, so that a delay with another cause, such
/// as a lost packet, does not mark a server as many times slower.
const MIN_RATIO: f64 = 0.25;
const MAX_RATIO: f64 = 4.0;
/// Added to both times before their ratio is taken, in milliseconds. The first event of a short
/// prompt at an idle server varies by tens of milliseconds, which says little about its speed.
const FIRST_EVENT_TOLERANCE_MS: f64 = 50.0;
/// The same for gaps between events.
const GAP_TOLERANCE_MS: f64 = 10.0;
/// Time to the first event from which an observation is ignored, in milliseconds. It tells of a lost
/// response or a stopped server and not of its speed.
const MAX_FIRST_EVENT_MS: f64 = 10_000.0;
/// Relative step of the running median of a service's gaps.
const MEDIAN_STEP: f64 = 0.02;
/// Minimum ratio of a pause by a prefill to the stream's median gap.
const MIN_PAUSE_RATIO: f64 = 2.0;
/// Maximum number of services and of servers; all are forgotten when there are more.
const MAX_SERVICES: usize = 1_024;
const MAX_SERVERS: usize = 16_384;

/// What was learned of a service.
#[derive(Debug, Default)]
struct Service {
    fit: Fit,
    /// Running median of the gaps between events.
    gap_ms: Option<f64>,
}

/// Speed of a server relative to its service.
#[derive(Debug, Clone, Copy)]
struct Speed {
    /// Above 1 for a slow server.
    factor: f64,
    observed_at_ms: u64,
}

/// Forecast for the backend servers of all services.
#[derive(Debug, Default)]
pub struct Forecast {
    services: HashMap<Arc<str>, Service>,
    servers: HashMap<Arc<str>, Speed>,
}

/// Forecast for the servers of one service at one time.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    forecast: &'a Forecast,
    fit: &'a Fit,
    now_ms: u64,
}

impl Forecast {
    /// Records the time to the first event of a request.
    pub fn record_first_event(
        &mut self,
        service: &Arc<str>,
        server: &Arc<str>,
        sent: Sent,
        took_ms: f64,
        now_ms: u64,
    ) {
        if !(0.0..MAX_FIRST_EVENT_MS).contains(&took_ms) {
            return;
        }
        let predicted_ms = self.view(service, now_ms).usual_first_event_ms(sent);
        if self.is_learned(service) {
            let tolerance = FIRST_EVENT_TOLERANCE_MS;
            let ratio = (took_ms + tolerance) / (predicted_ms + tolerance);
            self.record_ratio(server, ratio, FIRST_EVENT_WEIGHT, now_ms);
        }
        self.service(service).fit.record(Sample { sent, took_ms });
    }

    /// Records gaps between events of a stream.
    pub fn record_gaps(
        &mut self,
        service: &Arc<str>,
        server: &Arc<str>,
        gaps: Summary,
        now_ms: u64,
    ) {
        let gap_ms = gaps.median_ms;
        let factor = self.factor(server, now_ms);
        let known = self.service(service);
        let median = *known.gap_ms.get_or_insert(gap_ms);
        let step = match gap_ms > median {
            true => 1.0 + MEDIAN_STEP,
            false => 1.0 - MEDIAN_STEP,
        };
        known.gap_ms = Some((median * step).max(1.0));
        // Shorter gaps tell of decode steps, and not of a pause.
        if gaps.longest_ms > gap_ms * MIN_PAUSE_RATIO {
            let pause_ms = gaps.longest_ms / factor;
            known.fit.record_pause(pause_ms, gaps.pending_tokens);
        }
        let ratio = (gap_ms + GAP_TOLERANCE_MS) / (median + GAP_TOLERANCE_MS);
        self.record_ratio(server, ratio, GAP_WEIGHT, now_ms);
    }

    /// Returns `true` if enough was observed of a service to place requests by the forecast.
    pub fn is_learned(&self, service: &str) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|service| service.fit.is_learned())
    }

    /// Returns the forecast for the servers of a service; a plain default before anything was
    /// observed.
    pub fn view(&self, service: &str, now_ms: u64) -> View<'_> {
        let known = self.services.get(service);
        View {
            forecast: self,
            fit: known.map_or(&fit::DEFAULT, |service| &service.fit),
            now_ms,
        }
    }

    /// Forgets a server that has restarted or is gone.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Forgets servers that are no longer listed.
    pub fn retain<Listed>(&mut self, listed: Listed)
    where
        Listed: Fn(&str) -> bool,
    {
        self.servers.retain(|id, _| listed(id));
    }

    /// Number of servers with a factor.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    fn service(&mut self, name: &Arc<str>) -> &mut Service {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(name) {
            self.services.clear();
        }
        self.services.entry(name.clone()).or_default()
    }

    fn factor(&self, server: &str, now_ms: u64) -> f64 {
        let Some(speed) = self.servers.get(server) else {
            return 1.0;
        };
        // The older the observation, the less it says.
        let age_ms = now_ms.saturating_sub(speed.observed_at_ms) as f64;
        let remaining = (1.0 - age_ms / FACTOR_TTL_MS).max(0.0);
        1.0 + (speed.factor - 1.0) * remaining
    }

    fn record_ratio(&mut self, server: &Arc<str>, ratio: f64, weight: f64, now_ms: u64) {
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(server) {
            self.servers.clear();
        }
        // A first observation is averaged with 1, so that it alone marks no server as slow.
        let known = self.factor(server, now_ms);
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        let speed = Speed {
            factor: known * (1.0 - weight) + ratio * weight,
            observed_at_ms: now_ms,
        };
        self.servers.insert(server.clone(), speed);
    }
}

impl View<'_> {
    /// Time to the first event of a request at a server, in milliseconds.
    pub fn first_event_ms(&self, server: &str, sent: Sent) -> f64 {
        self.usual_first_event_ms(sent) * self.factor(server)
    }

    /// The same at a server of usual speed.
    pub fn usual_first_event_ms(&self, sent: Sent) -> f64 {
        self.fit.first_event_ms(sent)
    }

    /// Longest gap that the prefill of `tokens` causes to the streams running at a server, in
    /// milliseconds.
    pub fn pause_ms(&self, server: &str, tokens: u64) -> f64 {
        self.usual_pause_ms(tokens) * self.factor(server)
    }

    /// The same at a server of usual speed.
    pub fn usual_pause_ms(&self, tokens: u64) -> f64 {
        self.fit.pause_ms(tokens)
    }

    /// Time by which a server exceeds its forecast in one case of ten, as a multiple.
    pub fn slowness(&self) -> f64 {
        self.fit.slowness()
    }

    /// Time in which a server of usual speed processes prompt tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        self.fit.prefill_ms(tokens)
    }

    /// Speed factor of a server; above 1 for a slow one.
    pub fn factor(&self, server: &str) -> f64 {
        self.forecast.factor(server, self.now_ms)
    }
}
