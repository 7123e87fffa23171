//! Serves one connection: TLS handshake, sequential requests, and refusals that hyper cannot send.

use std::future::{Future, poll_fn};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, timeout};
use tokio_rustls::TlsAcceptor;

use super::body;
use super::guard::{ConnectionState, Expiry, Guard};
use super::reply::{self, Aborted, Body};
use super::{AcceptedConnection, Head, Limits, Request, Shared, Stage, memory};
use crate::refusal::refusal_response;

/// hyper's minimum for the buffer that must hold a head.
const MIN_HEAD_BYTES: usize = 8_192;

/// hyper's limit of the number of header fields unless it is given another one.
const DEFAULT_MAX_FIELDS: usize = 100;
/// Minimum size of a header field with its line break: a name of one character and a colon.
const MIN_FIELD_BYTES: usize = 4;
/// Maximum number of bytes that are read before hyper takes over; they are part of what an idle connection holds.
const FIRST_READ_BYTES: usize = 2_048;

/// For how long, and how many bytes, data is still read from a refused caller, so that it receives the refusal.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_LINGER_BYTES: usize = 1024 * 1024;

/// Serves a connection until it ends.
pub(super) async fn serve(accepted: AcceptedConnection, shared: Arc<Shared>) {
    let AcceptedConnection {
        stream,
        peer,
        permit,
    } = accepted;
    let Ok(stream) = TcpStream::from_std(stream) else {
        return;
    };
    // Nagle's algorithm would delay each small chunk until the caller acknowledges the previous one.
    let _ = stream.set_nodelay(true);
    let state = Arc::new(ConnectionState::new(shared.clone()));
    let _registration = shared.settings.memory.register(state.clone());
    if !state.hold(0).await {
        refuse(stream, &overloaded(), &state).await;
        return;
    }
    let connection = Connection {
        peer,
        state,
        shared: shared.clone(),
    };
    match &shared.acceptor {
        None => connection.run(stream).await,
        // Boxed, as the state of a session would enlarge the tasks of all connections.
        Some(acceptor) => Box::pin(connection.run_encrypted(stream, acceptor)).await,
    }
    drop(permit);
}

fn overloaded() -> Refusal {
    Refusal::new(Code::Overloaded).with_retry_after(body::RETRY_AFTER)
}

/// Why a connection ended, or stopped to be served.
enum ConnectionEnd {
    /// hyper finished serving the connection.
    Finished(hyper::Result<()>),
    /// A timeout expired.
    Expired(Expiry),
    /// The connection is closed so that others are served.
    Closing,
    /// There is no memory for the request.
    Overloaded,
    /// The connection waits for its next request.
    Idle,
}

/// Resolves when the connections of a listener end after their current exchange.
type Draining = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A connection whose socket is served in turn by a wait for the next request and by hyper.
struct Connection {
    peer: SocketAddr,
    state: Arc<ConnectionState>,
    shared: Arc<Shared>,
}

/// A socket that hyper no longer serves, and bytes that were received on it but not read.
struct Served<Io> {
    io: Io,
    received: Bytes,
    end: ConnectionEnd,
}

impl Connection {
    async fn run_encrypted(self, stream: TcpStream, acceptor: &TlsAcceptor) {
        let handshake = timeout(self.shared.settings.header_timeout, acceptor.accept(stream));
        let stream = tokio::select! {
            biased;
            () = poll_fn(|cx| self.state.poll_closing(cx)) => return,
            stream = handshake => stream,
        };
        if let Ok(Ok(stream)) = stream {
            self.run(stream).await;
        }
    }

