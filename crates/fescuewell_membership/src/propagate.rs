//! Propagation of accepted documents to this instance; versions never go back.
//!
//! The newest head comes from the table's row `head` or from a peer. Objects that the new document
//! does not share with the one in force come from a peer that has them, or from the object store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Reply, Row, Step};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

pub use crate::gossip::Head;

/// Key of the row that names the document in force.
pub const HEAD_KEY: &str = "head";
/// Number of failed fetches after which collection switches to a newer head, if there is one.
const MAX_FAILURES: u32 = 8;
/// Maximum number of concurrent fetches.
const MAX_FETCHES: usize = 32;

/// Why an object was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The bytes do not match the name: another source may have the right ones.
    Corrupt,
    /// This program cannot read the document, whatever the source.
    Unreadable,
}

/// Assembles a document from its objects. The document's crate implements it.
pub trait Assembler {
    /// Decodes the row `head`.
    ///
    /// # Errors
    ///
    /// [`Rejection::Unreadable`] if the row is not a head that this program can read.
    fn head(&self, row: &Row) -> Result<Head, Rejection>;

    /// Starts the document with that root, reusing objects of the one in force.
    ///
    /// # Errors
    ///
    /// [`Rejection::Unreadable`] if the objects already present cannot be read.
    fn start(&mut self, root: Digest) -> Result<(), Rejection>;

    /// Names of the objects to fetch next; empty when the document is complete.
    fn missing(&self) -> Vec<Arc<str>>;

    /// Adds one object.
    ///
    /// # Errors
    ///
    /// If the object is rejected.
    fn supply(&mut self, name: &str, bytes: &[u8]) -> Result<(), Rejection>;
}

fescuewell_core::data! {
    /// Where an object is fetched from.
    #[derive(PartialOrd, Ord)]
    pub enum Source {
        /// The platform's object store.
        Store,
        /// The instance of that name.
        Peer(Arc<str>),
    }

    /// An object to fetch.
    pub struct FetchRequest {
        /// Name of the object.
        pub name: Arc<str>,
        /// Where to fetch it.
        pub from: Source,
    }

    /// Polling and fetching intervals.
    pub struct Settings {
        /// Time between two reads of the row `head`, before jitter.
        pub poll_interval: Duration,
        /// Time after which an object is requested from another source.
        pub fetch_timeout: Duration,
        /// Maximum time for which an instance that learned of a head from the table waits for a
        /// peer to have the document, before it uses the store.
        pub store_wait: Duration,
    }
}

/// Maximum head polls per second of the whole fleet.
const FLEET_POLLS_PER_S: f64 = 425.0;
/// Minimum time between two polls.
const MIN_POLL_INTERVAL_S: f64 = 1.0;
/// Wait before the store is used, per instance of the fleet. While the first instances fetch the
/// document and pass it on, about five of 850 request it from the store needlessly.
const STORE_WAIT_PER_INSTANCE_S: f64 = 0.005;

impl Settings {
    /// Settings for a fleet of `instances`.
    pub fn sized(instances: u32) -> Self {
        let count = f64::from(instances);
        Self {
            poll_interval: Duration::from_secs_f64(
                (count / FLEET_POLLS_PER_S).max(MIN_POLL_INTERVAL_S),
            ),
            fetch_timeout: Duration::from_secs(1),
            store_wait: Duration::from_secs_f64(count * STORE_WAIT_PER_INSTANCE_S),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::sized(9)
    }
}

/// A fetch in progress.
#[derive(Debug, Clone)]
struct Fetch {
    from: Source,
    started_at: Instant,
}

/// A peer that has a document.
#[derive(Debug, Clone, Copy, Default)]
struct Provider {
    version: Version,
    is_local: bool,
}

/// A document whose objects are being collected.
#[derive(Debug, Clone)]
struct Collection {
    head: Head,
    store_allowed_at: Instant,
    store_retry_at: Instant,
    fetches: BTreeMap<Arc<str>, Fetch>,
    failed_sources: BTreeSet<(Arc<str>, Arc<str>)>,
    failures: u32,
}

/// The propagation state machine of one instance.
///
/// ```
/// use fescuewell_core::prelude::*;
/// use fescuewell_core::table::Step;
/// use fescuewell_membership::propagate::{Propagation, Settings};
/// let mut propagation = Propagation::new(Settings::default(), 7);
/// let now = Instant::from_millis(2_000);
/// assert!(matches!(propagation.next_step(now), Some(Step::Read { .. })));
/// assert!(!propagation.is_ready(), "no head was ever read");
/// ```
#[derive(Debug)]
pub struct Propagation {
    settings: Settings,
    rng: SmallRng,
    next_poll_at: Instant,
    is_polling: bool,
    newest: Option<Head>,
    in_force: Option<Head>,
    unreadable: Option<Version>,
    is_head_unreadable: bool,
    collection: Option<Collection>,
    complete: Option<Head>,
    providers: BTreeMap<Arc<str>, Provider>,
}

impl Propagation {
    /// Creates an instance that knows no head.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first = settings.poll_interval.mul_f64(rng.random::<f64>());
        Self {
            settings,
            rng,
            next_poll_at: Instant::default() + first,
            is_polling: false,
            newest: None,
            in_force: None,
            unreadable: None,
            is_head_unreadable: false,
            collection: None,
            complete: None,
            providers: BTreeMap::new(),
        }
    }

