//! The sweep of a terminated router: settles its open requests and determines its total charges.
//!
//! The steps, as in the state chart `sweep.json`:
//!
//! 1. *Freezing*: every slot stops granting claims to the router and lists its open ones.
//! 2. *Listing*: every backend server is asked for the router's streams until none of them runs any
//!    more. Streams may run to their end, since a caller's retry may be reading them; after
//!    [`Settings::cancel_after`] they are cancelled.
//! 3. *Settling*: each stream is billed in its slot; the first bill of a request counts.
//! 4. *Doubting*: open claims without any stream record are billed at their hold.
//! 5. *Finishing*: every slot fixes the router's totals.
//! 6. *Reclaiming*: the caller returns `granted - charged` of each group to its budget and reports
//!    that to the sweep.
//! 7. *Forgetting*: the slots drop the totals.
//!
//! Each step can be repeated, so another instance can start from the beginning if the sweeping one
//! terminates. Nothing is returned to a budget before every backend server has either replied or is
//! terminated itself: an unreachable server may still be running a stream on the router's
//! allowance.

mod steps;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::chart::{Chart, State};
use fescuewell_core::prelude::*;

use crate::message::{Evidence, OpenClaim, Reply, Request, Settlement, StoredResponse, slot_of};
use crate::note::Note;
use crate::stream;

const CHART: &str = include_str!("sweep.json");

/// Settings of a sweep.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of slots in the fleet.
    pub slots: u16,
    /// How long streams may run before they are cancelled; longer than the longest response.
    pub cancel_after: Duration,
    /// Time between the last slot's reply and the first listing: a request that was in transit when
    /// the router terminated may reach its backend server a moment later, and a bill of another router
    /// may still be on its way to a slot that had no holder.
    pub listing_delay: Duration,
    /// Time between two listings of one server, and before a request without a reply is repeated.
    pub retry_interval: Duration,
    /// Limit on the actions returned by one call. Cancellations count towards it but are always
    /// returned.
    pub max_batch: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 64,
            cancel_after: Duration::from_secs(120),
            listing_delay: Duration::from_secs(3),
            retry_interval: Duration::from_secs(1),
            max_batch: 32,
        }
    }
}

/// The progress of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Queued or producing tokens.
    Running,
    /// Ended normally.
    Complete,
    /// Cancelled or failed.
    Interrupted,
}

/// A backend server's record of one stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stream {
    /// The stream id set by the router, which encodes the router, the attempt and the request.
    pub stream: StreamId,
    /// Group that pays, as sent by the router.
    pub group: Arc<str>,
    /// Upper bound of the cost, as sent by the router.
    pub hold: Tokens,
    /// Cost so far.
    pub tokens: Tokens,
    /// Progress of the stream.
    pub progress: Progress,
    /// The response of a non-repeatable call, if the server keeps it.
    pub response: Option<StoredResponse>,
}

fescuewell_core::message! {
    /// An action that the caller of the sweep must perform.
    pub enum Action {
        /// Request all streams whose ids start with `fw.{holder}.` from a backend server and pass
        /// them to [`Sweep::record_streams`].
        ListStreams {
            /// Name of the backend server.
            server: Arc<str>,
        },
        /// Cancel a stream. There is no result; the next listing shows it.
        Cancel {
            /// Name of the backend server.
            server: Arc<str>,
            /// The stream.
            stream: StreamId,
        },
        /// Send a request to the holder of a slot and pass the reply to [`Sweep::reply`].
        Send {
            /// The slot.
            slot: SlotKey,
            /// Identifies the reply; pass it to [`Sweep::reply`].
            correlation: u64,
            /// The request.
            request: Request,
        },
        /// Return the router's allowance minus these totals to each group's budget, then call
        /// [`Sweep::reclaimed`]. Groups that are not listed were charged nothing.
        Finished {
            /// Tokens charged to the router, by group.
            totals: Vec<(Arc<str>, Tokens)>,
        },
    }
}

