//! A socket wrapper that counts written bytes and can block all further writes.

use std::io;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

#[derive(Default)]
struct State {
    written: u64,
    flushed: bool,
    closed: bool,
}

/// What has been written to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WriteCount {
    /// Bytes passed to the operating system.
    pub(super) written: u64,
    /// Whether hyper has flushed since the last write, that is, has no more to write.
    pub(super) flushed: bool,
}

/// Determines whether a request was sent.
///
/// A write holds the lock while it passes bytes to the operating system, so the count that
/// [`WriteGate::close`] returns is final: no write is in progress and none can follow. Otherwise the
/// connection's task could still write a request that was already reported as not sent.
#[derive(Default)]
pub(super) struct WriteGate(Mutex<State>);

impl WriteGate {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes passed to the operating system so far.
    pub(super) fn written(&self) -> u64 {
        self.state().written
    }

    /// Blocks all further writes and returns the final count.
    pub(super) fn close(&self) -> WriteCount {
        let mut state = self.state();
        state.closed = true;
        WriteCount {
            written: state.written,
            flushed: state.flushed,
        }
    }

    fn write<Operation>(&self, operation: Operation) -> Poll<io::Result<usize>>
    where
        Operation: FnOnce() -> Poll<io::Result<usize>>,
    {
        let mut state = self.state();
        if state.closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let written = operation();
        if let Poll::Ready(Ok(count)) = &written {
            state.written += *count as u64;
            state.flushed = false;
        }
        written
    }
}

/// A socket whose writes pass through a [`WriteGate`].
pub(super) struct GatedStream {
    stream: TcpStream,
    gate: std::sync::Arc<WriteGate>,
}

impl GatedStream {
    pub(super) fn new(stream: TcpStream, gate: std::sync::Arc<WriteGate>) -> Self {
        Self { stream, gate }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, gate } = self.get_mut();
        gate.write(|| Pin::new(stream).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, gate } = self.get_mut();
        gate.write(|| Pin::new(stream).poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes after it has written everything that it has buffered.
        self.gate.state().flushed = true;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
