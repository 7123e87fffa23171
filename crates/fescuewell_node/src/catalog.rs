//! The document in force, turned into keys, policies and pools.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_budget::policy::Policy as BudgetPolicy;
use fescuewell_core::prelude::*;
use fescuewell_document::model::{Document, Server, ServerRole};
use fescuewell_queue::admission::{GroupPolicy, KindPolicy};
use fescuewell_routing::server::Spec as ServerSpec;

use crate::request::Work;

/// Where a backend server is and what it does.
#[derive(Debug, Clone)]
pub struct Place {
    /// Its name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it does.
    pub role: ServerRole,
    /// Most requests that the whole fleet keeps on it at once.
    pub concurrency: u32,
}

/// Which backend servers may run a piece of work.
#[derive(Debug, Clone)]
pub struct Reach {
    /// Their keys, sorted.
    pub servers: Arc<[ServerKey]>,
    /// Number of this set together with the model; requests of one pool are interchangeable to the queue.
    pub pool: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PoolName {
    wanted: Arc<str>,
    servers: Arc<[ServerKey]>,
}

/// Keys, policies and pools. Keys stay the same from document to document, so that what the
/// machines remember of a group or backend server outlives a change of the document.
#[derive(Debug, Default)]
pub struct Catalog {
    groups: Interner<GroupKey>,
    kinds: Interner<KindKey>,
    servers: Interner<ServerKey>,
    places: HashMap<ServerKey, Place>,
    /// Servers that an earlier document named and this one does not.
    former: HashMap<ServerKey, Place>,
    reach: HashMap<(GroupKey, Arc<str>), Reach>,
    pools: HashMap<PoolName, u32>,
    priorities: HashMap<KindKey, u8>,
    document: Arc<Document>,
    version: Version,
}

impl Catalog {
    /// Takes over a newer document.
    pub fn replace(&mut self, version: Version, document: Arc<Document>) {
        self.version = version;
        self.document = document.clone();
        self.former.extend(self.places.drain());
        self.reach.clear();
        self.priorities.clear();
        for server in &document.servers {
            self.add_server(server);
        }
        for kind in &document.kinds {
            let key = self.kinds.intern(&kind.name);
            self.priorities.insert(key, kind.priority);
        }
        for group in &document.groups {
            self.groups.intern(&group.name);
        }
    }

    fn add_server(&mut self, server: &Server) {
        let key = self.servers.intern(&server.name);
        let place = Place {
            name: server.name.clone(),
            address: server.address,
            role: server.role,
            concurrency: server.concurrency,
        };
        self.former.remove(&key);
        self.places.insert(key, place);
    }

    /// Every backend server that a document named since the start of this process.
    ///
    /// A server that was taken out of the document may still run streams. A sweep that did not ask it
    /// would free money that these streams go on spending.
    pub fn all_places(&self) -> impl Iterator<Item = &Place> {
        self.places.values().chain(self.former.values())
    }

    /// Where the backend server of that name is, or was in an earlier document.
    pub fn any_place_of(&self, name: &str) -> Option<&Place> {
        let key = self.servers.get(name)?;
        self.places.get(&key).or_else(|| self.former.get(&key))
    }

    /// The document in force.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Its version; 0 before the first one.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Key of a group of the document in force.
    pub fn group(&self, name: &str) -> Option<GroupKey> {
        self.groups.get(name)
    }

    /// Name of a group.
    pub fn group_name(&self, key: GroupKey) -> &Arc<str> {
        self.groups.name(key)
    }

    /// Key of a kind of request of the document in force.
    pub fn kind(&self, name: &str) -> Option<KindKey> {
        let key = self.kinds.get(name)?;
        self.priorities.contains_key(&key).then_some(key)
    }

    /// Name of a kind.
    pub fn kind_name(&self, key: KindKey) -> &Arc<str> {
        self.kinds.name(key)
    }

    /// Whether a kind is among the most urgent ones.
    pub fn is_urgent(&self, kind: KindKey) -> bool {
        let least = self.priorities.values().min();
        self.priorities.get(&kind) == least
    }

