//! Instances' duties against a store in memory that can fall silent.
// Each test file uses a part of it.
#![allow(dead_code)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use fescuewell_forward::config::{Account, Configuration};
use fescuewell_forward::quota::row::Journal;
use fescuewell_forward::server::Update;
use fescuewell_gateway::control::Control;
use fescuewell_gateway::dialect::{Dialect, Facts, Names};
use fescuewell_gateway::gateway::Gateway;
use fescuewell_gateway::settings::Settings;
use fescuewell_gateway::source::{News, Source, Word};
use fescuewell_gateway::store::{Change, Error, Outcome, Pending, Place, Reading, Row, Store};
use http::{HeaderMap, HeaderName};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

/// The only client account.
pub const ACCOUNT: &str = "group";
/// The instance's name.
pub const INSTANCE: &str = "entry-1";
/// Time of one call to the store while it answers.
const LATENCY: Duration = Duration::from_millis(4);

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers each call.
    Answer,
    /// Never answers a call that reaches it now, not even once it is back.
    Silent,
    /// Refuses each call at once.
    Refuse,
}

struct Content {
    behaviour: Behaviour,
    /// Time that calls on the accounts' ledgers take beyond the usual.
    ledger_delay: Duration,
    version: u64,
    rows: HashMap<Place, (Vec<u8>, u64)>,
    readings: HashMap<String, usize>,
}

/// A store of rows in memory, and the configuration in it.
pub struct Memory {
    content: Mutex<Content>,
    started: Instant,
    configuration: Configuration,
}

impl Memory {
    pub fn new(prepaid: u64) -> Arc<Self> {
        let tenant = Account {
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
                readings: HashMap::new(),
            }),
            started: Instant::now(),
            configuration: Configuration {
                version: 1,
                accounts: vec![Arc::new(tenant)],
                ..Configuration::default()
            },
        })
    }

    pub fn set(&self, behaviour: Behaviour) {
        self.content().behaviour = behaviour;
    }

    /// Lets calls on the accounts' ledgers wait, as behind the transactions of a large fleet.
    pub fn delay_ledgers(&self, delay: Duration) {
        self.content().ledger_delay = delay;
    }

    /// How often a table was to be read whole, with or without an answer.
    pub fn readings(&self, table: &str) -> usize {
        let content = self.content();
        content.readings.get(table).copied().unwrap_or_default()
    }

    /// Rows of a table.
    pub fn rows(&self, table: &str) -> usize {
        let content = self.content();
        let places = content.rows.keys();
        places.filter(|place| *place.table == *table).count()
    }

    async fn wait_for(&self, table: &str) {
        if table == "ledger" {
            let delay = self.content().ledger_delay;
            tokio::time::sleep(delay).await;
        }
    }

    /// The store's clock in milliseconds.
    pub fn now_ms(&self) -> u64 {
        1_000_000 + self.started.elapsed().as_millis() as u64
    }

    /// The instance's journal as it stands.
    pub fn journal(&self) -> Journal {
        let content = self.content();
        let place = Place {
            table: "journal".into(),
            part: INSTANCE.into(),
            key: INSTANCE.into(),
        };
        let (value, _) = &content.rows[&place];
        Journal::decode(value).unwrap()
    }

    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap()
    }

    /// One call: how the store behaves at its arrival decides.
    async fn arrive(&self) -> Result<(), Error> {
        let behaviour = self.content().behaviour;
        match behaviour {
            Behaviour::Answer => {}
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Refuse => {
                return Err(Error::NotDone {
                    is_busy: false,
                    reason: "refused".into(),
                });
            }
        }
        tokio::time::sleep(LATENCY).await;
        Ok(())
    }

    async fn news<Content>(&self, content: Content) -> Result<News<Content>, Error> {
        self.arrive().await?;
        Ok(News {
            content,
            version: 1,
            now_ms: self.now_ms(),
        })
    }

    fn reading(&self, places: &[Place]) -> Reading {
        let content = self.content();
        let rows = places.iter().filter_map(|place| {
            let (value, version) = content.rows.get(place)?;
            Some(Row {
                place: place.clone(),
                value: Some(value.clone()),
                version: *version,
            })
        });
        Reading {
            rows: rows.collect(),
            version: content.version,
            now_ms: self.now_ms(),
        }
    }

    fn places(&self, table: &str, part: &str) -> Vec<Place> {
        let content = self.content();
        let places = content.rows.keys();
        let wanted = places.filter(|place| *place.table == *table && *place.part == *part);
        wanted.cloned().collect()
    }

    fn apply(&self, change: &Change) -> Outcome {
        let mut content = self.content();
        for (place, wanted) in &change.expects {
            let version = content.rows.get(place).map_or(0, |row| row.1);
            if version == *wanted {
                continue;
            }
            drop(content);
            let places: Vec<Place> = change.expects.iter().map(|(at, _)| at.clone()).collect();
            return Outcome::Conflict(self.reading(&places));
        }
        content.version += 1;
        let version = content.version;
        for (place, value) in &change.puts {
            content.rows.insert(place.clone(), (value.clone(), version));
        }
        for place in &change.removes {
            content.rows.remove(place);
        }
        Outcome::Done {
            version,
            now_ms: self.now_ms(),
        }
    }
}

