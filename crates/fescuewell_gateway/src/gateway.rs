//! What the threads of one instance share.

mod crash;
mod gate;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use fescuewell_forward::admission;
use fescuewell_forward::choice::Load;
use fescuewell_forward::config::Table;
use fescuewell_forward::crash::{Detector, Quarantine};
use fescuewell_forward::directory::Directory;
use fescuewell_forward::health::Health;
use fescuewell_forward::message::Key;
use fescuewell_forward::quota::Quota;
use fescuewell_forward::relay;
use fescuewell_forward::retry::Budget;
use fescuewell_forward::server::{ENTRY_EXPIRY_OUTAGE_MS, Registry};
use fescuewell_forward::warmup::Warmup;
use fescuewell_forward::window::Window;
use fescuewell_http::listener::Gate;
use fescuewell_http::upstream;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::metrics::{self, Metrics};
use crate::settings::Settings;

pub use crash::Probe;

/// Span over which arrivals are counted, in seconds.
pub const ARRIVALS_S: u32 = 4;

/// Stage of the process's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// Without a configuration, or without the grants of its former process.
    Starting,
    /// Takes requests.
    Ready,
    /// Was asked to stop: still serves, and sends callers elsewhere.
    Leaving,
}

/// What requests and duties change together.
#[derive(Debug)]
pub struct State {
    /// Backend servers.
    pub registry: Registry,
    /// How far the list of them is known.
    pub cursor: relay::Cursor,
    /// What may be sent to those that are cold.
    pub warmup: Warmup,
    /// How they do.
    pub health: Health,
    /// Which of them have crashed, and under what.
    pub crashes: Detector,
    /// Requests that are to blame for it.
    pub quarantine: Quarantine,
    /// Requests under way at them.
    pub load: Load,
    /// Prepaid tokens.
    pub quota: Quota,
    /// Repeats.
    pub retry: Budget,
    /// The other instances.
    pub directory: Directory,
    /// Requests of callers in the last seconds.
    pub arrivals: Window,
    /// What callers send against what this instance can pass on.
    pub admission: admission::Limiter,
    /// Random choices.
    pub random: SmallRng,
}

impl State {
    /// The cold servers of a service to which this instance may send, and how many instances share each; see
    /// [`fescuewell_forward::warmup`].
    pub fn introduced(
        &mut self,
        service: &str,
        instance: &str,
        now_ms: u64,
    ) -> HashMap<Arc<str>, usize> {
        let mut shares = HashMap::new();
        for entry in self.registry.ready(service, now_ms) {
            if !self.registry.is_cold(&entry.id, now_ms) {
                continue;
            }
            if let Some(share) = self.warmup.assigned_count(&entry.id, instance) {
                shares.insert(entry.id.clone(), share);
            }
        }
        shares
    }
}

/// A request that misses tokens which another instance may lend.
#[derive(Debug)]
pub struct Shortage {
    /// The client account.
    pub account: Arc<str>,
    /// Tokens of the request.
    pub tokens: u64,
    /// Told whether the account has them now.
    pub reply: oneshot::Sender<bool>,
}

/// What requests ask of the control thread.
#[derive(Debug, Clone)]
pub struct Inbox {
    /// Tokens are to be drawn at once.
    pub plans: flume::Receiver<()>,
    /// A journal is wanted at once.
    pub journals: flume::Receiver<()>,
    /// Tokens are to be borrowed.
    pub shortages: flume::Receiver<Shortage>,
    /// Quarantined requests that may be sent once more.
    pub probes: flume::Receiver<Probe>,
}

/// Longest time for which a request waits for tokens of other instances: a silent lender costs 30 ms, one that answers a few.
///
/// Where nobody takes shortages, since the instance has no address for the words of others, a request would wait for ever.
const BORROWING: Duration = Duration::from_millis(150);
/// Requests that may wait to have their tokens borrowed. More of them at once could not be served before their time is up.
const MOST_SHORTAGES: usize = 256;

/// Quarantined requests that may wait for leave to be sent once.
const MOST_PROBES: usize = 16;

