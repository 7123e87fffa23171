//! How an accepted document reaches this instance and never reverts.
//!
//! The newest head comes from the table's row `head` or from a peer; the objects that the document in
//! force does not share with the new one come from a peer that has them, or from the object store.

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
/// Failed fetches after which a newer head is collected in place of the present one.
const MOST_FAILURES: u32 = 8;
/// Most objects under way at once.
const MOST_FETCHES: usize = 32;

/// Why an object was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The bytes are not what the name stands for: another source may have the right ones.
    Corrupt,
    /// This program cannot read the document, from whatever source.
    Unreadable,
}

/// Puts a document together from its objects. The document's crate knows how.
pub trait Assembler {
    /// Reads the row `head`.
    ///
    /// # Errors
    ///
    /// [`Rejection::Unreadable`] when it holds no head that this program can read.
    fn head(&self, row: &Row) -> Result<Head, Rejection>;

    /// Begins with the document of that root, reusing objects of the one in force.
    ///
    /// # Errors
    ///
    /// [`Rejection::Unreadable`] when what is already here cannot be read.
    fn start(&mut self, root: Digest) -> Result<(), Rejection>;

    /// Names of the objects to fetch next; empty when the document is complete.
    fn missing(&self) -> Vec<Arc<str>>;

    /// Takes one object.
    ///
    /// # Errors
    ///
    /// When it was not taken.
    fn supply(&mut self, name: &str, bytes: &[u8]) -> Result<(), Rejection>;
}

fescuewell_core::data! {
    /// Where an object may come from.
    #[derive(PartialOrd, Ord)]
    pub enum Source {
        /// The platform's object store.
        Store,
        /// The instance of that name.
        Peer(Arc<str>),
    }

    /// An object to fetch.
    pub struct FetchRequest {
        /// Its name.
        pub name: Arc<str>,
        /// Where to fetch it.
        pub from: Source,
    }

    /// How often is asked and how long is waited.
    pub struct Settings {
        /// Time between two readings of the row `head`, before jitter.
        pub poll_interval: Duration,
        /// Time after which an object is asked for elsewhere.
        pub fetch_timeout: Duration,
        /// An instance that learned of a head from the table waits up to so long for a peer to have the
        /// document before it asks the store.
        pub store_wait: Duration,
    }
}

/// Head polls a second that the whole fleet may make.
const FLEET_POLLS: f64 = 425.0;
/// Shortest time between two polls in seconds.
const LEAST_POLL: f64 = 1.0;
/// Wait before the store is asked, in seconds for each instance of the fleet. While the first of them
/// fetches and the peers pass it on, about five in a fleet of 850 ask the store in vain.
const STORE_WAIT: f64 = 0.005;

impl Settings {
    /// Settings for a fleet of `instances`.
    pub fn sized(instances: u32) -> Self {
        let count = f64::from(instances);
        Self {
            poll_interval: Duration::from_secs_f64((count / FLEET_POLLS).max(LEAST_POLL)),
            fetch_timeout: Duration::from_secs(1),
            store_wait: Duration::from_secs_f64(count * STORE_WAIT),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::sized(9)
    }
}

/// One object that was asked for.
#[derive(Debug, Clone)]
struct Fetch {
    from: Source,
    at: Instant,
}

/// A peer that has documents.
#[derive(Debug, Clone, Copy, Default)]
struct Holder {
    version: Version,
    near: bool,
}

/// A document that is being collected.
#[derive(Debug, Clone)]
struct Collection {
    head: Head,
    store_from: Instant,
    store_barred: Instant,
    fetches: BTreeMap<Arc<str>, Fetch>,
    refused: BTreeSet<(Arc<str>, Arc<str>)>,
    failures: u32,
}

/// One instance's part in bringing a document into force.
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
    due_poll: Instant,
    polling: bool,
    newest: Option<Head>,
    in_force: Option<Head>,
    unreadable: Option<Version>,
    head_unreadable: bool,
    collection: Option<Collection>,
    complete: Option<Head>,
    holders: BTreeMap<Arc<str>, Holder>,
}