/// The listing state of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerState {
    /// To be listed at `at`.
    Due { at: Instant },
    /// A listing was requested at `sent`.
    Requested { sent: Instant },
    /// None of the router's streams is running any more.
    Settled,
}

/// The last request sent to a slot.
#[derive(Debug, Clone, Copy)]
struct SentRequest {
    correlation: u64,
    sent: Instant,
}

/// The sweep of one terminated router.
///
/// ```
/// use fescuewell_claims::message::Reply;
/// use fescuewell_claims::sweep::{Action, Settings, Sweep};
/// use fescuewell_core::prelude::*;
///
/// let now = Instant::from_millis(0);
/// let settings = Settings { slots: 1, ..Settings::default() };
/// let mut sweep = Sweep::new(now, settings, "entry-1.1f", &[]);
/// let closed = || Reply::Closed { totals: vec![("signwise".into(), Tokens(70))], open: Vec::new() };
/// for _ in ["freezing", "finishing"] {
///     let Action::Send { slot, correlation, .. } = sweep.take_actions(now)[0] else { panic!() };
///     sweep.reply(now, slot, correlation, closed());
/// }
/// let actions = sweep.take_actions(now);
/// assert_eq!(actions, [Action::Finished { totals: vec![("signwise".into(), Tokens(70))] }]);
/// ```
#[derive(Debug)]
pub struct Sweep {
    settings: Settings,
    holder: Arc<str>,
    started: Instant,
    /// When the slots were frozen.
    listing_since: Option<Instant>,
    chart: Chart,
    state: State,
    servers: BTreeMap<Arc<str>, ServerState>,
    /// Slots that have not replied in this step, with the last request to each.
    pending: BTreeMap<SlotKey, Option<SentRequest>>,
    next_correlation: u64,
    /// Bills to send in this step. Only the front of each queue is in progress.
    bills: BTreeMap<SlotKey, VecDeque<Settlement>>,
    open: BTreeMap<(Digest, u32), OpenClaim>,
    streams: BTreeMap<(Digest, u32), Settlement>,
    totals: BTreeMap<Arc<str>, Tokens>,
    is_totals_reported: bool,
    cancels: Vec<Action>,
    notes: Vec<Note>,
}

impl Sweep {
    /// Starts to sweep `holder` (`instance.incarnation`). `servers` are all backend servers that
    /// are not terminated.
    ///
    /// # Panics
    ///
    /// Never: the chart is part of the program and covered by tests.
    pub fn new<Holder>(
        now: Instant,
        settings: Settings,
        holder: Holder,
        servers: &[Arc<str>],
    ) -> Self
    where
        Holder: Into<Arc<str>>,
    {
        let chart = Chart::parse(CHART).expect("the chart is well formed");
        let holder = holder.into();
        let mut sweep = Self {
            state: chart.initial(),
            chart,
            settings,
            started: now,
            listing_since: None,
            servers: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_correlation: 1,
            bills: BTreeMap::new(),
            open: BTreeMap::new(),
            streams: BTreeMap::new(),
            totals: BTreeMap::new(),
            is_totals_reported: false,
            cancels: Vec::new(),
            notes: vec![Note::SweepStarted {
                holder: holder.clone(),
            }],
            holder,
        };
        for server in servers {
            sweep
                .servers
                .insert(server.clone(), ServerState::Due { at: now });
        }
        sweep.reset_slots();
        sweep
    }

    /// The router being swept.
    pub fn holder(&self) -> &Arc<str> {
        &self.holder
    }

    /// The current step, as named in the chart.
    pub fn step(&self) -> &str {
        self.chart.name(self.state)
    }

    /// Whether the sweep has finished.
    pub fn is_done(&self) -> bool {
        self.step() == "done"
    }

