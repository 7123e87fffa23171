//! The eras of the store: what is done when it has come back from a copy. See [`fescuewell_forward::quota::era`].

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::quota::Quota;
use fescuewell_forward::quota::era::Fence;
use fescuewell_forward::version;

use super::journal::{decode_journal, read_own};
use super::ledger::{LEDGERS, MONEY, decode_ledger};
use super::rows::{decode, place, read, read_row};
use super::{CALL, Control};
use crate::store::{Error, Outcome, ReadResponse, Row, RowId, Transaction};

/// Table and key of the row that each transaction on ledgers expects. It stands in their part.
const FENCE: &str = "fence";

/// Where the fence stands.
pub(super) fn fence_place() -> RowId {
    place(FENCE, MONEY, FENCE)
}

/// Reads the fence.
pub(super) async fn read_fence(control: &Control) -> Result<ReadResponse, Error> {
    read_row(control, &fence_place()).await
}

/// Takes the fence of a reading, if there is one.
pub(super) fn learn_fence(quota: &mut Quota, reading: &ReadResponse) {
    for row in &reading.rows {
        if &*row.id.table != FENCE {
            continue;
        }
        if let Some(fence) = decode_fence(row) {
            quota.learn_fence(row.version, fence);
        }
    }
}

fn decode_fence(row: &Row) -> Option<Fence> {
    decode(row, Fence::decode)
}

/// Goes over to the store's present era if it has come back from a copy; returns whether this instance has.
///
/// Until then the rows that it knows are those of a former era, and no transaction on them is sent.
pub(super) async fn enter(control: &Control) -> bool {
    let gateway = &control.gateway;
    let former = gateway.state().quota.era();
    if control.store.era() == former {
        return true;
    }
    let readings = (
        read(control, LEDGERS, MONEY).await,
        read_fence(control).await,
        read_own(control, CALL).await,
    );
    let (Ok(ledgers), Ok(fence), Ok(journals)) = readings else {
        return false;
    };
    let era = version::era(journals.version);
    if [&ledgers, &fence].map(|reading| version::era(reading.version)) != [era, era] {
        return false;
    }
    let rows = ledgers.rows.iter();
    let rows = rows.filter_map(|row| {
        let ledger = decode_ledger(row)?;
        Some((row.id.key.clone(), row.version, ledger))
    });
    let rows = rows.collect();
    let mine = journals.rows.iter();
    let mut mine = mine.filter(|row| row.id.key == gateway.settings.name);
    let journal = mine
        .next()
        .and_then(|row| Some((row.version, decode_journal(row)?)));
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    state.quota.restore(era, journal, rows, now_ms);
    learn_fence(&mut state.quota, &fence);
    log_event!(Event::StoreRestored, "era={era} before={former}");
    true
}

/// Writes the fence where that is due.
pub(super) async fn renew(control: &Control) {
    let now_ms = control.gateway.now_ms();
    let (version, next) = {
        let state = control.gateway.state();
        (state.quota.fence().0, state.quota.next_fence(now_ms))
    };
    let Some(fence) = next else {
        return;
    };
    let change = Transaction {
        preconditions: vec![(fence_place(), version)],
        puts: vec![(fence_place(), fence.encode())],
        deletes: Vec::new(),
    };
    let commit = control.store.commit(&change);
    let outcome = control.call("fence", CALL, commit).await;
    let mut state = control.gateway.state();
    match outcome {
        Ok(Outcome::Committed { version, .. }) => {
            if let Some(missed) = &fence.missed {
                log_event!(
                    Event::EraSettled,
                    "era={} missed={}",
                    fence.era,
                    missed.join(",")
                );
            }
            state.quota.learn_fence(version, fence);
        }
        Ok(Outcome::Conflict(reading)) => learn_fence(&mut state.quota, &reading),
        // `call` has noted the failure; the next plan tries again.
        Err(_) => {}
    }
}
