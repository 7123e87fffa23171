//! Placement of models by the instance that holds slot 0: what the planner is told, and its orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_document::model::ServerRole;
use fescuewell_placement::fleet::Seen;
use fescuewell_placement::order::{Answer, Order};
use fescuewell_placement::planner::{Duty as PlacementDuty, Notice, Planner};
use fescuewell_placement::settings::Settings;

use crate::event::{Action, ModelReport};
use crate::node::Node;
use crate::request::{End, Ticket, Work};

/// The slot whose holder places models.
const PLACEMENT_SLOT: SlotKey = SlotKey(0);
/// Time between two looks of the planner.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Time over which the rate of tokens is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// The planner, and the demand that this instance measures for it.
#[derive(Debug)]
pub(crate) struct Placing {
    planner: Planner,
    role: Arc<str>,
    plan_at: Instant,
    tokens: BTreeMap<Arc<str>, u64>,
    since: Option<Instant>,
}

impl Placing {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            role: settings.role.clone(),
            planner: Planner::new(settings),
            plan_at: Instant::default(),
            tokens: BTreeMap::new(),
            since: None,
        }
    }
}

impl Node {
    /// Counts what a request brought to its model.
    pub(crate) fn note_demand(&mut self, ticket: Ticket, end: &End) {
        let tokens = match end {
            End::Done { cost, .. } => *cost,
            End::Lost { used, .. } | End::Cancelled { used } => *used,
            End::NotSent | End::Busy | End::Rejected => return,
        };
        // The reader of another instance's run brings nothing of its own to the engine.
        if !self.book.is_in(ticket, "running") {
            return;
        }
        let Some(record) = self.book.get(ticket) else {
            return;
        };
        let Work::Model { model, .. } = &record.arrival.work else {
            return;
        };
        let sum = self.placing.tokens.entry(model.clone()).or_default();
        *sum = sum.saturating_add(tokens.0);
    }

    /// Tells the planner of the document that came in force.
    pub(crate) fn place_by_document(&mut self) {
        let document = self.catalog.document().clone();
        self.placing.planner.set_document(&document);
    }

    /// Takes in what a backend server said of its models.
    pub(crate) fn observe_models(&mut self, server: &str, report: ModelReport) {
        let seen = Seen {
            asked: report.requested_at,
            loaded: report.loaded.into_iter().collect(),
            loading: report.loading.into_iter().collect(),
            // An engine that knows no roles would otherwise be ordered to take one for ever.
            role: report.role.unwrap_or_else(|| self.placing.role.clone()),
        };
        self.placing.planner.seen(self.now, server, seen);
    }

    /// Takes in what became of an order.
    pub(crate) fn order_answered(&mut self, order: &Order, response: Answer) {
        if matches!(response, Answer::Stale | Answer::Refused) {
            self.log(Event::OrderRefused, format!("{order} answer={response:?}"));
        }
        self.placing.planner.answered(self.now, order, response);
    }

    /// Tells the planner what changed and lets it plan.
    ///
    /// The duty follows the slot for as long as its row names this instance, also while the slot is
    /// being handed back: a duty that was lost counts again only with a higher epoch, and a slot that is
    /// wanted again before it was handed back keeps its epoch. Were the duty given up there, nobody would
    /// place anything until the slot's next holder; one would notice by a lacking model and no order.
    pub(crate) fn review_placement(&mut self) {
        let now = self.now;
        self.review_demand();
        if now < self.placing.plan_at {
            return;
        }
        self.placing.plan_at = now + PLAN_INTERVAL;
        let leaving = &self.members.view().leaving_servers;
        for (_, place) in self.catalog.places() {
            if place.role == ServerRole::Engine {
                let is_leaving = leaving.contains(&place.name);
                self.placing.planner.set_leaving(&place.name, is_leaving);
            }
        }
        let epoch = self.arbiter.epoch(PLACEMENT_SLOT);
        let duty = epoch.map(|epoch| PlacementDuty { epoch });
        self.placing.planner.set_duty(now, duty);
        for notice in self.placing.planner.tick(now) {
            self.log_notice(notice);
        }
    }

    /// Every instance measures, so that a new holder of the duty knows the demand from the start.
    ///
    /// The fleet's demand is estimated as this instance's own rate times the live instances: callers are
    /// spread over them, and a sum of true rates would need messages of its own. An instance that has
    /// much less traffic than the others underestimates it while it has the duty.
    fn review_demand(&mut self) {
        let now = self.now;
        let since = *self.placing.since.get_or_insert(now);
        let window = now.since(since);
        if window < DEMAND_WINDOW {
            return;
        }
        self.placing.since = Some(now);
        let tokens = std::mem::take(&mut self.placing.tokens);
        let instances = self.members.view().live.len().max(1) as u64;
        for model in &self.catalog.document().models {
            let own = tokens.get(&model.name).copied().unwrap_or_default();
            let millis = window.as_millis() as u64;
            let rate = own.saturating_mul(instances).saturating_mul(1_000) / millis;
            self.placing.planner.set_demand(&model.name, rate);
        }
    }

    fn log_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Repaired { server, action } => {
                let text = format!("server={server} action={action}");
                self.log(Event::OrderRepaired, text);
            }
            Notice::GivenUp { server, action } => {
                let text = format!("server={server} action={action} answer=no_effect");
                self.log(Event::OrderRefused, text);
            }
            Notice::Superseded { by } => {
                let text = format!("answer=superseded by_epoch={}", by.0);
                self.log(Event::OrderRefused, text);
            }
        }
    }

    /// The planner's next piece of table work.
    pub(crate) fn next_placement_step(&mut self) -> Option<fescuewell_core::table::Step> {
        self.placing.planner.next_step(self.now)
    }

    /// Takes in the table's answer.
    pub(crate) fn placement_replied(&mut self, reply: fescuewell_core::table::Reply) {
        self.placing.planner.reply(self.now, reply);
    }

    /// Hands out the orders whose rows are written.
    pub(crate) fn carry_orders(&mut self) {
        while let Some(order) = self.placing.planner.next_order(self.now) {
            let Some(place) = self.catalog.place_of(&order.server) else {
                continue;
            };
            let address = place.address;
            self.log(Event::OrderPlaced, order.to_string());
            self.actions.push(Action::Order {
                server: order.server.clone(),
                address,
                epoch: order.epoch,
                order,
            });
        }
    }
}
