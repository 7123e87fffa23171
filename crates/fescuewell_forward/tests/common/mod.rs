//! A store in memory and instances that spend from it, driven step by step.
// Each test file uses a part of it.
#![allow(dead_code)]

use std::sync::Arc;

use fescuewell_forward::loan::{Borrower, Lender, Response};
use fescuewell_forward::quota::era::{self, Fence};
use fescuewell_forward::quota::row::{Journal, Ledger};
use fescuewell_forward::quota::{HoldOutcome, Quota};
use fescuewell_forward::version;

/// The only account.
pub const ACCOUNT: &str = "group";

/// Instances that a request may borrow from.
const LENDERS: usize = 3;

/// A versioned row.
#[derive(Debug, Clone, Default)]
pub struct Row<Content> {
    pub version: u64,
    pub content: Option<Content>,
}

/// A write that may take effect later if its condition still holds.
#[derive(Debug, Clone)]
pub enum DelayedWrite {
    /// Versions of the ledger and the fence, the ledger.
    Ledger(u64, u64, Ledger),
    Fence(u64, Fence),
    Journal(usize, u64, Journal),
}

/// What the network does to one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Done and answered.
    Committed,
    /// Done; the answer is lost.
    ReplyLost,
    /// Not answered, and done later if its condition still holds.
    Delayed,
    /// Certainly not done.
    Rejected,
}

/// What the store holds at a moment.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    number: u64,
    ledger: Row<Ledger>,
    journals: Vec<Row<Journal>>,
    fence: Row<Fence>,
    signs: Vec<Option<(era::Status, u64)>>,
}

#[derive(Debug, Default)]
pub struct Store {
    pub era: u32,
    /// The count of writes.
    pub number: u64,
    /// The row that each transaction on the ledger expects.
    pub fence: Row<Fence>,
    /// The instances' signs, and when they were given.
    pub signs: Vec<Option<(era::Status, u64)>>,
    pub now_ms: u64,
    pub ledger: Row<Ledger>,
    pub journals: Vec<Row<Journal>>,
    pub late: Vec<DelayedWrite>,
}

impl Store {
    fn next_version(&mut self) -> u64 {
        self.number += 1;
        version::join(self.era, self.number)
    }

    /// Whether a row has the version that a write expects. The store compares the count only.
    fn fits(&self, now: u64, expected: u64) -> bool {
        version::number(now) == version::number(expected)
    }

    fn put_ledger(&mut self, expected: u64, fence: u64, ledger: Ledger) -> bool {
        if !self.fits(self.ledger.version, expected) || !self.fits(self.fence.version, fence) {
            return false;
        }
        let version = self.next_version();
        self.ledger = Row {
            version,
            content: Some(ledger),
        };
        true
    }

    fn put_fence(&mut self, expected: u64, fence: Fence) {
        if self.fits(self.fence.version, expected) {
            self.fence = Row {
                version: self.next_version(),
                content: Some(fence),
            };
        }
    }

    /// All that the store holds.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            number: self.number,
            ledger: self.ledger.clone(),
            journals: self.journals.clone(),
            fence: self.fence.clone(),
            signs: self.signs.clone(),
        }
    }

    /// The store comes back from a copy, in its next era: counts go back.
    pub fn restore(&mut self, copy: &Snapshot) {
        self.era += 1;
        let era = self.era;
        let renew = |known: u64| version::join(era, version::number(known));
        self.number = copy.number;
        self.ledger = copy.ledger.clone();
        self.ledger.version = renew(self.ledger.version);
        self.journals = copy.journals.clone();
        for journal in &mut self.journals {
            journal.version = renew(journal.version);
        }
        self.fence = copy.fence.clone();
        self.fence.version = renew(self.fence.version);
        self.signs = copy.signs.clone();
    }

    fn put_journal(&mut self, index: usize, expected: u64, journal: Journal) -> bool {
        if !self.fits(self.journals[index].version, expected) {
            return false;
        }
        let version = self.next_version();
        self.journals[index] = Row {
            version,
            content: Some(journal),
        };
        true
    }

    /// A write that was held up arrives.
    pub fn deliver_write(&mut self) {
        match self.late.pop() {
            Some(DelayedWrite::Ledger(expected, fence, ledger)) => {
                self.put_ledger(expected, fence, ledger);
            }
            Some(DelayedWrite::Fence(expected, fence)) => self.put_fence(expected, fence),
            Some(DelayedWrite::Journal(index, expected, journal)) => {
                self.put_journal(index, expected, journal);
            }
            None => {}
        }
    }
}

