//! Model placement by the instance that holds slot 0: the inputs and orders of the planner.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_document::model::ServerRole;
use fescuewell_placement::fleet::Observation;
use fescuewell_placement::order::{Order, Response};
use fescuewell_placement::planner::{Leadership, Notice, Planner};
use fescuewell_placement::settings::Settings;

use crate::event::{Action, ModelReport};
use crate::node::Node;
use crate::request::{End, Ticket, Work};

/// The slot whose holder runs the placement planner.
const PLACEMENT_SLOT: SlotKey = SlotKey(0);
/// Interval between two runs of the planner.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum window over which the token rate is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// The planner and the demand that this instance has measured.
#[derive(Debug)]
pub(crate) struct Placement {
    planner: Planner,
    role: Arc<str>,
    next_plan_at: Instant,
    demand: BTreeMap<Arc<str>, u64>,
    window_start: Option<Instant>,
}

impl Placement {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            role: settings.role.clone(),
            planner: Planner::new(settings),
            next_plan_at: Instant::default(),
            demand: BTreeMap::new(),
            window_start: None,
        }
    }
}

impl Node {
    /// Adds the tokens of an ended attempt to the demand for its model.
    pub(crate) fn record_demand(&mut self, ticket: Ticket, end: &End) {
        let tokens = match end {
            End::Done { cost, .. } => *cost,
            End::Lost { used, .. } | End::Cancelled { used } => *used,
            End::NotSent | End::Busy | End::Rejected => return,
        };
        // A reader of another attempt's response adds no load to the engine.
        if !self.requests.is_in(ticket, "running") {
            return;
        }
        let Some(record) = self.requests.get(ticket) else {
            return;
        };
        let Work::Model { model, .. } = &record.arrival.work else {
            return;
        };
        let sum = self.placement.demand.entry(model.clone()).or_default();
        *sum = sum.saturating_add(tokens.0);
    }

    /// Passes the current document to the planner.
    pub(crate) fn update_planner(&mut self) {
        let document = self.catalog.document().clone();
        self.placement.planner.set_document(&document);
    }

    /// Passes a backend server's report of its models to the planner.
    pub(crate) fn observe_models(&mut self, server: &str, report: ModelReport) {
        let observation = Observation {
            requested_at: report.requested_at,
            loaded: report.loaded.into_iter().collect(),
            loading: report.loading.into_iter().collect(),
            // An engine without support for roles would otherwise be ordered to change its role forever.
            role: report.role.unwrap_or_else(|| self.placement.role.clone()),
        };
        self.placement
            .planner
            .observe(self.now, server, observation);
    }

    /// Passes the result of an order to the planner.
    pub(crate) fn handle_order_response(&mut self, order: &Order, response: Response) {
        if matches!(response, Response::Stale | Response::Refused) {
            self.log(Event::OrderRefused, format!("{order} answer={response:?}"));
        }
        self.placement
            .planner
            .handle_response(self.now, order, response);
    }

    /// Updates the planner's inputs and runs it.
    ///
    /// This instance leads the placement for as long as the slot's row names it, also while the slot is being
    /// released. Leadership that was given up resumes only with a higher epoch, but a slot that is assigned
    /// again before its release completes keeps its epoch. Giving up leadership at the start of the release
    /// would then leave the fleet without placement until the next holder: models missing, no orders.
    pub(crate) fn update_placement(&mut self) {
        let now = self.now;
        self.update_demand();
        if now < self.placement.next_plan_at {
            return;
        }
        self.placement.next_plan_at = now + PLAN_INTERVAL;
        let leaving = &self.members.view().leaving_servers;
        for (_, endpoint) in self.catalog.endpoints() {
            if endpoint.role == ServerRole::Engine {
                let is_leaving = leaving.contains(&endpoint.name);
                self.placement
                    .planner
                    .set_leaving(&endpoint.name, is_leaving);
            }
        }
        let epoch = self.arbiter.epoch(PLACEMENT_SLOT);
        let leadership = epoch.map(|epoch| Leadership { epoch });
        self.placement.planner.set_leadership(now, leadership);
        for notice in self.placement.planner.tick(now) {
            self.log_notice(notice);
        }
    }

    /// Measures the demand. Every instance does, so that a new leader knows the demand from the start.
    ///
    /// The fleet's demand is estimated as this instance's rate times the number of live instances: callers
    /// are spread over all of them, and a sum of actual rates would need additional messages. A leader with
    /// much less traffic than the other instances underestimates the demand.
    fn update_demand(&mut self) {
        let now = self.now;
        let start = *self.placement.window_start.get_or_insert(now);
        let window = now.since(start);
        if window < DEMAND_WINDOW {
            return;
        }
        self.placement.window_start = Some(now);
        let tokens = std::mem::take(&mut self.placement.demand);
        let instances = self.members.view().live.len().max(1) as u64;
        for model in &self.catalog.document().models {
            let own = tokens.get(&model.name).copied().unwrap_or_default();
            let millis = window.as_millis() as u64;
            let rate = own.saturating_mul(instances).saturating_mul(1_000) / millis;
            self.placement.planner.set_demand(&model.name, rate);
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

    /// Returns the planner's next table step.
    pub(crate) fn next_placement_step(&mut self) -> Option<fescuewell_core::table::Step> {
        self.placement.planner.next_step(self.now)
    }

    /// Handles the table's reply to the planner.
    pub(crate) fn handle_placement_reply(&mut self, reply: fescuewell_core::table::Reply) {
        self.placement.planner.reply(self.now, reply);
    }

    /// Sends the orders whose rows are durable.
    pub(crate) fn send_orders(&mut self) {
        while let Some(order) = self.placement.planner.next_order(self.now) {
            let Some(endpoint) = self.catalog.endpoint_by_name(&order.server) else {
                continue;
            };
            let address = endpoint.address;
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
