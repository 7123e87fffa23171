//! How often an instance writes its heartbeat and reads the state of the fleet.
//!
//! All heartbeats are written to one partition of the store, and an instance that reads all members
//! and ledgers reads more with each of them. In a large fleet only the advertised instances and the
//! readers do so. The others write rarely and read the
//! [`Summary`](crate::directory::summary::Summary); see [`Activity`].

use std::time::Duration;

/// Interval between two reconciliations and heartbeats in a small fleet.
const MIN_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between two reads of the summary at an idle instance.
const IDLE_INTERVAL: Duration = Duration::from_secs(4);
/// Interval between two reconciliations of a serving instance.
const SERVING_INTERVAL: Duration = Duration::from_secs(2);
/// Fraction of one partition's write capacity that the heartbeats of a small fleet, or those of the
/// idle or the serving instances of a large one, use together. Reconciliations use as much of
/// another partition.
const PARTITION_SHARE: f64 = 0.3;
/// The same for the heartbeats of the other instances of a large fleet.
const FULL_SHARE: f64 = 0.15;
/// One instance in this many serves callers although it is not advertised, at most.
const SERVING_DIVISOR: usize = 4;
/// Fraction of the store's write capacity that all journals may use together.
const JOURNAL_SHARE: f64 = 0.4;
/// Number of instances per advertised one that may write journals often in a large fleet: callers
/// use some that are no longer advertised.
const JOURNALS_PER_ADVERTISED: usize = 2;
/// Bytes per second that an instance reads of all members and ledgers.
const READ_BYTES_S: f64 = 150_000.0;

/// What an instance of a large fleet does, and so what it has to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// It serves nobody.
    Idle,
    /// It is not advertised, but callers use it and it holds tokens for them. It knows the summary
    /// and the ledgers of these accounts.
    Serving,
    /// It is advertised or a reader, and knows all members and ledgers.
    Full,
}

/// What the intervals of an instance follow from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cadence {
    /// Number of live instances.
    pub instances: usize,
    /// Number of advertised instances.
    pub advertised: usize,
    /// Whether most instances know only a summary of the members.
    pub is_large: bool,
    /// What this instance does if the fleet is large.
    pub activity: Activity,
    /// Transactions per second that one partition of the store can commit.
    pub partition_writes_per_s: f64,
    /// Write calls per second allowed for all instances together.
    pub writes_per_s: f64,
}

impl Cadence {
    /// Returns `true` if this instance reads all members.
    pub fn knows_all(&self) -> bool {
        self.activity == Activity::Full || !self.is_large
    }

    /// Returns `true` if this instance reconciles its grants periodically.
    pub fn reconciles(&self) -> bool {
        self.activity != Activity::Idle || !self.is_large
    }

    /// Returns the interval between two heartbeats.
    pub fn heartbeat(&self) -> Duration {
        match (self.is_large, self.activity) {
            (true, Activity::Full) => self.fair(self.advertised, FULL_SHARE),
            (true, Activity::Serving) => {
                self.fair(self.instances / SERVING_DIVISOR, PARTITION_SHARE)
            }
            _ => self.fair(self.instances, PARTITION_SHARE),
        }
    }

    /// Returns the interval between two reconciliations, the last of which read `bytes`.
    pub fn round(&self, bytes: usize) -> Duration {
        match (self.is_large, self.activity) {
            (true, Activity::Idle) => IDLE_INTERVAL,
            (true, Activity::Serving) => SERVING_INTERVAL,
            (true, Activity::Full) => {
                let transfer = Duration::from_secs_f64(bytes as f64 / READ_BYTES_S);
                self.fair(self.advertised, PARTITION_SHARE).max(transfer)
            }
            (false, _) => self.fair(self.instances, PARTITION_SHARE),
        }
    }

    /// Returns the interval between two journals at which all instances that hold tokens keep to
    /// their share of the store's writes. Each journal has its own partition.
    ///
    /// Requests and loans wait for journals. At the interval that suits all instances of a large
    /// fleet they would wait half a second.
    pub fn journal(&self) -> Duration {
        let writers = match self.is_large {
            true => self.advertised * JOURNALS_PER_ADVERTISED,
            false => self.instances,
        };
        Duration::from_secs_f64(writers as f64 / (self.writes_per_s * JOURNAL_SHARE))
    }

    /// Interval at which so many instances keep to a fraction of one partition's writes.
    fn fair(&self, instances: usize, share: f64) -> Duration {
        let writes_per_s = self.partition_writes_per_s * share;
        MIN_INTERVAL.max(Duration::from_secs_f64(instances as f64 / writes_per_s))
    }
}
