//! Measures the latency and resource usage of a minimal proxy built from the listener and the upstream client.
//!
//! Each role runs in its own process, so that the proxy's CPU time and memory are measured separately:
//!
//! ```text
//! streams engine PORT [even|burst]          first token immediately, then 22 per second; burst aligns all streams
//! streams proxy PORT ENGINE [THREADS]       forwards everything; GET /stats returns its resource usage
//! streams load ENGINE PROXY [STREAMS] [SECONDS]
//! streams idle PROXY [CONNECTIONS]
//! ```
//!
//! `load` keeps STREAMS streams open through the proxy and measures the time to the first token in pairs of probes:
//! one directly to the engine, which serves the same streams, and one through the proxy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_http::listener::{Handler, Listener, Reply, Request, Settings, Sink, spawn};
use fescuewell_http::upstream::{Client, Exchange, Target, Timeouts};
use http::{HeaderMap, StatusCode};

const TOKENS_PER_SECOND: u64 = 22;
const TOKENS: u64 = 220;
const LOAD_THREADS: usize = 4;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |index: usize| arguments.get(index).map_or("", String::as_str);
    let address = |index: usize| {
        argument(index)
            .parse()
            .expect("the argument should be a socket address")
    };
    match argument(0) {
        "engine" => serve(local(argument(1)), Arc::new(Engine::new(argument(2))), 2),
        "proxy" => {
            let engine = address(2);
            let client = Client::default();
            let threads = argument(3).parse().unwrap_or(1);
            serve(
                local(argument(1)),
                Arc::new(Proxy { engine, client }),
                threads,
            );
        }
        "load" => {
            let streams = argument(3).parse().unwrap_or(500);
            let seconds = argument(4).parse().unwrap_or(20);
            load(
                address(1),
                address(2),
                streams,
                Duration::from_secs(seconds),
            );
        }
        "idle" => idle(address(1), argument(2).parse().unwrap_or(200)),
        _ => eprintln!("roles: engine, proxy, load, idle"),
    }
}

fn local(port: &str) -> SocketAddr {
    format!("127.0.0.1:{port}")
        .parse()
        .expect("the argument should be a port")
}

fn serve(address: SocketAddr, handler: Arc<dyn Handler>, threads: usize) {
    let settings = Settings::new(address).with_threads(threads);
    let listener = Listener::start(settings, handler).expect("the listener should start");
    println!("listens on {}", listener.address());
    loop {
        std::thread::park();
    }
}

/// Streams tokens, the first immediately. Later tokens are timed per stream, or aligned across all streams as
/// in batched inference.
struct Engine {
    aligned_origin: Option<tokio::time::Instant>,
}

impl Engine {
    fn new(pacing: &str) -> Self {
        let now = tokio::time::Instant::now();
        Self {
            aligned_origin: (pacing == "burst").then_some(now),
        }
    }

    fn second_token_at(&self, period: Duration) -> tokio::time::Instant {
        let now = tokio::time::Instant::now();
        let Some(origin) = self.aligned_origin else {
            return now + period;
        };
        let steps = (now - origin).as_micros() / period.as_micros() + 1;
        origin + period * steps as u32
    }
}

impl Handler for Engine {
    fn handle(&self, _: Request, reply: Reply) {
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        let period = Duration::from_micros(1_000_000 / TOKENS_PER_SECOND);
        let mut interval = tokio::time::interval_at(self.second_token_at(period), period);
        spawn(async move {
            for index in 1..=TOKENS {
                if index > 1 {
                    interval.tick().await;
                }
                let event = format!(
                    "id: {index}\ndata: {{\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"word \"}},\"finish_reason\":null}}]}}\n\n"
                );
                if sink.send(event.into()).await.is_err() {
                    return;
                }
            }
            sink.finish();
        });
    }
}

struct Proxy {
    engine: SocketAddr,
    client: Client,
}

impl Handler for Proxy {
    fn handle(&self, request: Request, reply: Reply) {
        if &*request.path == "/stats" {
            return reply.send(
                StatusCode::OK,
                HeaderMap::new(),
                ResourceUsage::of_current_process().to_bytes(),
            );
        }
        let client = self.client.clone();
        let target = Target::new(self.engine);
        spawn(async move {
            let upstream = http::Request::builder()
                .method(request.method)
                .uri(&*request.path)
                .body(request.body)
                .expect("the parts of a valid request should form a request");
            match client.open(&target, upstream, Timeouts::default()).await {
                Ok(exchange) => {
                    let sink = reply.stream(exchange.status, HeaderMap::new());
                    forward(exchange, sink).await;
                }
                Err(error) => {
                    let body = error.to_string().into();
                    reply.send(StatusCode::BAD_GATEWAY, HeaderMap::new(), body);
                }
            }
        });
    }
}