/// The shared part of one instance.
pub struct Gateway {
    /// Its settings.
    pub settings: Settings,
    /// How callers and backend servers name things.
    pub dialect: Arc<dyn Dialect>,
    /// What is counted.
    pub metrics: Metrics,
    /// Connections to backend servers.
    pub client: upstream::Client,
    table: ArcSwapOption<Table>,
    state: Mutex<State>,
    stage: AtomicU8,
    store_up: AtomicBool,
    store_heard_ms: AtomicU64,
    open: AtomicUsize,
    wanted_plans: flume::Sender<()>,
    wanted_journals: flume::Sender<()>,
    shortages: flume::Sender<Shortage>,
    probes: flume::Sender<Probe>,
    crash_count: watch::Sender<u64>,
    peer_heard_ms: AtomicU64,
    fleet_key: ArcSwapOption<Key>,
    fleet_key_era: AtomicU32,
    planned: watch::Sender<u64>,
    ended: watch::Sender<u64>,
    returned: watch::Sender<u64>,
    loaded: Notify,
    gate: OnceLock<Gate>,
    started: Instant,
}

impl Gateway {
    /// A gateway that knows nothing yet, and the channels on which it asks for tokens.
    ///
    /// # Errors
    ///
    /// When the metrics cannot be set up.
    pub fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
    ) -> Result<(Arc<Self>, Inbox), metrics::Error> {
        let (wanted_plans, plans) = flume::bounded(1);
        let (wanted_journals, journals) = flume::bounded(1);
        let (shortages, short) = flume::bounded(MOST_SHORTAGES);
        let (probes, wanted_probes) = flume::bounded(MOST_PROBES);
        let (crash_count, _) = watch::channel(0);
        let (planned, _) = watch::channel(0);
        let (ended, _) = watch::channel(0);
        let (returned, _) = watch::channel(0);
        let state = State {
            registry: Registry::default(),
            cursor: relay::Cursor::default(),
            warmup: Warmup::default(),
            health: Health::default(),
            crashes: Detector::default(),
            quarantine: Quarantine::default(),
            load: Load::default(),
            quota: Quota::new(settings.name.clone(), 0),
            retry: Budget::new(settings.retry),
            directory: Directory::default(),
            arrivals: Window::new(u64::from(ARRIVALS_S) * 1_000),
            admission: admission::Limiter::new(settings.link_mbps, settings.cores),
            random: SmallRng::from_os_rng(),
        };
        let gateway = Self {
            settings,
            dialect,
            metrics: Metrics::new()?,
            client: upstream::Client::new(upstream::Settings::default()),
            table: ArcSwapOption::empty(),
            state: Mutex::new(state),
            stage: AtomicU8::new(Stage::Starting as u8),
            store_up: AtomicBool::new(false),
            store_heard_ms: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            wanted_plans,
            wanted_journals,
            shortages,
            probes,
            crash_count,
            peer_heard_ms: AtomicU64::new(0),
            fleet_key: ArcSwapOption::empty(),
            fleet_key_era: AtomicU32::new(0),
            planned,
            ended,
            returned,
            loaded: Notify::new(),
            gate: OnceLock::new(),
            started: Instant::now(),
        };
        let gateway = Arc::new(gateway);
        gateway.metrics.watch(&gateway);
        let inbox = Inbox {
            plans,
            journals,
            shortages: short,
            probes: wanted_probes,
        };
        Ok((gateway, inbox))
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.load_full()
    }

    /// Puts a newer configuration in force.
    pub fn set_table(&self, table: Table) {
        self.table.store(Some(Arc::new(table)));
    }

    /// The shared state; held for short steps only, never across a wait.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A random number.
    pub fn draw(&self) -> u64 {
        self.state().random.random()
    }

    /// Milliseconds of the process's steady clock.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Time since the process started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Stage of the process's life.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Acquire) {
            0 => Stage::Starting,
            1 => Stage::Ready,
            _ => Stage::Leaving,
        }
    }

    /// Goes on to a later stage; returns whether it is a new one.
    pub fn advance(&self, stage: Stage) -> bool {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel) < stage as u8
    }

    /// Whether callers are to be sent elsewhere.
    pub fn is_leaving(&self) -> bool {
        self.stage() == Stage::Leaving
    }

    /// Whether the instance takes requests.
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Ready
    }

    /// Time since the store answered last.
    pub fn store_silence(&self) -> Duration {
        let heard = self.store_heard_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.now_ms().saturating_sub(heard))
    }

    /// Whether the store answered last time.
    pub fn is_store_up(&self) -> bool {
        self.store_up.load(Ordering::Relaxed)
    }

    /// Notes whether the store answers; returns whether that is news.
    pub fn set_store_up(&self, up: bool) -> bool {
        if up {
            let now_ms = self.now_ms();
            let heard_ms = self.store_heard_ms.swap(now_ms, Ordering::Relaxed);
            let silence_ms = now_ms.saturating_sub(heard_ms);
            if silence_ms >= ENTRY_EXPIRY_OUTAGE_MS {
                self.state().registry.store_recovered(silence_ms, now_ms);
            }
        }
        let is_news = self.store_up.swap(up, Ordering::Relaxed) != up;
        if up && is_news {
            self.returned.send_modify(|count| *count += 1);
        }
        is_news
    }

    /// Wakes when the store answers again.
    pub fn returns(&self) -> watch::Receiver<u64> {
        self.returned.subscribe()
    }

    /// Notes that another instance's message has come.
    pub fn set_peer_heard(&self) {
        self.peer_heard_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Time since the last message of another instance.
    pub fn peer_silence(&self) -> Duration {
        let heard = self.peer_heard_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.now_ms().saturating_sub(heard))
    }

    /// Requests under way.
    pub fn open(&self) -> &AtomicUsize {
        &self.open
    }

    /// Asks the control thread to draw what requests miss, at once.
    pub fn want_plan(&self) {
        // A full channel means that it has been asked already.
        let _ = self.wanted_plans.try_send(());
    }

    /// Asks the control thread for a journal at once.
    pub fn want_journal(&self) {
        // A full channel means that it has been asked already.
        let _ = self.wanted_journals.try_send(());
    }

    /// Asks the control thread for both.
    pub fn want_tokens(&self) {
        self.want_journal();
        self.want_plan();
    }

    /// Borrows what a request misses from other instances; returns whether the account has it now.
    pub async fn borrow(&self, account: &Arc<str>, tokens: u64) -> bool {
        let (reply, answer) = oneshot::channel();
        let shortage = Shortage {
            account: account.clone(),
            tokens,
            reply,
        };
        if self.settings.peer.is_none() || self.shortages.try_send(shortage).is_err() {
            // A full channel means that many wait already, and a closed one that the process ends.
            return false;
        }
        let answer = tokio::time::timeout(BORROWING, answer).await;
        matches!(answer, Ok(Ok(true)))
    }

    /// The key that proves instances to each other, once it was read.
    pub fn fleet_key(&self) -> Option<Arc<Key>> {
        self.fleet_key.load_full()
    }

    /// Era of the store in which that key was read.
    pub fn fleet_key_era(&self) -> u32 {
        self.fleet_key_era.load(Ordering::Relaxed)
    }

    /// Sets that key as it was read in an era of the store. The row is replaced only where the store has lost it.
    pub fn set_fleet_key(&self, key: Key, era: u32) {
        self.fleet_key.store(Some(Arc::new(key)));
        self.fleet_key_era.store(era, Ordering::Relaxed);
    }

    /// Tells waiting requests that a plan was carried out.
    pub fn notify_planned(&self) {
        self.planned.send_modify(|count| *count += 1);
    }

    /// Tells requests under way that backend servers have started again or are gone.
    pub fn notify_ended(&self) {
        self.ended.send_modify(|count| *count += 1);
    }

    /// Wakes when backend servers have started again or are gone.
    pub fn ends(&self) -> watch::Receiver<u64> {
        self.ended.subscribe()
    }

    /// Tells that the own load has changed.
    pub fn notify_load_changed(&self) {
        self.loaded.notify_one();
    }

    /// Waits for a change of the own load.
    pub async fn load_changed(&self) {
        self.loaded.notified().await;
    }

    /// Wakes after each plan.
    pub fn plans(&self) -> watch::Receiver<u64> {
        self.planned.subscribe()
    }
}
