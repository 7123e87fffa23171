//! Settings of the routing decisions.

use std::time::Duration;

fescuewell_core::data! {
    /// What an operator may tune; the defaults suit fleets from ten to ten thousand servers.
    #[derive(Copy)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// How many backend servers are drawn at random for each choice.
        pub samples: u8,
        /// How many agreed homes of a prompt prefix are compared besides.
        pub homes: u8,
        /// How many known holders of a prompt prefix are compared besides.
        pub holders: u8,
        /// Added round-trip time of a server in another availability zone, in microseconds.
        pub zone_penalty_us: u32,
        /// Load reports older than this are ignored, in milliseconds.
        pub report_life_ms: u32,
        /// Prompt tokens per second that an engine computes, until it has been measured.
        pub prefill_tokens_per_second: u32,
        /// Delay that one running stream adds to a first token, as a number of prompt tokens.
        pub stream_tokens: u32,
        /// Weight of load reports in the estimate of what other instances have on a server, in
        /// percent; the rest is inferred from the own load.
        pub report_percent: u8,
        /// Prompt blocks remembered from this instance's own sends.
        pub history_blocks: u32,
        /// Prompt blocks remembered from cache events alone.
        pub hint_blocks: u32,
        /// Time after which an unconfirmed prefix counts half, in milliseconds.
        pub history_half_life_ms: u32,
        /// Part of a server's concurrency that only urgent requests may use, in percent.
        pub urgent_reserve_percent: u8,
        /// Pause after a server answered that it is busy, in milliseconds.
        pub busy_pause_ms: u32,
        /// Ejection and return.
        pub health: Health,
    }

    /// When a backend server is ejected and how it returns.
    #[derive(Copy)]
    #[serde(default, deny_unknown_fields)]
    pub struct Health {
        /// A server is slow when its time per token exceeds the median of its like by this factor, in percent.
        pub slow_percent: u32,
        /// Tokens that must have been seen before a server is judged by its speed.
        pub least_tokens: u32,
        /// A stream without a token for this long has stalled, in milliseconds.
        pub stall_ms: u32,
        /// A stream without its first token for this long has stalled, in milliseconds.
        pub first_token_ms: u32,
        /// Failures in a row, without a success between, that make a server suspect.
        pub failures: u32,
        /// How long a server stays suspect before it is ejected, in milliseconds.
        pub suspect_ms: u32,
        /// First pause of an ejected server, in milliseconds; doubles with each relapse.
        pub eject_ms: u32,
        /// Longest pause of an ejected server, in milliseconds.
        pub eject_most_ms: u32,
        /// Most servers of a model that may be ejected at once, in percent.
        pub share_percent: u32,
        /// Time over which a returned server comes back to its full share, in milliseconds.
        pub ramp_ms: u32,
        /// How long a probe is waited for before one ordinary request is tried, in milliseconds.
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

/// A setting in milliseconds as a duration.
pub(crate) fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}
