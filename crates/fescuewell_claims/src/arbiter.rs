//! The holder of slots: decides requests from routers and writes the decisions to the table in
//! group commits.
//!
//! The state machine performs no I/O. The caller passes requests in ([`Arbiter::request`]) and
//! takes replies out ([`Arbiter::take_replies`]). It executes one table step at a time
//! ([`Arbiter::next_step`]) and returns the result ([`Arbiter::reply`]).
//!
//! Safety does not depend on clocks. Every commit compares the revision of each slot's row, so a
//! holder that was paused while another instance took its slots can no longer make anything
//! durable. Requests that must not be repeated get their reply only after their commit has
//! returned. A paused holder may still grant a repeatable request from memory; the duplicate is
//! resolved when the request is billed.
//!
//! ```
//! use std::time::Duration;
//! use fescuewell_claims::arbiter::{Arbiter, Settings};
//! use fescuewell_claims::message::{RequestState, Reply, Request};
//! use fescuewell_core::prelude::*;
//! use fescuewell_core::table::{Outcome, Reply as TableReply, Step};
//!
//! let mut now = Instant::from_millis(0);
//! let mut arbiter = Arbiter::new(Settings::default(), "entry-1.1f", 7);
//! arbiter.set_wanted(now, &[SlotKey(0)]);
//! // An empty table: every read finds nothing and every commit succeeds.
//! while !arbiter.holds(SlotKey(0)) {
//!     now = now + Duration::from_millis(10);
//!     let reply = match arbiter.next_step(now) {
//!         Some(Step::Commit(_)) => TableReply::Outcome(Outcome::Committed { revision: 1 }),
//!         Some(_) => TableReply::Rows(Vec::new()),
//!         None => continue,
//!     };
//!     arbiter.reply(now, reply);
//! }
//! arbiter.request(now, 1, SlotKey(0), &Request::Lookup { request: Digest(0) });
//! assert_eq!(arbiter.take_replies(), [(1, Reply::Known(RequestState::Absent))]);
//! ```

mod checkpoint;
mod commit;
mod held;
pub mod row;
mod settings;
mod take;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_core::table;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::ledger::Context;
use crate::message::{Reply, Request};
use crate::note::Note;

pub use settings::Settings;

use commit::GroupCommit;
use held::Held;
use row::SlotRow;
use take::Loading;

/// The table step in progress.
#[derive(Debug)]
enum Outstanding {
    Poll,
    Take(Vec<(SlotKey, SlotRow)>),
    LoadCheckpoint(SlotKey),
    LoadLog(SlotKey),
    Chunk(SlotKey),
    Trim {
        slot: SlotKey,
        garbage: usize,
        trim_from: u64,
    },
    Commit,
    Recheck,
}

/// Holds slots for one instance and decides the requests in them.
#[derive(Debug)]
pub struct Arbiter {
    settings: Settings,
    holder: Arc<str>,
    rng: SmallRng,
    wanted: BTreeSet<SlotKey>,
    /// Slots whose rows are invalid. They are not taken again until the process restarts.
    damaged: BTreeSet<SlotKey>,
    lapsed: BTreeSet<Arc<str>>,
    terminated: BTreeSet<Arc<str>>,
    held: BTreeMap<SlotKey, Held>,
    loading: BTreeMap<SlotKey, Loading>,
    /// Slot rows from the last poll, kept while they may show slots to take.
    polled_rows: Option<BTreeMap<SlotKey, (SlotRow, u64)>>,
    outstanding: Option<Outstanding>,
    in_flight: Option<GroupCommit>,
    next_commit: Instant,
    next_poll: Instant,
    next_expire: Instant,
    /// Earliest time of the next table step after a failure.
    retry_at: Instant,
    failures: u32,
    /// Whether the table accepts writes, judging by the last steps.
    writable: bool,
    /// The last slot of the previous commit; the next one starts with the slot after it.
    cursor: SlotKey,
    pending: usize,
    entries: usize,
    replies: Vec<(u64, Reply)>,
    notes: Vec<Note>,
}

