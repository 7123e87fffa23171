//! Fault injection for the in-memory services.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fescuewell_core::time::{Clock, Instant};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Number of calls to a service since its creation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize)]
pub struct Counters {
    /// Reads and scans received, including failed ones.
    pub reads: u64,
    /// Transactions (puts, for an object store) received, including failed ones.
    pub transactions: u64,
    /// Rows or objects written or removed.
    pub writes: u64,
    /// Calls rejected by a rate limit.
    pub busy: u64,
}

/// Fault controls and call counters of one service. A clone controls the same service.
#[derive(Clone, Default)]
pub struct Fault {
    controls: Arc<Mutex<Controls>>,
}

#[derive(Default)]
struct Controls {
    down: bool,
    lost_requests: u32,
    lost_replies: u32,
    read_limit: Option<RateLimit>,
    write_limit: Option<RateLimit>,
    counters: Counters,
}

/// What happens to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The call takes effect and its reply is returned.
    Completed,
    /// The call takes effect but its reply is lost.
    ReplyLost,
    /// The request is lost and has no effect. The caller cannot distinguish this from a lost reply.
    RequestLost,
    /// The service cannot be reached.
    Down,
    /// The call exceeds a rate limit and has no effect.
    Busy,
}

impl Fault {
    /// Makes the service unreachable, or reachable again.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Lets the next `count` transactions take effect but loses their replies.
    pub fn lose_next_replies(&self, count: u32) {
        self.lock().lost_replies = count;
    }

    /// Loses the next `count` transactions before they take effect, which looks the same to the caller.
    pub fn lose_next_requests(&self, count: u32) {
        self.lock().lost_requests = count;
    }

    /// Limits the rate of transactions that write, regardless of their number of rows. The burst size
    /// is one second's worth; 0 removes the limit.
    pub fn set_writes_per_second(&self, limit: u32, clock: Arc<dyn Clock>) {
        self.lock().write_limit = RateLimit::new(limit, clock);
    }

    /// Limits the rate of reads and scans, as [`Self::set_writes_per_second`] does for writes.
    pub fn set_reads_per_second(&self, limit: u32, clock: Arc<dyn Clock>) {
        self.lock().read_limit = RateLimit::new(limit, clock);
    }

    /// Returns the current counters.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Counts a read or scan and decides its result.
    pub fn on_read(&self) -> CallResult {
        let mut controls = self.lock();
        controls.counters.reads += 1;
        if controls.down {
            return CallResult::Down;
        }
        let admitted = admit(&mut controls.read_limit);
        controls.result_of_admission(admitted)
    }

    /// Counts a transaction that writes `writes` rows and decides its result.
    pub fn on_transaction(&self, writes: usize) -> CallResult {
        let mut controls = self.lock();
        controls.counters.transactions += 1;
        if controls.down {
            return CallResult::Down;
        }
        if controls.lost_requests > 0 {
            controls.lost_requests -= 1;
            return CallResult::RequestLost;
        }
        let admitted = writes == 0 || admit(&mut controls.write_limit);
        let result = controls.result_of_admission(admitted);
        if result == CallResult::Completed && controls.lost_replies > 0 {
            controls.lost_replies -= 1;
            return CallResult::ReplyLost;
        }
        result
    }

    /// Adds `rows` to the count of written rows.
    pub fn record_writes(&self, rows: usize) {
        self.lock().counters.writes += rows as u64;
    }

    fn lock(&self) -> MutexGuard<'_, Controls> {
        self.controls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Controls {
    fn result_of_admission(&mut self, admitted: bool) -> CallResult {
        if admitted {
            return CallResult::Completed;
        }
        self.counters.busy += 1;
        CallResult::Busy
    }
}

fn admit(limit: &mut Option<RateLimit>) -> bool {
    limit.as_mut().is_none_or(RateLimit::admit)
}

/// Token bucket with a capacity of one second's worth of calls.
struct RateLimit {
    per_second: u64,
    /// Available tokens, in millionths of a call.
    tokens: u64,
    refilled_at: Instant,
    clock: Arc<dyn Clock>,
}

impl RateLimit {
    fn new(per_second: u32, clock: Arc<dyn Clock>) -> Option<Self> {
        let per_second = u64::from(per_second);
        let limit = Self {
            per_second,
            tokens: per_second * MICROS_PER_SECOND,
            refilled_at: clock.now(),
            clock,
        };
        (per_second > 0).then_some(limit)
    }

    fn admit(&mut self) -> bool {
        let now = self.clock.now();
        let elapsed = now.since(self.refilled_at).as_micros() as u64;
        let refill = elapsed.saturating_mul(self.per_second);
        let capacity = self.per_second * MICROS_PER_SECOND;
        self.refilled_at = now;
        self.tokens = self.tokens.saturating_add(refill).min(capacity);
        let Some(remaining) = self.tokens.checked_sub(MICROS_PER_SECOND) else {
            return false;
        };
        self.tokens = remaining;
        true
    }
}