impl Propagation {
    /// An instance that knows no head.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first = settings.poll_interval.mul_f64(rng.random::<f64>());
        Self {
            settings,
            rng,
            due_poll: Instant::default() + first,
            polling: false,
            newest: None,
            in_force: None,
            unreadable: None,
            head_unreadable: false,
            collection: None,
            complete: None,
            holders: BTreeMap::new(),
        }
    }

    /// The head of the document in force here.
    pub fn in_force(&self) -> Option<Head> {
        self.in_force
    }

    /// Whether this instance may serve by the document in force: there is one, and no newer one that
    /// this program cannot read.
    pub fn is_ready(&self) -> bool {
        let version = self.in_force.map(|head| head.version);
        version.is_some() && self.unreadable <= version && !self.head_unreadable
    }

    /// The next piece of table work.
    pub fn next_step(&mut self, now: Instant) -> Option<Step> {
        if self.polling || now < self.due_poll {
            return None;
        }
        self.polling = true;
        let jitter = self.rng.random_range(0.8..1.2);
        self.due_poll = now + self.settings.poll_interval.mul_f64(jitter);
        Some(Step::Read {
            keys: vec![HEAD_KEY.into()],
        })
    }

    /// Takes the reply to the last step.
    pub fn reply(&mut self, now: Instant, reply: Reply, assembler: &mut dyn Assembler) {
        self.polling = false;
        let Reply::Rows(rows) = reply else {
            return;
        };
        let Some(row) = rows.first() else {
            return;
        };
        let read = assembler.head(row);
        self.head_unreadable = read.is_err();
        let Ok(head) = read else {
            return;
        };
        let wait = self.settings.store_wait.mul_f64(self.rng.random::<f64>());
        self.learn(now, head, now + wait, assembler);
    }

    /// A peer has the document of that head in force, and so all of its objects. `near` says that it is
    /// in this instance's zone: near peers are asked first.
    pub fn record_peer_head(
        &mut self,
        now: Instant,
        from: &str,
        near: bool,
        head: Head,
        assembler: &mut dyn Assembler,
    ) {
        let holder = self.holders.entry(from.into()).or_default();
        holder.version = head.version.max(holder.version);
        holder.near = near;
        let wait = self.settings.store_wait + self.settings.fetch_timeout;
        self.learn(now, head, now + wait, assembler);
    }

    /// An instance is gone; it can supply nothing any more.
    pub fn forget(&mut self, instance: &str) {
        self.holders.remove(instance);
    }

    /// Objects to fetch now.
    pub fn next_fetches(
        &mut self,
        now: Instant,
        assembler: &mut dyn Assembler,
    ) -> Vec<FetchRequest> {
        self.give_up_late(now, assembler);
        let Some(mut collection) = self.collection.take() else {
            return Vec::new();
        };
        let mut wants = Vec::new();
        for name in assembler.missing() {
            if collection.fetches.contains_key(&name) {
                continue;
            }
            if collection.fetches.len() >= MOST_FETCHES {
                break;
            }
            let Some(from) = self.source(now, &collection, &name) else {
                continue;
            };
            let fetch = Fetch {
                from: from.clone(),
                at: now,
            };
            collection.fetches.insert(name.clone(), fetch);
            wants.push(FetchRequest { name, from });
        }
        self.collection = Some(collection);
        wants
    }

    /// Takes what a source gave for an object: its bytes, or nothing.
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
        let asked = collection.fetches.get(name);
        if asked.is_some_and(|fetch| fetch.from == from) {
            collection.fetches.remove(name);
        }
        let taken = bytes.map(|bytes| assembler.supply(name, bytes));
        match taken {
            Some(Ok(())) => self.check_complete(assembler),
            Some(Err(Rejection::Unreadable)) => self.refuse(now, assembler),
            Some(Err(Rejection::Corrupt)) | None => self.failed(now, name, from, assembler),
        }
    }

    /// The head whose document is complete in the assembler, once. The caller finishes and applies the
    /// document and then calls [`Self::mark_applied`] or [`Self::mark_unreadable`].
    pub fn take_complete(&mut self) -> Option<Head> {
        self.complete.take()
    }

    /// The document of `head` is in force now.
    pub fn mark_applied(&mut self, now: Instant, head: Head, assembler: &mut dyn Assembler) {
        let version = self.in_force.map(|known| known.version);
        if version < Some(head.version) {
            self.in_force = Some(head);
            log_event!(Event::DocumentInForce, "version={}", head.version.0);
        }
        self.collection = None;
        self.begin_newest(now, now, assembler);
    }

    /// The completed document of `head` could not be read after all.
    pub fn mark_unreadable(&mut self, now: Instant, assembler: &mut dyn Assembler) {
        self.refuse(now, assembler);
    }

    /// Versions only rise, whatever the source: a replica that lags, a peer that is behind and a store
    /// that answers late would otherwise bring back what an operator has withdrawn.
    fn learn(
        &mut self,
        now: Instant,
        head: Head,
        store_from: Instant,
        assembler: &mut dyn Assembler,
    ) {
        let known = self.newest.map(|known| known.version);
        if known >= Some(head.version) {
            return;
        }
        self.newest = Some(head);
        // What is being collected is finished first. Restarted with each newer head, an instance with
        // a slow link would bring nothing into force while an operator's script makes many changes.
        if self.collection.is_none() {
            self.begin_newest(now, store_from, assembler);
        }
    }

    fn begin_newest(&mut self, now: Instant, store_from: Instant, assembler: &mut dyn Assembler) {
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
            store_from,
            store_barred: now,
            fetches: BTreeMap::new(),
            refused: BTreeSet::new(),
            failures: 0,
        });
        match assembler.start(head.root) {
            Ok(()) => self.check_complete(assembler),
            Err(_) => self.refuse(now, assembler),
        }
    }

    fn check_complete(&mut self, assembler: &mut dyn Assembler) {
        if !assembler.missing().is_empty() {
            return;
        }
        self.complete = self.collection.as_ref().map(|collection| collection.head);
    }

    /// A document that this program cannot read is never used in part: the instance stops being ready
    /// until a newer head, or a newer program, comes.
    fn refuse(&mut self, now: Instant, assembler: &mut dyn Assembler) {
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

    fn failed(
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
                collection.refused.insert((name.clone(), instance));
            }
            // Asked again at once, a store that is down would get one request after the other from
            // every instance. The peers get another chance meanwhile.
            Source::Store => {
                collection.store_barred = now + wait;
                collection.refused.clear();
            }
        }
        // Objects of a version that nobody has in force any more may be gone for good.
        let newer = self.newest.map(|head| head.version) > Some(collection.head.version);
        if newer && collection.failures >= MOST_FAILURES {
            self.collection = None;
            self.begin_newest(now, now, assembler);
        }
    }

    fn give_up_late(&mut self, now: Instant, assembler: &mut dyn Assembler) {
        let timeout = self.settings.fetch_timeout;
        let Some(collection) = &mut self.collection else {
            return;
        };
        let late = collection.fetches.iter();
        let late = late.filter(|(_, fetch)| now.since(fetch.at) >= timeout);
        let late: Vec<(Arc<str>, Source)> = late
            .map(|(name, fetch)| (name.clone(), fetch.from.clone()))
            .collect();
        for (name, from) in late {
            if let Some(collection) = &mut self.collection {
                collection.fetches.remove(&name);
            }
            self.failed(now, &name, from, assembler);
        }
    }

    /// A peer that has the document and has not refused the object, or else the store once its time
    /// has come or every such peer has refused.
    fn source(&mut self, now: Instant, collection: &Collection, name: &Arc<str>) -> Option<Source> {
        let version = collection.head.version;
        let able = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.version >= version);
        let able: Vec<(&Arc<str>, &Holder)> = able.collect();
        let refused = |instance: &Arc<str>| {
            let pair = (name.clone(), instance.clone());
            collection.refused.contains(&pair)
        };
        let willing = able.iter().filter(|(instance, _)| !refused(instance));
        let (near, far): (Vec<_>, Vec<_>) = willing.partition(|(_, holder)| holder.near);
        let nearest = if near.is_empty() { far } else { near };
        if let Some((instance, _)) = nearest.choose(&mut self.rng) {
            return Some(Source::Peer((*instance).clone()));
        }
        let due = now >= collection.store_from || !able.is_empty();
        (due && now >= collection.store_barred).then_some(Source::Store)
    }
}
