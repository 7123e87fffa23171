//! The state of one slot: which requests are claimed, billed or released, and what each router was
//! charged.
//!
//! [`Ledger::request`] decides a request, applies the decision and returns the [`Record`]s that
//! describe it; [`Ledger::apply`] replays such records. The arbiter makes decisions durable.
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

static NO_TERMINATED: BTreeSet<Arc<str>> = BTreeSet::new();

/// Inputs of a decision besides the ledger itself.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The current time.
    pub now: Instant,
    /// Routers that the instance list reports as terminated.
    pub terminated: &'a BTreeSet<Arc<str>>,
    /// Whether the table accepts writes.
    pub writable: bool,
}

impl Context<'static> {
    /// A context with no terminated routers and a working table.
    pub fn at(now: Instant) -> Self {
        Self {
            now,
            terminated: &NO_TERMINATED,
            writable: true,
        }
    }
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The reply to send.
    pub reply: Reply,
    /// Records to write to the log. They are already applied.
    pub records: Vec<Record>,
    /// Whether the reply must wait until all records of the slot so far are durable.
    pub after_commit: bool,
    /// Whether the reply grants a claim that did not exist before.
    pub new_claim: bool,
    /// A note to be logged.
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

/// A terminated router that the sweep has closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Closed {
    finished: bool,
    /// Timestamp of the last step, in seconds.
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
            Request::Claim(claim) => self.observe_oldest(&claim.owner.holder, claim.oldest),
            Request::Bill(bill) => self.observe_oldest(&bill.owner.holder, bill.oldest),
            _ => {}
        }
        decision
    }

    /// Replays one record. Records must be applied in the order in which they were decided.
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

    /// Whether the request is known.
    pub fn contains(&self, request: Digest) -> bool {
        self.entries.contains_key(&request)
    }

    /// The number of known requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The tokens charged to one router, by group.
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

    /// Returns the key of a name. A new name is interned and added to `records`.
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

    /// Whether the attempt finished earlier, according to its router's oldest unfinished attempt.
    ///
    /// Without this check, a delayed message or a backend server's old stream record found by a
    /// sweep would be billed a second time once the request's entry has expired, and the charged
    /// total would exceed the router's own count.
    fn is_settled(&self, run: Run) -> bool {
        let oldest = self.oldest.get(&run.holder).copied().unwrap_or(0);
        run.attempt < oldest
    }

    fn observe_oldest(&mut self, holder: &str, oldest: u32) {
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
