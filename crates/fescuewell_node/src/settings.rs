//! Settings of one entry instance's decisions.

use std::time::Duration;

/// Everything that the machines of one instance are set up with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of slots of the whole fleet; the same on every instance, for good.
    pub slots: u16,
    /// Allowances.
    pub budget: fescuewell_budget::policy::Settings,
    /// Slots held here.
    pub arbiter: fescuewell_claims::arbiter::Settings,
    /// Claims and bills of this instance's own requests.
    pub claims_client: fescuewell_claims::client::Settings,
    /// The queue.
    pub queue: fescuewell_queue::admission::Settings,
    /// What this instance keeps running on each backend server.
    pub limit: fescuewell_queue::limit::Settings,
    /// Choice of backend servers.
    pub routing: fescuewell_routing::settings::Settings,
    /// Placement of models, by the holder of slot 0.
    pub placement: fescuewell_placement::settings::Settings,
    /// Heartbeats and readings.
    pub members: fescuewell_membership::settings::Settings,
    /// Retries after an attempt that did not run.
    pub retry: fescuewell_queue::retry::BudgetSettings,
    /// Most attempts at one request.
    pub max_attempts: u32,
    /// Most requests that this instance has a part in at once.
    pub max_requests: usize,
    /// How long a member must have been ready before slots are given to it.
    pub min_ready_time: Duration,
    /// Gossip among instances.
    pub gossip: fescuewell_membership::gossip::Settings,
    /// How documents spread.
    pub propagation: fescuewell_membership::propagate::Settings,
    /// How the instance shuts down.
    pub drain: fescuewell_membership::drain::Settings,
}

/// Slots of a fleet of any size up to a few hundred thousand requests a second; at nine instances
/// each holds about seven of them.
const SLOTS: u16 = 64;

/// Instances of a fleet of today's size.
const FLEET: u32 = 9;

impl Settings {
    /// Settings whose rates suit a fleet of `instances`.
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
                // The reserve is kept of this instance's part of a server, not of the whole.
                reserve_percent: 0,
                // With nine instances each rounds its reserve up, which is a margin by itself.
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

/// Table reads a second that the fleet may spend on looking for slots to take while they change hands.
const FLEET_POLLS: f64 = 85.0;
/// Shortest time between two looks of one instance.
const LEAST_POLL: f64 = 0.1;

// Requests of a slot that changes hands wait for its new holder, so that a small fleet looks often.
fn poll_interval(instances: u32) -> Duration {
    Duration::from_secs_f64((f64::from(instances) / FLEET_POLLS).max(LEAST_POLL))
}

impl Default for Settings {
    fn default() -> Self {
        Self::sized(FLEET)
    }
}