/// One instance: its quota, and what its requests really used.
pub struct Instance {
    pub quota: Quota,
    started_ms: u64,
    /// Tokens held by requests under way.
    pub open: Vec<u64>,
    /// Tokens that were really used, over all starts.
    pub used: u64,
    lender: Lender,
    borrower: Borrower,
}

/// Time in which an instance that lives gives its next sign, in milliseconds.
const LAPSE_MS: u64 = 3_500;

pub struct Cluster {
    pub store: Store,
    pub instances: Vec<Instance>,
    pub prepaid: u64,
    /// Largest total that was ever in force.
    pub max_prepaid: u64,
    pub account: Arc<str>,
    asks: u64,
    /// Answers that were held up, and whom they are for.
    answers: Vec<(usize, Response)>,
}

impl Cluster {
    pub fn new(count: usize, prepaid: u64) -> Self {
        let mut cluster = Self {
            store: Store {
                now_ms: 1_000,
                journals: vec![Row::default(); count],
                signs: vec![None; count],
                ..Store::default()
            },
            instances: Vec::new(),
            prepaid,
            max_prepaid: prepaid,
            account: ACCOUNT.into(),
            asks: 0,
            answers: Vec::new(),
        };
        for index in 0..count {
            let instance = cluster.fresh(index, 0);
            cluster.instances.push(instance);
        }
        cluster
    }

    fn fresh(&self, index: usize, used: u64) -> Instance {
        let mut quota = Quota::new(format!("entry-{index}").into(), 0);
        quota.set_prepaid(&self.account, Some(self.prepaid));
        Instance {
            quota,
            started_ms: self.store.now_ms,
            open: Vec::new(),
            used,
            lender: Lender::default(),
            borrower: Borrower::default(),
        }
    }

    /// The instance learns that the store has come back from a copy, and reads what it has of its own.
    pub fn notice(&mut self, index: usize) {
        let era = self.store.era;
        if self.instances[index].quota.era() == era {
            return;
        }
        let now_ms = self.local_ms(index);
        let cell = &self.store.journals[index];
        let journal = cell.content.clone().map(|content| (cell.version, content));
        let ledger = &self.store.ledger;
        let row = ledger.content.clone();
        let rows = row.map(|row| (self.account.clone(), ledger.version, row));
        let quota = &mut self.instances[index].quota;
        quota.resync(era, journal, rows.into_iter().collect(), now_ms);
        self.read_fence(index);
    }

    fn read_fence(&mut self, index: usize) {
        let fence = self.store.fence.clone();
        let quota = &mut self.instances[index].quota;
        quota.observe_fence(fence.version, fence.content.unwrap_or_default());
    }

    /// The instance writes the fence if that is due.
    fn put_fence(&mut self, index: usize, outcome: WriteOutcome) {
        let now_ms = self.local_ms(index);
        let quota = &self.instances[index].quota;
        let expected = quota.fence().0;
        let Some(fence) = quota.next_fence(now_ms) else {
            return;
        };
        match outcome {
            WriteOutcome::Delayed => {
                return self.store.late.push(DelayedWrite::Fence(expected, fence));
            }
            WriteOutcome::Rejected => return,
            WriteOutcome::Committed | WriteOutcome::ReplyLost => {
                self.store.put_fence(expected, fence)
            }
        }
        if outcome == WriteOutcome::Committed {
            self.read_fence(index);
        }
    }

    /// The instance gives its sign and reads those of the others.
    pub fn publish_status(&mut self, index: usize) {
        if !self.instances[index].quota.is_adopted() {
            return;
        }
        self.notice(index);
        let sign = self.instances[index].quota.status();
        self.store.signs[index] = Some((sign, self.store.now_ms));
        let now_ms = self.store.now_ms;
        let signs = self.store.signs.iter().flatten();
        let signs = signs.map(|(sign, at_ms)| era::Status {
            is_live: now_ms < at_ms + LAPSE_MS,
            ..sign.clone()
        });
        let signs = signs.collect();
        self.instances[index].quota.set_statuses(signs, LAPSE_MS);
    }

    /// The own clock of an instance: it began with its process.
    pub fn local_ms(&self, index: usize) -> u64 {
        self.store.now_ms - self.instances[index].started_ms
    }

    /// The instance's process is killed and starts again after a while: nothing in memory lasts.
    pub fn restart(&mut self, index: usize, down_ms: u64) {
        let lost: u64 = self.instances[index].open.iter().sum();
        let used = self.instances[index].used + lost;
        self.store.now_ms += down_ms;
        self.instances[index] = self.fresh(index, used);
    }

