//! Reclaims the unspent tokens of a terminated holder.
//!
//! Runs only after the sweep: the instance list reports the holder as terminated, its streams at
//! the backend servers have ended, and it is closed in every slot, so the amount charged to it is
//! final. An expired lease is not enough, since a paused holder resumes without noticing and still
//! spends.

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

/// Number of rows per page of the scan.
pub const PAGE_SIZE: u32 = 256;

/// Longest pause after the first failure; doubled with each further failure up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest pause after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Number of failures after which the pause is no longer doubled.
const MAX_DOUBLINGS: u32 = 6;

fescuewell_core::message! {
    /// A removed grant and the charges that replace it.
    #[derive(Eq)]
    pub struct Freed {
        /// Name of the group.
        pub group: Arc<str>,
        /// Tokens granted to the holder.
        pub granted: Tokens,
        /// Tokens charged to the holder; the rest of the grant is available again.
        pub charged: Tokens,
    }
}

#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// Reads the holder's fence row.
    ReadFence,
    /// Closes the fence if the row still has this revision.
    CloseFence(u64),
    Scan,
    Commit(Row),
    /// Reads the row again after a lost reply: if the grant is absent, the write took effect.
    ReadBack(Row),
    Done,
}

/// Removes the grants of one terminated holder, row by row.
///
/// Each row is updated by one compare-and-swap, which adds the amount charged to the holder to
/// `spent` and removes its grant. The holder's fence is closed first, see [`crate::fence`]. A row
/// without the grant is skipped, so lost replies and a second reclaim have no effect.
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
    /// Creates the reclaim of `holder`, given the `totals` (group name, tokens) charged to it in
    /// all slots.
    pub fn new(holder: Arc<str>, totals: &[(Arc<str>, Tokens)], seed: u64) -> Self {
        let mut sums: HashMap<Arc<str>, Tokens> = HashMap::new();
        for (group, charged) in totals {
            *sums.entry(group.clone()).or_default() += *charged;
        }
        Self {
            holder,
            totals: sums,
            rng: SmallRng::seed_from_u64(seed),
            stage: Stage::ReadFence,
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

    /// Whether no readable row has a grant of the holder any more.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Returns and clears the grants removed since the last call.
    pub fn take_freed(&mut self) -> Vec<Freed> {
        std::mem::take(&mut self.freed)
    }

    /// Keys of rows that were skipped because they could not be parsed; they may still have a
    /// grant.
    pub fn unreadable(&self) -> &[Arc<str>] {
        &self.unreadable
    }

    /// Returns the next table operation; at most one is outstanding at a time.
    pub fn next_step(&mut self, now: Instant) -> Option<Step> {
        if self.is_outstanding || now < self.not_before {
            return None;
        }
        let step = match &self.stage {
            Stage::Done => return None,
            Stage::ReadFence => Step::Read {
                keys: vec![fence::key(&self.holder)],
            },
            Stage::CloseFence(revision) => self.fence_write(*revision),
            Stage::Scan => Step::Scan(Range {
                prefix: row::PREFIX.into(),
                after: self.after.clone(),
                limit: PAGE_SIZE,
            }),
            Stage::ReadBack(row) => Step::Read {
                keys: vec![row.key.clone()],
            },
            Stage::Commit(row) => self.grant_removal(row)?,
        };
        self.is_outstanding = true;
        Some(step)
    }

    /// Handles the reply to the outstanding operation.
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
        let max_pause = INITIAL_BACKOFF * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        let jitter = self.rng.random_range(0.5..1.0);
        self.not_before = now + max_pause.min(MAX_BACKOFF).mul_f64(jitter);
        self.failures += 1;
        if let (Error::Unknown { .. }, Stage::Commit(row)) = (error, &self.stage) {
            self.stage = Stage::ReadBack(row.clone());
        }
    }

    fn advance(&mut self, reply: Reply) {
        let stage = std::mem::replace(&mut self.stage, Stage::Scan);
        match (stage, reply) {
            (Stage::ReadFence, Reply::Rows(rows))
            | (Stage::CloseFence(_), Reply::Outcome(Outcome::Conflict { rows })) => {
                self.check_fence(&rows);
                return;
            }
            (Stage::CloseFence(_), Reply::Outcome(Outcome::Committed { .. })) => return,
            (Stage::Scan, Reply::Rows(rows)) => self.enqueue_page(rows),
            (Stage::Commit(row), Reply::Outcome(Outcome::Committed { .. })) => {
                self.record_freed(&row)
            }
            (Stage::Commit(row), Reply::Outcome(Outcome::Conflict { rows }))
            | (Stage::ReadBack(row), Reply::Rows(rows)) => self.recheck(&row, rows),
            (stage, reply) => {
                log_event!(Event::InternalFault, "unexpected reply={reply:?}");
                self.stage = stage;
                return;
            }
        }
        self.advance_stage();
    }

    fn check_fence(&mut self, rows: &[Row]) {
        let is_closed = rows.first().map(|row| Fence::parse(&row.value).is_closed);
        let revision = rows.first().map_or(0, |row| row.revision);
        if is_closed != Some(true) {
            self.stage = Stage::CloseFence(revision);
        }
    }

    fn fence_write(&self, revision: u64) -> Step {
        let key = fence::key(&self.holder);
        let value = Fence { is_closed: true }.encode();
        let transaction = Transaction::default()
            .with_compare(key.clone(), revision)
            .with_put(key, value);
        Step::Commit(transaction)
    }

    fn enqueue_page(&mut self, rows: Vec<Row>) {
        self.is_last_page = rows.len() < PAGE_SIZE as usize;
        self.after = rows.last().map(|row| row.key.clone()).or(self.after.take());
        for row in rows {
            self.enqueue(row);
        }
    }

    fn recheck(&mut self, before: &Row, rows: Vec<Row>) {
        let current = rows.into_iter().find(|row| row.key == before.key);
        match current {
            Some(row) if self.grant(&row).is_some() => self.queue.push_front(row),
            _ => self.record_freed(before),
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

    fn advance_stage(&mut self) {
        self.stage = match self.queue.pop_front() {
            Some(row) => Stage::Commit(row),
            None if self.is_last_page => Stage::Done,
            None => Stage::Scan,
        };
    }

    fn record_freed(&mut self, row: &Row) {
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
            log_event!(Event::InternalFault, "charge exceeds the grant: {freed:?}");
        }
        self.freed.push(freed);
    }

    fn grant_removal(&self, row: &Row) -> Option<Step> {
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
