//! Fixtures: nodes, a client that keeps to no rules, and a relay that goes silent.

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
pub const INBOX: usize = 128;
/// How long a test waits for something that must happen.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// How long a sender waits before it sends again, as the protocols above the transport do.
const RESEND: Duration = Duration::from_millis(100);

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
        let (sender, inbox) = flume::bounded(INBOX);
        let transport = Transport::start(settings, sender).unwrap();
        Self { transport, inbox }
    }

    pub fn address(&self) -> Address {
        Address {
            instance: self.transport.instance(),
            address: self.transport.address(),
        }
    }

    /// Sends until it arrives, and takes it out of the receiver's inbox.
    pub fn deliver(&self, to: &Node, payload: &[u8]) -> Message {
        self.deliver_to(&to.address(), to, payload)
    }

    pub fn deliver_to(&self, address: &Address, to: &Node, payload: &[u8]) -> Message {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            self.transport.send(address.clone(), payload.to_vec());
            while let Ok(message) = to.inbox.recv_timeout(RESEND) {
                if message.payload == payload {
                    return message;
                }
            }
        }
        panic!(
            "{:?} never got the message: {:?}",
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
    let deadline = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < deadline, "it never happened");
        std::thread::park_timeout(Duration::from_millis(2));
    }
}

/// Connects with a good certificate, writes `frame` on one stream and waits for the connection's end.
pub fn stranger_client(authority: &Authority, instance: &str, to: &Node, frame: &[u8]) {
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
        // The connection may be closed under the write; that is what the test asks for.
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

/// Passes datagrams between clients and one server. A flow is the client's address and port.
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<RelayState>,
    threads: Vec<JoinHandle<()>>,
}

struct RelayState {
    target: SocketAddr,
    socket: UdpSocket,
    flows: Mutex<HashMap<SocketAddr, UdpSocket>>,
    silent: Mutex<HashSet<SocketAddr>>,
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
            silent: Mutex::default(),
            stopped: AtomicBool::default(),
        });
        let forward = state.clone();
        let thread = std::thread::spawn(move || forward.forward());
        Self {
            address,
            state,
            threads: vec![thread],
        }
    }

    /// Drops every datagram of the flows seen so far, from now on.
    pub fn silence_present_flows(&self) {
        let flows = self.state.flows.lock().unwrap();
        self.state.silent.lock().unwrap().extend(flows.keys());
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
    fn is_silent(&self, client: &SocketAddr) -> bool {
        self.silent.lock().unwrap().contains(client)
    }

    fn forward(self: Arc<Self>) {
        let mut buffer = [0; 65_536];
        let mut backward = Vec::new();
        while !self.stopped.load(Ordering::Acquire) {
            let Ok((length, client)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            if self.is_silent(&client) {
                continue;
            }
            let mut flows = self.flows.lock().unwrap();
            let flow = flows.entry(client).or_insert_with(|| {
                let flow = UdpSocket::bind(loopback()).unwrap();
                flow.connect(self.target).unwrap();
                flow.set_read_timeout(Some(Duration::from_millis(20)))
                    .unwrap();
                let (state, flow_end) = (self.clone(), flow.try_clone().unwrap());
                backward.push(std::thread::spawn(move || {
                    state.backward(client, &flow_end)
                }));
                flow
            });
            let _ = flow.send(&buffer[..length]);
        }
        for thread in backward {
            let _ = thread.join();
        }
    }

    fn backward(&self, client: SocketAddr, flow: &UdpSocket) {
        let mut buffer = [0; 65_536];
        while !self.stopped.load(Ordering::Acquire) {
            let Ok(length) = flow.recv(&mut buffer) else {
                continue;
            };
            if !self.is_silent(&client) {
                let _ = self.socket.send_to(&buffer[..length], client);
            }
        }
    }
}
