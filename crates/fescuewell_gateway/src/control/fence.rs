//! The fence row, and recovery after the store was restored from a backup. See
//! [`fescuewell_forward::quota::era`].

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::quota::Quota;
use fescuewell_forward::quota::era::Fence;
use fescuewell_forward::version;

use super::journal::{decode_journal, read_journal};
use super::ledger::{LEDGER_PARTITION, LEDGER_TABLE, decode_ledger};
use super::rows::{decode, read, read_row, row_id};
use super::{CALL_TIMEOUT, Control};
use crate::store::{Error, Outcome, ReadResponse, Row, RowId, Transaction};

/// Table and key of the fence. Every ledger transaction has its version as a precondition, so it is
/// stored in the ledgers' partition.
const FENCE: &str = "fence";

/// Returns the identifier of the fence row.
pub(super) fn fence_id() -> RowId {
    row_id(FENCE, LEDGER_PARTITION, FENCE)
}

/// Reads the fence row.
pub(super) async fn read_fence(control: &Control) -> Result<ReadResponse, Error> {
    read_row(control, &fence_id()).await
}

/// Applies the fence in a response, if there is one.
pub(super) fn apply_fence(quota: &mut Quota, response: &ReadResponse) {
    for row in &response.rows {
        if &*row.id.table != FENCE {
            continue;
        }
        if let Some(fence) = decode_fence(row) {
            quota.observe_fence(row.version, fence);
        }
    }
}

fn decode_fence(row: &Row) -> Option<Fence> {
    decode(row, Fence::decode)
}

/// Moves to the store's current era if the store was restored from a backup. Returns `true` if this
/// instance is in the current era.
///
/// Before that, the rows it knows belong to an earlier era, and no transaction on them may be sent.
pub(super) async fn enter_era(control: &Control) -> bool {
    let gateway = &control.gateway;
    let former = gateway.state().quota.era();
    if control.store.era() == former {
        return true;
    }
    let responses = (
        read(control, LEDGER_TABLE, LEDGER_PARTITION).await,
        read_fence(control).await,
        read_journal(control, CALL_TIMEOUT).await,
    );
    let (Ok(ledgers), Ok(fence), Ok(journals)) = responses else {
        return false;
    };
    let era = version::era(journals.version);
    if [&ledgers, &fence].map(|response| version::era(response.version)) != [era, era] {
        return false;
    }
    let rows = ledgers.rows.iter();
    let rows = rows.filter_map(|row| {
        let ledger = decode_ledger(row)?;
        Some((row.id.key.clone(), row.version, ledger))
    });
    let rows = rows.collect();
    let own = journals.rows.iter();
    let mut own = own.filter(|row| row.id.key == gateway.settings.name);
    let journal = own
        .next()
        .and_then(|row| Some((row.version, decode_journal(row)?)));
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    state.quota.resync(era, journal, rows, now_ms);
    apply_fence(&mut state.quota, &fence);
    log_event!(Event::StoreRestored, "era={era} before={former}");
    true
}

/// Logs the grants that this instance has confirmed in the current era.
pub(super) fn log_confirmations(quota: &mut Quota) {
    for confirmation in quota.take_confirmations() {
        log_event!(
            Event::GrantConfirmed,
            "account={} era={} granted={} consumed={} borrowed={}",
            confirmation.account,
            confirmation.era,
            confirmation.granted,
            confirmation.consumed,
            confirmation.borrowed
        );
    }
}

/// Writes the fence if it is due.
pub(super) async fn renew_fence(control: &Control) {
    let now_ms = control.gateway.now_ms();
    let (version, next) = {
        let state = control.gateway.state();
        (state.quota.fence().0, state.quota.next_fence(now_ms))
    };
    let Some(fence) = next else {
        return;
    };
    let transaction = Transaction {
        preconditions: vec![(fence_id(), version)],
        puts: vec![(fence_id(), fence.encode())],
        deletes: Vec::new(),
    };
    let commit = control.store.commit(&transaction);
    let outcome = control.call("fence", CALL_TIMEOUT, commit).await;
    let mut state = control.gateway.state();
    match outcome {
        Ok(Outcome::Committed { version, .. }) => {
            if let Some(unconfirmed) = &fence.unconfirmed {
                log_event!(
                    Event::EraSettled,
                    "era={} missed={}",
                    fence.era,
                    unconfirmed.join(",")
                );
            }
            state.quota.observe_fence(version, fence);
        }
        Ok(Outcome::Conflict(response)) => apply_fence(&mut state.quota, &response),
        // `call` has recorded the failure; the next reconciliation retries.
        Err(_) => {}
    }
}
