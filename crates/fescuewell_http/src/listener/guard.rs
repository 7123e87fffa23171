//! A socket wrapper that tracks the state of a connection and enforces its timeouts.
//!
//! hyper itself responds to a malformed or oversized head with an empty body, and does not time out a
//! caller that does not read its response. [`Guard`] wraps the socket under hyper: it records the times
//! from which the connection's timeouts are measured, and discards what hyper writes outside an
//! exchange, so that the caller receives a numbered refusal instead.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::memory::{self, Candidate, Rank};
use super::{Limits, Settings, Shared};
use crate::buffer::Reservation;

/// Bytes that a caller must read within [`Settings::write_stall_timeout`] while it does not keep up.
const MIN_PROGRESS_BYTES: usize = 16 * 1024;
/// Time for which a complete response may remain unread before its connection can be closed for others.
const MIN_UNREAD_TIME: Duration = Duration::from_secs(1);

/// The phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing has been received yet.
    Silent { since: Instant },
    /// Idle between two requests.
    Idle { since: Instant },
    /// A request head is being received.
    ReadingHead { since: Instant },
    /// A request body is being received; no handler has the request.
    ReadingBody { since: Instant },
    /// The request is being answered.
    Responding,
    /// hyper has taken the complete response, but may not have written all of it.
    Flushing,
    /// A refusal was written, and the rest of the request is being discarded.
    Refused { since: Instant },
}

impl Phase {
    fn is_exchange(self) -> bool {
        matches!(
            self,
            Self::ReadingBody { .. } | Self::Responding | Self::Flushing
        )
    }
}

/// The timeout that expired on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Expiry {
    /// No further request was received.
    Idle,
    /// The request head was not received in time.
    Head,
    /// The caller does not read its response.
    Stalled,
}

/// A response that its caller does not read as fast as it is made.
#[derive(Debug, Clone, Copy)]
struct Backlog {
    since: Instant,
    /// Bytes that were written since then.
    written: usize,
}

struct State {
    phase: Phase,
    backlog: Option<Backlog>,
    /// Whether the current request has been received to its end, so that what follows is another one.
    is_received: bool,
    rejected: bool,
    held: Reservation,
    is_closing: bool,
    waker: Option<Waker>,
}

/// The state of one connection, shared by its guard, its driver, the current response and the [`Memory`].
///
/// [`Memory`]: super::Memory
pub(super) struct ConnectionState {
    shared: Arc<Shared>,
    state: std::sync::Mutex<State>,
}

