//! Event loop of the node: moves the outputs of each component to the component, instance or table
//! that they are addressed to.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_budget::message::Notification;
use fescuewell_claims::client::{Event as ClientEvent, Outgoing};
use fescuewell_claims::message::{Reply, RequestState};
use fescuewell_core::prelude::*;
use fescuewell_core::table;
use fescuewell_membership::drain::{Action as DrainAction, Remaining};
use fescuewell_membership::propagate::Source;
use fescuewell_membership::row::{Load, State};
use fescuewell_routing::health::Change;

use crate::event::{Action, Component};
use crate::limits;
use crate::message::Message;
use crate::node::Node;
use crate::request::Ticket;

/// Maximum iterations per event. A reply to a reply within one instance takes three.
const MAX_ROUNDS: usize = 8;
/// Interval between updates of slowly changing state: server health, membership, load.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of a document chunk that is sent to a peer.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// The origin of a request to a slot that this instance holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Requester {
    /// This instance's claims client.
    Own {
        /// Correlation number of the claims client.
        correlation: u64,
    },
    /// Another instance.
    Peer {
        /// Name of the instance.
        instance: Arc<str>,
        /// Correlation number of that instance.
        correlation: u64,
    },
    /// The sweep on this instance.
    Sweep {
        /// Correlation number of the sweep.
        number: u64,
    },
}

impl Node {
    /// Moves outputs between components until none has any left.
    pub(crate) fn pump(&mut self) {
        for _ in 0..MAX_ROUNDS {
            let before = self.actions.len();
            let moved =
                self.send_claim_requests() | self.deliver_replies() | self.handle_claim_events();
            self.handle_budget_notifications();
            self.advance_sweep();
            if self.needs_dispatch {
                self.dispatch();
            }
            if !moved && self.actions.len() == before {
                break;
            }
        }
        self.send_budget_messages();
        self.advance_document();
        self.send_orders();
        self.start_table_steps();
    }

    fn send_claim_requests(&mut self) -> bool {
        let outgoing = self.claims_client.take_outgoing(self.now);
        let moved = !outgoing.is_empty();
        for request in outgoing {
            self.send_claim_request(request);
        }
        moved
    }

    fn send_claim_request(&mut self, outgoing: Outgoing) {
        let Outgoing {
            slot,
            instance,
            correlation,
            request,
        } = outgoing;
        if instance == self.identity.instance {
            let requester = self.register_requester(Requester::Own { correlation });
            self.arbiter.request(self.now, requester, slot, &request);
            return;
        }
        let message = Message::SlotRequest {
            correlation,
            slot,
            request,
        };
        if !self.send_to(&instance, message) {
            self.claims_client.send_failed(self.now, correlation);
        }
    }

    /// Registers the origin of a slot request and returns the number that its reply will carry.
    pub(crate) fn register_requester(&mut self, requester: Requester) -> u64 {
        self.next_requester += 1;
        self.requesters.insert(self.next_requester, requester);
        self.next_requester
    }

    /// Sends a message to an instance; returns `false` if it is not known to be live.
    pub(crate) fn send_to(&mut self, instance: &str, message: Message) -> bool {
        let Some(peer) = self.members.view().peer(instance) else {
            return false;
        };
        self.actions.push(Action::Send {
            instance: peer.instance.clone(),
            address: peer.peer_address,
            message,
        });
        true
    }

    fn deliver_replies(&mut self) -> bool {
        let replies = self.arbiter.take_replies();
        let moved = !replies.is_empty();
        for (number, reply) in replies {
            let Some(requester) = self.requesters.remove(&number) else {
                continue;
            };
            self.deliver_reply(requester, reply);
        }
        for note in self.arbiter.take_notes() {
            self.log(note.event(), note.to_string());
        }
        moved
    }

    fn deliver_reply(&mut self, requester: Requester, reply: Reply) {
        match requester {
            Requester::Own { correlation } => {
                self.claims_client.receive(self.now, correlation, reply)
            }
            Requester::Peer {
                instance,
                correlation,
            } => {
                self.send_to(&instance, Message::SlotReply { correlation, reply });
            }
            Requester::Sweep { number } => {
                self.handle_sweep_reply(number, &reply);
            }
        }
    }

    fn handle_claim_events(&mut self) -> bool {
        let events = self.claims_client.take_events();
        let moved = !events.is_empty();
        for event in events {
            self.handle_claim_event(event);
        }
        moved
    }