    /// The head of the document in force here.
    pub fn in_force(&self) -> Option<Head> {
        self.in_force
    }

    /// Whether this instance may serve with the document in force: there is one, and no newer one
    /// that this program cannot read.
    pub fn is_ready(&self) -> bool {
        let version = self.in_force.map(|head| head.version);
        version.is_some() && self.unreadable <= version && !self.is_head_unreadable
    }

    /// The next table access.
    pub fn next_step(&mut self, now: Instant) -> Option<Step> {
        if self.is_polling || now < self.next_poll_at {
            return None;
        }
        self.is_polling = true;
        let jitter = self.rng.random_range(0.8..1.2);
        self.next_poll_at = now + self.settings.poll_interval.mul_f64(jitter);
        Some(Step::Read {
            keys: vec![HEAD_KEY.into()],
        })
    }

    /// Handles the reply to the last step.
    pub fn reply(&mut self, now: Instant, reply: Reply, assembler: &mut dyn Assembler) {
        self.is_polling = false;
        let Reply::Rows(rows) = reply else {
            return;
        };
        let Some(row) = rows.first() else {
            return;
        };
        let read = assembler.head(row);
        self.is_head_unreadable = read.is_err();
        let Ok(head) = read else {
            return;
        };
        let wait = self.settings.store_wait.mul_f64(self.rng.random::<f64>());
        self.observe_head(now, head, now + wait, assembler);
    }

    /// Records that a peer has the document of that head in force, and so all of its objects.
    /// `is_local` says whether it is in this instance's zone; local peers are preferred.
    pub fn record_peer_head(
        &mut self,
        now: Instant,
        from: &str,
        is_local: bool,
        head: Head,
        assembler: &mut dyn Assembler,
    ) {
        let provider = self.providers.entry(from.into()).or_default();
        provider.version = head.version.max(provider.version);
        provider.is_local = is_local;
        let wait = self.settings.store_wait + self.settings.fetch_timeout;
        self.observe_head(now, head, now + wait, assembler);
    }

    /// Forgets an instance that is gone and can supply nothing any more.
    pub fn forget(&mut self, instance: &str) {
        self.providers.remove(instance);
    }

    /// The objects to fetch now.
    pub fn next_fetches(
        &mut self,
        now: Instant,
        assembler: &mut dyn Assembler,
    ) -> Vec<FetchRequest> {
        self.expire_fetches(now, assembler);
        let Some(mut collection) = self.collection.take() else {
            return Vec::new();
        };
        let mut requests = Vec::new();
        for name in assembler.missing() {
            if collection.fetches.contains_key(&name) {
                continue;
            }
            if collection.fetches.len() >= MAX_FETCHES {
                break;
            }
            let Some(from) = self.source(now, &collection, &name) else {
                continue;
            };
            let fetch = Fetch {
                from: from.clone(),
                started_at: now,
            };
            collection.fetches.insert(name.clone(), fetch);
            requests.push(FetchRequest { name, from });
        }
        self.collection = Some(collection);
        requests
    }

    /// Handles the result of a fetch: the object's bytes, or `None` if it failed.
    pub fn supply(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        bytes: Option<&[u8]>,
        from: Source,
        assembler: &mut dyn Assembler,
    ) {
        let Some(collection) = &mut self.collection else {
            return;
        };
        let fetch = collection.fetches.get(name);
        if fetch.is_some_and(|fetch| fetch.from == from) {
            collection.fetches.remove(name);
        }
        let taken = bytes.map(|bytes| assembler.supply(name, bytes));
        match taken {
            Some(Ok(())) => self.check_complete(assembler),
            Some(Err(Rejection::Unreadable)) => self.reject(now, assembler),
            Some(Err(Rejection::Corrupt)) | None => self.record_failure(now, name, from, assembler),
        }
    }

    /// Takes the head whose document is complete in the assembler; returned once. The caller
    /// finishes and applies the document and then calls [`Self::mark_applied`] or
    /// [`Self::mark_unreadable`].
    pub fn take_complete(&mut self) -> Option<Head> {
        self.complete.take()
    }

    /// Records that the document of `head` is now in force.
    pub fn mark_applied(&mut self, now: Instant, head: Head, assembler: &mut dyn Assembler) {
        let version = self.in_force.map(|known| known.version);
        if version < Some(head.version) {
            self.in_force = Some(head);
            log_event!(Event::DocumentInForce, "version={}", head.version.0);
        }
        self.collection = None;
        self.begin_newest(now, now, assembler);
    }

    /// Records that the completed document turned out to be unreadable.
    pub fn mark_unreadable(&mut self, now: Instant, assembler: &mut dyn Assembler) {
        self.reject(now, assembler);
    }

