//! A TCP proxy that injects faults.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// What the proxy's threads share.
#[derive(Default)]
struct State {
    is_cut: AtomicBool,
    /// The listener is to be dropped.
    is_closed: AtomicBool,
    /// Connections up to this number pass nothing any more and stay open.
    silenced: AtomicU64,
    /// Connections up to this number pass nothing back to the client any more and stay open.
    deafened: AtomicU64,
    /// Connections made so far.
    made: AtomicU64,
    open: Mutex<HashMap<u64, [TcpStream; 2]>>,
}

/// A proxy before one upstream address. It lives as long as the test's process.
pub struct Proxy {
    /// Where to connect.
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

    /// Breaks every connection and refuses new ones.
    pub fn cut(&self) {
        self.state.is_cut.store(true, Ordering::SeqCst);
        self.drop_connections();
    }

    /// Lets new connections through again.
    pub fn heal(&self) {
        self.state.is_cut.store(false, Ordering::SeqCst);
    }

    /// Breaks every connection and drops the listener for good: connections are refused by the system, so
    /// that a client knows that nothing was sent.
    pub fn close(&self) {
        self.state.is_closed.store(true, Ordering::SeqCst);
        // Ends the wait for the next connection. The listener is gone once a connection is refused.
        while TcpStream::connect(self.address).is_ok() {
            thread::yield_now();
        }
        self.drop_connections();
    }

    /// Breaks every connection; new ones work.
    pub fn drop_connections(&self) {
        let open = std::mem::take(&mut *self.state.open.lock().expect("no panic holds the lock"));
        for stream in open.into_values().flatten() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lets the connections that are open now pass nothing more; new ones work.
    pub fn silence(&self) {
        let made = self.state.made.load(Ordering::SeqCst);
        self.state.silenced.store(made, Ordering::SeqCst);
    }

    /// Lets the connections that are open now pass nothing more back to the client: what it sends still arrives.
    #[allow(dead_code, reason = "each test program uses its own part of the proxy")]
    pub fn deafen(&self) {
        let made = self.state.made.load(Ordering::SeqCst);
        self.state.deafened.store(made, Ordering::SeqCst);
    }
}

fn serve(client: TcpStream, upstream: SocketAddr, state: &Arc<State>) {
    if state.is_cut.load(Ordering::SeqCst) {
        return;
    }
    let Ok(server) = TcpStream::connect(upstream) else {
        return;
    };
    let number = state.made.fetch_add(1, Ordering::SeqCst) + 1;
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    if let (Ok(client), Ok(server)) = (client.try_clone(), server.try_clone()) {
        let mut open = state.open.lock().expect("no panic holds the lock");
        open.insert(number, [client, server]);
    }
    for (from, to, is_back) in [(&client, &server, false), (&server, &client, true)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let state = state.clone();
        thread::spawn(move || copy(from, to, Way { number, is_back }, &state));
    }
}

/// One direction of one connection.
#[derive(Clone, Copy)]
struct Way {
    number: u64,
    is_back: bool,
}

fn copy(mut from: TcpStream, mut to: TcpStream, way: Way, state: &State) {
    let mut buffer = [0u8; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        let silenced = state.silenced.load(Ordering::SeqCst);
        let deafened = state.deafened.load(Ordering::SeqCst);
        let is_silent = way.number <= silenced || (way.is_back && way.number <= deafened);
        if count == 0 && is_silent {
            return;
        }
        if count == 0 {
            break;
        }
        if !is_silent && to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // One end closed: nothing more is expected in either direction of these protocols. Kept descriptors
    // would use up the process's limit after some hundred connections.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
    state
        .open
        .lock()
        .expect("no panic holds the lock")
        .remove(&way.number);
}
