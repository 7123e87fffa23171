//! A store, backend servers and an instance on loopback, and a caller.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuewell::adapter::dialect::Wire;
use fescuewell::adapter::rows::Rows as Client;
use fescuewell::adapter::settings;
use fescuewell::adapter::source::Registry;
use fescuewell::forward::server::Incarnation;
use fescuewell::gateway::daemon::Daemon;
use fescuewell::standin::rows::Rows;
use fescuewell::standin::sample;
use fescuewell::standin::worker::{Worker, wait_until};
use serde_json::Value;
use socket2::{Domain, Socket, Type};

use crate::wire;

pub use fescuewell::standin::sample::{GROUP, HOST, KEY, configuration};

/// Any free address.
pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Addresses that are known before anybody listens on them.
///
/// An address that is merely looked up may be given to the next connection of another test, and the instance then cannot
/// listen. So each is held by a socket that does not listen.
pub struct Addresses {
    held: Vec<Socket>,
}

impl Addresses {
    pub fn take(count: usize) -> Self {
        let held = (0..count).map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_reuse_address(true).unwrap();
            socket.bind(&any().into()).unwrap();
            socket
        });
        Self {
            held: held.collect(),
        }
    }

    pub fn get(&self, index: usize) -> SocketAddr {
        let address = self.held[index].local_addr().unwrap();
        address.as_socket().unwrap()
    }
}

fn free_datagram_address() -> SocketAddr {
    let socket = UdpSocket::bind(any()).unwrap();
    socket.local_addr().unwrap()
}

/// Listeners of an instance.
const LISTENERS: usize = 4;

pub struct Fixture {
    pub store: Arc<Rows>,
    pub workers: Vec<Worker>,
    pub daemon: Option<Daemon>,
    pub front: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    metrics: SocketAddr,
    _addresses: Addresses,
    name: &'static str,
    /// The instance's link in Mbit/s, from its next start on.
    pub link_mbps: f64,
    /// Repeats that the fleet may make beside a part of its requests, from the next start on.
    pub repeats: f64,
    /// Where it takes messages of other instances, from the next start on.
    peer: Option<SocketAddr>,
}

impl Fixture {
    /// A store with a configuration and so many backend servers; no instance yet.
    pub fn platform(workers: usize, prepaid: u64) -> Self {
        let fixture = Self::empty(workers);
        fixture.configure(&configuration(1, prepaid));
        fixture
    }

    /// The same without a configuration.
    pub fn empty(workers: usize) -> Self {
        let store = Arc::new(Rows::start(any()).unwrap());
        let mut fixture = Self::at(store, "entry-1");
        for index in 0..workers {
            let worker = Worker::start(any(), &format!("i-{index}")).unwrap();
            fixture.workers.push(worker);
            fixture.register(index, "ready");
        }
        fixture
    }

    /// An instance of this name at a store; it does not run yet.
    fn at(store: Arc<Rows>, name: &'static str) -> Self {
        let addresses = Addresses::take(LISTENERS);
        Self {
            store,
            workers: Vec::new(),
            daemon: None,
            front: addresses.get(0),
            ready: addresses.get(1),
            directory: addresses.get(2),
            metrics: addresses.get(3),
            _addresses: addresses,
            name,
            link_mbps: 1_000.0,
            repeats: 50.0,
            peer: None,
        }
    }

    /// Another instance at the same store and backend servers; both can reach each other once they run.
    pub fn beside(&mut self) -> Self {
        let mut other = Self::at(self.store.clone(), "entry-2");
        for fixture in [self, &mut other] {
            fixture.peer = Some(free_datagram_address());
        }
        other
    }

    /// All of it, ready for requests.
    pub fn ready(workers: usize, prepaid: u64) -> Self {
        let mut fixture = Self::platform(workers, prepaid);
        fixture.start();
        fixture.wait_ready();
        fixture
    }

    pub fn configure(&self, configuration: &Value) {
        let value = configuration.to_string();
        self.store.put("op", "", "config", value.as_bytes());
    }

