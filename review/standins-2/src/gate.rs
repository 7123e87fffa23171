//! One tenant sends many times its usual over kept connections, while other clients open new ones.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fescuewell::standin::rows::Rows;
use fescuewell::standin::sample;
use fescuewell::standin::worker::Worker;

use crate::client::{Request, get_status, read_answer};
use crate::system::{Entry, Folder, Record};

const ENTRIES: u8 = 3;
const WORKERS: usize = 3;
/// Kept connections of the tenant.
const KEPT: usize = 60;
/// The tenant's usual requests a second at the instance, and by how many times they rise.
const USUAL: u32 = 30;
const FACTOR: f64 = 7.5;
const RISE: Duration = Duration::from_millis(6_500);
/// Clients that open a new connection again and again.
const NEWCOMERS: usize = 10;
const NEWCOMER_INTERVAL: Duration = Duration::from_millis(100);
/// What the settings of the site have beside those of a small one; a later line replaces an earlier one.
const SITE: &str = "contracts=base,drain,config,cost,retry,recover,health,pool,engine,stream,tenants,platform\n\
                    bounds.stableWindowMs=4000\nbounds.drainMs=3000\nbounds.configMs=3000\nbounds.retrySlack=180\n";
/// `stableWindowMs` of the site.
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);

/// What is known of the instance and its clients.
#[derive(Default)]
struct Seen {
    /// When a new connection was taken.
    taken: Mutex<Vec<Instant>>,
    refused: AtomicUsize,
    answered: AtomicUsize,
    failed: AtomicUsize,
    /// Readiness checks and their results.
    checks: Mutex<Vec<(Instant, bool)>>,
    /// Requests a second of the tenant.
    rate: AtomicU32,
    is_over: AtomicBool,
}

impl Seen {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }
}

pub fn run(record: &str, has_trouble: bool) -> u8 {
    let record = Record::create(record);
    let folder = Folder::new("gate");
    let store = Rows::start("127.0.0.1:0".parse().unwrap()).expect("the store cannot listen");
    let configuration = sample::configuration(1, 1_000_000);
    store.put("op", "", "config", configuration.to_string().as_bytes());
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|number| {
            Worker::start("127.0.0.1:0".parse().unwrap(), &format!("i-{number}"))
                .expect("no worker")
        })
        .collect();
    for worker in &workers {
        let entry = sample::entry(worker.address(), "ready").to_string();
        store.put("servers", "", &worker.name(), entry.as_bytes());
    }
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|index| Entry::new(&folder.0, index, store.content(), Vec::new(), SITE))
        .collect();
    for entry in &mut entries {
        entry.start();
    }
    for entry in &entries {
        if !entry.wait_ready() {
            record.line(&format!("{} did not become ready", entry.name));
            return 2;
        }
    }
    // Traffic begins some time after the machines.
    thread::sleep(Duration::from_secs(14));
    play(&record, has_trouble, &entries[0])
}

fn play(record: &Record, has_trouble: bool, entry: &Entry) -> u8 {
    let seen = Arc::new(Seen::default());
    seen.rate.store(USUAL, Ordering::SeqCst);
    let mut threads = Vec::new();
    for number in 0..KEPT {
        let (seen, front) = (seen.clone(), entry.front);
        threads.push(thread::spawn(move || tenant(&seen, front, number)));
    }
    for _ in 0..NEWCOMERS {
        let (seen, front) = (seen.clone(), entry.front);
        threads.push(thread::spawn(move || newcomer(&seen, front)));
    }
    {
        let (seen, ready) = (seen.clone(), entry.ready);
        threads.push(thread::spawn(move || platform(&seen, ready)));
    }
    record.line(&format!(
        "{KEPT} kept connections of one tenant at {}, {USUAL} requests a second",
        entry.name
    ));
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        seen.rate
            .store((f64::from(USUAL) * FACTOR) as u32, Ordering::SeqCst);
        record.line(&format!("the tenant sends {FACTOR} times its usual"));
    }
    thread::sleep(RISE);
    seen.rate.store(USUAL, Ordering::SeqCst);
    record.line("the tenant sends its usual");
    thread::sleep(Duration::from_secs(4));
    seen.is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    judge(record, &seen)
}

fn judge(record: &Record, seen: &Seen) -> u8 {
    let mut taken = seen.taken.lock().unwrap().clone();
    taken.sort();
    let checks = seen.checks.lock().unwrap();
    let unready = checks.iter().filter(|(_, is_ready)| !is_ready).count();
    record.line(&format!(
        "{} requests answered, {} failed; {} new connections taken, {} refused; {} readiness checks, {unready} not ready",
        seen.answered.load(Ordering::SeqCst),
        seen.failed.load(Ordering::SeqCst),
        taken.len(),
        seen.refused.load(Ordering::SeqCst),
        checks.len()
    ));
    let gaps = taken.iter().zip(taken.iter().skip(1));
    let Some((begin, end)) = gaps.max_by_key(|(begin, end)| end.duration_since(**begin)) else {
        return 2;
    };
    let gap = end.duration_since(*begin);
    let within = checks.iter().filter(|(at, _)| at > begin && at < end);
    let is_ready = within.clone().all(|(_, is_ready)| *is_ready);
    record.line(&format!(
        "longest time without a new connection: {:.3} s, with {} readiness checks, all answered 200: {is_ready}",
        gap.as_secs_f64(),
        within.count()
    ));
    u8::from(gap >= STABLE_WINDOW && is_ready)
}

fn request(number: usize, count: u64) -> Request {
    Request::new(
        "GET /safe/2f",
        sample::HOST,
        &format!("t-{number}-{count}"),
        sample::KEY,
        1_500,
    )
}

/// A kept connection of the tenant, which sends its part of the requests.
fn tenant(seen: &Seen, front: SocketAddr, number: usize) {
    let Ok(mut stream) = TcpStream::connect(front) else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut next = Instant::now();
    for count in 0.. {
        let interval =
            Duration::from_secs_f64(KEPT as f64 / f64::from(seen.rate.load(Ordering::SeqCst)));
        next = (next + interval).max(Instant::now() - interval);
        while Instant::now() < next && !seen.is_over() {
            let left = next.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(20)));
            // The rate may have risen meanwhile.
            let interval = KEPT as f64 / f64::from(seen.rate.load(Ordering::SeqCst));
            next = next.min(Instant::now() + Duration::from_secs_f64(interval));
        }
        if seen.is_over() {
            return;
        }
        let is_sent = stream.write_all(&request(number, count).head()).is_ok();
        let answer = read_answer(&mut stream, Instant::now() + Duration::from_millis(1_800));
        let counter =
            match is_sent && answer.is_some_and(|answer| answer.status == 200 && answer.is_whole) {
                true => &seen.answered,
                false => &seen.failed,
            };
        counter.fetch_add(1, Ordering::SeqCst);
    }
}

/// A client that needs a new connection, again and again.
fn newcomer(seen: &Seen, front: SocketAddr) {
    while !seen.is_over() {
        match TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
            Ok(_) => seen.taken.lock().unwrap().push(Instant::now()),
            Err(_) => {
                seen.refused.fetch_add(1, Ordering::SeqCst);
            }
        }
        thread::sleep(NEWCOMER_INTERVAL);
    }
}

/// Checks the readiness once a second, as the platform does.
fn platform(seen: &Seen, ready: SocketAddr) {
    while !seen.is_over() {
        let is_ready = get_status(ready, "/-/readyz") == Some(200);
        seen.checks.lock().unwrap().push((Instant::now(), is_ready));
        thread::sleep(Duration::from_secs(1));
    }
}
