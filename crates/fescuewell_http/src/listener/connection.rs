//! One connection: TLS, requests in turn, and the refusals that hyper knows nothing of.

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

use super::body::{self, Room};
use super::guard::{Expiry, Guard, Watch};
use super::reply::{self, Body, BrokenOff};
use super::{Arrival, Request, Shared, Stage};
use crate::refusal::refusal_response;

/// hyper's lower bound on the buffer that a head has to fit.
const LEAST_HEAD_BYTES: usize = 8_192;

/// How long, and how much, is still read from a caller that was refused, so that the refusal reaches it.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 1024 * 1024;

/// Serves a connection until it ends.
pub(super) async fn serve(arrival: Arrival, shared: Arc<Shared>) {
    let Arrival {
        stream,
        peer,
        place,
    } = arrival;
    let Ok(stream) = TcpStream::from_std(stream) else {
        return;
    };
    // Without this each small chunk of a stream waits for the caller's acknowledgement of the last one.
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
    drop(place);
}

/// How a connection came to its end.
enum End {
    /// hyper has no more to do on it.
    Finished(hyper::Result<()>),
    /// A bound on time was passed.
    Expired(Expiry),
}

async fn drive<Io>(io: Io, peer: SocketAddr, shared: &Arc<Shared>)
where
    Io: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let watch = Arc::new(Watch::new(shared.clone()));
    let guard = Guard::new(io, watch.clone());
    let service = service_fn(|request| {
        watch.begin();
        Box::pin(exchange(request, peer, shared.clone(), watch.clone()))
    });
    let mut connection = http1::Builder::new()
        .max_buf_size(shared.settings.max_head_bytes.max(LEAST_HEAD_BYTES))
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(guard), service);
    let mut stage = shared.stage.subscribe();
    let mut draining = pin!(stage.wait_for(|stage| *stage >= Stage::Draining));
    let mut told = false;
    let mut timer = pin!(tokio::time::sleep(shared.settings.header_timeout));
    let end = poll_fn(|cx| {
        if !told && draining.as_mut().poll(cx).is_ready() {
            told = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        if let Poll::Ready(result) = connection.poll_without_shutdown(cx) {
            return Poll::Ready(End::Finished(result));
        }
        poll_expiry(timer.as_mut(), &watch, shared, cx).map(End::Expired)
    });
    let end = end.await;
    let io = connection.into_parts().io.into_inner().into_inner();
    conclude(io, end, peer, &watch, shared).await;
}

/// Fires when the connection's patience has ended. The timer is left alone while the deadline moves
/// away from it, since each chunk of a stream moves the deadline and setting a timer costs more.
fn poll_expiry(
    mut timer: Pin<&mut Sleep>,
    watch: &Watch,
    shared: &Shared,
    cx: &mut Context<'_>,
) -> Poll<Expiry> {
    loop {
        let Some((deadline, expiry)) = watch.expiry(&shared.settings) else {
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

/// Tells the caller what hyper does not, and closes the connection.
async fn conclude<Io>(mut io: Io, end: End, peer: SocketAddr, watch: &Watch, shared: &Shared)
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    let code = match &end {
        End::Expired(Expiry::Head) => Some(Code::RequestTimeout),
        End::Expired(_) => None,
        End::Finished(Err(error)) if watch.rejected() => Some(rejection(error)),
        End::Finished(_) => None,
    };
    if let Some(code) = code {
        shared.refusal_log.note(peer, code);
        refuse(io, &Refusal::new(code)).await;
        return;
    }
    match end {
        End::Finished(Ok(())) => linger(io).await,
        // Dropped without a shutdown of the writing side: the answer, if any, is not whole.
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

fn rejection(error: &hyper::Error) -> Code {
    if error.is_parse_too_large() {
        return Code::HeadTooLarge;
    }
    Code::MalformedRequest
}

/// Writes a refusal on a connection that hyper does not serve, and closes it.
pub(super) async fn refuse<Io>(mut io: Io, refusal: &Refusal)
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    let written = timeout(LINGER, io.write_all(&raw(refusal))).await;
    if matches!(written, Ok(Ok(()))) {
        linger(io).await;
    }
}

/// The refusal as bytes on the wire.
fn raw(refusal: &Refusal) -> Vec<u8> {
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

/// Ends the writing side and reads on for a while.
///
/// Closing a socket on which unread bytes wait resets the connection, and the reset can overtake the answer:
/// a caller that is still sending an oversized body would see a broken connection in place of the refusal.
async fn linger<Io>(mut io: Io)
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    let drain = async {
        if io.shutdown().await.is_err() {
            return;
        }
        let mut scratch = [0u8; 4096];
        let mut seen = 0;
        while seen < LINGER_BYTES {
            match io.read(&mut scratch).await {
                Ok(0) | Err(_) => return,
                Ok(count) => seen += count,
            }
        }
    };
    let _ = timeout(LINGER, Box::pin(drain)).await;
}

/// Reads one request whole, gives it to the handler and waits for its answer.
async fn exchange(
    request: http::Request<Incoming>,
    peer: SocketAddr,
    shared: Arc<Shared>,
    watch: Arc<Watch>,
) -> Result<http::Response<Body>, BrokenOff> {
    let arrived = std::time::Instant::now();
    let (parts, body) = request.into_parts();
    let mut room = Room::new(shared.clone());
    let body = match body::read(body, &shared.settings, &mut room).await {
        Ok(body) => body,
        Err(refusal) => {
            shared.refusal_log.note(peer, refusal.code);
            return Ok(refuse_body(&refusal, watch));
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
    let (reply, answer, closer) = reply::pair();
    // A handler that panics costs its own caller an answer; unwinding further would end the connection
    // without a word. The reply that it dropped turns into the refusal below.
    let handled = catch_unwind(AssertUnwindSafe(|| shared.handler.handle(request, reply)));
    if handled.is_err() {
        fescuewell_core::log_event!(Event::InternalFault, "part=handler peer={peer}");
    }
    drop(shared);
    // The room of the body is kept until the answer begins: until then the handler may hold it.
    let response = reply::wait(answer, closer, watch).await?;
    drop(room);
    let unread = reply::is_unread(&method, response.status());
    Ok(response.map(|body| body.with_unread(unread)))
}

/// A refusal after which the connection is closed, since the rest of the body may still be coming.
fn refuse_body(refusal: &Refusal, watch: Arc<Watch>) -> http::Response<Body> {
    let (mut parts, body) = refusal_response(refusal).into_parts();
    let close = HeaderValue::from_static("close");
    parts.headers.insert(CONNECTION, close);
    let (reply, answer, closer) = reply::pair();
    drop((reply, answer));
    let body = Body::new(reply::Content::Whole(body), watch, closer);
    http::Response::from_parts(parts, body)
}
