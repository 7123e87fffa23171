//! Records of the software versions that began streams, and look-ups of those that other instances
//! hold; see [`fescuewell_forward::stream`].

use std::net::SocketAddr;
use std::time::Duration;

use fescuewell_forward::message::Message;
use fescuewell_forward::server::Build;
use fescuewell_forward::stream::{Answer, Attempt, Batch, Lookup, Progress, Query, Record, Target};
use rand::seq::IndexedRandom;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Gateway;

/// Time after which instances that have not answered are asked again. Answers take a few milliseconds.
const ROUND_INTERVAL: Duration = Duration::from_millis(60);
/// Pause before the instances are asked again that have no record; it may still be on its way.
const DENIED_PAUSE: Duration = Duration::from_millis(30);
/// Number of instances that are asked to look a record up, or to send records to their holders, by an
/// instance that does not know the members of the fleet.
const RESOLVERS: usize = 2;
/// Age of the list of servers up to which it is current, in milliseconds.
const MAX_LIST_AGE_MS: u64 = 2_000;
/// Time within which the records in the store are read.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of look-ups in progress beside which one is made for another instance.
const MAX_LOOKUPS: usize = 256;
/// Maximum number of look-ups in progress. The streams of further ones count as unknown.
const MAX_OWN_LOOKUPS: usize = 1_024;

/// Result of a look-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Found {
    /// The version, if it is known.
    pub(crate) build: Option<Build>,
    /// Whether the record was held here, or at other instances.
    pub(crate) source: &'static str,
    /// Number of instances that were asked.
    pub(crate) asked: usize,
    /// Number of instances that answered.
    pub(crate) answered: usize,
}

impl Gateway {
    /// Records the software version that began a stream, which may be resumed until `left` and some time
    /// to reconnect have passed.
    pub(crate) fn record_stream(&self, attempt: Attempt, build: Build, left: Duration) {
        let record = Record::new(attempt, build, left);
        let now_ms = self.now_ms();
        {
            let mut state = self.state();
            state.stream_records.insert(record, now_ms);
            if self.settings.peer.is_none() {
                return;
            }
            state.own_streams.insert(record, now_ms);
            state.stream_outbox.push(record);
        }
        self.stream_recorded.notify_one();
    }

    /// Waits until a record has to be sent.
    pub(crate) async fn stream_recorded(&self) {
        self.stream_recorded.notified().await;
    }

    /// Takes the records that have to be sent, with their receivers.
    pub(crate) fn take_stream_batches(&self) -> Vec<(SocketAddr, Batch)> {
        let now_ms = self.now_ms();
        let own = self.settings.peer;
        let resolvers = self.stream_resolvers();
        let mut guard = self.state();
        let state = &mut *guard;
        let sent_at_ms = state.quota.store_time(now_ms);
        let (batches, distribute) = match state.directory.holders() {
            Some(holders) => (state.stream_outbox.take(holders, own), false),
            None => (state.stream_outbox.take_for(&resolvers), true),
        };
        let batches = batches.into_iter().map(|(receiver, records)| {
            let batch = Batch {
                sent_at_ms,
                distribute,
                records,
            };
            (receiver, batch)
        });
        batches.collect()
    }

