//! The planner, which plans orders, records them in the table, issues them and observes their
//! effect.
//!
//! Sequence for one order: the row `order/{server}` is written by compare-and-swap; the order is
//! returned for sending once; the server's state is observed until it shows the effect or the order
//! times out. A new leader first takes over every row. From then on the writes of an earlier leader
//! fail, so it issues no more orders, and its last order for each server is known from the row.

mod table;

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, LazyLock};

use fescuewell_core::chart::{Chart, State};
use fescuewell_core::prelude::*;
use fescuewell_document::prelude::{Document, ServerRole};

use crate::fleet::{Fleet, Observation, Pending, Undelivered, has_effect, serving_counts};
use crate::goal::Needs;
use crate::order::{Action, LateOrder, Order, Response};
use crate::plan::{Context, Proposal};
use crate::settings::{Settings, millis};

static LEADERSHIP: LazyLock<Chart> =
    LazyLock::new(|| Chart::parse(include_str!("duty.json")).expect("duty.json is a state chart"));

fescuewell_core::message! {
    /// Leadership for placement, which the holder of slot 0 has.
    #[derive(Copy, Eq)]
    pub struct Leadership {
        /// The slot's epoch, which becomes the fencing number of the orders.
        pub epoch: Epoch,
    }

    /// A notice that the caller should log.
    #[derive(Eq)]
    pub enum Notice {
        /// The observed state differs from an earlier order and is being corrected (E7003).
        Repaired {
            /// Which server.
            server: Arc<str>,
            /// Ordered action that corrects it.
            action: Action,
        },
        /// An order had no effect in time.
        GivenUp {
            /// Which server.
            server: Arc<str>,
            /// Ordered action.
            action: Action,
        },
        /// Another leader with a higher epoch has taken over.
        Superseded {
            /// Epoch of the new leader.
            by: Epoch,
        },
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Request {
    Scan,
    Adopt(Vec<Arc<str>>),
    Write(Arc<str>),
}

/// Decides which server loads which model. See the [module](self) for the sequence of an order.
///
/// ```
/// use fescuewell_core::prelude::*;
/// use fescuewell_placement::prelude::*;
///
/// let mut planner = Planner::new(Settings::default());
/// planner.set_document(&Default::default());
/// let now = Instant::from_millis(0);
/// assert!(planner.next_step(now).is_none());
/// planner.set_leadership(now, Some(Leadership { epoch: Epoch(1) }));
/// assert!(planner.next_step(now).is_some());
/// ```
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    state: State,
    epoch: Epoch,
    number: u64,
    fleet: Fleet,
    needs: Needs,
    revisions: BTreeMap<Arc<str>, u64>,
    unadopted: VecDeque<Arc<str>>,
    scanned: bool,
    outstanding: Option<Request>,
    retry_at: Instant,
    settled_at: Instant,
    last_load: Option<Instant>,
    store_interval_ms: u32,
    unwritten: VecDeque<Arc<str>>,
    ready: VecDeque<(Instant, Order)>,
    achieved: BTreeMap<Arc<str>, Vec<Action>>,
    notices: Vec<Notice>,
}

impl Planner {
    /// Creates a planner without leadership.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            state: LEADERSHIP.initial(),
            epoch: Epoch::default(),
            number: 0,
            fleet: Fleet::new(),
            needs: Needs::new(),
            revisions: BTreeMap::new(),
            unadopted: VecDeque::new(),
            scanned: false,
            outstanding: None,
            retry_at: Instant::default(),
            settled_at: Instant::default(),
            last_load: None,
            store_interval_ms: 0,
            unwritten: VecDeque::new(),
            ready: VecDeque::new(),
            achieved: BTreeMap::new(),
            notices: Vec::new(),
        }
    }

    /// Returns the name of the leadership state in `duty.json`.
    pub fn state(&self) -> &'static str {
        LEADERSHIP.name(self.state)
    }

    /// Applies a document. State of servers that remain is kept.
    pub fn set_document(&mut self, document: &Document) {
        let mut fleet = Fleet::new();
        for listed in &document.servers {
            if listed.role != ServerRole::Engine {
                continue;
            }
            let mut server = self.fleet.remove(&listed.name).unwrap_or_default();
            server.listed_models = listed.models.iter().cloned().collect();
            server.checks_fencing = listed.checks_fencing;
            fleet.insert(listed.name.clone(), server);
        }
        self.fleet = fleet;
        let mut needs = Needs::new();
        for model in &document.models {
            let mut need = self.needs.remove(&model.name).unwrap_or_default();
            need.min_servers = model.min_servers;
            need.base = model.base.clone();
            needs.insert(model.name.clone(), need);
        }
        self.needs = needs;
        self.adopt_new_servers();
    }

    /// Scans the rows again if the document adds a server, which may have a row of an earlier
    /// leader.
    fn adopt_new_servers(&mut self) {
        if !self.scanned {
            return;
        }
        for name in self.fleet.keys() {
            if !self.revisions.contains_key(name) && !self.unadopted.contains(name) {
                self.scanned = false;
            }
        }
    }

    /// Sets the recent demand for a model, in tokens per second.
    pub fn set_demand(&mut self, model: &str, tokens_per_second: u64) {
        if let Some(need) = self.needs.get_mut(model) {
            need.set_demand(tokens_per_second);
        }
    }

    /// Sets the throughput of the weight store. The next load waits for as long as the store needs
    /// for one model.
    pub fn set_store_rate(&mut self, bytes_per_second: u64, model_bytes: u64) {
        let millis = model_bytes.saturating_mul(1_000) / bytes_per_second.max(1);
        self.store_interval_ms = u32::try_from(millis).unwrap_or(u32::MAX);
    }

    /// Sets whether a server is draining. A draining server is replaced in advance.
    pub fn set_leaving(&mut self, server: &str, leaving: bool) {
        if let Some(server) = self.fleet.get_mut(server) {
            server.leaving = leaving;
        }
    }

    /// Sets or removes this instance's leadership. After a loss it counts again only with a higher
    /// epoch, since the state of orders in flight is no longer known.
    pub fn set_leadership(&mut self, now: Instant, leadership: Option<Leadership>) {
        match leadership {
            None => self.lose(),
            Some(leadership) if leadership.epoch > self.epoch => self.gain(now, leadership.epoch),
            Some(_) => {}
        }
    }

    fn gain(&mut self, now: Instant, epoch: Epoch) {
        self.lose();
        self.epoch = epoch;
        self.number = 0;
        self.retry_at = now;
        self.signal("gained");
    }

    fn lose(&mut self) {
        self.signal("lost");
        self.scanned = false;
        self.outstanding = None;
        self.revisions.clear();
        self.unadopted.clear();
        self.unwritten.clear();
        self.ready.clear();
        self.achieved.clear();
        for server in self.fleet.values_mut() {
            // Another leader may change any state observed before the rows are taken over.
            server.observed = None;
            server.pending = None;
            server.fenced = false;
            server.undelivered.clear();
        }
    }

    fn signal(&mut self, signal: &str) {
        // A signal without a transition, such as a loss without leadership, is ignored.
        let _ = LEADERSHIP.step(&mut self.state, signal);
    }

    fn is(&self, name: &str) -> bool {
        self.state() == name
    }

    /// Records that the leader of an epoch has terminated according to the instance list, so that
    /// it can send no more late orders.
    pub fn leader_terminated(&mut self, epoch: Epoch) {
        for server in self.fleet.values_mut() {
            server
                .undelivered
                .retain(|undelivered| undelivered.late.epoch != epoch);
        }
    }

    /// Records the state that a server reported.
    pub fn observe(&mut self, now: Instant, name: &str, observation: Observation) {
        let Some(server) = self.fleet.get_mut(name) else {
            return;
        };
        if server
            .observed
            .as_ref()
            .is_some_and(|known| known.requested_at > observation.requested_at)
        {
            return;
        }
        let is_done = server.pending.as_ref().is_some_and(|pending| {
            let after = pending
                .sent_at
                .is_some_and(|sent| observation.requested_at >= sent);
            after && has_effect(&observation, &pending.action)
        });
        let known = server.observed.replace(observation);
        let undo = known
            .map(|known| server.undo_external(&known))
            .unwrap_or_default();
        let achieved = self.achieved.entry(name.into()).or_default();
        for action in undo {
            achieved.retain(|known| !reverts(known, &action));
            achieved.push(action);
        }
        if is_done && let Some(pending) = server.pending.take() {
            achieved.retain(|known| !reverts(known, &pending.action));
            achieved.push(pending.action);
        }
        server.prune_undelivered(now);
    }

    /// Updates needs and pending orders and plans the next orders; to be called about once a
    /// second. Returns the notices to be logged.
    pub fn tick(&mut self, now: Instant) -> Vec<Notice> {
        for need in self.needs.values_mut() {
            need.review(now, &self.settings);
        }
        self.expire_pending(now);
        if self.is("settling") && now >= self.settled_at {
            self.signal("settled");
        }
        if self.is("settling") || self.is("active") {
            self.plan(now);
        }
        std::mem::take(&mut self.notices)
    }

    fn expire_pending(&mut self, now: Instant) {
        let expires_at = Some(now + millis(self.settings.settle_ms));
        for (name, server) in &mut self.fleet {
            server.prune_undelivered(now);
            let Some(pending) = &server.pending else {
                continue;
            };
            let timeout = match pending.action {
                Action::Load { .. } => self.settings.load_ms,
                Action::Unload { .. } | Action::Role { .. } => self.settings.effect_ms,
            };
            let Some(sent) = pending.sent_at else {
                continue;
            };
            if now.since(sent) < millis(timeout) {
                continue;
            }
            let action = pending.action.clone();
            let late = LateOrder {
                epoch: self.epoch,
                action: action.clone(),
                single: false,
            };
            server.add_undelivered(Undelivered { late, expires_at });
            server.pending = None;
            let server = name.clone();
            self.notices.push(Notice::GivenUp { server, action });
        }
    }

    fn plan(&mut self, now: Instant) {
        let serving = serving_counts(&self.fleet);
        loop {
            let pending = self
                .fleet
                .values()
                .filter(|server| server.pending.is_some());
            if pending.count() >= self.settings.orders_at_once as usize {
                return;
            }
            let context = Context {
                now,
                settings: &self.settings,
                fleet: &self.fleet,
                needs: &self.needs,
                serving: &serving,
                settled: self.is("active"),
                load_allowed: self.load_allowed(now),
            };
            let Some(proposal) = context.next() else {
                return;
            };
            self.add_pending(now, proposal);
        }
    }

    /// Whether the weight store has capacity for another load. Loads that an earlier leader ordered
    /// are observed as `loading` and count as well.
    fn load_allowed(&self, now: Instant) -> bool {
        let stagger = millis(self.settings.stagger_ms.max(self.store_interval_ms));
        if self.last_load.is_some_and(|last| now.since(last) < stagger) {
            return false;
        }
        let mut loads = 0;
        for server in self.fleet.values() {
            let ordered = server
                .pending
                .as_ref()
                .is_some_and(|pending| matches!(pending.action, Action::Load { .. }));
            let loading = server
                .observed
                .as_ref()
                .map_or(0, |observed| observed.loading.len());
            loads += loading.max(usize::from(ordered));
        }
        loads < self.settings.loads_at_once as usize
    }

    fn add_pending(&mut self, now: Instant, proposal: Proposal) {
        let Some(server) = self.fleet.get_mut(&proposal.server) else {
            return;
        };
        let achieved = self.achieved.get(&proposal.server);
        if achieved.is_some_and(|achieved| achieved.contains(&proposal.action)) {
            self.notices.push(Notice::Repaired {
                server: proposal.server.clone(),
                action: proposal.action.clone(),
            });
        }
        if matches!(proposal.action, Action::Load { .. }) {
            self.last_load = Some(now);
        }
        server.pending = Some(Pending {
            action: proposal.action,
            reason: proposal.reason,
            sent_at: None,
        });
        self.unwritten.push_back(proposal.server);
    }

    /// Returns the next order to send, if any. Each order is returned once.
    pub fn next_order(&mut self, now: Instant) -> Option<Order> {
        while let Some((written, order)) = self.ready.pop_front() {
            let Some(server) = self.fleet.get_mut(&order.server) else {
                continue;
            };
            let Some(pending) = &mut server.pending else {
                continue;
            };
            // After a pause of the process another leader may have taken over the row. So an order
            // that was not sent in time is not sent at all.
            if now.since(written) > millis(self.settings.send_within_ms) {
                server.pending = None;
                continue;
            }
            pending.sent_at = Some(now);
            return Some(order);
        }
        None
    }

    /// Records a server's response to an order.
    pub fn handle_response(&mut self, now: Instant, order: &Order, response: Response) {
        if order.epoch != self.epoch || self.is("idle") {
            return;
        }
        if response == Response::Stale {
            // Another leader sent a higher fencing number to this server. The rows show its epoch.
            self.rescan(now);
        }
        let Some(server) = self.fleet.get_mut(&order.server) else {
            return;
        };
        match response {
            Response::Accepted if server.checks_fencing => {
                server.fenced = true;
                server
                    .undelivered
                    .retain(|undelivered| undelivered.late.epoch == order.epoch);
            }
            Response::Refused | Response::Stale => server.pending = None,
            Response::Accepted | Response::Unknown => {}
        }
    }
}

/// Whether `new` reverts the effect of `known`.
fn reverts(known: &Action, new: &Action) -> bool {
    match (known, new) {
        (Action::Load { model: a }, Action::Unload { model: b }) => a == b,
        (Action::Unload { model: a }, Action::Load { model: b }) => a == b,
        (Action::Role { .. }, Action::Role { .. }) => true,
        _ => false,
    }
}
