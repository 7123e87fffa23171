//! Request rates that backend servers accept from the whole fleet.
//!
//! A server in need declares in its responses how many requests per second it takes from all
//! instances together. Only the instances *assigned* to it send to it from then on, each at its
//! share; see [`crate::share`]. Their number follows from the limit and not from the size of the
//! fleet, since each of them may hold the credit for a request when the window of the limit begins.
//!
//! Instances learn of a limit, and of its end, from the server's responses and from each other. The
//! newest declaration counts, in whatever order they arrive.

use std::collections::HashMap;
use std::sync::Arc;

use super::Declared;
use crate::server::{Entry, Incarnation};
use crate::share::{self, Bucket};

/// Minimum number of instances assigned to a server, if there are so many. One of them may be down
/// or without traffic.
pub const MIN_ASSIGNED: usize = 2;
/// Minimum rate in requests per second at which a server gets requests, all instances together. Its
/// responses are the only sign of the end of a limit.
pub const MIN_RATE_PER_S: f64 = 0.1;
/// Mean interval in milliseconds between two requests of unassigned instances to a server with a
/// limit of one request per second, all of them together. It only matters for instances that no
/// other instance can reach.
const RECHECK_INTERVAL_MS: f64 = 10_000.0;
/// Time in milliseconds for which an unassigned instance may send its request. One without traffic
/// at that time skips it, so that requests do not accumulate.
const RECHECK_WINDOW_MS: u64 = 2_000;
/// Age in milliseconds up to which a declaration is recent. Other instances still send to the
/// server then, so that a recheck is not needed.
const RECENT_MS: u64 = 10_000;
/// Time in milliseconds for which the end of a limit is kept. Older declarations are ignored, so
/// that they cannot restore the limit.
const DECLARATION_TTL_MS: u64 = 60_000;
/// Maximum number of servers.
const MAX_SERVERS: usize = 4_096;

fescuewell_core::data! {
    /// Request rate in thousandths of a request per second.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct Rate(u64);

    /// Declaration of a server, as exchanged between instances.
    pub struct Update {
        /// Id of the server.
        pub server: Arc<str>,
        /// Incarnation of the server.
        pub incarnation: Incarnation,
        /// Its limit, or `None` if it has none any more.
        pub limit: Option<Rate>,
        /// Time of the response in milliseconds of the store's clock.
        pub at_ms: u64,
    }
}

impl Rate {
    /// Creates a rate from requests per second. Returns `None` for a negative or infinite number.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        // The cast saturates.
        (per_s.is_finite() && per_s >= 0.0).then_some(Self((per_s * 1_000.0) as u64))
    }

    /// Returns the requests per second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Number of instances that send to a server with this limit.
    pub fn assigned_count(self) -> usize {
        (self.per_s().ceil() as usize).max(MIN_ASSIGNED)
    }

    /// Returns the requests per second that the server gets from all instances together.
    fn effective_per_s(self) -> f64 {
        self.per_s().max(MIN_RATE_PER_S)
    }
}

impl std::fmt::Display for Rate {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.per_s())
    }
}

/// A moment on the clocks of this instance and of the store, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Time of the local clock.
    pub local_ms: u64,
    /// Time of the store's clock, equal on all instances within some milliseconds.
    pub store_ms: u64,
}

/// Change of a server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Limit before.
    pub former: Option<Rate>,
    /// Limit from now on.
    pub limit: Option<Rate>,
}

/// This instance's part in the requests to a server with a limit.
#[derive(Debug, Clone, Copy)]
struct Share {
    /// Number of instances assigned to the server.
    count: usize,
    /// Whether this instance is one of them. Others send nothing but rechecks.
    is_assigned: bool,
    /// Credit for requests at a share of the limit. It grows also while the instance is not
    /// assigned, or frequent changes of the assignment would leave all of them without credit.
    bucket: Bucket,
    /// Time of the last recheck on the local clock.
    rechecked_at_ms: Option<u64>,
}

/// Last declaration of a server.
#[derive(Debug)]
struct Declaration {
    incarnation: Incarnation,
    limit: Option<Rate>,
    /// Time of the response on the store's clock.
    at_ms: u64,
    /// When this instance learned of the limit, on the local clock.
    learned_at_ms: u64,
    share: Share,
}

/// Limits of the backend servers, as known to one instance.
#[derive(Debug)]
pub struct Limits {
    instance: Arc<str>,
    /// Instances that receive callers' requests.
    instances: Vec<Arc<str>>,
    /// Number of live instances.
    fleet_size: usize,
    servers: HashMap<Arc<str>, Declaration>,
    /// Servers whose changes have not been sent to other instances.
    fresh: Vec<Arc<str>>,
    next_sample: usize,
}

impl Limits {
    /// Creates an empty table for an instance.
    pub fn new(instance: Arc<str>) -> Self {
        Self {
            instance,
            instances: Vec::new(),
            fleet_size: 1,
            servers: HashMap::new(),
            fresh: Vec::new(),
            next_sample: 0,
        }
    }

