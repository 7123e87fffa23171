//! When grants, journal and membership are brought in step with the store.
//!
//! Two kinds of transactions: the *journal* of this instance and its member row, which nobody else writes, and
//! the *ledgers* of the client accounts, which all instances change on condition of their versions.
//!
//! Three loops run beside each other, so that none waits for another: the journal, draws that requests wait for, and the
//! plan of all accounts with the signs of life. In one loop a journal that requests wait for stands behind the conflicts of a
//! plan of all ledgers, and a holder with tokens refuses them.

use std::time::Duration;

use tokio::time::Instant;

use super::Control;
use super::fence::enter;
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
/// Plans for which a ledger that was read tells that an account is exhausted.
const FRESH_PLANS: f64 = 2.5;
/// Least time between two plans that waiting requests ask for.
const PLAN_PAUSE: Duration = Duration::from_millis(40);
/// Least time between two journals that waiting requests ask for.
const JOURNAL_PAUSE: Duration = Duration::from_millis(15);
/// Pauses whose demand a journal lets through at once.
const BURST_PAUSES: u32 = 2;
/// Part of the store's writing calls that all journals may take.
const WRITE_SHARE: f64 = 0.4;
/// Part of one part's transactions that all signs, and all plans, may take.
const PART_SHARE: f64 = 0.3;

/// Keeps grants, journal and membership in step with the store.
pub(super) async fn run(control: &Control) {
    adopt(control).await;
    // Before it is ready, and before its own sign replaces what its former process wrote.
    members(control).await;
    ready_if_complete(control);
    lending::learn_key(control).await;
    tokio::join!(journals(control), draws(control), plans(control));
}

/// Renews the journal in time, and at once where a request waits for it.
async fn journals(control: &Control) {
    let gateway = &control.gateway;
    let mut written_at = Instant::now();
    let mut next = written_at;
    loop {
        let wanted = control.inbox.journals.recv_async();
        let is_wanted = matches!(tokio::time::timeout_at(next, wanted).await, Ok(Ok(())));
        let pause = journal_pause(control);
        if is_wanted && !is_overdue(control) {
            // An overdue one cannot wait: a kill now would be charged for all of that time.
            tokio::time::sleep_until(written_at + pause).await;
        }
        let idle = gateway.state().quota.is_idle();
        let every = if idle { IDLE_JOURNAL } else { JOURNAL_EVERY };
        let burst_ms = (pause * BURST_PAUSES).as_millis() as u64;
        gateway.state().quota.set_burst(burst_ms);
        if enter(control).await {
            journal(control).await;
        }
        written_at = Instant::now();
        next = written_at + control.spread(every.max(journal_share(control)));
        gateway.notify_planned();
    }
}

/// Draws tokens for requests that wait for them, and gives all back when the instance leaves.
async fn draws(control: &Control) {
    let gateway = &control.gateway;
    while control.inbox.plans.recv_async().await.is_ok() {
        let is_leaving = gateway.is_leaving();
        let names = match is_leaving {
            true => gateway.state().quota.names(),
            false => gateway.state().quota.short_names(),
        };
        if enter(control).await {
            plan(control, &names).await;
        }
        if is_leaving {
            journal(control).await;
        }
        gateway.notify_planned();
        tokio::time::sleep(PLAN_PAUSE).await;
    }
}

/// Signs, reads the signs of the others, and brings all grants to what they should be.
async fn plans(control: &Control) {
    let gateway = &control.gateway;
    for number in 0.. {
        let every = control.spread(PLAN_EVERY.max(part_share(control)));
        let next = Instant::now() + every;
        sign(control).await;
        members(control).await;
        gateway.tend_gate();
        if enter(control).await {
            ledgers(control, number).await;
            let names = gateway.state().quota.names();
            plan(control, &names).await;
        }
        lending::learn_key(control).await;
        set_periods(control, every);
        tokio::time::sleep_until(next).await;
    }
}

/// What is old depends on how often it is renewed.
fn set_periods(control: &Control, every: Duration) {
    let mut state = control.gateway.state();
    let lapse = every * LAPSE_SIGNS;
    state.directory.set_member_timeout(lapse.as_millis() as u64);
    let fresh = every.mul_f64(FRESH_PLANS);
    state.quota.set_fresh(fresh.as_millis() as u64);
}

/// Least time between two journals of one instance where requests wait for them.
fn journal_pause(control: &Control) -> Duration {
    JOURNAL_PAUSE.max(journal_share(control))
}

/// Time between two journals at which the whole fleet keeps to its share of the store's writes. Each journal stands in a part
/// of its own.
///
/// With the share of one part in its place those of a large fleet are seconds apart, and a cut that begins between two finds
/// promises made for the former demand.
fn journal_share(control: &Control) -> Duration {
    let gateway = &control.gateway;
    let instances = gateway.state().directory.count() as f64;
    Duration::from_secs_f64(instances / (gateway.settings.writes * WRITE_SHARE))
}

/// Time between two writes to one part at which the whole fleet keeps to its share of that part.
fn part_share(control: &Control) -> Duration {
    let gateway = &control.gateway;
    let instances = gateway.state().directory.count() as f64;
    Duration::from_secs_f64(instances / (gateway.settings.part_writes * PART_SHARE))
}
