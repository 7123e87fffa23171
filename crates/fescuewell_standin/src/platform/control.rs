//! Faults that tests switch on and off while the stand-in runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuewell_core::platform::{Listing, State};
use fescuewell_platform::memory::{self, Counters};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::Others;
use crate::rows::Delay;

/// Body of `POST /control`; what is left out stays as it is.
///
/// ```
/// use fescuewell_standin::platform::Control;
/// let control: Control = serde_json::from_str(r#"{
///     "rows": {"lose_replies": 1},
///     "objects": "down",
///     "instances": {"lag_ms": 2000, "state": {"engine-1": "Leaving"}}
/// }"#).unwrap();
/// assert!(control.rows.is_some());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// A fault of the store's rows.
    pub rows: Option<Fault>,
    /// A fault of its objects.
    pub objects: Option<Fault>,
    /// Changes to the instance list.
    pub instances: Option<Instances>,
    /// The weight store's rate, in bytes a second; 0 for no limit.
    pub weights_bytes_per_second: Option<u64>,
}

/// A fault of one part of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Requests are not answered.
    Down,
    /// They are again.
    Up,
    /// Each request waits so many milliseconds before it is looked at.
    SlowMs(u64),
    /// The next so many writing requests take effect and are not answered.
    LoseReplies(u32),
    /// The next so many writing requests are dropped and not answered.
    LoseRequests(u32),
    /// Limit on writing requests; 0 for none.
    WritesPerSecond(u32),
    /// Limit on reading requests; 0 for none.
    ReadsPerSecond(u32),
}

/// Changes to the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Instances {
    /// Whether the list is unreachable.
    pub down: Option<bool>,
    /// How long later changes take to be seen, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Entries to add or replace.
    pub put: Vec<Listing>,
    /// New states by name.
    pub state: BTreeMap<Arc<str>, State>,
    /// Names to take off the list.
    pub remove: Vec<Arc<str>>,
}

/// A name that the instance list does not have.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the instance list has no {name:?}"))]
pub struct Unknown {
    /// The name.
    pub name: Arc<str>,
}

/// What both requests to `/control` answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Use of the store's rows.
    pub rows: Counters,
    /// Use of its objects.
    pub objects: Counters,
    /// Use of the instance list.
    pub instances: Counters,
    /// Bytes that the weight store sent.
    pub weights_bytes: u64,
}

impl Report {
    pub(super) fn of(others: &Others) -> Self {
        let content = &others.content;
        Self {
            rows: content.fault().counters(),
            objects: content.objects.fault().counters(),
            instances: content.instances.fault().counters(),
            weights_bytes: others.weights.sent.load(Ordering::Relaxed),
        }
    }
}

impl Control {
    pub(super) fn apply(&self, others: &Others) -> Result<(), Unknown> {
        let content = &others.content;
        if let Some(instances) = &self.instances {
            instances.apply(others)?;
        }
        if let Some(fault) = self.rows {
            fault.apply(content.fault(), content.delay(), others);
        }
        if let Some(fault) = self.objects {
            fault.apply(content.objects.fault(), content.objects_delay(), others);
        }
        if let Some(rate) = self.weights_bytes_per_second {
            others.weights.set_rate(rate);
        }
        Ok(())
    }
}

impl Fault {
    fn apply(self, fault: &memory::Fault, delay: &Delay, others: &Others) {
        let clock = others.clock.clone();
        match self {
            Self::Down => fault.set_down(true),
            Self::Up => fault.set_down(false),
            Self::SlowMs(millis) => delay.set(millis),
            Self::LoseReplies(count) => fault.lose_next_replies(count),
            Self::LoseRequests(count) => fault.lose_next_requests(count),
            Self::WritesPerSecond(limit) => fault.set_writes_per_second(limit, clock),
            Self::ReadsPerSecond(limit) => fault.set_reads_per_second(limit, clock),
        }
    }
}

impl Instances {
    /// Looks for every name before it changes anything, so that a bad control does nothing at all.
    fn apply(&self, others: &Others) -> Result<(), Unknown> {
        let list = &others.content.instances;
        let mut known: Vec<Arc<str>> = list.actual().into_iter().map(|row| row.name).collect();
        known.extend(self.put.iter().map(|listing| listing.name.clone()));
        for name in self.state.keys().chain(&self.remove) {
            if !known.contains(name) {
                return Err(Unknown { name: name.clone() });
            }
        }
        if let Some(down) = self.down {
            list.fault().set_down(down);
        }
        if let Some(lag) = self.lag_ms {
            list.set_lag(Duration::from_millis(lag), others.clock.clone());
        }
        for listing in &self.put {
            list.put(listing.clone());
        }
        for (name, state) in &self.state {
            list.set_state(name, *state);
        }
        for name in &self.remove {
            list.remove(name);
        }
        Ok(())
    }
}