    /// Serves the requests of the connection. Between two requests it holds neither hyper's state nor any buffer.
    async fn run<Io>(self, mut io: Io)
    where
        Io: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let mut timer = Box::pin(tokio::time::sleep(self.shared.settings.header_timeout));
        let mut draining = self.draining();
        let mut received = Bytes::new();
        loop {
            if received.is_empty() {
                let next = self.wait_readable(&mut io, timer.as_mut(), &mut draining);
                received = match next.await {
                    Ok(received) => received,
                    Err(end) => return self.finish(io, end).await,
                };
            }
            self.state.begin_head();
            if !self
                .state
                .hold(memory::head_bytes(DEFAULT_MAX_FIELDS))
                .await
            {
                return self.refuse(io, &overloaded()).await;
            }
            let served = Box::pin(self.drive(io, received, &mut timer, &mut draining)).await;
            self.state.release_request();
            if !matches!(served.end, ConnectionEnd::Idle) {
                return self.finish(served.io, served.end).await;
            }
            Served { io, received, .. } = served;
        }
    }

    fn draining(&self) -> Draining {
        let mut stage = self.shared.stage.subscribe();
        Box::pin(async move {
            // An error means that the listener has ended.
            let _ = stage.wait_for(|stage| *stage >= Stage::Draining).await;
        })
    }

    /// Waits for the first bytes of a request.
    async fn wait_readable<Io>(
        &self,
        io: &mut Io,
        mut timer: Pin<&mut Sleep>,
        draining: &mut Draining,
    ) -> Result<Bytes, ConnectionEnd>
    where
        Io: AsyncRead + Unpin,
    {
        let limits = self.shared.limits.get();
        poll_fn(|cx| {
            if self.state.poll_closing(cx).is_ready() {
                return Poll::Ready(Err(ConnectionEnd::Closing));
            }
            match poll_received(io, cx) {
                Poll::Ready(Ok(received)) if !received.is_empty() => {
                    return Poll::Ready(Ok(received));
                }
                Poll::Ready(_) => return Poll::Ready(Err(ConnectionEnd::Finished(Ok(())))),
                Poll::Pending => {}
            }
            if draining.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Err(ConnectionEnd::Finished(Ok(()))));
            }
            let expiry = poll_expiry(timer.as_mut(), &self.state, &limits, cx);
            expiry.map(|expiry| Err(ConnectionEnd::Expired(expiry)))
        })
        .await
    }

    /// Lets hyper serve requests until none is in progress. hyper limits the number of header fields to 100; a head
    /// with more is read again with as many as its size allows.
    async fn drive<Io>(
        &self,
        io: Io,
        received: Bytes,
        timer: &mut Pin<Box<Sleep>>,
        draining: &mut Draining,
    ) -> Served<Io>
    where
        Io: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let limits = self.shared.limits.get();
        let served = self.serve_http(io, received, timer, draining, &limits, None);
        let served = served.await;
        if !self.has_many_fields(&served, &limits) {
            return served;
        }
        self.state.clear_rejection();
        let fields = limits.head_bytes / MIN_FIELD_BYTES;
        if !self.state.hold(memory::head_bytes(fields)).await {
            return Served {
                end: ConnectionEnd::Overloaded,
                ..served
            };
        }
        let Served { io, received, .. } = served;
        self.serve_http(io, received, timer, draining, &limits, Some(fields))
            .await
    }

    /// Whether hyper rejected a head of legal size for the number of its fields.
    fn has_many_fields<Io>(&self, served: &Served<Io>, limits: &Limits) -> bool {
        let ConnectionEnd::Finished(Err(error)) = &served.end else {
            return false;
        };
        let is_rejected = error.is_parse_too_large() && self.state.rejected();
        let head = &served.received[..served.received.len().min(limits.head_bytes)];
        let lines = head.iter().filter(|byte| **byte == b'\n');
        is_rejected && lines.count() > DEFAULT_MAX_FIELDS
    }

    async fn serve_http<Io>(
        &self,
        io: Io,
        received: Bytes,
        timer: &mut Pin<Box<Sleep>>,
        draining: &mut Draining,
        limits: &Limits,
        max_fields: Option<usize>,
    ) -> Served<Io>
    where
        Io: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let (peer, state, shared) = (self.peer, &self.state, &self.shared);
        let guard = Guard::new(io, received, state.clone());
        let is_first = AtomicBool::new(true);
        let service = service_fn(|request: http::Request<Incoming>| {
            let body_use = body_use(&request, shared);
            state.begin_exchange(body_use == BodyUse::Read, body_use == BodyUse::Absent);
            let was_sent_ahead = !is_first.swap(false, Ordering::Relaxed);
            let (shared, state) = (shared.clone(), state.clone());
            Box::pin(async move {
                if was_sent_ahead {
                    // hyper serves up to 16 such requests before other connections get a turn.
                    tokio::task::yield_now().await;
                }
                exchange(request, body_use, peer, shared, state).await
            })
        });
        let mut builder = http1::Builder::new();
        builder
            .max_buf_size(shared.settings.max_head_bytes.max(MIN_HEAD_BYTES))
            .max_header_size(limits.head_bytes)
            .header_read_timeout(None);
        if let Some(fields) = max_fields {
            builder.max_headers(fields);
        }
        let mut connection = builder.serve_connection(TokioIo::new(guard), service);
        let mut shutdown_requested = false;
        let end = poll_fn(|cx| {
            if state.poll_closing(cx).is_ready() {
                return Poll::Ready(ConnectionEnd::Closing);
            }
            if let Poll::Ready(result) = connection.poll_without_shutdown(cx) {
                return Poll::Ready(ConnectionEnd::Finished(result));
            }
            // Only now: hyper would close a connection whose first request it has not read.
            if !shutdown_requested && draining.as_mut().poll(cx).is_ready() {
                shutdown_requested = true;
                Pin::new(&mut connection).graceful_shutdown();
                if let Poll::Ready(result) = connection.poll_without_shutdown(cx) {
                    return Poll::Ready(ConnectionEnd::Finished(result));
                }
            }
            if state.is_between_requests() && !shutdown_requested {
                return Poll::Ready(ConnectionEnd::Idle);
            }
            poll_expiry(timer.as_mut(), state, limits, cx).map(ConnectionEnd::Expired)
        });
        let end = end.await;
        let parts = connection.into_parts();
        let (io, unread) = parts.io.into_inner().into_parts();
        Served {
            io,
            received: concat(parts.read_buf, unread),
            end,
        }
    }

    /// Sends the refusal, if any, that hyper cannot send, and closes the connection.
    async fn finish<Io>(&self, mut io: Io, end: ConnectionEnd)
    where
        Io: AsyncRead + AsyncWrite + Unpin,
    {
        let rejected = self.state.rejected();
        match end {
            ConnectionEnd::Expired(Expiry::Head) => {
                self.refuse(io, &Refusal::new(Code::RequestTimeout)).await;
            }
            ConnectionEnd::Finished(Err(error)) if rejected => {
                self.refuse(io, &Refusal::new(rejection_code(&error))).await;
            }
            ConnectionEnd::Overloaded => self.refuse(io, &overloaded()).await,
            ConnectionEnd::Closing => {
                let is_request = self.state.begin_refusal();
                if is_request {
                    self.refuse(io, &overloaded()).await;
                } else {
                    self.shared.refusal_log.record(self.peer, Code::Overloaded);
                }
            }
            ConnectionEnd::Finished(Ok(())) => {
                self.state.begin_refusal();
                linger(io, &self.state).await;
            }
            // Closes without shutting down the write side, since a response in progress is incomplete.
            ConnectionEnd::Finished(Err(_)) | ConnectionEnd::Expired(_) | ConnectionEnd::Idle => {
                drop(io.flush().now_or_never());
            }
        }
    }

    async fn refuse<Io>(&self, io: Io, refusal: &Refusal)
    where
        Io: AsyncRead + AsyncWrite + Unpin,
    {
        self.shared.refusal_log.record(self.peer, refusal.code);
        self.state.begin_refusal();
        refuse(io, refusal, &self.state).await;
    }
}

