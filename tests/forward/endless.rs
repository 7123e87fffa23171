//! Tests of backend servers that send without end: their callers, connections and the memory of the
//! instance.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fescuewell::standin::sample;
use fescuewell::standin::worker::wait_until;

use crate::fixture::{
    Fixture, Request, any_address, configuration, connect_to, read_response, send, status,
};
use crate::wire;

/// Pause between two bytes of a server that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of the routes that no test waits for.
const LONG_TIMEOUT: Duration = Duration::from_secs(18);
/// Timeout of the routes that a test waits for.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the part of a response that comes at once before it drips; below the limit for one response.
const LARGE_BYTES: usize = 3 * 1024 * 1024;
/// The same of an event, below the limit for one event.
const EVENT_BYTES: usize = 200 * 1024;
/// Requests at once in the tests of memory.
const CALLERS: usize = 200;
/// Attempts of a caller whose request is refused as not run.
const MAX_ATTEMPTS: usize = 20;
/// Memory limit of the instance in the settings file, and what control tasks may take of it, in kB.
const MEMORY_KB: u64 = 110 * 1024;
const CONTROL_MEMORY_KB: u64 = 32 * 1024;

/// What a server sends after the start of its response.
struct Script {
    /// Last segment of the path that selects it.
    name: &'static str,
    /// Sent once, after the status line and the headers of the response if it begins with a line break.
    start: &'static str,
    /// Sent once after the start.
    large: usize,
    /// Sent again and again.
    unit: &'static str,
    is_drip: bool,
}

const fn fast(name: &'static str, start: &'static str, unit: &'static str) -> Script {
    Script {
        name,
        start,
        large: 0,
        unit,
        is_drip: false,
    }
}

const fn drip(name: &'static str, start: &'static str, large: usize, unit: &'static str) -> Script {
    Script {
        name,
        start,
        large,
        unit,
        is_drip: true,
    }
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";

const CHUNK: &str = "40\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n";

const FAST: [Script; 9] = [
    fast("line", "X-Long: ", "x"),
    fast("lines", "", "X-More: x\r\n"),
    fast("size", "Transfer-Encoding: chunked\r\n\r\n", "0"),
    fast("extension", "Transfer-Encoding: chunked\r\n\r\n5;", "x"),
    fast(
        "trailers",
        "Transfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-More: x\r\n",
    ),
    fast("length", "Content-Length: 1000000000000\r\n\r\n", "x"),
    fast("chunked", CHUNKED, CHUNK),
    fast("close", "\r\n", "x"),
    fast(
        "interim",
        "",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    ),
];

const DRIPS: [Script; 5] = [
    drip("drip-line", "X-Long: ", 0, "x"),
    drip("drip-size", CHUNKED, 0, "0"),
    drip("drip-close", "\r\n", 0, "x"),
    drip("drip-large", "\r\n", LARGE_BYTES, "x"),
    drip("drip-event", "\r\nid: 1\ndata: ", EVENT_BYTES, "x"),
];

/// An event that does not end.
const EVENT: Script = fast(
    "event",
    "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
    "x",
);

/// A backend server that responds with the script whose name ends the path.
#[derive(Clone)]
struct Endless {
    address: SocketAddr,
    /// Requests that were received.
    runs: Arc<AtomicUsize>,
    /// Responses whose large part was sent.
    held: Arc<AtomicUsize>,
    /// Connections with a request that the instance has closed.
    closed: Arc<AtomicUsize>,
}

impl Endless {
    fn start() -> Self {
        let listener = TcpListener::bind(any_address()).unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            runs: Arc::default(),
            held: Arc::default(),
            closed: Arc::default(),
        };
        let served = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = served.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    fn register(&self, fixture: &Fixture, id: &str) {
        let mut entry = sample::entry(self.address, "ready");
        entry["slots"] = 100.into();
        fixture
            .store
            .put("servers", "", id, entry.to_string().as_bytes());
    }

    fn serve(&self, mut stream: TcpStream) {
        let Some(request) = read_head(&mut stream) else {
            return;
        };
        self.runs.fetch_add(1, Ordering::SeqCst);
        let path = request.split(' ').nth(1).unwrap_or_default();
        let mut scripts = FAST.iter().chain(&DRIPS).chain([&EVENT]);
        let script = scripts.find(|script| path.ends_with(&format!("/{}", script.name)));
        let script = script.expect("the path has no script");
        let _ = self.send(&mut stream, &request, script);
        self.closed.fetch_add(1, Ordering::SeqCst);
    }

    /// Sends until the connection is closed.
    fn send(&self, stream: &mut TcpStream, request: &str, script: &Script) -> std::io::Result<()> {
        if script.name != "interim" {
            let name = format!("{}: ", wire::REQUEST_ID.to_ascii_lowercase());
            let mut lines = request.lines().map(str::to_ascii_lowercase);
            let id = lines.find_map(|line| line.strip_prefix(&name).map(str::to_owned));
            let id = id.unwrap_or_default();
            let (own, seal) = (wire::REQUEST_ID, wire::SEAL);
            let head = format!("HTTP/1.1 200 OK\r\n{own}: {id}\r\n{seal}: i-0.{id}\r\n");
            stream.write_all(head.as_bytes())?;
        }
        stream.write_all(script.start.as_bytes())?;
        stream.write_all(&vec![b'x'; script.large])?;
        self.held.fetch_add(1, Ordering::SeqCst);
        let block = script.unit.repeat(4 * 1024 / script.unit.len());
        loop {
            if script.is_drip {
                std::thread::sleep(DRIP_INTERVAL);
                stream.write_all(script.unit.as_bytes())?;
            } else {
                stream.write_all(block.as_bytes())?;
            }
        }
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    /// Waits until the instance has closed the connections of all requests.
    fn wait_closed(&self) {
        let is_closed = || self.closed.load(Ordering::SeqCst) == self.runs();
        assert!(wait_until(is_closed), "a connection is still open");
    }
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut byte = [0u8; 1];
    while !text.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return None;
        }
        text.push(byte[0]);
    }
    String::from_utf8(text).ok()
}

