//! An index of one document, with the lookups that routers need for a request in constant time.

use std::collections::HashMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::item::Item;
use crate::key;
use crate::model::{Account, Call, Document, Group, Kind, Model, Server, ServerRole, Service};

type Positions = HashMap<Arc<str>, u32>;

/// A document with indexes by name and by key hash.
///
/// Keys such as [`ServerKey`] are positions in this document's lists and are not valid in the index of
/// another version.
///
/// ```
/// use fescuewell_document::lookup::Index;
/// use fescuewell_document::prelude::*;
/// let account = Account {
///     name: "venues".into(),
///     group: "reef-relay".into(),
///     keys: vec![Key { name: "first".into(), hash: fescuewell_document::key::hash_key("secret") }],
///     default_kind: "urgent".into(),
/// };
/// let document = Document { accounts: vec![account], ..Document::default() };
/// let index = Index::new(document.into());
/// assert_eq!(&*index.account_by_key("secret").unwrap().name, "venues");
/// assert!(index.account_by_key("guess").is_none());
/// ```
#[derive(Debug, Clone)]
pub struct Index {
    document: Arc<Document>,
    key_hashes: HashMap<Arc<str>, u32>,
    kinds: Positions,
    groups: Positions,
    accounts: Positions,
    models: Positions,
    servers: Positions,
    services: Positions,
    calls: HashMap<Arc<str>, Positions>,
    reachable: Vec<Vec<ServerKey>>,
    engines: HashMap<Arc<str>, Vec<ServerKey>>,
}

fn positions<T>(document: &Document) -> Positions
where
    T: Item,
{
    let mut positions = Positions::with_capacity(T::list(document).len());
    for (position, item) in T::list(document).iter().enumerate() {
        positions.insert(item.name().clone(), position as u32);
    }
    positions
}

fn get<'a, T>(positions: &Positions, list: &'a [T], name: &str) -> Option<&'a T> {
    positions
        .get(name)
        .map(|&position| &list[position as usize])
}

impl Index {
    /// Indexes a document that passed [`check`](crate::check::check). Dangling references are left out.
    pub fn new(document: Arc<Document>) -> Self {
        let servers = positions::<Server>(&document);
        Self {
            key_hashes: key_hashes(&document),
            kinds: positions::<Kind>(&document),
            groups: positions::<Group>(&document),
            accounts: positions::<Account>(&document),
            models: positions::<Model>(&document),
            services: positions::<Service>(&document),
            calls: calls(&document),
            reachable: reachable_servers(&document, &servers),
            engines: engines(&document),
            servers,
            document,
        }
    }

    /// Returns the indexed document.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the account that a caller's key authenticates.
    ///
    /// The map lookup uses the key's hash, so its timing can only reveal bits of the hash, from which the key
    /// can't be derived. The stored hash is then compared in constant time.
    pub fn account_by_key(&self, key: &str) -> Option<&Account> {
        let hash = key::hash_key(key);
        let (stored, &position) = self.key_hashes.get_key_value(&*hash)?;
        key::verify(key, stored).then(|| &self.document.accounts[position as usize])
    }

    /// Returns the client account with this name.
    pub fn account(&self, name: &str) -> Option<&Account> {
        get(&self.accounts, &self.document.accounts, name)
    }