/// Reads what has been received. The buffer is on the stack, so that a connection that waits holds none.
fn poll_received<Io>(io: &mut Io, cx: &mut Context<'_>) -> Poll<std::io::Result<Bytes>>
where
    Io: AsyncRead + Unpin,
{
    let mut space = [MaybeUninit::uninit(); FIRST_READ_BYTES];
    let mut buffer = ReadBuf::uninit(&mut space);
    ready!(Pin::new(io).poll_read(cx, &mut buffer))?;
    Poll::Ready(Ok(Bytes::copy_from_slice(buffer.filled())))
}

fn concat(first: Bytes, second: Bytes) -> Bytes {
    if second.is_empty() {
        return first;
    }
    [first, second].concat().into()
}

/// What becomes of the body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyUse {
    /// There is none.
    Absent,
    /// It is read before the handler gets the request.
    Read,
    /// The handler does not need it.
    Skipped,
}

fn body_use(request: &http::Request<Incoming>, shared: &Shared) -> BodyUse {
    if request.body().is_end_stream() {
        return BodyUse::Absent;
    }
    let head = Head {
        uri: request.uri(),
        headers: request.headers(),
    };
    match shared.handler.needs_body(&head) {
        true => BodyUse::Read,
        false => BodyUse::Skipped,
    }
}

