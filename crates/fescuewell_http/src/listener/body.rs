//! Reads a request's body whole, within its own bound and that of all bodies together.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fescuewell_core::prelude::*;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::{Settings, Shared};

/// When a caller that met the bound of all bodies should come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// One body's part of the bytes that all bodies may take, given back when dropped.
///
/// The bound of one body times the cap on connections is more than any instance has. Without a bound on
/// their sum, many callers with large bodies at once would end the process for want of memory.
pub(super) struct Room {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Room {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, bytes: 0 }
    }

    fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let before = self.shared.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        before + bytes <= self.shared.settings.max_buffered_bytes
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.shared
            .body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads the body, or tells why not.
pub(super) async fn read(
    body: Incoming,
    settings: &Settings,
    room: &mut Room,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // An announced size beyond the bound is refused before a byte of it is read.
    if body.size_hint().lower() > settings.max_body_bytes as u64 {
        return Err(Refusal::new(Code::BodyTooLarge));
    }
    let whole = Box::pin(collect(body, settings.max_body_bytes, room));
    let late = |_| Err(Refusal::new(Code::RequestTimeout));
    timeout(settings.body_timeout, whole)
        .await
        .unwrap_or_else(late)
}

async fn collect(mut body: Incoming, most: usize, room: &mut Room) -> Result<Bytes, Refusal> {
    let mut first = Bytes::new();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::new(Code::MalformedRequest))?;
        // Trailers are of no use here.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.len() + whole.len() + data.len() > most {
            return Err(Refusal::new(Code::BodyTooLarge));
        }
        if !room.grow(data.len()) {
            return Err(Refusal::new(Code::Overloaded).with_retry_after(RETRY_AFTER));
        }
        // Most bodies come in one piece, which is then handed on without a copy.
        if first.is_empty() && whole.is_empty() {
            first = data;
            continue;
        }
        whole.extend_from_slice(&std::mem::take(&mut first));
        whole.extend_from_slice(&data);
    }
    if whole.is_empty() {
        return Ok(first);
    }
    Ok(whole.freeze())
}
