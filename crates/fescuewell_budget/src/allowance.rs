//! One group's allowance at one instance: the sums, and who waits for what.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table;

use crate::hold::Shortage;
use crate::rate::Rate;
use crate::row::Budget;

/// A budget row as last seen.
#[derive(Debug, Clone)]
pub(crate) struct Cached {
    pub revision: u64,
    /// When the read or write that showed it was asked for; it is no older than that.
    pub seen: Instant,
    /// Number of the step that showed it.
    pub step: u64,
    pub budget: Budget,
}

/// When and in which order a step was handed out.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Asked {
    pub at: Instant,
    pub step: u64,
}

/// Requests that wait for a draw.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub since: Instant,
    /// Number of the last step that was asked for before.
    pub step: u64,
    /// Sum of what they need.
    pub sum: Tokens,
    /// The smallest of them: from there on waking them is worth while.
    pub smallest: Tokens,
}

/// A recall sent to other holders on behalf of the requests that wait.
#[derive(Debug, Clone)]
pub(crate) struct Recall {
    pub deadline: Instant,
    /// How many recalls came before for the same requests.
    pub round: u32,
    /// When the next one may be sent.
    pub again_at: Instant,
    /// Every other holder in the row and its grant when the recall began.
    pub asked: Vec<(Arc<str>, Tokens)>,
    pub unanswered: Vec<Arc<str>>,
    /// What the others reported as held or owed.
    pub in_use: Tokens,
    /// What is still missing after the returns that were reported.
    pub lacking: Tokens,
    /// Whether some holder was not asked, the fan-out being limited.
    pub is_partial: bool,
    /// Set when the last answer came or the deadline passed: number of the last step that was
    /// asked for before. Times would not do, as a read may show the row as it was at the
    /// same instant but before the returns.
    pub finished: Option<u64>,
}

impl Recall {
    /// Whether some other holder has been granted more since the recall began.
    ///
    /// Its answer, if it was asked at all, says nothing about that.
    pub fn is_overtaken(&self, holder: &str, budget: &Budget) -> bool {
        let mut grants = budget.grants.iter();
        grants.any(|(other, grant)| {
            let asked = self.asked.iter().find(|(asked, _)| asked == other);
            let before = asked.map_or(Tokens::ZERO, |(_, granted)| *granted);
            **other != *holder && grant.granted > before
        })
    }
}

/// A refusal that is repeated for a while without another look at the row.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Verdict {
    pub until: Instant,
    pub need: Tokens,
    pub shortage: Shortage,
    pub revision: u64,
}

impl Verdict {
    /// Whether nothing depends on it any more. An exhausted budget's verdict is kept: as long as the
    /// row's revision stays, it need not be worked out again.
    fn is_stale(&self, now: Instant) -> bool {
        self.until < now && self.shortage != Shortage::Exhausted
    }
}

/// The rest of what a group needs while money is short; absent in ordinary times.
#[derive(Debug, Clone, Default)]
pub(crate) struct Strain {
    pub waiting: Option<Waiting>,
    pub recall: Option<Recall>,
    pub verdict: Option<Verdict>,
    /// Holders that asked for idle allowance and wait for an answer.
    pub recallers: Vec<Arc<str>>,
    /// Returned for them so far.
    pub recalled: Tokens,
}

/// One group's sums. `spent + owed + held + leaving <= granted` always holds; the difference is idle.
#[derive(Debug, Clone)]
pub(crate) struct Allowance {
    pub name: Arc<str>,
    /// Cumulative grant as the table has it.
    pub granted: Tokens,
    /// Charged by durable bills.
    pub spent: Tokens,
    /// Settled, the bills not durable yet.
    pub owed: Tokens,
    pub held: Tokens,
    /// Part of a return whose outcome is open: it may have reached the row, so it must not be spent.
    pub leaving: Tokens,
    /// Whether the row has a grant of this holder.
    pub is_listed: bool,
    /// Whether the grant was removed by somebody else.
    pub is_lost: bool,
    pub rate: Rate,
    pub used_at: Instant,
    pub surplus_since: Option<Instant>,
    pub scarce_until: Instant,
    pub row: Option<Box<Cached>>,
    pub strain: Option<Box<Strain>>,
}

