//! The in-memory instance list, which lags on demand.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fescuewell_core::platform::{self, Error, Listing, State};
use fescuewell_core::time::{Clock, Instant};

use super::fault::{CallResult, Fault};

const SERVICE: &str = "instance list";

/// An instance list that lives in memory and is shared by its clones.
///
/// Without a lag every change is seen at once; with one, only after that time on the clock given.
#[derive(Clone, Default)]
pub struct Instances {
    content: Arc<Mutex<Content>>,
    fault: Fault,
}

#[derive(Default)]
struct Content {
    /// What is true now.
    actual: Entries,
    /// What readers see.
    visible: Entries,
    /// Changes on their way from one to the other.
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
    /// The controls of this list's faults.
    pub fn fault(&self) -> &Fault {
        &self.fault
    }

    /// Lets every later change be seen only `delay` after it was made.
    pub fn set_lag(&self, delay: Duration, clock: Arc<dyn Clock>) {
        let mut content = self.lock();
        content.settle();
        content.lag = Some(Lag { delay, clock });
    }

    /// Adds a listing, or replaces the one of the same name.
    pub fn put(&self, listing: Listing) {
        self.lock().change(Change::Put(listing));
    }

    /// Sets the state of a name. Returns whether the list has that name.
    pub fn set_state(&self, name: &str, state: State) -> bool {
        self.lock().change(Change::State(name.into(), state))
    }

    /// Takes a name off the list. Returns whether the list had it.
    pub fn remove(&self, name: &str) -> bool {
        self.lock().change(Change::Remove(name.into()))
    }

    /// The list without lag and whatever the faults.
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
        self.settle();
        known
    }

    /// Makes visible what is due. Changes stay in order, so that a shorter lag set later does not
    /// let a newer change be overwritten by an older one.
    fn settle(&mut self) {
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

impl platform::Instances for Instances {
    fn list(&self) -> Result<Vec<Listing>, Error> {
        let reason = match self.fault.on_read() {
            CallResult::Completed => {
                let mut content = self.lock();
                content.settle();
                return Ok(content.visible.values().cloned().collect());
            }
            CallResult::Busy => "over its limit",
            CallResult::Down => "switched off",
            CallResult::ReplyLost | CallResult::RequestLost => "no reply",
        };
        Err(Error {
            service: SERVICE,
            reason: reason.into(),
        })
    }
}
