//! Settings of the router.

use std::time::Duration;

fescuewell_core::data! {
    /// Settings of the router. The defaults suit fleets from ten to ten thousand servers.
    #[derive(Copy)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Number of backend servers sampled at random for each choice.
        pub samples: u8,
        /// Number of home servers of a prompt prefix on the hash ring that are compared as well.
        pub homes: u8,
        /// Maximum number of servers known to cache a prompt prefix that are compared as well.
        pub holders: u8,
        /// Additional round-trip time of a server in another availability zone, in microseconds.
        pub zone_penalty_us: u32,
        /// Load reports older than this are ignored, in milliseconds.
        pub report_life_ms: u32,
        /// Initial estimate of the prompt tokens per second that an engine computes.
        pub prefill_tokens_per_second: u32,
        /// Delay of a first token by one running stream, as a number of prompt tokens.
        pub stream_tokens: u32,
        /// Weight of load reports in the estimated load by other instances, in percent; the rest is
        /// inferred from this instance's load.
        pub report_percent: u8,
        /// Maximum number of indexed prompt blocks from this instance's requests.
        pub history_blocks: u32,
        /// Maximum number of indexed prompt blocks that are known from cache events alone.
        pub hint_blocks: u32,
        /// Half-life of the confidence in an unconfirmed prefix, in milliseconds.
        pub history_half_life_ms: u32,
        /// Share of a server's concurrency reserved for urgent requests, in percent.
        pub urgent_reserve_percent: u8,
        /// Pause after a server rejected a request as busy, in milliseconds.
        pub busy_pause_ms: u32,
        /// Ejection of servers and their return.
        pub health: Health,
    }

    /// Settings of outlier ejection and slow start.
    #[derive(Copy)]
    #[serde(default, deny_unknown_fields)]
    pub struct Health {
        /// Time per token from which a server counts as slow, in percent of the median of the
        /// servers with the same models.
        pub slow_percent: u32,
        /// Minimum number of measured tokens before a server's speed is evaluated.
        pub least_tokens: u32,
        /// Time without a token after which a stream counts as stalled, in milliseconds.
        pub stall_ms: u32,
        /// Time without a first token after which a stream counts as stalled, in milliseconds.
        pub first_token_ms: u32,
        /// Consecutive failures that make a server suspect.
        pub failures: u32,
        /// Time for which a server stays suspect before it is ejected, in milliseconds.
        pub suspect_ms: u32,
        /// Initial ejection time, in milliseconds; doubles with each further ejection.
        pub eject_ms: u32,
        /// Maximum ejection time, in milliseconds.
        pub eject_most_ms: u32,
        /// Maximum share of a model's servers that may be ejected at once, in percent.
        pub share_percent: u32,
        /// Time over which a returned server ramps up to its full load, in milliseconds.
        pub ramp_ms: u32,
        /// Time to wait for a probe before one regular request is let through, in milliseconds.
        pub probe_ms: u32,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            samples: 3,
            homes: 2,
            holders: 16,
            zone_penalty_us: 1_000,
            report_life_ms: 5_000,
            prefill_tokens_per_second: 8_000,
            stream_tokens: 20,
            report_percent: 50,
            history_blocks: 32_768,
            hint_blocks: 32_768,
            history_half_life_ms: 60_000,
            urgent_reserve_percent: 10,
            busy_pause_ms: 200,
            health: Health::default(),
        }
    }
}

impl Default for Health {
    fn default() -> Self {
        Self {
            slow_percent: 300,
            least_tokens: 40,
            stall_ms: 3_000,
            first_token_ms: 20_000,
            failures: 3,
            suspect_ms: 1_000,
            eject_ms: 10_000,
            eject_most_ms: 300_000,
            share_percent: 20,
            ramp_ms: 20_000,
            probe_ms: 3_000,
        }
    }
}

/// Converts a setting in milliseconds to a duration.
pub(crate) fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}
