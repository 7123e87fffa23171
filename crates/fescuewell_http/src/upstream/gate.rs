//! Counts what leaves a connection and can stop it for good.

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
    shut: bool,
}

/// What is known of the bytes that left a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Count {
    /// Bytes handed to the operating system.
    pub(super) written: u64,
    /// Whether hyper had no more to write.
    pub(super) flushed: bool,
}

/// The proof that a request did or did not leave.
///
/// A write holds the lock while it hands bytes to the operating system. Whoever shuts the gate therefore
/// knows the final count: nothing is being written, and nothing will be. Without that, a request
/// reported as "not sent" could still be written a moment later by the connection's own task.
#[derive(Default)]
pub(super) struct Gate(Mutex<State>);

impl Gate {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes handed to the operating system so far.
    pub(super) fn written(&self) -> u64 {
        self.state().written
    }

    /// Stops all further writes and returns the final count.
    pub(super) fn shut(&self) -> Count {
        let mut state = self.state();
        state.shut = true;
        Count {
            written: state.written,
            flushed: state.flushed,
        }
    }

    fn pass<Write>(&self, write: Write) -> Poll<io::Result<usize>>
    where
        Write: FnOnce() -> Poll<io::Result<usize>>,
    {
        let mut state = self.state();
        if state.shut {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let written = write();
        if let Poll::Ready(Ok(count)) = &written {
            state.written += *count as u64;
            state.flushed = false;
        }
        written
    }
}

/// A socket behind a gate.
pub(super) struct Gated {
    stream: TcpStream,
    gate: std::sync::Arc<Gate>,
}

impl Gated {
    pub(super) fn new(stream: TcpStream, gate: std::sync::Arc<Gate>) -> Self {
        Self { stream, gate }
    }
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Gated {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, gate } = self.get_mut();
        gate.pass(|| Pin::new(stream).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, gate } = self.get_mut();
        gate.pass(|| Pin::new(stream).poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once it has written all that it had.
        self.gate.state().flushed = true;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
