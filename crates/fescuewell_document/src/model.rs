//! Types of the configuration document.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_core::prelude::*;

fescuewell_core::data! {
    /// The whole configuration in force.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Document {
        /// Kinds of request and their priorities.
        #[serde(default)]
        pub kinds: Vec<Kind>,
        /// Groups and their prepaid budgets.
        #[serde(default)]
        pub groups: Vec<Group>,
        /// Client accounts and their keys.
        #[serde(default)]
        pub accounts: Vec<Account>,
        /// Models that callers may name.
        #[serde(default)]
        pub models: Vec<Model>,
        /// Backend servers.
        #[serde(default)]
        pub servers: Vec<Server>,
        /// Plain services and their calls.
        #[serde(default)]
        pub services: Vec<Service>,
    }

    /// A kind of request.
    #[serde(deny_unknown_fields)]
    pub struct Kind {
        /// Unique name, sent by callers in `X-Request-Kind`.
        pub name: Arc<str>,
        /// 0 is the most urgent. Lower numbers always go first, but for the floors of the others.
        pub priority: u8,
        /// Share of the capacity, in percent, that this kind gets even while more urgent work waits.
        #[serde(default)]
        pub floor_percent: u8,
        /// Deadline of a request that names none, in milliseconds after its arrival.
        pub deadline_ms: u64,
    }

    /// How allowances of one group are sized.
    #[serde(deny_unknown_fields)]
    pub struct Allowance {
        /// Outage of the table service that allowances should outlast, in seconds of recent use.
        /// Large for groups that weigh false refusals most, small for those that hold tight limits.
        pub outage_seconds: u32,
        /// Most that one instance draws at once, in percent of what is left of the budget.
        pub share_percent: u8,
        /// Least that is drawn at once while as much is left, in tokens.
        #[serde(rename = "least")]
        pub min_draw: Tokens,
    }

    /// A group that shares prepaid capacity.
    #[serde(deny_unknown_fields)]
    pub struct Group {
        /// Unique name.
        pub name: Arc<str>,
        /// Prepaid tokens: a cumulative total that top-ups raise.
        pub prepaid: Tokens,
        /// Relative share of the capacity among groups of one kind of request.
        pub weight: u32,
        /// How its allowances are sized.
        pub allowance: Allowance,
        /// Names of the backend servers that the group may reach.
        pub reach: Vec<Arc<str>>,
    }

    /// A client account: who holds keys.
    #[serde(deny_unknown_fields)]
    pub struct Account {
        /// Unique name.
        pub name: Arc<str>,
        /// The group whose budget pays.
        pub group: Arc<str>,
        /// Keys that open the account; more than one while a key is rotated.
        pub keys: Vec<Key>,
        /// Kind of requests that name none.
        pub default_kind: Arc<str>,
    }

    /// A stored key: never the key itself.
    #[serde(deny_unknown_fields)]
    pub struct Key {
        /// Name of the key, for operators.
        pub name: Arc<str>,
        /// BLAKE3 hash of the key, 64 hexadecimal digits. Keys are random, so no salt is needed.
        pub hash: Arc<str>,
    }

    /// A model that callers may name.
    #[serde(deny_unknown_fields)]
    pub struct Model {
        /// Unique name, as callers write it.
        pub name: Arc<str>,
        /// Prompt and output together, in tokens.
        pub context_tokens: u32,
        /// Output limit of a request that names none, in tokens.
        pub default_output: u32,
        /// Base model, when this one is an adapter.
        #[serde(default)]
        pub base: Option<Arc<str>>,
        /// Fewest backend servers that keep it loaded.
        #[serde(rename = "least_servers")]
        pub min_servers: u32,
    }

    /// What a backend server does.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum ServerRole {
        /// Runs models.
        Engine,
        /// Runs plain calls.
        Service,
    }

    /// A backend server.
    #[serde(deny_unknown_fields)]
    pub struct Server {
        /// Unique name, as in the instance list.
        pub name: Arc<str>,
        /// What it does.
        pub role: ServerRole,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// Models that it may be ordered to load (engines only).
        #[serde(default)]
        pub models: Vec<Arc<str>>,
        /// Most requests that the whole fleet keeps running on it at once.
        pub concurrency: u32,
        /// Whether it refuses orders that carry an old fencing number.
        pub checks_fencing: bool,
    }

    /// A plain service.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Unique name, as in `/v1/services/{service}/{call}`.
        pub name: Arc<str>,
        /// Names of the backend servers that run it.
        pub servers: Vec<Arc<str>>,
        /// Its calls.
        pub calls: Vec<Call>,
    }

    /// One call of a plain service.
    #[serde(deny_unknown_fields)]
    pub struct Call {
        /// Name within the service.
        pub name: Arc<str>,
        /// Whether it may run more than once without harm.
        pub repeatable: bool,
        /// Kind of request that it counts as.
        pub kind: Arc<str>,
        /// Flat price in tokens; 0 for calls that are free.
        #[serde(default)]
        pub price: Tokens,
    }
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            outage_seconds: 60,
            share_percent: 10,
            min_draw: Tokens(2_000),
        }
    }
}
