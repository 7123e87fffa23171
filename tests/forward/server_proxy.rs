//! A proxy between one instance and a backend server, with which a test simulates a network partition.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

use fescuewell::adapter::source::Reader;
use fescuewell::forward::server::{Change, Update};
use fescuewell::gateway::source::{OperatorState, Source, Versioned};
use fescuewell::gateway::store::BoxFuture;
use socket2::{Domain, Socket, Type};

use crate::fixture::any_address;

/// Interval at which threads check for a new mode.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which a proxy looks for connections, and whether its server has ended.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
/// Time after which a connection that is not established counts as hanging.
const CONNECT_TIME: Duration = Duration::from_millis(50);

/// How the proxy simulates a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// New connections are refused, open ones are reset.
    Refused,
    /// New connections are not established, open ones pass nothing on.
    Hanging,
    /// New connections are refused, open ones live on.
    NewRefused,
    /// Connections are accepted, and what both ends send is held back until the mode ends.
    Held,
}

/// Whether the proxy accepts connections in this mode.
fn accepts(cut: Option<Cut>) -> bool {
    matches!(cut, None | Some(Cut::Held))
}

struct Shared {
    cut: Mutex<Option<Cut>>,
    is_ended: AtomicBool,
    copies_late: AtomicBool,
    connections: AtomicUsize,
    target: SocketAddr,
}

impl Shared {
    fn cut(&self) -> MutexGuard<'_, Option<Cut>> {
        self.cut.lock().unwrap()
    }

    fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::Relaxed)
    }
}

/// A proxy in front of one backend server.
pub struct ServerProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
    /// Reserves the port while no socket listens on it.
    _reserved: Socket,
}

fn bind(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&address.into()).unwrap();
    socket
}

impl ServerProxy {
    /// Starts a proxy that forwards connections to a backend server.
    pub fn open(target: SocketAddr) -> Self {
        let reserved = bind(any_address());
        let address = reserved.local_addr().unwrap().as_socket().unwrap();
        let shared = Arc::new(Shared {
            cut: Mutex::new(None),
            is_ended: AtomicBool::new(false),
            copies_late: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            target,
        });
        let own = shared.clone();
        let thread = std::thread::spawn(move || run(&own, address));
        Self {
            address,
            shared,
            thread: Some(thread),
            _reserved: reserved,
        }
    }

    /// Address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections that the proxy has forwarded to the server.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Starts or ends a partition, which takes effect shortly after; see [`ServerProxy::settle`].
    pub fn set(&self, cut: Option<Cut>) {
        *self.shared.cut() = cut;
    }

    /// Starts or ends sending each response a second time before the next one on its connection. Only
    /// responses that are read whole at once are copied.
    pub fn copy_late(&self, is_on: bool) {
        self.shared.copies_late.store(is_on, Ordering::Relaxed);
    }

    /// Waits until all proxies have applied their last mode.
    pub fn settle() {
        std::thread::sleep(POLL_INTERVAL * 10);
    }
}

