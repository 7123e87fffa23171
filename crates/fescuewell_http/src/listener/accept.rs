//! The accept loop and the connection cap.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuewell_core::prelude::*;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

use super::{Arrival, Shared, Stage, connection};

/// Connections that the operating system completes before they are accepted.
const BACKLOG: i32 = 1_024;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Pause after the socket could not be bound again.
const REBIND_PAUSE: Duration = Duration::from_millis(500);

/// While accepting keeps failing, every so many failures are logged once.
const FAILURES_PER_LOG: u64 = 100;

/// Connections beyond the cap that may be told so at the same time; more are closed without a word,
/// since each one costs a descriptor.
const REFUSALS_AT_ONCE: usize = 64;

/// One connection's share of the cap, given back when dropped.
pub(super) struct Place {
    shared: Arc<Shared>,
}

impl Place {
    fn take(shared: &Arc<Shared>) -> Option<Self> {
        let taken = shared.connections.fetch_add(1, Ordering::Relaxed);
        let place = Self {
            shared: shared.clone(),
        };
        (taken < shared.settings.max_connections).then_some(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An address that stays taken while nobody listens on it.
///
/// Without this the operating system gives the port to the next connection that any program opens, once the listening
/// socket is closed; listening again then fails for as long as that connection lives.
pub(super) struct Port {
    address: SocketAddr,
    // Bound and never listening, so that it accepts nothing and stands in no listener's way.
    _held: Socket,
}

impl Port {
    /// Takes an address; port 0 stands for any free one.
    pub(super) fn take(address: SocketAddr) -> io::Result<Self> {
        let held = bound(address)?;
        let address = held.local_addr()?.as_socket().unwrap_or(address);
        Ok(Self {
            address,
            _held: held,
        })
    }

    /// The address, with the port that was given out.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// A listening socket that a tokio runtime can take over.
    pub(super) fn listen(&self) -> io::Result<std::net::TcpListener> {
        let socket = bound(self.address)?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    }
}

fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Accepts connections and deals them out in turn until the listener stops accepting; while the gate is closed the
/// socket is closed too.
pub(super) async fn run(
    port: Port,
    socket: std::net::TcpListener,
    workers: Vec<flume::Sender<Arrival>>,
    shared: Arc<Shared>,
) {
    let mut stage = shared.stage.subscribe();
    let mut gate = shared.gate.open.subscribe();
    let mut socket = Some(socket);
    let mut turn = 0;
    loop {
        let opened = socket.take().map_or_else(|| port.listen(), Ok);
        match opened.and_then(TcpListener::from_std) {
            Ok(listener) => {
                if accept(&listener, &workers, &mut turn, &shared).await == Stage::Closed {
                    return;
                }
                take_waiting(listener, &workers, &mut turn, &shared).await;
            }
            Err(error) => {
                fescuewell_core::log_event!(Event::AcceptFailed, "error={error} failures=1");
                tokio::time::sleep(REBIND_PAUSE).await;
            }
        }
        tokio::select! {
            _ = gate.wait_for(|open| *open) => {}
            _ = stage.wait_for(|stage| *stage >= Stage::Closed) => return,
        }
    }
}

/// Takes up the connections that the operating system has completed already. Closing the socket would reset them, and
/// with them requests that are on their way.
async fn take_waiting(
    listener: TcpListener,
    workers: &[flume::Sender<Arrival>],
    turn: &mut usize,
    shared: &Arc<Shared>,
) {
    let Ok(socket) = listener.into_std() else {
        return;
    };
    // The socket does not block: an error means that none is left.
    while let Ok((stream, peer)) = socket.accept() {
        let Some(place) = Place::take(shared) else {
            return;
        };
        if stream.set_nonblocking(true).is_err() {
            continue;
        }
        let arrival = Arrival {
            stream,
            peer,
            place,
        };
        let worker = &workers[*turn % workers.len()];
        *turn += 1;
        let _ = worker.send_async(arrival).await;
    }
}

/// Accepts until the gate or the listener closes; returns [`Stage::Closed`] for the listener.
///
/// Only the wait for a connection is given up then: one that was accepted is always handed on.
async fn accept(
    listener: &TcpListener,
    workers: &[flume::Sender<Arrival>],
    turn: &mut usize,
    shared: &Arc<Shared>,
) -> Stage {
    let mut stage = shared.stage.subscribe();
    let mut gate = shared.gate.open.subscribe();
    let mut failures = 0u64;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = gate.wait_for(|open| !open) => return Stage::Open,
            _ = stage.wait_for(|stage| *stage >= Stage::Closed) => return Stage::Closed,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                survive(&error, failures).await;
                failures += 1;
                continue;
            }
        };
        failures = 0;
        let worker = &workers[*turn % workers.len()];
        *turn += 1;
        admit(stream, peer, worker, shared).await;
    }
}

/// An accept error, for instance for want of descriptors, must never end the loop: the process would
/// go on with its open connections and refuse every later one, unnoticed by its own checks. A pause
/// keeps the loop from spinning while the cause lasts; a connection that was merely
/// gone before it was accepted needs none.
async fn survive(error: &io::Error, failures: u64) {
    if failures.is_multiple_of(FAILURES_PER_LOG) {
        fescuewell_core::log_event!(Event::AcceptFailed, "error={error} failures={failures}");
    }
    let only_this_one = matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::ConnectionReset
    );
    if !only_this_one {
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}

async fn admit(
    stream: TcpStream,
    peer: SocketAddr,
    worker: &flume::Sender<Arrival>,
    shared: &Arc<Shared>,
) {
    let Some(place) = Place::take(shared) else {
        turn_away(stream, peer, shared);
        return;
    };
    // The stream is registered with the accepting thread's runtime; the thread that serves it
    // registers it anew, so that its readiness wakes the right thread.
    let Ok(stream) = stream.into_std() else {
        return;
    };
    let arrival = Arrival {
        stream,
        peer,
        place,
    };
    let _ = worker.send_async(arrival).await;
}

fn turn_away(stream: TcpStream, peer: SocketAddr, shared: &Arc<Shared>) {
    let refusals = shared.refusals.fetch_add(1, Ordering::Relaxed);
    let encrypted = shared.acceptor.is_some();
    if refusals >= REFUSALS_AT_ONCE || encrypted {
        shared.refusals.fetch_sub(1, Ordering::Relaxed);
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let refusal = Refusal::new(Code::TooManyConnections).with_retry_after(RETRY_AFTER);
        shared.refusal_log.note(peer, refusal.code);
        connection::refuse(stream, &refusal).await;
        shared.refusals.fetch_sub(1, Ordering::Relaxed);
    });
}

/// When a caller that met the cap should come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);
