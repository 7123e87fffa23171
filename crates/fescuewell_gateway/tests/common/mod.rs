//! Runs instances against an in-memory store that can become unavailable.
// Each test file uses only some of these helpers.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use fescuewell_forward::condition::Report;
use fescuewell_forward::config::{Account, Configuration};
use fescuewell_forward::quota::row::Journal;
use fescuewell_forward::server::{Change, Update};
use fescuewell_gateway::control::Control;
use fescuewell_gateway::dialect::{Dialect, HeaderNames, RequestMetadata};
use fescuewell_gateway::gateway::Gateway;
use fescuewell_gateway::settings::Settings;
use fescuewell_gateway::source::{OperatorState, Source, Versioned};
use fescuewell_gateway::store::{
    BoxFuture, Error, Outcome, ReadResponse, Row, RowId, Store, Transaction,
};
use http::{HeaderMap, HeaderName, StatusCode};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

/// The only client account.
pub const ACCOUNT: &str = "group";
/// Name of the instance.
pub const INSTANCE: &str = "entry-1";
/// Duration of one store call while the store responds.
const LATENCY: Duration = Duration::from_millis(4);

/// How the store handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds to each call.
    Answer,
    /// Never responds to a call that arrives now, even after the store is back.
    Silent,
    /// Rejects each call immediately.
    Refuse,
}

struct Content {
    behaviour: Behaviour,
    /// Additional delay of calls on the accounts' ledgers.
    ledger_delay: Duration,
    version: u64,
    rows: HashMap<RowId, (Vec<u8>, u64)>,
    read_counts: HashMap<String, usize>,
    /// Latest row of each server that was ever listed, and the version of the server list.
    servers: BTreeMap<Arc<str>, Update>,
    servers_version: u64,
}

/// An in-memory row store that contains a configuration.
pub struct MemoryStore {
    content: Mutex<Content>,
    started: Instant,
    configuration: Mutex<Configuration>,
}

impl MemoryStore {
    pub fn new(prepaid: u64) -> Arc<Self> {
        let account = Account {
            name: ACCOUNT.into(),
            keys: vec!["key".into()],
            priority: None,
            prepaid: Some(prepaid),
        };
        Arc::new(Self {
            content: Mutex::new(Content {
                behaviour: Behaviour::Answer,
                ledger_delay: Duration::ZERO,
                version: 1,
                rows: HashMap::new(),
                read_counts: HashMap::new(),
                servers: BTreeMap::new(),
                servers_version: 1,
            }),
            started: Instant::now(),
            configuration: Mutex::new(Configuration {
                version: 1,
                accounts: vec![Arc::new(account)],
                ..Configuration::default()
            }),
        })
    }

    /// Writes a row.
    pub fn insert(&self, table: &str, partition: &str, key: &str, value: Vec<u8>) {
        let id = RowId {
            table: table.into(),
            partition: partition.into(),
            key: key.into(),
        };
        self.content().rows.insert(id, (value, 1));
    }

    /// Replaces the configuration; watches do not report it.
    pub fn set_configuration(&self, configuration: Configuration) {
        *self.configuration.lock().unwrap() = configuration;
    }

    /// Writes or removes a row of the server list, as a heartbeat of the server does.
    pub fn write_server(&self, id: &str, change: Change) {
        let mut content = self.content();
        content.servers_version += 1;
        let update = Update {
            id: id.into(),
            version: content.servers_version,
            change,
        };
        content.servers.insert(update.id.clone(), update);
    }

    /// Returns the rows of the server list after a version, and its version.
    fn servers_after(&self, version: u64) -> (Vec<Update>, u64) {
        let content = self.content();
        let rows = content.servers.values().filter(|row| row.version > version);
        let mut rows: Vec<Update> = rows.cloned().collect();
        rows.sort_by_key(|row| row.version);
        (rows, content.servers_version)
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.content().behaviour = behaviour;
    }

    /// Delays calls on the accounts' ledgers, as contention in a large fleet does.
    pub fn delay_ledgers(&self, delay: Duration) {
        self.content().ledger_delay = delay;
    }

    /// Returns how often a partition of a table was read, including reads without a response.
    pub fn read_count(&self, table: &str) -> usize {
        let content = self.content();
        content.read_counts.get(table).copied().unwrap_or_default()
    }

