//! The state of one slot: which requests are claimed, billed or released, and what each router was
//! charged.
//!
//! [`Ledger::request`] takes a decision, applies it and returns the [`Record`]s that describe it;
//! [`Ledger::apply`] replays such records. Whether and when a decision is durable is the
//! arbiter's business.
//!
//! ```
//! use fescuewell_claims::ledger::{Ledger, Context};
//! use fescuewell_claims::message::{Claim, Owner, Reply, Request};
//! use fescuewell_core::prelude::*;
//!
//! let mut ledger = Ledger::default();
//! let claim = Request::Claim(Claim {
//!     request: RequestKey::new("clinic", "job-7").digest(),
//!     fingerprint: Digest::of(b"body"),
//!     group: "signwise".into(),
//!     owner: Owner { holder: "entry-1.1f".into(), attempt: 1 },
//!     hold: Tokens(500),
//!     repeatable: true,
//!     lost: None,
//!     oldest: 1,
//! });
//! let decision = ledger.request(&Context::at(Instant(0)), &claim);
//! assert_eq!(decision.reply, Reply::Granted { attempt: 1, durable: false });
//! ```

mod bill;
mod claim;
mod close;
mod compaction;
mod entry;
mod retention;
mod snapshot;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::message::{Owner, Reply, Request, StoredResponse};
use crate::note::Note;
use crate::record::{NameKey, Record, Run};

pub use entry::Entry;
pub use retention::Retention;
pub use snapshot::{Malformed, Snapshot};

use entry::{DigestHasher, Status};

static NOBODY: BTreeSet<Arc<str>> = BTreeSet::new();

/// What a decision may depend on besides the ledger.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The present time.
    pub now: Instant,
    /// Routers that the instance list calls terminated.
    pub terminated: &'a BTreeSet<Arc<str>>,
    /// Whether the table took the last write.
    pub writable: bool,
}

impl Context<'static> {
    /// A context in which nobody is terminated and the table works.
    pub fn at(now: Instant) -> Self {
        Self {
            now,
            terminated: &NOBODY,
            writable: true,
        }
    }
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// What to answer.
    pub reply: Reply,
    /// What to write to the log; already applied.
    pub records: Vec<Record>,
    /// The answer may only be given once all records of the slot up to here are durable.
    pub after_commit: bool,
    /// The answer grants a claim that did not exist before.
    pub new_claim: bool,
    /// For the log.
    pub note: Option<Note>,
}

impl Decision {
    fn now(reply: Reply) -> Self {
        Self {
            reply,
            records: Vec::new(),
            after_commit: false,
            new_claim: false,
            note: None,
        }
    }

    fn after_commit(reply: Reply) -> Self {
        Self {
            after_commit: true,
            ..Self::now(reply)
        }
    }

    fn with_records(mut self, records: Vec<Record>) -> Self {
        self.records = records;
        self
    }

    fn with_note(mut self, note: Note) -> Self {
        self.note = Some(note);
        self
    }
}

/// A router closed by the sweep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Closed {
    finished: bool,
    /// Time stamp of the last step, in seconds.
    since: u32,
}

/// The state of one slot.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    names: Interner<NameKey>,
    entries: HashMap<Digest, Entry, DigestHasher>,
    responses: HashMap<Digest, StoredResponse, DigestHasher>,
    streams: HashMap<Digest, StreamId, DigestHasher>,
    totals: BTreeMap<(NameKey, NameKey), Tokens>,
    closed: BTreeMap<NameKey, Closed>,
    oldest: BTreeMap<NameKey, u32>,
    expiry: retention::Queues,
}

impl Ledger {
    /// Decides a request and applies the decision.
    pub fn request(&mut self, context: &Context<'_>, request: &Request) -> Decision {
        let decision = match request {
            Request::Claim(claim) => self.claim(context, claim),
            Request::Assign {
                request,
                owner,
                assignment,
            } => self.assign(*request, owner, assignment),
            Request::Bill(bill) => self.bill(bill),
            Request::Release { request, owner } => self.release(*request, owner),
            Request::Settle(settlement) => self.settle(context, settlement),
            Request::Close { holder, phase } => self.close(holder, *phase),
            Request::Forget { holder } => self.forget(holder),
            Request::Lookup { request } => self.lookup(*request),
        };
        for record in &decision.records {
            self.apply(context.now, record);
        }
        match request {
            Request::Claim(claim) => self.observe(&claim.owner.holder, claim.oldest),
            Request::Bill(bill) => self.observe(&bill.owner.holder, bill.oldest),
            _ => {}
        }
        decision
    }

