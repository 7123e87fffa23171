//! Concurrency limits of this instance per backend server, for urgent and bulk work.

use std::collections::{BTreeMap, BTreeSet};

use fescuewell_core::prelude::*;
use fescuewell_queue::limit::{Class, Limit, Outcome, Settings};
use fescuewell_routing::router::Router;
use fescuewell_routing::server::Headroom;

/// The limit of each backend server, and which servers have no headroom.
///
/// Every change is passed to the router, so that it skips servers without headroom.
#[derive(Debug)]
pub struct Limits {
    settings: Settings,
    servers: BTreeMap<ServerKey, ServerLimit>,
    /// This instance's share of the fleet's bulk work, from 0 to 1.
    bulk_share: f64,
    /// Servers that have no headroom for at least one class, as last passed to the router.
    without_headroom: BTreeSet<ServerKey>,
}

/// The limit of one server.
#[derive(Debug)]
struct ServerLimit {
    limit: Limit,
    concurrency: u32,
    /// Bulk requests of this instance in flight on the server.
    bulk_in_flight: u32,
}

impl ServerLimit {
    /// Returns this instance's maximum concurrent bulk requests: its share of the server, minus the
    /// larger of the reserve and the recent need of its own urgent work.
    fn max_bulk(&self, now: Instant, bulk_share: f64) -> u32 {
        let own = f64::from(self.concurrency) * bulk_share;
        let needed = self
            .limit
            .max_in_flight()
            .saturating_sub(self.limit.max_bulk(now));
        let reserve = (own * RESERVE_PERCENT / 100.0).max(f64::from(needed));
        // At least one request is allowed, or bulk work would never run on small shares.
        ((own - reserve) as u32).max(1)
    }
}

/// Share of each server that is reserved for urgent work, in percent.
const RESERVE_PERCENT: f64 = 25.0;

/// Share of the servers that is divided equally, in percent; the rest is divided by load. It lets a
/// previously idle instance start bulk work before the others have learned of its load.
const EQUAL_SHARE_PERCENT: f64 = 20.0;

/// Returns an instance's share of the fleet's bulk work: `own` of the `all` requests that the
/// `instances` have open.
///
/// With equal shares, an instance with heavy callers would use a ninth of the servers while the rest are
/// idle. Without shares, several instances would see the same free capacity in the same load report and
/// fill it with bulk work, and urgent requests would wait for these streams to end.
pub fn bulk_share(own: u32, all: u32, instances: usize) -> f64 {
    let equal = 1.0 / instances.max(1) as f64;
    let by_load = match all {
        0 => equal,
        all => f64::from(own.min(all)) / f64::from(all),
    };
    (equal * EQUAL_SHARE_PERCENT + by_load * (100.0 - EQUAL_SHARE_PERCENT)) / 100.0
}

impl Limits {
    /// Creates limits without servers.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
            bulk_share: 1.0,
            without_headroom: BTreeSet::new(),
        }
    }

    /// Sets this instance's share of the bulk work; see [`bulk_share`].
    pub fn set_bulk_share(&mut self, bulk_share: f64) {
        self.bulk_share = bulk_share;
    }

    /// Sets the servers and their concurrency from a document.
    pub fn set_servers<Servers>(&mut self, servers: Servers)
    where
        Servers: Iterator<Item = (ServerKey, u32)>,
    {
        let mut old = std::mem::take(&mut self.servers);
        for (key, concurrency) in servers {
            let share = f64::from(concurrency);
            let mut server_limit = old.remove(&key).unwrap_or_else(|| ServerLimit {
                limit: Limit::new(self.settings.clone(), share),
                concurrency,
                bulk_in_flight: 0,
            });
            server_limit.limit.set_share(share);
            server_limit.concurrency = concurrency;
            self.servers.insert(key, server_limit);
        }
        // A removed server must not stay marked as full, since its key may be used again.
        let known = &self.servers;
        self.without_headroom.retain(|key| known.contains_key(key));
    }

    /// Records the start of an attempt on a server.
    pub fn start(&mut self, now: Instant, server: ServerKey, class: Class, router: &mut Router) {
        if let Some(server_limit) = self.servers.get_mut(&server) {
            server_limit.limit.try_start(now, class);
            server_limit.bulk_in_flight += u32::from(class == Class::Bulk);
        }
        self.update_headroom(now, server, router);
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, now: Instant, completion: Completion, router: &mut Router) {
        if let Some(server_limit) = self.servers.get_mut(&completion.server) {
            server_limit
                .limit
                .finish(now, completion.class, completion.outcome);
            let bulk = u32::from(completion.class == Class::Bulk);
            server_limit.bulk_in_flight = server_limit.bulk_in_flight.saturating_sub(bulk);
        }
        self.update_headroom(now, completion.server, router);
    }

    /// Raises the urgent reserve of these servers after an urgent request found all of them full.
    pub fn raise_reserves(&mut self, now: Instant, servers: &[ServerKey]) {
        for server in servers {
            if let Some(server_limit) = self.servers.get_mut(server) {
                server_limit.limit.raise_reserve(now);
            }
        }
    }

    /// Updates the servers without headroom, since some regain it through the passage of time alone.
    pub fn refresh(&mut self, now: Instant, router: &mut Router) {
        for server in self.without_headroom.clone() {
            self.update_headroom(now, server, router);
        }
    }

    /// Passes the headroom of all servers to the router, after a change of the document.
    pub fn update_all_headroom(&mut self, now: Instant, router: &mut Router) {
        let servers: Vec<ServerKey> = self.servers.keys().copied().collect();
        for server in servers {
            self.update_headroom(now, server, router);
        }
    }

    fn update_headroom(&mut self, now: Instant, server: ServerKey, router: &mut Router) {
        let Some(server_limit) = self.servers.get(&server) else {
            return;
        };
        let max_bulk = server_limit.max_bulk(now, self.bulk_share);
        let headroom = Headroom {
            urgent: server_limit.limit.can_start(now, Class::Urgent),
            bulk: server_limit.bulk_in_flight < max_bulk
                && server_limit.limit.can_start(now, Class::Bulk),
        };
        match headroom.urgent && headroom.bulk {
            true => self.without_headroom.remove(&server),
            false => self.without_headroom.insert(server),
        };
        router.set_headroom(server, headroom);
    }
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct Completion {
    /// Server that the attempt ran on.
    pub server: ServerKey,
    /// Class under which the attempt was counted.
    pub class: Class,
    /// Outcome of the attempt.
    pub outcome: Outcome,
}