/// Starts an instance with backend servers that send without end, and with this timeout of the routes.
fn start(count: usize, timeout: Duration) -> (Fixture, Vec<Endless>) {
    let mut fixture = Fixture::without_configuration(0);
    let mut configuration = configuration(1, 1_000_000);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = (timeout.as_millis() as u64).into();
    }
    fixture.configure(&configuration);
    let servers: Vec<Endless> = (0..count).map(|_| Endless::start()).collect();
    for (index, server) in servers.iter().enumerate() {
        server.register(&fixture, &format!("i-{index}"));
    }
    fixture.start();
    for index in 0..count {
        fixture.wait_server(&format!("i-{index}"), true);
    }
    assert!(wait_until(|| fixture.readiness() == 200));
    (fixture, servers)
}

/// A request whose caller waits as long as the routes do.
fn patient(line: &str) -> Request {
    Request::new(line, "r-1").with(wire::DEADLINE, "19000")
}

fn runs(servers: &[Endless]) -> usize {
    servers.iter().map(Endless::runs).sum()
}

/// Guards against callers that wait for bytes that are no answer, and against running an unsafe request
/// twice because of them.
#[test]
fn an_unsafe_request_whose_answer_is_without_end_ends_with_502() {
    for script in &FAST {
        let (fixture, servers) = start(2, LONG_TIMEOUT);
        let line = format!("POST /unsafe/{}", script.name);

        let response = fixture.send(&patient(&line).with_body(b""));

        assert_eq!(response.status, 502, "{}", script.name);
        assert_eq!(runs(&servers), 1, "{}", script.name);
        servers.iter().for_each(Endless::wait_closed);
        let gateway = fixture.daemon.as_ref().unwrap().gateway();
        assert_eq!(gateway.client.budget().used(), 0, "{}", script.name);
    }
}

#[test]
fn a_safe_request_whose_answer_is_without_end_goes_to_another_server() {
    for script in &FAST {
        let (fixture, servers) = start(2, LONG_TIMEOUT);
        let line = format!("GET /safe/{}", script.name);

        let response = fixture.send(&patient(&line));

        assert_eq!(response.status, 502, "{}", script.name);
        assert_eq!(runs(&servers), 2, "{}", script.name);
        servers.iter().for_each(Endless::wait_closed);
    }
}

/// Guards against a timeout that each byte renews: what drips ends with the time of the route.
#[test]
fn an_answer_that_drips_without_end_ends_with_the_time_of_the_route() {
    let (fixture, servers) = start(1, SHORT_TIMEOUT);
    let (front, address) = (fixture.front, &servers[0]);

    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let callers = DRIPS.iter().map(|script| {
            scope.spawn(move || {
                let line = format!("POST /unsafe/{}", script.name);
                let request = Request::new(&line, &format!("r-{}", script.name));
                let response = crate::fixture::send(front, &request.with_body(b""));
                response.expect("no response").status
            })
        });
        let callers: Vec<_> = callers.collect();
        let ended = callers.into_iter().map(|caller| caller.join().unwrap());
        ended.collect()
    });

    assert_eq!(statuses, [504; DRIPS.len()]);
    address.wait_closed();
}

