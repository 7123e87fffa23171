//! Measures what a request costs an instance: processor time and voluntary context switches by thread.
//!
//! ```sh
//! cargo build --release && cargo run --release --example work -- target/release/fescuewell 1000
//! ```
//!
//! Starts stand-ins of the store and the backend servers, one instance as a child process, and callers that open a connection
//! for each request. Half of the requests are streams of six events with 4 kB prompts, half have short responses.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use fescuewell::standin::rows::Rows;
use fescuewell::standin::sample::{self, HOST, KEY};
use fescuewell::standin::worker::{Worker, wait_until};

/// Number of concurrent callers.
const CALLERS: u64 = 4;
/// Time between the starts of two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Ticks per second in which [`thread_usage`] reports processor time.
const TICKS_PER_SECOND: f64 = 100.0;

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn free_address() -> SocketAddr {
    TcpListener::bind(any_port()).unwrap().local_addr().unwrap()
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program = arguments
        .next()
        .unwrap_or("target/release/fescuewell".into());
    let requests: u64 = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1_000);
    let store = Rows::start(any_port()).unwrap();
    let configuration = sample::configuration(1, 1_000_000_000).to_string();
    store.put("op", "", "config", configuration.as_bytes());
    let servers: Vec<Worker> = (0..4)
        .map(|index| Worker::start(any_port(), &format!("i-{index}")).unwrap())
        .collect();
    for (index, server) in servers.iter().enumerate() {
        let entry = sample::entry(server.address(), "ready").to_string();
        store.put("servers", "", &format!("i-{index}"), entry.as_bytes());
    }
    let (front, ready) = (free_address(), free_address());
    let settings =
        std::env::temp_dir().join(format!("fescuewell-work-{}.conf", std::process::id()));
    let text = format!(
        "node=entry-1\nzone=a\nlisten.front={front}\nlisten.ready={ready}\nplatform.address={}\n",
        store.address()
    );
    std::fs::write(&settings, text).unwrap();
    let mut instance = Command::new(program)
        .args(["entry", "--settings"])
        .arg(&settings)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let is_ready = wait_until(|| {
        exchange(
            ready,
            "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        )
        .contains("200")
    });
    assert!(is_ready, "the instance did not become ready");
    std::thread::sleep(Duration::from_secs(1));

    let idle = thread_usage(&instance);
    std::thread::sleep(Duration::from_secs(3));
    let before = thread_usage(&instance);
    print_usage("idle, a second", &idle, &before, 3.0);
    let started = Instant::now();
    let callers = (0..CALLERS)
        .map(|caller| std::thread::spawn(move || run_caller(front, caller, requests / CALLERS)));
    let served: u64 = callers
        .collect::<Vec<_>>()
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .sum();
    let after = thread_usage(&instance);
    println!(
        "{served} of {requests} served in {:.1} s",
        started.elapsed().as_secs_f64()
    );
    print_usage("a request", &before, &after, requests as f64);
    let _ = instance.kill();
    let _ = instance.wait();
    let _ = std::fs::remove_file(&settings);
}

fn run_caller(front: SocketAddr, caller: u64, requests: u64) -> u64 {
    let mut served = 0;
    for number in 0..requests {
        let started = Instant::now();
        let head = format!(
            "Host: {HOST}\r\nX-Fescuewell-Key: {KEY}\r\nX-Fescuewell-Deadline-Ms: 5000\r\nConnection: close\r\nX-Fescuewell-Request-Id: r-{caller}-{number}\r\n"
        );
        let body = "x".repeat(4_000);
        let text = match number % 2 {
            0 => format!(
                "POST /stream/x HTTP/1.1\r\n{head}X-Fescuewell-Token-Counts: 900,200\r\nX-Fescuewell-Prompt-Prefix: a:400,b:500\r\nContent-Length: 4000\r\n\r\n{body}"
            ),
            _ => format!("GET /safe/x HTTP/1.1\r\n{head}\r\n"),
        };
        served += u64::from(exchange(front, &text).starts_with("HTTP/1.1 200"));
        std::thread::sleep(REQUEST_INTERVAL.saturating_sub(started.elapsed()));
    }
    served
}

fn exchange(address: SocketAddr, text: &str) -> String {
    let mut response = String::new();
    let Ok(mut connection) = TcpStream::connect(address) else {
        return response;
    };
    // A failed connection leaves a response without status 200, which is not counted as served.
    let _ = connection.write_all(text.as_bytes());
    let _ = connection.read_to_string(&mut response);
    response
}

/// Returns the processor ticks and voluntary context switches of the threads of a process, by thread name.
fn thread_usage(child: &Child) -> BTreeMap<String, (f64, f64)> {
    let mut usage = BTreeMap::new();
    for task in std::fs::read_dir(format!("/proc/{}/task", child.id()))
        .unwrap()
        .flatten()
    {
        let read = |name: &str| std::fs::read_to_string(task.path().join(name)).unwrap_or_default();
        let name = read("comm").trim().to_owned();
        let schedule = read("schedstat");
        let nanoseconds: f64 = schedule
            .split(' ')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0);
        let status = read("status");
        let switches = status
            .lines()
            .find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        let switches: f64 = switches
            .and_then(|text| text.trim().parse().ok())
            .unwrap_or(0.0);
        let entry = usage.entry(name).or_insert((0.0, 0.0));
        entry.0 += nanoseconds / 1e9 * TICKS_PER_SECOND;
        entry.1 += switches;
    }
    usage
}

fn print_usage(
    what: &str,
    before: &BTreeMap<String, (f64, f64)>,
    after: &BTreeMap<String, (f64, f64)>,
    count: f64,
) {
    println!("{what}: thread, microseconds of processor time, voluntary switches");
    for (name, (ticks, switches)) in after {
        let (old_ticks, old_switches) = before.get(name).copied().unwrap_or_default();
        let micros = (ticks - old_ticks) / TICKS_PER_SECOND * 1e6 / count;
        println!(
            "  {name:16} {micros:10.1} {:8.2}",
            (switches - old_switches) / count
        );
    }
}