impl Allowance {
    pub fn new(now: Instant, name: Arc<str>) -> Self {
        Self {
            name,
            granted: Tokens::ZERO,
            spent: Tokens::ZERO,
            owed: Tokens::ZERO,
            held: Tokens::ZERO,
            leaving: Tokens::ZERO,
            is_listed: false,
            is_lost: false,
            rate: Rate::new(now),
            used_at: now,
            surplus_since: None,
            scarce_until: now,
            row: None,
            strain: None,
        }
    }

    /// What may be held now.
    pub fn idle(&self) -> Tokens {
        self.granted
            .minus(self.spent + self.owed + self.held + self.leaving)
    }

    /// What is held or owed.
    pub fn in_use(&self) -> Tokens {
        self.held + self.owed
    }

    pub fn take(&mut self, amount: Tokens) -> bool {
        if self.idle() < amount {
            return false;
        }
        self.held += amount;
        true
    }

    pub fn strain(&mut self) -> &mut Strain {
        self.strain.get_or_insert_default()
    }

    pub fn waiting(&self) -> Option<&Waiting> {
        self.strain.as_ref()?.waiting.as_ref()
    }

    pub fn recall(&self) -> Option<&Recall> {
        self.strain.as_ref()?.recall.as_ref()
    }

    pub fn is_recalled(&self) -> bool {
        let strain = self.strain.as_ref();
        strain.is_some_and(|strain| !strain.recallers.is_empty())
    }

    /// Adds a request to those that wait.
    pub fn wait(&mut self, now: Instant, step: u64, amount: Tokens) {
        let waiting = self.strain().waiting.get_or_insert(Waiting {
            since: now,
            step,
            sum: Tokens::ZERO,
            smallest: amount,
        });
        waiting.sum += amount;
        waiting.smallest = waiting.smallest.min(amount);
    }

    /// Forgets those that wait, when they are told to ask again or are refused.
    pub fn stop_waiting(&mut self) -> bool {
        let Some(strain) = &mut self.strain else {
            return false;
        };
        strain.recall = None;
        strain.waiting.take().is_some()
    }

    /// Drops a refusal that would still stand.
    pub fn forget_verdict(&mut self) {
        if let Some(strain) = &mut self.strain {
            strain.verdict = None;
        }
    }

    /// The refusal that still stands for a request of this size.
    pub fn standing_refusal(&self, now: Instant, amount: Tokens) -> Option<Shortage> {
        let verdict = self.strain.as_ref()?.verdict.as_ref()?;
        let stands = now < verdict.until && amount >= verdict.need;
        stands.then_some(verdict.shortage)
    }

    /// Drops the strain when nothing in it matters any more.
    pub fn relax(&mut self, now: Instant) {
        let Some(strain) = &self.strain else {
            return;
        };
        let is_over = strain.waiting.is_none()
            && strain.recallers.is_empty()
            && strain.verdict.is_none_or(|verdict| verdict.is_stale(now));
        if is_over {
            self.strain = None;
        }
    }

    /// Takes a newer state of the row into account.
    ///
    /// Only this holder changes its grant while it lives, so the row is right about it whenever no
    /// write of ours is open. A grant that has gone was removed on somebody's proof that this
    /// holder ended (or the group was deleted): whatever is idle must not be spent then.
    pub fn observe(&mut self, asked: Asked, row: &table::Row, holder: &str) -> Sight {
        let known = self.row.as_ref().map_or(0, |cached| cached.revision);
        if row.revision < known {
            return Sight::Current;
        }
        let Ok(budget) = Budget::parse(&row.value) else {
            self.row = None;
            return Sight::Unreadable;
        };
        let mut sight = Sight::Current;
        match budget.grants.get(holder) {
            Some(grant) => {
                self.granted = grant.granted;
                self.is_listed = true;
            }
            None if self.is_listed => sight = Sight::Gone,
            None => {}
        }
        let revision = row.revision;
        self.row = Some(Box::new(Cached {
            revision,
            seen: asked.at,
            step: asked.step,
            budget,
        }));
        sight
    }

    /// Stops spending after the grant or the row has gone.
    pub fn lose(&mut self) {
        self.granted = self.spent + self.owed + self.held;
        self.leaving = Tokens::ZERO;
        self.is_lost = true;
        self.is_listed = false;
    }
}

/// What a look at the row showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sight {
    /// The row is known now.
    Current,
    /// The row's content cannot be read.
    Unreadable,
    /// This holder's grant is no longer in the row.
    Gone,
}
