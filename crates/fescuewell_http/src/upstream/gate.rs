//! A socket wrapper that counts written bytes and can block all further writes, and that limits the bytes
//! which are received without progress of the response.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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

/// Maximum number of bytes between two parts of a response: its start, its head and the chunks of its
/// body. hyper reads ahead less than this. It limits a head, chunk extensions and
/// trailers, but has none for interim responses and for the digits and spaces of a chunk's size.
const MAX_OVERHEAD_BYTES: usize = 256 * 1024;

/// Counts the bytes that were received since the response last made progress.
#[derive(Default)]
pub(super) struct ReadMeter(AtomicUsize);

impl ReadMeter {
    /// Records that a part of the response was received.
    pub(super) fn record_progress(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Whether no more bytes are received because of the limit.
    pub(super) fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_OVERHEAD_BYTES
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A socket whose writes pass through a [`WriteGate`] and whose reads are counted by a [`ReadMeter`].
pub(super) struct GatedStream {
    stream: TcpStream,
    gate: Arc<WriteGate>,
    meter: Arc<ReadMeter>,
}

impl GatedStream {
    pub(super) fn new(stream: TcpStream, gate: Arc<WriteGate>, meter: Arc<ReadMeter>) -> Self {
        Self {
            stream,
            gate,
            meter,
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.is_exceeded() {
            let reason =
                format!("over {MAX_OVERHEAD_BYTES} bytes without a head or a chunk of the body");
            return Poll::Ready(Err(io::Error::other(reason)));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.meter.add(buffer.filled().len() - before);
        result
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, gate, .. } = self.get_mut();
        gate.write(|| Pin::new(stream).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, gate, .. } = self.get_mut();
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
