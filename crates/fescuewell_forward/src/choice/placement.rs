//! Choice of a server by predicted milliseconds, for services whose streams are sensitive to pauses.
//!
//! The cost of a server is the time to the request's first event there, the delay that its prefill
//! causes to the streams running there, and the capacity for processing a cached prefix again.

mod assignment;
mod recent;

use std::sync::Arc;

pub use assignment::{Assignment, Rank};
pub use recent::Recent;

use super::forecast::{Forecast, Sent, View};
use super::{Criteria, Load, RECOMPUTE_PERCENT, UNKNOWN_PERCENT, rendezvous_weight};
use crate::health::Health;
use crate::server::Entry;

/// Uncached tokens from which a prompt goes to a server of this instance first. Shorter ones take
/// little enough time for two of them to be at one server.
pub const LONG_PROMPT_TOKENS: u64 = 8_000;
/// Additional cost of a long prompt at a server of other instances, in percent of its prefill time,
/// at least and at most. Each instance has its own order of these servers, since all of them would
/// otherwise choose the one that was least loaded in the last reports.
const FOREIGN_PERCENT: std::ops::Range<u64> = 100..300;
/// Additional cost at a server for which this instance is the second assigned one; see above.
const SECOND_PERCENT: u64 = 50;
/// Additional cost at a server where another instance had a long prompt within the last second, so
/// that the streams there do not pause twice.
const RECENT_PERCENT: u64 = 200;
/// Costs are compared in steps of this many milliseconds. Smaller differences do not matter to
/// callers, and all instances would choose the same server by them.
const STEP_MS: f64 = 5.0;
/// Additional cost of a server without an idle connection, in milliseconds.
const CONNECT_MS: f64 = 5.0;

/// Cost of the health score of a server that just failed a request, in milliseconds; about the target
/// latency of a request, since it is sent a second time if it fails.
const PENALTY_MS: f64 = 500.0;

/// Share of the requests that exceed the forecast by [`View::slowness`].
const SLOW_SHARE: f64 = 0.1;

/// A request that is placed.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Shared prefix and random number.
    pub criteria: Criteria<'a>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Time that is left until the target latency, in milliseconds.
    pub target_ms: f64,
    /// Objective for the gap between two events of the streams, in milliseconds.
    pub target_gap_ms: f64,
}

/// What is known of the servers.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge<'a> {
    /// Load and cached prefixes.
    pub load: &'a Load,
    /// Outcomes of requests.
    pub health: &'a Health,
    /// Forecast of times.
    pub forecast: &'a Forecast,
    /// Long prompts of other instances.
    pub recent: &'a Recent,
}

/// The chosen server.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    /// The server.
    pub server: &'a Arc<Entry>,
    /// What the forecast is based on.
    pub sent: Sent,
    /// Forecast of the time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Whether that is later than the target.
    pub is_late: bool,
}

/// A candidate with its forecast.
#[derive(Debug)]
struct Estimate<'a> {
    server: &'a Arc<Entry>,
    /// Rendezvous weight for the prefix, or for a random number without one.
    weight: u64,
    sent: Sent,
    is_cached: bool,
    /// Speed factor of the server.
    factor: f64,
    first_event_ms: f64,
}

