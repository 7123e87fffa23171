//! The ledgers of the client accounts, which all instances update with optimistic concurrency
//! control.

use std::cmp::Ordering;
use std::sync::Arc;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::quota::row::Ledger;
use fescuewell_forward::quota::{Account, Quota};

use super::fence::{apply_fence, fence_id, log_confirmations, renew_fence};
use super::journal::renew_journal;
use super::rows::{decode, read, read_row, row_id};
use super::{CALL_TIMEOUT, Control};
use crate::store::{Outcome, ReadResponse, Row, Transaction};

/// Table of the accounts' ledgers.
pub(super) const LEDGER_TABLE: &str = "ledger";
/// Partition of the ledgers.
pub(super) const LEDGER_PARTITION: &str = "money";
/// Maximum number of accounts whose rows are read one by one. That is less data than a full read,
/// which takes about 35 kB with 40 accounts and 25 holders.
const MAX_SINGLE_READS: usize = 5;
/// The same as a fraction of all accounts, as a divisor: the rows of hundreds take more data.
const SINGLE_READS_DIVISOR: usize = 16;
/// One reconciliation in so many reads the rows of all accounts.
const FULL_READ_PERIOD: u64 = 4;
/// Maximum number of rows in one transaction. A conflict on one row fails the others with it, and
/// each transaction costs a call.
const MAX_ROWS: usize = 10;
/// Maximum number of attempts to update ledgers that other instances update at the same time.
const MAX_ATTEMPTS: usize = 6;

pub(super) fn decode_ledger(row: &Row) -> Option<Ledger> {
    decode(row, Ledger::decode)
}

/// Applies the ledgers and the fence in a response.
fn apply_rows(quota: &mut Quota, response: &ReadResponse) {
    apply_fence(quota, response);
    for row in &response.rows {
        if &*row.id.table != LEDGER_TABLE {
            continue;
        }
        let Some(ledger) = decode_ledger(row) else {
            continue;
        };
        let name = row.id.key.clone();
        observe(quota, &name, row.version, ledger, response.now_ms);
    }
    log_confirmations(quota);
}

/// Reads the ledgers for a reconciliation. Usually reads only the accounts in use on this instance,
/// one by one if they are few, as on most instances of a large fleet. Every few rounds it reads all
/// accounts, because during a store outage the ledger of any account shows which instances can
/// lend.
///
/// Returns the number of bytes read.
pub(super) async fn read_ledgers(control: &Control, round: u64) -> usize {
    let (accounts, known) = {
        let now_ms = control.gateway.now_ms();
        let mut state = control.gateway.state();
        let known = state.quota.prepaid_accounts().len();
        (state.quota.active_accounts(now_ms), known)
    };
    let max_single_reads = MAX_SINGLE_READS.max(known / SINGLE_READS_DIVISOR);
    let is_full_round = round.is_multiple_of(FULL_READ_PERIOD) && control.cadence().knows_all();
    if accounts.len() > max_single_reads || is_full_round {
        let Ok(response) = read(control, LEDGER_TABLE, LEDGER_PARTITION).await else {
            return 0;
        };
        apply_rows(&mut control.gateway.state().quota, &response);
        return response.size();
    }
    let mut bytes = 0;
    for name in accounts {
        let id = row_id(LEDGER_TABLE, LEDGER_PARTITION, &name);
        let Ok(response) = read_row(control, &id).await else {
            break;
        };
        apply_rows(&mut control.gateway.state().quota, &response);
        bytes += response.size();
    }
    bytes
}

/// Updates the ledgers of the accounts as planned, and retries on conflicts with other instances. Writes
/// the journal before returns that it has to announce.
pub(super) async fn reconcile(control: &Control, accounts: &[Arc<str>]) {
    for _ in 0..MAX_ATTEMPTS {
        renew_fence(control).await;
        let updates = plan_updates(control, accounts);
        let announces = announces_returns(control);
        if updates.is_empty() && !announces {
            return;
        }
        let mut has_conflict = false;
        for updates in updates.chunks(MAX_ROWS) {
            match write_ledgers(control, updates).await {
                Some(true) => {}
                Some(false) => has_conflict = true,
                None => return,
            }
        }
        if announces && !renew_journal(control).await {
            return;
        }
        if !has_conflict && !announces {
            return;
        }
    }
}

