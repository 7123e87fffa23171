//! The types of the configuration document.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_core::prelude::*;

fescuewell_core::data! {
    /// The complete active configuration.
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
        /// Services without models, and their calls.
        #[serde(default)]
        pub services: Vec<Service>,
    }

    /// A kind of request.
    #[serde(deny_unknown_fields)]
    pub struct Kind {
        /// Unique name, sent by callers in `X-Request-Kind`.
        pub name: Arc<str>,
        /// Priority; 0 is the most urgent. Lower numbers are always served first, except for the floors of the
        /// other kinds.
        pub priority: u8,
        /// Percentage of the capacity reserved for this kind even while more urgent requests wait.
        #[serde(default)]
        pub floor_percent: u8,
        /// Default deadline of a request, in milliseconds after its arrival.
        pub deadline_ms: u64,
    }

    /// How the allowances of one group are sized.
    #[serde(deny_unknown_fields)]
    pub struct Allowance {
        /// Outage of the table service that allowances should cover, in seconds of recent use. Large values
        /// avoid false refusals, small values keep limits tight.
        pub outage_seconds: u32,
        /// Maximum that one instance draws at once, in percent of the remaining budget.
        pub share_percent: u8,
        /// Minimum that is drawn at once if the budget has as much left, in tokens.
        #[serde(rename = "least")]
        pub min_draw: Tokens,
    }

    /// A group that shares prepaid capacity.
    #[serde(deny_unknown_fields)]
    pub struct Group {
        /// Unique name.
        pub name: Arc<str>,
        /// Prepaid tokens: a cumulative total that increases with each top-up.
        pub prepaid: Tokens,
        /// Relative share of the capacity among the groups that send the same kind of request.
        pub weight: u32,
        /// How the group's allowances are sized.
        pub allowance: Allowance,
        /// Names of the backend servers that the group may reach.
        pub reach: Vec<Arc<str>>,
    }

    /// A client account, identified by its keys.
    #[serde(deny_unknown_fields)]
    pub struct Account {
        /// Unique name.
        pub name: Arc<str>,
        /// The group whose budget is charged.
        pub group: Arc<str>,
        /// Keys that authenticate the account; more than one while a key is rotated.
        pub keys: Vec<Key>,
        /// Kind of requests that don't specify one.
        pub default_kind: Arc<str>,
    }

    /// The stored form of a key, which never contains the key itself.
    #[serde(deny_unknown_fields)]
    pub struct Key {
        /// Name of the key, shown to operators.
        pub name: Arc<str>,
        /// BLAKE3 hash of the key, 64 hexadecimal digits. Keys are random, so no salt is needed.
        pub hash: Arc<str>,
    }

    /// A model that callers may name.
    #[serde(deny_unknown_fields)]
    pub struct Model {
        /// Unique name, as callers write it.
        pub name: Arc<str>,
        /// Context window: maximum prompt and output together, in tokens.
        pub context_tokens: u32,
        /// Default output limit of a request, in tokens.
        pub default_output: u32,
        /// Base model, if this model is an adapter.
        #[serde(default)]
        pub base: Option<Arc<str>>,
        /// Minimum number of backend servers that keep the model loaded.
        #[serde(rename = "least_servers")]
        pub min_servers: u32,
    }

    /// The role of a backend server.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum ServerRole {
        /// Runs models.
        Engine,
        /// Runs service calls.
        Service,
    }

    /// A backend server.
    #[serde(deny_unknown_fields)]
    pub struct Server {
        /// Unique name, as in the instance list.
        pub name: Arc<str>,
        /// Its role.
        pub role: ServerRole,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// Models that it may be ordered to load; engines only.
        #[serde(default)]
        pub models: Vec<Arc<str>>,
        /// Maximum number of requests that the whole fleet runs on it concurrently.
        pub concurrency: u32,
        /// Whether it rejects orders with an outdated fencing number.
        pub checks_fencing: bool,
    }

    /// A service without models.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Unique name, as in `/v1/services/{service}/{call}`.
        pub name: Arc<str>,
        /// Names of the backend servers that run it.
        pub servers: Vec<Arc<str>>,
        /// Its calls.
        pub calls: Vec<Call>,
    }

    /// One call of a service.
    #[serde(deny_unknown_fields)]
    pub struct Call {
        /// Unique name within the service.
        pub name: Arc<str>,
        /// Whether it is idempotent, i.e. may run more than once.
        pub repeatable: bool,
        /// Kind of request under which it is scheduled.
        pub kind: Arc<str>,
        /// Flat price in tokens; 0 for free calls.
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
