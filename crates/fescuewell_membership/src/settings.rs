//! Settings of the membership, with defaults derived from the size of the fleet.

use std::time::Duration;

fescuewell_core::data! {
    /// How often rows are written and read, and how long silence is tolerated.
    pub struct Settings {
        /// Time between two heartbeats of this instance, before jitter.
        pub beat_interval: Duration,
        /// Time between two reads of the watched rows (of all rows in a fleet of one page), before
        /// jitter.
        pub read_interval: Duration,
        /// Time between two pages of the scan of all member rows, in a fleet of several pages.
        pub page_interval: Duration,
        /// Rows per page.
        #[serde(rename = "page")]
        pub page_size: u32,
        /// How many instances watch each member in a fleet of several pages.
        pub watchers: usize,
        /// Time without a new heartbeat after which a member has lapsed.
        pub lease: Duration,
        /// Silence of both the table and the peers after which this instance is isolated and
        /// refuses requests.
        pub isolation_limit: Duration,
        /// Number of distinct peers that must have responded for the peers not to count as silent.
        pub isolation_peers: usize,
        /// Maximum assumed lag of the platform's instance list.
        pub list_lag: Duration,
        /// Whether no two machines ever hold the same address at once, so that a process that has
        /// bound the addresses of an earlier incarnation proves that the earlier process has ended.
        pub exclusive_address: bool,
        /// Time over which the first table accesses of instances that start together are spread.
        pub start_spread: Duration,
    }
}

/// Minimum time between two heartbeats, and between two reads.
const MIN_INTERVAL_S: f64 = 1.0;
/// Maximum heartbeat writes per second of the whole fleet.
const FLEET_BEATS_PER_S: f64 = 60.0;
/// Maximum reads of watched rows per second of the whole fleet; each covers about three rows.
const FLEET_READS_PER_S: f64 = 85.0;
/// Heartbeat intervals in a lease: a member lapses after missing that many, with room for one slow
/// write.
const LEASE_BEATS: f64 = 3.2;
/// Minimum lease.
const MIN_LEASE_S: f64 = 5.0;
/// Rows per page of a small fleet, and the fleet size below which one page holds all rows.
const PAGE_ROWS: u32 = 64;
/// Rows per page of a larger fleet: about 8 kB, with rows of about 250 bytes.
const LARGE_FLEET_PAGE_ROWS: u32 = 32;
/// Maximum first accesses per second of the whole fleet when all of it starts at once.
const FLEET_STARTS_PER_S: f64 = 85.0;

impl Settings {
    /// Settings that keep a fleet of `instances` within the table's limits: the request rates of a
    /// large fleet stay constant, and detection becomes slower instead.
    pub fn sized(instances: u32) -> Self {
        let count = f64::from(instances);
        let beat = (count / FLEET_BEATS_PER_S).max(MIN_INTERVAL_S);
        let read = (count / FLEET_READS_PER_S).max(MIN_INTERVAL_S);
        let lease = (beat * LEASE_BEATS).max(MIN_LEASE_S);
        Self {
            beat_interval: Duration::from_secs_f64(beat),
            read_interval: Duration::from_secs_f64(read),
            page_interval: Duration::from_secs_f64(read),
            page_size: if instances < PAGE_ROWS {
                PAGE_ROWS
            } else {
                LARGE_FLEET_PAGE_ROWS
            },
            watchers: 2,
            lease: Duration::from_secs_f64(lease),
            isolation_limit: Duration::from_secs(30),
            isolation_peers: 1,
            list_lag: Duration::from_secs(60),
            exclusive_address: false,
            start_spread: Duration::from_secs_f64(count / FLEET_STARTS_PER_S),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::sized(9)
    }
}