    /// The instance takes over from its former process.
    pub fn adopt(&mut self, index: usize, outcome: WriteOutcome) {
        if self.instances[index].quota.is_adopted() {
            return;
        }
        let now_ms = self.local_ms(index);
        let known = self.store.journals[index].clone();
        let rows = self.store.ledger.content.clone();
        let rows: Vec<_> = rows
            .map(|ledger| (self.account.clone(), self.store.ledger.version, ledger))
            .into_iter()
            .collect();
        let store_ms = self.store.now_ms;
        let ended_ms = store_ms.saturating_sub(now_ms);
        let era = self.store.era;
        let fence = self.store.fence.clone();
        let quota = &mut self.instances[index].quota;
        quota.observe_clock(store_ms, now_ms);
        quota.begin_era(era, now_ms);
        quota.observe_fence(fence.version, fence.content.unwrap_or_default());
        let journal = quota.adopt(
            known.content.as_ref(),
            known.version,
            rows,
            ended_ms,
            now_ms,
        );
        self.commit_journal(index, journal, outcome);
    }

    /// The instance writes its journal.
    pub fn write_journal(&mut self, index: usize, outcome: WriteOutcome) {
        if !self.instances[index].quota.is_adopted() {
            return;
        }
        self.notice(index);
        let now_ms = self.local_ms(index);
        let journal = self.instances[index].quota.next_journal(now_ms);
        self.commit_journal(index, journal, outcome);
    }

    fn commit_journal(&mut self, index: usize, journal: Journal, outcome: WriteOutcome) {
        let expected = self.instances[index].quota.journal_version();
        if outcome == WriteOutcome::Delayed {
            let late = DelayedWrite::Journal(index, expected, journal);
            self.store.late.push(late);
            return self.instances[index].quota.journal_unknown();
        }
        if outcome == WriteOutcome::Rejected {
            return self.instances[index].quota.journal_rejected();
        }
        let done = self.store.put_journal(index, expected, journal.clone());
        let cell = self.store.journals[index].clone();
        let store_ms = self.store.now_ms;
        let now_ms = self.local_ms(index);
        let quota = &mut self.instances[index].quota;
        if outcome == WriteOutcome::ReplyLost {
            return quota.journal_unknown();
        }
        quota.observe_clock(store_ms, now_ms);
        match (done, cell.content) {
            (true, _) => quota.journal_written(&journal, cell.version),
            (false, Some(found)) => {
                quota.resolve_conflict(&found, cell.version);
            }
            (false, None) => {}
        }
    }

    /// The instance hears what the others say of their use.
    pub fn exchange_usage(&mut self, index: usize) {
        let now_ms: Vec<u64> = (0..self.instances.len())
            .map(|who| self.local_ms(who))
            .collect();
        let mut said = Vec::new();
        for (who, instance) in self.instances.iter_mut().enumerate() {
            if instance.quota.is_adopted() {
                let holder = instance.quota.holder().clone();
                said.push((holder, instance.quota.usage(now_ms[who])));
            }
        }
        self.instances[index].quota.set_peers(&said, &[]);
    }

    /// The instance brings its grant to what its plan says.
    pub fn plan(&mut self, index: usize, outcome: WriteOutcome) {
        if !self.instances[index].quota.is_adopted() {
            return;
        }
        self.notice(index);
        let now_ms = self.local_ms(index);
        let account = self.account.clone();
        self.put_fence(index, outcome);
        let quota = &mut self.instances[index].quota;
        let fence = quota.fence().0;
        let Some((expected, ledger)) = quota.plan(&account, now_ms) else {
            return;
        };
        if outcome == WriteOutcome::Delayed {
            let late = DelayedWrite::Ledger(expected, fence, ledger);
            return self.store.late.push(late);
        }
        if outcome == WriteOutcome::Rejected {
            return;
        }
        self.store.put_ledger(expected, fence, ledger);
        if outcome == WriteOutcome::ReplyLost {
            return;
        }
        let cell = self.store.ledger.clone();
        let store_ms = self.store.now_ms;
        let quota = &mut self.instances[index].quota;
        quota.observe_clock(store_ms, now_ms);
        let ledger = cell.content.unwrap_or_default();
        quota.observe_ledger(&account, cell.version, ledger, store_ms);
    }

    /// The instance reads the account's row.
    pub fn read_ledger(&mut self, index: usize) {
        self.notice(index);
        let cell = self.store.ledger.clone();
        let ledger = cell.content.unwrap_or_default();
        let store_ms = self.store.now_ms;
        let account = self.account.clone();
        let quota = &mut self.instances[index].quota;
        quota.observe_ledger(&account, cell.version, ledger, store_ms);
    }

