//! How much this instance keeps running on each backend server, for urgent and for bulk work.

use std::collections::{BTreeMap, BTreeSet};

use fescuewell_core::prelude::*;
use fescuewell_queue::limit::{Class, Limit, Outcome, Settings};
use fescuewell_routing::router::Router;
use fescuewell_routing::server::Headroom;

/// One limit for each backend server, and which of them leave no place.
///
/// Routing is told of every change, so that a choice never looks at a server without a place.
#[derive(Debug)]
pub struct Limits {
    settings: Settings,
    limits: BTreeMap<ServerKey, Place>,
    /// Part of the bulk work of the fleet that is this instance's, from 0 to 1.
    part: f64,
    /// Servers of which routing was told that they lack a place for some class.
    closed: BTreeSet<ServerKey>,
}

/// One server.
#[derive(Debug)]
struct Place {
    limit: Limit,
    concurrency: u32,
    /// Own bulk requests that run there.
    bulk: u32,
}

impl Place {
    /// Most bulk requests of this instance: its part of the server, less the reserve or less what its own urgent
    /// work has needed of late, whichever is more.
    fn bulk_places(&self, now: Instant, part: f64) -> u32 {
        let own = f64::from(self.concurrency) * part;
        let needed = self
            .limit
            .max_in_flight()
            .saturating_sub(self.limit.max_bulk(now));
        let reserve = (own * RESERVE_PERCENT / 100.0).max(f64::from(needed));
        // One place is always left, or bulk work would never run on small parts.
        ((own - reserve) as u32).max(1)
    }
}

/// Part of each server that is kept free of bulk work, in percent.
const RESERVE_PERCENT: f64 = 25.0;

/// Part of the servers that is divided equally, in percent; the rest goes by load. An instance that had
/// nothing to do until now can start with it before the others have heard of its load.
const EQUAL_PERCENT: f64 = 20.0;

/// Part of the fleet's bulk work that is one instance's: `own` of the `all` requests that the `instances` have open.
///
/// With equal parts an instance with heavy callers would use a ninth of the servers while the others
/// stand idle. With no parts at all, several instances see the same free places in the same load
/// report, take them all with bulk work, and urgent requests wait for these streams to end.
pub fn part(own: u32, all: u32, instances: usize) -> f64 {
    let equal = 1.0 / instances.max(1) as f64;
    let by_load = match all {
        0 => equal,
        all => f64::from(own.min(all)) / f64::from(all),
    };
    (equal * EQUAL_PERCENT + by_load * (100.0 - EQUAL_PERCENT)) / 100.0
}

impl Limits {
    /// No servers yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            limits: BTreeMap::new(),
            part: 1.0,
            closed: BTreeSet::new(),
        }
    }

    /// Sets the part of the bulk work that is this instance's; see [`part`].
    pub fn set_part(&mut self, part: f64) {
        self.part = part;
    }

    /// Takes over the servers of a document.
    pub fn set_servers<Servers>(&mut self, servers: Servers)
    where
        Servers: Iterator<Item = (ServerKey, u32)>,
    {
        let mut old = std::mem::take(&mut self.limits);
        for (key, concurrency) in servers {
            let share = f64::from(concurrency);
            let mut place = old.remove(&key).unwrap_or_else(|| Place {
                limit: Limit::new(self.settings.clone(), share),
                concurrency,
                bulk: 0,
            });
            place.limit.set_share(share);
            place.concurrency = concurrency;
            self.limits.insert(key, place);
        }
        // A place that went with its server must not stay closed under the same key.
        let limits = &self.limits;
        self.closed.retain(|key| limits.contains_key(key));
    }

    /// Takes a place on a server.
    pub fn start(&mut self, now: Instant, server: ServerKey, class: Class, router: &mut Router) {
        if let Some(place) = self.limits.get_mut(&server) {
            place.limit.try_start(now, class);
            place.bulk += u32::from(class == Class::Bulk);
        }
        self.tell(now, server, router);
    }

    /// Gives it back.
    pub fn finish(&mut self, now: Instant, ended: Ended, router: &mut Router) {
        if let Some(place) = self.limits.get_mut(&ended.server) {
            place.limit.finish(now, ended.class, ended.outcome);
            let bulk = u32::from(ended.class == Class::Bulk);
            place.bulk = place.bulk.saturating_sub(bulk);
        }
        self.tell(now, ended.server, router);
    }

    /// An urgent request found no place on any of these servers.
    pub fn crowded(&mut self, now: Instant, servers: &[ServerKey]) {
        for server in servers {
            if let Some(place) = self.limits.get_mut(server) {
                place.limit.raise_reserve(now);
            }
        }
    }

    /// Looks again at servers without a place: some come free by time alone.
    pub fn review(&mut self, now: Instant, router: &mut Router) {
        for server in self.closed.clone() {
            self.tell(now, server, router);
        }
    }

    /// Tells routing of all servers anew, after it took over a document.
    pub fn tell_all(&mut self, now: Instant, router: &mut Router) {
        let servers: Vec<ServerKey> = self.limits.keys().copied().collect();
        for server in servers {
            self.tell(now, server, router);
        }
    }

    fn tell(&mut self, now: Instant, server: ServerKey, router: &mut Router) {
        let Some(place) = self.limits.get(&server) else {
            return;
        };
        let bulk_places = place.bulk_places(now, self.part);
        let headroom = Headroom {
            urgent: place.limit.can_start(now, Class::Urgent),
            bulk: place.bulk < bulk_places && place.limit.can_start(now, Class::Bulk),
        };
        match headroom.urgent && headroom.bulk {
            true => self.closed.remove(&server),
            false => self.closed.insert(server),
        };
        router.set_headroom(server, headroom);
    }
}

/// An attempt that ended.
#[derive(Debug, Clone, Copy)]
pub struct Ended {
    /// Where it ran.
    pub server: ServerKey,
    /// The class under which it took its place.
    pub class: Class,
    /// How it ended.
    pub outcome: Outcome,
}