impl Arbiter {
    /// Creates an arbiter that holds no slots. `holder` is this instance's `instance.incarnation`.
    pub fn new<Holder>(settings: Settings, holder: Holder, seed: u64) -> Self
    where
        Holder: Into<Arc<str>>,
    {
        Self {
            settings,
            holder: holder.into(),
            rng: SmallRng::seed_from_u64(seed),
            wanted: BTreeSet::new(),
            damaged: BTreeSet::new(),
            lapsed: BTreeSet::new(),
            terminated: BTreeSet::new(),
            held: BTreeMap::new(),
            loading: BTreeMap::new(),
            polled_rows: None,
            outstanding: None,
            in_flight: None,
            next_commit: Instant::default(),
            next_poll: Instant::default(),
            next_expire: Instant::default(),
            retry_at: Instant::default(),
            failures: 0,
            writable: true,
            cursor: SlotKey::default(),
            pending: 0,
            entries: 0,
            replies: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// Sets the slots to hold. Other held slots are released once their decisions are durable.
    pub fn set_wanted(&mut self, now: Instant, slots: &[SlotKey]) {
        let wanted: BTreeSet<SlotKey> = slots.iter().copied().collect();
        if wanted == self.wanted {
            return;
        }
        self.wanted = wanted;
        self.next_poll = self.next_poll.min(now);
    }

    /// Sets the holders whose slots may be taken over. Taking a slot is safe even if its holder is
    /// still alive.
    pub fn set_lapsed(&mut self, now: Instant, lapsed: BTreeSet<Arc<str>>) {
        if lapsed == self.lapsed {
            return;
        }
        self.lapsed = lapsed;
        self.next_poll = self.next_poll.min(now);
    }

    /// Sets the routers that the instance list reports as terminated.
    pub fn set_terminated(&mut self, _now: Instant, terminated: BTreeSet<Arc<str>>) {
        self.terminated = terminated;
    }

    /// Whether this instance decides requests in `slot`.
    pub fn holds(&self, slot: SlotKey) -> bool {
        self.held.contains_key(&slot) && self.wanted.contains(&slot)
    }

    /// The epoch under which `slot`'s row names this holder, including while the slot is being
    /// released.
    pub fn epoch(&self, slot: SlotKey) -> Option<Epoch> {
        self.held.get(&slot).map(|held| held.row.epoch)
    }

    /// The slots in which this instance decides requests.
    pub fn slots(&self) -> Vec<SlotKey> {
        let held = self.held.keys().copied();
        held.filter(|slot| self.wanted.contains(slot)).collect()
    }

    /// Whether no slot is held, loading or being released.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && self.loading.is_empty()
    }

    /// Whether the table accepts writes, judging by the last steps.
    pub fn is_writable(&self) -> bool {
        self.writable
    }

    /// The number of requests in memory.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// The number of records that are decided but not yet durable.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Decides a request from a router. The reply appears in [`Arbiter::take_replies`] under
    /// `ticket`, immediately or after a commit.
    pub fn request(&mut self, now: Instant, ticket: u64, slot: SlotKey, request: &Request) {
        let is_full = self.is_full_for(slot, request);
        let wanted = self.wanted.contains(&slot);
        let Some(held) = self.held.get_mut(&slot).filter(|_| wanted) else {
            self.replies.push((ticket, Reply::NotHolder));
            return;
        };
        if is_full {
            self.replies.push((ticket, Reply::Unavailable));
            return;
        }
        let context = Context {
            now,
            terminated: &self.terminated,
            writable: self.writable,
        };
        let known = held.ledger.len();
        let mut decision = held.ledger.request(&context, request);
        self.entries += held.ledger.len() - known;
        self.notes.extend(decision.note.take());
        let records = std::mem::take(&mut decision.records);
        self.pending += records.len();
        held.push(now, records);
        // Until the outcome of a non-repeatable call is durable, losing both its router and this
        // holder would leave the caller with an unknown outcome forever. Half a second is too long
        // a window.
        held.is_urgent |= matches!(request, Request::Bill(bill) if !bill.repeatable);
        if !decision.after_commit || held.is_clean() {
            self.replies.push((ticket, decision.reply));
            return;
        }
        // The bill or release is written with the first commit after the outage. The sender keeps
        // it and sends it again, so there is no use in holding the ticket open meanwhile.
        if !self.writable {
            self.replies.push((ticket, Reply::Unavailable));
            return;
        }
        let new_claim = match request {
            Request::Claim(claim) if decision.new_claim => {
                Some((claim.request, claim.owner.clone()))
            }
            _ => None,
        };
        held.defer(ticket, decision, new_claim);
    }

    /// Limits memory use during an outage of any length; a rejected request stays with its sender.
    fn is_full_for(&self, slot: SlotKey, request: &Request) -> bool {
        if matches!(request, Request::Lookup { .. }) {
            return false;
        }
        if self.pending >= self.settings.pending_limit {
            return true;
        }
        if self.entries < self.settings.entry_limit {
            return false;
        }
        // Billing a known request takes no extra memory and allows the request to expire later.
        let held = self.held.get(&slot);
        match (request.subject(), held) {
            (Some(digest), Some(held)) => !held.ledger.contains(digest),
            _ => false,
        }
    }

    /// Returns the next table step to execute, unless one is already in progress.
    pub fn next_step(&mut self, now: Instant) -> Option<table::Step> {
        self.expire(now);
        if self.outstanding.is_some() || now < self.retry_at {
            return None;
        }
        let (outstanding, step) = self
            .next_commit_step(now)
            .or_else(|| self.next_load_step())
            .or_else(|| self.next_take_step(now))
            .or_else(|| self.next_chunk_step())
            .or_else(|| self.next_trim_step())?;
        self.outstanding = Some(outstanding);
        Some(step)
    }

    /// Processes the result of the step in progress.
    pub fn reply(&mut self, now: Instant, reply: table::Reply) {
        let Some(outstanding) = self.outstanding.take() else {
            return;
        };
        let reply = match reply {
            table::Reply::Failed(error) => {
                self.table_failed(now, &outstanding, &error);
                return;
            }
            reply => reply,
        };
        self.table_succeeded();
        match (outstanding, reply) {
            (Outstanding::Commit, table::Reply::Outcome(outcome)) => {
                self.committed(now, outcome);
            }
            (Outstanding::Recheck, table::Reply::Rows(rows)) => self.rechecked(now, &rows),
            (Outstanding::Poll, table::Reply::Rows(rows)) => self.polled(now, &rows),
            (Outstanding::Take(slots), table::Reply::Outcome(outcome)) => {
                self.taken(now, slots, &outcome);
            }
            (Outstanding::LoadCheckpoint(slot), table::Reply::Rows(rows)) => {
                self.checkpoint_loaded(now, slot, &rows);
            }
            (Outstanding::LoadLog(slot), table::Reply::Rows(rows)) => {
                self.log_loaded(now, slot, &rows);
            }
            (Outstanding::Chunk(slot), table::Reply::Outcome(_)) => self.chunk_written(slot),
            (
                Outstanding::Trim {
                    slot,
                    garbage,
                    trim_from,
                },
                table::Reply::Outcome(_),
            ) => self.trimmed(slot, garbage, trim_from),
            // A reply of the wrong type carries no information; the step is scheduled again.
            (Outstanding::Commit, _) => self.mark_unknown(),
            _ => {}
        }
    }

    /// Takes the replies that are ready, with their tickets.
    pub fn take_replies(&mut self) -> Vec<(u64, Reply)> {
        std::mem::take(&mut self.replies)
    }

    /// Takes the notes to be logged.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    fn expire(&mut self, now: Instant) {
        if now < self.next_expire {
            return;
        }
        self.next_expire = now + Duration::from_secs(1);
        let limit = self.settings.expire_limit;
        for held in self.held.values_mut() {
            self.entries -= held.ledger.expire(now, &self.settings.retention, limit);
        }
    }

    /// Drops a slot that another instance has taken.
    fn drop_lost(&mut self, slot: SlotKey) {
        let Some(held) = self.held.remove(&slot) else {
            return;
        };
        let dropped = (held.decided - held.durable) as usize;
        self.pending -= held.pending.len();
        self.entries -= held.ledger.len();
        for waiting in held.waiting {
            self.replies.push((waiting.ticket, Reply::NotHolder));
        }
        self.notes.push(Note::SlotLost { slot, dropped });
    }
}