    /// A backend server's own entry.
    pub fn register(&self, index: usize, state: &str) {
        let worker = &self.workers[index];
        let mut entry = sample::entry(worker.address(), state);
        entry["born"] = (sample::BORN + worker.revivals()).into();
        let key = format!("i-{index}");
        self.store
            .put("servers", "", &key, entry.to_string().as_bytes());
    }

    pub fn start(&mut self) {
        let text = format!(
            "node={}\nzone=a\nlisten.front={}\nlisten.ready={}\nlisten.directory={}\n\
             limits.maxFds=4100\nlimits.memoryMb=110\nbounds.graceS=2\nplatform.address={}\nunknown.field=1\n",
            self.name,
            self.front,
            self.ready,
            self.directory,
            self.store.address()
        );
        let mut boot = settings::read(&text, "boot.conf").unwrap();
        boot.instance.metrics = Some(self.metrics);
        boot.instance.link_mbps = self.link_mbps;
        boot.instance.peer = self.peer;
        if self.repeats == 0.0 {
            boot.instance.retry.ratio = 0.0;
        }
        boot.instance.retry.slack = self.repeats;
        let rows = Arc::new(Client::new(boot.store));
        let source = Arc::new(Registry::new(rows.clone()));
        let daemon = Daemon::start(boot.instance, Arc::new(Wire::default()), rows, source);
        self.daemon = Some(daemon.unwrap());
    }

    /// Requests with this body crash each backend server that runs them.
    pub fn crash_on(&self, body: &[u8]) {
        for worker in &self.workers {
            worker.crash_on(body);
        }
    }

    /// Starts a backend server that has crashed again, under its name.
    pub fn start_again(&self, index: usize) {
        self.workers[index].revive(&format!("i-{index}")).unwrap();
        self.register(index, "ready");
    }

    /// Crashes of all backend servers.
    pub fn crashes(&self) -> u64 {
        self.workers.iter().map(Worker::crashes).sum()
    }

    /// Starts the backend servers that have crashed again, under their names, and waits until the instance knows it.
    pub fn revive(&self) {
        for (index, worker) in self.workers.iter().enumerate() {
            if !worker.has_crashed() {
                continue;
            }
            assert!(wait_until(|| worker.is_down()), "i-{index} never ended");
            self.start_again(index);
            let id = format!("i-{index}");
            let born = sample::BORN + worker.revivals();
            let gateway = self.daemon.as_ref().unwrap().gateway();
            let is_back = || {
                let state = gateway.state();
                let mut entries = state.registry.entries();
                entries.any(|entry| *entry.id == *id && entry.started_at_ms == Some(born))
            };
            assert!(wait_until(is_back), "{id} was never listed again");
        }
    }

    /// The process ends without a word.
    pub fn kill(&mut self) {
        self.daemon = None;
    }

    pub fn wait_ready(&self) {
        assert!(
            wait_until(|| self.readiness() == 200),
            "the instance never became ready"
        );
        let listed = || {
            let gateway = self.daemon.as_ref().unwrap().gateway();
            let now_ms = gateway.now_ms();
            let state = gateway.state();
            state.registry.ready("pool", now_ms).count() == self.workers.len()
        };
        assert!(wait_until(listed), "the backend servers were never listed");
    }

    /// Waits until a backend server is listed and takes requests, or not.
    pub fn wait_server(&self, id: &str, is_ready: bool) {
        let gateway = self.daemon.as_ref().unwrap().gateway();
        let is_so = || {
            let now_ms = gateway.now_ms();
            gateway.state().registry.is_ready(id, now_ms) == is_ready
        };
        assert!(wait_until(is_so), "{id} never became ready={is_ready}");
    }

    /// Waits until the instance is ready and a backend server is listed, whether or not it takes requests.
    pub fn wait_listed(&self, id: &str) {
        let daemon = self.daemon.as_ref().unwrap();
        let is_listed = || daemon.gateway().state().registry.is_known(id);
        assert!(wait_until(is_listed), "{id} was never listed");
        assert!(
            wait_until(|| self.readiness() == 200),
            "the instance never became ready"
        );
    }