/// Resolves when a timeout of the connection expires. A later deadline does not reset the timer until it
/// fires: each chunk of a stream moves the deadline, and resetting the timer each time would cost more.
fn poll_expiry(
    mut timer: Pin<&mut Sleep>,
    state: &ConnectionState,
    limits: &Limits,
    cx: &mut Context<'_>,
) -> Poll<Expiry> {
    loop {
        let Some((deadline, expiry)) = state.expiry(limits) else {
            return Poll::Pending;
        };
        if Instant::now() >= deadline {
            return Poll::Ready(expiry);
        }
        if timer.deadline() > deadline || timer.is_elapsed() {
            timer.as_mut().reset(deadline);
        }
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
    }
}

/// Polls a future once.
trait NowOrNever: Future {
    fn now_or_never(self) -> Option<Self::Output>
    where
        Self: Sized,
    {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        match pin!(self).poll(&mut cx) {
            Poll::Ready(output) => Some(output),
            Poll::Pending => None,
        }
    }
}

impl<Any> NowOrNever for Any where Any: Future {}

fn rejection_code(error: &hyper::Error) -> Code {
    if error.is_parse_too_large() {
        return Code::HeadTooLarge;
    }
    Code::MalformedRequest
}

/// Sends a refusal on a connection that hyper does not serve, and closes it.
async fn refuse<Io>(mut io: Io, refusal: &Refusal, state: &ConnectionState)
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    let text = encode_refusal(refusal);
    let written = timeout(LINGER_TIMEOUT, io.write_all(&text)).await;
    if matches!(written, Ok(Ok(()))) {
        linger(io, state).await;
    }
}

/// Does the same on a connection beyond the limit, which is closed soon and in no other state.
pub(super) async fn refuse_unserved(mut io: TcpStream, refusal: &Refusal) {
    let text = encode_refusal(refusal);
    let written = timeout(LINGER_TIMEOUT, io.write_all(&text)).await;
    if matches!(written, Ok(Ok(()))) {
        let _ = timeout(LINGER_TIMEOUT, Box::pin(discard(io))).await;
    }
}

/// Encodes a refusal as an HTTP/1.1 response.
fn encode_refusal(refusal: &Refusal) -> Vec<u8> {
    let mut response = refusal_response(refusal);
    let length = HeaderValue::from(response.body().len());
    let headers = response.headers_mut();
    headers.insert(CONTENT_LENGTH, length);
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    let mut bytes = format!("HTTP/1.1 {}\r\n", response.status()).into_bytes();
    for (name, value) in response.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(response.body());
    bytes
}