/// Picks one of the candidates by predicted milliseconds, or as [`super::pick`] does as long as too
/// little was learned of the service. Returns `None` without candidates.
pub fn pick<'a, Connected>(
    candidates: &[&'a Arc<Entry>],
    request: &Request<'_>,
    known: Knowledge<'_>,
    assignment: &mut Assignment,
    is_connected: Connected,
    now_ms: u64,
) -> Option<Choice<'a>>
where
    Connected: Fn(&Entry) -> bool,
{
    let view = known.forecast.view(request.service, now_ms);
    if !known.forecast.is_learned(request.service) {
        let Knowledge { load, health, .. } = known;
        let criteria = &request.criteria;
        let server = super::pick(candidates, criteria, load, health, is_connected, now_ms)?;
        let prefix = Prefix::new(request, load);
        return Some(choice(
            &estimate(server, request, &prefix, load, view),
            request,
        ));
    }
    let estimates = estimates(candidates, request, known, now_ms);
    let copies = Copies::new(&estimates, request);
    let mut lowest: Option<(u64, &Estimate<'a>)> = None;
    for estimate in &estimates {
        let mut cost_ms = own_ms(estimate, request, view) + delay_ms(estimate, request, view);
        // The rest only adds to the cost.
        if lowest.is_some_and(|(other_cost, _)| step(cost_ms) > other_cost) {
            continue;
        }
        if request.criteria.has_affinity() {
            cost_ms += view.prefill_ms(copies.surcharge(estimate, request));
        } else {
            cost_ms += known.health.penalty(&estimate.server.id) * PENALTY_MS;
            if !is_connected(estimate.server) {
                cost_ms += CONNECT_MS;
            }
        }
        if estimate.sent.own_tokens >= LONG_PROMPT_TOKENS {
            let mut percent = foreign_percent(assignment, &estimate.server.id);
            if known.recent.contains(&estimate.server.id, now_ms) {
                percent += RECENT_PERCENT;
            }
            let surcharge = estimate.sent.own_tokens * percent / 100;
            cost_ms += view.prefill_ms(surcharge.min(max_surcharge(request)));
        }
        let cost = step(cost_ms);
        let is_lower = lowest
            .is_none_or(|(other_cost, other)| (cost, other.weight) < (other_cost, estimate.weight));
        if is_lower {
            lowest = Some((cost, estimate));
        }
    }
    lowest.map(|(_, estimate)| choice(estimate, request))
}

/// Cost in steps of [`STEP_MS`].
fn step(cost_ms: f64) -> u64 {
    (cost_ms / STEP_MS) as u64
}

/// Where the request's prefix is cached.
#[derive(Debug)]
struct Copies {
    is_known: bool,
    /// Whether the first event would be late at every server that caches the prefix.
    is_late: bool,
    /// Highest rendezvous weight.
    first: u64,
}

impl Copies {
    fn new(estimates: &[Estimate<'_>], request: &Request<'_>) -> Self {
        let mut cached = estimates.iter().filter(|estimate| estimate.is_cached);
        Self {
            is_known: cached.clone().next().is_some(),
            is_late: cached.all(|estimate| estimate.first_event_ms > request.target_ms),
            first: estimates.iter().map(|e| e.weight).max().unwrap_or_default(),
        }
    }

    /// Tokens that processing the prefix at a server costs beyond those in the forecast.
    fn surcharge(&self, estimate: &Estimate<'_>, request: &Request<'_>) -> u64 {
        let is_in_time = estimate.first_event_ms <= request.target_ms;
        let percent = match self.is_known {
            true if estimate.is_cached => 0,
            // The caller needs another copy of the prefix.
            true if self.is_late && is_in_time => 0,
            // The forecast contains the first 100%.
            true => RECOMPUTE_PERCENT - 100,
            false if estimate.weight == self.first => 0,
            false => UNKNOWN_PERCENT,
        };
        request.criteria.shared_tokens * percent / 100
    }
}

/// Time to the request's own first event. All instances agree on where a prefix is cached only if
/// they do not count what each has observed of the servers' speed, so that a server that is slower
/// but in time is as good as the others.
fn own_ms(estimate: &Estimate<'_>, request: &Request<'_>, view: View<'_>) -> f64 {
    let is_in_time = estimate.first_event_ms <= request.target_ms;
    if request.criteria.has_affinity() && is_in_time {
        return view.usual_first_event_ms(estimate.sent);
    }
    estimate.first_event_ms
}

/// Maximum surcharge in tokens for a server of other instances: half of that for a server which is
/// not the first one for the prefix, so that all instances still choose the first one.
fn max_surcharge(request: &Request<'_>) -> u64 {
    match request.criteria.has_affinity() {
        true => request.criteria.shared_tokens * UNKNOWN_PERCENT / 100 / 2,
        false => u64::MAX,
    }
}

/// Additional cost of a long prompt at a server, in percent of its prefill time.
fn foreign_percent(assignment: &mut Assignment, server: &Arc<str>) -> u64 {
    match assignment.rank(server) {
        Rank::Assigned(0) => 0,
        Rank::Assigned(_) => SECOND_PERCENT,
        Rank::Foreign(random) => {
            let spread = FOREIGN_PERCENT.end - FOREIGN_PERCENT.start;
            FOREIGN_PERCENT.start + random % spread
        }
    }
}

/// Sum of the delays beyond the target gap that the prefill causes to the streams at a server.
fn delay_ms(estimate: &Estimate<'_>, request: &Request<'_>, view: View<'_>) -> f64 {
    let Sent {
        tokens_ahead,
        own_tokens,
        in_flight,
    } = estimate.sent;
    if in_flight == 0 {
        return 0.0;
    }
    let excess_ms = |tokens: u64| {
        let pause_ms = view.usual_pause_ms(tokens) * estimate.factor;
        let excess_ms = (pause_ms - request.target_gap_ms).max(0.0);
        // Servers also slow down without notice.
        let slow_excess_ms = (pause_ms * view.slowness() - request.target_gap_ms).max(0.0);
        excess_ms.max(slow_excess_ms * SLOW_SHARE)
    };
    let added_ms = excess_ms(tokens_ahead + own_tokens) - excess_ms(tokens_ahead);
    // Where the streams pause already, the prompt makes them pause again.
    f64::from(in_flight) * added_ms.max(excess_ms(own_tokens))
}

/// The request's shared prefix and the servers that cache it.
#[derive(Debug)]
struct Prefix<'a> {
    /// Key of the rendezvous order: the prefix, or a random number if it is too short.
    key: u64,
    servers: Vec<&'a Arc<str>>,
}

impl<'a> Prefix<'a> {
    fn new(request: &Request<'_>, load: &'a Load) -> Self {
        let criteria = &request.criteria;
        let prefix = criteria.affinity.map(super::hash).into_iter();
        Self {
            key: criteria.affinity_hash().unwrap_or(criteria.random),
            servers: prefix
                .flat_map(|prefix| load.servers_caching(prefix))
                .collect(),
        }
    }
}

fn estimates<'a>(
    candidates: &[&'a Arc<Entry>],
    request: &Request<'_>,
    known: Knowledge<'_>,
    now_ms: u64,
) -> Vec<Estimate<'a>> {
    let view = known.forecast.view(request.service, now_ms);
    let prefix = Prefix::new(request, known.load);
    let all = |is_selected: &dyn Fn(&Entry) -> bool| {
        let selected = candidates.iter().filter(|entry| is_selected(entry));
        let estimates = selected.map(|entry| estimate(entry, request, &prefix, known.load, view));
        estimates.collect::<Vec<_>>()
    };
    let healthy = all(&|entry| !known.health.is_ejected(&entry.id, now_ms));
    // If all servers are ejected, the cause is more likely elsewhere than in every server.
    if healthy.is_empty() {
        all(&|_| true)
    } else {
        healthy
    }
}

