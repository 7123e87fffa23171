//! Schedules the synchronization of grants, journal and membership with the store.
//!
//! There are two kinds of transactions. The *journal* of this instance and its member row are
//! written by this instance only. The *ledgers* of the client accounts are updated by all
//! instances, with version preconditions.
//!
//! Three loops run concurrently, so that none blocks another: the journal, draws for waiting
//! requests, and the reconciliation of all accounts with the heartbeat. In a single loop, a journal
//! that requests wait for is delayed by the conflicts of a reconciliation, and this instance
//! refuses those requests although it holds tokens.

use std::time::Duration;

use fescuewell_forward::directory::MAX_MISSED_HEARTBEATS;
use tokio::time::Instant;

use super::Control;
use super::fence::enter_era;
use super::journal::{adopt, renew_journal};
use super::ledger::{read_ledgers, reconcile};
use super::lending;
use super::members::{read_members, write_heartbeat};
use super::overdue::is_overdue;
use super::watch::advance_stage;

/// Interval between two journals in a small fleet. After a restart, the consumption is known as of
/// the last journal.
const JOURNAL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two journals while this instance holds no tokens.
const IDLE_JOURNAL_INTERVAL: Duration = Duration::from_secs(4);
/// Interval stated by the heartbeat at the first start of the fleet, whose size is not known yet.
/// The store needs seconds to commit the heartbeats of hundreds of instances.
const FIRST_INTERVAL: Duration = Duration::from_secs(8);
/// Interval at which an instance checks whether its heartbeats must become more frequent.
const CADENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of reconciliation intervals for which a ledger read from the store proves that an account
/// is exhausted.
const FRESHNESS_INTERVALS: f64 = 2.5;
/// Minimum interval between two draws for waiting requests.
const MIN_DRAW_INTERVAL: Duration = Duration::from_millis(40);
/// Minimum interval between two journals for waiting requests.
const MIN_JOURNAL_INTERVAL: Duration = Duration::from_millis(15);
/// Number of minimum journal intervals whose demand a journal permits at once.
const BURST_INTERVALS: u32 = 2;
/// Synchronizes grants, journal and membership with the store.
pub(super) async fn run(control: &Control) {
    adopt(control).await;
    // Must run before the instance is ready, and before its own heartbeat overwrites the member row
    // of its previous process.
    read_members(control).await;
    advance_stage(control);
    lending::load_key(control).await;
    if !control.gateway.settings.is_first_start {
        control.members_known.send_replace(true);
    }
    let first_interval = match control.gateway.settings.is_first_start {
        true => FIRST_INTERVAL,
        false => control.cadence().heartbeat(),
    };
    write_heartbeat(control, first_interval).await;
    tokio::join!(
        heartbeat_loop(control, first_interval),
        journal_loop(control),
        draw_loop(control),
        reconcile_loop(control)
    );
}

/// Writes the heartbeat periodically, and early when this instance becomes active or drains.
async fn heartbeat_loop(control: &Control, first_interval: Duration) {
    let gateway = &control.gateway;
    let mut written = first_interval;
    let mut next = Instant::now() + control.jitter(written);
    let mut is_leaving = false;
    loop {
        tokio::time::sleep_until(next.min(Instant::now() + CADENCE_CHECK_INTERVAL)).await;
        let interval = control.cadence().heartbeat();
        let is_faster = interval * 2 < written;
        let has_begun_to_leave = gateway.is_draining() && !is_leaving;
        if Instant::now() < next && !is_faster && !has_begun_to_leave {
            continue;
        }
        is_leaving = gateway.is_draining();
        write_heartbeat(control, interval).await;
        written = interval;
        next = Instant::now() + control.jitter(interval);
    }
}

/// Renews the journal periodically, and at once when a request waits for it.
async fn journal_loop(control: &Control) {
    let gateway = &control.gateway;
    let mut written_at = Instant::now();
    let mut next = written_at;
    loop {
        let requested = control.inbox.journal_requests.recv_async();
        let is_requested = matches!(tokio::time::timeout_at(next, requested).await, Ok(Ok(())));
        let min_interval = min_journal_interval(control);
        if is_requested && !is_overdue(control) {
            // An overdue journal is not delayed: a kill now would be charged for all of that time.
            tokio::time::sleep_until(written_at + min_interval).await;
        }
        let is_depleted = gateway.state().quota.is_depleted();
        let cadence = control.cadence();
        let interval = match is_depleted {
            true if cadence.reconciles() => IDLE_JOURNAL_INTERVAL,
            true => IDLE_JOURNAL_INTERVAL.max(cadence.heartbeat()),
            false => JOURNAL_INTERVAL,
        };
        let burst_ms = (min_interval * BURST_INTERVALS).as_millis() as u64;
        gateway.state().quota.set_burst(burst_ms);
        if enter_era(control).await {
            renew_journal(control).await;
        }
        if gateway.state().quota.has_announced_returns() {
            gateway.request_plan();
        }
        written_at = Instant::now();
        next = written_at + control.jitter(interval.max(cadence.journal()));
        gateway.notify_token_changes();
    }
}

/// Draws tokens for waiting requests and returns those that a journal has announced; all when the
/// instance drains.
async fn draw_loop(control: &Control) {
    let gateway = &control.gateway;
    while control.inbox.plan_requests.recv_async().await.is_ok() {
        let is_draining = gateway.is_draining();
        let accounts = match is_draining {
            true => gateway.state().quota.prepaid_accounts(),
            false => gateway.state().quota.urgent_accounts(),
        };
        if enter_era(control).await {
            reconcile(control, &accounts).await;
        }
        if is_draining {
            renew_journal(control).await;
        }
        gateway.notify_token_changes();
        tokio::time::sleep(MIN_DRAW_INTERVAL).await;
    }
}

/// Reads the members and reconciles all grants.
async fn reconcile_loop(control: &Control) {
    let gateway = &control.gateway;
    let mut bytes = 0;
    for round in 0.. {
        let interval = control.jitter(control.cadence().round(bytes));
        let next = Instant::now() + interval;
        // At the first start of the fleet, the others write their first heartbeats meanwhile.
        let is_too_early = round == 0 && gateway.settings.is_first_start;
        if !is_too_early {
            bytes = read_members(control).await;
            control.members_known.send_replace(true);
        }
        gateway.update_gate();
        if enter_era(control).await && control.cadence().reconciles() {
            bytes += read_ledgers(control, round).await;
            let accounts = gateway.state().quota.prepaid_accounts();
            reconcile(control, &accounts).await;
        }
        lending::load_key(control).await;
        set_staleness(control, interval);
        tokio::time::sleep_until(next).await;
    }
}

/// Adapts the staleness limits to the interval at which the data is renewed.
fn set_staleness(control: &Control, interval: Duration) {
    let heartbeat = control.cadence().heartbeat();
    let mut state = control.gateway.state();
    let member_timeout = heartbeat * MAX_MISSED_HEARTBEATS;
    state
        .directory
        .set_member_timeout(member_timeout.as_millis() as u64);
    let ledger_max_age = interval.mul_f64(FRESHNESS_INTERVALS);
    state
        .quota
        .set_ledger_max_age(ledger_max_age.as_millis() as u64);
}

/// Returns the minimum interval between two journals of one instance while requests wait for them.
fn min_journal_interval(control: &Control) -> Duration {
    MIN_JOURNAL_INTERVAL.max(control.cadence().journal())
}
