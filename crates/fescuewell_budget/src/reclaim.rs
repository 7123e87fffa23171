//! Reclaim of what a terminated holder left unspent.
//!
//! Runs only after the sweep: the instance list says that the holder has terminated, its streams at
//! the backend servers have ended, and it is closed in every slot, so what it was charged is final. A lapsed
//! lease is no reason to start, since a paused holder wakes up unaware and still spends.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Error, Outcome, Range, Reply, Row, Step, Transaction};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fence;
use crate::fence::Fence;
use crate::row;
use crate::row::{Budget, Grant};

/// Rows in one page of the scan.
pub const PAGE_SIZE: u32 = 256;

/// Longest first pause after a failure; doubled with each failure up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest pause after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Most doublings of a pause.
const MAX_DOUBLINGS: u32 = 6;

fescuewell_core::message! {
    /// What became of one grant.
    #[derive(Eq)]
    pub struct Freed {
        /// Name of the group.
        pub group: Arc<str>,
        /// What the holder had been granted.
        pub granted: Tokens,
        /// What it was charged; the difference is free again.
        pub charged: Tokens,
    }
}

#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// Read the holder's fence.
    Fence,
    /// Close it, if it still has this revision.
    Close(u64),
    Scan,
    Commit(Row),
    /// A reply was lost: the row shows by the grant's absence whether the write took effect.
    ReadBack(Row),
    Done,
}

/// Removes the grants of one terminated holder, row by row.
///
/// Each row is one compare-and-swap that adds what the holder was charged to `spent` and removes its grant.
/// The holder's fence is closed first, see [`crate::fence`]. A row without the grant is done, so lost replies and a second reclaim do no harm.
///
/// ```
/// use fescuewell_budget::reclaim::Reclaim;
/// use fescuewell_core::prelude::*;
/// use fescuewell_core::table::{Outcome, Reply, Step};
///
/// let now = Instant::from_millis(0);
/// let totals = [("signwise".into(), Tokens(300))];
/// let mut reclaim = Reclaim::new("entry-1.1f".into(), &totals, 1);
/// assert!(matches!(reclaim.next_step(now), Some(Step::Read { .. })));
/// reclaim.reply(now, Reply::Rows(Vec::new()));
/// assert!(matches!(reclaim.next_step(now), Some(Step::Commit(_))));
/// reclaim.reply(now, Reply::Outcome(Outcome::Committed { revision: 9 }));
/// assert!(matches!(reclaim.next_step(now), Some(Step::Scan(_))));
/// reclaim.reply(now, Reply::Rows(Vec::new()));
/// assert!(reclaim.is_done());
/// ```
#[derive(Debug)]
pub struct Reclaim {
    holder: Arc<str>,
    totals: HashMap<Arc<str>, Tokens>,
    rng: SmallRng,
    stage: Stage,
    queue: VecDeque<Row>,
    after: Option<Arc<str>>,
    is_last_page: bool,
    is_outstanding: bool,
    not_before: Instant,
    failures: u32,
    freed: Vec<Freed>,
    unreadable: Vec<Arc<str>>,
}

impl Reclaim {
    /// Prepares the reclaim of `holder`, which was charged `totals` (group name, tokens) in all slots.
    pub fn new(holder: Arc<str>, totals: &[(Arc<str>, Tokens)], seed: u64) -> Self {
        let mut sums: HashMap<Arc<str>, Tokens> = HashMap::new();
        for (group, charged) in totals {
            *sums.entry(group.clone()).or_default() += *charged;
        }
        Self {
            holder,
            totals: sums,
            rng: SmallRng::seed_from_u64(seed),
            stage: Stage::Fence,
            queue: VecDeque::new(),
            after: None,
            is_last_page: false,
            is_outstanding: false,
            not_before: Instant::default(),
            failures: 0,
            freed: Vec::new(),
            unreadable: Vec::new(),
        }
    }

    /// Whether every row has been seen without the grant.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Takes what was freed since the last call.
    pub fn take_freed(&mut self) -> Vec<Freed> {
        std::mem::take(&mut self.freed)
    }

    /// Keys of rows that could not be read and were passed over; a grant may be left in them.
    pub fn unreadable(&self) -> &[Arc<str>] {
        &self.unreadable
    }

    /// The next piece of table work; at most one is outstanding at a time.
    pub fn next_step(&mut self, now: Instant) -> Option<Step> {
        if self.is_outstanding || now < self.not_before {
            return None;
        }
        let step = match &self.stage {
            Stage::Done => return None,
            Stage::Fence => Step::Read {
                keys: vec![fence::key(&self.holder)],
            },
            Stage::Close(revision) => self.closing(*revision),
            Stage::Scan => Step::Scan(Range {
                prefix: row::PREFIX.into(),
                after: self.after.clone(),
                limit: PAGE_SIZE,
            }),
            Stage::ReadBack(row) => Step::Read {
                keys: vec![row.key.clone()],
            },
            Stage::Commit(row) => self.removal(row)?,
        };
        self.is_outstanding = true;
        Some(step)
    }

