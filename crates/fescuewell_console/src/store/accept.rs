//! Carrying out one acceptance against a table that may be slow, busy or lose replies.

use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Outcome, Range, Row};
use fescuewell_document::chunk::FORMAT;
use fescuewell_document::difference;
use fescuewell_document::head::{
    self, Acceptance, BUDGET_PREFIX, HEAD_KEY, Head, Proposal, Status, changed_budgets, history_key,
};
use fescuewell_document::model::Document;
use serde_json::Value;

use super::{Loaded, Store, may_have_run, unavailable};

/// How often one acceptance is tried before its operator is told that the store gives no answer.
const ATTEMPTS: u32 = 8;
/// Wait after the first failed attempt; each later one waits this much longer.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Above so many changed budgets one scan of all rows is cheaper than a read for each.
const MOST_SINGLE_READS: usize = 100;

/// How one attempt ended.
enum Attempt {
    Accepted(Head),
    /// Nothing was written; the reason to report when no attempt is left.
    Again(Refusal),
    /// It may have been written; the next attempt reads back first.
    Unknown(Acceptance, Refusal),
}

impl Store {
    /// Accepts `after`, which was made from `base`.
    ///
    /// # Errors
    ///
    /// [`Code::DocumentRaced`] when `base` is not in force any more, [`Code::DocumentInvalid`],
    /// [`Code::PrepaidBelowDrawn`], [`Code::DocumentUnreadable`] when a live instance cannot read it, or
    /// [`Code::StoreUnavailable`], whose `run` tells whether it may have been accepted.
    pub fn accept(&self, base: &Loaded, after: &Document, author: &str) -> Result<Head, Refusal> {
        let result = self.try_accept(base, after, author);
        match &result {
            Ok(head) => {
                let changes = difference::compare(&base.document, after);
                log_event!(
                    Event::DocumentAccepted,
                    "version={} root={} author={author} changes={} change={}",
                    head.version.0,
                    head.root,
                    changes.len(),
                    head.change
                );
            }
            Err(refusal) => log_event!(
                Event::DocumentRefused,
                "code={} base={} author={author} reason={:?}",
                refusal.code.number(),
                base.version().0,
                refusal.message
            ),
        }
        result
    }

    fn try_accept(&self, base: &Loaded, after: &Document, author: &str) -> Result<Head, Refusal> {
        self.refuse_unreadable()?;
        let proposal = Proposal {
            base_version: base.version(),
            before: &base.document,
            after,
            author: author.into(),
            change: crate::random::token(),
            accepted_at_unix: unix_seconds(),
        };
        let mut in_doubt: Option<Acceptance> = None;
        let mut failure = Refusal::new(Code::StoreUnavailable);
        for attempt in 0..ATTEMPTS {
            thread::sleep(FIRST_WAIT * attempt);
            // The reply to an earlier attempt was lost: read back by its change id before anything else.
            // Without this the console would meet its own head and report a race that never was.
            match self.settle(in_doubt.as_ref()) {
                Ok(None) => {}
                Ok(Some(head)) => return Ok(head),
                Err(refusal) if refusal.code == Code::StoreUnavailable => continue,
                Err(refusal) => return Err(refusal),
            }
            match self.attempt(base, &proposal) {
                Ok(Attempt::Accepted(head)) => return Ok(head),
                Ok(Attempt::Again(reason)) => failure = reason,
                Ok(Attempt::Unknown(acceptance, reason)) => {
                    in_doubt = Some(acceptance);
                    failure = reason;
                }
                Err(refusal) if refusal.code == Code::StoreUnavailable => failure = refusal,
                Err(refusal) => return Err(refusal),
            }
        }
        let run = match in_doubt {
            Some(_) => Run::Unknown,
            None => Run::NotRun,
        };
        Err(failure.with_run(run))
    }

    /// What became of an attempt whose reply was lost: its head when it took effect, `None` when it did not.
    fn settle(&self, in_doubt: Option<&Acceptance>) -> Result<Option<Head>, Refusal> {
        let Some(acceptance) = in_doubt else {
            return Ok(None);
        };
        let head = self.read(HEAD_KEY)?;
        let history = self.read(&history_key(acceptance.head.version))?;
        match acceptance.status(head.as_ref(), history.as_ref())? {
            Status::Accepted => Ok(Some(acceptance.head.clone())),
            Status::Pending => Ok(None),
            Status::Raced => Err(Refusal::new(Code::DocumentRaced)),
        }
    }

    fn attempt(&self, base: &Loaded, proposal: &Proposal<'_>) -> Result<Attempt, Refusal> {
        let head = self.read(HEAD_KEY)?;
        let budgets = self.budgets(proposal)?;
        let acceptance = head::accept(head.as_ref(), proposal, &budgets)?;
        // All objects first: an instance may read the new head the moment it is written, and a head
        // whose objects are missing would leave it unable to follow.
        for (name, bytes) in acceptance.bundle.missing_from(&base.objects) {
            self.objects.put(name, bytes).map_err(unavailable)?;
        }
        match self.table.commit(&acceptance.transaction) {
            Ok(Outcome::Committed { .. }) => {
                self.remember(&acceptance, proposal.after);
                Ok(Attempt::Accepted(acceptance.head))
            }
            // An instance drew from one of the budgets meanwhile, or the head moved: look again.
            Ok(Outcome::Conflict { .. }) => Ok(Attempt::Again(
                Refusal::new(Code::StoreUnavailable)
                    .with_detail("Its rows kept changing; try again."),
            )),
            Err(error) if may_have_run(&error) => {
                let refusal = Refusal::new(Code::StoreUnavailable).with_detail(error.to_string());
                Ok(Attempt::Unknown(acceptance, refusal))
            }
            Err(error) => Ok(Attempt::Again(unavailable(error))),
        }
    }

    fn remember(&self, acceptance: &Acceptance, document: &Document) {
        let mut sorted = document.clone();
        fescuewell_document::item::sort(&mut sorted);
        self.keep(&Loaded {
            head: Some(acceptance.head.clone()),
            document: sorted.into(),
            objects: acceptance.bundle.objects.clone().into(),
        });
    }

    fn budgets(&self, proposal: &Proposal<'_>) -> Result<Vec<Row>, Refusal> {
        let changed = changed_budgets(proposal.before, proposal.after);
        if changed.len() > MOST_SINGLE_READS {
            return self.scan(&Range::prefix(BUDGET_PREFIX));
        }
        let mut rows = Vec::new();
        for (key, _) in changed {
            rows.extend(self.read(&key)?);
        }
        Ok(rows)
    }

    /// Refuses while an instance that has not said farewell reads only older formats: it would have
    /// to stop serving at the acceptance.
    fn refuse_unreadable(&self) -> Result<(), Refusal> {
        for row in self.scan(&Range::prefix(super::MEMBER_PREFIX))? {
            let Ok(member) = serde_json::from_slice::<Value>(&row.value) else {
                continue;
            };
            let formats = member["formats"].as_u64().unwrap_or(u64::from(FORMAT));
            if member["state"] == "gone" || formats >= u64::from(FORMAT) {
                continue;
            }
            let detail = format!(
                "`{}` reads formats up to {formats}, this is {FORMAT}.",
                row.key
            );
            return Err(Refusal::new(Code::DocumentUnreadable).with_detail(detail));
        }
        Ok(())
    }
}

fn unix_seconds() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}