async fn forward(mut exchange: Exchange, sink: Sink) {
    while let Some(chunk) = exchange.next_chunk().await {
        let Ok(chunk) = chunk else {
            return;
        };
        if sink.send(chunk).await.is_err() {
            return;
        }
    }
    sink.finish();
}

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default)]
struct ResourceUsage {
    cpu_ms: u64,
    memory_kb: u64,
    threads: u64,
}

impl ResourceUsage {
    fn of_current_process() -> Self {
        // utime and stime in ticks of 10 ms: fields 14 and 15 of proc_pid_stat(5), counted after the name in parentheses.
        let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|field| field.parse::<u64>().ok())
        };
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let line = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name));
            let number = line.and_then(|line| line.split_whitespace().nth(1));
            number.and_then(|number| number.parse().ok()).unwrap_or(0)
        };
        Self {
            cpu_ms: (ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0)) * 10,
            memory_kb: line("VmRSS:"),
            threads: line("Threads:"),
        }
    }

    fn to_bytes(self) -> Bytes {
        format!("{} {} {}", self.cpu_ms, self.memory_kb, self.threads).into()
    }

    async fn of(proxy: SocketAddr) -> Self {
        let body = fetch(&Client::default(), proxy, "/stats").await;
        let text = String::from_utf8(body.to_vec()).unwrap_or_default();
        let numbers: Vec<u64> = text
            .split(' ')
            .filter_map(|part| part.parse().ok())
            .collect();
        Self {
            cpu_ms: numbers[0],
            memory_kb: numbers[1],
            threads: numbers[2],
        }
    }
}

async fn fetch(client: &Client, address: SocketAddr, path: &str) -> Bytes {
    let request = http::Request::get(path)
        .body(Bytes::new())
        .expect("the request should be valid");
    let exchange = client
        .open(&Target::new(address), request, Timeouts::default())
        .await;
    exchange
        .expect("the server should respond")
        .collect(1_000_000)
        .await
        .expect("the response should be complete")
}

/// Counters of the running streams, and the flag that stops them.
#[derive(Default)]
struct Counters {
    tokens: AtomicU64,
    failures: AtomicU64,
    stopped: AtomicBool,
}

/// Keeps streams open through the proxy while probing engine and proxy in pairs.
fn load(engine: SocketAddr, proxy: SocketAddr, streams: usize, time: Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime should start");
    let idle = runtime.block_on(ResourceUsage::of(proxy));
    let counters = Arc::new(Counters::default());
    let workers: Vec<_> = (0..LOAD_THREADS)
        .map(|worker| {
            let counters = counters.clone();
            let count = streams / LOAD_THREADS + usize::from(worker < streams % LOAD_THREADS);
            std::thread::spawn(move || drive(proxy, count, worker, &counters))
        })
        .collect();
    // The streams start staggered over the duration of one stream; after that all of them are running.
    std::thread::sleep(Duration::from_secs(TOKENS / TOKENS_PER_SECOND + 1));
    let before = runtime.block_on(ResourceUsage::of(proxy));
    let tokens = counters.tokens.load(Ordering::Relaxed);
    let pairs = runtime.block_on(probe(engine, proxy, time));
    let tokens = counters.tokens.load(Ordering::Relaxed) - tokens;
    let after = runtime.block_on(ResourceUsage::of(proxy));
    counters.stopped.store(true, Ordering::Relaxed);
    for worker in workers {
        worker.join().expect("the worker thread should not panic");
    }
    let failures = counters.failures.load(Ordering::Relaxed);
    println!(
        "{streams} streams, {} pairs of probes, {failures} failures",
        pairs.len()
    );
    report("first token, direct", pairs.iter().map(|pair| pair.0));
    report(
        "first token, through the proxy",
        pairs.iter().map(|pair| pair.1),
    );
    report(
        "difference within a pair",
        pairs.iter().map(|pair| pair.1 - pair.0),
    );
    let cpu = (after.cpu_ms - before.cpu_ms) as f64;
    println!(
        "proxy: {tokens} tokens, {:.1} us of processor a token, {:.1}% of a core, {} threads",
        cpu * 1_000.0 / tokens as f64,
        cpu / time.as_secs_f64() / 10.0,
        after.threads
    );
    println!(
        "proxy: {} kB before, {} kB with the streams: {:.1} kB a stream",
        idle.memory_kb,
        after.memory_kb,
        (after.memory_kb as f64 - idle.memory_kb as f64) / streams as f64
    );
}

