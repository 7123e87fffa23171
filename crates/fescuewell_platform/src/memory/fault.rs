//! Faults of an in-memory service, switched on and off by plain methods.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fescuewell_core::time::{Clock, Instant};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// How often a service was used since it was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize)]
pub struct Counters {
    /// Reads and scans that arrived, answered or not.
    pub reads: u64,
    /// Transactions (for an object store: puts) that arrived, answered or not.
    pub transactions: u64,
    /// Rows or objects that were written or removed.
    pub writes: u64,
    /// Calls that failed because of a limit per second.
    pub busy: u64,
}

/// Controls of one service's faults and its counters. A clone controls the same service.
#[derive(Clone, Default)]
pub struct Fault {
    controls: Arc<Mutex<Controls>>,
}

#[derive(Default)]
struct Controls {
    down: bool,
    lost_requests: u32,
    lost_replies: u32,
    reads: Option<Limit>,
    writes: Option<Limit>,
    counters: Counters,
}

/// What happens to a call that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// It takes effect and is answered.
    Completed,
    /// It takes effect and its reply is lost.
    ReplyLost,
    /// It is lost on the way, which its sender cannot tell from a lost reply.
    RequestLost,
    /// The service cannot be reached.
    Down,
    /// The service takes no more for now.
    Busy,
}

impl Fault {
    /// Makes the service unreachable, or reachable again.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// The next `count` transactions take effect, but their replies are lost.
    pub fn lose_next_replies(&self, count: u32) {
        self.lock().lost_replies = count;
    }

    /// The next `count` transactions are lost before they take effect, which looks the same to their sender.
    pub fn lose_next_requests(&self, count: u32) {
        self.lock().lost_requests = count;
    }

    /// Limits the transactions that write, whatever the number of rows in each. Up to one second's
    /// worth may come at once; 0 removes the limit.
    pub fn set_writes_per_second(&self, limit: u32, clock: Arc<dyn Clock>) {
        self.lock().writes = Limit::new(limit, clock);
    }

    /// Limits reads and scans in the same way.
    pub fn set_reads_per_second(&self, limit: u32, clock: Arc<dyn Clock>) {
        self.lock().reads = Limit::new(limit, clock);
    }

    /// The counters so far.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Counts a read and decides its result.
    pub fn on_read(&self) -> CallResult {
        let mut controls = self.lock();
        controls.counters.reads += 1;
        if controls.down {
            return CallResult::Down;
        }
        let admitted = admit(&mut controls.reads);
        controls.answer_or_busy(admitted)
    }

    /// Decides the result of a transaction of `writes` rows.
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
        let admitted = writes == 0 || admit(&mut controls.writes);
        let result = controls.answer_or_busy(admitted);
        if result == CallResult::Completed && controls.lost_replies > 0 {
            controls.lost_replies -= 1;
            return CallResult::ReplyLost;
        }
        result
    }

    /// Counts rows that were written.
    pub fn record_writes(&self, rows: usize) {
        self.lock().counters.writes += rows as u64;
    }

    fn lock(&self) -> MutexGuard<'_, Controls> {
        self.controls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Controls {
    fn answer_or_busy(&mut self, admitted: bool) -> CallResult {
        if admitted {
            return CallResult::Completed;
        }
        self.counters.busy += 1;
        CallResult::Busy
    }
}

fn admit(limit: &mut Option<Limit>) -> bool {
    limit.as_mut().is_none_or(Limit::admit)
}

/// A token bucket that holds one second's worth.
struct Limit {
    per_second: u64,
    /// Content in millionths of a call.
    level: u64,
    filled_at: Instant,
    clock: Arc<dyn Clock>,
}

impl Limit {
    fn new(per_second: u32, clock: Arc<dyn Clock>) -> Option<Self> {
        let per_second = u64::from(per_second);
        let limit = Self {
            per_second,
            level: per_second * MICROS_PER_SECOND,
            filled_at: clock.now(),
            clock,
        };
        (per_second > 0).then_some(limit)
    }

    fn admit(&mut self) -> bool {
        let now = self.clock.now();
        let elapsed = now.since(self.filled_at).as_micros() as u64;
        let gained = elapsed.saturating_mul(self.per_second);
        let full = self.per_second * MICROS_PER_SECOND;
        self.filled_at = now;
        self.level = self.level.saturating_add(gained).min(full);
        let Some(rest) = self.level.checked_sub(MICROS_PER_SECOND) else {
            return false;
        };
        self.level = rest;
        true
    }
}
