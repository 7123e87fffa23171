//! In-memory store and instances that spend from it, driven step by step.
// Each test target uses only some of the items.
#![allow(dead_code)]

use std::sync::Arc;

use fescuewell_forward::loan::{Borrower, Lender, Request, Response};
use fescuewell_forward::quota::era::{self, Fence};
use fescuewell_forward::quota::row::{Journal, Ledger, Usage};
use fescuewell_forward::quota::{HoldOutcome, Quota};
use fescuewell_forward::version;

/// Name of the only account.
pub const ACCOUNT: &str = "group";

/// Maximum number of lenders for one request.
const MAX_LENDERS: usize = 3;

/// A versioned row.
#[derive(Debug, Clone, Default)]
pub struct Row<Content> {
    pub version: u64,
    pub content: Option<Content>,
}

/// A write that may take effect later if its condition still holds.
#[derive(Debug, Clone)]
pub enum DelayedWrite {
    /// Expected versions of the ledger and the fence, and the new ledger.
    Ledger(u64, u64, Ledger),
    Fence(u64, Fence),
    Journal(usize, u64, Journal),
}

/// What happens to a write or a loan message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Takes effect and is acknowledged.
    Committed,
    /// Takes effect, but the reply is lost.
    ReplyLost,
    /// Not acknowledged, and takes effect later if its condition still holds.
    Delayed,
    /// Certainly does not take effect.
    Rejected,
}

/// A backup of the store.
#[derive(Debug, Clone, Default)]
pub struct Backup {
    number: u64,
    ledger: Row<Ledger>,
    journals: Vec<Row<Journal>>,
    fence: Row<Fence>,
    statuses: Vec<Option<(era::Status, u64)>>,
}

#[derive(Debug, Default)]
pub struct Store {
    pub era: u32,
    /// Number of writes so far.
    pub number: u64,
    /// Row whose version every ledger transaction expects.
    pub fence: Row<Fence>,
    /// Published statuses of the instances and the times of their publication.
    pub statuses: Vec<Option<(era::Status, u64)>>,
    pub now_ms: u64,
    pub ledger: Row<Ledger>,
    pub journals: Vec<Row<Journal>>,
    pub delayed: Vec<DelayedWrite>,
}

impl Store {
    fn next_version(&mut self) -> u64 {
        self.number += 1;
        version::join(self.era, self.number)
    }

    /// Returns whether a row has the version that a write expects. The store compares only the
    /// write count, not the era.
    fn has_version(&self, current: u64, expected: u64) -> bool {
        version::number(current) == version::number(expected)
    }

