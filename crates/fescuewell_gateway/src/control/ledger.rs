//! The ledgers of the client accounts, which all instances change on condition of their versions.

use std::cmp::Ordering;
use std::sync::Arc;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::quota::Quota;
use fescuewell_forward::quota::row::Ledger;

use super::fence::{fence_place, learn_fence, renew};
use super::rows::{decode, place, read, read_row};
use super::{CALL, Control};
use crate::store::{Outcome, ReadResponse, Row, Transaction};

/// Table of the accounts' ledgers.
pub(super) const LEDGERS: &str = "ledger";
/// Part of the ledgers.
pub(super) const MONEY: &str = "money";
/// Accounts up to which their rows are read one by one: together they are smaller than the rows of all accounts, of which a call
/// that reads everything has some 35 kB with 40 accounts and 25 holders.
const MOST_SINGLE: usize = 5;
/// Plans of which one reads the rows of all accounts.
const WHOLE_EACH: u64 = 4;
/// Rows in one transaction: one that is in conflict holds up the others, and each costs a call.
const ROWS: usize = 10;
/// Tries to change ledgers that others change at the same time.
const TRIES: usize = 6;

pub(super) fn decode_ledger(row: &Row) -> Option<Ledger> {
    decode(row, Ledger::decode)
}

/// Takes the rows of a reading.
fn learn(quota: &mut Quota, reading: &ReadResponse) {
    learn_fence(quota, reading);
    for row in &reading.rows {
        if &*row.id.table != LEDGERS {
            continue;
        }
        let Some(ledger) = decode_ledger(row) else {
            continue;
        };
        let name = row.id.key.clone();
        quota.learn(&name, row.version, ledger, reading.now_ms);
    }
}

/// Reads the accounts' rows before the plan of this number. Mostly only those in use here, one by one where they are few, as at most
/// instances of a large fleet; now and then all, since in a cut the row of any account tells who can lend.
pub(super) async fn ledgers(control: &Control, number: u64) {
    let names = {
        let now_ms = control.gateway.now_ms();
        control.gateway.state().quota.names_in_use(now_ms)
    };
    if names.len() > MOST_SINGLE || number.is_multiple_of(WHOLE_EACH) {
        let Ok(reading) = read(control, LEDGERS, MONEY).await else {
            return;
        };
        return learn(&mut control.gateway.state().quota, &reading);
    }
    for name in names {
        let place = place(LEDGERS, MONEY, &name);
        let Ok(reading) = read_row(control, &place).await else {
            return;
        };
        learn(&mut control.gateway.state().quota, &reading);
    }
}

/// Brings the ledgers of the accounts to what the plan says, against others who do the same.
pub(super) async fn plan(control: &Control, names: &[Arc<str>]) {
    for _ in 0..TRIES {
        renew(control).await;
        let drafts = draft(control, names);
        if drafts.is_empty() {
            return;
        }
        let mut is_conflict = false;
        for drafts in drafts.chunks(ROWS) {
            match write_ledgers(control, drafts).await {
                Some(true) => {}
                Some(false) => is_conflict = true,
                None => return,
            }
        }
        if !is_conflict {
            return;
        }
    }
}

/// A row that is to replace an account's ledger of this version.
struct Draft {
    account: Arc<str>,
    version: u64,
    ledger: Ledger,
}

fn draft(control: &Control, names: &[Arc<str>]) -> Vec<Draft> {
    let now_ms = control.gateway.now_ms();
    let mut state = control.gateway.state();
    let mut drafts = Vec::new();
    for account in names {
        let Some((version, ledger)) = state.quota.plan(account, now_ms) else {
            continue;
        };
        let account = account.clone();
        drafts.push(Draft {
            account,
            version,
            ledger,
        });
    }
    drafts
}

/// Writes some ledgers in one transaction: whether it took effect, or nothing when that is not known.
async fn write_ledgers(control: &Control, drafts: &[Draft]) -> Option<bool> {
    let mut change = Transaction::default();
    let fence = control.gateway.state().quota.fence().0;
    change.preconditions.push((fence_place(), fence));
    for draft in drafts {
        let place = place(LEDGERS, MONEY, &draft.account);
        change.preconditions.push((place.clone(), draft.version));
        change.puts.push((place, draft.ledger.encode()));
    }
    let commit = control.store.commit(&change);
    let outcome = control.call("plan", CALL, commit).await;
    let now_ms = control.gateway.now_ms();
    let mut state = control.gateway.state();
    match outcome {
        Ok(Outcome::Committed {
            version,
            now_ms: store_ms,
        }) => {
            state.quota.clock(store_ms, now_ms);
            for draft in drafts {
                tell(&state.quota, &draft.account, &draft.ledger);
                let ledger = draft.ledger.clone();
                state.quota.learn(&draft.account, version, ledger, store_ms);
            }
            Some(true)
        }
        Ok(Outcome::Conflict(reading)) => {
            state.quota.clock(reading.now_ms, now_ms);
            learn(&mut state.quota, &reading);
            Some(false)
        }
        Err(_) => None,
    }
}

/// Logs how the own grant of an account changes.
fn tell(quota: &Quota, name: &str, ledger: &Ledger) {
    let Some(account) = quota.view(name) else {
        return;
    };
    let before = account.granted();
    let granted = ledger.granted(quota.holder());
    let event = match granted.cmp(&before) {
        Ordering::Greater => Event::AllowanceDrawn,
        Ordering::Less => Event::AllowanceReturned,
        Ordering::Equal => return,
    };
    log_event!(
        event,
        "account={name} before={before} granted={granted} consumed={} prepaid={} all_granted={}",
        account.consumed(),
        account.prepaid().unwrap_or_default(),
        ledger.total()
    );
}