/// Returns whether a journal is to be written now because returns wait for it. Between two journals at the
/// interval of this fleet they wait for the next one.
fn announces_returns(control: &Control) -> bool {
    let now_ms = control.gateway.now_ms();
    let interval = control.cadence().journal();
    let is_draining = control.gateway.is_draining();
    let state = control.gateway.state();
    let age_ms = state.quota.exposure(now_ms).age_ms;
    let is_due = is_draining || u128::from(age_ms) >= interval.as_millis();
    is_due && state.quota.has_unannounced_returns()
}

/// A new ledger for an account, and the version that it replaces.
struct LedgerUpdate {
    account: Arc<str>,
    version: u64,
    ledger: Ledger,
}

fn plan_updates(control: &Control, accounts: &[Arc<str>]) -> Vec<LedgerUpdate> {
    let now_ms = control.gateway.now_ms();
    let mut state = control.gateway.state();
    let mut updates = Vec::new();
    for account in accounts {
        let Some((version, ledger)) = state.quota.plan(account, now_ms) else {
            continue;
        };
        let account = account.clone();
        updates.push(LedgerUpdate {
            account,
            version,
            ledger,
        });
    }
    updates
}

/// Writes ledgers in one transaction. Returns whether it was applied, or `None` if that is unknown.
async fn write_ledgers(control: &Control, updates: &[LedgerUpdate]) -> Option<bool> {
    let mut transaction = Transaction::default();
    let fence = control.gateway.state().quota.fence().0;
    transaction.preconditions.push((fence_id(), fence));
    for update in updates {
        let id = row_id(LEDGER_TABLE, LEDGER_PARTITION, &update.account);
        transaction.preconditions.push((id.clone(), update.version));
        transaction.puts.push((id, update.ledger.encode()));
    }
    let commit = control.store.commit(&transaction);
    let outcome = control.call("plan", CALL_TIMEOUT, commit).await;
    let now_ms = control.gateway.now_ms();
    let mut state = control.gateway.state();
    match outcome {
        Ok(Outcome::Committed {
            version,
            now_ms: store_ms,
        }) => {
            state.quota.observe_clock(store_ms, now_ms);
            for update in updates {
                let ledger = update.ledger.clone();
                let quota = &mut state.quota;
                observe(quota, &update.account, version, ledger, store_ms);
            }
            log_confirmations(&mut state.quota);
            Some(true)
        }
        Ok(Outcome::Conflict(response)) => {
            state.quota.observe_clock(response.now_ms, now_ms);
            apply_rows(&mut state.quota, &response);
            Some(false)
        }
        Err(_) => None,
    }
}

/// Updates the ledger of an account and logs a change of this instance's grant, also one whose write
/// had no response.
fn observe(quota: &mut Quota, name: &Arc<str>, version: u64, ledger: Ledger, store_ms: u64) {
    let all_granted = ledger.total();
    let before = quota.account(name).map_or(0, Account::row_grant);
    quota.observe_ledger(name, version, ledger, store_ms);
    let Some(account) = quota.account(name).filter(|_| quota.is_adopted()) else {
        return;
    };
    // The usable grant is lowered when a return is sent, so it does not change here.
    let granted = account.row_grant();
    let event = match granted.cmp(&before) {
        Ordering::Greater => Event::AllowanceDrawn,
        Ordering::Less => Event::AllowanceReturned,
        Ordering::Equal => return,
    };
    log_event!(
        event,
        "account={name} before={before} granted={granted} consumed={} prepaid={} all_granted={all_granted}",
        account.consumed(),
        account.prepaid().unwrap_or_default(),
    );
}
