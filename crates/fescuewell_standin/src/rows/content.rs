//! Content of a store.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fescuewell_core::platform::InstanceList as _;
use fescuewell_core::table::Row;
use fescuewell_platform::{layout, memory};
use tokio::sync::watch;

/// Table, part and key.
pub(super) type Place = (Arc<str>, Arc<str>, Arc<str>);
/// A row's new content, or none.
pub(super) type Write = (Place, Option<Arc<[u8]>>);

#[derive(Debug, Clone)]
pub(super) struct Cell {
    pub(super) value: Arc<[u8]>,
    pub(super) version: u64,
}

#[derive(Debug, Clone)]
pub(super) struct Event {
    pub(super) place: Place,
    pub(super) version: u64,
    pub(super) value: Option<Arc<[u8]>>,
}

/// All rows at a moment; see [`super::Rows::copy`].
#[derive(Debug, Clone)]
pub struct Copy {
    version: u64,
    rows: BTreeMap<Place, Cell>,
    history: Vec<Event>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) era: u32,
    pub(super) version: u64,
    pub(super) rows: BTreeMap<Place, Cell>,
    pub(super) history: Vec<Event>,
    pub(super) dropped: u64,
    pub(super) calls: HashMap<Arc<str>, u64>,
}

/// Delay before a call is processed, in milliseconds.
#[derive(Debug, Default)]
pub struct Delay(AtomicU64);

impl Delay {
    /// Sets the delay of later calls.
    pub fn set(&self, millis: u64) {
        self.0.store(millis, Ordering::Relaxed);
    }

    pub(super) async fn pass(&self) {
        let millis = self.0.load(Ordering::Relaxed);
        if millis > 0 {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
    }
}

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    started: Instant,
    fault: memory::Fault,
    delay: Delay,
    objects_delay: Delay,
}

/// The content of a store; a clone is another handle to it, so that a stand-in that was stopped can be started again with what it
/// had.
#[derive(Clone)]
pub struct Content {
    shared: Arc<Shared>,
    /// The objects.
    pub objects: memory::Objects,
    /// The instance list, whose rows follow it with its lag.
    pub instances: memory::Instances,
}

impl Default for Content {
    fn default() -> Self {
        let (changed, _) = watch::channel(0);
        let shared = Shared {
            state: Mutex::default(),
            changed,
            started: Instant::now(),
            fault: memory::Fault::default(),
            delay: Delay::default(),
            objects_delay: Delay::default(),
        };
        Self {
            shared: Arc::new(shared),
            objects: memory::Objects::default(),
            instances: memory::Instances::default(),
        }
    }
}

impl Content {
    /// Controls of faults that all endpoints share, and counters of calls on rows.
    pub fn fault(&self) -> &memory::Fault {
        &self.shared.fault
    }

    /// Delay of calls on rows.
    pub fn delay(&self) -> &Delay {
        &self.shared.delay
    }

    /// Delay of calls on objects.
    pub fn objects_delay(&self) -> &Delay {
        &self.shared.objects_delay
    }

    /// The product's rows in key order, whatever the faults, uncounted.
    pub fn product(&self) -> Vec<Row> {
        self.rows(layout::PRODUCT)
    }

    pub(super) fn rows(&self, table: &str) -> Vec<Row> {
        let state = self.state();
        let rows = state.rows.iter().filter(|(place, _)| &*place.0 == table);
        rows.map(|(place, cell)| Row {
            key: place.2.clone(),
            value: cell.value.clone(),
            revision: cell.version,
        })
        .collect()
    }

    pub(super) fn value(&self, place: &Place) -> Option<Arc<[u8]>> {
        let state = self.state();
        state.rows.get(place).map(|cell| cell.value.clone())
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.shared.started.elapsed().as_millis() as u64
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }

    pub(super) fn wake(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }

    pub(super) fn write(&self, writes: Vec<Write>) -> u64 {
        let version = self.state().apply(writes);
        self.wake();
        version
    }

    pub(super) fn compact(&self) {
        let mut state = self.state();
        state.dropped = state.version;
        state.history.clear();
    }

    pub(super) fn copy(&self) -> Copy {
        let state = self.state();
        Copy {
            version: state.version,
            rows: state.rows.clone(),
            history: state.history.clone(),
        }
    }

    pub(super) fn restore(&self, copy: &Copy) {
        let mut state = self.state();
        state.era += 1;
        state.version = copy.version;
        state.rows = copy.rows.clone();
        state.history = copy.history.clone();
        drop(state);
        self.wake();
    }

    pub(super) fn count(&self, path: &Arc<str>) {
        *self.state().calls.entry(path.clone()).or_default() += 1;
    }

    pub(super) fn calls(&self, path: &str) -> u64 {
        self.state().calls.get(path).copied().unwrap_or_default()
    }

    /// Brings the rows of the instance list up to date; `false` if the list gives no answer.
    pub(super) fn follow_instances(&self) -> bool {
        let Ok(list) = self.instances.list() else {
            return false;
        };
        let place = |name: Arc<str>| (layout::INSTANCES.into(), "".into(), name);
        let mut listed = BTreeMap::new();
        for listing in &list {
            let value: Arc<[u8]> = layout::write_listing(listing).into();
            listed.insert(listing.name.clone(), value);
        }
        let mut writes = Vec::new();
        for row in self.rows(layout::INSTANCES) {
            match listed.get(&row.key) {
                Some(value) if *value == row.value => drop(listed.remove(&row.key)),
                Some(_) => {}
                None => writes.push((place(row.key), None)),
            }
        }
        let changed = listed.into_iter();
        writes.extend(changed.map(|(name, value)| (place(name), Some(value))));
        if !writes.is_empty() {
            self.write(writes);
        }
        true
    }
}

impl State {
    pub(super) fn apply(&mut self, writes: Vec<Write>) -> u64 {
        if writes.is_empty() {
            return self.version;
        }
        self.version += 1;
        let version = self.version;
        for (place, value) in writes {
            match &value {
                Some(value) => {
                    let value = value.clone();
                    self.rows.insert(place.clone(), Cell { value, version });
                }
                None => {
                    self.rows.remove(&place);
                }
            }
            self.history.push(Event {
                place,
                version,
                value,
            });
        }
        version
    }

    pub(super) fn version_of(&self, place: &Place) -> u64 {
        self.rows.get(place).map_or(0, |cell| cell.version)
    }
}
