//! Faults that tests switch on and off while the stand-in runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuewell_platform::memory::{self, Count};
use fescuewell_platform::sd;
use serde::{Deserialize, Serialize};

use super::{Delay, Shared};

/// Body of `POST /control`; what is left out stays as it is.
///
/// ```
/// use fescuewell_standin::platform::Control;
/// let control: Control = serde_json::from_str(r#"{
///     "table": {"lose_replies": 1},
///     "objects": "down",
///     "instances": {"lag_ms": 2000, "state": {"engine-1": "leaving"}}
/// }"#).unwrap();
/// assert!(control.table.is_some());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// A fault of the table service.
    pub table: Option<Fault>,
    /// A fault of the object store.
    pub objects: Option<Fault>,
    /// Changes to the instance list.
    pub instances: Option<Instances>,
    /// The weight store's rate, in bytes a second; 0 for no limit.
    pub weights_bytes_per_second: Option<u64>,
}

/// A fault of one service.
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

/// Changes to the instance list and its faults.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Instances {
    /// A fault of the list itself.
    pub fault: Option<Fault>,
    /// How long later changes take to be seen, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Entries to add or replace, in the list's own format.
    pub put: Vec<sd::Group>,
    /// New states by name: `live`, `leaving` or `terminated`.
    pub state: BTreeMap<Arc<str>, Arc<str>>,
    /// Names to take off the list.
    pub remove: Vec<Arc<str>>,
}

/// What both requests to `/control` answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Use of the table service.
    pub table: Count,
    /// Use of the object store.
    pub objects: Count,
    /// Use of the instance list.
    pub instances: Count,
    /// Bytes that the weight store sent.
    pub weights_bytes: u64,
}

impl Report {
    pub(super) fn of(shared: &Shared) -> Self {
        Self {
            table: shared.content.table.fault().count(),
            objects: shared.content.objects.fault().count(),
            instances: shared.content.instances.fault().count(),
            weights_bytes: shared.weights.sent.load(Ordering::Relaxed),
        }
    }
}

impl Control {
    pub(super) fn apply(&self, shared: &Shared) -> Result<(), sd::Malformed> {
        let content = &shared.content;
        if let Some(instances) = &self.instances {
            instances.apply(shared)?;
        }
        if let Some(fault) = self.table {
            fault.apply(content.table.fault(), &shared.table_delay, shared);
        }
        if let Some(fault) = self.objects {
            fault.apply(content.objects.fault(), &shared.objects_delay, shared);
        }
        if let Some(rate) = self.weights_bytes_per_second {
            shared.weights.set_rate(rate);
        }
        Ok(())
    }
}

impl Fault {
    fn apply(self, fault: &memory::Fault, delay: &Delay, shared: &Shared) {
        let clock = shared.clock.clone();
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
    /// Reads everything before it changes anything, so that a bad control does nothing at all.
    fn apply(&self, shared: &Shared) -> Result<(), sd::Malformed> {
        let list = &shared.content.instances;
        let mut listings = Vec::new();
        for group in &self.put {
            listings.extend(group.listings()?);
        }
        let mut states = Vec::new();
        for (name, state) in &self.state {
            states.push((name, sd::parse_state(state)?));
        }
        if let Some(fault) = self.fault {
            fault.apply(list.fault(), &shared.instances_delay, shared);
        }
        if let Some(lag) = self.lag_ms {
            list.set_lag(Duration::from_millis(lag), shared.clock.clone());
        }
        for listing in listings {
            list.put(listing);
        }
        for (name, state) in states {
            list.set_state(name, state);
        }
        for name in &self.remove {
            list.remove(name);
        }
        Ok(())
    }
}