    /// Takes the actions to perform now.
    pub fn take_actions(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.cancels);
        match self.step() {
            "listing" => self.list_servers(now, &mut actions),
            "reclaiming" if !self.is_totals_reported => {
                self.is_totals_reported = true;
                let totals = self.totals.clone().into_iter().collect();
                actions.push(Action::Finished { totals });
            }
            "reclaiming" | "done" => {}
            _ => self.request_slots(now, &mut actions),
        }
        actions
    }

    /// Takes the notes to be logged.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Processes a backend server's listing, requested by [`Action::ListStreams`].
    pub fn record_streams(&mut self, now: Instant, server: &str, records: &[Stream]) {
        let Some((name, &ServerState::Requested { .. })) = self.servers.get_key_value(server)
        else {
            return;
        };
        let name = name.clone();
        let should_cancel = now.since(self.started) >= self.settings.cancel_after;
        let mut is_running = false;
        for record in records {
            let Some((owner, request)) = stream::parse(&record.stream) else {
                continue;
            };
            if owner.holder != self.holder {
                continue;
            }
            if record.progress == Progress::Running {
                is_running = true;
                if should_cancel {
                    self.cancels.push(Action::Cancel {
                        server: name.clone(),
                        stream: record.stream.clone(),
                    });
                }
                continue;
            }
            self.add_stream(Settlement {
                request,
                group: record.group.clone(),
                owner,
                hold: record.hold,
                evidence: Evidence::Stream {
                    cost: record.tokens,
                    complete: record.progress == Progress::Complete,
                    response: record.response.clone(),
                },
            });
        }
        let at = now + self.settings.retry_interval;
        let next = match is_running {
            true => ServerState::Due { at },
            false => ServerState::Settled,
        };
        self.servers.insert(name, next);
        self.advance();
    }

    /// Reports that a backend server did not reply; it is listed again later.
    pub fn server_failed(&mut self, now: Instant, server: &str) {
        let at = now + self.settings.retry_interval;
        if let Some(state @ &mut ServerState::Requested { .. }) = self.servers.get_mut(server) {
            *state = ServerState::Due { at };
        }
    }

    /// Reports that a backend server is terminated, so its streams have ended and it has no
    /// records.
    pub fn server_terminated(&mut self, server: &str) {
        if let Some(state) = self.servers.get_mut(server) {
            *state = ServerState::Settled;
        }
        self.advance();
    }

    /// Processes the reply of a slot's holder to [`Action::Send`].
    ///
    /// Only the reply to the last request counts. If a late reply to `Freeze` were taken for the
    /// reply to `Finish`, the totals would lack what was billed in between, and the budget would
    /// take back tokens that were spent.
    pub fn reply(&mut self, now: Instant, slot: SlotKey, correlation: u64, reply: Reply) {
        let Some(&Some(sent_request)) = self.pending.get(&slot) else {
            return;
        };
        if sent_request.correlation != correlation {
            return;
        }
        let is_done = match (self.step(), reply) {
            ("freezing", Reply::Closed { open, .. }) => {
                for claim in open {
                    self.open.insert((claim.request, claim.attempt), claim);
                }
                true
            }
            ("settling" | "doubting", Reply::Billed { .. }) => {
                self.bill_recorded(slot);
                return;
            }
            ("finishing", Reply::Closed { totals, .. }) => {
                for (group, charged) in totals {
                    *self.totals.entry(group).or_default() += charged;
                }
                true
            }
            ("forgetting", Reply::Forgotten) => true,
            _ => false,
        };
        if is_done {
            self.pending.remove(&slot);
            self.advance();
            return;
        }
        // The slot is not held there or cannot be written now. The request is repeated after the
        // retry interval.
        let sent = now;
        self.pending
            .insert(slot, Some(SentRequest { correlation, sent }));
    }

    /// Reports that every group's budget has taken back the router's unused allowance.
    ///
    /// Must be called only once that is durable for all groups: afterwards the totals are dropped,
    /// and a sweep that starts over finds no charges. That is safe only because the budgets no
    /// longer list any allowance of the router.
    pub fn reclaimed(&mut self) {
        if self.step() != "reclaiming" {
            return;
        }
        let charged = self.totals.values().copied().sum();
        self.notes.push(Note::SweepFinished {
            holder: self.holder.clone(),
            charged,
        });
        self.enter("reclaimed");
    }
}
