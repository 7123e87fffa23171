//! Predicted waits, and the refusals that follow from them.

use std::collections::BTreeMap;
use std::time::Duration;

use fescuewell_core::prelude::*;
use rand::Rng;

use super::{Entry, Position, Queue};

/// Longest wait that is predicted; what is longer is as good as for ever.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

/// Bounds of the time after which a refused caller is told to ask again.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(200);
const MOST_RETRY_AFTER: Duration = Duration::from_secs(60);

/// "Retry after" when nothing has been measured yet.
const UNMEASURED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Largest addition to "retry after", as a share of it: callers refused together must not return together.
const JITTER: f64 = 0.5;

/// A caller refused for a full queue is asked back when this share of what waits has started.
const ROOM_SHARE: u32 = 4;

impl Queue {
    /// Predicted time until a request that joins behind all of its kind would start; `None` while the pool's
    /// speed has not been measured.
    pub fn predicted_wait(&self, now: Instant, kind: KindKey, pool: u32) -> Option<Duration> {
        let Some(pool) = self.pools.get(&pool) else {
            return Some(Duration::ZERO);
        };
        let ahead = pool.lane(kind).map_or(Tokens::ZERO, |lane| lane.tokens());
        pool.wait(now, &self.kinds, kind, ahead).map(to_duration)
    }

    /// Accepts a request in principle, or says why not.
    pub(super) fn check(&mut self, now: Instant, entry: &Entry) -> Result<Position, Refusal> {
        if self.waiting.contains_key(&entry.ticket) {
            return Err(Refusal::new(Code::Internal).with_detail("The ticket waits already."));
        }
        if !self.kinds.is_open(entry.kind) {
            return Err(Refusal::new(Code::UnknownKind));
        }
        if entry.deadline <= now {
            return Err(Refusal::new(Code::DeadlinePassed));
        }
        if !self.has_room(entry) {
            let wait = self.predicted_wait(now, entry.kind, entry.pool);
            let wait = wait.map_or(UNMEASURED_RETRY_AFTER, |wait| wait / ROOM_SHARE);
            return Err(self.refuse(Code::QueueFull, wait));
        }
        let wait = self.wait_of_next(now, entry);
        let remaining = entry.deadline.since(now);
        let most = remaining * self.settings.accept_percent / 100;
        if let Some(wait) = wait
            && wait > most
        {
            // Only what could really not start in time is told so; otherwise the queue is too long.
            let code = if wait > remaining {
                Code::DeadlineTooNear
            } else {
                Code::QueueFull
            };
            return Err(self.refuse(code, wait - most));
        }
        let ahead = self.ahead(entry);
        Ok(Position { ahead, wait })
    }

    fn has_room(&self, entry: &Entry) -> bool {
        let most = self.settings.max_queued;
        let factor = self.settings.group_factor;
        self.kinds.has_room(entry.kind, most)
            && self.kinds.has_share(entry.kind, entry.group, most, factor)
    }

    fn wait_of_next(&self, now: Instant, entry: &Entry) -> Option<Duration> {
        let Some(pool) = self.pools.get(&entry.pool) else {
            return Some(Duration::ZERO);
        };
        let weight = self.weight(entry.group);
        let lane = pool.lane(entry.kind);
        let ahead = lane.map_or(Tokens::ZERO, |lane| lane.ahead_of_next(entry.group, weight));
        pool.wait(now, &self.kinds, entry.kind, ahead)
            .map(to_duration)
    }

    fn ahead(&self, entry: &Entry) -> usize {
        let Some(pool) = self.pools.get(&entry.pool) else {
            return 0;
        };
        let tier = self.kinds.tier(entry.kind);
        let lanes = pool.lanes();
        lanes
            .filter(|&(kind, _)| self.kinds.tier(kind) <= tier)
            .map(|(_, lane)| lane.len())
            .sum()
    }

    fn refuse(&mut self, code: Code, wait: Duration) -> Refusal {
        let wait = wait.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER);
        let jitter = 1.0 + self.rng.random::<f64>() * JITTER;
        Refusal::new(code).with_retry_after(wait.mul_f64(jitter))
    }

    /// Requests that the last of their kind and pool could not wait for any more, nearest deadline first.
    pub(super) fn in_danger(&self, now: Instant) -> Vec<(Instant, u64)> {
        let waits = self.longest_waits(now);
        let longest = waits.values().max().copied().unwrap_or_default();
        let near = self.deadlines.range(..=(now + longest, u64::MAX));
        let in_danger = near.filter(|&&(deadline, ticket)| {
            let entry = self.waiting[&ticket].entry;
            let wait = waits.get(&(entry.pool, entry.kind));
            wait.is_some_and(|&wait| deadline <= now + wait)
        });
        in_danger.copied().collect()
    }

    fn longest_waits(&self, now: Instant) -> BTreeMap<(u32, KindKey), Duration> {
        let mut waits = BTreeMap::new();
        for (&key, pool) in &self.pools {
            for (kind, lane) in pool.lanes() {
                let wait = pool.wait(now, &self.kinds, kind, lane.tokens());
                let wait = wait.map_or(Duration::ZERO, to_duration);
                waits.insert((key, kind), wait);
            }
        }
        waits
    }

    /// Whether a waiting request will very likely miss its deadline.
    pub(super) fn is_hopeless(&self, now: Instant, ticket: u64) -> bool {
        let Some(waiting) = self.waiting.get(&ticket) else {
            return false;
        };
        let entry = waiting.entry;
        let Some(pool) = self.pools.get(&entry.pool) else {
            return false;
        };
        let lane = pool.lane(entry.kind);
        let ahead = lane.map_or(Tokens::ZERO, |lane| lane.ahead_of(waiting.place()));
        let wait = pool.wait(now, &self.kinds, entry.kind, ahead);
        let remaining = entry.deadline.since(now);
        // Slack against the noise of the estimate: a request that would just have made it is lost for
        // nothing when it is given up, while one that just misses only occupied a place.
        wait.map(to_duration)
            .is_some_and(|wait| wait * 100 > remaining * self.settings.give_up_percent)
    }
}

fn to_duration(seconds: f64) -> Duration {
    if seconds.is_nan() {
        return LONGEST_WAIT;
    }
    Duration::from_secs_f64(seconds.clamp(0.0, LONGEST_WAIT.as_secs_f64()))
}
