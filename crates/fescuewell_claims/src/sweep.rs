//! Settles what a terminated router left open, and finds out what it was charged in all.
//!
//! The steps, as charted in `sweep.json`:
//!
//! 1. *Freezing*: every slot stops granting claims to the router and lists those that are open.
//! 2. *Listing*: every backend server is asked for the router's streams until none of them runs any
//!    more. They may run to their end, since a caller's retry may be reading them; after
//!    [`Settings::cancel_after`] they are cancelled.
//! 3. *Settling*: each stream is billed through its slot; the first bill of a request counts.
//! 4. *Doubting*: claims that are still open without a record anywhere are billed at their hold.
//! 5. *Finishing*: every slot fixes the router's totals.
//! 6. *Reclaiming*: the caller returns `granted - charged` of each group to its budget, and says so.
//! 7. *Forgetting*: the slots drop the totals.
//!
//! Each step may be done over, so that another instance can start from the beginning when the one that
//! sweeps dies. Nothing is freed before every backend server has either answered or is terminated
//! itself: a server that is merely out of reach may still be running a stream on the router's allowance.

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

/// How a sweep behaves.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of slots of the whole fleet.
    pub slots: u16,
    /// How long streams may run on before they are cancelled; longer than the longest answer.
    pub cancel_after: Duration,
    /// A listing counts only when it was asked for so long after the start: a send that was under way when the
    /// router died may reach its backend server a moment later.
    pub listing_delay: Duration,
    /// Time between two listings of one server, and before an unanswered question is repeated.
    pub retry_interval: Duration,
    /// Most questions under way at once.
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

/// Whether a stream runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It is queued or produces tokens.
    Running,
    /// It came to its own end.
    Complete,
    /// It was cancelled or failed.
    Interrupted,
}

/// A backend server's record of one stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stream {
    /// The id that the router gave it; names the router, the attempt and the request.
    pub stream: StreamId,
    /// Group that pays, given at the send.
    pub group: Arc<str>,
    /// Upper bound of the cost, given at the send.
    pub hold: Tokens,
    /// Cost up to now.
    pub tokens: Tokens,
    /// Whether it runs.
    pub progress: Progress,
    /// The answer of a non-repeatable call, when the server keeps it.
    pub response: Option<StoredResponse>,
}

fescuewell_core::message! {
    /// What the sweep asks its caller to do.
    pub enum Action {
        /// Ask a backend server for all streams whose ids start with `fw.{holder}.`, answered by [`Sweep::record_streams`].
        ListStreams {
            /// Name of the backend server.
            server: Arc<str>,
        },
        /// Cancel a stream; nothing comes back, the next listing shows it.
        Cancel {
            /// Name of the backend server.
            server: Arc<str>,
            /// The stream.
            stream: StreamId,
        },
        /// Send this to the holder of a slot, answered by [`Sweep::reply`].
        Send {
            /// The slot.
            slot: SlotKey,
            /// To be given back with the answer.
            correlation: u64,
            /// The message.
            request: Request,
        },
        /// Return what the router was allowed less these totals to each group's budget, then call
        /// [`Sweep::reclaimed`]. Groups that are not listed were charged nothing.
        Finished {
            /// Charged to the router, for each group.
            totals: Vec<(Arc<str>, Tokens)>,
        },
    }
}

/// What is known of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerState {
    /// To be asked at this time.
    Due { at: Instant },
    /// Asked at `sent`.
    Requested { sent: Instant },
    /// None of the router's streams runs there any more.
    Settled,
}

/// A question under way to a slot.
#[derive(Debug, Clone, Copy)]
struct Question {
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
    chart: Chart,
    state: State,
    servers: BTreeMap<Arc<str>, ServerState>,
    /// Slots that have yet to answer in this step, and the question that each was last asked.
    asking: BTreeMap<SlotKey, Option<Question>>,
    next_correlation: u64,
    /// Bills to be sent in this step; the front of each queue is the one asked.
    bills: BTreeMap<SlotKey, VecDeque<Settlement>>,
    open: BTreeMap<(Digest, u32), OpenClaim>,
    streams: BTreeMap<(Digest, u32), Settlement>,
    totals: BTreeMap<Arc<str>, Tokens>,
    is_announced: bool,
    cancels: Vec<Action>,
    notes: Vec<Note>,
}

