//! Settings of the planner.

use std::sync::Arc;
use std::time::Duration;

fescuewell_core::data! {
    /// Settings of the planner.
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Maximum number of models on one engine.
        pub models_per_server: u32,
        /// Tokens per second of one model that one engine serves, from which the number of servers
        /// is computed.
        pub tokens_per_server: u64,
        /// A server is added when demand exceeds this share of the servers' capacity, in percent.
        pub raise_percent: u32,
        /// A server is removed when demand is below this share of the remaining servers' capacity,
        /// in percent.
        pub lower_percent: u32,
        /// Time for which demand must stay high before a server is added, in milliseconds.
        pub raise_after_ms: u32,
        /// Time for which demand must stay low before a server is removed, in milliseconds.
        pub lower_after_ms: u32,
        /// Maximum number of concurrent loads in the whole fleet, limited by the weight store.
        pub loads_at_once: u32,
        /// Minimum time between the starts of two loads, in milliseconds.
        pub stagger_ms: u32,
        /// Maximum number of pending orders.
        pub orders_at_once: u32,
        /// Settling time after which orders of an earlier leader no longer arrive, in milliseconds.
        /// It must exceed the time for which an adapter may retry one order.
        pub settle_ms: u32,
        /// Maximum time from the write of an order's row to the send of the order, in milliseconds.
        pub send_within_ms: u32,
        /// Time after which an order without an observed effect times out, in milliseconds.
        pub effect_ms: u32,
        /// The same timeout for a load, which takes longer.
        pub load_ms: u32,
        /// Maximum age of a server's observed state, in milliseconds.
        pub seen_life_ms: u32,
        /// Time without an observed state after which a server is replaced, in milliseconds.
        pub lost_after_ms: u32,
        /// Desired role of the engines.
        pub role: Arc<str>,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            models_per_server: 2,
            tokens_per_server: 2_000,
            raise_percent: 80,
            lower_percent: 50,
            raise_after_ms: 10_000,
            lower_after_ms: 300_000,
            loads_at_once: 2,
            stagger_ms: 5_000,
            orders_at_once: 16,
            settle_ms: 10_000,
            send_within_ms: 2_000,
            effect_ms: 10_000,
            load_ms: 600_000,
            seen_life_ms: 15_000,
            lost_after_ms: 60_000,
            role: "mixed".into(),
        }
    }
}

pub(crate) fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}
