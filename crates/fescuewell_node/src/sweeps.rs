//! The duty to settle what a terminated instance left: its streams, its claims, its allowances.
//!
//! The instance that holds the slot to which the terminated holder's name hashes has the duty. When
//! two believe to have it, or one dies halfway, each step may be repeated without harm.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fescuewell_budget::reclaim::Reclaim;
use fescuewell_claims::message::{Reply, Request, slot_of};
use fescuewell_claims::sweep::{Action as SweepAction, Progress, Settings, Stream, Sweep};
use fescuewell_core::platform::{Listing, Role, State};
use fescuewell_core::prelude::*;
use fescuewell_core::table;

use crate::event::{Action, StreamRecord};
use crate::message::Message;
use crate::node::Node;
use crate::pump::Asker;

/// Set in the correlations of a sweep's questions, which share a connection with the claims_client's.
const SWEEP_BIT: u64 = 1 << 63;
/// Holders remembered as settled, so that a lagging list does not start their sweep anew.
const MOST_SETTLED: usize = 1_024;

/// A question to a slot.
#[derive(Debug, Clone)]
struct Question {
    slot: SlotKey,
    correlation: u64,
}

/// The sweep that runs here, if any, and those that are over.
#[derive(Debug, Default)]
pub struct Sweeping {
    sweep: Option<Sweep>,
    reclaim: Option<Reclaim>,
    questions: BTreeMap<u64, Question>,
    next_question: u64,
    settled: BTreeSet<Arc<str>>,
    ended_servers: BTreeSet<Arc<str>>,
}

impl Sweeping {
    /// Notes which backend servers the instance list calls terminated: they have no records any more.
    pub fn note_servers(&mut self, list: &[Listing]) {
        for listing in list {
            if listing.role == Role::Entry {
                continue;
            }
            match listing.state {
                State::Terminated => self.ended_servers.insert(listing.name.clone()),
                State::Live | State::Leaving => self.ended_servers.remove(&listing.name),
            };
        }
    }

    /// The holder whose streams are being settled.
    pub fn current(&self) -> Option<&Arc<str>> {
        self.sweep.as_ref().map(Sweep::holder)
    }

    /// The next piece of table work of the reclaim.
    pub fn next_table_step(&mut self, now: Instant) -> Option<table::Step> {
        self.reclaim.as_mut()?.next_step(now)
    }

    /// Takes the answer to it.
    pub fn reclaimed(&mut self, now: Instant, reply: table::Reply) {
        if let Some(reclaim) = &mut self.reclaim {
            reclaim.reply(now, reply);
        }
    }
}

impl Node {
    /// Starts a sweep that is due here.
    pub(crate) fn review_sweeps(&mut self) {
        if self.sweeping.sweep.is_some() {
            return;
        }
        let terminated = self.members.view().terminated.clone();
        for holder in terminated {
            let duty = slot_of(Digest::of(holder.as_bytes()), self.settings.slots);
            if self.sweeping.settled.contains(&holder) || !self.arbiter.holds(duty) {
                continue;
            }
            let servers: Vec<Arc<str>> = self
                .catalog
                .all_places()
                .map(|place| place.name.clone())
                .collect();
            let settings = Settings {
                slots: self.settings.slots,
                ..Settings::default()
            };
            self.sweeping.sweep = Some(Sweep::new(self.now, settings, holder, &servers));
            return;
        }
    }

    /// Carries out what the sweep asks for.
    pub(crate) fn pump_sweeps(&mut self) {
        let Some(mut sweep) = self.sweeping.sweep.take() else {
            return;
        };
        for server in &self.sweeping.ended_servers {
            sweep.server_terminated(server);
        }
        for action in sweep.take_actions(self.now) {
            self.sweep_action(&sweep, action);
        }
        self.advance_reclaim(&mut sweep);
        for note in sweep.take_notes() {
            self.log(note.event(), note.to_string());
        }
        if !sweep.is_done() {
            self.sweeping.sweep = Some(sweep);
            return;
        }
        self.finish_sweep(&sweep);
    }