impl ConnectionState {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let held = shared.settings.memory.reserve();
        Self {
            shared,
            state: std::sync::Mutex::new(State {
                phase: Phase::Silent {
                    since: Instant::now(),
                },
                backlog: None,
                is_received: false,
                rejected: false,
                held,
                is_closing: false,
                waker: None,
            }),
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Whether the connection was accepted by this listener.
    pub(super) fn is_of(&self, listener: &Shared) -> bool {
        std::ptr::eq(&*self.shared, listener)
    }

    /// What the connection holds without a request, in bytes.
    pub(super) fn idle_bytes(&self) -> usize {
        match self.shared.acceptor {
            None => memory::IDLE_BYTES,
            Some(_) => memory::IDLE_BYTES + memory::TLS_BYTES,
        }
    }

    /// Reserves `bytes` in addition to what an idle connection holds. Returns `false` if they cannot be had.
    pub(super) async fn hold(&self, bytes: usize) -> bool {
        let memory = &self.shared.settings.memory;
        memory.hold(self, self.idle_bytes() + bytes).await
    }

    /// Changes the reservation without closing others. Returns `false`, without a change, if it does not fit.
    pub(super) fn resize(&self, bytes: usize) -> bool {
        let mut state = self.state();
        let is_smaller = bytes < state.held.bytes();
        let is_resized = state.held.resize(bytes);
        drop(state);
        if is_smaller {
            self.shared.settings.memory.notify_released();
        }
        is_resized
    }

    /// Changes what is held for a request without closing others; see [`Self::resize`].
    pub(super) fn resize_request(&self, bytes: usize) -> bool {
        let is_resized = self.resize(self.idle_bytes() + bytes);
        if !is_resized {
            self.shared.settings.memory.count_refusal();
        }
        is_resized
    }

    /// Returns the size of the reservation.
    pub(super) fn held_bytes(&self) -> usize {
        self.state().held.bytes()
    }

    /// Releases the whole reservation.
    pub(super) fn release(&self) {
        self.resize(0);
    }

    /// Releases what was held for a request.
    pub(super) fn release_request(&self) {
        self.resize(self.idle_bytes());
    }

    /// Whether the connection can be closed for others, and how it ranks.
    pub(super) fn candidate(&self) -> Option<Candidate> {
        let state = self.state();
        let (rank, since) = state.rank()?;
        Some(Candidate {
            rank,
            since,
            bytes: state.held.bytes(),
            is_closing: state.is_closing,
        })
    }

    /// Requests that the connection is closed for others. Returns `false` if its request has been passed to a
    /// handler.
    pub(super) fn close(&self) -> bool {
        let mut state = self.state();
        if state.rank().is_none() {
            return false;
        }
        state.is_closing = true;
        let waker = state.waker.take();
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
        true
    }

    /// Resolves once the connection must be closed for others.
    pub(super) fn poll_closing(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state();
        if state.is_closing && state.rank().is_some() {
            return Poll::Ready(());
        }
        state.is_closing = false;
        let is_known = state
            .waker
            .as_ref()
            .is_some_and(|waker| waker.will_wake(cx.waker()));
        if !is_known {
            state.waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    /// Records the first byte of a head.
    pub(super) fn begin_head(&self) {
        self.state().phase = Phase::ReadingHead {
            since: Instant::now(),
        };
    }

    /// Records that a complete head has been received, and whether there is nothing after it.
    pub(super) fn begin_exchange(&self, reads_body: bool, has_no_body: bool) {
        let phase = match reads_body {
            true => Phase::ReadingBody {
                since: Instant::now(),
            },
            false => Phase::Responding,
        };
        let mut state = self.state();
        state.is_received = has_no_body;
        let before = std::mem::replace(&mut state.phase, phase);
        if !before.is_exchange() {
            self.shared.exchanges.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records that the body has been received to its end.
    pub(super) fn body_received(&self) {
        self.state().is_received = true;
    }

    /// Records that the request is passed to its handler. Returns `false` if the connection is being closed: the
    /// request must not be passed on then.
    pub(super) fn begin_response(&self) -> bool {
        let mut state = self.state();
        if state.is_closing && state.rank().is_some() {
            return false;
        }
        state.phase = Phase::Responding;
        true
    }

    /// Records that hyper has taken the end of the response.
    pub(super) fn response_taken(&self) {
        self.state().phase = Phase::Flushing;
    }

    /// Records that a refusal takes the place of a response. Returns whether a request was being received.
    pub(super) fn begin_refusal(&self) -> bool {
        let phase = Phase::Refused {
            since: Instant::now(),
        };
        let mut state = self.state();
        state.is_closing = false;
        let before = std::mem::replace(&mut state.phase, phase);
        if before.is_exchange() {
            self.shared.exchanges.fetch_sub(1, Ordering::Relaxed);
        }
        matches!(
            before,
            Phase::ReadingHead { .. } | Phase::ReadingBody { .. }
        )
    }

    /// Whether the connection waits for its next request, and what is received next is the start of that. After a
    /// request whose body was not read, only hyper can tell.
    pub(super) fn is_between_requests(&self) -> bool {
        let state = self.state();
        matches!(state.phase, Phase::Idle { .. }) && state.is_received
    }

    /// Whether hyper wrote its own error response, which was discarded.
    pub(super) fn rejected(&self) -> bool {
        self.state().rejected
    }

    /// Forgets that hyper rejected a head, which is read again with another limit.
    pub(super) fn clear_rejection(&self) {
        self.state().rejected = false;
    }

    /// Returns the next deadline of the connection and the timeout that sets it.
    pub(super) fn expiry(&self, limits: &Limits) -> Option<(Instant, Expiry)> {
        let settings: &Settings = &self.shared.settings;
        let state = self.state();
        if let Some(backlog) = state.backlog {
            let deadline = backlog.since + settings.write_stall_timeout;
            return Some((deadline, Expiry::Stalled));
        }
        match state.phase {
            Phase::Silent { since } => Some((since + settings.header_timeout, Expiry::Head)),
            Phase::Idle { since } => Some((since + limits.idle_timeout, Expiry::Idle)),
            Phase::ReadingHead { since } => Some((since + limits.header_timeout, Expiry::Head)),
            Phase::ReadingBody { .. }
            | Phase::Responding
            | Phase::Flushing
            | Phase::Refused { .. } => None,
        }
    }

    fn on_read(&self, count: usize) {
        let mut state = self.state();
        if count > 0 && matches!(state.phase, Phase::Idle { .. }) {
            state.phase = Phase::ReadingHead {
                since: Instant::now(),
            };
        }
    }

    /// Whether a write must be discarded.
    ///
    /// Every response from a handler is written within an exchange. A write in any other phase is
    /// hyper's own error response to an invalid head, which has an empty body without error details.
    fn discards_write(&self) -> bool {
        let mut state = self.state();
        let in_exchange = state.phase.is_exchange();
        state.rejected |= !in_exchange;
        !in_exchange
    }

    /// Records a write: `None` if the socket takes nothing, else the bytes that it took. A caller that reads a little
    /// now and then does not renew its time.
    fn on_write(&self, written: Option<usize>) {
        let mut state = self.state();
        match (&mut state.backlog, written) {
            (None, Some(_)) => {}
            (None, None) => {
                state.backlog = Some(Backlog {
                    since: Instant::now(),
                    written: 0,
                });
            }
            (Some(_), None) => {}
            (Some(backlog), Some(count)) => {
                backlog.written += count;
                if backlog.written >= MIN_PROGRESS_BYTES {
                    state.backlog = None;
                }
            }
        }
    }

    /// Records a flush. hyper flushes only after it has written everything that it has buffered, so a
    /// response that it has taken completely has now been written.
    fn on_flush(&self) {
        let mut state = self.state();
        state.backlog = None;
        if state.phase != Phase::Flushing {
            return;
        }
        state.phase = Phase::Idle {
            since: Instant::now(),
        };
        self.shared.exchanges.fetch_sub(1, Ordering::Relaxed);
    }
}

impl State {
    /// Returns the rank of a connection that can be closed, and since when it has had it. One whose request has been
    /// passed to a handler cannot, unless the caller does not read its response.
    fn rank(&self) -> Option<(Rank, Instant)> {
        match self.phase {
            Phase::Silent { since } => Some((Rank::Silent, since)),
            Phase::Idle { since } => Some((Rank::Idle, since)),
            Phase::ReadingHead { since } | Phase::ReadingBody { since } => {
                Some((Rank::Receiving, since))
            }
            Phase::Refused { since } => Some((Rank::Refused, since)),
            Phase::Responding => None,
            Phase::Flushing => {
                let backlog = self.backlog?;
                let is_old = backlog.since.elapsed() >= MIN_UNREAD_TIME;
                is_old.then_some((Rank::Unread, backlog.since))
            }
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        if self.state().phase.is_exchange() {
            self.shared.exchanges.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// A socket that reports its reads and writes to a [`ConnectionState`].
pub(super) struct Guard<Io> {
    io: Io,
    /// Bytes that were received before; they are read first.
    received: Bytes,
    connection: Arc<ConnectionState>,
}

impl<Io> Guard<Io> {
    pub(super) fn new(io: Io, received: Bytes, connection: Arc<ConnectionState>) -> Self {
        Self {
            io,
            received,
            connection,
        }
    }

    /// Returns the socket and the bytes that were received but not read.
    pub(super) fn into_parts(self) -> (Io, Bytes) {
        (self.io, self.received)
    }
}

impl<Io> AsyncRead for Guard<Io>
where
    Io: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.received.is_empty() {
            let count = self.received.len().min(buffer.remaining());
            buffer.put_slice(&self.received[..count]);
            self.received.advance(count);
            if self.received.is_empty() {
                self.received = Bytes::new();
            }
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buffer))?;
        self.connection.on_read(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

/// Returns the bytes that were written, or `None` if the socket takes nothing.
fn progress(written: &Poll<io::Result<usize>>) -> Option<usize> {
    match written {
        Poll::Ready(Ok(count)) => Some(*count),
        Poll::Ready(Err(_)) => Some(0),
        Poll::Pending => None,
    }
}

impl<Io> AsyncWrite for Guard<Io>
where
    Io: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.connection.discards_write() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = Pin::new(&mut self.io).poll_write(cx, bytes);
        self.connection.on_write(progress(&written));
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.connection.discards_write() {
            return Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, slices);
        self.connection.on_write(progress(&written));
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        if flushed.is_pending() {
            self.connection.on_write(None);
        }
        ready!(flushed)?;
        self.connection.on_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
