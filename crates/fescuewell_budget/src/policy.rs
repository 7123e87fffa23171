//! How a ledger behaves: settings of the instance and the policy of each group.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;

fescuewell_core::data! {
    /// Settings of one ledger. What a settings file leaves out has its default.
    #[serde(default)]
    pub struct Settings {
        /// Time between two grouped renewals; a draw that a request waits for does not wait for it.
        /// 200 ms for nine instances; 5 to 10 s for 850, whose writes share the same table.
        pub renew_interval: Duration,
        /// Most groups in one transaction.
        pub batch: usize,
        /// How long a request may wait while the table fails, before it is refused.
        #[serde(rename = "patience")]
        pub max_wait: Duration,
        /// How long to wait for other holders to answer a recall.
        pub recall_wait: Duration,
        /// Most holders that are asked in one recall.
        pub recall_fanout: usize,
        /// How long a refusal is repeated without looking at the row again.
        pub negative_ttl: Duration,
        /// The same for a refusal because money is in use: it may come back any moment.
        pub in_use_ttl: Duration,
        /// After so long with more than needed, the surplus is returned.
        pub surplus_after: Duration,
        /// After so long without any hold, the whole idle allowance is returned.
        pub idle_after: Duration,
        /// How long after a recall allowances are drawn without any reserve.
        pub scarce_for: Duration,
        /// Longest first pause after the table failed; doubled with each failure.
        #[serde(rename = "backoff_first")]
        pub initial_backoff: Duration,
        /// Longest pause after the table failed.
        #[serde(rename = "backoff_most")]
        pub max_backoff: Duration,
    }

    /// How the allowances of one group are sized.
    pub struct Policy {
        /// The group.
        pub key: GroupKey,
        /// Its name, as in its row's key.
        pub name: Arc<str>,
        /// Outage of the table that allowances should outlast at the recent rate of use.
        pub outage: Duration,
        /// Most that one instance keeps idle, in percent of what is free in the row.
        pub share_percent: u8,
        /// Least that is drawn at once while much more than that is free.
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
