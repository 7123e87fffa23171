//! Carries what one machine puts out to the machine, instance or table that it is for.

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

/// Rounds of carrying; an answer to an answer within one instance needs three.
const ROUNDS: usize = 8;
/// Time between two reviews of slow matters: health of backend servers, membership, load.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// A part of the document for one peer, at most so many bytes.
const MOST_CHUNK: usize = 64 * 1024;

/// Who waits for an answer of a slot that is held here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Asker {
    /// This instance's claims_client.
    Own {
        /// The claims_client's number for the question.
        correlation: u64,
    },
    /// Another instance.
    Peer {
        /// Its name.
        instance: Arc<str>,
        /// Its number for the question.
        correlation: u64,
    },
    /// The sweep that runs here.
    Sweep {
        /// The sweep's number for the question.
        number: u64,
    },
}

impl Node {
    /// Carries until nothing moves any more.
    pub(crate) fn pump(&mut self) {
        for _ in 0..ROUNDS {
            let before = self.actions.len();
            let moved = self.carry_questions() | self.carry_answers() | self.carry_events();
            self.carry_news();
            self.pump_sweeps();
            if self.needs_dispatch {
                self.dispatch();
            }
            if !moved && self.actions.len() == before {
                break;
            }
        }
        self.carry_budget_messages();
        self.carry_document();
        self.carry_orders();
        self.carry_table_work();
    }

    fn carry_questions(&mut self) -> bool {
        let outgoing = self.claims_client.take_outgoing(self.now);
        let moved = !outgoing.is_empty();
        for question in outgoing {
            self.ask(question);
        }
        moved
    }

    fn ask(&mut self, question: Outgoing) {
        let Outgoing {
            slot,
            instance,
            correlation,
            request,
        } = question;
        if instance == self.me.instance {
            let asker = self.remember(Asker::Own { correlation });
            self.arbiter.request(self.now, asker, slot, &request);
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

    /// Remembers who asks, and gives the number under which the answer will come.
    pub(crate) fn remember(&mut self, asker: Asker) -> u64 {
        self.next_asker += 1;
        self.askers.insert(self.next_asker, asker);
        self.next_asker
    }

    /// Sends to a live instance; `false` when it is not known to live.
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

    fn carry_answers(&mut self) -> bool {
        let answers = self.arbiter.take_replies();
        let moved = !answers.is_empty();
        for (number, reply) in answers {
            let Some(asker) = self.askers.remove(&number) else {
                continue;
            };
            self.answer(asker, reply);
        }
        for note in self.arbiter.take_notes() {
            self.log(note.event(), note.to_string());
        }
        moved
    }

    fn answer(&mut self, asker: Asker, reply: Reply) {
        match asker {
            Asker::Own { correlation } => self.claims_client.receive(self.now, correlation, reply),
            Asker::Peer {
                instance,
                correlation,
            } => {
                self.send_to(&instance, Message::SlotReply { correlation, reply });
            }
            Asker::Sweep { number } => {
                self.sweep_answered(number, &reply);
            }
        }
    }

    fn carry_events(&mut self) -> bool {
        let events = self.claims_client.take_events();
        let moved = !events.is_empty();
        for event in events {
            self.courier_event(event);
        }
        moved
    }

    fn courier_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::ClaimAnswered {
                ticket,
                attempt,
                result,
            } => {
                self.claim_answered(Ticket(ticket), attempt, result);
            }
            ClientEvent::ClaimTimedOut { ticket, .. }
            | ClientEvent::ClaimUnavailable { ticket, .. } => {
                self.claim_unavailable(Ticket(ticket))
            }
            ClientEvent::BillDurable {
                ticket, charged, ..
            } => self.billed(Ticket(ticket), charged),
            ClientEvent::LookedUp { ticket, known } => self.looked_up(Ticket(ticket), known),
        }
    }

    fn claim_answered(&mut self, ticket: Ticket, attempt: u32, result: Result<bool, RequestState>) {
        let record = self.book.get(ticket);
        let is_present = record
            .and_then(|record| record.grant)
            .is_some_and(|grant| grant.attempt == attempt);
        match result {
            Ok(_) if is_present => self.claim_granted(ticket),
            Err(known) if is_present => self.claim_known(ticket, known),
            // The caller went away while the claim was asked for; its release is on its way.
            _ => {}
        }
    }