    /// Returns the number of rows of a table.
    pub fn row_count(&self, table: &str) -> usize {
        let content = self.content();
        let ids = content.rows.keys();
        ids.filter(|id| *id.table == *table).count()
    }

    async fn wait_delay(&self, table: &str) {
        if table == "ledger" {
            let delay = self.content().ledger_delay;
            tokio::time::sleep(delay).await;
        }
    }

    /// Returns the store's clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        1_000_000 + self.started.elapsed().as_millis() as u64
    }

    /// Returns the stored journal of the instance.
    pub fn journal(&self) -> Journal {
        let content = self.content();
        let id = RowId {
            table: "journal".into(),
            partition: INSTANCE.into(),
            key: INSTANCE.into(),
        };
        let (value, _) = &content.rows[&id];
        Journal::decode(value).unwrap()
    }

    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap()
    }

    /// Simulates one call. The behaviour at the time of its arrival applies.
    async fn simulate_call(&self) -> Result<(), Error> {
        let behaviour = self.content().behaviour;
        match behaviour {
            Behaviour::Answer => {}
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Refuse => {
                return Err(Error::NotApplied {
                    is_throttled: false,
                    reason: "refused".into(),
                });
            }
        }
        tokio::time::sleep(LATENCY).await;
        Ok(())
    }

    async fn versioned<Content>(&self, content: Content) -> Result<Versioned<Content>, Error> {
        self.simulate_call().await?;
        Ok(Versioned {
            content,
            version: 1,
            now_ms: self.now_ms(),
        })
    }

    fn response(&self, ids: &[RowId]) -> ReadResponse {
        let content = self.content();
        let rows = ids.iter().filter_map(|id| {
            let (value, version) = content.rows.get(id)?;
            Some(Row {
                id: id.clone(),
                value: Some(value.clone()),
                version: *version,
            })
        });
        ReadResponse {
            rows: rows.collect(),
            version: content.version,
            now_ms: self.now_ms(),
        }
    }

    fn row_ids(&self, table: &str, partition: &str) -> Vec<RowId> {
        let content = self.content();
        let ids = content.rows.keys();
        let wanted = ids.filter(|id| *id.table == *table && *id.partition == *partition);
        wanted.cloned().collect()
    }

    fn apply(&self, transaction: &Transaction) -> Outcome {
        let mut content = self.content();
        for (id, wanted) in &transaction.preconditions {
            let version = content.rows.get(id).map_or(0, |row| row.1);
            if version == *wanted {
                continue;
            }
            drop(content);
            let ids: Vec<RowId> = transaction
                .preconditions
                .iter()
                .map(|(at, _)| at.clone())
                .collect();
            return Outcome::Conflict(self.response(&ids));
        }
        content.version += 1;
        let version = content.version;
        for (id, value) in &transaction.puts {
            content.rows.insert(id.clone(), (value.clone(), version));
        }
        for id in &transaction.deletes {
            content.rows.remove(id);
        }
        Outcome::Committed {
            version,
            now_ms: self.now_ms(),
        }
    }
}

impl Store for MemoryStore {
    fn era(&self) -> u32 {
        0
    }

    fn read<'a>(&'a self, table: &'a str, partition: &'a str) -> BoxFuture<'a, ReadResponse> {
        *self.content().read_counts.entry(table.into()).or_default() += 1;
        Box::pin(async move {
            self.simulate_call().await?;
            self.wait_delay(table).await;
            Ok(self.response(&self.row_ids(table, partition)))
        })
    }

    fn read_row<'a>(&'a self, id: &'a RowId) -> BoxFuture<'a, ReadResponse> {
        Box::pin(async move {
            self.simulate_call().await?;
            self.wait_delay(&id.table).await;
            Ok(self.response(std::slice::from_ref(id)))
        })
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> BoxFuture<'a, Outcome> {
        Box::pin(async move {
            self.simulate_call().await?;
            let first = transaction.puts.first();
            self.wait_delay(first.map_or("", |(id, _)| &id.table)).await;
            Ok(self.apply(transaction))
        })
    }
}

