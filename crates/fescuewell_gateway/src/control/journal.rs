//! The journal of this instance, which bounds what its next process is charged for.

use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::quota::Account;
use fescuewell_forward::quota::row::Journal;
use fescuewell_forward::version;

use super::fence::{apply_fence, read_fence};
use super::ledger::{LEDGER_PARTITION, LEDGER_TABLE, decode_ledger};
use super::overdue::OVERDUE_MS;
use super::rows::{decode, read, read_within, row_id};
use super::{CALL_TIMEOUT, Control, RETRY_DELAY};
use crate::store::{Error, Outcome, ReadResponse, Row, RowId, Transaction};

/// Table of the instances' journals.
const JOURNAL_TABLE: &str = "journal";

/// Each journal has its own partition, since no other instance reads or writes it.
fn journal_id(control: &Control) -> RowId {
    let name = &control.gateway.settings.name;
    row_id(JOURNAL_TABLE, name, name)
}

/// Reads this instance's journal.
pub(super) async fn read_journal(
    control: &Control,
    limit: Duration,
) -> Result<ReadResponse, Error> {
    read_within(
        control,
        JOURNAL_TABLE,
        &control.gateway.settings.name,
        limit,
    )
    .await
}

/// Takes over the consumption of the previous process. Retries until it succeeds, because no token
/// may be spent before.
pub(super) async fn adopt(control: &Control) {
    while !try_adopt(control).await {
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn try_adopt(control: &Control) -> bool {
    let Ok(ledgers) = read(control, LEDGER_TABLE, LEDGER_PARTITION).await else {
        return false;
    };
    let Ok(fence) = read_fence(control).await else {
        return false;
    };
    let gateway = &control.gateway;
    let requested_ms = gateway.now_ms();
    let Ok(journals) = read_journal(control, CALL_TIMEOUT).await else {
        return false;
    };
    // The local clock starts at 0 with this process, when the previous one has already ended. The
    // store time of that moment is used, so that the time for which the store was unreachable since
    // then is not charged.
    let ended_ms = journals.now_ms.saturating_sub(requested_ms);
    let own = journals
        .rows
        .iter()
        .find(|row| *row.id.key == *gateway.settings.name);
    let known = own.and_then(decode_journal);
    let version = own.map_or(0, |row| row.version);
    let rows = ledgers.rows.iter();
    let rows: Vec<_> = rows
        .filter_map(|row| Some((row.id.key.clone(), row.version, decode_ledger(row)?)))
        .collect();
    let accounts = rows.len();
    let now_ms = gateway.now_ms();
    let era = version::era(journals.version);
    if [&ledgers, &fence].map(|response| version::era(response.version)) != [era, era] {
        // The store was restored from a backup in the meantime.
        return false;
    }
    let journal = {
        let quota = &mut gateway.state().quota;
        quota.set_first_start(gateway.settings.is_first_start);
        quota.begin_era(era, now_ms);
        apply_fence(quota, &fence);
        quota.adopt(known.as_ref(), version, rows, ended_ms, now_ms)
    };
    let written = write_journal(control, &journal).await;
    if written {
        log_charges(control, known.as_ref(), &journal);
        let entries = journal.entries.iter();
        log_event!(
            Event::JournalAdopted,
            "incarnation={} accounts={accounts} returning={} journal_age_ms={}",
            journal.incarnation,
            entries.filter(|entry| entry.max.is_some()).count(),
            known.map_or(0, |known| ended_ms.saturating_sub(known.at_ms))
        );
    }
    written
}

/// Logs the charge for the previous process, per account.
fn log_charges(control: &Control, known: Option<&Journal>, journal: &Journal) {
    let state = control.gateway.state();
    for entry in &journal.entries {
        let Some(before) = known.and_then(|known| known.entry(&entry.account)) else {
            continue;
        };
        let granted = state
            .quota
            .account(&entry.account)
            .map_or(0, Account::granted);
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

/// Writes a new journal. Returns whether it is in force.
pub(super) async fn renew_journal(control: &Control) -> bool {
    if !control.gateway.state().quota.is_adopted() {
        return false;
    }
    let now_ms = control.gateway.now_ms();
    let before = control.gateway.state().quota.exposure(now_ms);
    // A journal whose response was lost is resent unchanged, with the time of the first attempt.
    let is_resend = control.gateway.state().quota.is_journal_pending();
    if !write_current(control).await {
        return false;
    }
    if is_resend && !write_current(control).await {
        return false;
    }
    if before.age_ms < OVERDUE_MS || before.consumed == before.recorded {
        return true;
    }
    log_event!(
        Event::JournalRenewed,
        "journal_age_ms={} recorded={} consumed={}",
        before.age_ms,
        before.recorded,
        before.consumed
    );
    true
}

async fn write_current(control: &Control) -> bool {
    let now_ms = control.gateway.now_ms();
    let journal = control.gateway.state().quota.next_journal(now_ms);
    write_journal(control, &journal).await
}

async fn write_journal(control: &Control, journal: &Journal) -> bool {
    let gateway = &control.gateway;
    let version = gateway.state().quota.journal_version();
    let transaction = Transaction {
        preconditions: vec![(journal_id(control), version)],
        puts: vec![(journal_id(control), journal.encode())],
        deletes: Vec::new(),
    };
    let commit = control.store.commit(&transaction);
    let outcome = control.call("journal_write", CALL_TIMEOUT, commit).await;
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    match outcome {
        Ok(Outcome::Committed {
            version,
            now_ms: store_ms,
        }) => {
            state.quota.observe_clock(store_ms, now_ms);
            state.quota.journal_written(journal, version);
            true
        }
        Ok(Outcome::Conflict(response)) => {
            // Either an earlier write of this process was applied although its response was lost,
            // or another process now writes this journal.
            for row in &response.rows {
                let Some(found) = decode_journal(row) else {
                    continue;
                };
                let was_adopted = state.quota.is_adopted();
                if !state.quota.resolve_conflict(&found, row.version) && was_adopted {
                    log_event!(Event::JournalLost, "incarnation={}", found.incarnation);
                }
            }
            state.quota.is_adopted()
        }
        Err(Error::NotApplied { .. }) => {
            state.quota.journal_rejected();
            false
        }
        Err(_) => {
            state.quota.journal_unknown();
            false
        }
    }
}