    /// Sets the instances that receive callers' requests and the number of live ones.
    pub fn set_instances(&mut self, instances: &[Arc<str>], fleet_size: usize) {
        self.fleet_size = fleet_size.max(1);
        if self.instances == instances {
            return;
        }
        self.instances = instances.to_vec();
        let mut servers = std::mem::take(&mut self.servers);
        for (server, declaration) in &mut servers {
            if let Some(limit) = declaration.limit {
                declaration.share = self.share(server, limit, declaration.share);
            }
        }
        self.servers = servers;
    }

    /// Records what a response to a request sent at `sent_at_ms` of the local clock declares.
    /// Returns the change, if any.
    ///
    /// A response without a limit ends one only if its request was sent when the limit was known:
    /// responses may overtake each other.
    pub fn record(
        &mut self,
        server: &Entry,
        declared: Declared<Rate>,
        sent_at_ms: u64,
        now: Moment,
    ) -> Option<Change> {
        let limit = match declared {
            Declared::Malformed => return None,
            Declared::Value(limit) => Some(limit),
            Declared::Absent => {
                let known = self.servers.get(&server.id)?;
                if known.limit.is_none() || sent_at_ms < known.learned_at_ms {
                    return None;
                }
                None
            }
        };
        self.apply(
            Update {
                server: server.id.clone(),
                incarnation: server.incarnation(),
                limit,
                at_ms: now.store_ms,
            },
            now,
        )
    }

    /// Merges a declaration that another instance has seen, of the listed incarnation of a server.
    /// Returns the change, if any.
    pub fn merge(&mut self, update: Update, now: Moment) -> Option<Change> {
        let update = Update {
            // A time ahead of the store's clock would hide later declarations.
            at_ms: update.at_ms.min(now.store_ms),
            ..update
        };
        if update.at_ms + DECLARATION_TTL_MS < now.store_ms {
            return None;
        }
        let known = self.servers.get(&update.server);
        let known = known.filter(|known| known.incarnation == update.incarnation);
        if known.is_some_and(|known| !is_newer(&update, known)) {
            return None;
        }
        self.apply(update, now)
    }

    /// Stores the newest declaration of a server.
    fn apply(&mut self, update: Update, now: Moment) -> Option<Change> {
        let known = self.servers.get(&update.server);
        let known = known.filter(|known| known.incarnation == update.incarnation);
        let former = known.and_then(|known| known.limit);
        let is_changed = former != update.limit;
        let learned_at_ms = known.map(|known| known.learned_at_ms);
        let learned_at_ms = learned_at_ms.filter(|_| !is_changed);
        let share = known.map(|known| known.share);
        let share = share.filter(|_| former.is_some());
        let share = share.unwrap_or(Share::new(now.local_ms));
        let share = match update.limit.filter(|_| is_changed) {
            Some(limit) => self.share(&update.server, limit, share),
            None => share,
        };
        let declaration = Declaration {
            incarnation: update.incarnation,
            limit: update.limit,
            at_ms: update.at_ms,
            learned_at_ms: learned_at_ms.unwrap_or(now.local_ms),
            share,
        };
        let replaced = self.servers.insert(update.server.clone(), declaration);
        let is_new = replaced.is_none();
        if is_changed && !self.fresh.contains(&update.server) {
            self.fresh.push(update.server);
        }
        if is_new {
            self.shrink(now.store_ms);
        }
        let limit = update.limit;
        is_changed.then_some(Change { former, limit })
    }

    /// Returns this instance's share of a limit, with the credit of the former one.
    fn share(&self, server: &str, limit: Rate, former: Share) -> Share {
        let instances: Vec<&Arc<str>> = self.instances.iter().collect();
        let assigned = share::assigned_instances(server, &instances, limit.assigned_count());
        Share {
            count: assigned.len().max(1),
            is_assigned: assigned.contains(&&self.instance),
            ..former
        }
    }

    /// Returns a server's limit, if it has one.
    pub fn get(&self, server: &str) -> Option<Rate> {
        self.servers.get(server)?.limit
    }

    /// Returns `true` if no server has declared a limit lately.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Number of servers with a limit.
    pub fn count(&self) -> usize {
        let declarations = self.servers.values();
        declarations.filter(|known| known.limit.is_some()).count()
    }

    /// Returns the time until this instance may send a request to a server, in milliseconds; 0 if
    /// it may send one now.
    pub fn wait_ms(&self, server: &str, now: Moment) -> u64 {
        let Some(known) = self.servers.get(server) else {
            return 0;
        };
        let Some(limit) = known.limit else {
            return 0;
        };
        let share = known.share;
        if share.is_assigned {
            return share.bucket.wait_ms(share.per_s(limit), now.local_ms);
        }
        let is_recent = now.store_ms < known.at_ms + RECENT_MS;
        let is_done = share
            .rechecked_at_ms
            .is_some_and(|at_ms| now.local_ms < at_ms + RECHECK_WINDOW_MS);
        let until_ms = self.recheck(server, limit).wait_ms(now.store_ms);
        match is_recent || is_done {
            true => until_ms.max(RECENT_MS),
            false => until_ms,
        }
    }

