//! How much this instance keeps running on each backend server, for urgent and for bulk work.

use std::collections::{BTreeMap, BTreeSet};

use fescuewell_core::prelude::*;
use fescuewell_queue::limit::{Class, Limit, Outcome, Settings};
use fescuewell_routing::router::Router;
use fescuewell_routing::server::Room;

/// One limit for each backend server, and which of them leave no place.
///
/// Routing is told of every change, so that a choice never looks at a server without a place.
#[derive(Debug)]
pub struct Limits {
    settings: Settings,
    limits: BTreeMap<ServerKey, Limit>,
    /// Servers of which routing was told that they lack a place for some class.
    closed: BTreeSet<ServerKey>,
}

impl Limits {
    /// No servers yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            limits: BTreeMap::new(),
            closed: BTreeSet::new(),
        }
    }

    /// Takes over the servers of a document and the number of instances that share them.
    pub fn set_servers<Servers>(&mut self, servers: Servers, instances: usize)
    where
        Servers: Iterator<Item = (ServerKey, u32)>,
    {
        let mut old = std::mem::take(&mut self.limits);
        for (key, concurrency) in servers {
            let share = f64::from(concurrency) / instances.max(1) as f64;
            let limit = match old.remove(&key) {
                Some(mut limit) => {
                    limit.set_share(share);
                    limit
                }
                None => Limit::new(self.settings.clone(), share),
            };
            self.limits.insert(key, limit);
        }
        // A place that went with its server must not stay closed under the same key.
        let limits = &self.limits;
        self.closed.retain(|key| limits.contains_key(key));
    }

    /// Takes a place on a server.
    pub fn start(&mut self, now: Instant, server: ServerKey, class: Class, router: &mut Router) {
        if let Some(limit) = self.limits.get_mut(&server) {
            limit.try_start(now, class);
        }
        self.tell(now, server, router);
    }

    /// Gives it back.
    pub fn finish(&mut self, now: Instant, ended: Ended, router: &mut Router) {
        if let Some(limit) = self.limits.get_mut(&ended.server) {
            limit.finished(now, ended.class, ended.outcome);
        }
        self.tell(now, ended.server, router);
    }

    /// An urgent request found no place on any of these servers.
    pub fn crowded(&mut self, now: Instant, servers: &[ServerKey]) {
        for server in servers {
            if let Some(limit) = self.limits.get_mut(server) {
                limit.crowded(now);
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
        let Some(limit) = self.limits.get(&server) else {
            return;
        };
        let room = Room {
            urgent: limit.has_place(now, Class::Urgent),
            bulk: limit.has_place(now, Class::Bulk),
        };
        match room.urgent && room.bulk {
            true => self.closed.remove(&server),
            false => self.closed.insert(server),
        };
        router.set_room(server, room);
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
