//! The journal of this instance: what its next process may have to be charged for.

use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::quota::Account;
use fescuewell_forward::quota::row::Journal;
use fescuewell_forward::version;

use super::fence::{learn_fence, read_fence};
use super::ledger::{LEDGERS, MONEY, decode_ledger};
use super::overdue::OVERDUE_MS;
use super::rows::{decode, place, read, read_within};
use super::{CALL, Control, PAUSE};
use crate::store::{Error, Outcome, ReadResponse, Row, RowId, Transaction};

/// Table of the instances' journals.
const JOURNALS: &str = "journal";

/// Journals stand each in a part of its own, since nobody else reads or writes them.
fn own_journal(control: &Control) -> RowId {
    let name = &control.gateway.settings.name;
    place(JOURNALS, name, name)
}

/// Reads the own journal, and waits for it so long.
pub(super) async fn read_own(control: &Control, limit: Duration) -> Result<ReadResponse, Error> {
    read_within(control, JOURNALS, &control.gateway.settings.name, limit).await
}

/// Takes over what the former process of this instance may have spent. Until that has succeeded nothing may be
/// spent, so it is tried until it does.
pub(super) async fn adopt(control: &Control) {
    while !try_adopt(control).await {
        tokio::time::sleep(PAUSE).await;
    }
}

async fn try_adopt(control: &Control) -> bool {
    let Ok(ledgers) = read(control, LEDGERS, MONEY).await else {
        return false;
    };
    let Ok(fence) = read_fence(control).await else {
        return false;
    };
    let gateway = &control.gateway;
    let asked_ms = gateway.now_ms();
    let Ok(journals) = read_own(control, CALL).await else {
        return false;
    };
    // The own clock began when this process started, and the former one had ended by then. Counting back from
    // the question to that moment keeps the time that the store could not be reached out of the charge.
    let ended_ms = journals.now_ms.saturating_sub(asked_ms);
    let mine = journals
        .rows
        .iter()
        .find(|row| *row.id.key == *gateway.settings.name);
    let known = mine.and_then(decode_journal);
    let version = mine.map_or(0, |row| row.version);
    let rows = ledgers.rows.iter();
    let rows: Vec<_> = rows
        .filter_map(|row| Some((row.id.key.clone(), row.version, decode_ledger(row)?)))
        .collect();
    let accounts = rows.len();
    let now_ms = gateway.now_ms();
    let era = version::era(journals.version);
    if [&ledgers, &fence].map(|reading| version::era(reading.version)) != [era, era] {
        // The store came back from a copy meanwhile.
        return false;
    }
    let journal = {
        let quota = &mut gateway.state().quota;
        quota.set_first(gateway.settings.is_first_start);
        quota.begin_era(era, now_ms);
        learn_fence(quota, &fence);
        quota.adopt(known.as_ref(), version, rows, ended_ms, now_ms)
    };
    let written = write_journal(control, &journal).await;
    if written {
        inherited(control, known.as_ref(), &journal);
        log_event!(
            Event::JournalAdopted,
            "incarnation={} accounts={accounts} journal_age_ms={}",
            journal.incarnation,
            known.map_or(0, |known| ended_ms.saturating_sub(known.at_ms))
        );
    }
    written
}

/// Logs what is charged for the former process, account by account.
fn inherited(control: &Control, known: Option<&Journal>, journal: &Journal) {
    let state = control.gateway.state();
    for entry in &journal.entries {
        let Some(before) = known.and_then(|known| known.entry(&entry.account)) else {
            continue;
        };
        let granted = state.quota.view(&entry.account).map_or(0, Account::granted);
        log_event!(
            Event::AllowanceReclaimed,
            "account={} recorded={} charged={} granted={granted}",
            entry.account,
            before.consumed,
            entry.consumed
        );
    }
}

pub(super) fn decode_journal(row: &Row) -> Option<Journal> {
    decode(row, Journal::decode)
}

/// Writes the journal as it stands.
pub(super) async fn journal(control: &Control) {
    if !control.gateway.state().quota.is_adopted() {
        return;
    }
    let now_ms = control.gateway.now_ms();
    let before = control.gateway.state().quota.exposure(now_ms);
    // An earlier try whose answer is missing is given again, and speaks of the time of that try.
    let is_given_again = control.gateway.state().quota.is_journal_unanswered();
    if !write(control).await {
        return;
    }
    if is_given_again && !write(control).await {
        return;
    }
    if before.age_ms < OVERDUE_MS || before.consumed == before.recorded {
        return;
    }
    log_event!(
        Event::JournalRenewed,
        "journal_age_ms={} recorded={} consumed={}",
        before.age_ms,
        before.recorded,
        before.consumed
    );
}

async fn write(control: &Control) -> bool {
    let now_ms = control.gateway.now_ms();
    let journal = control.gateway.state().quota.journal(now_ms);
    write_journal(control, &journal).await
}

async fn write_journal(control: &Control, journal: &Journal) -> bool {
    let gateway = &control.gateway;
    let version = gateway.state().quota.journal_version();
    let change = Transaction {
        preconditions: vec![(own_journal(control), version)],
        puts: vec![(own_journal(control), journal.encode())],
        deletes: Vec::new(),
    };
    let commit = control.store.commit(&change);
    let outcome = control.call("journal_write", CALL, commit).await;
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    match outcome {
        Ok(Outcome::Committed {
            version,
            now_ms: store_ms,
        }) => {
            state.quota.clock(store_ms, now_ms);
            state.quota.journal_written(journal, version);
            true
        }
        Ok(Outcome::Conflict(reading)) => {
            // An earlier write of this process took effect although its reply was lost.
            for row in &reading.rows {
                let Some(found) = decode_journal(row) else {
                    continue;
                };
                let was_adopted = state.quota.is_adopted();
                if !state.quota.journal_found(&found, row.version) && was_adopted {
                    log_event!(Event::JournalLost, "incarnation={}", found.incarnation);
                }
            }
            state.quota.is_adopted()
        }
        Err(Error::NotApplied { .. }) => {
            state.quota.journal_dropped();
            false
        }
        Err(_) => {
            state.quota.journal_unknown();
            false
        }
    }
}