    /// Adds the records of another instance.
    pub(crate) fn receive_stream_records(&self, batch: Batch) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let store_ms = state.quota.store_time(now_ms);
        if !batch.is_recent(store_ms) {
            return;
        }
        // Without the members of the fleet, this instance would ask others in turn.
        let distributes = batch.distribute && state.directory.holders().is_some();
        for record in batch.records {
            state.stream_records.insert(record, now_ms);
            if distributes {
                state.stream_outbox.push(record);
            }
        }
        drop(state);
        if distributes {
            self.stream_recorded.notify_one();
        }
    }

    /// Adds the records that another instance has written to the store, read at `store_ms` of its clock.
    pub(crate) fn receive_published(&self, batch: Batch, store_ms: u64) {
        let now_ms = self.now_ms();
        let age_s = store_ms.saturating_sub(batch.sent_at_ms).div_ceil(1_000);
        let age_s = u16::try_from(age_s).unwrap_or(u16::MAX);
        let mut state = self.state();
        for record in batch.records {
            let ttl_s = record.ttl_s.saturating_sub(age_s);
            if ttl_s > 0 {
                let record = Record { ttl_s, ..record };
                state.stream_records.insert(record, now_ms);
            }
        }
    }

    /// Returns the version that began a stream if its record is held here.
    pub(crate) fn held_build(&self, attempt: Attempt) -> Option<Build> {
        let now_ms = self.now_ms();
        self.state().stream_records.get(attempt, now_ms)
    }

    /// Returns the version of a service whose servers all have the same one, for callers that do not name
    /// the attempt that began their stream. The list must be current: another one may have been added.
    pub(crate) fn only_build(&self, service: &str) -> Found {
        let now_ms = self.now_ms();
        let state = self.state();
        let age_ms = state.cursor.age_ms(now_ms);
        let is_current = age_ms.is_some_and(|age_ms| age_ms < MAX_LIST_AGE_MS);
        let build = state.registry.only_build(service, now_ms);
        Found {
            build: build.filter(|_| is_current),
            source: "only_version",
            asked: 0,
            answered: 0,
        }
    }

    /// Finds the version that began a stream: here, or at the instances that may hold its record.
    pub(crate) async fn find_build(&self, attempt: Attempt) -> Found {
        let held = self.held_build(attempt);
        if held.is_some() {
            return Found {
                build: held,
                source: "here",
                asked: 0,
                answered: 0,
            };
        }
        let own = self.settings.peer;
        let asked = {
            let state = self.state();
            let holders = state.directory.holders();
            holders.map(|holders| holders.candidates(attempt, own))
        };
        let mut lookup = match asked {
            Some(asked) => Lookup::new(asked),
            None => Lookup::remote(self.stream_resolvers()),
        };
        let mut found = Found {
            build: None,
            source: "instance",
            asked: lookup.asked(),
            answered: 0,
        };
        if own.is_none() || self.state().stream_lookups.len() >= MAX_OWN_LOOKUPS {
            return found;
        }
        found.build = self.look_up(attempt, &mut lookup).await;
        found.answered = lookup.answered();
        if found.build.is_none() && found.answered < found.asked && self.read_streams().await {
            found.source = "store";
        }
        // A record may have arrived meanwhile.
        found.build = found.build.or_else(|| self.held_build(attempt));
        found
    }

    async fn look_up(&self, attempt: Attempt, lookup: &mut Lookup) -> Option<Build> {
        let (sender, answers) = flume::bounded(4 * lookup.asked().max(1));
        let id = self.random_u64();
        let _registration = Registration::new(self, id, sender);
        while let Some(targets) = lookup.next_round() {
            for Target { peer, resolve } in targets {
                let query = Query {
                    id,
                    resolve,
                    attempt,
                };
                self.queue_stream_message(peer, Message::StreamQuery(query));
            }
            let until = Instant::now() + ROUND_INTERVAL;
            let is_denied = loop {
                let answer = tokio::time::timeout_at(until, answers.recv_async()).await;
                let Ok(Ok((from, build))) = answer else {
                    break false;
                };
                match lookup.record(from, build) {
                    Progress::Found(build) => return Some(build),
                    Progress::Denied => break true,
                    Progress::Open => {}
                }
            };
            if is_denied {
                tokio::time::sleep(DENIED_PAUSE).await;
            }
        }
        None
    }

    /// Reads the records of instances that do not reach others from the store. Returns `false` if there
    /// are none, or if they could not be read in time.
    async fn read_streams(&self) -> bool {
        let (reply, response) = oneshot::channel();
        if self.stream_reads.try_send(reply).is_err() {
            // Full: the store does not respond. Closed: the process is shutting down.
            return false;
        }
        let response = tokio::time::timeout(READ_TIMEOUT, response).await;
        matches!(response, Ok(Ok(true)))
    }

    /// Records a message of another instance.
    pub(crate) fn heard_from(&self, peer: SocketAddr) {
        let now_ms = self.now_ms();
        self.state().reach.heard(peer, now_ms);
    }

    /// Asks instances for a message that have not sent one for a while. Returns how many are out of reach.
    pub(crate) fn check_reach(&self) -> usize {
        let now_ms = self.now_ms();
        let own = self.settings.peer;
        let (silent, lost) = {
            let mut guard = self.state();
            let state = &mut *guard;
            let peers = state.directory.peers().iter().copied();
            let peers: Vec<SocketAddr> = peers.filter(|peer| Some(*peer) != own).collect();
            state.reach.update(&peers, now_ms);
            (state.reach.silent(now_ms), state.reach.lost(now_ms))
        };
        for peer in silent {
            // Any attempt will do: an instance also answers that it has no record.
            let query = Query {
                id: 0,
                resolve: false,
                attempt: Attempt::new("", ""),
            };
            self.queue_stream_message(peer, Message::StreamQuery(query));
        }
        lost
    }

    fn queue_stream_message(&self, receiver: SocketAddr, message: Message) {
        // Full: a message that is not sent counts as lost.
        let _ = self.stream_messages.try_send((receiver, message));
    }

    /// Makes a look-up for another instance, unless too many are in progress.
    pub(crate) async fn resolve_stream(&self, query: Query, from: SocketAddr) {
        if self.state().stream_lookups.len() >= MAX_LOOKUPS {
            return;
        }
        let build = self.find_build(query.attempt).await.build;
        let answer = Answer {
            id: query.id,
            build,
        };
        self.queue_stream_message(from, Message::StreamAnswer(answer));
    }

    /// Passes the answer of another instance to its look-up.
    pub(crate) fn receive_stream_answer(&self, id: u64, from: SocketAddr, build: Option<Build>) {
        let sender = self.state().stream_lookups.get(&id).cloned();
        if let Some(sender) = sender {
            // Full or closed: the look-up has enough answers or has ended.
            let _ = sender.try_send((from, build));
        }
    }

    /// Returns instances that know all members of a large fleet. Empty if this instance knows them.
    fn stream_resolvers(&self) -> Vec<SocketAddr> {
        let own = self.settings.peer;
        let mut state = self.state();
        let state = &mut *state;
        if state.directory.holders().is_some() {
            return Vec::new();
        }
        let peers = state.directory.peers();
        // One more, because this instance may be among them.
        let peers = peers.choose_multiple(&mut state.rng, RESOLVERS + 1);
        let others = peers.filter(|peer| Some(**peer) != own);
        others.take(RESOLVERS).copied().collect()
    }
}

/// Registration of a look-up until it is dropped.
struct Registration<'a> {
    gateway: &'a Gateway,
    id: u64,
}

impl<'a> Registration<'a> {
    fn new(gateway: &'a Gateway, id: u64, sender: super::state::AnswerSender) -> Self {
        gateway.state().stream_lookups.insert(id, sender);
        Self { gateway, id }
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.gateway.state().stream_lookups.remove(&self.id);
    }
}