fn estimate<'a>(
    server: &'a Arc<Entry>,
    request: &Request<'_>,
    prefix: &Prefix<'_>,
    load: &Load,
    view: View<'_>,
) -> Estimate<'a> {
    let is_cached = prefix.servers.contains(&&server.id);
    let own_tokens = match is_cached {
        true => {
            let shared = request.criteria.shared_tokens;
            request.prompt_tokens.saturating_sub(shared)
        }
        false => request.prompt_tokens,
    };
    let in_flight = load.in_flight(&server.id);
    let sent = Sent {
        tokens_ahead: load.pending_prefill(&server.id),
        own_tokens,
        in_flight,
    };
    let factor = view.factor(&server.id);
    let mut first_event_ms = view.usual_first_event_ms(sent) * factor;
    if in_flight >= server.slots {
        // The request waits for the end of a stream, which takes longer than callers accept.
        first_event_ms += request.target_ms;
    }
    Estimate {
        server,
        weight: rendezvous_weight(prefix.key, &server.id),
        sent,
        is_cached,
        factor,
        first_event_ms,
    }
}

fn choice<'a>(estimate: &Estimate<'a>, request: &Request<'_>) -> Choice<'a> {
    Choice {
        server: estimate.server,
        sent: estimate.sent,
        first_event_ms: estimate.first_event_ms,
        is_late: estimate.first_event_ms > request.target_ms,
    }
}
