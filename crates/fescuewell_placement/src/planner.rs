//! The planner: takes over the duty, writes rows before orders, hands orders out, reads back.
//!
//! Order of events for one order: the row `order/{server}` is written by compare-and-swap; the order
//! is handed out once; the server is read back until the effect shows or the order is given up.
//! A new holder first takes over every row. From then on an earlier holder's writes fail, so that
//! it hands out nothing more, and its last order for each server is known from the row.

mod table;

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, LazyLock};

use fescuewell_core::chart::{Chart, State};
use fescuewell_core::prelude::*;
use fescuewell_document::prelude::{Document, ServerRole};

use crate::fleet::{Fleet, Observation, Pending, Threat, serving, shows};
use crate::goal::Needs;
use crate::order::{Action, LateOrder, Order, Response};
use crate::plan::{Idea, View};
use crate::settings::{Settings, millis};

static LEADERSHIP: LazyLock<Chart> =
    LazyLock::new(|| Chart::parse(include_str!("duty.json")).expect("duty.json is a state chart"));

fescuewell_core::message! {
    /// The duty to place, as the holder of slot 0 has it.
    #[derive(Copy, Eq)]
    pub struct Leadership {
        /// The slot's epoch, which becomes the fencing number of the orders.
        pub epoch: Epoch,
    }

    /// What the caller should log.
    #[derive(Eq)]
    pub enum Notice {
        /// A read-back differed from what was ordered earlier and is put right (E7003).
        Repaired {
            /// Which server.
            server: Arc<str>,
            /// What is ordered to put it right.
            action: Action,
        },
        /// An order showed no effect in time.
        GivenUp {
            /// Which server.
            server: Arc<str>,
            /// The order.
            action: Action,
        },
        /// Another holder with a higher epoch has taken over.
        Superseded {
            /// Its epoch.
            by: Epoch,
        },
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Await {
    Scan,
    Adopt(Vec<Arc<str>>),
    Write(Arc<str>),
}

/// Decides which server loads what. See the [module](self) for the order of events.
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
    waiting: Option<Await>,
    retry_at: Instant,
    settled_at: Instant,
    last_load: Option<Instant>,
    store_ms: u32,
    ideas: VecDeque<Arc<str>>,
    ready: VecDeque<(Instant, Order)>,
    achieved: BTreeMap<Arc<str>, Vec<Action>>,
    notices: Vec<Notice>,
}

impl Planner {
    /// A planner without the duty.
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
            waiting: None,
            retry_at: Instant::default(),
            settled_at: Instant::default(),
            last_load: None,
            store_ms: 0,
            ideas: VecDeque::new(),
            ready: VecDeque::new(),
            achieved: BTreeMap::new(),
            notices: Vec::new(),
        }
    }

    /// The name of the duty's state in `duty.json`.
    pub fn state(&self) -> &'static str {
        LEADERSHIP.name(self.state)
    }

    /// Takes over a document; what was seen of servers that stay is kept.
    pub fn set_document(&mut self, document: &Document) {
        let mut fleet = Fleet::new();
        for listed in &document.servers {
            if listed.role != ServerRole::Engine {
                continue;
            }
            let mut server = self.fleet.remove(&listed.name).unwrap_or_default();
            server.listed = listed.models.iter().cloned().collect();
            server.checks = listed.checks_fencing;
            fleet.insert(listed.name.clone(), server);
        }
        self.fleet = fleet;
        let mut needs = Needs::new();
        for model in &document.models {
            let mut need = self.needs.remove(&model.name).unwrap_or_default();
            need.least = model.least_servers;
            need.base = model.base.clone();
            needs.insert(model.name.clone(), need);
        }
        self.needs = needs;
        self.adopt_new_servers();
    }

    /// A server that a newer document adds may have a row of an earlier holder.
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

    /// Notes the recent demand for a model, in tokens per second.
    pub fn set_demand(&mut self, model: &str, tokens_per_second: u64) {
        if let Some(need) = self.needs.get_mut(model) {
            need.set_demand(tokens_per_second);
        }
    }

    /// Notes how fast the weight store delivers. The next load waits until the last one's bytes can
    /// have passed.
    pub fn set_store_rate(&mut self, bytes_per_second: u64, model_bytes: u64) {
        let millis = model_bytes.saturating_mul(1_000) / bytes_per_second.max(1);
        self.store_ms = u32::try_from(millis).unwrap_or(u32::MAX);
    }

    /// Notes whether a server is leaving; a leaving one is replaced ahead of time.
    pub fn set_leaving(&mut self, server: &str, leaving: bool) {
        if let Some(server) = self.fleet.get_mut(server) {
            server.leaving = leaving;
        }
    }

    /// Notes that this instance got the duty, with a new epoch, or lost it. A duty that was lost
    /// counts again only with a higher epoch, since what was under way is no longer known.
    pub fn set_leadership(&mut self, now: Instant, duty: Option<Leadership>) {
        match duty {
            None => self.lose(),
            Some(duty) if duty.epoch > self.epoch => self.gain(now, duty.epoch),
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
        self.waiting = None;
        self.revisions.clear();
        self.unadopted.clear();
        self.ideas.clear();
        self.ready.clear();
        self.achieved.clear();
        for server in self.fleet.values_mut() {
            // Whatever was seen before the rows are taken over may be undone by another holder.
            server.seen = None;
            server.pending = None;
            server.fenced = false;
            server.threats.clear();
        }
    }

    fn signal(&mut self, signal: &str) {
        // A signal without a step, such as losing a duty that was not held, changes nothing.
        let _ = LEADERSHIP.step(&mut self.state, signal);
    }

    fn is(&self, name: &str) -> bool {
        self.state() == name
    }

    /// Notes that the holder of an epoch has ended for good, by the instance list: its late orders
    /// can no longer be sent.
    pub fn holder_ended(&mut self, epoch: Epoch) {
        for server in self.fleet.values_mut() {
            server.threats.retain(|threat| threat.late.epoch != epoch);
        }
    }

    /// Takes in what a server said of itself.
    pub fn observe(&mut self, now: Instant, name: &str, seen: Observation) {
        let Some(server) = self.fleet.get_mut(name) else {
            return;
        };
        if server
            .seen
            .as_ref()
            .is_some_and(|known| known.requested_at > seen.requested_at)
        {
            return;
        }
        let done = server.pending.as_ref().is_some_and(|pending| {
            let after = pending.sent.is_some_and(|sent| seen.requested_at >= sent);
            after && shows(&seen, &pending.action)
        });
        let known = server.seen.replace(seen);
        let strange = known
            .map(|known| server.unordered(&known))
            .unwrap_or_default();
        let achieved = self.achieved.entry(name.into()).or_default();
        for action in strange {
            achieved.retain(|known| !opposes(known, &action));
            achieved.push(action);
        }
        if done && let Some(pending) = server.pending.take() {
            achieved.retain(|known| !opposes(known, &pending.action));
            achieved.push(pending.action);
        }
        server.review_threats(now);
    }

    /// Reviews needs and pending orders and makes the next orders; to be called about once a second.
    /// Returns what should be logged.
    pub fn tick(&mut self, now: Instant) -> Vec<Notice> {
        for need in self.needs.values_mut() {
            need.review(now, &self.settings);
        }
        self.give_up(now);
        if self.is("settling") && now >= self.settled_at {
            self.signal("settled");
        }
        if self.is("settling") || self.is("active") {
            self.plan(now);
        }
        std::mem::take(&mut self.notices)
    }

    fn give_up(&mut self, now: Instant) {
        let until = Some(now + millis(self.settings.settle_ms));
        for (name, server) in &mut self.fleet {
            server.review_threats(now);
            let Some(pending) = &server.pending else {
                continue;
            };
            let patience = match pending.action {
                Action::Load { .. } => self.settings.load_ms,
                Action::Unload { .. } | Action::Role { .. } => self.settings.effect_ms,
            };
            let Some(sent) = pending.sent else {
                continue;
            };
            if now.since(sent) < millis(patience) {
                continue;
            }
            let action = pending.action.clone();
            let late = LateOrder {
                epoch: self.epoch,
                action: action.clone(),
                single: false,
            };
            server.threaten(Threat { late, until });
            server.pending = None;
            let server = name.clone();
            self.notices.push(Notice::GivenUp { server, action });
        }
    }

    fn plan(&mut self, now: Instant) {
        let serving = serving(&self.fleet);
        loop {
            let under_way = self
                .fleet
                .values()
                .filter(|server| server.pending.is_some());
            if under_way.count() >= self.settings.orders_at_once as usize {
                return;
            }
            let view = View {
                now,
                settings: &self.settings,
                fleet: &self.fleet,
                needs: &self.needs,
                serving: &serving,
                settled: self.is("active"),
                load_allowed: self.load_allowed(now),
            };
            let Some(idea) = view.next() else {
                return;
            };
            self.pend(now, idea);
        }
    }

    /// Whether the weight store has room for another load. The loads of an earlier holder show as
    /// `loading` and count as well.
    fn load_allowed(&self, now: Instant) -> bool {
        let stagger = millis(self.settings.stagger_ms.max(self.store_ms));
        if self.last_load.is_some_and(|last| now.since(last) < stagger) {
            return false;
        }
        let mut loads = 0;
        for server in self.fleet.values() {
            let ordered = server
                .pending
                .as_ref()
                .is_some_and(|pending| matches!(pending.action, Action::Load { .. }));
            let loading = server.seen.as_ref().map_or(0, |seen| seen.loading.len());
            loads += loading.max(usize::from(ordered));
        }
        loads < self.settings.loads_at_once as usize
    }

    fn pend(&mut self, now: Instant, idea: Idea) {
        let Some(server) = self.fleet.get_mut(&idea.server) else {
            return;
        };
        let repaired = self.achieved.get(&idea.server);
        if repaired.is_some_and(|achieved| achieved.contains(&idea.action)) {
            self.notices.push(Notice::Repaired {
                server: idea.server.clone(),
                action: idea.action.clone(),
            });
        }
        if matches!(idea.action, Action::Load { .. }) {
            self.last_load = Some(now);
        }
        server.pending = Some(Pending {
            action: idea.action,
            reason: idea.reason,
            sent: None,
        });
        self.ideas.push_back(idea.server);
    }

    /// The next order to send, if any. Each is handed out once.
    pub fn next_order(&mut self, now: Instant) -> Option<Order> {
        while let Some((written, order)) = self.ready.pop_front() {
            let Some(server) = self.fleet.get_mut(&order.server) else {
                continue;
            };
            let Some(pending) = &mut server.pending else {
                continue;
            };
            // After a pause of the whole process another holder may be at work. The row then no
            // longer stands, so an order that was not sent at once is not sent at all.
            if now.since(written) > millis(self.settings.send_within_ms) {
                server.pending = None;
                continue;
            }
            pending.sent = Some(now);
            return Some(order);
        }
        None
    }

    /// Takes in a server's answer to an order.
    pub fn handle_response(&mut self, now: Instant, order: &Order, answer: Response) {
        if order.epoch != self.epoch || self.is("idle") {
            return;
        }
        if answer == Response::Stale {
            // Somebody gave this server a higher number; the rows will tell who.
            self.rescan(now);
        }
        let Some(server) = self.fleet.get_mut(&order.server) else {
            return;
        };
        match answer {
            Response::Accepted if server.checks => {
                server.fenced = true;
                server
                    .threats
                    .retain(|threat| threat.late.epoch == order.epoch);
            }
            Response::Refused | Response::Stale => server.pending = None,
            Response::Accepted | Response::Unknown => {}
        }
    }
}

/// Whether one action undoes what the other brought about.
fn opposes(known: &Action, new: &Action) -> bool {
    match (known, new) {
        (Action::Load { model: a }, Action::Unload { model: b }) => a == b,
        (Action::Unload { model: a }, Action::Load { model: b }) => a == b,
        (Action::Role { .. }, Action::Role { .. }) => true,
        _ => false,
    }
}