/// Returns pairs of times to the first token in milliseconds, direct and through the proxy. The two probes of a pair run
/// back to back in alternating order, so that other load on the machine affects both equally.
async fn probe(engine: SocketAddr, proxy: SocketAddr, time: Duration) -> Vec<(f64, f64)> {
    let client = Client::default();
    let end = Instant::now() + time;
    let mut pairs = Vec::new();
    while Instant::now() < end {
        let proxy_first = pairs.len() % 2 == 1;
        let early = if proxy_first {
            first_token(&client, proxy).await
        } else {
            0.0
        };
        let direct = first_token(&client, engine).await;
        let late = if proxy_first {
            early
        } else {
            first_token(&client, proxy).await
        };
        pairs.push((direct, late));
        // Not a multiple of the token period, so that the probes cover all phases of the period.
        tokio::time::sleep(Duration::from_millis(17)).await;
    }
    pairs
}

async fn first_token(client: &Client, address: SocketAddr) -> f64 {
    let started = Instant::now();
    let request = http::Request::post("/v1/chat/completions").body(Bytes::from_static(b"{}"));
    let request = request.expect("the request should be valid");
    let opened = client
        .open(&Target::new(address), request, Timeouts::default())
        .await;
    let mut exchange = opened.expect("the server should respond");
    exchange
        .next_chunk()
        .await
        .expect("the response should contain a token")
        .expect("the response should contain a token");
    started.elapsed().as_secs_f64() * 1_000.0
}

fn report<Times>(name: &str, times: Times)
where
    Times: Iterator<Item = f64>,
{
    let mut sorted: Vec<f64> = times.collect();
    sorted.sort_by(f64::total_cmp);
    let at = |share: f64| sorted[((sorted.len() as f64 * share) as usize).min(sorted.len() - 1)];
    println!(
        "{name}: median {:.3} ms, 99th {:.3} ms, most {:.3} ms",
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

fn drive(address: SocketAddr, count: usize, worker: usize, counters: &Arc<Counters>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let client = Client::default();
    runtime.expect("the runtime should start").block_on(async {
        let mut tasks = Vec::new();
        for stream in 0..count {
            let offset =
                (stream * LOAD_THREADS + worker) as u64 * 10_000 / (count * LOAD_THREADS) as u64;
            tasks.push(tokio::spawn(keep_streaming(
                client.clone(),
                address,
                offset,
                counters.clone(),
            )));
        }
        for task in tasks {
            let _ = task.await;
        }
    });
}

async fn keep_streaming(
    client: Client,
    address: SocketAddr,
    offset_ms: u64,
    counters: Arc<Counters>,
) {
    tokio::time::sleep(Duration::from_millis(offset_ms)).await;
    while !counters.stopped.load(Ordering::Relaxed) {
        let request = http::Request::post("/v1/chat/completions").body(Bytes::from_static(b"{}"));
        let request = request.expect("the request should be valid");
        let opened = client
            .open(&Target::new(address), request, Timeouts::default())
            .await;
        let Ok(mut exchange) = opened else {
            counters.failures.fetch_add(1, Ordering::Relaxed);
            return;
        };
        while let Some(chunk) = exchange.next_chunk().await {
            let Ok(chunk) = chunk else {
                counters.failures.fetch_add(1, Ordering::Relaxed);
                return;
            };
            let tokens = chunk.windows(4).filter(|window| window == b"id: ").count();
            counters.tokens.fetch_add(tokens as u64, Ordering::Relaxed);
            if counters.stopped.load(Ordering::Relaxed) {
                return;
            }
        }
    }
}

fn idle(proxy: SocketAddr, connections: usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime should start");
    let before = runtime.block_on(ResourceUsage::of(proxy));
    let open: Vec<_> = (0..connections)
        .map(|_| std::net::TcpStream::connect(proxy))
        .collect();
    let failed = open.iter().filter(|stream| stream.is_err()).count();
    let after = runtime.block_on(ResourceUsage::of(proxy));
    println!(
        "{connections} idle connections ({failed} failed): threads {} -> {}, memory {} -> {} kB",
        before.threads, after.threads, before.memory_kb, after.memory_kb
    );
}