    /// Waits until callers are sent to the instance.
    pub fn wait_named(&self) {
        let daemon = self.daemon.as_ref().unwrap();
        let is_named = || daemon.gateway().state().directory.is_advertised(self.name);
        assert!(wait_until(is_named), "the instance is never named");
    }

    /// Waits until a backend server is not listed any more.
    pub fn wait_server_gone(&self, id: &str) {
        let daemon = self.daemon.as_ref().unwrap();
        let is_gone = || !daemon.gateway().state().registry.is_known(id);
        assert!(wait_until(is_gone), "{id} is still listed");
    }

    pub fn readiness(&self) -> u16 {
        status(self.ready, wire::READY_PATH).unwrap_or_default()
    }

    /// Status of an address answer.
    pub fn directory_status(&self) -> Option<u16> {
        status(self.directory, &wire::directory_path("x"))
    }

    pub fn addresses(&self) -> Vec<String> {
        let path = wire::directory_path(HOST);
        assert!(wait_until(|| status(self.directory, &path) == Some(200)));
        let answer = get(self.directory, &path).unwrap();
        let body: Value = serde_json::from_slice(&answer.body).unwrap();
        let addresses = body["addresses"].as_array().unwrap();
        addresses
            .iter()
            .map(|text| text.as_str().unwrap().to_owned())
            .collect()
    }

    /// Waits until the metrics page shows so many quarantined requests.
    pub fn wait_quarantined(&self, count: u64) {
        self.wait_gauge("quarantined", count);
    }

    /// Waits until the metrics page shows so many requests under which a server crashed.
    pub fn wait_suspects(&self, count: u64) {
        self.wait_gauge("suspects", count);
    }

    fn wait_gauge(&self, name: &str, value: u64) {
        let line = format!("of=\"{name}\",otel_scope_name=\"fescuewell\"}} {value}\n");
        let is_so = || self.metrics().contains(&line);
        assert!(wait_until(is_so), "{name} was never {value}");
    }

    /// Present incarnation of a listed backend server.
    pub fn incarnation(&self, id: &str) -> Incarnation {
        let state = self.daemon.as_ref().unwrap().gateway().state();
        let mut entries = state.registry.entries();
        entries
            .find(|entry| &*entry.id == id)
            .unwrap()
            .incarnation()
    }

    /// Waits until a backend server is not suspected of a crash any more.
    pub fn wait_settled(&self, incarnation: Incarnation) {
        let gateway = self.daemon.as_ref().unwrap().gateway();
        let is_so = || !gateway.state().crashes.is_suspected(incarnation);
        assert!(wait_until(is_so), "the server stays suspected");
    }

    /// Waits until no request is open.
    pub fn wait_idle(&self) {
        let gateway = self.daemon.as_ref().unwrap().gateway();
        let is_so = || gateway.open().load(Ordering::Acquire) == 0;
        assert!(wait_until(is_so), "a request stayed open");
    }

    /// Waits until a quarantine stands in the store.
    pub fn wait_recorded(&self) {
        let is_so = || !self.store.table("quarantine").is_empty();
        assert!(wait_until(is_so), "the store never has the quarantine");
    }

    /// Waits until two instances know and believe each other.
    pub fn wait_acquainted(&self, other: &Self) {
        let both = [self, other].map(|fixture| fixture.daemon.as_ref().unwrap().gateway());
        let is_so = || {
            both.iter().all(|gateway| {
                gateway.fleet_key().is_some() && gateway.state().directory.count() == both.len()
            })
        };
        assert!(wait_until(is_so), "the instances never knew each other");
    }

