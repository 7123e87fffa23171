//! Settings of a node.

use std::time::Duration;

/// Settings of all components of a node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of slots in the fleet. Must be the same on every instance and never change.
    pub slots: u16,
    /// Group allowances.
    pub budget: fescuewell_budget::policy::Settings,
    /// Slots that this instance holds.
    pub arbiter: fescuewell_claims::arbiter::Settings,
    /// Claims and bills of this instance's own requests.
    pub claims_client: fescuewell_claims::client::Settings,
    /// Admission queue.
    pub queue: fescuewell_queue::admission::Settings,
    /// Concurrency limits per backend server.
    pub limit: fescuewell_queue::limit::Settings,
    /// Selection of backend servers.
    pub routing: fescuewell_routing::settings::Settings,
    /// Model placement, run by the holder of slot 0.
    pub placement: fescuewell_placement::settings::Settings,
    /// Heartbeats and membership reads.
    pub members: fescuewell_membership::settings::Settings,
    /// Retry budget.
    pub retry: fescuewell_queue::retry::BudgetSettings,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum number of concurrently open requests.
    pub max_requests: usize,
    /// How long a member must have been ready before slots are assigned to it.
    pub min_ready_time: Duration,
    /// Gossip between instances.
    pub gossip: fescuewell_membership::gossip::Settings,
    /// Document propagation.
    pub propagation: fescuewell_membership::propagate::Settings,
    /// Graceful shutdown.
    pub drain: fescuewell_membership::drain::Settings,
}

/// Enough slots for a few hundred thousand requests per second; with nine instances, each holds about
/// seven.
const SLOTS: u16 = 64;

/// Number of instances in the default fleet.
const DEFAULT_INSTANCES: u32 = 9;

impl Settings {
    /// Returns settings with rates for a fleet of `instances`.
    pub fn sized(instances: u32) -> Self {
        Self {
            slots: SLOTS,
            budget: Default::default(),
            arbiter: fescuewell_claims::arbiter::Settings {
                slots: SLOTS,
                commit_interval: Duration::from_millis(20),
                poll_interval: poll_interval(instances),
                ..Default::default()
            },
            claims_client: fescuewell_claims::client::Settings {
                slots: SLOTS,
                ..Default::default()
            },
            queue: Default::default(),
            limit: fescuewell_queue::limit::Settings {
                // `limits::ServerLimit` applies the reserve to this instance's share of a server instead.
                reserve_percent: 0,
                // Each of nine instances rounds its reserve up, which already adds a margin.
                reserve_deviations: 0.5,
                ..Default::default()
            },
            routing: Default::default(),
            placement: Default::default(),
            members: fescuewell_membership::settings::Settings::sized(instances),
            retry: Default::default(),
            max_attempts: 3,
            max_requests: 4_000,
            min_ready_time: Duration::from_secs(1),
            gossip: fescuewell_membership::gossip::Settings::sized(instances),
            propagation: fescuewell_membership::propagate::Settings::sized(instances),
            drain: Default::default(),
        }
    }
}

/// Table reads per second that the whole fleet may spend on polling for slots during their handover.
const MAX_FLEET_POLLS_PER_SECOND: f64 = 85.0;
/// Minimum poll interval of one instance, in seconds.
const MIN_POLL_SECS: f64 = 0.1;

// Requests to a slot wait during its handover, so a small fleet polls as often as the budget allows.
fn poll_interval(instances: u32) -> Duration {
    Duration::from_secs_f64((f64::from(instances) / MAX_FLEET_POLLS_PER_SECOND).max(MIN_POLL_SECS))
}

impl Default for Settings {
    fn default() -> Self {
        Self::sized(DEFAULT_INSTANCES)
    }
}