#[test]
fn a_stream_whose_event_is_without_end_goes_to_another_server() {
    let (fixture, servers) = start(2, LONG_TIMEOUT);
    let line = format!("POST /stream/{}", EVENT.name);
    let request = patient(&line).with_tokens(10, 100);

    let response = fixture.send(&request.with_body(b""));

    assert_eq!(response.status, 502);
    assert_eq!(runs(&servers), 2);
    servers.iter().for_each(Endless::wait_closed);
}

/// An instance in a process of its own, killed on drop.
struct Process {
    child: Child,
    front: SocketAddr,
    settings: std::path::PathBuf,
}

impl Process {
    /// Starts the process at a loopback address of its own, at which no other test takes a port.
    fn start(fixture: &Fixture, index: u8) -> Self {
        let process = std::process::id();
        let [high, low] = [(process / 250 % 250) as u8, (process % 250) as u8];
        let address = IpAddr::from([127, high + 1, low + 1, 200 + index]);
        let [front, ready] = [8_001, 8_002].map(|port| SocketAddr::new(address, port));
        let name = format!("fescuewell-endless-{process}-{index}.conf");
        let settings = std::env::temp_dir().join(name);
        let text = format!(
            "node=entry-1\nzone=a\nlisten.front={front}\nlisten.ready={ready}\n\
             limits.maxFds=4100\nlimits.memoryMb=110\nbounds.graceS=2\nplatform.address={}\n",
            fixture.store.address()
        );
        std::fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_fescuewell"))
            .args(["entry", "--log", "warn", "--settings"])
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let process = Self {
            child,
            front,
            settings,
        };
        let is_ready = || status(ready, wire::READY_PATH) == Some(200);
        assert!(wait_until(is_ready), "the instance did not become ready");
        process
    }

    /// Returns the highest resident memory of the process so far, in kB.
    fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let line = line.unwrap().trim().trim_end_matches(" kB");
        line.parse().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Sends a request until it is accepted, and returns the status of its response. On a busy machine the
/// instance may get its tokens too late for some of them, which then have not run.
fn call(line: &str, front: SocketAddr, number: usize) -> u16 {
    for attempt in 0..MAX_ATTEMPTS {
        let request = Request::new(line, &format!("r-{number}-{attempt}")).with_tokens(10, 10);
        let mut connection = connect_to(front);
        connection
            .write_all(&request.with_body(b"").bytes())
            .unwrap();
        let response = read_response(&mut connection).expect("no response");
        if response.status != 503 {
            return response.status;
        }
    }
    panic!("request {number} was not accepted in {MAX_ATTEMPTS} attempts");
}

/// Sends 200 requests at once to an instance and asserts that its memory suffices; returns how many were
/// answered with each status.
fn assert_memory_suffices(line: &str, index: u8) -> BTreeMap<u16, usize> {
    let fixture = Fixture::without_instance(0, 1_000_000);
    let servers: Vec<Endless> = (0..5).map(|_| Endless::start()).collect();
    for (index, server) in servers.iter().enumerate() {
        server.register(&fixture, &format!("i-{index}"));
    }
    let process = Process::start(&fixture, index);
    // An instance is ready before it has drawn tokens, without which a request does not run.
    let runs_request = || {
        let request = Request::new(&format!("POST /unsafe/{}", FAST[0].name), "r-first");
        let response = send(process.front, &request.with_tokens(10, 10).with_body(b""));
        response.is_some_and(|response| response.status == 502)
    };
    assert!(wait_until(runs_request), "the instance got no tokens");
    let runs_before = runs(&servers);
    let before = process.peak_memory();

    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (line, front) = (line.to_owned(), process.front);
            std::thread::spawn(move || call(&line, front, number))
        })
        .collect();
    let mut statuses = BTreeMap::new();
    for caller in callers {
        *statuses.entry(caller.join().unwrap()).or_default() += 1;
    }

    let peak = process.peak_memory();
    println!("{line}: {before} kB, then {peak} kB; {statuses:?}");
    assert!(peak < MEMORY_KB - CONTROL_MEMORY_KB, "{peak} kB");
    assert_eq!(runs(&servers) - runs_before, CALLERS);
    servers.iter().for_each(Endless::wait_closed);
    statuses
}

/// Guards against a process that ends for lack of memory: the limit for one response times the requests at
/// once is several times what a small instance has.
#[test]
fn two_hundred_bodies_without_end_fit_the_memory_of_an_instance() {
    let statuses = assert_memory_suffices("POST /unsafe/drip-large", 0);

    let may_have_run = statuses.keys().all(|status| [502, 504].contains(status));
    assert!(may_have_run, "{statuses:?}");
}

#[test]
fn two_hundred_events_without_end_fit_the_memory_of_an_instance() {
    let statuses = assert_memory_suffices("POST /stream-once/drip-event", 1);

    let may_have_run = statuses.keys().all(|status| [502, 504].contains(status));
    assert!(may_have_run, "{statuses:?}");
}