    /// The metrics page.
    pub fn metrics(&self) -> String {
        get(self.metrics, "/metrics").unwrap().text()
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> u64 {
        let table = self.daemon.as_ref().unwrap().gateway().table();
        table.map_or(0, |table| table.configuration().version)
    }

    /// Tokens that the account has consumed, by the instance's own count.
    pub fn consumed(&self) -> u64 {
        let state = self.daemon.as_ref().unwrap().gateway().state();
        state
            .quota
            .view(GROUP)
            .map_or(0, |account| account.consumed())
    }

    /// Runs of one request at all backend servers.
    pub fn runs(&self, id: &str) -> usize {
        let all = self.workers.iter().flat_map(Worker::runs);
        all.filter(|run| &*run.id == id).count()
    }

    pub fn connect(&self) -> TcpStream {
        connect(self.front)
    }

    pub fn send(&self, request: &Request) -> Answer {
        send(self.front, request).expect("an answer")
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let connection = TcpStream::connect(address).unwrap();
    let patience = Duration::from_secs(20);
    connection.set_read_timeout(Some(patience)).unwrap();
    connection
}

/// A caller's request.
pub struct Request {
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    pub fn new(line: &str, id: &str) -> Self {
        let request = Self {
            line: line.into(),
            headers: Vec::new(),
            body: Vec::new(),
        };
        request
            .with("Host", HOST)
            .with(wire::REQUEST_ID, id)
            .with(wire::DEADLINE, "5000")
            .with(wire::KEY, KEY)
    }

    /// Replaces or adds a header; an empty value removes it.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        if !value.is_empty() {
            self.headers.push((name.into(), value.into()));
        }
        self
    }

    pub fn with_tokens(self, prompt: u64, output: u64) -> Self {
        self.with(wire::TOKENS, &format!("{prompt},{output}"))
            .with(wire::MODEL, "m")
    }

    pub fn with_body(mut self, body: &[u8]) -> Self {
        self.body = body.into();
        let length = body.len().to_string();
        self.with("Content-Length", &length)
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{} HTTP/1.1\r\n", self.line);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// An answer as a caller sees it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Numbers of the events in the body.
    pub fn events(&self) -> Vec<u64> {
        let text = self.text();
        let lines = text.lines().filter_map(|line| line.strip_prefix("id: "));
        lines.map(|number| number.parse().unwrap()).collect()
    }
}

/// Sends a request on a new connection; nothing when that gives no answer.
pub fn send(address: SocketAddr, request: &Request) -> Option<Answer> {
    let mut connection = TcpStream::connect(address).ok()?;
    connection
        .set_read_timeout(Some(Duration::from_secs(20)))
        .ok()?;
    connection.write_all(&request.bytes()).ok()?;
    read_answer(&mut connection)
}

/// Status of a small question; nothing when that gives no answer.
pub fn status(address: SocketAddr, path: &str) -> Option<u16> {
    get(address, path).map(|answer| answer.status)
}

pub fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    let mut connection = TcpStream::connect(address).ok()?;
    connection
        .set_read_timeout(Some(Duration::from_secs(20)))
        .ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    connection.write_all(request.as_bytes()).ok()?;
    read_answer(&mut connection)
}

fn read_line(connection: &mut TcpStream) -> Option<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") {
        if connection.read(&mut byte).ok()? == 0 {
            return None;
        }
        line.push(byte[0]);
    }
    line.truncate(line.len() - 2);
    String::from_utf8(line).ok()
}

/// Reads one answer; nothing when the connection ends before its head.
pub fn read_answer(connection: &mut TcpStream) -> Option<Answer> {
    let line = read_line(connection)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(connection)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(": ")?;
        headers.push((name.to_owned(), value.to_owned()));
    }
    let mut answer = Answer {
        status,
        headers,
        body: Vec::new(),
        whole: false,
    };
    if let Some(length) = answer.header("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        answer.whole = connection.read_exact(&mut body).is_ok();
        answer.body = body;
        return Some(answer);
    }
    while let Some(line) = read_line(connection) {
        let size = usize::from_str_radix(&line, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        if connection.read_exact(&mut chunk).is_err() {
            break;
        }
        if size == 0 {
            answer.whole = true;
            break;
        }
        answer.body.extend_from_slice(&chunk[..size]);
    }
    Some(answer)
}