/// Shuts down the write side and continues to read for a limited time (lingering close), unless the connection must be
/// closed for others.
///
/// Closing a socket with unread data resets the connection, and the reset can overtake the response: a
/// caller that is still sending an oversized body would see a reset connection instead of the refusal.
async fn linger<Io>(io: Io, state: &ConnectionState)
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    tokio::select! {
        biased;
        () = poll_fn(|cx| state.poll_closing(cx)) => {}
        _ = timeout(LINGER_TIMEOUT, Box::pin(discard(io))) => {}
    }
}

/// Shuts down the write side, and reads until the caller closes.
async fn discard<Io>(mut io: Io)
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    if io.shutdown().await.is_err() {
        return;
    }
    let mut discarded = 0;
    while discarded < MAX_LINGER_BYTES {
        match poll_fn(|cx| poll_received(&mut io, cx)).await {
            Ok(bytes) if !bytes.is_empty() => discarded += bytes.len(),
            _ => return,
        }
    }
}

/// Reads a request with its body, passes it to the handler and waits for the response.
async fn exchange(
    request: http::Request<Incoming>,
    body_use: BodyUse,
    peer: SocketAddr,
    shared: Arc<Shared>,
    state: Arc<ConnectionState>,
) -> Result<http::Response<Body>, Aborted> {
    let arrived = std::time::Instant::now();
    let (parts, body) = request.into_parts();
    let held = memory::exchange_bytes(parts.headers.len());
    // Fits without a wait, which the headers would outlast, unless the request was sent ahead of the last response.
    let received = match state.resize_request(held) {
        true if body_use == BodyUse::Read => {
            let max_bytes = shared.limits.get().body_bytes;
            let received = body::read(body, max_bytes, &shared.settings, &state, held).await;
            if received.is_ok() {
                state.body_received();
            }
            received
        }
        true => {
            drop(body);
            Ok(Bytes::new())
        }
        false => Err(overloaded()),
    };
    let body = match received {
        Ok(body) => body,
        Err(refusal) => {
            shared.refusal_log.record(peer, refusal.code);
            return Ok(refuse_body(&refusal, state));
        }
    };
    if !state.begin_response() {
        // The driver closes the connection.
        std::future::pending::<()>().await;
    }
    let method = parts.method.clone();
    let request = Request {
        method: parts.method,
        path: parts.uri.path().into(),
        query: parts.uri.query().unwrap_or_default().into(),
        target: parts.uri,
        headers: parts.headers,
        body,
        is_body_skipped: body_use == BodyUse::Skipped,
        peer,
        arrived,
    };
    let (reply, receiver, ending_sender) = reply::channel();
    // A panic in the handler must only affect its own request: unwinding further would close the connection
    // without a response. The reply that the handler dropped results in a refusal below.
    let handled = catch_unwind(AssertUnwindSafe(|| shared.handler.handle(request, reply)));
    if handled.is_err() {
        fescuewell_core::log_event!(Event::InternalFault, "part=handler peer={peer}");
    }
    drop(shared);
    let response = reply::wait(receiver, ending_sender, state).await?;
    let is_unpolled = reply::is_unpolled(&method, response.status());
    Ok(response.map(|body| body.with_unpolled(is_unpolled)))
}

/// Creates a refusal with `Connection: close`, since the rest of the body may still be in transit.
fn refuse_body(refusal: &Refusal, state: Arc<ConnectionState>) -> http::Response<Body> {
    let (mut parts, body) = refusal_response(refusal).into_parts();
    let close = HeaderValue::from_static("close");
    parts.headers.insert(CONNECTION, close);
    let (reply, receiver, ending_sender) = reply::channel();
    drop((reply, receiver));
    let body = Body::new(reply::Content::Whole(body), state, ending_sender);
    http::Response::from_parts(parts, body)
}