impl Drop for ServerProxy {
    fn drop(&mut self) {
        self.shared.is_ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Serves one mode after the other.
fn run(shared: &Arc<Shared>, address: SocketAddr) {
    while !shared.is_ended() {
        let cut = *shared.cut();
        match cut {
            None | Some(Cut::Held) => accept(shared, address),
            Some(Cut::Hanging) => hang(shared, address),
            Some(Cut::Refused | Cut::NewRefused) => {
                wait_while(shared, cut);
            }
        }
    }
}

fn wait_while(shared: &Shared, cut: Option<Cut>) {
    while !shared.is_ended() && *shared.cut() == cut {
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Opens an idle connection to the server, which breaks when the server ends.
fn open_sentinel(shared: &Shared) -> Option<TcpStream> {
    let sentinel = TcpStream::connect(shared.target).ok()?;
    sentinel.set_nonblocking(true).ok()?;
    Some(sentinel)
}

fn is_open(sentinel: &Option<TcpStream>) -> bool {
    let Some(sentinel) = sentinel else {
        return false;
    };
    let peeked = sentinel.peek(&mut [0]);
    matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Waits until the server accepts connections or a partition starts.
fn wait_for_target(shared: &Shared) {
    while !shared.is_ended() && accepts(*shared.cut()) {
        if TcpStream::connect(shared.target).is_ok() {
            return;
        }
        std::thread::sleep(ACCEPT_INTERVAL);
    }
}

/// Accepts connections until a partition starts or the server refuses one.
fn accept(shared: &Arc<Shared>, address: SocketAddr) {
    let listener = bind(address);
    listener.listen(128).unwrap();
    listener.set_nonblocking(true).unwrap();
    let mut sentinel = None;
    while !shared.is_ended() && accepts(*shared.cut()) {
        if !is_open(&sentinel) {
            // Refuses connections for as long as the server does, as its own listener would.
            sentinel = open_sentinel(shared);
            if sentinel.is_none() {
                drop(listener);
                return wait_for_target(shared);
            }
        }
        let Ok((client, _)) = listener.accept() else {
            std::thread::sleep(ACCEPT_INTERVAL);
            continue;
        };
        let Ok(server) = TcpStream::connect(shared.target) else {
            drop((client, listener));
            return wait_for_target(shared);
        };
        shared.connections.fetch_add(1, Ordering::Relaxed);
        let client: TcpStream = client.into();
        client.set_nonblocking(false).unwrap();
        for (from, to, is_response) in [(&client, &server, false), (&server, &client, true)] {
            let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            let shared = shared.clone();
            std::thread::spawn(move || pass_on(&shared, from, to, is_response));
        }
    }
}

/// Forwards bytes in one direction, as the mode permits.
fn pass_on(shared: &Shared, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
    from.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
    let mut buffer = [0; 16 * 1024];
    let mut previous: Vec<u8> = Vec::new();
    while !shared.is_ended() {
        // The lock must not be held while the thread sleeps.
        let cut = *shared.cut();
        match cut {
            Some(Cut::Refused) => break,
            Some(Cut::Hanging | Cut::Held) => {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            Some(Cut::NewRefused) | None => {}
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                let received = &buffer[..count];
                let bytes = [&previous, received].concat();
                if to.write_all(&bytes).is_err() {
                    break;
                }
                let is_copied = is_response && shared.copies_late.load(Ordering::Relaxed);
                previous = match is_copied && is_whole(received) {
                    true => received.to_vec(),
                    false => Vec::new(),
                };
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Whether bytes are one response with a length.
fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("content-length").then_some(value)
    });
    length.is_some_and(|length| length.parse() == Ok(body.len()))
}

/// Keeps the backlog full, so that further connections are not established.
fn hang(shared: &Shared, address: SocketAddr) {
    let listener = bind(address);
    listener.listen(0).unwrap();
    let mut fillers = Vec::new();
    while !shared.is_ended() && *shared.cut() == Some(Cut::Hanging) {
        // A reset connection leaves room for another one.
        if let Ok(filler) = TcpStream::connect_timeout(&address, CONNECT_TIME) {
            fillers.push(filler);
        }
    }
}

/// A source that replaces the addresses of backend servers with those of their proxies.
pub struct Rerouted {
    reader: Reader,
    proxies: HashMap<Arc<str>, SocketAddr>,
}

impl Rerouted {
    /// Creates a source; the servers are named by their index, as in the fixture.
    pub fn new(reader: Reader, proxies: &[ServerProxy]) -> Self {
        let proxies = proxies.iter().enumerate();
        let proxies = proxies
            .map(|(index, server_proxy)| (format!("i-{index}").into(), server_proxy.address()));
        Self {
            reader,
            proxies: proxies.collect(),
        }
    }

    fn reroute(&self, mut response: Versioned<Vec<Update>>) -> Versioned<Vec<Update>> {
        for update in &mut response.content {
            let Some(address) = self.proxies.get(&update.id) else {
                continue;
            };
            if let Change::Entry(entry) = &mut update.change {
                entry.address = *address;
            }
        }
        response
    }
}

impl Source for Rerouted {
    fn read_state(&self, head_timeout: Duration) -> BoxFuture<'_, Versioned<OperatorState>> {
        self.reader.read_state(head_timeout)
    }

    fn watch_state(
        &self,
        version: u64,
        wait: Duration,
        head_timeout: Duration,
    ) -> BoxFuture<'_, Versioned<OperatorState>> {
        self.reader.watch_state(version, wait, head_timeout)
    }

    fn list_servers(&self) -> BoxFuture<'_, Versioned<Vec<Update>>> {
        Box::pin(async move { Ok(self.reroute(self.reader.list_servers().await?)) })
    }

    fn watch_servers(&self, version: u64, wait: Duration) -> BoxFuture<'_, Versioned<Vec<Update>>> {
        Box::pin(async move { Ok(self.reroute(self.reader.watch_servers(version, wait).await?)) })
    }
}
