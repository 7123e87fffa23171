//! Fixtures: nodes, a client that sends arbitrary frames, and a UDP relay that can drop flows.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fescuewell_peer::credentials::Authority;
use fescuewell_peer::{Address, Message, Settings, Transport};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

/// Capacity of a node's inbox.
pub const INBOX_CAPACITY: usize = 128;
/// Timeout for an event that a test expects.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a sender retries, as the protocols above the transport do.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

pub struct Node {
    pub transport: Transport,
    pub inbox: flume::Receiver<Message>,
}

pub fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn node(authority: &Authority, instance: &str) -> Node {
    Node::start(authority.settings(instance, loopback()).unwrap())
}

impl Node {
    pub fn start(settings: Settings) -> Self {
        let (sender, inbox) = flume::bounded(INBOX_CAPACITY);
        let transport = Transport::start(settings, sender).unwrap();
        Self { transport, inbox }
    }

    pub fn address(&self) -> Address {
        Address {
            instance: self.transport.instance(),
            address: self.transport.address(),
        }
    }

    /// Sends a message repeatedly until `to` receives it, and removes it from that node's inbox.
    pub fn send_until_received(&self, to: &Node, payload: &[u8]) -> Message {
        self.send_until_received_at(&to.address(), to, payload)
    }

    pub fn send_until_received_at(&self, address: &Address, to: &Node, payload: &[u8]) -> Message {
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            self.transport.send(address.clone(), payload.to_vec());
            while let Ok(message) = to.inbox.recv_timeout(RETRY_INTERVAL) {
                if message.payload == payload {
                    return message;
                }
            }
        }
        panic!(
            "{:?} did not receive the message: {:?}",
            address,
            self.transport.traffic()
        );
    }
}

/// Waits until `condition` holds.
pub fn eventually<Condition>(condition: Condition)
where
    Condition: Fn() -> bool,
{
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "the condition did not become true"
        );
        std::thread::park_timeout(Duration::from_millis(2));
    }
}

/// Connects with a valid certificate, writes `frame` to one stream and waits until the connection is closed.
pub fn send_raw_frame(authority: &Authority, instance: &str, to: &Node, frame: &[u8]) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let endpoint = quinn::Endpoint::client(loopback()).unwrap();
        let config = client_config(authority, instance);
        let address = to.address();
        let connecting = endpoint.connect_with(config, address.address, &address.instance);
        let connection = connecting.unwrap().await.unwrap();
        let mut stream = connection.open_uni().await.unwrap();
        // The receiver may close the connection during the write, as the test expects.
        let _ = stream.write_all(frame).await;
        let _ = stream.finish();
        connection.closed().await;
    });
}

fn client_config(authority: &Authority, instance: &str) -> quinn::ClientConfig {
    let issued = authority.issue(instance).unwrap();
    let certificate = CertificateDer::from_pem_slice(issued.certificate.as_bytes()).unwrap();
    let key = PrivateKeyDer::from_pem_slice(issued.key.as_bytes()).unwrap();
    let root = authority.certificate();
    let mut roots = rustls::RootCertStore::empty();
    roots
        .add(CertificateDer::from_pem_slice(root.as_bytes()).unwrap())
        .unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots)
        .with_client_auth_cert(vec![certificate], key)
        .unwrap();
    tls.alpn_protocols = vec![b"fescuewell/1".to_vec()];
    let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(tls).unwrap();
    quinn::ClientConfig::new(Arc::new(crypto))
}

/// UDP relay between clients and one server. A flow is identified by the client's address and port.
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<RelayState>,
    threads: Vec<JoinHandle<()>>,
}

struct RelayState {
    target: SocketAddr,
    socket: UdpSocket,
    flows: Mutex<HashMap<SocketAddr, UdpSocket>>,
    blocked: Mutex<HashSet<SocketAddr>>,
    stopped: AtomicBool,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Self {
        let socket = UdpSocket::bind(loopback()).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_millis(20)))
            .unwrap();
        let address = socket.local_addr().unwrap();
        let state = Arc::new(RelayState {
            target,
            socket,
            flows: Mutex::default(),
            blocked: Mutex::default(),
            stopped: AtomicBool::default(),
        });
        let relay = state.clone();
        let thread = std::thread::spawn(move || relay.forward_to_server());
        Self {
            address,
            state,
            threads: vec![thread],
        }
    }

    /// Drops all further datagrams of the flows seen so far.
    pub fn block_current_flows(&self) {
        let flows = self.state.flows.lock().unwrap();
        self.state.blocked.lock().unwrap().extend(flows.keys());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl RelayState {
    fn is_blocked(&self, client: &SocketAddr) -> bool {
        self.blocked.lock().unwrap().contains(client)
    }

    fn forward_to_server(self: Arc<Self>) {
        let mut buffer = [0; 65_536];
        let mut reply_threads = Vec::new();
        while !self.stopped.load(Ordering::Acquire) {
            let Ok((length, client)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            if self.is_blocked(&client) {
                continue;
            }
            let mut flows = self.flows.lock().unwrap();
            let flow = flows.entry(client).or_insert_with(|| {
                let flow = UdpSocket::bind(loopback()).unwrap();
                flow.connect(self.target).unwrap();
                flow.set_read_timeout(Some(Duration::from_millis(20)))
                    .unwrap();
                let (state, flow_end) = (self.clone(), flow.try_clone().unwrap());
                reply_threads.push(std::thread::spawn(move || {
                    state.forward_to_client(client, &flow_end)
                }));
                flow
            });
            let _ = flow.send(&buffer[..length]);
        }
        for thread in reply_threads {
            let _ = thread.join();
        }
    }

    fn forward_to_client(&self, client: SocketAddr, flow: &UdpSocket) {
        let mut buffer = [0; 65_536];
        while !self.stopped.load(Ordering::Acquire) {
            let Ok(length) = flow.recv(&mut buffer) else {
                continue;
            };
            if !self.is_blocked(&client) {
                let _ = self.socket.send_to(&buffer[..length], client);
            }
        }
    }
}
