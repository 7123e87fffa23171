//! Collection and admission of the candidates for one choice.

use fescuewell_core::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::choice::{Basis, NoChoice, Query};
use crate::pool::Pool;
use crate::prefix::Hit;
use crate::server::{Entry, Headroom};
use crate::settings::{Settings, millis};

/// Random draws per requested sample before sampling stops.
const DRAWS_PER_SAMPLE: usize = 3;
/// Lowest limit on this instance's streams to a returning server.
const MIN_STREAM_LIMIT: f32 = 1.0;

/// Reason why a server cannot take a request, from the least to the most temporary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Unavailable {
    Excluded,
    Ejected,
    Busy,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) server: ServerKey,
    pub(crate) source: Basis,
    pub(crate) hit: Option<Hit>,
}

/// Check whether a server can take the request.
pub(crate) struct Admission<'a> {
    pub(crate) now: Instant,
    pub(crate) query: &'a Query<'a>,
    pub(crate) entries: &'a [Option<Entry>],
    pub(crate) settings: &'a Settings,
    pub(crate) instances: u32,
}

impl Admission<'_> {
    fn unavailable(&self, server: ServerKey) -> Option<Unavailable> {
        let Some(Some(entry)) = self.entries.get(server.0 as usize) else {
            return Some(Unavailable::Excluded);
        };
        if entry.leaving || self.query.exclude.contains(&server) {
            return Some(Unavailable::Excluded);
        }
        let share = entry.health.share(self.now, &self.settings.health);
        if share <= 0.0 {
            return Some(Unavailable::Ejected);
        }
        self.is_busy(entry, share).then_some(Unavailable::Busy)
    }

    fn admits(&self, headroom: Headroom) -> bool {
        match self.query.urgent {
            true => headroom.urgent,
            false => headroom.bulk,
        }
    }

    fn is_busy(&self, entry: &Entry, share: f32) -> bool {
        if self.now < entry.busy_until {
            return true;
        }
        let own = entry.streams.len() as f32;
        let mut limit = entry.concurrency as f32;
        let keeps_reserve = match entry.headroom {
            Some(headroom) if !self.admits(headroom) => return true,
            // The caller's limit keeps a reserve and counts only bulk requests against it. A
            // reserve computed from all streams here would deny bulk requests their guaranteed
            // minimum on a server that is full of urgent requests.
            Some(_) => false,
            None => true,
        };
        if keeps_reserve && !self.query.urgent {
            limit -= limit * f32::from(self.settings.urgent_reserve_percent) / 100.0;
        }
        if share < 1.0 {
            // Every instance ramps the server up independently, so each uses only its part.
            limit = (limit * share / self.instances as f32)
                .floor()
                .max(MIN_STREAM_LIMIT);
            return own >= limit;
        }
        // Reported load of other instances counts here, estimated load only in the comparison: an
        // estimate must not reject a request.
        let others = entry
            .peer_load
            .reported(self.now, millis(self.settings.report_life_ms));
        own + others + 1.0 > limit.max(1.0)
    }
}

/// Collector of candidates from one pool.
pub(crate) struct Collector<'a> {
    pub(crate) admission: Admission<'a>,
    pub(crate) pool: &'a Pool,
    pub(crate) hits: &'a [Hit],
    pub(crate) candidates: &'a mut Vec<Candidate>,
}

impl Collector<'_> {
    /// Adds servers that probably cache a part of the prompt, until there are `max` candidates.
    pub(crate) fn holders(&mut self, max: usize) {
        for index in 0..self.hits.len() {
            if self.candidates.len() >= max {
                return;
            }
            let server = self.hits[index].server;
            let Some(Some(entry)) = self.admission.entries.get(server.0 as usize) else {
                continue;
            };
            if !self.pool.contains(server, entry.ring_position) {
                continue;
            }
            self.add(server, Basis::PrefixHit);
        }
    }

    /// Adds the first servers after the prompt's first block on the consistent hash ring. All
    /// instances compute the same servers without communication, so a prefix is cached there. When
    /// the first home is loaded, the next one costs less, so a large account spreads to it.
    pub(crate) fn homes(&mut self, max: usize) {
        let Some(first) = self.admission.query.prefix.first() else {
            return;
        };
        let pool = self.pool;
        for server in pool.clockwise_from(first.0 as u64).take(max) {
            self.add(server, Basis::PrefixHome);
        }
    }

    /// Adds a random sample. A larger sample would not help: all instances would choose the same
    /// apparently best server.
    pub(crate) fn samples(&mut self, max: usize, rng: &mut SmallRng) {
        let mut found = 0;
        for _ in 0..max * DRAWS_PER_SAMPLE {
            if found == max {
                return;
            }
            let index = rng.random_range(0..self.pool.loaded.len());
            found += usize::from(self.add(self.pool.loaded[index].server, Basis::LeastLoad));
        }
    }

    /// Adds the first admissible server of the whole pool from a random position on. Used when
    /// sampling found none.
    pub(crate) fn scan(&mut self, rng: &mut SmallRng) -> Result<(), NoChoice> {
        let len = self.pool.loaded.len();
        let start = rng.random_range(0..len);
        let mut worst = Unavailable::Excluded;
        for step in 0..len {
            let server = self.pool.loaded[(start + step) % len].server;
            let Some(reason) = self.admission.unavailable(server) else {
                self.add(server, Basis::LeastLoad);
                return Ok(());
            };
            worst = worst.max(reason);
        }
        Err(match worst {
            Unavailable::Excluded => NoChoice::NoneLeft,
            Unavailable::Ejected => NoChoice::AllEjected,
            Unavailable::Busy => NoChoice::AllBusy,
        })
    }

    fn add(&mut self, server: ServerKey, source: Basis) -> bool {
        let known = |candidate: &Candidate| candidate.server == server;
        if self.candidates.iter().any(known) || self.admission.unavailable(server).is_some() {
            return false;
        }
        let hit = self.hits.iter().find(|hit| hit.server == server).copied();
        self.candidates.push(Candidate {
            server,
            source,
            hit,
        });
        true
    }
}
