//! The accept loop and the connection limit.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuewell_core::prelude::*;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

use super::{AcceptedConnection, Shared, Stage, connection};

/// Maximum number of established connections that are not yet accepted.
const LISTEN_BACKLOG: i32 = 1_024;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Delay after a failure to reopen the listening socket.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// Of consecutive accept failures, the first and then one in this many is logged.
const FAILURES_PER_LOG: u64 = 100;

/// Maximum number of connections beyond the limit that are sent a refusal at the same time. Further
/// ones are closed without a response, since each takes up a file descriptor.
const MAX_CONCURRENT_REFUSALS: usize = 64;

/// Size of a connection's receive buffer in the kernel, in bytes; the kernel doubles it. It bounds what is received on
/// a connection that is not read, such as requests sent ahead.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of connections beyond the limit while others are closed for them.
const MAX_EXCESS_CONNECTIONS: usize = 64;

/// A slot within the connection limit, released on drop.
pub(super) struct ConnectionPermit {
    shared: Arc<Shared>,
}

impl ConnectionPermit {
    /// Takes a slot. At the limit, the connection that has been unused for the longest time is closed for it.
    fn acquire(shared: &Arc<Shared>) -> Option<Self> {
        let open = shared.connections.fetch_add(1, Ordering::Relaxed);
        let permit = Self {
            shared: shared.clone(),
        };
        let limit = shared.settings.max_connections;
        if open < limit {
            return Some(permit);
        }
        let has_room = open < limit + MAX_EXCESS_CONNECTIONS;
        let is_replaced = has_room && shared.settings.memory.close_unused(shared);
        is_replaced.then_some(permit)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An address that stays bound while the listening socket is closed.
///
/// Otherwise the operating system may assign the port to an outgoing connection of any process once the listening
/// socket is closed; listening again then fails for as long as that connection is open.
pub(super) struct ReservedAddress {
    address: SocketAddr,
    // Bound but never listening, so that it accepts no connections and does not conflict with the listening socket.
    _socket: Socket,
}

impl ReservedAddress {
    /// Binds an address; port 0 selects any free port.
    pub(super) fn reserve(address: SocketAddr) -> io::Result<Self> {
        let socket = bind(address)?;
        let address = socket.local_addr()?.as_socket().unwrap_or(address);
        Ok(Self {
            address,
            _socket: socket,
        })
    }

    /// The address, with the assigned port.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a non-blocking listening socket on the address.
    pub(super) fn listen(&self) -> io::Result<std::net::TcpListener> {
        let socket = bind(self.address)?;
        // Accepted connections inherit it.
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.listen(LISTEN_BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    }
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Accepts connections and distributes them round-robin to the serving threads until the listener stops accepting.
/// While the gate is closed, so is the socket.
pub(super) async fn run(
    reserved: ReservedAddress,
    socket: std::net::TcpListener,
    workers: Vec<flume::Sender<AcceptedConnection>>,
    shared: Arc<Shared>,
) {
    let mut stage = shared.stage.subscribe();
    let mut gate = shared.gate.open.subscribe();
    let mut socket = Some(socket);
    let mut next_worker = 0;
    loop {
        let opened = socket.take().map_or_else(|| reserved.listen(), Ok);
        match opened.and_then(TcpListener::from_std) {
            Ok(listener) => {
                if accept(&listener, &workers, &mut next_worker, &shared).await == Stage::Closed {
                    return;
                }
                accept_pending(listener, &workers, &mut next_worker, &shared).await;
            }
            Err(error) => {
                fescuewell_core::log_event!(Event::AcceptFailed, "error={error} failures=1");
                tokio::time::sleep(REOPEN_DELAY).await;
            }
        }
        tokio::select! {
            _ = gate.wait_for(|open| *open) => {}
            _ = stage.wait_for(|stage| *stage >= Stage::Closed) => return,
        }
    }
}

/// Accepts the connections that are already established. Closing the socket would reset them and lose requests that
/// are in transit.
async fn accept_pending(
    listener: TcpListener,
    workers: &[flume::Sender<AcceptedConnection>],
    next_worker: &mut usize,
    shared: &Arc<Shared>,
) {
    let Ok(socket) = listener.into_std() else {
        return;
    };
    // The socket is non-blocking: an error means that no connection is left.
    while let Ok((stream, peer)) = socket.accept() {
        let Some(permit) = ConnectionPermit::acquire(shared) else {
            return;
        };
        if stream.set_nonblocking(true).is_err() {
            continue;
        }
        let accepted = AcceptedConnection {
            stream,
            peer,
            permit,
        };
        let worker = &workers[*next_worker % workers.len()];
        *next_worker += 1;
        let _ = worker.send_async(accepted).await;
    }
}

/// Accepts until the gate or the listener closes; returns [`Stage::Closed`] for the listener.
///
/// Only the wait for a connection is cancelled; an accepted connection is always passed on.
async fn accept(
    listener: &TcpListener,
    workers: &[flume::Sender<AcceptedConnection>],
    next_worker: &mut usize,
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
                handle_accept_error(&error, failures).await;
                failures += 1;
                continue;
            }
        };
        failures = 0;
        let worker = &workers[*next_worker % workers.len()];
        *next_worker += 1;
        dispatch(stream, peer, worker, shared).await;
    }
}

/// Logs an accept error and delays the next attempt. An error such as a lack of file descriptors must not
/// end the loop: the process would continue to serve its open connections but accept no new ones, which its
/// own health checks would not detect. The delay prevents a busy loop while the cause persists; it is not
/// needed after a connection that was closed before it was accepted.
async fn handle_accept_error(error: &io::Error, failures: u64) {
    if failures.is_multiple_of(FAILURES_PER_LOG) {
        fescuewell_core::log_event!(Event::AcceptFailed, "error={error} failures={failures}");
    }
    let is_connection_error = matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::ConnectionReset
    );
    if !is_connection_error {
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}

async fn dispatch(
    stream: TcpStream,
    peer: SocketAddr,
    worker: &flume::Sender<AcceptedConnection>,
    shared: &Arc<Shared>,
) {
    let Some(permit) = ConnectionPermit::acquire(shared) else {
        reject(stream, peer, shared);
        return;
    };
    // Deregisters the stream from the runtime of the accepting thread; the serving thread registers it
    // with its own runtime, so that readiness wakes the serving thread.
    let Ok(stream) = stream.into_std() else {
        return;
    };
    let accepted = AcceptedConnection {
        stream,
        peer,
        permit,
    };
    let _ = worker.send_async(accepted).await;
}

fn reject(stream: TcpStream, peer: SocketAddr, shared: &Arc<Shared>) {
    let refusals = shared.refusals.fetch_add(1, Ordering::Relaxed);
    let encrypted = shared.acceptor.is_some();
    if refusals >= MAX_CONCURRENT_REFUSALS || encrypted {
        shared.refusals.fetch_sub(1, Ordering::Relaxed);
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let refusal = Refusal::new(Code::TooManyConnections).with_retry_after(RETRY_AFTER);
        shared.refusal_log.record(peer, refusal.code);
        connection::refuse_unserved(stream, &refusal).await;
        shared.refusals.fetch_sub(1, Ordering::Relaxed);
    });
}

/// `Retry-After` of a refusal due to the connection limit.
const RETRY_AFTER: Duration = Duration::from_secs(1);