impl Store for Memory {
    fn era(&self) -> u32 {
        0
    }

    fn read<'a>(&'a self, table: &'a str, part: &'a str) -> Pending<'a, Reading> {
        *self.content().readings.entry(table.into()).or_default() += 1;
        Box::pin(async move {
            self.arrive().await?;
            self.wait_for(table).await;
            Ok(self.reading(&self.places(table, part)))
        })
    }

    fn read_row<'a>(&'a self, place: &'a Place) -> Pending<'a, Reading> {
        Box::pin(async move {
            self.arrive().await?;
            self.wait_for(&place.table).await;
            Ok(self.reading(std::slice::from_ref(place)))
        })
    }

    fn commit<'a>(&'a self, change: &'a Change) -> Pending<'a, Outcome> {
        Box::pin(async move {
            self.arrive().await?;
            let first = change.puts.first();
            self.wait_for(first.map_or("", |(place, _)| &place.table))
                .await;
            Ok(self.apply(change))
        })
    }
}

impl Source for Memory {
    fn word(&self) -> Pending<'_, News<Word>> {
        Box::pin(self.news(Word {
            configuration: Some(self.configuration.clone()),
            ..Word::default()
        }))
    }

    fn word_after(&self, _: u64, wait: Duration) -> Pending<'_, News<Word>> {
        Box::pin(async move {
            tokio::time::sleep(wait).await;
            self.news(Word::default()).await
        })
    }

    fn servers(&self) -> Pending<'_, News<Vec<Update>>> {
        Box::pin(self.news(Vec::new()))
    }

    fn servers_after(&self, _: u64, wait: Duration) -> Pending<'_, News<Vec<Update>>> {
        Box::pin(async move {
            tokio::time::sleep(wait).await;
            self.news(Vec::new()).await
        })
    }
}

/// A manner of speaking that no caller uses here.
struct Silence(Names);

fn names() -> Names {
    let name = HeaderName::from_static("x-unused");
    Names {
        request_id: name.clone(),
        deadline: name.clone(),
        key: name.clone(),
        tenant: name.clone(),
        expected_server: name.clone(),
        urgency: name.clone(),
        seal: name.clone(),
        not_run: name.clone(),
        last_event: name,
        reserved: Vec::new(),
    }
}

impl Dialect for Silence {
    fn names(&self) -> &Names {
        &self.0
    }

    fn facts(&self, _: &HeaderMap) -> Facts {
        Facts::default()
    }

    fn directory_path(&self) -> &str {
        "/"
    }

    fn ready_path(&self) -> &str {
        "/"
    }

    fn addresses(&self, _: &[SocketAddr], _: Duration) -> Bytes {
        Bytes::new()
    }

    fn content_type(&self) -> &str {
        ""
    }
}

/// Settings of an instance that listens nowhere.
pub fn settings(name: &str) -> Settings {
    Settings::new(name, "127.0.0.1:0".parse().unwrap())
}

/// An instance and its duties; `seed` decides what it draws at random.
pub fn instance(settings: Settings, store: &Arc<Memory>, seed: u64) -> (Arc<Gateway>, Control) {
    let (gateway, inbox) = Gateway::new(settings, Arc::new(Silence(names()))).unwrap();
    gateway.state().random = SmallRng::seed_from_u64(seed);
    let control = Control::new(gateway.clone(), store.clone(), store.clone(), inbox);
    (gateway, control)
}

/// Plays a scenario beside the duties of one instance, in virtual time that jumps from event to event. `seed` decides what
/// the instance draws at random.
pub fn play<Scenario, Play>(prepaid: u64, seed: u64, scenario: Scenario) -> Play::Output
where
    Scenario: FnOnce(Arc<Gateway>, Arc<Memory>) -> Play,
    Play: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async move {
        let store = Memory::new(prepaid);
        let (gateway, control) = instance(settings(INSTANCE), &store, seed);
        tokio::select! {
            () = control.run() => unreachable!("the duties end with the process"),
            output = scenario(gateway, store) => output,
        }
    })
}