impl Sweep {
    /// Starts to sweep `holder` (`instance.incarnation`); `servers` are all backend servers that are not terminated.
    ///
    /// # Panics
    ///
    /// Never: the chart is part of the program and tested.
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
            servers: BTreeMap::new(),
            asking: BTreeMap::new(),
            next_correlation: 1,
            bills: BTreeMap::new(),
            open: BTreeMap::new(),
            streams: BTreeMap::new(),
            totals: BTreeMap::new(),
            is_announced: false,
            cancels: Vec::new(),
            notes: vec![Note::SweepStarted {
                holder: holder.clone(),
            }],
            holder,
        };
        for server in servers {
            let at = now + sweep.settings.listing_delay;
            sweep
                .servers
                .insert(server.clone(), ServerState::Due { at });
        }
        sweep.ask_all_slots();
        sweep
    }

    /// The router that is swept.
    pub fn holder(&self) -> &Arc<str> {
        &self.holder
    }

    /// The present step, as in the chart.
    pub fn step(&self) -> &str {
        self.chart.name(self.state)
    }

    /// Whether nothing is left to do.
    pub fn is_done(&self) -> bool {
        self.step() == "done"
    }

    /// What is to be done now.
    pub fn take_actions(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.cancels);
        match self.step() {
            "listing" => self.list_servers(now, &mut actions),
            "reclaiming" if !self.is_announced => {
                self.is_announced = true;
                let totals = self.totals.clone().into_iter().collect();
                actions.push(Action::Finished { totals });
            }
            "reclaiming" | "done" => {}
            _ => self.ask_slots(now, &mut actions),
        }
        actions
    }

    /// What is to be logged.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Takes a backend server's listing, asked for by [`Action::ListStreams`].
    pub fn record_streams(&mut self, now: Instant, server: &str, records: &[Stream]) {
        let Some((name, &ServerState::Requested { .. })) = self.servers.get_key_value(server)
        else {
            return;
        };
        let name = name.clone();
        let is_impatient = now.since(self.started) >= self.settings.cancel_after;
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
                if is_impatient {
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

    /// Notes that a backend server did not answer; it is asked again later.
    pub fn server_failed(&mut self, now: Instant, server: &str) {
        let at = now + self.settings.retry_interval;
        if let Some(state @ &mut ServerState::Requested { .. }) = self.servers.get_mut(server) {
            *state = ServerState::Due { at };
        }
    }

    /// Notes that a backend server is terminated: its streams have ended and it has no records any more.
    pub fn server_terminated(&mut self, server: &str) {
        if let Some(state) = self.servers.get_mut(server) {
            *state = ServerState::Settled;
        }
        self.advance();
    }

    /// Takes the answer of a slot's holder, asked for by [`Action::Send`].
    ///
    /// Only the last question to a slot counts. A late answer to `Freeze` taken for that to `Finish` would give
    /// totals that lack what was billed since, and the budget would take back tokens that were spent.
    pub fn reply(&mut self, now: Instant, slot: SlotKey, correlation: u64, reply: Reply) {
        let Some(&Some(question)) = self.asking.get(&slot) else {
            return;
        };
        if question.correlation != correlation {
            return;
        }
        let is_answered = match (self.step(), reply) {
            ("freezing", Reply::Closed { open, .. }) => {
                for claim in open {
                    self.open.insert((claim.request, claim.attempt), claim);
                }
                true
            }
            ("settling" | "doubting", Reply::Billed { .. }) => {
                self.bill_answered(slot);
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
        if is_answered {
            self.asking.remove(&slot);
            self.advance();
            return;
        }
        // Not held, or not able to write now. Asked again after the usual wait.
        let sent = now;
        self.asking
            .insert(slot, Some(Question { correlation, sent }));
    }

    /// Notes that every group's budget has taken back what the router did not use.
    ///
    /// To be called only when that is durable for all groups: afterwards the totals are dropped, and a sweep
    /// that starts over would find the router charged nothing. That is harmless only because the budgets no
    /// longer list anything allowed to it.
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
