//! Index of the current document: keys, policies and pools.

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

/// Address and role of a backend server.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Name of the server.
    pub name: Arc<str>,
    /// Address of the server.
    pub address: SocketAddr,
    /// Role of the server.
    pub role: ServerRole,
    /// Maximum concurrent requests of the whole fleet on the server.
    pub concurrency: u32,
}

/// Backend servers that are eligible for a piece of work.
#[derive(Debug, Clone)]
pub struct Reach {
    /// Keys of the servers, sorted.
    pub servers: Arc<[ServerKey]>,
    /// Identifies the set of servers and the model or service. The queue treats requests of one pool as
    /// interchangeable.
    pub pool: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PoolKey {
    wanted: Arc<str>,
    servers: Arc<[ServerKey]>,
}

/// Keys, policies and pools of the current document. Keys are stable across documents, so that the
/// components keep their state of a group or backend server when the document changes.
#[derive(Debug, Default)]
pub struct Catalog {
    groups: Interner<GroupKey>,
    kinds: Interner<KindKey>,
    servers: Interner<ServerKey>,
    endpoints: HashMap<ServerKey, Endpoint>,
    /// Servers of earlier documents that the current one does not contain.
    removed: HashMap<ServerKey, Endpoint>,
    reach: HashMap<(GroupKey, Arc<str>), Reach>,
    pools: HashMap<PoolKey, u32>,
    priorities: HashMap<KindKey, u8>,
    document: Arc<Document>,
    version: Version,
}

impl Catalog {
    /// Replaces the document by a newer one.
    pub fn replace(&mut self, version: Version, document: Arc<Document>) {
        self.version = version;
        self.document = document.clone();
        self.removed.extend(self.endpoints.drain());
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
        let endpoint = Endpoint {
            name: server.name.clone(),
            address: server.address,
            role: server.role,
            concurrency: server.concurrency,
        };
        self.removed.remove(&key);
        self.endpoints.insert(key, endpoint);
    }

    /// Returns every backend server of any document since the start of this process.
    ///
    /// A server that was removed from the document may still run streams. A sweep that skipped it would
    /// free an allowance that these streams still spend.
    pub fn all_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().chain(self.removed.values())
    }

    /// Returns the endpoint of a server in the current document or an earlier one.
    pub fn any_endpoint_by_name(&self, name: &str) -> Option<&Endpoint> {
        let key = self.servers.get(name)?;
        self.endpoints.get(&key).or_else(|| self.removed.get(&key))
    }

    /// Returns the current document.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the version of the current document; 0 before the first one.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the key of a group.
    pub fn group(&self, name: &str) -> Option<GroupKey> {
        self.groups.get(name)
    }

    /// Returns the name of a group.
    pub fn group_name(&self, key: GroupKey) -> &Arc<str> {
        self.groups.name(key)
    }

    /// Returns the key of a request kind in the current document.
    pub fn kind(&self, name: &str) -> Option<KindKey> {
        let key = self.kinds.get(name)?;
        self.priorities.contains_key(&key).then_some(key)
    }

    /// Returns the name of a request kind.
    pub fn kind_name(&self, key: KindKey) -> &Arc<str> {
        self.kinds.name(key)
    }

    /// Returns `true` if a kind has the most urgent priority of all kinds.
    pub fn is_urgent(&self, kind: KindKey) -> bool {
        let most_urgent = self.priorities.values().min();
        self.priorities.get(&kind) == most_urgent
    }

    /// Returns the priority of a kind; 0 is the most urgent.
    pub fn priority(&self, kind: KindKey) -> u8 {
        self.priorities.get(&kind).copied().unwrap_or(u8::MAX)
    }

    /// Returns the key of a backend server of this or an earlier document.
    pub fn server(&self, name: &str) -> Option<ServerKey> {
        self.servers.get(name)
    }

    /// Returns the endpoint of a server in the current document.
    pub fn endpoint(&self, key: ServerKey) -> Option<&Endpoint> {
        self.endpoints.get(&key)
    }

    /// Returns the endpoint of a server in the current document, by name.
    pub fn endpoint_by_name(&self, name: &str) -> Option<&Endpoint> {
        self.servers
            .get(name)
            .and_then(|key| self.endpoints.get(&key))
    }

    /// Returns the backend servers of the current document.
    pub fn endpoints(&self) -> impl Iterator<Item = (ServerKey, &Endpoint)> {
        self.endpoints
            .iter()
            .map(|(key, endpoint)| (*key, endpoint))
    }

    /// Returns the backend servers that may run `work` for `group`, which may be none.
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
        let name = PoolKey {
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

    /// Returns the groups' policies for the ledger.
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

    /// Returns the groups' policies for the queue.
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

    /// Returns the request kinds' policies for the queue.
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

    /// Returns the backend servers' specs for routing.
    pub fn server_specs(&self) -> Vec<ServerSpec> {
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
