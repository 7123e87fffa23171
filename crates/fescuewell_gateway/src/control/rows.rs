//! Reading rows, and what is said of rows that cannot be read.

use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;

use fescuewell_forward::quota::row;

use super::{CALL, Control};
use crate::store::{Error, ReadResponse, Row, RowId};

/// Part of the members.
pub(super) const FLEET: &str = "fleet";

pub(super) fn place(table: &str, part: &str, key: &str) -> RowId {
    RowId {
        table: table.into(),
        partition: part.into(),
        key: key.into(),
    }
}

pub(super) async fn read(
    control: &Control,
    table: &str,
    part: &str,
) -> Result<ReadResponse, Error> {
    read_within(control, table, part, CALL).await
}

/// Reads one row.
pub(super) async fn read_row(control: &Control, at: &RowId) -> Result<ReadResponse, Error> {
    let reading = control.store.read_row(at);
    let reading = control.call(&at.table, CALL, reading).await?;
    let now_ms = control.gateway.now_ms();
    control.gateway.state().quota.clock(reading.now_ms, now_ms);
    Ok(reading)
}

/// Reads the rows of a part, and waits for them so long.
pub(super) async fn read_within(
    control: &Control,
    table: &str,
    part: &str,
    limit: Duration,
) -> Result<ReadResponse, Error> {
    let reading = control.store.read(table, part);
    let reading = control.call(table, limit, reading).await?;
    let now_ms = control.gateway.now_ms();
    control.gateway.state().quota.clock(reading.now_ms, now_ms);
    Ok(reading)
}

pub(super) fn unreadable(row: &Row, reason: &str) {
    let reason = reason.replace(' ', "_");
    log_event!(
        Event::InternalFault,
        "part=store table={} key={} reason={reason}",
        row.id.table,
        row.id.key
    );
}

/// The content of a row; one that cannot be read is logged and passed over.
pub(super) fn decode<Content, Decode>(row: &Row, decode: Decode) -> Option<Content>
where
    Decode: Fn(&[u8]) -> Result<Content, row::Error>,
{
    let content = decode(row.value.as_deref()?);
    content
        .inspect_err(|error| unreadable(row, &error.to_string()))
        .ok()
}
