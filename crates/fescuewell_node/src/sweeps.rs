//! Sweeps: settlement of a terminated holder's streams, claims and allowances.
//!
//! The instance that holds the slot to which the terminated holder's name hashes runs the sweep. Every step
//! is idempotent, so two instances may run it concurrently and another may restart it after a crash.

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
use crate::pump::Requester;

/// Set in the correlation numbers of sweeps, which share connections with those of the claims client.
const SWEEP_BIT: u64 = 1 << 63;
/// Maximum number of holders remembered as settled, so that a stale instance list does not restart
/// their sweeps.
const MAX_SETTLED: usize = 1_024;

/// A request of the sweep to a slot.
#[derive(Debug, Clone)]
struct PendingRequest {
    slot: SlotKey,
    correlation: u64,
}

/// The running sweep, if any, and the holders already settled.
#[derive(Debug, Default)]
pub struct Sweeps {
    sweep: Option<Sweep>,
    reclaim: Option<Reclaim>,
    pending_requests: BTreeMap<u64, PendingRequest>,
    next_correlation: u64,
    settled: BTreeSet<Arc<str>>,
    terminated_servers: BTreeSet<Arc<str>>,
}

impl Sweeps {
    /// Updates which backend servers are terminated and hence have no records any more.
    pub fn update_servers(&mut self, list: &[Listing]) {
        for listing in list {
            if listing.role == Role::Entry {
                continue;
            }
            match listing.state {
                State::Terminated => self.terminated_servers.insert(listing.name.clone()),
                State::Live | State::Leaving => self.terminated_servers.remove(&listing.name),
            };
        }
    }

    /// Returns the holder that is being swept.
    pub fn current(&self) -> Option<&Arc<str>> {
        self.sweep.as_ref().map(Sweep::holder)
    }

    /// Returns the next table step of the reclaim.
    pub fn next_table_step(&mut self, now: Instant) -> Option<table::Step> {
        self.reclaim.as_mut()?.next_step(now)
    }

    /// Handles the reply to a table step of the reclaim.
    pub fn handle_table_reply(&mut self, now: Instant, reply: table::Reply) {
        if let Some(reclaim) = &mut self.reclaim {
            reclaim.reply(now, reply);
        }
    }
}

impl Node {
    /// Starts a sweep if one is due and none is running.
    pub(crate) fn start_due_sweep(&mut self) {
        if self.sweeps.sweep.is_some() {
            return;
        }
        let terminated = self.members.view().terminated.clone();
        for holder in terminated {
            let slot = slot_of(Digest::of(holder.as_bytes()), self.settings.slots);
            if self.sweeps.settled.contains(&holder) || !self.arbiter.holds(slot) {
                continue;
            }
            let servers: Vec<Arc<str>> = self
                .catalog
                .all_endpoints()
                .map(|endpoint| endpoint.name.clone())
                .collect();
            let settings = Settings {
                slots: self.settings.slots,
                ..Settings::default()
            };
            self.sweeps.sweep = Some(Sweep::new(self.now, settings, holder, &servers));
            return;
        }
    }

    /// Performs the actions of the running sweep and closes it when it is done.
    pub(crate) fn advance_sweep(&mut self) {
        let Some(mut sweep) = self.sweeps.sweep.take() else {
            return;
        };
        for server in &self.sweeps.terminated_servers {
            sweep.server_terminated(server);
        }
        for action in sweep.take_actions(self.now) {
            self.apply_sweep_action(&sweep, action);
        }
        self.advance_reclaim(&mut sweep);
        for note in sweep.take_notes() {
            self.log(note.event(), note.to_string());
        }
        if !sweep.is_done() {
            self.sweeps.sweep = Some(sweep);
            return;
        }
        self.finish_sweep(&sweep);
    }

    fn apply_sweep_action(&mut self, sweep: &Sweep, action: SweepAction) {
        match action {
            SweepAction::ListStreams { server } => {
                let Some(endpoint) = self.catalog.any_endpoint_by_name(&server) else {
                    return;
                };
                self.actions.push(Action::ListStreams {
                    server,
                    address: endpoint.address,
                    holder: sweep.holder().clone(),
                });
            }
            SweepAction::Cancel { server, stream } => {
                let Some(endpoint) = self.catalog.any_endpoint_by_name(&server) else {
                    return;
                };
                self.actions.push(Action::CancelStream {
                    server,
                    address: endpoint.address,
                    stream,
                });
            }
            SweepAction::Send {
                slot,
                correlation,
                request,
            } => {
                self.send_sweep_request(PendingRequest { slot, correlation }, request);
            }
            SweepAction::Finished { totals } => {
                let seed = Digest::of(sweep.holder().as_bytes()).0 as u64;
                self.sweeps.reclaim = Some(Reclaim::new(sweep.holder().clone(), &totals, seed));
            }
        }
    }

    fn send_sweep_request(&mut self, pending: PendingRequest, request: Request) {
        let slot = pending.slot;
        self.sweeps.next_correlation += 1;
        let number = SWEEP_BIT | self.sweeps.next_correlation;
        self.sweeps.pending_requests.insert(number, pending);
        let owner = self.slot_assigner.assignment().owner(slot).cloned();
        let Some(owner) = owner else {
            return;
        };
        if owner == self.identity.instance {
            let requester = self.register_requester(Requester::Sweep { number });
            self.arbiter.request(self.now, requester, slot, &request);
            return;
        }
        let message = Message::SlotRequest {
            correlation: number,
            slot,
            request,
        };
        self.send_to(&owner, message);
    }

    /// Handles a reply if it belongs to a sweep; returns `true` if it does.
    pub(crate) fn handle_sweep_reply(&mut self, number: u64, reply: &Reply) -> bool {
        if number & SWEEP_BIT == 0 {
            return false;
        }
        if let Some(pending) = self.sweeps.pending_requests.remove(&number)
            && let Some(sweep) = &mut self.sweeps.sweep
        {
            sweep.reply(self.now, pending.slot, pending.correlation, reply.clone());
        }
        true
    }

    /// Handles a backend server's list of the swept holder's streams.
    pub(crate) fn handle_stream_list(
        &mut self,
        server: &str,
        holder: &str,
        streams: Option<Vec<StreamRecord>>,
    ) {
        let Some(sweep) = &mut self.sweeps.sweep else {
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
        let Some(reclaim) = &mut self.sweeps.reclaim else {
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
            self.sweeps.reclaim = None;
            sweep.reclaimed();
        }
        for line in lines {
            self.log(Event::AllowanceReclaimed, line);
        }
    }

    fn finish_sweep(&mut self, sweep: &Sweep) {
        self.members.mark_settled(sweep.holder());
        self.sweeps.pending_requests.clear();
        if self.sweeps.settled.len() >= MAX_SETTLED {
            self.sweeps.settled.pop_first();
        }
        self.sweeps.settled.insert(sweep.holder().clone());
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
