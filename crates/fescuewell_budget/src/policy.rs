//! Configuration of a ledger: settings of the instance and the policy of each group.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;

fescuewell_core::data! {
    /// Settings of one ledger. Omitted settings have their defaults.
    #[serde(default)]
    pub struct Settings {
        /// Time between two grouped renewals. A draw for a waiting request does not wait for it.
        ///
        /// 200 ms suits nine instances; 5 to 10 s suits 850, since their writes share one table.
        pub renew_interval: Duration,
        /// Maximum number of groups in one transaction.
        pub batch: usize,
        /// How long a request may wait while the table fails before it is refused.
        #[serde(rename = "patience")]
        pub max_wait: Duration,
        /// How long to wait for the replies of other holders to a recall.
        pub recall_wait: Duration,
        /// Maximum number of holders asked in one recall.
        pub recall_fanout: usize,
        /// How long a refusal is repeated without reading the row again.
        pub negative_ttl: Duration,
        /// The same for a refusal because tokens are in use, which may become available at any
        /// moment.
        pub in_use_ttl: Duration,
        /// How long a surplus must last before it is returned.
        pub surplus_after: Duration,
        /// Time without any hold after which all idle tokens are returned.
        pub idle_after: Duration,
        /// How long after a recall tokens are drawn without a reserve.
        pub scarce_for: Duration,
        /// Longest pause after the first failure of the table; doubled with each further failure.
        #[serde(rename = "backoff_first")]
        pub initial_backoff: Duration,
        /// Longest pause after a failure of the table.
        #[serde(rename = "backoff_most")]
        pub max_backoff: Duration,
    }

    /// Determines the size of one group's allowances.
    pub struct Policy {
        /// The group.
        pub key: GroupKey,
        /// The group's name, as in its row's key.
        pub name: Arc<str>,
        /// Table outage that an allowance should cover at the recent rate of use.
        pub outage: Duration,
        /// Maximum idle tokens of one instance, in percent of the tokens within its reach
        /// (unallocated or idle at it).
        pub share_percent: u8,
        /// Minimum target of an allowance, while [`crate::sizing::MIN_ALLOWANCE_FACTOR`] times as
        /// much is within reach.
        #[serde(rename = "least")]
        pub min_allowance: Tokens,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            renew_interval: Duration::from_millis(200),
            batch: 32,
            max_wait: Duration::from_secs(2),
            recall_wait: Duration::from_millis(500),
            recall_fanout: 32,
            negative_ttl: Duration::from_secs(1),
            in_use_ttl: Duration::from_millis(250),
            surplus_after: Duration::from_secs(10),
            idle_after: Duration::from_secs(300),
            scarce_for: Duration::from_secs(5),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
        }
    }
}

impl Settings {
    /// Sets the time between two grouped renewals.
    pub fn with_renew_interval(mut self, interval: Duration) -> Self {
        self.renew_interval = interval;
        self
    }
}
