//! The handle by which a handler answers, and the body that hyper reads it from.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use fescuewell_core::prelude::*;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::{Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};

use super::guard::Watch;
use crate::refusal::refusal_response;

/// Chunks of a stream that may wait for the caller. Once they are used up the producer waits, so a caller that
/// reads slowly costs a bounded amount of memory.
const WAITING_CHUNKS: usize = 32;

/// The caller is gone: nothing that is sent reaches it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the caller has gone"))]
pub struct Disconnected;

/// Why [`Sink::try_send`] did not take a chunk.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(context(suffix(TrySendSnafu)))]
pub enum TrySendError {
    /// The caller reads more slowly than the stream comes; the chunk is given back.
    #[snafu(display("the stream's buffer is full"))]
    Full {
        /// What was to be sent.
        chunk: Bytes,
    },
    /// The caller is gone.
    #[snafu(display("the caller has gone"))]
    Disconnected,
}

/// How an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer was handed to the connection.
    Answered,
    /// The connection ended before that.
    CallerGone,
}

/// Tells when and how an exchange ended.
#[derive(Debug, Clone)]
pub struct Closed(watch::Receiver<Option<Ending>>);

impl Closed {
    /// Waits for the end.
    pub async fn wait(mut self) -> Ending {
        let ending = self.0.wait_for(Option::is_some).await;
        ending.map_or(Ending::CallerGone, |ending| {
            ending.unwrap_or(Ending::CallerGone)
        })
    }

    /// Waits until the caller is gone; never ends where the exchange is answered whole.
    pub async fn wait_for_disconnect(self) -> Ending {
        match self.wait().await {
            Ending::Answered => std::future::pending().await,
            ending => ending,
        }
    }

    /// The ending, if it has come.
    pub fn now(&self) -> Option<Ending> {
        *self.0.borrow()
    }
}

/// The other half of [`Closed`]; dropped before an ending was told, it tells that the caller is gone.
pub(super) struct Closer(watch::Sender<Option<Ending>>);

impl Closer {
    fn tell(&self, ending: Ending) {
        self.0.send_if_modified(|told| {
            let first = told.is_none();
            if first {
                *told = Some(ending);
            }
            first
        });
    }
}

impl Drop for Closer {
    fn drop(&mut self) {
        self.tell(Ending::CallerGone);
    }
}

/// What a handler decided: an answer, or to break the connection off without one.
pub(super) type Answer = Option<(Response<()>, Content)>;

/// The right to answer one request, once.
pub struct Reply {
    answer: oneshot::Sender<Answer>,
    closed: Closed,
}

/// Makes a reply and what the connection needs to wait for it.
pub(super) fn pair() -> (Reply, oneshot::Receiver<Answer>, Closer) {
    let (answer, receiver) = oneshot::channel();
    let (told, closed) = watch::channel(None);
    let closed = Closed(closed);
    (Reply { answer, closed }, receiver, Closer(told))
}

impl Reply {
    /// Answers with a whole body.
    pub fn send(self, status: StatusCode, headers: HeaderMap, body: Bytes) {
        let content = Content::Whole(body);
        let _ = self.answer.send(Some((head(status, headers), content)));
    }

    /// Closes the connection without an answer, so that the caller cannot know what became of its request.
    pub fn abort(self) {
        let _ = self.answer.send(None);
    }

    /// Answers with a refusal.
    pub fn refuse(self, refusal: &Refusal) {
        let (parts, body) = refusal_response(refusal).into_parts();
        self.send(parts.status, parts.headers, body);
    }

    /// Sends the head and goes on with a body in chunks, each of which is written as soon as it is sent.
    pub fn stream(self, status: StatusCode, headers: HeaderMap) -> Sink {
        let (chunks, receiver) = mpsc::channel(WAITING_CHUNKS);
        let finished = Arc::new(AtomicBool::new(false));
        let content = Content::Stream {
            chunks: receiver,
            finished: finished.clone(),
        };
        let _ = self.answer.send(Some((head(status, headers), content)));
        Sink {
            chunks,
            finished,
            closed: self.closed,
        }
    }

    /// Tells when the exchange has ended, for instance because the caller went away.
    pub fn closed(&self) -> Closed {
        self.closed.clone()
    }
}

