//! What a request costs an instance: processor time and switches by thread.
//!
//! ```sh
//! cargo build --release && cargo run --release --example work -- target/release/fescuewell 1000
//! ```
//!
//! Starts the stand-ins of store and backend servers, one instance as a process of its own, and callers that open a connection
//! for each request: half of them streams of six events with 4 kB prompts, half short answers.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use fescuewell::standin::rows::Rows;
use fescuewell::standin::sample::{self, HOST, KEY};
use fescuewell::standin::worker::{Worker, wait_until};

/// Callers that send at the same time.
const CALLERS: u64 = 4;
/// Time from one request of a caller to its next.
const EVERY: Duration = Duration::from_millis(20);
/// Ticks of a second in which the kernel counts processor time.
const TICKS: f64 = 100.0;

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn free() -> SocketAddr {
    TcpListener::bind(any()).unwrap().local_addr().unwrap()
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
    let store = Rows::start(any()).unwrap();
    let configuration = sample::configuration(1, 1_000_000_000).to_string();
    store.put("op", "", "config", configuration.as_bytes());
    let workers: Vec<Worker> = (0..4)
        .map(|index| Worker::start(any(), &format!("i-{index}")).unwrap())
        .collect();
    for (index, worker) in workers.iter().enumerate() {
        let entry = sample::entry(worker.address(), "ready").to_string();
        store.put("servers", "", &format!("i-{index}"), entry.as_bytes());
    }
    let (front, ready) = (free(), free());
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
        ask(
            ready,
            "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        )
        .contains("200")
    });
    assert!(is_ready, "the instance never became ready");
    std::thread::sleep(Duration::from_secs(1));

    let idle = usage(&instance);
    std::thread::sleep(Duration::from_secs(3));
    let before = usage(&instance);
    show("idle, a second", &idle, &before, 3.0);
    let started = Instant::now();
    let callers = (0..CALLERS)
        .map(|caller| std::thread::spawn(move || call(front, caller, requests / CALLERS)));
    let served: u64 = callers
        .collect::<Vec<_>>()
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .sum();
    let after = usage(&instance);
    println!(
        "{served} of {requests} served in {:.1} s",
        started.elapsed().as_secs_f64()
    );
    show("a request", &before, &after, requests as f64);
    let _ = instance.kill();
    let _ = instance.wait();
    let _ = std::fs::remove_file(&settings);
}

fn call(front: SocketAddr, caller: u64, requests: u64) -> u64 {
    let mut served = 0;
    for number in 0..requests {
        let begun = Instant::now();
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
        served += u64::from(ask(front, &text).starts_with("HTTP/1.1 200"));
        std::thread::sleep(EVERY.saturating_sub(begun.elapsed()));
    }
    served
}

fn ask(address: SocketAddr, text: &str) -> String {
    let mut answer = String::new();
    let Ok(mut connection) = TcpStream::connect(address) else {
        return answer;
    };
    // A connection that fails shows as an answer that is not served.
    let _ = connection.write_all(text.as_bytes());
    let _ = connection.read_to_string(&mut answer);
    answer
}

/// Processor ticks and voluntary switches of each thread, by its name.
fn usage(child: &Child) -> BTreeMap<String, (f64, f64)> {
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
        entry.0 += nanoseconds / 1e9 * TICKS;
        entry.1 += switches;
    }
    usage
}

fn show(
    what: &str,
    before: &BTreeMap<String, (f64, f64)>,
    after: &BTreeMap<String, (f64, f64)>,
    count: f64,
) {
    println!("{what}: thread, microseconds of processor time, voluntary switches");
    for (name, (ticks, switches)) in after {
        let (old_ticks, old_switches) = before.get(name).copied().unwrap_or_default();
        let micros = (ticks - old_ticks) / TICKS * 1e6 / count;
        println!(
            "  {name:16} {micros:10.1} {:8.2}",
            (switches - old_switches) / count
        );
    }
}
