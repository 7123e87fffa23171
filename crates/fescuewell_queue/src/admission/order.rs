//! Scheduling: which queued request starts next.

use fescuewell_core::prelude::*;

use super::pool::{Pool, Reservation};
use super::{Entry, Queue};

/// Intermediate results of the search for a request to start.
#[derive(Default)]
struct Search {
    /// Pools and kinds that were tried without success.
    tried: Vec<(u32, KindKey)>,
    /// First request of each tried pool and kind that could not start.
    blocked: Vec<u64>,
}

impl Queue {
    /// Removes and returns the request that starts next, or `None` if no queued request can start.
    ///
    /// Calls `can_start` for candidates in order. The first one for which it returns `true` counts as started, so
    /// `can_start` may already reserve the capacity. Call this until it returns `None`, which also records that the pools
    /// are full. Call [`Queue::finish`] when a popped request ends.
    pub fn pop(
        &mut self,
        now: Instant,
        can_start: &mut dyn FnMut(&Entry) -> bool,
    ) -> Option<Entry> {
        self.expire_reservations(now);
        let mut search = Search::default();
        let Some(ticket) = self.find_next(&mut search, can_start) else {
            self.mark_blocked(now);
            return None;
        };
        self.count_bypasses(now, ticket, &search.blocked);
        self.start(now, ticket)
    }

    fn find_next(
        &self,
        search: &mut Search,
        can_start: &mut dyn FnMut(&Entry) -> bool,
    ) -> Option<u64> {
        let pools = self.pools_round_robin();
        for &(key, pool) in &pools {
            for kind in pool.below_floor(&self.kinds) {
                let ticket = self.try_kind(key, pool, kind, search, can_start);
                if ticket.is_some() {
                    return ticket;
                }
            }
        }
        for tier in self.kinds.tiers() {
            for &(key, pool) in &pools {
                for kind in pool.by_served(tier) {
                    let ticket = self.try_kind(key, pool, kind, search, can_start);
                    if ticket.is_some() {
                        return ticket;
                    }
                }
            }
        }
        None
    }

    /// Returns the pools with waiting requests in round-robin order, starting after the one that was served last. Pools may
    /// share servers, and a fixed order would always prefer the first pool.
    fn pools_round_robin(&self) -> Vec<(u32, &Pool)> {
        let after_last = self.pools.range(self.last_pool.saturating_add(1)..);
        let up_to_last = self.pools.range(..=self.last_pool);
        let all = after_last.chain(up_to_last);
        all.filter(|(_, pool)| !pool.is_empty())
            .map(|(&key, pool)| (key, pool))
            .collect()
    }

    fn try_kind(
        &self,
        key: u32,
        pool: &Pool,
        kind: KindKey,
        search: &mut Search,
        can_start: &mut dyn FnMut(&Entry) -> bool,
    ) -> Option<u64> {
        if search.tried.contains(&(key, kind)) {
            return None;
        }
        search.tried.push((key, kind));
        if let Some(reservation) = pool.reservation
            && self.kinds.tier(kind) >= self.kinds.tier(reservation.kind)
        {
            if reservation.kind != kind {
                return None;
            }
            return self.try_ticket(reservation.ticket, can_start);
        }
        let mut blocked = None;
        for ticket in pool.fair_queue(kind)?.heads(self.settings.look_ahead) {
            if self.try_ticket(ticket, can_start).is_some() {
                search.blocked.extend(blocked);
                return Some(ticket);
            }
            blocked = blocked.or(Some(ticket));
        }
        search.blocked.extend(blocked);
        None
    }

    fn try_ticket(&self, ticket: u64, can_start: &mut dyn FnMut(&Entry) -> bool) -> Option<u64> {
        let waiting = self.waiting.get(&ticket)?;
        can_start(&waiting.entry).then_some(ticket)
    }

    fn start(&mut self, now: Instant, ticket: u64) -> Option<Entry> {
        let waiting = self.untrack(ticket)?;
        let entry = waiting.entry;
        let pool = self.pools.get_mut(&entry.pool)?;
        pool.last_used = now;
        pool.start(now, &self.kinds, entry.kind, waiting.item());
        self.last_pool = entry.pool;
        self.running.insert(ticket);
        Some(entry)
    }

    /// Counts a bypass for each request that the started one overtook, and reserves the pool for a request that has
    /// been bypassed too often. Without this, a request that needs much capacity at once would wait until its deadline
    /// while small requests take all capacity as it becomes free.
    fn count_bypasses(&mut self, now: Instant, started: u64, blocked: &[u64]) {
        let Some(started) = self.waiting.get(&started).map(|waiting| waiting.entry) else {
            return;
        };
        for &ticket in blocked {
            let Some(waiting) = self.waiting.get_mut(&ticket) else {
                continue;
            };
            let entry = waiting.entry;
            let is_more_urgent = self.kinds.tier(started.kind) < self.kinds.tier(entry.kind);
            if entry.pool != started.pool || is_more_urgent {
                continue;
            }
            waiting.bypasses += 1;
            if waiting.bypasses < self.settings.max_bypasses {
                continue;
            }
            if let Some(pool) = self.pools.get_mut(&entry.pool) {
                pool.reservation.get_or_insert(Reservation {
                    ticket,
                    kind: entry.kind,
                    since: now,
                });
            }
        }
    }

    /// Releases reservations older than the maximum: the request may need a server that no longer exists, and must not
    /// block the others.
    fn expire_reservations(&mut self, now: Instant) {
        for pool in self.pools.values_mut() {
            let Some(reservation) = pool.reservation else {
                continue;
            };
            if now.since(reservation.since) < self.settings.max_reservation {
                continue;
            }
            pool.reservation = None;
            if let Some(waiting) = self.waiting.get_mut(&reservation.ticket) {
                waiting.bypasses = 0;
            }
        }
    }

    fn mark_blocked(&mut self, now: Instant) {
        for pool in self.pools.values_mut() {
            if !pool.is_empty() {
                pool.throughput.record_blocked(now);
            }
        }
    }
}