fn head(status: StatusCode, headers: HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// The body of a streamed answer.
///
/// Dropped without [`Sink::finish`], the connection is cut off without the mark that ends a chunked
/// body, so that the caller can tell a broken answer from a whole one.
pub struct Sink {
    chunks: mpsc::Sender<Bytes>,
    finished: Arc<AtomicBool>,
    closed: Closed,
}

impl Sink {
    /// Sends a chunk, waiting for room.
    ///
    /// # Errors
    ///
    /// [`Disconnected`] when the caller went away.
    pub async fn send(&self, chunk: Bytes) -> Result<(), Disconnected> {
        self.chunks.send(chunk).await.map_err(|_| Disconnected)
    }

    /// Sends a chunk if there is room for it.
    ///
    /// # Errors
    ///
    /// [`TrySendError::Full`] gives the chunk back.
    pub fn try_send(&self, chunk: Bytes) -> Result<(), TrySendError> {
        self.chunks.try_send(chunk).map_err(|error| match error {
            mpsc::error::TrySendError::Full(chunk) => TrySendError::Full { chunk },
            mpsc::error::TrySendError::Closed(_) => TrySendError::Disconnected,
        })
    }

    /// Ends the body; what was sent before still reaches the caller.
    pub fn finish(self) {
        // Stored before the sender is dropped: the body looks at it once the channel is empty and closed.
        self.finished.store(true, Ordering::Release);
    }

    /// Tells when the exchange has ended, for instance because the caller went away.
    pub fn closed(&self) -> Closed {
        self.closed.clone()
    }
}

/// What an answer's body consists of.
pub(super) enum Content {
    /// All of it at once.
    Whole(Bytes),
    /// Chunks as they come.
    Stream {
        chunks: mpsc::Receiver<Bytes>,
        finished: Arc<AtomicBool>,
    },
}

/// The producer of a stream gave up before its end.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was broken off"))]
pub(super) struct BrokenOff;

/// A body as hyper reads it.
pub(super) struct Body {
    content: Content,
    ended: bool,
    unread: bool,
    breaking: bool,
    watch: Arc<Watch>,
    closer: Closer,
}

impl Body {
    pub(super) fn new(content: Content, watch: Arc<Watch>, closer: Closer) -> Self {
        let ended = matches!(&content, Content::Whole(bytes) if bytes.is_empty());
        Self {
            content,
            ended,
            unread: false,
            breaking: false,
            watch,
            closer,
        }
    }

    /// Marks an answer whose body hyper drops unread, as to a HEAD request: that is no broken exchange.
    pub(super) fn with_unread(mut self, unread: bool) -> Self {
        self.unread = unread;
        self
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let body = &mut *self;
        match &mut body.content {
            Content::Whole(bytes) => {
                body.ended = true;
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes)))))
            }
            Content::Stream { chunks, finished } => match chunks.poll_recv(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(chunk)) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
                Poll::Ready(None) if finished.load(Ordering::Acquire) => {
                    body.ended = true;
                    Poll::Ready(None)
                }
                Poll::Ready(None) if !body.breaking => {
                    // hyper drops what it has not yet written when the body fails. One round
                    // without a chunk makes it write the last ones first.
                    body.breaking = true;
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                Poll::Ready(None) => Poll::Ready(Some(Err(BrokenOff))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Content::Stream { .. } => SizeHint::default(),
        }
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        if self.ended || self.unread {
            self.closer.tell(Ending::Answered);
            self.watch.answered();
        }
    }
}

/// Completes with the handler's answer, or a refusal when the handler dropped its [`Reply`]. Dropped
/// before that, its [`Closer`] tells that the caller is gone.
pub(super) async fn wait(
    answer: oneshot::Receiver<Answer>,
    closer: Closer,
    watch: Arc<Watch>,
) -> Result<Response<Body>, BrokenOff> {
    let answer = answer.await.unwrap_or_else(|_| {
        let refusal = Refusal::new(Code::Internal);
        let (parts, body) = refusal_response(&refusal).into_parts();
        Some((Response::from_parts(parts, ()), Content::Whole(body)))
    });
    let (head, content) = answer.ok_or(BrokenOff)?;
    Ok(head.map(|()| Body::new(content, watch, closer)))
}

/// Whether hyper leaves the body of such an answer unread.
pub(super) fn is_unread(method: &http::Method, status: StatusCode) -> bool {
    let bodyless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    method == http::Method::HEAD || bodyless
}