    fn sweep_action(&mut self, sweep: &Sweep, action: SweepAction) {
        match action {
            SweepAction::ListStreams { server } => {
                let Some(place) = self.catalog.any_place_of(&server) else {
                    return;
                };
                self.actions.push(Action::ListStreams {
                    server,
                    address: place.address,
                    holder: sweep.holder().clone(),
                });
            }
            SweepAction::Cancel { server, stream } => {
                let Some(place) = self.catalog.any_place_of(&server) else {
                    return;
                };
                self.actions.push(Action::CancelStream {
                    server,
                    address: place.address,
                    stream,
                });
            }
            SweepAction::Send {
                slot,
                correlation,
                request,
            } => {
                self.ask_for_sweep(Question { slot, correlation }, request);
            }
            SweepAction::Finished { totals } => {
                let seed = Digest::of(sweep.holder().as_bytes()).0 as u64;
                self.sweeping.reclaim = Some(Reclaim::new(sweep.holder().clone(), &totals, seed));
            }
        }
    }

    fn ask_for_sweep(&mut self, question: Question, request: Request) {
        let slot = question.slot;
        self.sweeping.next_question += 1;
        let number = SWEEP_BIT | self.sweeping.next_question;
        self.sweeping.questions.insert(number, question);
        let owner = self.keeper.assignment().owner(slot).cloned();
        let Some(owner) = owner else {
            return;
        };
        if owner == self.me.instance {
            let asker = self.remember(Asker::Sweep { number });
            self.arbiter.request(self.now, asker, slot, &request);
            return;
        }
        let message = Message::SlotRequest {
            correlation: number,
            slot,
            request,
        };
        self.send_to(&owner, message);
    }

    /// Takes an answer if it belongs to the sweep; returns whether it does.
    pub(crate) fn sweep_answered(&mut self, number: u64, reply: &Reply) -> bool {
        if number & SWEEP_BIT == 0 {
            return false;
        }
        if let Some(question) = self.sweeping.questions.remove(&number)
            && let Some(sweep) = &mut self.sweeping.sweep
        {
            sweep.reply(self.now, question.slot, question.correlation, reply.clone());
        }
        true
    }

    /// Takes a backend server's listing of the streams of the swept holder.
    pub(crate) fn streams_listed(
        &mut self,
        server: &str,
        holder: &str,
        streams: Option<Vec<StreamRecord>>,
    ) {
        let Some(sweep) = &mut self.sweeping.sweep else {
            return;
        };
        if &**sweep.holder() != holder {
            return;
        }
        match streams {
            None => sweep.server_failed(self.now, server),
            Some(streams) => {
                let records: Vec<Stream> = streams.into_iter().map(record).collect();
                sweep.record_streams(self.now, server, &records);
            }
        }
    }

    fn advance_reclaim(&mut self, sweep: &mut Sweep) {
        let Some(reclaim) = &mut self.sweeping.reclaim else {
            return;
        };
        let mut lines = Vec::new();
        for freed in reclaim.take_freed() {
            lines.push(format!(
                "holder={} group={} granted={} charged={}",
                sweep.holder(),
                freed.group,
                freed.granted,
                freed.charged
            ));
        }
        if reclaim.is_done() {
            self.sweeping.reclaim = None;
            sweep.reclaimed();
        }
        for line in lines {
            self.log(Event::AllowanceReclaimed, line);
        }
    }

    fn finish_sweep(&mut self, sweep: &Sweep) {
        self.members.settled(sweep.holder());
        self.sweeping.questions.clear();
        if self.sweeping.settled.len() >= MOST_SETTLED {
            self.sweeping.settled.pop_first();
        }
        self.sweeping.settled.insert(sweep.holder().clone());
    }
}

fn record(stream: StreamRecord) -> Stream {
    let progress = match (stream.done, stream.complete) {
        (false, _) => Progress::Running,
        (true, true) => Progress::Complete,
        (true, false) => Progress::Interrupted,
    };
    Stream {
        stream: stream.stream,
        group: stream.group,
        hold: stream.hold,
        tokens: stream.used,
        progress,
        response: stream.response,
    }
}
