//! The backend servers that long prompts of this instance go to first.

use std::collections::HashMap;
use std::sync::Arc;

use crate::share;

/// Number of instances assigned to a server. A second one may use it while the first has no long
/// prompts.
const ASSIGNED: usize = 2;
/// Maximum number of servers; all are computed again when there are more.
const MAX_SERVERS: usize = 16_384;

/// Which servers are assigned to this instance, computed once for each server.
#[derive(Debug, Default)]
pub struct Assignment {
    own: Arc<str>,
    instances: Vec<Arc<str>>,
    servers: HashMap<Arc<str>, Server>,
}

/// Place of this instance among those of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rank {
    /// It is assigned to the server; 0 for the first one.
    Assigned(usize),
    /// It is not, and has this random number for the server.
    Foreign(u64),
}

#[derive(Debug)]
struct Server {
    assigned: Vec<Arc<str>>,
    rank: Rank,
}

impl Assignment {
    /// Creates the assignment of an instance that knows no others.
    pub fn new(own: Arc<str>) -> Self {
        Self {
            own,
            instances: Vec::new(),
            servers: HashMap::new(),
        }
    }

    /// Sets the advertised instances. Only the servers are computed again whose instances change.
    pub fn set_instances(&mut self, instances: &[Arc<str>]) {
        if self.instances == instances {
            return;
        }
        let is_new = |name: &&Arc<str>| !self.instances.contains(name);
        let added: Vec<&Arc<str>> = instances.iter().filter(is_new).collect();
        self.servers.retain(|id, server| {
            let assigned = server.assigned.iter();
            let weights = assigned
                .clone()
                .map(|name| share::rendezvous_weight(id, name));
            let lowest = weights.min().unwrap_or_default();
            let is_complete = server.assigned.len() == ASSIGNED;
            let mut assigned = assigned;
            let is_present = assigned.all(|name| instances.contains(name));
            let is_higher = |name: &&Arc<str>| share::rendezvous_weight(id, name) > lowest;
            is_complete && is_present && !added.iter().any(is_higher)
        });
        self.instances = instances.to_vec();
    }

    /// Returns the place of this instance among those assigned to a server.
    pub fn rank(&mut self, id: &Arc<str>) -> Rank {
        if let Some(server) = self.servers.get(id) {
            return server.rank;
        }
        if self.servers.len() >= MAX_SERVERS {
            self.servers.clear();
        }
        let instances: Vec<&Arc<str>> = self.instances.iter().collect();
        let assigned = share::assigned_instances(id, &instances, ASSIGNED);
        let rank = assigned.iter().position(|name| **name == self.own);
        let rank = match rank {
            Some(rank) => Rank::Assigned(rank),
            None => Rank::Foreign(share::rendezvous_weight(id, &self.own)),
        };
        let assigned = assigned.into_iter().cloned().collect();
        self.servers.insert(id.clone(), Server { assigned, rank });
        rank
    }

    /// Forgets servers that are no longer listed.
    pub fn retain<Listed>(&mut self, listed: Listed)
    where
        Listed: Fn(&str) -> bool,
    {
        self.servers.retain(|id, _| listed(id));
    }
}
