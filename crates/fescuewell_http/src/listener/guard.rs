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
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::{Settings, Shared};

/// The phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Idle between two requests.
    Idle { since: Instant },
    /// A request head is being received. New connections start in this phase.
    ReadingHead { since: Instant },
    /// The request is being read or answered.
    Responding,
    /// hyper has taken the complete response, but may not have written all of it.
    Flushing,
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

struct State {
    phase: Phase,
    write_blocked_since: Option<Instant>,
    rejected: bool,
}

/// The state of one connection, shared by its guard, its driver and the current response.
pub(super) struct ConnectionState {
    shared: Arc<Shared>,
    state: std::sync::Mutex<State>,
}

impl ConnectionState {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            state: std::sync::Mutex::new(State {
                phase: Phase::ReadingHead {
                    since: Instant::now(),
                },
                write_blocked_since: None,
                rejected: false,
            }),
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records that a complete head has been received.
    pub(super) fn begin_exchange(&self) {
        let before = std::mem::replace(&mut self.state().phase, Phase::Responding);
        if !matches!(before, Phase::Responding | Phase::Flushing) {
            self.shared.exchanges.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records that hyper has taken the end of the response.
    pub(super) fn response_taken(&self) {
        self.state().phase = Phase::Flushing;
    }

    /// Whether hyper wrote its own error response, which was discarded.
    pub(super) fn rejected(&self) -> bool {
        self.state().rejected
    }

    /// Returns the next deadline of the connection and the timeout that sets it.
    pub(super) fn expiry(&self, settings: &Settings) -> Option<(Instant, Expiry)> {
        let state = self.state();
        if let Some(since) = state.write_blocked_since {
            return Some((since + settings.write_stall_timeout, Expiry::Stalled));
        }
        match state.phase {
            Phase::Idle { since } => Some((since + settings.idle_timeout, Expiry::Idle)),
            Phase::ReadingHead { since } => Some((since + settings.header_timeout, Expiry::Head)),
            Phase::Responding | Phase::Flushing => None,
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
    /// Every response from a handler is written in `Responding` or `Flushing`. A write in any other phase is
    /// hyper's own error response to an invalid head, which has an empty body without error details.
    fn discards_write(&self) -> bool {
        let mut state = self.state();
        let in_exchange = matches!(state.phase, Phase::Responding | Phase::Flushing);
        state.rejected |= !in_exchange;
        !in_exchange
    }

    fn on_write(&self, blocked: bool) {
        let mut state = self.state();
        if !blocked {
            state.write_blocked_since = None;
        } else if state.write_blocked_since.is_none() {
            state.write_blocked_since = Some(Instant::now());
        }
    }

    /// Records a flush. hyper flushes only after it has written everything that it has buffered, so a
    /// response that it has taken completely has now been written.
    fn on_flush(&self) {
        let mut state = self.state();
        if state.phase != Phase::Flushing {
            return;
        }
        state.phase = Phase::Idle {
            since: Instant::now(),
        };
        self.shared.exchanges.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        if matches!(self.state().phase, Phase::Responding | Phase::Flushing) {
            self.shared.exchanges.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// A socket that reports its reads and writes to a [`ConnectionState`].
pub(super) struct Guard<Io> {
    io: Io,
    connection: Arc<ConnectionState>,
}

impl<Io> Guard<Io> {
    pub(super) fn new(io: Io, connection: Arc<ConnectionState>) -> Self {
        Self { io, connection }
    }

    pub(super) fn into_inner(self) -> Io {
        self.io
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
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buffer))?;
        self.connection.on_read(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
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
        self.connection.on_write(written.is_pending());
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
        self.connection.on_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        self.connection.on_write(flushed.is_pending());
        ready!(flushed)?;
        self.connection.on_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