    /// Priority of a kind; 0 is the most urgent.
    pub fn priority(&self, kind: KindKey) -> u8 {
        self.priorities.get(&kind).copied().unwrap_or(u8::MAX)
    }

    /// Key of a backend server that was ever named.
    pub fn server(&self, name: &str) -> Option<ServerKey> {
        self.servers.get(name)
    }

    /// Where a backend server of the document in force is.
    pub fn place(&self, key: ServerKey) -> Option<&Place> {
        self.places.get(&key)
    }

    /// Where the backend server of that name is.
    pub fn place_of(&self, name: &str) -> Option<&Place> {
        self.servers.get(name).and_then(|key| self.places.get(&key))
    }

    /// Backend servers of the document in force.
    pub fn places(&self) -> impl Iterator<Item = (ServerKey, &Place)> {
        self.places.iter().map(|(key, place)| (*key, place))
    }

    /// Which backend servers may run `work` for `group`; empty when there is none.
    pub fn reach(&mut self, group: GroupKey, work: &Work) -> Reach {
        let wanted = match work {
            Work::Model { model, .. } => model.clone(),
            Work::Call { service, .. } => Arc::from(format!("service/{service}")),
        };
        if let Some(known) = self.reach.get(&(group, wanted.clone())) {
            return known.clone();
        }
        let servers: Arc<[ServerKey]> = self.find_servers(group, work).into();
        let next = self.pools.len() as u32;
        let name = PoolName {
            wanted: wanted.clone(),
            servers: servers.clone(),
        };
        let pool = *self.pools.entry(name).or_insert(next);
        let reach = Reach { servers, pool };
        self.reach.insert((group, wanted), reach.clone());
        reach
    }

    fn find_servers(&self, group: GroupKey, work: &Work) -> Vec<ServerKey> {
        let name = self.groups.name(group);
        let Some(group) = self
            .document
            .groups
            .iter()
            .find(|known| known.name == *name)
        else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for server in &self.document.servers {
            if !group.reach.contains(&server.name) || !self.serves(server, work) {
                continue;
            }
            found.extend(self.servers.get(&server.name));
        }
        found.sort_unstable();
        found
    }

    fn serves(&self, server: &Server, work: &Work) -> bool {
        match work {
            Work::Model { model, .. } => server.models.contains(model),
            Work::Call { service, .. } => {
                let mut services = self.document.services.iter();
                services.any(|known| known.name == *service && known.servers.contains(&server.name))
            }
        }
    }

    /// What the ledger needs to know of the groups.
    pub fn budget_policies(&self) -> Vec<BudgetPolicy> {
        let groups = self.document.groups.iter();
        let policies = groups.filter_map(|group| {
            Some(BudgetPolicy {
                key: self.groups.get(&group.name)?,
                name: group.name.clone(),
                outage: Duration::from_secs(u64::from(group.allowance.outage_seconds)),
                share_percent: group.allowance.share_percent,
                min_allowance: group.allowance.least,
            })
        });
        policies.collect()
    }

    /// What the queue needs to know of the groups.
    pub fn group_policies(&self) -> Vec<GroupPolicy> {
        let groups = self.document.groups.iter();
        let policies = groups.filter_map(|group| {
            let key = self.groups.get(&group.name)?;
            Some(GroupPolicy {
                key,
                weight: group.weight,
            })
        });
        policies.collect()
    }

    /// What the queue needs to know of the kinds.
    pub fn kind_policies(&self) -> Vec<KindPolicy> {
        let kinds = self.document.kinds.iter();
        let policies = kinds.filter_map(|kind| {
            Some(KindPolicy {
                key: self.kinds.get(&kind.name)?,
                priority: kind.priority,
                floor_percent: kind.floor_percent,
            })
        });
        policies.collect()
    }

    /// What routing needs to know of the backend servers.
    pub fn server_policies(&self) -> Vec<ServerSpec> {
        let servers = self.document.servers.iter();
        let policies = servers.filter_map(|server| {
            Some(ServerSpec {
                key: self.servers.get(&server.name)?,
                name: server.name.clone(),
                zone: server.zone.clone(),
                models: server.models.clone(),
                concurrency: server.concurrency,
            })
        });
        policies.collect()
    }
}
