//! An index of one document for routers: every lookup that a request needs, in constant time.

use std::collections::HashMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::item::Item;
use crate::key;
use crate::model::{Account, Call, Document, Group, Kind, Model, Server, ServerRole, Service};

type Names = HashMap<Arc<str>, u32>;

/// A document with indexes by name and by key hash.
///
/// Keys ([`AccountKey`] and the like) are positions in this document's lists and mean nothing in the next
/// version's index.
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
    kinds: Names,
    groups: Names,
    accounts: Names,
    models: Names,
    servers: Names,
    services: Names,
    calls: HashMap<Arc<str>, Names>,
    reach: Vec<Vec<ServerKey>>,
    engines: HashMap<Arc<str>, Vec<ServerKey>>,
}

fn names<T>(document: &Document) -> Names
where
    T: Item,
{
    let mut names = Names::with_capacity(T::list(document).len());
    for (position, item) in T::list(document).iter().enumerate() {
        names.insert(item.name().clone(), position as u32);
    }
    names
}

fn get<'a, T>(names: &Names, list: &'a [T], name: &str) -> Option<&'a T> {
    names.get(name).map(|&position| &list[position as usize])
}

impl Index {
    /// Indexes a document that passed its checks; references that lead nowhere are left out.
    pub fn new(document: Arc<Document>) -> Self {
        let servers = names::<Server>(&document);
        Self {
            key_hashes: key_hashes(&document),
            kinds: names::<Kind>(&document),
            groups: names::<Group>(&document),
            accounts: names::<Account>(&document),
            models: names::<Model>(&document),
            services: names::<Service>(&document),
            calls: calls(&document),
            reach: reach(&document, &servers),
            engines: engines(&document),
            servers,
            document,
        }
    }

    /// The document behind this index.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The account that a caller's key opens.
    ///
    /// The map is searched by the key's hash: the time that takes tells a guesser about bits of a hash, which
    /// cannot be turned into a key. The stored hash itself is then compared in constant time.
    pub fn account_by_key(&self, key: &str) -> Option<&Account> {
        let hash = key::hash_key(key);
        let (stored, &position) = self.key_hashes.get_key_value(&*hash)?;
        key::verify(key, stored).then(|| &self.document.accounts[position as usize])
    }

    /// The account of that name.
    pub fn account(&self, name: &str) -> Option<&Account> {
        get(&self.accounts, &self.document.accounts, name)
    }

    /// The kind of request of that name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        get(&self.kinds, &self.document.kinds, name)
    }

    /// The group of that name.
    pub fn group(&self, name: &str) -> Option<&Group> {
        get(&self.groups, &self.document.groups, name)
    }

    /// The model of that name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        get(&self.models, &self.document.models, name)
    }

    /// The backend server of that name.
    pub fn server(&self, name: &str) -> Option<&Server> {
        get(&self.servers, &self.document.servers, name)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        get(&self.services, &self.document.services, name)
    }

    /// One call of a service, and the service.
    pub fn call(&self, service: &str, call: &str) -> Option<(&Service, &Call)> {
        let found = self.service(service)?;
        let call = get(self.calls.get(service)?, &found.calls, call)?;
        Some((found, call))
    }

    /// The position of a kind in the document.
    pub fn kind_key(&self, name: &str) -> Option<KindKey> {
        self.kinds.get(name).copied().map(KindKey)
    }

    /// The position of a group in the document.
    pub fn group_key(&self, name: &str) -> Option<GroupKey> {
        self.groups.get(name).copied().map(GroupKey)
    }

    /// The position of a backend server in the document.
    pub fn server_key(&self, name: &str) -> Option<ServerKey> {
        self.servers.get(name).copied().map(ServerKey)
    }

    /// The backend server at a position that this index gave out.
    ///
    /// # Panics
    ///
    /// When the key comes from another document's index and is out of range.
    pub fn server_at(&self, key: ServerKey) -> &Server {
        &self.document.servers[key.0 as usize]
    }

    /// The backend servers that a group may reach, in ascending order of their keys; none for an unknown group.
    pub fn reach(&self, group: &str) -> &[ServerKey] {
        match self.groups.get(group) {
            Some(&position) => &self.reach[position as usize],
            None => &[],
        }
    }

    /// Whether a group may reach a backend server.
    pub fn can_reach(&self, group: &str, server: &str) -> bool {
        let Some(key) = self.server_key(server) else {
            return false;
        };
        self.reach(group).binary_search(&key).is_ok()
    }

    /// The engines that may be ordered to load a model, in ascending order of their keys.
    pub fn engines(&self, model: &str) -> &[ServerKey] {
        self.engines.get(model).map_or(&[], Vec::as_slice)
    }

    /// The engines that may load a model and that a group may reach.
    pub fn candidates(&self, group: &str, model: &str) -> Vec<ServerKey> {
        let reach = self.reach(group);
        let engines = self.engines(model).iter().copied();
        engines
            .filter(|key| reach.binary_search(key).is_ok())
            .collect()
    }

    /// Whether a group may use a model at all: whether any engine it reaches may load it.
    pub fn can_use(&self, group: &str, model: &str) -> bool {
        let reach = self.reach(group);
        let mut engines = self.engines(model).iter();
        engines.any(|key| reach.binary_search(key).is_ok())
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

fn calls(document: &Document) -> HashMap<Arc<str>, Names> {
    let mut calls = HashMap::new();
    for service in &document.services {
        let positions = service.calls.iter().enumerate();
        let names: Names = positions
            .map(|(position, call)| (call.name.clone(), position as u32))
            .collect();
        calls.insert(service.name.clone(), names);
    }
    calls
}

fn reach(document: &Document, servers: &Names) -> Vec<Vec<ServerKey>> {
    let mut reach = Vec::with_capacity(document.groups.len());
    for group in &document.groups {
        let found = group.reach.iter().filter_map(|name| servers.get(name));
        let mut keys: Vec<ServerKey> = found.copied().map(ServerKey).collect();
        keys.sort_unstable();
        reach.push(keys);
    }
    reach
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