    /// Versions only increase, whatever the source: otherwise a lagging replica, a peer that is
    /// behind or a late reply of the store would restore what an operator has withdrawn.
    fn observe_head(
        &mut self,
        now: Instant,
        head: Head,
        store_allowed_at: Instant,
        assembler: &mut dyn Assembler,
    ) {
        let known = self.newest.map(|known| known.version);
        if known >= Some(head.version) {
            return;
        }
        self.newest = Some(head);
        // The current collection is finished first. If it restarted with each newer head, an
        // instance with a slow link would bring nothing into force while an operator's script makes
        // many changes.
        if self.collection.is_none() {
            self.begin_newest(now, store_allowed_at, assembler);
        }
    }

    fn begin_newest(
        &mut self,
        now: Instant,
        store_allowed_at: Instant,
        assembler: &mut dyn Assembler,
    ) {
        let Some(head) = self.newest else {
            return;
        };
        let version = Some(head.version);
        let in_force = self.in_force.map(|known| known.version);
        if version <= in_force || version <= self.unreadable {
            return;
        }
        self.collection = Some(Collection {
            head,
            store_allowed_at,
            store_retry_at: now,
            fetches: BTreeMap::new(),
            failed_sources: BTreeSet::new(),
            failures: 0,
        });
        match assembler.start(head.root) {
            Ok(()) => self.check_complete(assembler),
            Err(_) => self.reject(now, assembler),
        }
    }

    fn check_complete(&mut self, assembler: &mut dyn Assembler) {
        if !assembler.missing().is_empty() {
            return;
        }
        self.complete = self.collection.as_ref().map(|collection| collection.head);
    }

    /// Rejects a document that this program cannot read. It is never used in part: the instance is
    /// not ready until there is a newer head, or a newer program.
    fn reject(&mut self, now: Instant, assembler: &mut dyn Assembler) {
        let Some(collection) = self.collection.take() else {
            return;
        };
        let version = collection.head.version;
        self.complete = None;
        self.unreadable = self.unreadable.max(Some(version));
        log_event!(
            Event::DocumentRefused,
            "version={} reason=unreadable",
            version.0
        );
        self.begin_newest(now, now, assembler);
    }

    fn record_failure(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        from: Source,
        assembler: &mut dyn Assembler,
    ) {
        let wait = self
            .settings
            .fetch_timeout
            .mul_f64(self.rng.random_range(0.5..1.5));
        let Some(collection) = &mut self.collection else {
            return;
        };
        collection.failures += 1;
        match from {
            Source::Peer(instance) => {
                collection.failed_sources.insert((name.clone(), instance));
            }
            // Retried at once, a failing store would get a continuous stream of requests from every
            // instance. The peers are tried again meanwhile.
            Source::Store => {
                collection.store_retry_at = now + wait;
                collection.failed_sources.clear();
            }
        }
        // Objects of a version that nobody has in force any more may no longer exist.
        let newer = self.newest.map(|head| head.version) > Some(collection.head.version);
        if newer && collection.failures >= MAX_FAILURES {
            self.collection = None;
            self.begin_newest(now, now, assembler);
        }
    }

    fn expire_fetches(&mut self, now: Instant, assembler: &mut dyn Assembler) {
        let timeout = self.settings.fetch_timeout;
        let Some(collection) = &mut self.collection else {
            return;
        };
        let expired = collection.fetches.iter();
        let expired = expired.filter(|(_, fetch)| now.since(fetch.started_at) >= timeout);
        let expired: Vec<(Arc<str>, Source)> = expired
            .map(|(name, fetch)| (name.clone(), fetch.from.clone()))
            .collect();
        for (name, from) in expired {
            if let Some(collection) = &mut self.collection {
                collection.fetches.remove(&name);
            }
            self.record_failure(now, &name, from, assembler);
        }
    }

    /// Chooses a peer that has the document and has not failed to supply the object, preferably a
    /// local one. Falls back to the store once its wait is over or every such peer has failed.
    fn source(&mut self, now: Instant, collection: &Collection, name: &Arc<str>) -> Option<Source> {
        let version = collection.head.version;
        let available = self
            .providers
            .iter()
            .filter(|(_, provider)| provider.version >= version);
        let available: Vec<(&Arc<str>, &Provider)> = available.collect();
        let has_failed = |instance: &Arc<str>| {
            let pair = (name.clone(), instance.clone());
            collection.failed_sources.contains(&pair)
        };
        let usable = available
            .iter()
            .filter(|(instance, _)| !has_failed(instance));
        let (local, remote): (Vec<_>, Vec<_>) = usable.partition(|(_, provider)| provider.is_local);
        let nearest = if local.is_empty() { remote } else { local };
        if let Some((instance, _)) = nearest.choose(&mut self.rng) {
            return Some(Source::Peer((*instance).clone()));
        }
        let due = now >= collection.store_allowed_at || !available.is_empty();
        (due && now >= collection.store_retry_at).then_some(Source::Store)
    }
}
