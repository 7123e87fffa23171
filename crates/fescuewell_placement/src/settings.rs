//! Settings of the placement decisions.

use std::sync::Arc;
use std::time::Duration;

fescuewell_core::data! {
    /// What an operator may tune.
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Models that one engine has room for.
        pub models_per_server: u32,
        /// Tokens per second that one engine serves of one model; needs are counted in these.
        pub tokens_per_server: u64,
        /// The need rises when demand exceeds this part of what its servers carry, in percent.
        pub raise_percent: u32,
        /// The need falls when demand would leave its remaining servers below this part, in percent.
        pub lower_percent: u32,
        /// How long demand must stay high before the need rises, in milliseconds.
        pub raise_after_ms: u32,
        /// How long demand must stay low before the need falls, in milliseconds.
        pub lower_after_ms: u32,
        /// Loads under way at once in the whole fleet, as the weight store allows.
        pub loads_at_once: u32,
        /// Time between the starts of two loads, in milliseconds.
        pub stagger_ms: u32,
        /// Orders under way at once.
        pub orders_at_once: u32,
        /// Time in which orders of an earlier holder die out, in milliseconds. It must exceed the time
        /// for which an adapter may go on sending one order.
        pub settle_ms: u32,
        /// Time from the write of an order's row to the order's send at most, in milliseconds.
        pub send_within_ms: u32,
        /// Time after which an order that shows no effect is given up, in milliseconds.
        pub effect_ms: u32,
        /// The same for a load, which takes longer.
        pub load_ms: u32,
        /// Read-backs older than this count no more, in milliseconds.
        pub seen_life_ms: u32,
        /// A server that was not read back for this long is replaced, in milliseconds.
        pub lost_after_ms: u32,
        /// The role that engines should have.
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