    fn handle_claim_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::ClaimAnswered {
                ticket,
                attempt,
                result,
            } => {
                self.handle_claim_reply(Ticket(ticket), attempt, result);
            }
            ClientEvent::ClaimTimedOut { ticket, .. }
            | ClientEvent::ClaimUnavailable { ticket, .. } => {
                self.claim_unavailable(Ticket(ticket))
            }
            ClientEvent::BillDurable {
                ticket, charged, ..
            } => self.finish_bill(Ticket(ticket), charged),
            ClientEvent::LookedUp { ticket, known } => {
                self.handle_lookup_reply(Ticket(ticket), known)
            }
        }
    }

    fn handle_claim_reply(
        &mut self,
        ticket: Ticket,
        attempt: u32,
        result: Result<bool, RequestState>,
    ) {
        let record = self.requests.get(ticket);
        let is_present = record
            .and_then(|record| record.grant)
            .is_some_and(|grant| grant.attempt == attempt);
        match result {
            Ok(_) if is_present => self.claim_granted(ticket),
            Err(known) if is_present => self.claim_known(ticket, known),
            // The caller disconnected while the claim was pending; its release has been sent.
            _ => {}
        }
    }

    fn handle_budget_notifications(&mut self) {
        for notification in self.ledger.take_notifications() {
            match notification {
                Notification::Funded(group) => self.retry_holds(group),
                Notification::Refused(group, shortage) => {
                    for ticket in self.waiting_for_funds(group) {
                        self.record_shortage(ticket, shortage);
                    }
                }
                Notification::Drawn { group, amount } => {
                    let text = format!("group={} amount={amount}", self.catalog.group_name(group));
                    self.log(Event::AllowanceDrawn, text);
                }
                Notification::Returned { group, amount } => {
                    let text = format!("group={} amount={amount}", self.catalog.group_name(group));
                    self.log(Event::AllowanceReturned, text);
                }
                Notification::Lost(group) => {
                    let text = format!("group={} grant=lost", self.catalog.group_name(group));
                    self.log(Event::InternalFault, text);
                }
            }
        }
    }

    fn waiting_for_funds(&self, group: GroupKey) -> Vec<Ticket> {
        let mut waiting = self.requests.in_state("funding");
        waiting.retain(|ticket| {
            self.requests
                .get(*ticket)
                .is_some_and(|record| record.group == group)
        });
        waiting
    }

    fn retry_holds(&mut self, group: GroupKey) {
        for ticket in self.waiting_for_funds(group) {
            self.hold(ticket);
        }
    }

    fn send_budget_messages(&mut self) {
        for outgoing in self.ledger.take_outbox() {
            let instance = instance_of(&outgoing.to).to_owned();
            let message = Message::Budget {
                from: self.identity.holder.clone(),
                message: outgoing.message,
            };
            self.send_to(&instance, message);
        }
    }

    fn advance_document(&mut self) {
        for fetch in self.propagation.next_fetches(self.now, &mut self.collector) {
            match fetch.from {
                Source::Store => self.actions.push(Action::Fetch { name: fetch.name }),
                Source::Peer(instance) => {
                    self.send_to(&instance, Message::ChunkRequest { name: fetch.name });
                }
            }
        }
        let Some(head) = self.propagation.take_complete() else {
            return;
        };
        match self.collector.finish() {
            Ok(document) => {
                self.apply_document(head.version, document);
                self.propagation
                    .mark_applied(self.now, head, &mut self.collector);
                self.gossip.set_head(head);
            }
            Err(error) => {
                self.log(
                    Event::DocumentRefused,
                    format!("version={} reason={error}", head.version.0),
                );
                self.propagation
                    .mark_unreadable(self.now, &mut self.collector);
            }
        }
    }

    /// Handles the result of a fetch from the object store.
    pub(crate) fn object_fetched(&mut self, name: &Arc<str>, content: Option<&[u8]>) {
        self.propagation
            .supply(self.now, name, content, Source::Store, &mut self.collector);
    }

    fn start_table_steps(&mut self) {
        let now = self.now;
        for component in [
            Component::Claims,
            Component::Budget,
            Component::Members,
            Component::Head,
            Component::Reclaim,
            Component::Placement,
        ] {
            if self.busy_components.contains(&component) {
                continue;
            }
            let step = match component {
                Component::Claims => self.arbiter.next_step(now),
                Component::Budget => self.ledger.next_step(now),
                Component::Members => self.members.next_step(now),
                Component::Head => self.propagation.next_step(now),
                Component::Reclaim => self.sweeps.next_table_step(now),
                Component::Placement => self.next_placement_step(),
            };
            self.start_table_step(component, step);
        }
    }

    fn start_table_step(&mut self, component: Component, step: Option<table::Step>) {
        let Some(step) = step else {
            return;
        };
        self.busy_components.insert(component);
        self.actions.push(Action::Table { component, step });
    }

    /// Handles a message from another instance.
    pub(crate) fn receive_message(&mut self, from: &Arc<str>, message: Message) {
        let now = self.now;
        self.members.record_peer_response(now, from);
        match message {
            Message::SlotRequest {
                correlation,
                slot,
                request,
            } => {
                let requester = self.register_requester(Requester::Peer {
                    instance: from.clone(),
                    correlation,
                });
                self.arbiter.request(now, requester, slot, &request);
            }
            Message::SlotReply { correlation, reply } => {
                if !self.handle_sweep_reply(correlation, &reply) {
                    self.claims_client.receive(now, correlation, reply);
                }
            }
            Message::Budget {
                from: holder,
                message,
            } => {
                // A holder's name starts with its instance's name, so an instance cannot send messages on
                // behalf of another instance's holder.
                if instance_of(&holder) == &**from {
                    self.ledger.receive(now, holder, message);
                }
            }
            Message::Gossip(message) => self.receive_gossip(from, message),
            Message::ChunkRequest { name } => {
                let content = self.collector.object(&name).map(|bytes| bytes.to_vec());
                let content = content.filter(|bytes| bytes.len() <= MAX_CHUNK_BYTES);
                self.send_to(from, Message::Chunk { name, content });
            }
            Message::Chunk { name, content } => {
                let source = Source::Peer(from.clone());
                self.propagation.supply(
                    now,
                    &name,
                    content.as_deref(),
                    source,
                    &mut self.collector,
                );
            }
            Message::Bills(bills) => self.claims_client.import_bills(now, bills),
        }
    }

    fn receive_gossip(&mut self, from: &Arc<str>, message: fescuewell_membership::gossip::Message) {
        let now = self.now;
        if let Some(head) = message.head {
            let peer = self.members.view().peer(from);
            let near = peer.is_some_and(|peer| peer.zone == self.identity.zone);
            self.propagation
                .record_peer_head(now, from, near, head, &mut self.collector);
        }
        for update in message.updates.clone() {
            self.members.apply_update(now, update);
        }
        self.gossip.receive(now, from, message);
    }

    /// Performs the periodic work that need not happen on every event.
    pub(crate) fn tick(&mut self) {
        self.limits.refresh(self.now, &mut self.router);
        self.needs_dispatch |= !self.admission.is_empty();
        if self.now < self.next_update_at {
            return;
        }
        self.next_update_at = self.now + UPDATE_INTERVAL;
        self.retry_claims();
        self.update_health();
        self.update_members();
        self.update_placement();
        self.update_drain();
    }

    fn update_health(&mut self) {
        for change in self.router.tick(self.now) {
            let (event, server, why) = match change {
                Change::Ejected { server, cause } => {
                    (Event::ServerEjected, server, cause.to_string())
                }
                Change::Returned { server } => {
                    (Event::ServerReturned, server, "why=progress".into())
                }
                Change::Probe { .. } => continue,
            };
            let Some(endpoint) = self.catalog.endpoint(server) else {
                continue;
            };
            let text = format!("server={} {why}", endpoint.name);
            self.log(event, text);
        }
    }

    fn update_members(&mut self) {
        let now = self.now;
        let load = Load {
            streams: self.requests.len() as u32,
            permille: (self.requests.len() * 1_000 / self.settings.max_requests.max(1)) as u16,
        };
        self.members.set_load(load);
        if self.propagation.is_ready() {
            self.members.set_state(now, State::Ready);
        }
        let view = self.members.view();
        let instances = view.live.len() as u32;
        let leaving = view.leaving_servers.clone();
        let others = view
            .live
            .iter()
            .filter(|peer| peer.instance != self.identity.instance);
        let others: u32 = others.map(|peer| peer.load.streams).sum();
        let own = self.requests.len() as u32;
        let bulk_share = limits::bulk_share(own, own.saturating_add(others), view.live.len());
        self.limits.set_bulk_share(bulk_share);
        self.router.set_instances(instances);
        for (key, endpoint) in self.catalog.endpoints() {
            self.router
                .set_leaving(key, leaving.contains(&endpoint.name));
        }
        let view = self.members.view();
        self.arbiter
            .set_lapsed(now, view.lapsed.union(&view.terminated).cloned().collect());
        self.arbiter.set_terminated(now, view.terminated.clone());
        // A draining instance keeps the slots assigned to it until it has released them all: when all
        // instances drain at once, no other instance can record their last bills.
        if self.slot_assigner.update(now, view) && !self.has_released_slots {
            self.arbiter
                .set_wanted(now, &self.slot_assigner.own_slots());
        }
        self.members.set_watch(self.slot_assigner.watch().clone());
        for slot in 0..self.settings.slots {
            let slot = SlotKey(slot);
            let owner = self.slot_assigner.assignment().owner(slot).cloned();
            self.claims_client.set_holder(now, slot, owner);
        }
        let updates = self.members.take_updates();
        self.gossip.broadcast(now, updates);
        for outgoing in self.gossip.take_outgoing(now, self.members.view()) {
            self.send_to(&outgoing.to, Message::Gossip(outgoing.message));
        }
        self.start_due_sweep();
        let view = self.members.view();
        if view.superseded || view.drain_requested {
            self.terminate();
        }
    }

    /// Starts the drain. Idempotent.
    pub(crate) fn terminate(&mut self) {
        let actions = self
            .drain
            .stop(self.now, self.catalog.version() != Version::default());
        self.apply_drain_actions(actions);
    }

    fn update_drain(&mut self) {
        let remaining = Remaining {
            streams: self.open_streams(),
            bills: self.claims_client.unfinished(),
            allowances: usize::from(!self.ledger.is_closed()),
            slots: usize::from(!self.arbiter.is_idle()),
        };
        let published = self.members.is_published(State::Gone);
        let actions = self.drain.poll(self.now, &remaining, published);
        self.apply_drain_actions(actions);
    }

    fn open_streams(&self) -> usize {
        self.requests.len() - self.requests.in_state("billing").len()
    }

    fn apply_drain_actions(&mut self, actions: Vec<DrainAction>) {
        for action in actions {
            match action {
                DrainAction::Announce => self.members.set_state(self.now, State::Draining),
                DrainAction::RefuseNew => self.actions.push(Action::StopListening),
                DrainAction::FlushBills => {}
                DrainAction::HandBillsToPeer => self.transfer_bills(),
                DrainAction::ReturnAllowances => self.ledger.close(self.now),
                DrainAction::ReleaseSlots => {
                    self.has_released_slots = true;
                    self.arbiter.set_wanted(self.now, &[]);
                }
                DrainAction::Farewell => self.members.set_state(self.now, State::Gone),
                DrainAction::Exit { .. } => self.actions.push(Action::Exit),
            }
        }
    }

    fn transfer_bills(&mut self) {
        let bills = self.claims_client.export_bills();
        let me = &self.identity.instance;
        let live = self.members.view().live.iter();
        let mut others = live.filter(|peer| peer.instance != *me && peer.state == State::Ready);
        let Some(peer) = others.next().map(|peer| peer.instance.clone()) else {
            return;
        };
        self.send_to(&peer, Message::Bills(bills));
    }

    /// Looks up the state of a request at its slot, for a caller that resumes its response.
    pub(crate) fn look_up(&mut self, ticket: Ticket, key: &RequestKey) {
        self.lookups.insert(ticket);
        self.claims_client.lookup(self.now, ticket.0, key.digest());
    }

    fn handle_lookup_reply(&mut self, ticket: Ticket, known: Option<RequestState>) {
        if !self.lookups.remove(&ticket) {
            return;
        }
        let verdict = self.lookup_verdict(known);
        self.decide(ticket, verdict);
    }

    fn lookup_verdict(&self, known: Option<RequestState>) -> crate::request::Verdict {
        use crate::request::Verdict;
        let assignment = match known {
            Some(RequestState::InProgress { assignment, .. }) => assignment,
            Some(RequestState::Done {
                response: Some(response),
                ..
            }) => return Verdict::Stored(response),
            Some(RequestState::Done { assignment, .. }) => assignment,
            _ => None,
        };
        let endpoint = assignment
            .as_ref()
            .and_then(|assignment| self.catalog.endpoint_by_name(&assignment.server));
        match (assignment.as_ref(), endpoint) {
            (Some(assignment), Some(endpoint)) => Verdict::Attach {
                server: endpoint.name.clone(),
                address: endpoint.address,
                stream: assignment.stream.clone(),
            },
            _ => Verdict::Refuse(Refusal::new(Code::NoSuchStream)),
        }
    }
}

/// Returns the instance name of a holder: the part before the last dot.
pub fn instance_of(holder: &str) -> &str {
    holder
        .rsplit_once('.')
        .map_or(holder, |(instance, _)| instance)
}
