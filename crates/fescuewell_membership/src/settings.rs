//! Settings of the membership, with defaults that follow from the size of the fleet.

use std::time::Duration;

fescuewell_core::data! {
    /// How often rows are written and read, and how long silence is borne.
    pub struct Settings {
        /// Time between two heartbeats of this instance, before jitter.
        pub beat_interval: Duration,
        /// Time between two readings of the watched rows (of all rows in a fleet of one page).
        pub read_interval: Duration,
        /// Time between two pages of the round through all member rows, in a fleet of several pages.
        pub page_interval: Duration,
        /// Rows in one page.
        #[serde(rename = "page")]
        pub page_size: u32,
        /// How many instances watch each member in a fleet of several pages.
        pub watchers: usize,
        /// A member whose heartbeat did not change for so long has lapsed.
        pub lease: Duration,
        /// Silence of both the table and the peers after which this instance takes no requests.
        pub isolation_limit: Duration,
        /// How many different peers must have answered for the peers not to count as silent.
        pub isolation_peers: usize,
        /// Longest lag of the platform's instance list that is believed possible.
        pub list_lag: Duration,
        /// Whether an address is never held by two machines at once, so that a process that has bound
        /// the addresses of an earlier incarnation proves that the earlier process has ended.
        pub exclusive_address: bool,
        /// Over how long the first table accesses of instances that start together are spread.
        pub start_spread: Duration,
    }
}

/// Fewest seconds between two heartbeats.
const LEAST_BEAT: f64 = 1.0;
/// Heartbeat writes a second that the whole fleet may make.
const FLEET_BEATS: f64 = 60.0;
/// Readings of watched rows a second that the whole fleet may make; each covers about three rows.
const FLEET_READS: f64 = 85.0;
/// Heartbeats that must be missed, with room for one slow write.
const LEASE_BEATS: f64 = 3.2;
/// Shortest lease in seconds.
const LEAST_LEASE: f64 = 5.0;
/// Instances up to which one page holds all rows.
const PAGE: u32 = 64;
/// Rows in a page of a larger fleet: with rows of about 250 bytes some 8 kB.
const LARGE_FLEET_PAGE: u32 = 32;
/// First accesses a second that the whole fleet may make when all of it starts at once.
const FLEET_STARTS: f64 = 85.0;

impl Settings {
    /// Settings that keep a fleet of `instances` within the table's limits: the rates of the whole
    /// fleet stay constant once it is large, and detection becomes slower instead.
    pub fn sized(instances: u32) -> Self {
        let count = f64::from(instances);
        let beat = (count / FLEET_BEATS).max(LEAST_BEAT);
        let read = (count / FLEET_READS).max(LEAST_BEAT);
        let lease = (beat * LEASE_BEATS).max(LEAST_LEASE);
        Self {
            beat_interval: Duration::from_secs_f64(beat),
            read_interval: Duration::from_secs_f64(read),
            page_interval: Duration::from_secs_f64(read),
            page_size: if instances < PAGE {
                PAGE
            } else {
                LARGE_FLEET_PAGE
            },
            watchers: 2,
            lease: Duration::from_secs_f64(lease),
            isolation_limit: Duration::from_secs(30),
            isolation_peers: 1,
            list_lag: Duration::from_secs(60),
            exclusive_address: false,
            start_spread: Duration::from_secs_f64(count / FLEET_STARTS),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::sized(9)
    }
}