    /// A request asks for tokens.
    pub fn hold(&mut self, index: usize, tokens: u64) -> HoldOutcome {
        let now_ms = self.local_ms(index);
        let account = self.account.clone();
        self.instances[index]
            .quota
            .record_demand(&account, tokens, now_ms);
        self.hold_again(index, tokens)
    }

    /// A request that was counted before asks once more.
    fn hold_again(&mut self, index: usize, tokens: u64) -> HoldOutcome {
        let now_ms = self.local_ms(index);
        let account = self.account.clone();
        let instance = &mut self.instances[index];
        let verdict = instance.quota.hold(&account, tokens, now_ms);
        if verdict == HoldOutcome::Held {
            instance.open.push(tokens);
        }
        verdict
    }

    /// A request asks for tokens wherever the fleet can find them at once.
    pub fn serve(&mut self, index: usize, tokens: u64) -> bool {
        if self.hold(index, tokens) == HoldOutcome::Held {
            return true;
        }
        let now_ms = self.local_ms(index);
        let candidates = self.instances[index].quota.candidates(ACCOUNT, now_ms);
        for candidate in candidates.iter().take(LENDERS) {
            let name = |instance: &Instance| *instance.quota.holder() == candidate.holder;
            let Some(lender) = self.instances.iter().position(name) else {
                continue;
            };
            self.borrow(index, lender, tokens, WriteOutcome::Committed);
            if self.hold_again(index, tokens) == HoldOutcome::Held {
                return true;
            }
        }
        false
    }

    /// An instance borrows what it misses for a request. A refused loan is one whose ask is lost.
    pub fn borrow(&mut self, index: usize, lender: usize, tokens: u64, outcome: WriteOutcome) {
        let now_ms = self.local_ms(index);
        self.asks += 1;
        let id = self.asks;
        let borrower = &mut self.instances[index];
        let missing = borrower.quota.shortfall(ACCOUNT, tokens, now_ms);
        if missing == 0 || index == lender {
            return;
        }
        let quota = &borrower.quota;
        let ask = borrower
            .borrower
            .request(quota, &self.account, (missing, 0), id, now_ms);
        if outcome == WriteOutcome::Rejected {
            return;
        }
        let lender_ms = self.local_ms(lender);
        let lending = &mut self.instances[lender];
        let answer = lending.lender.respond(&mut lending.quota, &ask, lender_ms);
        let again = lending.lender.respond(&mut lending.quota, &ask, lender_ms);
        assert_eq!(again, None, "an ask is answered once");
        let Some(answer) = answer.filter(|_| outcome != WriteOutcome::ReplyLost) else {
            return;
        };
        if outcome == WriteOutcome::Delayed {
            return self.answers.push((index, answer));
        }
        self.take(index, &answer);
    }

    /// An instance takes a lender's answer, and a copy of it.
    fn take(&mut self, index: usize, answer: &Response) {
        let now_ms = self.local_ms(index);
        let borrower = &mut self.instances[index];
        borrower
            .borrower
            .accept(&mut borrower.quota, answer, now_ms);
        let again = borrower
            .borrower
            .accept(&mut borrower.quota, answer, now_ms);
        assert!(!again, "an answer is taken once");
    }

    /// The last answer that was held up arrives.
    pub fn deliver_response(&mut self) {
        if let Some((index, answer)) = self.answers.pop() {
            self.take(index, &answer);
        }
    }

    /// What an instance counts as consumed.
    pub fn consumed(&self, index: usize) -> u64 {
        let view = self.instances[index].quota.account(ACCOUNT);
        view.map_or(0, |account| account.consumed())
    }

    /// The oldest request of an instance ends, having used a part of its tokens.
    pub fn settle(&mut self, index: usize, percent: u64) {
        let instance = &mut self.instances[index];
        if instance.open.is_empty() {
            return;
        }
        let held = instance.open.remove(0);
        let cost = held * percent.min(100) / 100;
        instance.used += cost;
        instance.quota.settle(ACCOUNT, held, cost);
    }

    /// The operator changes the total; every instance learns of it.
    pub fn top_up(&mut self, tokens: u64) {
        self.prepaid += tokens;
        self.max_prepaid = self.max_prepaid.max(self.prepaid);
        for instance in &mut self.instances {
            instance
                .quota
                .set_prepaid(&self.account, Some(self.prepaid));
        }
    }

    /// Used, and held by requests that may still use it.
    pub fn total_used(&self) -> u64 {
        let each = self.instances.iter();
        each.map(|instance| instance.used + instance.open.iter().sum::<u64>())
            .sum()
    }
}
