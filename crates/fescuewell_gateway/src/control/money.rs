//! When grants, journal and membership are brought in step with the store.
//!
//! Two kinds of transactions: the *journal* of this instance and its member row, which nobody else writes, and
//! the *ledgers* of the client accounts, which all instances change on condition of their versions.

use std::time::Duration;

use tokio::time::Instant;

use super::Control;
use super::journal::{adopt, journal};
use super::ledger::{ledgers, plan};
use super::lending;
use super::members::{members, sign};
use super::overdue::is_overdue;
use super::watch::ready_if_complete;

/// Time between two journals in a small fleet. What a process may have spent is known to its successor as of the
/// last one.
const JOURNAL_EVERY: Duration = Duration::from_millis(500);
/// Time between two journals while this instance holds no tokens.
const IDLE_JOURNAL: Duration = Duration::from_secs(4);
/// Signs that a member may miss before it counts as absent.
const LAPSE_SIGNS: u32 = 4;
/// Time between two plans in a small fleet.
const PLAN_EVERY: Duration = Duration::from_millis(1_000);
/// Least time between two plans that waiting requests ask for.
const PLAN_PAUSE: Duration = Duration::from_millis(40);
/// Least time between two journals that waiting requests ask for.
const JOURNAL_PAUSE: Duration = Duration::from_millis(15);
/// Pauses whose demand a journal lets through at once.
const BURST_PAUSES: u32 = 2;
/// Part of the store's writing calls that such journals may take in the whole fleet.
const WRITE_SHARE: f64 = 0.4;
/// Part of one part's transactions that all journals, and all plans, may take.
const PART_SHARE: f64 = 0.3;

struct Duty<'a> {
    control: &'a Control,
    journal_at: Instant,
    plan_at: Instant,
    planned_at: Instant,
    journaled_at: Instant,
}

/// Keeps grants, journal and membership in step with the store.
pub(super) async fn run(control: &Control) {
    adopt(control).await;
    // Before it is ready, and before its own sign replaces what its former process wrote.
    members(control).await;
    ready_if_complete(control);
    lending::learn_key(control).await;
    let now = Instant::now();
    let mut duty = Duty {
        control,
        journal_at: now,
        plan_at: now,
        planned_at: now,
        journaled_at: now,
    };
    loop {
        duty.step().await;
    }
}

impl Duty<'_> {
    async fn step(&mut self) {
        let next = self.journal_at.min(self.plan_at);
        let wanted = tokio::time::timeout_at(next, self.control.inbox.plans.recv_async()).await;
        if matches!(wanted, Ok(Ok(()))) {
            self.serve_waiting().await;
        }
        let now = Instant::now();
        if is_overdue(self.control) {
            // Behind an outage this cannot wait for the plan: a kill now would be charged for all of that time.
            self.journal().await;
        }
        if now >= self.plan_at {
            self.plan_at = now + self.every(PLAN_EVERY);
            sign(self.control).await;
            members(self.control).await;
            self.control.gateway.tend_gate();
            ledgers(self.control).await;
            self.plan().await;
            lending::learn_key(self.control).await;
            let lapse = self.every(PLAN_EVERY) * LAPSE_SIGNS;
            let lapse_ms = lapse.as_millis() as u64;
            self.control.gateway.state().directory.set_lapse(lapse_ms);
        }
        if now >= self.journal_at {
            self.journal().await;
        }
    }

    /// Makes room for requests that wait: a plan where the grant is too small, else a journal, which moves the
    /// pace up to what they want.
    async fn serve_waiting(&mut self) {
        let gateway = &self.control.gateway;
        let needs_plan = gateway.state().quota.needs_plan();
        if needs_plan || gateway.is_leaving() {
            tokio::time::sleep_until(self.planned_at + PLAN_PAUSE).await;
            self.plan().await;
        } else {
            let pause = self.journal_pause();
            tokio::time::sleep_until(self.journaled_at + pause).await;
        }
        self.journal().await;
        self.control.gateway.tell_planned();
    }

    fn journal_pause(&self) -> Duration {
        let gateway = &self.control.gateway;
        let instances = gateway.state().directory.count() as f64;
        let share = instances / (gateway.settings.writes * WRITE_SHARE);
        JOURNAL_PAUSE.max(Duration::from_secs_f64(share))
    }

    async fn journal(&mut self) {
        let idle = self.control.gateway.state().quota.is_idle();
        let every = if idle { IDLE_JOURNAL } else { JOURNAL_EVERY };
        self.journal_at = Instant::now() + self.every(every);
        let burst = self.journal_pause() * BURST_PAUSES;
        let burst_ms = burst.as_millis() as u64;
        self.control.gateway.state().quota.set_burst(burst_ms);
        journal(self.control).await;
        self.journaled_at = Instant::now();
    }

    /// A larger fleet writes less often.
    fn every(&self, least: Duration) -> Duration {
        let gateway = &self.control.gateway;
        let instances = gateway.state().directory.count() as f64;
        let share = instances / (gateway.settings.part_writes * PART_SHARE);
        self.control
            .spread(least.max(Duration::from_secs_f64(share)))
    }

    async fn plan(&mut self) {
        let names = self.control.gateway.state().quota.names();
        plan(self.control, &names).await;
        self.planned_at = Instant::now();
    }
}
