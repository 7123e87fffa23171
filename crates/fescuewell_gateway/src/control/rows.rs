//! Helpers for reading and decoding rows.

use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;

use fescuewell_forward::quota::row;

use super::{CALL_TIMEOUT, Control};
use crate::store::{Error, ReadResponse, Row, RowId};

/// Partition of the rows that belong to the whole fleet.
pub(super) const FLEET_PARTITION: &str = "fleet";

pub(super) fn row_id(table: &str, partition: &str, key: &str) -> RowId {
    RowId {
        table: table.into(),
        partition: partition.into(),
        key: key.into(),
    }
}

pub(super) async fn read(
    control: &Control,
    table: &str,
    partition: &str,
) -> Result<ReadResponse, Error> {
    read_within(control, table, partition, CALL_TIMEOUT).await
}

/// Reads one row.
pub(super) async fn read_row(control: &Control, id: &RowId) -> Result<ReadResponse, Error> {
    let call = control.store.read_row(id);
    let response = control.call(&id.table, CALL_TIMEOUT, call).await?;
    let now_ms = control.gateway.now_ms();
    control
        .gateway
        .state()
        .quota
        .observe_clock(response.now_ms, now_ms);
    Ok(response)
}

/// Reads the rows of a partition with a timeout.
pub(super) async fn read_within(
    control: &Control,
    table: &str,
    partition: &str,
    limit: Duration,
) -> Result<ReadResponse, Error> {
    let call = control.store.read(table, partition);
    let response = control.call(table, limit, call).await?;
    let now_ms = control.gateway.now_ms();
    control
        .gateway
        .state()
        .quota
        .observe_clock(response.now_ms, now_ms);
    Ok(response)
}

pub(super) fn log_unreadable(row: &Row, reason: &str) {
    let reason = reason.replace(' ', "_");
    log_event!(
        Event::InternalFault,
        "part=store table={} key={} reason={reason}",
        row.id.table,
        row.id.key
    );
}

/// Decodes a row. Returns `None` and logs an event if the row is unreadable.
pub(super) fn decode<Content, Decode>(row: &Row, decode: Decode) -> Option<Content>
where
    Decode: Fn(&[u8]) -> Result<Content, row::Error>,
{
    let content = decode(row.value.as_deref()?);
    content
        .inspect_err(|error| log_unreadable(row, &error.to_string()))
        .ok()
}