impl Source for MemoryStore {
    fn read_state(&self, head_timeout: Duration) -> BoxFuture<'_, Versioned<OperatorState>> {
        let configuration = self.configuration.lock().unwrap().clone();
        let state = self.versioned(OperatorState {
            configuration: Some(configuration),
            ..OperatorState::default()
        });
        Box::pin(within(head_timeout, state))
    }

    fn watch_state(
        &self,
        _: u64,
        wait: Duration,
        head_timeout: Duration,
    ) -> BoxFuture<'_, Versioned<OperatorState>> {
        let state = async move {
            tokio::time::sleep(wait).await;
            self.versioned(OperatorState::default()).await
        };
        Box::pin(within(head_timeout, state))
    }

    fn list_servers(&self) -> BoxFuture<'_, Versioned<Vec<Update>>> {
        *self
            .content()
            .read_counts
            .entry("servers".into())
            .or_default() += 1;
        let (mut rows, version) = self.servers_after(0);
        rows.retain(|row| matches!(row.change, Change::Entry(_)));
        Box::pin(async move {
            let response = self.versioned(rows).await?;
            Ok(Versioned {
                version,
                ..response
            })
        })
    }

    fn watch_servers(&self, after: u64, wait: Duration) -> BoxFuture<'_, Versioned<Vec<Update>>> {
        Box::pin(async move {
            if self.servers_after(after).0.is_empty() {
                tokio::time::sleep(wait).await;
            }
            let (rows, version) = self.servers_after(after);
            let response = self.versioned(rows).await?;
            Ok(Versioned {
                version,
                ..response
            })
        })
    }
}

/// Limits the time of a call.
async fn within<Response, Call>(limit: Duration, call: Call) -> Result<Response, Error>
where
    Call: Future<Output = Result<Response, Error>>,
{
    let response = tokio::time::timeout(limit, call).await;
    response.unwrap_or_else(|_| {
        Err(Error::Unknown {
            reason: "timed out".into(),
        })
    })
}

/// A dialect that no test uses.
struct UnusedDialect(HeaderNames);

fn names() -> HeaderNames {
    let name = HeaderName::from_static("x-unused");
    HeaderNames {
        request_id: name.clone(),
        deadline: name.clone(),
        account_key: name.clone(),
        account: name.clone(),
        expected_server: name.clone(),
        urgency: name.clone(),
        seal: name.clone(),
        not_executed: name.clone(),
        last_event_id: name,
        reserved: Vec::new(),
    }
}

impl Dialect for UnusedDialect {
    fn header_names(&self) -> &HeaderNames {
        &self.0
    }

    fn metadata(&self, _: &HeaderMap) -> RequestMetadata {
        RequestMetadata::default()
    }

    fn server_report(&self, _: StatusCode, _: &HeaderMap) -> Report {
        Report::default()
    }

    fn directory_path(&self) -> &str {
        "/"
    }

    fn ready_path(&self) -> &str {
        "/"
    }

    fn addresses_body(&self, _: &[SocketAddr], _: Duration) -> Bytes {
        Bytes::new()
    }

    fn addresses_content_type(&self) -> &str {
        ""
    }
}

/// Creates settings of an instance without listeners.
pub fn settings(name: &str) -> Settings {
    Settings::new(name, "127.0.0.1:0".parse().unwrap())
}

/// Creates an instance and its control tasks; `seed` seeds its random numbers.
pub fn instance(
    settings: Settings,
    store: &Arc<MemoryStore>,
    seed: u64,
) -> (Arc<Gateway>, Control) {
    let (gateway, inbox) = Gateway::new(settings, Arc::new(UnusedDialect(names()))).unwrap();
    gateway.state().rng = SmallRng::seed_from_u64(seed);
    let control = Control::new(gateway.clone(), store.clone(), store.clone(), inbox);
    (gateway, control)
}

/// Runs a scenario next to the control tasks of one instance, in virtual time that advances from
/// event to event. `seed` seeds the instance's random numbers.
pub fn run_scenario<Scenario, Play>(prepaid: u64, seed: u64, scenario: Scenario) -> Play::Output
where
    Scenario: FnOnce(Arc<Gateway>, Arc<MemoryStore>) -> Play,
    Play: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async move {
        let store = MemoryStore::new(prepaid);
        let (gateway, control) = instance(settings(INSTANCE), &store, seed);
        tokio::select! {
            () = control.run() => unreachable!("the control tasks run until the process ends"),
            output = scenario(gateway, store) => output,
        }
    })
}
