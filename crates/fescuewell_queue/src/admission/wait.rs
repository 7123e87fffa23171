//! Predicted waiting times and the refusals based on them.

use std::collections::BTreeMap;
use std::time::Duration;

use fescuewell_core::prelude::*;
use rand::Rng;

use super::{Entry, Position, Queue};

/// Maximum predicted wait; longer predictions are clamped.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Range of "retry after".
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// "Retry after" if the throughput has not been measured yet.
const UNMEASURED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum random addition to "retry after", as a fraction of it, so that callers refused together do not retry together.
const JITTER: f64 = 0.5;

/// After a refusal for a full queue, "retry after" is the predicted wait divided by this: by then, that part of the queue
/// has started.
const RETRY_WAIT_DIVISOR: u32 = 4;

impl Queue {
    /// Predicts the time until a new request would start if it were queued behind all others of its kind. `None` if the
    /// throughput of the pool has not been measured yet.
    pub fn predicted_wait(&self, now: Instant, kind: KindKey, pool: u32) -> Option<Duration> {
        let Some(pool) = self.pools.get(&pool) else {
            return Some(Duration::ZERO);
        };
        let ahead = pool
            .fair_queue(kind)
            .map_or(Tokens::ZERO, |queue| queue.tokens());
        pool.predicted_wait(now, &self.kinds, kind, ahead)
            .map(to_duration)
    }

    /// Checks whether a request can be queued, and returns its position or the refusal.
    pub(super) fn check(&mut self, now: Instant, entry: &Entry) -> Result<Position, Refusal> {
        if self.waiting.contains_key(&entry.ticket) {
            return Err(Refusal::new(Code::Internal).with_detail("The ticket is already queued."));
        }
        if !self.kinds.accepts(entry.kind) {
            return Err(Refusal::new(Code::UnknownKind));
        }
        if entry.deadline <= now {
            return Err(Refusal::new(Code::DeadlinePassed));
        }
        if !self.has_room(entry) {
            let wait = self.predicted_wait(now, entry.kind, entry.pool);
            let wait = wait.map_or(UNMEASURED_RETRY_AFTER, |wait| wait / RETRY_WAIT_DIVISOR);
            return Err(self.refuse(Code::QueueFull, wait));
        }
        let wait = self.entry_wait(now, entry);
        let remaining = entry.deadline.since(now);
        let max_wait = remaining * self.settings.accept_percent / 100;
        if let Some(wait) = wait
            && wait > max_wait
        {
            // `DeadlineTooNear` only if the request could not start in time; otherwise the queue is too long.
            let code = if wait > remaining {
                Code::DeadlineTooNear
            } else {
                Code::QueueFull
            };
            return Err(self.refuse(code, wait - max_wait));
        }
        let ahead = self.ahead(entry);
        Ok(Position { ahead, wait })
    }

    fn has_room(&self, entry: &Entry) -> bool {
        let max_queued = self.settings.max_queued;
        let factor = self.settings.group_factor;
        self.kinds.has_room(entry.kind, max_queued)
            && self
                .kinds
                .has_group_room(entry.kind, entry.group, max_queued, factor)
    }

    fn entry_wait(&self, now: Instant, entry: &Entry) -> Option<Duration> {
        let Some(pool) = self.pools.get(&entry.pool) else {
            return Some(Duration::ZERO);
        };
        let weight = self.weight(entry.group);
        let queue = pool.fair_queue(entry.kind);
        let ahead = queue.map_or(Tokens::ZERO, |queue| {
            queue.ahead_of_next(entry.group, weight)
        });
        pool.predicted_wait(now, &self.kinds, entry.kind, ahead)
            .map(to_duration)
    }

    fn ahead(&self, entry: &Entry) -> usize {
        let Some(pool) = self.pools.get(&entry.pool) else {
            return 0;
        };
        let tier = self.kinds.tier(entry.kind);
        let fair_queues = pool.fair_queues();
        fair_queues
            .filter(|&(kind, _)| self.kinds.tier(kind) <= tier)
            .map(|(_, queue)| queue.len())
            .sum()
    }

    fn refuse(&mut self, code: Code, wait: Duration) -> Refusal {
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let jitter = 1.0 + self.rng.random::<f64>() * JITTER;
        Refusal::new(code).with_retry_after(wait.mul_f64(jitter))
    }

    /// Returns the requests that would miss their deadline if they were the last of their kind and pool, nearest deadline
    /// first.
    pub(super) fn at_risk(&self, now: Instant) -> Vec<(Instant, u64)> {
        let waits = self.max_waits(now);
        let longest_wait = waits.values().max().copied().unwrap_or_default();
        let near_deadline = self.deadlines.range(..=(now + longest_wait, u64::MAX));
        let at_risk = near_deadline.filter(|&&(deadline, ticket)| {
            let entry = self.waiting[&ticket].entry;
            let wait = waits.get(&(entry.pool, entry.kind));
            wait.is_some_and(|&wait| deadline <= now + wait)
        });
        at_risk.copied().collect()
    }

    fn max_waits(&self, now: Instant) -> BTreeMap<(u32, KindKey), Duration> {
        let mut waits = BTreeMap::new();
        for (&key, pool) in &self.pools {
            for (kind, queue) in pool.fair_queues() {
                let wait = pool.predicted_wait(now, &self.kinds, kind, queue.tokens());
                let wait = wait.map_or(Duration::ZERO, to_duration);
                waits.insert((key, kind), wait);
            }
        }
        waits
    }

    /// Returns whether a queued request will very likely miss its deadline.
    pub(super) fn will_miss_deadline(&self, now: Instant, ticket: u64) -> bool {
        let Some(waiting) = self.waiting.get(&ticket) else {
            return false;
        };
        let entry = waiting.entry;
        let Some(pool) = self.pools.get(&entry.pool) else {
            return false;
        };
        let queue = pool.fair_queue(entry.kind);
        let ahead = queue.map_or(Tokens::ZERO, |queue| queue.ahead_of(waiting.item()));
        let wait = pool.predicted_wait(now, &self.kinds, entry.kind, ahead);
        let remaining = entry.deadline.since(now);
        // The margin allows for errors of the estimate: giving up a request that would just have started in time loses it,
        // while keeping one that just misses its deadline only occupies room in the queue.
        wait.map(to_duration)
            .is_some_and(|wait| wait * 100 > remaining * self.settings.give_up_percent)
    }
}

fn to_duration(seconds: f64) -> Duration {
    if seconds.is_nan() {
        return MAX_WAIT;
    }
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT.as_secs_f64()))
}