    /// Takes the answer to the outstanding step.
    pub fn reply(&mut self, now: Instant, reply: Reply) {
        if !std::mem::take(&mut self.is_outstanding) {
            return;
        }
        let error = match reply {
            Reply::Failed(error) => error,
            reply => {
                self.failures = 0;
                self.advance(reply);
                return;
            }
        };
        let most = INITIAL_BACKOFF * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        let share = self.rng.random_range(0.5..1.0);
        self.not_before = now + most.min(MAX_BACKOFF).mul_f64(share);
        self.failures += 1;
        if let (Error::Unknown { .. }, Stage::Commit(row)) = (error, &self.stage) {
            self.stage = Stage::ReadBack(row.clone());
        }
    }

    fn advance(&mut self, reply: Reply) {
        let stage = std::mem::replace(&mut self.stage, Stage::Scan);
        match (stage, reply) {
            (Stage::Fence, Reply::Rows(rows))
            | (Stage::Close(_), Reply::Outcome(Outcome::Conflict { rows })) => {
                self.look_at_fence(&rows);
                return;
            }
            (Stage::Close(_), Reply::Outcome(Outcome::Committed { .. })) => return,
            (Stage::Scan, Reply::Rows(rows)) => self.take_page(rows),
            (Stage::Commit(row), Reply::Outcome(Outcome::Committed { .. })) => self.finish(&row),
            (Stage::Commit(row), Reply::Outcome(Outcome::Conflict { rows }))
            | (Stage::ReadBack(row), Reply::Rows(rows)) => self.look_again(&row, rows),
            (stage, reply) => {
                log_event!(Event::InternalFault, "reply={reply:?} does not fit");
                self.stage = stage;
                return;
            }
        }
        self.choose();
    }

    fn look_at_fence(&mut self, rows: &[Row]) {
        let is_closed = rows.first().map(|row| Fence::parse(&row.value).is_closed);
        let revision = rows.first().map_or(0, |row| row.revision);
        if is_closed != Some(true) {
            self.stage = Stage::Close(revision);
        }
    }

    fn closing(&self, revision: u64) -> Step {
        let key = fence::key(&self.holder);
        let value = Fence { is_closed: true }.encode();
        let transaction = Transaction::default()
            .with_compare(key.clone(), revision)
            .with_put(key, value);
        Step::Commit(transaction)
    }

    fn take_page(&mut self, rows: Vec<Row>) {
        self.is_last_page = rows.len() < PAGE_SIZE as usize;
        self.after = rows.last().map(|row| row.key.clone()).or(self.after.take());
        for row in rows {
            self.enqueue(row);
        }
    }

    fn look_again(&mut self, before: &Row, rows: Vec<Row>) {
        let current = rows.into_iter().find(|row| row.key == before.key);
        match current {
            Some(row) if self.grant(&row).is_some() => self.queue.push_front(row),
            _ => self.finish(before),
        }
    }

    fn enqueue(&mut self, row: Row) {
        if Budget::parse(&row.value).is_err() {
            self.unreadable.push(row.key);
            return;
        }
        if self.grant(&row).is_some() {
            self.queue.push_back(row);
        }
    }

    fn choose(&mut self) {
        self.stage = match self.queue.pop_front() {
            Some(row) => Stage::Commit(row),
            None if self.is_last_page => Stage::Done,
            None => Stage::Scan,
        };
    }

    fn finish(&mut self, row: &Row) {
        let Some(grant) = self.grant(row) else {
            return;
        };
        let group: Arc<str> = row::group(&row.key).unwrap_or_default().into();
        let freed = Freed {
            charged: self.charged(&group),
            granted: grant.granted,
            group,
        };
        if freed.charged > freed.granted {
            log_event!(Event::InternalFault, "charged above the grant: {freed:?}");
        }
        self.freed.push(freed);
    }

    fn removal(&self, row: &Row) -> Option<Step> {
        let mut budget = Budget::parse(&row.value).ok()?;
        budget.grants.remove(&self.holder);
        budget.spent += self.charged(row::group(&row.key).unwrap_or_default());
        let transaction = Transaction::default()
            .with_compare(row.key.clone(), row.revision)
            .with_put(row.key.clone(), budget.encode());
        Some(Step::Commit(transaction))
    }

    fn grant(&self, row: &Row) -> Option<Grant> {
        let budget = Budget::parse(&row.value).ok()?;
        budget.grants.get(&self.holder).cloned()
    }

    fn charged(&self, group: &str) -> Tokens {
        self.totals.get(group).copied().unwrap_or_default()
    }
}