    fn carry_news(&mut self) {
        for notification in self.ledger.take_notifications() {
            match notification {
                Notification::Funded(group) => self.hold_again(group),
                Notification::Refused(group, shortage) => {
                    for ticket in self.waiting_for_money(group) {
                        self.out_of_money(ticket, shortage);
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

    fn waiting_for_money(&self, group: GroupKey) -> Vec<Ticket> {
        let mut waiting = self.book.all_in("funding");
        waiting.retain(|ticket| {
            self.book
                .get(*ticket)
                .is_some_and(|record| record.group == group)
        });
        waiting
    }

    fn hold_again(&mut self, group: GroupKey) {
        for ticket in self.waiting_for_money(group) {
            self.hold(ticket);
        }
    }

    fn carry_budget_messages(&mut self) {
        for outgoing in self.ledger.take_outbox() {
            let instance = instance_of(&outgoing.to).to_owned();
            let message = Message::Budget {
                from: self.me.holder.clone(),
                message: outgoing.message,
            };
            self.send_to(&instance, message);
        }
    }

    fn carry_document(&mut self) {
        for want in self.propagation.wants(self.now, &mut self.collector) {
            match want.from {
                Source::Store => self.actions.push(Action::Fetch { name: want.name }),
                Source::Peer(instance) => {
                    self.send_to(&instance, Message::ChunkRequest { name: want.name });
                }
            }
        }
        let Some(head) = self.propagation.take_complete() else {
            return;
        };
        match self.collector.finish() {
            Ok(document) => {
                self.put_in_force(head.version, document);
                self.propagation
                    .applied(self.now, head, &mut self.collector);
                self.gossip.set_head(head);
            }
            Err(error) => {
                self.log(
                    Event::DocumentRefused,
                    format!("version={} reason={error}", head.version.0),
                );
                self.propagation.unreadable(self.now, &mut self.collector);
            }
        }
    }

    /// An object came, or did not, from the object store.
    pub(crate) fn object_fetched(&mut self, name: &Arc<str>, content: Option<&[u8]>) {
        self.propagation
            .supply(self.now, name, content, Source::Store, &mut self.collector);
    }

    fn carry_table_work(&mut self) {
        let now = self.now;
        for component in [
            Component::Claims,
            Component::Budget,
            Component::Members,
            Component::Head,
            Component::Reclaim,
            Component::Placement,
        ] {
            if self.busy.contains(&component) {
                continue;
            }
            let step = match component {
                Component::Claims => self.arbiter.next_step(now),
                Component::Budget => self.ledger.next_step(now),
                Component::Members => self.members.next_step(now),
                Component::Head => self.propagation.next_step(now),
                Component::Reclaim => self.sweeping.next_table_step(now),
                Component::Placement => self.next_placement_step(),
            };
            self.give_to_table(component, step);
        }
    }

    fn give_to_table(&mut self, component: Component, step: Option<table::Step>) {
        let Some(step) = step else {
            return;
        };
        self.busy.insert(component);
        self.actions.push(Action::Table { component, step });
    }

    /// Takes a message of another instance.
    pub(crate) fn hear(&mut self, from: &Arc<str>, message: Message) {
        let now = self.now;
        self.members.peer_answered(now, from);
        match message {
            Message::SlotRequest {
                correlation,
                slot,
                request,
            } => {
                let asker = self.remember(Asker::Peer {
                    instance: from.clone(),
                    correlation,
                });
                self.arbiter.request(now, asker, slot, &request);
            }
            Message::SlotReply { correlation, reply } => {
                if !self.sweep_answered(correlation, &reply) {
                    self.claims_client.receive(now, correlation, reply);
                }
            }
            Message::Budget {
                from: holder,
                message,
            } => {
                // A holder's name is its instance's name and a number: nobody speaks for another instance.
                if instance_of(&holder) == &**from {
                    self.ledger.receive(now, holder, message);
                }
            }
            Message::Gossip(message) => self.hear_gossip(from, message),
            Message::ChunkRequest { name } => {
                let content = self.collector.object(&name).map(|bytes| bytes.to_vec());
                let content = content.filter(|bytes| bytes.len() <= MOST_CHUNK);
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

    fn hear_gossip(&mut self, from: &Arc<str>, message: fescuewell_membership::gossip::Message) {
        let now = self.now;
        if let Some(head) = message.head {
            let peer = self.members.view().peer(from);
            let near = peer.is_some_and(|peer| peer.zone == self.me.zone);
            self.propagation
                .hear(now, from, near, head, &mut self.collector);
        }
        for news in message.news.clone() {
            self.members.hear(now, news);
        }
        self.gossip.receive(now, from, message);
    }

    /// Looks after what need not be looked at with each event.
    pub(crate) fn review(&mut self) {
        self.limits.review(self.now, &mut self.router);
        self.needs_dispatch |= !self.admission.is_empty();
        if self.now < self.next_review {
            return;
        }
        self.next_review = self.now + REVIEW_INTERVAL;
        self.claim_again();
        self.review_servers();
        self.review_members();
        self.review_placement();
        self.review_drain();
    }

    fn review_servers(&mut self) {
        for change in self.router.tick(self.now) {
            let (event, server, why) = match change {
                Change::Ejected { server, why } => (Event::ServerEjected, server, why.to_string()),
                Change::Returned { server } => {
                    (Event::ServerReturned, server, "why=progress".into())
                }
                Change::Probe { .. } => continue,
            };
            let Some(place) = self.catalog.place(server) else {
                continue;
            };
            let text = format!("server={} {why}", place.name);
            self.log(event, text);
        }
    }

    fn review_members(&mut self) {
        let now = self.now;
        let load = Load {
            streams: self.book.len() as u32,
            permille: (self.book.len() * 1_000 / self.settings.max_requests.max(1)) as u16,
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
            .filter(|peer| peer.instance != self.me.instance);
        let others: u32 = others.map(|peer| peer.load.streams).sum();
        let own = self.book.len() as u32;
        let part = limits::part(own, own.saturating_add(others), view.live.len());
        self.limits.set_part(part);
        self.router.set_instances(instances);
        for (key, place) in self.catalog.places() {
            self.router.set_leaving(key, leaving.contains(&place.name));
        }
        let view = self.members.view();
        self.arbiter
            .set_lapsed(now, view.lapsed.union(&view.terminated).cloned().collect());
        self.arbiter.set_terminated(now, view.terminated.clone());
        // A draining instance goes on holding what falls to it, until it has given everything back: when
        // all instances drain at once there is nobody else to record their last bills.
        if self.keeper.update(now, view) && !self.has_released_slots {
            self.arbiter.set_wanted(now, &self.keeper.mine());
        }
        self.members.set_watch(self.keeper.watch().clone());
        for slot in 0..self.settings.slots {
            let slot = SlotKey(slot);
            let owner = self.keeper.assignment().owner(slot).cloned();
            self.claims_client.set_holder(now, slot, owner);
        }
        let news = self.members.take_news();
        self.gossip.spread(now, news);
        for outgoing in self.gossip.take_outgoing(now, self.members.view()) {
            self.send_to(&outgoing.to, Message::Gossip(outgoing.message));
        }
        self.review_sweeps();
        let view = self.members.view();
        if view.superseded || view.leave_wanted {
            self.terminate();
        }
    }

    /// Starts the drain; a second call changes nothing.
    pub(crate) fn terminate(&mut self) {
        let actions = self
            .drain
            .stop(self.now, self.catalog.version() != Version::default());
        self.drain_actions(actions);
    }

    fn review_drain(&mut self) {
        let remaining = Remaining {
            streams: self.open_streams(),
            bills: self.claims_client.unfinished(),
            allowances: usize::from(!self.ledger.is_closed()),
            slots: usize::from(!self.arbiter.is_idle()),
        };
        let published = self.members.is_published(State::Gone);
        let actions = self.drain.poll(self.now, &remaining, published);
        self.drain_actions(actions);
    }

    fn open_streams(&self) -> usize {
        self.book.len() - self.book.all_in("billing").len()
    }

    fn drain_actions(&mut self, actions: Vec<DrainAction>) {
        for action in actions {
            match action {
                DrainAction::Announce => self.members.set_state(self.now, State::Draining),
                DrainAction::RefuseNew => self.actions.push(Action::StopListening),
                DrainAction::FlushBills => {}
                DrainAction::HandBillsToPeer => self.hand_bills_over(),
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

    fn hand_bills_over(&mut self) {
        let bills = self.claims_client.export_bills();
        let me = &self.me.instance;
        let live = self.members.view().live.iter();
        let mut others = live.filter(|peer| peer.instance != *me && peer.state == State::Ready);
        let Some(peer) = others.next().map(|peer| peer.instance.clone()) else {
            return;
        };
        self.send_to(&peer, Message::Bills(bills));
    }

    /// Asks the slot what became of a request, for a caller that takes its answer up again.
    pub(crate) fn look_up(&mut self, ticket: Ticket, key: &RequestKey) {
        self.lookups.insert(ticket);
        self.claims_client.lookup(self.now, ticket.0, key.digest());
    }

    fn looked_up(&mut self, ticket: Ticket, known: Option<RequestState>) {
        if !self.lookups.remove(&ticket) {
            return;
        }
        let verdict = self.verdict_of_lookup(known);
        self.decide(ticket, verdict);
    }

    fn verdict_of_lookup(&self, known: Option<RequestState>) -> crate::request::Verdict {
        use crate::request::Verdict;
        let assignment = match known {
            Some(RequestState::InProgress { assignment, .. }) => assignment,
            Some(RequestState::Done {
                response: Some(answer),
                ..
            }) => return Verdict::Stored(answer),
            Some(RequestState::Done { assignment, .. }) => assignment,
            _ => None,
        };
        let place = assignment
            .as_ref()
            .and_then(|assignment| self.catalog.place_of(&assignment.server));
        match (assignment.as_ref(), place) {
            (Some(assignment), Some(place)) => Verdict::Attach {
                server: place.name.clone(),
                address: place.address,
                stream: assignment.stream.clone(),
            },
            _ => Verdict::Refuse(Refusal::new(Code::NoSuchStream)),
        }
    }
}

/// The instance of a holder: what stands before the last dot.
pub fn instance_of(holder: &str) -> &str {
    holder
        .rsplit_once('.')
        .map_or(holder, |(instance, _)| instance)
}
