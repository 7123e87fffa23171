//! In-memory instance list with a configurable propagation delay.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fescuewell_core::platform::{self, Error, Listing, State};
use fescuewell_core::time::{Clock, Instant};

use super::fault::{CallResult, Fault};

const SERVICE: &str = "instance list";

/// An instance list that lives in memory and is shared by its clones.
///
/// Changes are visible at once, or after the delay set by [`Instances::set_lag`].
#[derive(Clone, Default)]
pub struct Instances {
    content: Arc<Mutex<Content>>,
    fault: Fault,
}

#[derive(Default)]
struct Content {
    /// The current entries.
    actual: Entries,
    /// The entries that readers see.
    visible: Entries,
    /// Changes that are not visible yet, each with the time at which it becomes visible.
    pending: VecDeque<(Instant, Change)>,
    lag: Option<Lag>,
}

type Entries = BTreeMap<Arc<str>, Listing>;

struct Lag {
    delay: Duration,
    clock: Arc<dyn Clock>,
}

#[derive(Clone)]
enum Change {
    Put(Listing),
    State(Arc<str>, State),
    Remove(Arc<str>),
}

impl Instances {
    /// Returns the fault controls of this list.
    pub fn fault(&self) -> &Fault {
        &self.fault
    }

    /// Makes every later change visible only `delay` after it is made, measured on `clock`.
    pub fn set_lag(&self, delay: Duration, clock: Arc<dyn Clock>) {
        let mut content = self.lock();
        content.apply_due();
        content.lag = Some(Lag { delay, clock });
    }

    /// Adds a listing or replaces the one with the same name.
    pub fn put(&self, listing: Listing) {
        self.lock().change(Change::Put(listing));
    }

    /// Sets the state of the instance `name`. Returns whether the list contains it.
    pub fn set_state(&self, name: &str, state: State) -> bool {
        self.lock().change(Change::State(name.into(), state))
    }

    /// Removes the instance `name`. Returns whether the list contained it.
    pub fn remove(&self, name: &str) -> bool {
        self.lock().change(Change::Remove(name.into()))
    }

    /// Returns the current list, ignoring the delay and any faults.
    pub fn actual(&self) -> Vec<Listing> {
        self.lock().actual.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Content {
    fn change(&mut self, change: Change) -> bool {
        let known = apply(&mut self.actual, change.clone());
        let due = match &self.lag {
            Some(lag) => lag.clock.now() + lag.delay,
            None => Instant::default(),
        };
        self.pending.push_back((due, change));
        self.apply_due();
        known
    }

    /// Makes the changes that are due visible. Changes are applied in the order they were made;
    /// otherwise, after the delay is shortened, an older change could overwrite a newer one.
    fn apply_due(&mut self) {
        let now = match &self.lag {
            Some(lag) => lag.clock.now(),
            None => Instant::default(),
        };
        while let Some((due, change)) = self.pending.pop_front() {
            if due > now {
                self.pending.push_front((due, change));
                return;
            }
            apply(&mut self.visible, change);
        }
    }
}

fn apply(entries: &mut Entries, change: Change) -> bool {
    match change {
        Change::Put(listing) => entries.insert(listing.name.clone(), listing).is_some(),
        Change::Remove(name) => entries.remove(&name).is_some(),
        Change::State(name, state) => match entries.get_mut(&name) {
            Some(listing) => {
                listing.state = state;
                true
            }
            None => false,
        },
    }
}

impl platform::InstanceList for Instances {
    fn list(&self) -> Result<Vec<Listing>, Error> {
        let reason = match self.fault.on_read() {
            CallResult::Completed => {
                let mut content = self.lock();
                content.apply_due();
                return Ok(content.visible.values().cloned().collect());
            }
            CallResult::Busy => "rate limit exceeded",
            CallResult::Down => "service is down",
            CallResult::ReplyLost | CallResult::RequestLost => "no reply",
        };
        Err(Error {
            service: SERVICE,
            reason: reason.into(),
        })
    }
}
