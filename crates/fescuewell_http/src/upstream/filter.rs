//! A stream wrapper that skips responses which name another request.
//!
//! A server in trouble may send a response a second time, in place of the next response on the connection,
//! which then follows it. Responses echo a header of their request; one with another value is removed from
//! the stream before hyper parses it.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use http::HeaderName;
use http::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

use super::skip::Skip;

/// Maximum number of responses that are skipped in one exchange. The next one is passed on, and its header
/// shows whose it is.
const MAX_SKIPPED: u32 = 4;
/// Maximum size of a head that is examined, in bytes. A longer one is passed on.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers of a head that is examined.
const MAX_HEADERS: usize = 100;
/// Size of a read in bytes.
const READ_BYTES: usize = 4 * 1024;

/// The response that an exchange waits for.
#[derive(Default)]
struct Expectation {
    id: Option<HeaderValue>,
    /// Whether the exchange has begun since the filter looked last.
    is_new: bool,
    skipped: u32,
}

/// The header that names the request of a response, and the value that the current exchange expects.
pub(super) struct Expected {
    header: Option<HeaderName>,
    state: Mutex<Expectation>,
    skips: Notify,
}

impl Expected {
    /// Without a header no response is skipped.
    pub(super) fn new(header: Option<HeaderName>) -> Self {
        Self {
            header,
            state: Mutex::default(),
            skips: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, Expectation> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins an exchange, before its request is written.
    pub(super) fn begin(&self, id: Option<HeaderValue>) {
        *self.state() = Expectation {
            id,
            is_new: true,
            skipped: 0,
        };
    }

    /// Ends the exchange before: nothing is waited for.
    pub(super) fn reset(&self) {
        *self.state() = Expectation::default();
    }

    /// Waits until a response has been skipped in the current exchange.
    pub(super) async fn wait_skipped(&self) {
        while self.skipped() == 0 {
            self.skips.notified().await;
        }
    }

    /// Number of responses that were skipped in the current exchange.
    pub(super) fn skipped(&self) -> u32 {
        self.state().skipped
    }

    /// Returns `true` once for each exchange whose responses are examined.
    fn take_new(&self) -> bool {
        let mut state = self.state();
        std::mem::take(&mut state.is_new) && state.id.is_some()
    }

    /// Examines a head and counts it if it is skipped.
    fn examine(&self, bytes: &[u8]) -> Finding {
        let Some(name) = &self.header else {
            return Finding::PassOn;
        };
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let length = match head.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => {
                return Finding::Partial;
            }
            _ => return Finding::PassOn,
        };
        let status = head.code.unwrap_or_default();
        if (100..200).contains(&status) {
            return Finding::Interim { length };
        }
        let value = |name: &HeaderName| {
            let mut headers = head.headers.iter();
            let header = headers.find(|header| header.name.eq_ignore_ascii_case(name.as_str()));
            header.map(|header| header.value)
        };
        let mut state = self.state();
        let is_foreign = match (value(name), &state.id) {
            (Some(echoed), Some(id)) => echoed != id.as_bytes(),
            _ => false,
        };
        if !is_foreign || state.skipped >= MAX_SKIPPED {
            return Finding::PassOn;
        }
        let transfer_encoding = value(&TRANSFER_ENCODING);
        let skip = Skip::new(status, transfer_encoding, value(&CONTENT_LENGTH));
        // A body that ends with the connection leaves no room for another response.
        let Some(skip) = skip else {
            return Finding::PassOn;
        };
        state.skipped += 1;
        self.skips.notify_one();
        Finding::Foreign { length, skip }
    }
}

/// What the received bytes begin with.
enum Finding {
    /// Part of a head.
    Partial,
    /// An interim response, after which another head follows.
    Interim { length: usize },
    /// The head of a response to another request, and how its body is skipped.
    Foreign { length: usize, skip: Skip },
    /// Something that is left to hyper.
    PassOn,
}

/// How the next bytes are treated.
enum Mode {
    /// They are passed on.
    PassOn,
    /// They begin a head.
    Head,
    /// They belong to a body that is skipped.
    Body(Skip),
}

/// A stream whose responses are examined.
pub(super) struct Filter<Stream> {
    stream: Stream,
    expected: Arc<Expected>,
    mode: Mode,
    /// Received bytes that have not been examined.
    received: Vec<u8>,
    /// Bytes to pass on.
    released: Vec<u8>,
    passed_on: usize,
}

impl<Stream> Filter<Stream>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    pub(super) fn new(stream: Stream, expected: Arc<Expected>) -> Self {
        Self {
            stream,
            expected,
            mode: Mode::PassOn,
            received: Vec::new(),
            released: Vec::new(),
            passed_on: 0,
        }
    }

    /// Passes on released bytes. Returns `false` if there are none.
    fn pass_on(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let rest = &self.released[self.passed_on..];
        if rest.is_empty() {
            return false;
        }
        let count = rest.len().min(buffer.remaining());
        buffer.put_slice(&rest[..count]);
        self.passed_on += count;
        if self.passed_on == self.released.len() {
            self.released = Vec::new();
            self.passed_on = 0;
        }
        true
    }

    /// Examines the received bytes, until more are needed or some are released.
    fn examine(&mut self) {
        while !self.received.is_empty() && self.released.is_empty() {
            match &mut self.mode {
                Mode::PassOn => self.release(self.received.len()),
                Mode::Head => match self.expected.examine(&self.received) {
                    Finding::Partial => return,
                    Finding::Interim { length } => self.release(length),
                    Finding::Foreign { length, skip } => {
                        self.received.drain(..length);
                        self.mode = Mode::Body(skip);
                    }
                    Finding::PassOn => self.mode = Mode::PassOn,
                },
                Mode::Body(skip) => {
                    let skipped = skip.advance(&self.received);
                    self.received.drain(..skipped);
                }
            }
            if matches!(&self.mode, Mode::Body(skip) if skip.is_complete()) {
                self.mode = Mode::Head;
            }
        }
    }

    fn release(&mut self, length: usize) {
        let rest = self.received.split_off(length);
        self.released = std::mem::replace(&mut self.received, rest);
    }
}

impl<Stream> AsyncRead for Filter<Stream>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            if this.pass_on(buffer) {
                return Poll::Ready(Ok(()));
            }
            if this.expected.take_new() {
                this.mode = Mode::Head;
            }
            if matches!(this.mode, Mode::PassOn) && this.received.is_empty() {
                return Pin::new(&mut this.stream).poll_read(cx, buffer);
            }
            this.examine();
            if !this.released.is_empty() {
                continue;
            }
            let mut bytes = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut read))?;
            if read.filled().is_empty() {
                // The end of the connection: what has arrived is left to hyper.
                this.mode = Mode::PassOn;
                this.release(this.received.len());
                this.pass_on(buffer);
                return Poll::Ready(Ok(()));
            }
            this.received.extend_from_slice(read.filled());
        }
    }
}

impl<Stream> AsyncWrite for Filter<Stream>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
