//! Serves one connection: TLS handshake, sequential requests, and refusals that hyper cannot send.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use fescuewell_core::prelude::*;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, timeout};

use super::body::{self, BufferReservation};
use super::guard::{ConnectionState, Expiry, Guard};
use super::reply::{self, Aborted, Body};
use super::{AcceptedConnection, Request, Shared, Stage};
use crate::refusal::refusal_response;

/// hyper's minimum for the buffer that must hold a head.
const MIN_HEAD_BYTES: usize = 8_192;

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
    match &shared.acceptor {
        None => drive(stream, peer, &shared).await,
        Some(acceptor) => {
            let handshake = timeout(shared.settings.header_timeout, acceptor.accept(stream));
            if let Ok(Ok(stream)) = handshake.await {
                drive(stream, peer, &shared).await;
            }
        }
    }
    drop(permit);
}

/// Why a connection ended.
enum ConnectionEnd {
    /// hyper finished serving the connection.
    Finished(hyper::Result<()>),
    /// A timeout expired.
    Expired(Expiry),
}

async fn drive<Io>(io: Io, peer: SocketAddr, shared: &Arc<Shared>)
where
    Io: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let state = Arc::new(ConnectionState::new(shared.clone()));
    let guard = Guard::new(io, state.clone());
    let service = service_fn(|request| {
        state.begin_exchange();
        Box::pin(exchange(request, peer, shared.clone(), state.clone()))
    });
    let mut connection = http1::Builder::new()
        .max_buf_size(shared.settings.max_head_bytes.max(MIN_HEAD_BYTES))
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(guard), service);
    let mut stage = shared.stage.subscribe();
    let mut draining = pin!(stage.wait_for(|stage| *stage >= Stage::Draining));
    let mut shutdown_requested = false;
    let mut timer = pin!(tokio::time::sleep(shared.settings.header_timeout));
    let end = poll_fn(|cx| {
        if !shutdown_requested && draining.as_mut().poll(cx).is_ready() {
            shutdown_requested = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        if let Poll::Ready(result) = connection.poll_without_shutdown(cx) {
            return Poll::Ready(ConnectionEnd::Finished(result));
        }
        poll_expiry(timer.as_mut(), &state, shared, cx).map(ConnectionEnd::Expired)
    });
    let end = end.await;
    let io = connection.into_parts().io.into_inner().into_inner();
    finish(io, end, peer, &state, shared).await;
}

/// Resolves when a timeout of the connection expires. A later deadline does not reset the timer until it
/// fires: each chunk of a stream moves the deadline, and resetting the timer each time would cost more.
fn poll_expiry(
    mut timer: Pin<&mut Sleep>,
    state: &ConnectionState,
    shared: &Shared,
    cx: &mut Context<'_>,
) -> Poll<Expiry> {
    loop {
        let Some((deadline, expiry)) = state.expiry(&shared.settings) else {
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

/// Sends the refusal, if any, that hyper cannot send, and closes the connection.
async fn finish<Io>(
    mut io: Io,
    end: ConnectionEnd,
    peer: SocketAddr,
    state: &ConnectionState,
    shared: &Shared,
) where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    let code = match &end {
        ConnectionEnd::Expired(Expiry::Head) => Some(Code::RequestTimeout),
        ConnectionEnd::Expired(_) => None,
        ConnectionEnd::Finished(Err(error)) if state.rejected() => Some(rejection_code(error)),
        ConnectionEnd::Finished(_) => None,
    };
    if let Some(code) = code {
        shared.refusal_log.record(peer, code);
        refuse(io, &Refusal::new(code)).await;
        return;
    }
    match end {
        ConnectionEnd::Finished(Ok(())) => linger(io).await,
        // Closes without shutting down the write side, since a response in progress is incomplete.
        _ => drop(io.flush().now_or_never()),
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
pub(super) async fn refuse<Io>(mut io: Io, refusal: &Refusal)
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    let written = timeout(LINGER_TIMEOUT, io.write_all(&encode_refusal(refusal))).await;
    if matches!(written, Ok(Ok(()))) {
        linger(io).await;
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

/// Shuts down the write side and continues to read for a limited time (lingering close).
///
/// Closing a socket with unread data resets the connection, and the reset can overtake the response: a
/// caller that is still sending an oversized body would see a reset connection instead of the refusal.
async fn linger<Io>(mut io: Io)
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    let drain = async {
        if io.shutdown().await.is_err() {
            return;
        }
        let mut scratch = [0u8; 4096];
        let mut discarded = 0;
        while discarded < MAX_LINGER_BYTES {
            match io.read(&mut scratch).await {
                Ok(0) | Err(_) => return,
                Ok(count) => discarded += count,
            }
        }
    };
    let _ = timeout(LINGER_TIMEOUT, Box::pin(drain)).await;
}

/// Reads a request with its body, passes it to the handler and waits for the response.
async fn exchange(
    request: http::Request<Incoming>,
    peer: SocketAddr,
    shared: Arc<Shared>,
    state: Arc<ConnectionState>,
) -> Result<http::Response<Body>, Aborted> {
    let arrived = std::time::Instant::now();
    let (parts, body) = request.into_parts();
    let mut reservation = BufferReservation::new(shared.clone());
    let body = match body::read(body, &shared.settings, &mut reservation).await {
        Ok(body) => body,
        Err(refusal) => {
            shared.refusal_log.record(peer, refusal.code);
            return Ok(refuse_body(&refusal, state));
        }
    };
    let method = parts.method.clone();
    let request = Request {
        method: parts.method,
        path: parts.uri.path().into(),
        query: parts.uri.query().unwrap_or_default().into(),
        target: parts.uri,
        headers: parts.headers,
        body,
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
    // The reservation of the body is held until the response starts: until then the handler may hold the body.
    let response = reply::wait(receiver, ending_sender, state).await?;
    drop(reservation);
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