    /// Records that a request is sent to a server.
    pub fn record_send(&mut self, server: &str, now: Moment) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        let Some(limit) = known.limit else {
            return;
        };
        let share = &mut known.share;
        share.bucket.take(share.per_s(limit), now.local_ms);
        if !share.is_assigned {
            share.rechecked_at_ms = Some(now.local_ms);
        }
    }

    /// Returns the mean interval between two requests that a server gets from all instances, in
    /// milliseconds, or `None` if it has no limit.
    pub fn interval_ms(&self, server: &str) -> Option<u64> {
        let limit = self.get(server)?;
        Some((1_000.0 / limit.effective_per_s()) as u64)
    }

    fn recheck(&self, server: &str, limit: Rate) -> Recheck {
        let interval_ms = RECHECK_INTERVAL_MS / limit.effective_per_s();
        let period_ms = (interval_ms * self.fleet_size as f64) as u64;
        let period_ms = period_ms.max(2 * RECHECK_WINDOW_MS);
        Recheck {
            period_ms,
            phase_ms: share::rendezvous_weight(server, &self.instance) % period_ms,
        }
    }

    /// Takes up to `most` changed declarations, to be sent to other instances.
    pub fn take_fresh(&mut self, most: usize) -> Vec<Update> {
        let later = self.fresh.split_off(self.fresh.len().min(most));
        let servers = std::mem::replace(&mut self.fresh, later);
        self.updates(servers)
    }

    /// Returns up to `most` declarations, rotating through all of them, to repair lost updates.
    pub fn sample(&mut self, most: usize) -> Vec<Update> {
        let mut servers: Vec<Arc<str>> = self.servers.keys().cloned().collect();
        if servers.is_empty() {
            return Vec::new();
        }
        servers.sort_unstable();
        let start = self.next_sample % servers.len();
        self.next_sample = start + most;
        servers.rotate_left(start);
        servers.truncate(most);
        self.updates(servers)
    }

    fn updates(&self, servers: Vec<Arc<str>>) -> Vec<Update> {
        let mut updates = Vec::with_capacity(servers.len());
        for server in servers {
            let Some(known) = self.servers.get(&server) else {
                continue;
            };
            updates.push(Update {
                server,
                incarnation: known.incarnation,
                limit: known.limit,
                at_ms: known.at_ms,
            });
        }
        updates
    }

    /// Forgets a server that has restarted or is gone.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
        self.fresh.retain(|fresh| **fresh != *server);
    }

    /// Drops ended limits after a while, and the oldest declarations if there are too many.
    pub fn shrink(&mut self, store_ms: u64) {
        self.servers.retain(|_, known| {
            known.limit.is_some() || store_ms <= known.at_ms + DECLARATION_TTL_MS
        });
        while self.servers.len() > MAX_SERVERS {
            let oldest = self.servers.iter().min_by_key(|(_, known)| known.at_ms);
            let Some(server) = oldest.map(|(server, _)| server.clone()) else {
                return;
            };
            self.forget(&server);
        }
    }
}

impl Share {
    /// Creates the share of a limit that has just become known. It has no credit, since the request
    /// that told of the limit was one.
    fn new(now_ms: u64) -> Self {
        Self {
            count: 1,
            is_assigned: false,
            bucket: Bucket::empty(now_ms),
            rechecked_at_ms: None,
        }
    }

    /// Returns the requests per second of one assigned instance.
    fn per_s(&self, limit: Rate) -> f64 {
        limit.effective_per_s() / self.count as f64
    }
}

/// Returns `true` if an update is newer than what is known. Of two at the same time the stricter
/// one counts, so that all instances agree.
fn is_newer(update: &Update, known: &Declaration) -> bool {
    let strictness = |limit: Option<Rate>| limit.map_or((0, 0), |Rate(rate)| (1, u64::MAX - rate));
    let new = (update.at_ms, strictness(update.limit));
    new > (known.at_ms, strictness(known.limit))
}

/// Times at which an unassigned instance may send a request, on the store's clock.
struct Recheck {
    period_ms: u64,
    phase_ms: u64,
}

impl Recheck {
    /// Returns the time until the next recheck, or 0 during one.
    fn wait_ms(&self, store_ms: u64) -> u64 {
        let elapsed_ms = (store_ms + self.period_ms - self.phase_ms) % self.period_ms;
        match elapsed_ms < RECHECK_WINDOW_MS {
            true => 0,
            false => self.period_ms - elapsed_ms,
        }
    }
}