    fn put_ledger(&mut self, expected: u64, fence: u64, ledger: Ledger) -> bool {
        if !self.has_version(self.ledger.version, expected)
            || !self.has_version(self.fence.version, fence)
        {
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
        if self.has_version(self.fence.version, expected) {
            self.fence = Row {
                version: self.next_version(),
                content: Some(fence),
            };
        }
    }

    /// Takes a backup of the store.
    pub fn backup(&self) -> Backup {
        Backup {
            number: self.number,
            ledger: self.ledger.clone(),
            journals: self.journals.clone(),
            fence: self.fence.clone(),
            statuses: self.statuses.clone(),
        }
    }

    /// Restores the store from a backup, which begins the next era and resets the write count.
    pub fn restore(&mut self, backup: &Backup) {
        self.era += 1;
        let era = self.era;
        let with_new_era = |previous: u64| version::join(era, version::number(previous));
        self.number = backup.number;
        self.ledger = backup.ledger.clone();
        self.ledger.version = with_new_era(self.ledger.version);
        self.journals = backup.journals.clone();
        for journal in &mut self.journals {
            journal.version = with_new_era(journal.version);
        }
        self.fence = backup.fence.clone();
        self.fence.version = with_new_era(self.fence.version);
        self.statuses = backup.statuses.clone();
    }

    fn put_journal(&mut self, index: usize, expected: u64, journal: Journal) -> bool {
        if !self.has_version(self.journals[index].version, expected) {
            return false;
        }
        let version = self.next_version();
        self.journals[index] = Row {
            version,
            content: Some(journal),
        };
        true
    }

    /// Delivers the last delayed write.
    pub fn deliver_write(&mut self) {
        self.deliver_write_of(0);
    }

    /// Delivers a delayed write; `age` counts back from the last one.
    pub fn deliver_write_of(&mut self, age: usize) {
        let index = self.delayed.len().checked_sub(age + 1);
        match index.map(|index| self.delayed.remove(index)) {
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

/// One instance: its quota and the tokens that its requests actually used.
pub struct Instance {
    pub quota: Quota,
    started_ms: u64,
    /// Tokens held by running requests.
    pub held: Vec<u64>,
    /// Tokens actually used, over all incarnations.
    pub used: u64,
    lender: Lender,
    borrower: Borrower,
}

/// Time in milliseconds within which a live instance publishes its next status.
const HEARTBEAT_TIMEOUT_MS: u64 = 3_500;

/// A store and the instances that share one account.
pub struct Cluster {
    pub store: Store,
    pub instances: Vec<Instance>,
    pub prepaid: u64,
    /// Largest total that was ever in force.
    pub max_prepaid: u64,
    pub account: Arc<str>,
    loan_count: u64,
    /// Delayed loan responses and the borrowers they are for.
    delayed_responses: Vec<(usize, Response)>,
    /// Sent loan requests that a borrower may repeat, with the borrower and the lender.
    sent_requests: Vec<(usize, usize, Request)>,
}

impl Cluster {
    pub fn new(count: usize, prepaid: u64) -> Self {
        let mut cluster = Self {
            store: Store {
                now_ms: 1_000,
                journals: vec![Row::default(); count],
                statuses: vec![None; count],
                ..Store::default()
            },
            instances: Vec::new(),
            prepaid,
            max_prepaid: prepaid,
            account: ACCOUNT.into(),
            loan_count: 0,
            delayed_responses: Vec::new(),
            sent_requests: Vec::new(),
        };
        for index in 0..count {
            let instance = cluster.new_instance(index, 0);
            cluster.instances.push(instance);
        }
        cluster
    }

    fn new_instance(&self, index: usize, used: u64) -> Instance {
        let mut quota = Quota::new(format!("entry-{index}").into(), 0);
        quota.set_prepaid(&self.account, Some(self.prepaid));
        Instance {
            quota,
            started_ms: self.store.now_ms,
            held: Vec::new(),
            used,
            lender: Lender::default(),
            borrower: Borrower::default(),
        }
    }

    /// Makes an instance enter the current era of the store and read its own rows.
    pub fn observe_restore(&mut self, index: usize) {
        let era = self.store.era;
        if self.instances[index].quota.era() == era {
            return;
        }
        let now_ms = self.local_ms(index);
        let journal_row = &self.store.journals[index];
        let journal = journal_row
            .content
            .clone()
            .map(|content| (journal_row.version, content));
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

    /// Writes the fence from an instance if that is due.
    fn put_fence(&mut self, index: usize, outcome: WriteOutcome) {
        let now_ms = self.local_ms(index);
        let quota = &self.instances[index].quota;
        let expected = quota.fence().0;
        let Some(fence) = quota.next_fence(now_ms) else {
            return;
        };
        match outcome {
            WriteOutcome::Delayed => {
                return self
                    .store
                    .delayed
                    .push(DelayedWrite::Fence(expected, fence));
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

    /// Publishes the status of an instance and reads those of the others.
    pub fn publish_status(&mut self, index: usize) {
        if !self.instances[index].quota.is_adopted() {
            return;
        }
        self.observe_restore(index);
        let status = self.instances[index].quota.status();
        self.store.statuses[index] = Some((status, self.store.now_ms));
        let now_ms = self.store.now_ms;
        let statuses = self.store.statuses.iter().flatten();
        let statuses = statuses.map(|(status, at_ms)| era::Status {
            is_live: now_ms < at_ms + HEARTBEAT_TIMEOUT_MS,
            ..status.clone()
        });
        let statuses = statuses.collect();
        self.instances[index]
            .quota
            .set_statuses(statuses, HEARTBEAT_TIMEOUT_MS);
    }

    /// Returns the local clock of an instance, which starts with its process.
    pub fn local_ms(&self, index: usize) -> u64 {
        self.store.now_ms - self.instances[index].started_ms
    }

    /// Kills the process of an instance and starts it again after `down_ms`. Nothing in memory is
    /// kept.
    pub fn restart(&mut self, index: usize, down_ms: u64) {
        let lost_holds: u64 = self.instances[index].held.iter().sum();
        let used = self.instances[index].used + lost_holds;
        self.store.now_ms += down_ms;
        self.instances[index] = self.new_instance(index, used);
    }

    /// Makes an instance take over from its previous incarnation.
    pub fn adopt(&mut self, index: usize, outcome: WriteOutcome) {
        if self.instances[index].quota.is_adopted() {
            return;
        }
        let now_ms = self.local_ms(index);
        let previous = self.store.journals[index].clone();
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
            previous.content.as_ref(),
            previous.version,
            rows,
            ended_ms,
            now_ms,
        );
        self.commit_journal(index, journal, outcome);
    }

    /// Writes the journal of an instance.
    pub fn write_journal(&mut self, index: usize, outcome: WriteOutcome) {
        if !self.instances[index].quota.is_adopted() {
            return;
        }
        self.observe_restore(index);
        let now_ms = self.local_ms(index);
        let journal = self.instances[index].quota.next_journal(now_ms);
        self.commit_journal(index, journal, outcome);
    }

    fn commit_journal(&mut self, index: usize, journal: Journal, outcome: WriteOutcome) {
        let expected = self.instances[index].quota.journal_version();
        if outcome == WriteOutcome::Delayed {
            let delayed = DelayedWrite::Journal(index, expected, journal);
            self.store.delayed.push(delayed);
            return self.instances[index].quota.journal_unknown();
        }
        if outcome == WriteOutcome::Rejected {
            return self.instances[index].quota.journal_rejected();
        }
        let done = self.store.put_journal(index, expected, journal.clone());
        let row = self.store.journals[index].clone();
        let store_ms = self.store.now_ms;
        let now_ms = self.local_ms(index);
        let quota = &mut self.instances[index].quota;
        if outcome == WriteOutcome::ReplyLost {
            return quota.journal_unknown();
        }
        quota.observe_clock(store_ms, now_ms);
        match (done, row.content) {
            (true, _) => quota.journal_written(&journal, row.version),
            (false, Some(found)) => {
                quota.resolve_conflict(&found, row.version);
            }
            (false, None) => {}
        }
    }

    /// Passes the usage reported by all instances to one of them.
    pub fn exchange_usage(&mut self, index: usize) {
        self.exchange_usage_with(index, &[]);
    }

    /// The same, with the reports of further instances.
    pub fn exchange_usage_with(&mut self, index: usize, others: &[(Arc<str>, Vec<Usage>)]) {
        let now_ms: Vec<u64> = (0..self.instances.len())
            .map(|who| self.local_ms(who))
            .collect();
        let mut reports = others.to_vec();
        for (who, instance) in self.instances.iter_mut().enumerate() {
            if instance.quota.is_adopted() {
                let holder = instance.quota.holder().clone();
                reports.push((holder, instance.quota.usage(now_ms[who])));
            }
        }
        self.instances[index].quota.set_peers(&reports, &[]);
    }

    /// Writes the ledger that the plan of an instance yields, after the journal if it has to announce a
    /// return.
    pub fn plan(&mut self, index: usize, outcome: WriteOutcome) {
        self.plan_once(index, outcome);
        if self.instances[index].quota.has_unannounced_returns() {
            self.write_journal(index, WriteOutcome::Committed);
            self.plan_once(index, outcome);
        }
    }

    /// Writes the ledger that the plan of an instance yields now.
    pub fn plan_once(&mut self, index: usize, outcome: WriteOutcome) {
        if !self.instances[index].quota.is_adopted() {
            return;
        }
        self.observe_restore(index);
        let now_ms = self.local_ms(index);
        let account = self.account.clone();
        self.put_fence(index, outcome);
        let quota = &mut self.instances[index].quota;
        let fence = quota.fence().0;
        let Some((expected, ledger)) = quota.plan(&account, now_ms) else {
            return;
        };
        if outcome == WriteOutcome::Delayed {
            let delayed = DelayedWrite::Ledger(expected, fence, ledger);
            return self.store.delayed.push(delayed);
        }
        if outcome == WriteOutcome::Rejected {
            return;
        }
        self.store.put_ledger(expected, fence, ledger);
        if outcome == WriteOutcome::ReplyLost {
            return;
        }
        let row = self.store.ledger.clone();
        let store_ms = self.store.now_ms;
        let quota = &mut self.instances[index].quota;
        quota.observe_clock(store_ms, now_ms);
        let ledger = row.content.unwrap_or_default();
        quota.observe_ledger(&account, row.version, ledger, store_ms);
    }

    /// Makes an instance read the ledger.
    pub fn read_ledger(&mut self, index: usize) {
        self.observe_restore(index);
        let row = self.store.ledger.clone();
        let ledger = row.content.unwrap_or_default();
        let store_ms = self.store.now_ms;
        let account = self.account.clone();
        let quota = &mut self.instances[index].quota;
        quota.observe_ledger(&account, row.version, ledger, store_ms);
    }

    /// Requests tokens for a new request.
    pub fn hold(&mut self, index: usize, tokens: u64) -> HoldOutcome {
        let now_ms = self.local_ms(index);
        let account = self.account.clone();
        self.instances[index]
            .quota
            .record_demand(&account, tokens, now_ms);
        self.retry_hold(index, tokens)
    }

    /// Requests tokens for a request whose demand was recorded before.
    fn retry_hold(&mut self, index: usize, tokens: u64) -> HoldOutcome {
        let now_ms = self.local_ms(index);
        let account = self.account.clone();
        let instance = &mut self.instances[index];
        let outcome = instance.quota.hold(&account, tokens, now_ms);
        if outcome == HoldOutcome::Held {
            instance.held.push(tokens);
        }
        outcome
    }

    /// Requests tokens for a new request and borrows them if necessary. Returns whether they are
    /// held.
    pub fn serve(&mut self, index: usize, tokens: u64) -> bool {
        if self.hold(index, tokens) == HoldOutcome::Held {
            return true;
        }
        let now_ms = self.local_ms(index);
        let candidates = self.instances[index].quota.candidates(ACCOUNT, now_ms);
        for candidate in candidates.iter().take(MAX_LENDERS) {
            let name = |instance: &Instance| *instance.quota.holder() == candidate.holder;
            let Some(lender) = self.instances.iter().position(name) else {
                continue;
            };
            self.borrow(index, lender, tokens, WriteOutcome::Committed);
            if self.retry_hold(index, tokens) == HoldOutcome::Held {
                return true;
            }
        }
        false
    }

    /// Borrows the tokens that an instance lacks for a request. `Rejected` loses the loan request.
    pub fn borrow(&mut self, index: usize, lender: usize, tokens: u64, outcome: WriteOutcome) {
        let now_ms = self.local_ms(index);
        self.loan_count += 1;
        let id = self.loan_count;
        let borrower = &mut self.instances[index];
        let missing = borrower.quota.shortfall(ACCOUNT, tokens, now_ms);
        if missing == 0 || index == lender {
            return;
        }
        let quota = &borrower.quota;
        let request = borrower
            .borrower
            .request(quota, &self.account, (missing, 0), id, now_ms);
        self.sent_requests.push((index, lender, request.clone()));
        if outcome == WriteOutcome::Rejected {
            return;
        }
        let lender_ms = self.local_ms(lender);
        let lending = &mut self.instances[lender];
        let response = lending
            .lender
            .respond(&mut lending.quota, &request, lender_ms);
        let consumed = lending.quota.account(ACCOUNT).unwrap().consumed();
        let duplicate = lending
            .lender
            .respond(&mut lending.quota, &request, lender_ms);
        assert_eq!(
            duplicate, response,
            "a duplicate request gets the same response"
        );
        let consumed_twice = lending.quota.account(ACCOUNT).unwrap().consumed();
        assert_eq!(
            consumed, consumed_twice,
            "a duplicate request books nothing"
        );
        let Some(response) = response.filter(|_| outcome != WriteOutcome::ReplyLost) else {
            return;
        };
        if outcome == WriteOutcome::Delayed {
            return self.delayed_responses.push((index, response));
        }
        self.accept_response(index, &response);
    }

    /// Repeats one of the last loan requests, which the lender may have received, and delivers the
    /// response unless `outcome` loses or delays it. `age` counts back from the last request.
    pub fn repeat_request(&mut self, age: usize, outcome: WriteOutcome) {
        let sent = self.sent_requests.iter().rev().nth(age).cloned();
        let Some((index, lender, request)) = sent else {
            return;
        };
        let lender_ms = self.local_ms(lender);
        let lending = &mut self.instances[lender];
        let response = lending
            .lender
            .respond(&mut lending.quota, &request, lender_ms);
        let Some(response) = response else { return };
        match outcome {
            WriteOutcome::Committed => self.accept_response(index, &response),
            WriteOutcome::Delayed => self.delayed_responses.push((index, response)),
            WriteOutcome::ReplyLost | WriteOutcome::Rejected => {}
        }
    }

    /// Delivers a loan response to an instance twice.
    fn accept_response(&mut self, index: usize, response: &Response) {
        let now_ms = self.local_ms(index);
        let borrower = &mut self.instances[index];
        borrower
            .borrower
            .accept(&mut borrower.quota, response, now_ms);
        let duplicate = borrower
            .borrower
            .accept(&mut borrower.quota, response, now_ms);
        assert!(!duplicate, "a duplicate response is not accepted");
    }

    /// Delivers the last delayed loan response.
    pub fn deliver_response(&mut self) {
        if let Some((index, response)) = self.delayed_responses.pop() {
            self.accept_response(index, &response);
        }
    }

    /// Returns the tokens that an instance counts as consumed.
    pub fn consumed(&self, index: usize) -> u64 {
        let account = self.instances[index].quota.account(ACCOUNT);
        account.map_or(0, |account| account.consumed())
    }

    /// Returns the total that the ledger grants to an instance, as known to it.
    pub fn row_grant(&self, index: usize) -> u64 {
        let account = self.instances[index].quota.account(ACCOUNT);
        account.map_or(0, |account| account.row_grant())
    }

    /// Ends the oldest request of an instance, which used `percent` of its tokens.
    pub fn settle(&mut self, index: usize, percent: u64) {
        let instance = &mut self.instances[index];
        if instance.held.is_empty() {
            return;
        }
        let held = instance.held.remove(0);
        let cost = held * percent.min(100) / 100;
        instance.used += cost;
        instance.quota.settle(ACCOUNT, held, cost);
    }

    /// Raises the prepaid total; every instance learns it at once.
    pub fn top_up(&mut self, tokens: u64) {
        self.prepaid += tokens;
        self.max_prepaid = self.max_prepaid.max(self.prepaid);
        for instance in &mut self.instances {
            instance
                .quota
                .set_prepaid(&self.account, Some(self.prepaid));
        }
    }

    /// Stops the process of an instance in an orderly way, so that it returns its tokens, and starts
    /// it again. `outcome` is that of the return, which may take effect after the next start. The program
    /// also removes its status; docs/incidents/overspent-after-a-restore.md has what is open there.
    pub fn stop(&mut self, index: usize, down_ms: u64, outcome: WriteOutcome) {
        if self.instances[index].quota.is_adopted() {
            self.instances[index].quota.begin_shutdown(0);
            self.plan(index, outcome);
            self.write_journal(index, WriteOutcome::Committed);
        }
        self.restart(index, down_ms);
    }

    /// Returns the tokens that were used, or are held by requests that may still use them.
    pub fn total_used(&self) -> u64 {
        let each = self.instances.iter();
        each.map(|instance| instance.used + instance.held.iter().sum::<u64>())
            .sum()
    }
}