    /// Replays one record. Records must come in the order in which they were decided.
    pub fn apply(&mut self, now: Instant, record: &Record) {
        match record {
            Record::Name(name) => {
                self.names.intern(name);
            }
            Record::Claim { request, .. } => {
                let former = self.entries.get(request).copied();
                let entry = Entry::claimed(record, former, now);
                self.entries.insert(*request, entry);
                self.streams.remove(request);
            }
            Record::Assign {
                request,
                server,
                stream,
            } => self.apply_assign(*request, *server, stream.as_ref()),
            Record::Bill { request, .. } => self.apply_bill(now, *request, record),
            Record::Complete { request, run } => self.apply_complete(now, *request, *run),
            Record::Release { request, run } => self.apply_release(now, *request, *run),
            Record::Close { holder, finish } => self.apply_close(now, *holder, *finish),
            Record::Forget { holder } => self.apply_forget(*holder),
            Record::Compact { dropped, kept } => self.apply_compact(dropped, kept),
        }
    }

    /// Whether a request is known.
    pub fn contains(&self, request: Digest) -> bool {
        self.entries.contains_key(&request)
    }

    /// How many requests are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What one router was charged, for each group.
    pub fn totals(&self, holder: &str) -> Vec<(Arc<str>, Tokens)> {
        let Some(holder) = self.names.get(holder) else {
            return Vec::new();
        };
        let mut totals = Vec::new();
        for (&(_, group), &charged) in self.of_holder(holder) {
            totals.push((self.names.name(group).clone(), charged));
        }
        totals
    }

    fn of_holder(
        &self,
        holder: NameKey,
    ) -> std::collections::btree_map::Range<'_, (NameKey, NameKey), Tokens> {
        self.totals
            .range((holder, NameKey(0))..=(holder, NameKey(u32::MAX)))
    }

    fn owner(&self, run: Run) -> Owner {
        Owner {
            holder: self.names.name(run.holder).clone(),
            attempt: run.attempt,
        }
    }

    fn run(&self, owner: &Owner) -> Option<Run> {
        let holder = self.names.get(&owner.holder)?;
        Some(Run {
            holder,
            attempt: owner.attempt,
        })
    }

    /// The number of a name; a new one is put into `records` first.
    fn name(&mut self, records: &mut Vec<Record>, name: &Arc<str>) -> NameKey {
        if let Some(key) = self.names.get(name) {
            return key;
        }
        records.push(Record::Name(name.clone()));
        self.names.intern(name)
    }

    fn is_closed(&self, holder: &str) -> bool {
        let key = self.names.get(holder);
        key.is_some_and(|key| self.closed.contains_key(&key))
    }

    fn is_finished(&self, holder: NameKey) -> bool {
        self.closed.get(&holder).is_some_and(|entry| entry.finished)
    }

    fn is_gone(&self, context: &Context<'_>, holder: NameKey) -> bool {
        self.closed.contains_key(&holder) || context.terminated.contains(self.names.name(holder))
    }

    /// Whether the run had its final answer long ago: its router has said that nothing at or below
    /// it is unfinished.
    ///
    /// Without this a message that was held up, or a backend server's old record found by a sweep,
    /// would be billed a second time after the request's entry had been dropped; one would see the
    /// charged total exceed the router's own count.
    fn is_settled(&self, run: Run) -> bool {
        let oldest = self.oldest.get(&run.holder).copied().unwrap_or(0);
        run.attempt < oldest
    }

    fn observe(&mut self, holder: &str, oldest: u32) {
        let Some(holder) = self.names.get(holder) else {
            return;
        };
        let known = self.oldest.entry(holder).or_default();
        *known = oldest.max(*known);
    }

    fn lookup(&self, request: Digest) -> Decision {
        let known = match self.entries.get(&request) {
            Some(entry) if entry.status != Status::Released => self.known(request, entry),
            _ => crate::message::RequestState::Absent,
        };
        Decision::now(Reply::Known(known))
    }
}
