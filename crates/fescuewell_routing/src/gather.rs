//! Collection of the candidates for one choice, and who may be one.

use fescuewell_core::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::choice::{Basis, NoChoice, Query};
use crate::pool::Pool;
use crate::prefix::Hit;
use crate::server::{Entry, Headroom};
use crate::settings::{Settings, millis};

/// Random draws per wanted sample, before the draw is given up.
const DRAWS_PER_SAMPLE: usize = 3;
/// Fewest own streams that a returning server may have.
const SHARE_LEAST: f32 = 1.0;

/// Why a server cannot take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Closed {
    Gone,
    Ejected,
    Busy,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) server: ServerKey,
    pub(crate) source: Basis,
    pub(crate) hit: Option<Hit>,
}

/// Decides whether a server can take the request.
pub(crate) struct Admission<'a> {
    pub(crate) now: Instant,
    pub(crate) query: &'a Query<'a>,
    pub(crate) entries: &'a [Option<Entry>],
    pub(crate) settings: &'a Settings,
    pub(crate) instances: u32,
}

impl Admission<'_> {
    fn closed(&self, server: ServerKey) -> Option<Closed> {
        let Some(Some(entry)) = self.entries.get(server.0 as usize) else {
            return Some(Closed::Gone);
        };
        if entry.leaving || self.query.exclude.contains(&server) {
            return Some(Closed::Gone);
        }
        let share = entry.health.share(self.now, &self.settings.health);
        if share <= 0.0 {
            return Some(Closed::Ejected);
        }
        self.busy(entry, share).then_some(Closed::Busy)
    }

    fn has_room(&self, room: Headroom) -> bool {
        match self.query.urgent {
            true => room.urgent,
            false => room.bulk,
        }
    }

    fn busy(&self, entry: &Entry, share: f32) -> bool {
        if self.now < entry.busy_until {
            return true;
        }
        let own = entry.streams.len() as f32;
        let mut limit = entry.concurrency as f32;
        let keeps_reserve = match entry.room {
            Some(room) if !self.has_room(room) => return true,
            // The caller's limit keeps a reserve, and counts bulk work alone against it. A reserve taken from
            // all streams here would leave bulk work that is owed its floor no place on a server
            // that urgent work fills.
            Some(_) => false,
            None => true,
        };
        if keeps_reserve && !self.query.urgent {
            limit -= limit * f32::from(self.settings.urgent_reserve_percent) / 100.0;
        }
        if share < 1.0 {
            // Each instance lets the server back in by itself, so each takes its own part only.
            limit = (limit * share / self.instances as f32)
                .floor()
                .max(SHARE_LEAST);
            return own >= limit;
        }
        // What others are expected to send counts in the comparison, not in a refusal: a guess
        // must not turn a request away.
        let others = entry
            .others
            .reported(self.now, millis(self.settings.report_life_ms));
        own + others + 1.0 > limit.max(1.0)
    }
}

/// Collects candidates from one pool.
pub(crate) struct Gathering<'a> {
    pub(crate) admission: Admission<'a>,
    pub(crate) pool: &'a Pool,
    pub(crate) hits: &'a [Hit],
    pub(crate) candidates: &'a mut Vec<Candidate>,
}

impl Gathering<'_> {
    /// Servers that probably hold a part of the prompt.
    pub(crate) fn holders(&mut self, most: usize) {
        for index in 0..self.hits.len() {
            if self.candidates.len() >= most {
                return;
            }
            let server = self.hits[index].server;
            let Some(Some(entry)) = self.admission.entries.get(server.0 as usize) else {
                continue;
            };
            if !self.pool.holds(server, entry.ring) {
                continue;
            }
            self.add(server, Basis::PrefixHit);
        }
    }

    /// The first servers after the prompt's first block on the ring of names. All instances see
    /// the same ones without talking to each other, so a prefix gathers there. When the first home
    /// is loaded, the next one costs less and a large account spreads to it.
    pub(crate) fn homes(&mut self, most: usize) {
        let Some(first) = self.admission.query.prefix.first() else {
            return;
        };
        let pool = self.pool;
        for server in pool.after(first.0 as u64).take(most) {
            self.add(server, Basis::PrefixHome);
        }
    }

    /// A random few. More would not help: all instances would agree on the seemingly best one.
    pub(crate) fn samples(&mut self, most: usize, random: &mut SmallRng) {
        let mut found = 0;
        for _ in 0..most * DRAWS_PER_SAMPLE {
            if found == most {
                return;
            }
            let index = random.random_range(0..self.pool.loaded.len());
            found += usize::from(self.add(self.pool.loaded[index].server, Basis::LeastLoad));
        }
    }

    /// Looks at the whole pool, from a random place on, after the draws found nobody.
    pub(crate) fn anyone(&mut self, random: &mut SmallRng) -> Result<(), NoChoice> {
        let len = self.pool.loaded.len();
        let start = random.random_range(0..len);
        let mut worst = Closed::Gone;
        for step in 0..len {
            let server = self.pool.loaded[(start + step) % len].server;
            let Some(closed) = self.admission.closed(server) else {
                self.add(server, Basis::LeastLoad);
                return Ok(());
            };
            worst = worst.max(closed);
        }
        Err(match worst {
            Closed::Gone => NoChoice::NoneLeft,
            Closed::Ejected => NoChoice::AllEjected,
            Closed::Busy => NoChoice::AllBusy,
        })
    }

    fn add(&mut self, server: ServerKey, source: Basis) -> bool {
        let known = |candidate: &Candidate| candidate.server == server;
        if self.candidates.iter().any(known) || self.admission.closed(server).is_some() {
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
