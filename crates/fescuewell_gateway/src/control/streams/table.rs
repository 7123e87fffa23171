//! Records in the store, of instances that do not reach all others.
//!
//! Instances of a small fleet that are cut off from each other, but not from the store, find each other's
//! records there. Nothing is written while all instances are in reach, or by a large fleet, whose instances
//! do not exchange messages with every other one.

use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::stream::{Batch, Record};
use tokio::sync::oneshot;

use crate::control::rows::{log_unreadable, read_within, row_id};
use crate::control::{CALL_TIMEOUT, Control};
use crate::store::{RowId, Transaction};

/// Table and partition of the rows, one for each instance.
const TABLE: &str = "streams";
/// Maximum number of records in a row, which must fit 64 KiB.
const MAX_ROW_RECORDS: usize = 3_000;
/// Minimum interval between two checks of the instances in reach.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Fraction of the store's write capacity that the rows of all instances may use together.
const WRITE_SHARE: f64 = 0.05;
/// Timeout of a read of the table. The look-ups that wait for it have one as well.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Writes the records of this instance while others are out of reach, and reads those of others.
pub(in crate::control) async fn sync(control: &Control) {
    if control.gateway.settings.peer.is_some() {
        tokio::join!(publish(control), serve_reads(control));
    }
}

async fn publish(control: &Control) {
    let gateway = &control.gateway;
    let mut is_published = false;
    loop {
        tokio::time::sleep(control.jitter(interval(control))).await;
        if gateway.state().directory.is_large() {
            continue;
        }
        let records = own_records(control);
        if records.is_empty() && !is_published {
            continue;
        }
        let lost = gateway.check_reach();
        let publishes = lost > 0 && !records.is_empty();
        if publishes != is_published {
            log_event!(
                Event::StreamsPublished,
                "published={publishes} out_of_reach={lost} records={}",
                records.len()
            );
        }
        if publishes || is_published {
            is_published = write(control, records, publishes).await;
        }
    }
}

fn interval(control: &Control) -> Duration {
    let instances = control.gateway.state().directory.count() as f64;
    let writes_per_s = control.gateway.settings.writes_per_s * WRITE_SHARE;
    MIN_INTERVAL.max(Duration::from_secs_f64(instances / writes_per_s))
}

fn own_records(control: &Control) -> Vec<Record> {
    let now_ms = control.gateway.now_ms();
    let state = control.gateway.state();
    state.own_streams.remaining(MAX_ROW_RECORDS, now_ms)
}

/// Writes the row of this instance, or removes it. Returns `true` if the row may exist afterwards.
async fn write(control: &Control, records: Vec<Record>, publishes: bool) -> bool {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    let batch = Batch {
        sent_at_ms: gateway.state().store_ms(now_ms),
        distribute: false,
        records,
    };
    let mut transaction = Transaction::default();
    match publishes {
        true => transaction.puts.push((own_row(control), batch.encode())),
        false => transaction.deletes.push(own_row(control)),
    }
    let commit = control.store.commit(&transaction);
    let result = control.call(TABLE, CALL_TIMEOUT, commit).await;
    publishes || result.is_err()
}

fn own_row(control: &Control) -> RowId {
    row_id(TABLE, TABLE, &control.gateway.settings.name)
}

/// Reads the table for look-ups; those that arrive meanwhile wait for the next read.
async fn serve_reads(control: &Control) {
    let requests = &control.inbox.stream_reads;
    while let Ok(first) = requests.recv_async().await {
        let waiting: Vec<oneshot::Sender<bool>> =
            std::iter::once(first).chain(requests.try_iter()).collect();
        let has_records = read_table(control).await;
        for reply in waiting {
            // The look-up may have timed out.
            let _ = reply.send(has_records);
        }
    }
}

async fn read_table(control: &Control) -> bool {
    if control.gateway.state().directory.is_large() {
        return false;
    }
    let Ok(response) = read_within(control, TABLE, TABLE, READ_TIMEOUT).await else {
        return false;
    };
    let mut has_records = false;
    for row in &response.rows {
        let Some(bytes) = row.value.as_deref() else {
            continue;
        };
        let Some(batch) = Batch::decode(bytes) else {
            log_unreadable(row, "unknown format");
            continue;
        };
        has_records = true;
        control.gateway.receive_published(batch, response.now_ms);
    }
    has_records
}
