//! What is known about a connection between the socket and hyper.
//!
//! hyper answers a malformed or oversized head by itself, with an empty body, and does not time
//! out a caller that takes nothing of its answer. [`Guard`] stands between hyper and the socket: it keeps
//! the times that bound the connection, and holds back what hyper writes when no request of ours
//! is being answered, so that the caller gets a numbered refusal in its place.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::{Settings, Shared};

/// What the connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Doing {
    /// Between two requests.
    Waiting { since: Instant },
    /// Part of a head, or nothing yet of the first one, has arrived.
    ReadingHead { since: Instant },
    /// A request is being read or answered.
    Answering,
    /// The answer has been given to hyper whole; its end may not have been written yet.
    Flushing,
}

/// Why a connection is ended by its timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Expiry {
    /// No further request came.
    Idle,
    /// The head did not come in time.
    Head,
    /// The caller takes nothing of its answer.
    Stalled,
}

struct State {
    doing: Doing,
    blocked_since: Option<Instant>,
    rejected: bool,
}

/// The state of one connection, shared by its guard, its driver and the answer under way.
pub(super) struct Watch {
    shared: Arc<Shared>,
    state: std::sync::Mutex<State>,
}

impl Watch {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            state: std::sync::Mutex::new(State {
                doing: Doing::ReadingHead {
                    since: Instant::now(),
                },
                blocked_since: None,
                rejected: false,
            }),
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// A head has been read whole and its request begins.
    pub(super) fn begin(&self) {
        let before = std::mem::replace(&mut self.state().doing, Doing::Answering);
        if !matches!(before, Doing::Answering | Doing::Flushing) {
            self.shared.exchanges.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// hyper has taken the end of the answer.
    pub(super) fn answered(&self) {
        self.state().doing = Doing::Flushing;
    }

    /// Whether hyper wrote an answer of its own, which was held back.
    pub(super) fn rejected(&self) -> bool {
        self.state().rejected
    }

    /// When the connection's patience ends, and why.
    pub(super) fn expiry(&self, settings: &Settings) -> Option<(Instant, Expiry)> {
        let state = self.state();
        if let Some(since) = state.blocked_since {
            return Some((since + settings.write_stall_timeout, Expiry::Stalled));
        }
        match state.doing {
            Doing::Waiting { since } => Some((since + settings.idle_timeout, Expiry::Idle)),
            Doing::ReadingHead { since } => Some((since + settings.header_timeout, Expiry::Head)),
            Doing::Answering | Doing::Flushing => None,
        }
    }

    fn on_read(&self, count: usize) {
        let mut state = self.state();
        if count > 0 && matches!(state.doing, Doing::Waiting { .. }) {
            state.doing = Doing::ReadingHead {
                since: Instant::now(),
            };
        }
    }

    /// Decides whether a write goes through.
    ///
    /// Every answer of ours passes `Answering` or `Flushing`. A write in any other state is hyper's own
    /// answer to a head that it could not take: an empty body that tells the caller nothing.
    fn holds_back(&self) -> bool {
        let mut state = self.state();
        let own = matches!(state.doing, Doing::Answering | Doing::Flushing);
        state.rejected |= !own;
        !own
    }

    fn on_write(&self, blocked: bool) {
        let mut state = self.state();
        if !blocked {
            state.blocked_since = None;
        } else if state.blocked_since.is_none() {
            state.blocked_since = Some(Instant::now());
        }
    }

    /// hyper flushes only once it has written all that it had, so an answer that it has taken
    /// whole is now on its way.
    fn on_flush(&self) {
        let mut state = self.state();
        if state.doing != Doing::Flushing {
            return;
        }
        state.doing = Doing::Waiting {
            since: Instant::now(),
        };
        self.shared.exchanges.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if matches!(self.state().doing, Doing::Answering | Doing::Flushing) {
            self.shared.exchanges.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// The socket as hyper sees it.
pub(super) struct Guard<Io> {
    io: Io,
    watch: Arc<Watch>,
}

impl<Io> Guard<Io> {
    pub(super) fn new(io: Io, watch: Arc<Watch>) -> Self {
        Self { io, watch }
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
        self.watch.on_read(buffer.filled().len() - before);
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
        if self.watch.holds_back() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = Pin::new(&mut self.io).poll_write(cx, bytes);
        self.watch.on_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.watch.holds_back() {
            return Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, slices);
        self.watch.on_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        self.watch.on_write(flushed.is_pending());
        ready!(flushed)?;
        self.watch.on_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
