//! The choice of what starts next.

use fescuewell_core::prelude::*;

use super::pool::{Hold, Pool};
use super::{Entry, Queue};

/// What was learned while looking for a request to start.
#[derive(Default)]
struct Search {
    /// Kinds and pools that were tried in vain.
    tried: Vec<(u32, KindKey)>,
    /// The first request of each of these, which could not start.
    refused: Vec<u64>,
}

impl Queue {
    /// Takes out the request that starts next, or `None` when nothing that waits can start.
    ///
    /// `can_start` is asked for one request after the other, in order; the first one for which it says yes
    /// is popped and counts as started, so the question may take up the place. Pop until `None`: that is also
    /// how the queue learns that a pool is full. Report each popped request's end by [`Queue::finish`].
    pub fn pop(
        &mut self,
        now: Instant,
        can_start: &mut dyn FnMut(&Entry) -> bool,
    ) -> Option<Entry> {
        self.release_holds(now);
        let mut search = Search::default();
        let Some(ticket) = self.find(&mut search, can_start) else {
            self.mark_blocked(now);
            return None;
        };
        self.count_passed(now, ticket, &search.refused);
        self.start(now, ticket)
    }

    fn find(&self, search: &mut Search, can_start: &mut dyn FnMut(&Entry) -> bool) -> Option<u64> {
        let pools = self.pools_in_turn();
        for &(key, pool) in &pools {
            for kind in pool.owed(&self.kinds) {
                let found = self.try_lane(key, pool, kind, search, can_start);
                if found.is_some() {
                    return found;
                }
            }
        }
        for tier in self.kinds.tiers() {
            for &(key, pool) in &pools {
                for kind in pool.turns(tier) {
                    let found = self.try_lane(key, pool, kind, search, can_start);
                    if found.is_some() {
                        return found;
                    }
                }
            }
        }
        None
    }

    /// The pools with something waiting, starting behind the one that was served last: pools may share
    /// servers, and the first in the map would otherwise always win.
    fn pools_in_turn(&self) -> Vec<(u32, &Pool)> {
        let behind = self.pools.range(self.last_pool.saturating_add(1)..);
        let rest = self.pools.range(..=self.last_pool);
        let all = behind.chain(rest);
        all.filter(|(_, pool)| !pool.is_empty())
            .map(|(&key, pool)| (key, pool))
            .collect()
    }

    fn try_lane(
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
        if let Some(hold) = pool.hold
            && self.kinds.tier(kind) >= self.kinds.tier(hold.kind)
        {
            if hold.kind != kind {
                return None;
            }
            return self.try_ticket(hold.ticket, can_start);
        }
        let mut refused = None;
        for ticket in pool.lane(kind)?.heads(self.settings.look_ahead) {
            if self.try_ticket(ticket, can_start).is_some() {
                search.refused.extend(refused);
                return Some(ticket);
            }
            refused = refused.or(Some(ticket));
        }
        search.refused.extend(refused);
        None
    }

    fn try_ticket(&self, ticket: u64, can_start: &mut dyn FnMut(&Entry) -> bool) -> Option<u64> {
        let waiting = self.waiting.get(&ticket)?;
        can_start(&waiting.entry).then_some(ticket)
    }

    fn start(&mut self, now: Instant, ticket: u64) -> Option<Entry> {
        let waiting = self.delist(ticket)?;
        let entry = waiting.entry;
        let pool = self.pools.get_mut(&entry.pool)?;
        pool.last_used = now;
        pool.start(now, &self.kinds, entry.kind, waiting.place());
        self.last_pool = entry.pool;
        self.running.insert(ticket);
        Some(entry)
    }

    /// Counts the started request against those that it went past, and keeps the pool free for one that
    /// too many went past. Without this, a request that needs much room at once would wait until its
    /// deadline while small ones take each bit of room that comes free.
    fn count_passed(&mut self, now: Instant, started: u64, refused: &[u64]) {
        let Some(started) = self.waiting.get(&started).map(|waiting| waiting.entry) else {
            return;
        };
        for &ticket in refused {
            let Some(waiting) = self.waiting.get_mut(&ticket) else {
                continue;
            };
            let entry = waiting.entry;
            let entitled = self.kinds.tier(started.kind) < self.kinds.tier(entry.kind);
            if entry.pool != started.pool || entitled {
                continue;
            }
            waiting.passed += 1;
            if waiting.passed < self.settings.max_bypasses {
                continue;
            }
            if let Some(pool) = self.pools.get_mut(&entry.pool) {
                pool.hold.get_or_insert(Hold {
                    ticket,
                    kind: entry.kind,
                    since: now,
                });
            }
        }
    }

    /// Ends holds that lasted too long: the request may wait for a server that is gone, and the others
    /// must not wait with it.
    fn release_holds(&mut self, now: Instant) {
        for pool in self.pools.values_mut() {
            let Some(hold) = pool.hold else {
                continue;
            };
            if now.since(hold.since) < self.settings.max_reservation {
                continue;
            }
            pool.hold = None;
            if let Some(waiting) = self.waiting.get_mut(&hold.ticket) {
                waiting.passed = 0;
            }
        }
    }

    fn mark_blocked(&mut self, now: Instant) {
        for pool in self.pools.values_mut() {
            if !pool.is_empty() {
                pool.rate.blocked(now);
            }
        }
    }
}
