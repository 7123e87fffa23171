//! A TCP proxy that injects faults.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// State shared by the threads of a proxy.
#[derive(Default)]
struct State {
    /// New connections are closed at once.
    is_partitioned: AtomicBool,
    /// The accept loop is to drop the listener and end.
    is_closed: AtomicBool,
    /// Highest number of the connections that stay open but forward nothing.
    blackholed: AtomicU64,
    /// Highest number of the connections that stay open but forward nothing to the client.
    replies_dropped: AtomicU64,
    /// Number of connections accepted so far.
    accepted: AtomicU64,
    /// Both streams of each open connection, by its number.
    connections: Mutex<HashMap<u64, [TcpStream; 2]>>,
}

/// A proxy in front of one upstream address. Its listener thread runs until [`Proxy::close`] or the end of the test process.
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Proxy {
    /// Starts a proxy on a free port.
    pub fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = Arc::new(State::default());
        let shared = state.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if shared.is_closed.load(Ordering::SeqCst) {
                    return;
                }
                serve(client, upstream, &shared);
            }
        });
        Self { address, state }
    }

    /// Closes every connection, and closes new ones right after accepting them.
    pub fn partition(&self) {
        self.state.is_partitioned.store(true, Ordering::SeqCst);
        self.drop_connections();
    }

    /// Accepts new connections again after [`Proxy::partition`].
    pub fn heal(&self) {
        self.state.is_partitioned.store(false, Ordering::SeqCst);
    }

    /// Closes every connection and the listener for good. The system then refuses connections, so that a client knows
    /// that nothing was sent.
    pub fn close(&self) {
        self.state.is_closed.store(true, Ordering::SeqCst);
        // Each attempt unblocks the accept loop. A refused one shows that the listener is closed.
        while TcpStream::connect(self.address).is_ok() {
            thread::yield_now();
        }
        self.drop_connections();
    }

    /// Closes every open connection. New ones are forwarded.
    pub fn drop_connections(&self) {
        let connections = std::mem::take(
            &mut *self
                .state
                .connections
                .lock()
                .expect("no panic holds the lock"),
        );
        for stream in connections.into_values().flatten() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Keeps the current connections open but forwards nothing on them. New ones are forwarded.
    pub fn blackhole(&self) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state.blackholed.store(accepted, Ordering::SeqCst);
    }

    /// Stops forwarding replies on the current connections. Requests of the client still reach the upstream.
    #[allow(dead_code, reason = "each test program uses its own part of the proxy")]
    pub fn drop_replies(&self) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state.replies_dropped.store(accepted, Ordering::SeqCst);
    }
}

fn serve(client: TcpStream, upstream: SocketAddr, state: &Arc<State>) {
    if state.is_partitioned.load(Ordering::SeqCst) {
        return;
    }
    let Ok(server) = TcpStream::connect(upstream) else {
        return;
    };
    let number = state.accepted.fetch_add(1, Ordering::SeqCst) + 1;
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    if let (Ok(client), Ok(server)) = (client.try_clone(), server.try_clone()) {
        let mut connections = state.connections.lock().expect("no panic holds the lock");
        connections.insert(number, [client, server]);
    }
    for (from, to, to_client) in [(&client, &server, false), (&server, &client, true)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let state = state.clone();
        thread::spawn(move || copy(from, to, Direction { number, to_client }, &state));
    }
}

/// One direction of a connection.
#[derive(Clone, Copy)]
struct Direction {
    number: u64,
    to_client: bool,
}

fn copy(mut from: TcpStream, mut to: TcpStream, direction: Direction, state: &State) {
    let mut buffer = [0u8; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        let blackholed = state.blackholed.load(Ordering::SeqCst);
        let replies_dropped = state.replies_dropped.load(Ordering::SeqCst);
        let is_dropped = direction.number <= blackholed
            || (direction.to_client && direction.number <= replies_dropped);
        if count == 0 && is_dropped {
            return;
        }
        if count == 0 {
            break;
        }
        if !is_dropped && to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // Closes both directions once one end closes, as these protocols send nothing afterwards. Descriptors left open would
    // exhaust the limit of the process after some hundred connections.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
    state
        .connections
        .lock()
        .expect("no panic holds the lock")
        .remove(&direction.number);
}