    /// Returns the kind of request with this name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        get(&self.kinds, &self.document.kinds, name)
    }

    /// Returns the group with this name.
    pub fn group(&self, name: &str) -> Option<&Group> {
        get(&self.groups, &self.document.groups, name)
    }

    /// Returns the model with this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        get(&self.models, &self.document.models, name)
    }

    /// Returns the backend server with this name.
    pub fn server(&self, name: &str) -> Option<&Server> {
        get(&self.servers, &self.document.servers, name)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        get(&self.services, &self.document.services, name)
    }

    /// Returns a service and one of its calls.
    pub fn call(&self, service: &str, call: &str) -> Option<(&Service, &Call)> {
        let found = self.service(service)?;
        let call = get(self.calls.get(service)?, &found.calls, call)?;
        Some((found, call))
    }

    /// Returns the position of a kind in the document.
    pub fn kind_key(&self, name: &str) -> Option<KindKey> {
        self.kinds.get(name).copied().map(KindKey)
    }

    /// Returns the position of a group in the document.
    pub fn group_key(&self, name: &str) -> Option<GroupKey> {
        self.groups.get(name).copied().map(GroupKey)
    }

    /// Returns the position of a backend server in the document.
    pub fn server_key(&self, name: &str) -> Option<ServerKey> {
        self.servers.get(name).copied().map(ServerKey)
    }

    /// Returns the backend server at a position that this index returned.
    ///
    /// # Panics
    ///
    /// Panics if the key belongs to another document's index and is out of range.
    pub fn server_at(&self, key: ServerKey) -> &Server {
        &self.document.servers[key.0 as usize]
    }

    /// Returns the backend servers that a group may reach, in ascending key order. Empty for an unknown group.
    pub fn reachable_servers(&self, group: &str) -> &[ServerKey] {
        match self.groups.get(group) {
            Some(&position) => &self.reachable[position as usize],
            None => &[],
        }
    }

    /// Returns whether a group may reach a backend server.
    pub fn can_reach(&self, group: &str, server: &str) -> bool {
        let Some(key) = self.server_key(server) else {
            return false;
        };
        self.reachable_servers(group).binary_search(&key).is_ok()
    }

    /// Returns the engines that may be ordered to load a model, in ascending key order.
    pub fn engines(&self, model: &str) -> &[ServerKey] {
        self.engines.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the engines that may load a model and that a group may reach.
    pub fn candidates(&self, group: &str, model: &str) -> Vec<ServerKey> {
        let reachable = self.reachable_servers(group);
        let engines = self.engines(model).iter().copied();
        engines
            .filter(|key| reachable.binary_search(key).is_ok())
            .collect()
    }

    /// Returns whether a group may use a model, i.e. can reach at least one engine that may load it.
    pub fn can_use(&self, group: &str, model: &str) -> bool {
        let reachable = self.reachable_servers(group);
        let mut engines = self.engines(model).iter();
        engines.any(|key| reachable.binary_search(key).is_ok())
    }
}

fn key_hashes(document: &Document) -> HashMap<Arc<str>, u32> {
    let mut hashes = HashMap::new();
    for (position, account) in document.accounts.iter().enumerate() {
        for key in &account.keys {
            hashes.insert(key.hash.clone(), position as u32);
        }
    }
    hashes
}

fn calls(document: &Document) -> HashMap<Arc<str>, Positions> {
    let mut calls = HashMap::new();
    for service in &document.services {
        let positions = service.calls.iter().enumerate();
        let names: Positions = positions
            .map(|(position, call)| (call.name.clone(), position as u32))
            .collect();
        calls.insert(service.name.clone(), names);
    }
    calls
}

fn reachable_servers(document: &Document, servers: &Positions) -> Vec<Vec<ServerKey>> {
    let mut reachable = Vec::with_capacity(document.groups.len());
    for group in &document.groups {
        let found = group.reach.iter().filter_map(|name| servers.get(name));
        let mut keys: Vec<ServerKey> = found.copied().map(ServerKey).collect();
        keys.sort_unstable();
        reachable.push(keys);
    }
    reachable
}

fn engines(document: &Document) -> HashMap<Arc<str>, Vec<ServerKey>> {
    let mut engines: HashMap<Arc<str>, Vec<ServerKey>> = HashMap::new();
    for (position, server) in document.servers.iter().enumerate() {
        if server.role != ServerRole::Engine {
            continue;
        }
        for model in &server.models {
            let key = ServerKey(position as u32);
            engines.entry(model.clone()).or_default().push(key);
        }
    }
    engines
}
