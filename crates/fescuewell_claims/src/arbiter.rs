//! The holder of slots: answers routers, and writes what it decided to the table in group commits.
//!
//! The machine does no input or output. The caller passes requests in ([`Arbiter::request`]) and
//! takes replies out ([`Arbiter::take_replies`]); it carries out one table step at a time
//! ([`Arbiter::next_step`]) and returns its result ([`Arbiter::reply`]).
//!
//! A holder needs no clock to be safe. Every commit compares the revision of each slot's row, so one
//! that was paused while another instance took its slots over can make nothing durable any more; and
//! nothing that may not be repeated is answered before its commit has returned. What a paused holder
//! may still answer from memory, a grant of a repeatable call, is arbitrated again by the bill.
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

use commit::Flight;
use held::Held;
use row::SlotRow;
use take::Loading;

/// Which table step is under way.
#[derive(Debug)]
enum Outstanding {
    Poll,
    Take(Vec<(SlotKey, SlotRow)>),
    LoadBase(SlotKey),
    LoadTail(SlotKey),
    Chunk(SlotKey),
    Trim {
        slot: SlotKey,
        garbage: usize,
        trim_from: u64,
    },
    Commit,
    Recheck,
}

/// The slots that one instance holds.
#[derive(Debug)]
pub struct Arbiter {
    settings: Settings,
    holder: Arc<str>,
    rng: SmallRng,
    wanted: BTreeSet<SlotKey>,
    /// Slots whose rows do not make sense; they are left alone until the process ends.
    damaged: BTreeSet<SlotKey>,
    lapsed: BTreeSet<Arc<str>>,
    terminated: BTreeSet<Arc<str>>,
    held: BTreeMap<SlotKey, Held>,
    loading: BTreeMap<SlotKey, Loading>,
    /// Slot rows as last read, while they are fresh enough to act on.
    seen: Option<BTreeMap<SlotKey, (SlotRow, u64)>>,
    outstanding: Option<Outstanding>,
    flight: Option<Flight>,
    next_commit: Instant,
    next_poll: Instant,
    next_expire: Instant,
    /// No table step before this, after a failure.
    retry_at: Instant,
    failures: u32,
    /// Whether the table took the last step.
    writable: bool,
    /// The slot after which the next commit starts to look for records.
    cursor: SlotKey,
    pending: usize,
    entries: usize,
    replies: Vec<(u64, Reply)>,
    notes: Vec<Note>,
}

impl Arbiter {
    /// An arbiter without slots. `holder` is `instance.incarnation` of this instance.
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
            seen: None,
            outstanding: None,
            flight: None,
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

    /// Sets the slots that should be held here. Others are handed back once what was decided in them
    /// is durable.
    pub fn set_wanted(&mut self, now: Instant, slots: &[SlotKey]) {
        let wanted: BTreeSet<SlotKey> = slots.iter().copied().collect();
        if wanted == self.wanted {
            return;
        }
        self.wanted = wanted;
        self.next_poll = self.next_poll.min(now);
    }

    /// Sets the instances whose slots may be taken. Taking a slot is safe even from one that lives.
    pub fn set_lapsed(&mut self, now: Instant, lapsed: BTreeSet<Arc<str>>) {
        if lapsed == self.lapsed {
            return;
        }
        self.lapsed = lapsed;
        self.next_poll = self.next_poll.min(now);
    }

    /// Sets the routers that the instance list calls terminated.
    pub fn set_terminated(&mut self, _now: Instant, terminated: BTreeSet<Arc<str>>) {
        self.terminated = terminated;
    }

    /// Whether requests in `slot` are answered here.
    pub fn holds(&self, slot: SlotKey) -> bool {
        self.held.contains_key(&slot) && self.wanted.contains(&slot)
    }

    /// Epoch under which `slot`'s row names this holder; it does so also while the slot is being handed back.
    pub fn epoch(&self, slot: SlotKey) -> Option<Epoch> {
        self.held.get(&slot).map(|held| held.row.epoch)
    }

    /// The slots that are answered here.
    pub fn slots(&self) -> Vec<SlotKey> {
        let held = self.held.keys().copied();
        held.filter(|slot| self.wanted.contains(slot)).collect()
    }

    /// Whether no slot is held, not even one that is being handed back.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && self.loading.is_empty()
    }

    /// Whether the table took the last step.
    pub fn is_writable(&self) -> bool {
        self.writable
    }

    /// How many requests are kept in memory.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// How many decided records are not durable yet.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Decides a request from a router; the answer appears in [`Arbiter::take_replies`] under `ticket`,
    /// at once or after a commit.
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
        // Until the outcome of a call that may not be repeated is durable, the death of both its router and this
        // holder would leave its caller with "unknown" for ever; half a second of that is too long.
        held.is_urgent |= matches!(request, Request::Bill(bill) if !bill.repeatable);
        if !decision.after_commit || held.is_clean() {
            self.replies.push((ticket, decision.reply));
            return;
        }
        // The bill or release is kept for the first commit after the outage. Its sender keeps it too,
        // so that a ticket held open all that time would carry no news.
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
        held.wait(ticket, decision, new_claim);
    }

    /// Memory stays bounded through an outage of any length: what has no room here stays with its sender.
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
        // The bill of a known request takes no more room, and makes it possible to drop the request later.
        let held = self.held.get(&slot);
        match (request.subject(), held) {
            (Some(digest), Some(held)) => !held.ledger.contains(digest),
            _ => false,
        }
    }

    /// The next table step to carry out, if there is one and none is under way.
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

    /// Takes the result of the step under way.
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
        self.table_answered();
        match (outstanding, reply) {
            (Outstanding::Commit, table::Reply::Outcome(outcome)) => {
                self.committed(now, outcome);
            }
            (Outstanding::Recheck, table::Reply::Rows(rows)) => self.rechecked(now, &rows),
            (Outstanding::Poll, table::Reply::Rows(rows)) => self.polled(now, &rows),
            (Outstanding::Take(slots), table::Reply::Outcome(outcome)) => {
                self.taken(now, slots, &outcome);
            }
            (Outstanding::LoadBase(slot), table::Reply::Rows(rows)) => {
                self.base_loaded(now, slot, &rows);
            }
            (Outstanding::LoadTail(slot), table::Reply::Rows(rows)) => {
                self.tail_loaded(now, slot, &rows);
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
            // An answer of the wrong kind says nothing; the step is decided on anew.
            (Outstanding::Commit, _) => self.flight_unknown(),
            _ => {}
        }
    }

    /// The answers that may be given now, by ticket.
    pub fn take_replies(&mut self) -> Vec<(u64, Reply)> {
        std::mem::take(&mut self.replies)
    }

    /// What is to be logged.
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

    /// Gives up a slot that another instance has taken.
    fn lose(&mut self, slot: SlotKey) {
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
