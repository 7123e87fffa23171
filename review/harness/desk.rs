//! Late copies of rejections: a worker that is full rejects a request, and sends that answer a second time
//! where the answer to the next request on the connection is due.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant};

use crate::net::{Connection, Message, Random, encode};
use crate::world::{HOST, KEY, Record, SMALL, World, configuration, registration};

const SERVICE: &str = "salon-desk";
const WORKERS: usize = 5;
/// Workers that send late copies: three fifths, the largest share of the site file.
const FAULTY_WORKERS: usize = 3;
/// Requests that a worker processes at a time.
const SLOTS: usize = 6;
/// Requests that wait at a worker before it rejects more.
const QUEUE: usize = 6;
/// Shortest and longest work on a request, in milliseconds.
const WORK_MS: (u64, u64) = (40, 110);
const CLIENTS: usize = 135;
/// Mean pause of a client between two requests.
const PAUSE_MS: u64 = 200;
const TRAFFIC_TIME: Duration = Duration::from_secs(65);
/// Seconds of the traffic in which the faulty workers send late copies: 10 times 5 s.
const WINDOW_S: std::ops::Range<u64> = 10..60;
/// Share of its answers that are sent twice, in thousandths.
const COPIED_PER_MILLE: u64 = 30;
/// Statuses by which the system says that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What was seen of the requests.
#[derive(Default)]
struct Seen {
    /// Kind and booking of each request that a client sent, by id.
    sent: BTreeMap<String, (&'static str, u64)>,
    /// Status that the client got, by id; 0 if the connection ended without an answer.
    answered: BTreeMap<String, u16>,
    /// Workers that began to work on a request, by id.
    runs: BTreeMap<String, Vec<String>>,
    rejections: u64,
    copies: u64,
    copied_rejections: u64,
}

struct Shared {
    record: Arc<Record>,
    seen: Mutex<Seen>,
    traffic_began: OnceLock<Instant>,
    is_troubled: bool,
    is_over: AtomicBool,
}

impl Shared {
    fn is_window(&self) -> bool {
        let at = self
            .traffic_began
            .get()
            .map_or(0, |began| began.elapsed().as_secs());
        self.is_troubled && WINDOW_S.contains(&at)
    }
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

struct Worker {
    id: String,
    is_faulty: bool,
    load: Mutex<Load>,
    freed: Condvar,
    random: Mutex<Random>,
    shared: Arc<Shared>,
}

enum Admission {
    Admitted,
    Full,
    Late,
    CallerGone,
}

impl Worker {
    fn start(world: &World, shared: &Arc<Shared>, index: usize) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind((format!("{}2", world.network).as_str(), 0))
            .expect("a worker cannot listen");
        let address = listener.local_addr().expect("no address");
        let worker = Arc::new(Self {
            id: format!("i-desk-{index}"),
            is_faulty: index < FAULTY_WORKERS,
            load: Mutex::default(),
            freed: Condvar::new(),
            random: Mutex::new(Random::new(100 + index as u64)),
            shared: shared.clone(),
        });
        let serving = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                std::thread::spawn(move || worker.serve(Connection::new(stream)));
            }
        });
        (worker, address)
    }

    fn serve(&self, mut connection: Connection) {
        // Answer that is sent once more before the next one.
        let mut copy: Option<(String, Vec<u8>)> = None;
        while let Ok(request) = connection.read_message(false) {
            let id = request
                .header("X-Fescuewell-Request-Id")
                .unwrap_or_default()
                .to_owned();
            if let Some((of, bytes)) = copy.take() {
                self.shared.record.note(&format!(
                    "worker {} copies its answer to {of} before the one to {id}",
                    self.id
                ));
                if connection.send(&bytes).is_err() {
                    return;
                }
            }
            let Some((answer, is_rejection)) = self.answer(&request, &id, &connection) else {
                return;
            };
            if connection.send(&answer).is_err() {
                return;
            }
            if !id.is_empty()
                && self.is_faulty
                && self.shared.is_window()
                && self.random.lock().unwrap().chance(COPIED_PER_MILLE)
            {
                let mut seen = self.shared.seen.lock().unwrap();
                seen.copies += 1;
                seen.copied_rejections += u64::from(is_rejection);
                copy = Some((id, answer));
            }
        }
    }

    /// Returns the answer to a request and whether it is a rejection, or nothing if its caller has left.
    fn answer(
        &self,
        request: &Message,
        id: &str,
        connection: &Connection,
    ) -> Option<(Vec<u8>, bool)> {
        if request.target() == "/healthz" {
            let headers = [("X-Fescuewell-Instance-Id", self.id.as_str())];
            return Some((encode("HTTP/1.1 200 OK", &headers, b""), false));
        }
        let rejection = |line: &str, why: &str| {
            self.shared.seen.lock().unwrap().rejections += 1;
            self.shared
                .record
                .note(&format!("worker {} rejects {id}: {why}", self.id));
            let headers = [
                ("X-Fescuewell-Request-Id", id),
                ("X-Fescuewell-Not-Executed", "1"),
            ];
            Some((encode(line, &headers, b""), true))
        };
        if request
            .header("X-Fescuewell-Expect-Instance")
            .is_some_and(|expected| expected != self.id)
        {
            return rejection(
                "HTTP/1.1 421 Misdirected Request",
                "it names another instance",
            );
        }
        let deadline = request
            .header("X-Fescuewell-Deadline-Ms")
            .and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(deadline.unwrap_or(10_000));
        match self.admit(deadline, connection) {
            Admission::Admitted => {}
            Admission::Full => return rejection("HTTP/1.1 503 Service Unavailable", "full"),
            Admission::Late => {
                return rejection(
                    "HTTP/1.1 503 Service Unavailable",
                    "the deadline has passed",
                );
            }
            Admission::CallerGone => return None,
        }
        self.shared
            .record
            .note(&format!("worker {} runs {id}", self.id));
        let mut seen = self.shared.seen.lock().unwrap();
        seen.runs
            .entry(id.into())
            .or_default()
            .push(self.id.clone());
        drop(seen);
        let work_ms = WORK_MS.0 + self.random.lock().unwrap().below(WORK_MS.1 - WORK_MS.0);
        std::thread::sleep(Duration::from_millis(work_ms));
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
        let seal = format!("{}.{id}", self.id);
        let headers = [
            ("X-Fescuewell-Request-Id", id),
            ("X-Fescuewell-Response-Seal", seal.as_str()),
        ];
        let body = format!("{id} done");
        Some((encode("HTTP/1.1 200 OK", &headers, body.as_bytes()), false))
    }

    fn admit(&self, deadline: Instant, connection: &Connection) -> Admission {
        let mut load = self.load.lock().unwrap();
        if load.running >= SLOTS && load.waiting >= QUEUE {
            return Admission::Full;
        }
        load.waiting += 1;
        while load.running >= SLOTS {
            load = self
                .freed
                .wait_timeout(load, Duration::from_millis(5))
                .unwrap()
                .0;
            if connection.is_closed() {
                load.waiting -= 1;
                return Admission::CallerGone;
            }
            if Instant::now() >= deadline {
                load.waiting -= 1;
                return Admission::Late;
            }
        }
        load.waiting -= 1;
        load.running += 1;
        Admission::Admitted
    }
}

/// A client of the desk: sends one request after the other on a kept connection.
struct Client {
    index: usize,
    shared: Arc<Shared>,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    bookings: Arc<AtomicU64>,
    random: Random,
    connection: Option<Connection>,
}

impl Client {
    fn run(mut self) {
        let mut number = 0;
        while !self.shared.is_over.load(Ordering::Relaxed) {
            // Exponentially distributed, so that the workers are full now and then.
            let part = (self.random.below(1_000_000) + 1) as f64 / 1_000_001.0;
            std::thread::sleep(Duration::from_millis(PAUSE_MS).mul_f64(-part.ln()));
            // The sheet's mix of bookings and look-ups.
            let kind = if self.random.below(185) < 105 {
                "unsafe"
            } else {
                "safe"
            };
            let booking = self.bookings.fetch_add(1, Ordering::Relaxed);
            // A booking is sent once more, under a new id, only if the answer says that it has not run.
            for _ in 0..2 {
                number += 1;
                let id = format!("c{:02}-{number:05}", self.index);
                let (status, wait) = self.send(&id, kind, booking);
                if !PROMISES.contains(&status) {
                    break;
                }
                std::thread::sleep(wait);
            }
        }
    }

    /// Sends a request. Returns the status, 0 without an answer, and when to come back.
    fn send(&mut self, id: &str, kind: &'static str, booking: u64) -> (u16, Duration) {
        let shared = self.shared.clone();
        shared
            .seen
            .lock()
            .unwrap()
            .sent
            .insert(id.into(), (kind, booking));
        shared
            .record
            .note(&format!("client sends {id}: {kind}, booking {booking}"));
        let answer = self.exchange(id, kind, booking);
        let status = answer.as_ref().map_or(0, Message::status);
        shared
            .seen
            .lock()
            .unwrap()
            .answered
            .insert(id.into(), status);
        shared
            .record
            .note(&format!("client gets {status} for {id}"));
        let wait = answer
            .as_ref()
            .and_then(|answer| answer.header("Retry-After")?.parse().ok());
        // At most a third of the time left.
        let wait = Duration::from_secs_f64(wait.unwrap_or(0.1_f64).min(0.4));
        let keeps = answer.is_some_and(|answer| {
            !answer
                .header("Connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        if !keeps {
            self.connection = None;
        }
        (status, wait)
    }

    fn exchange(&mut self, id: &str, kind: &str, booking: u64) -> Option<Message> {
        if self.connection.as_ref().is_none_or(Connection::is_closed) {
            let addresses = self.addresses.lock().unwrap().clone();
            let address =
                addresses.get(self.random.below(addresses.len().max(1) as u64) as usize)?;
            self.connection = Connection::open(*address, Duration::from_secs(3)).ok();
        }
        let connection = self.connection.as_mut()?;
        let headers = [
            ("Host", HOST),
            ("X-Fescuewell-Request-Id", id),
            ("X-Fescuewell-Deadline-Ms", "1500"),
            ("X-Fescuewell-Key", KEY),
        ];
        let request = match kind {
            "unsafe" => encode(
                "POST /book/new HTTP/1.1",
                &headers,
                format!("booking {booking}").as_bytes(),
            ),
            _ => encode("GET /price/list HTTP/1.1", &headers, b""),
        };
        connection.send(&request).ok()?;
        let answer = connection.read_message(true).ok();
        answer.filter(|answer| answer.is_complete)
    }
}

/// Interval of a worker's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time for which clients keep an answer of the directory.
const ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Time after the last request in which a worker might still run one.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Runs the case. Returns whether the rules held, or nothing if it could not run.
pub fn run(record: &Arc<Record>, is_troubled: bool) -> Option<bool> {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":1500,\
             \"targetLatencyMs\":300,\"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":{attempts}}}"
        )
    };
    let routes = [
        route("booking", "/book/", "unsafe", 1),
        route("price", "/price/", "safe", 2),
    ];
    let service =
        format!("{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":110}}");
    let world = World::start(record, &configuration(&routes, &[&service], None), 3, SMALL);
    let shared = Arc::new(Shared {
        record: record.clone(),
        seen: Mutex::default(),
        traffic_began: OnceLock::new(),
        is_troubled,
        is_over: AtomicBool::new(false),
    });
    for index in 0..WORKERS {
        let (worker, address) = Worker::start(&world, &shared, index);
        let (store, zone) = (
            world.store.clone(),
            format!("zone-{}", ["a", "b", "c"][index % 3]),
        );
        std::thread::spawn(move || {
            for seq in 1.. {
                store.write(
                    "servers",
                    &worker.id,
                    Some(&registration(SERVICE, address, SLOTS, &zone, seq)),
                );
                std::thread::sleep(HEARTBEAT);
            }
        });
    }
    if !world.wait_ready() {
        record.say("the instances did not become ready");
        return None;
    }
    // The instances read the list of workers.
    std::thread::sleep(Duration::from_secs(3));
    let addresses = Arc::new(Mutex::new(world.resolve()));
    let bookings = Arc::new(AtomicU64::new(1));
    let _ = shared.traffic_began.set(Instant::now());
    record.note("traffic begins");
    let clients = (0..CLIENTS).map(|index| {
        let client = Client {
            index,
            shared: shared.clone(),
            addresses: addresses.clone(),
            bookings: bookings.clone(),
            random: Random::new(1_000 + index as u64),
            connection: None,
        };
        std::thread::spawn(move || client.run())
    });
    let clients: Vec<_> = clients.collect();
    let until = Instant::now() + TRAFFIC_TIME;
    while Instant::now() < until {
        std::thread::sleep(ADDRESS_TTL);
        let resolved = world.resolve();
        if !resolved.is_empty() {
            *addresses.lock().unwrap() = resolved;
        }
    }
    shared.is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(SETTLE_TIME);
    drop(world);
    let seen = shared.seen.lock().unwrap();
    Some(judge(record, &seen))
}

fn judge(record: &Record, seen: &Seen) -> bool {
    let mut refused = Vec::new();
    let mut twice = Vec::new();
    let mut bookings: BTreeMap<u64, usize> = BTreeMap::new();
    for (id, (kind, booking)) in &seen.sent {
        let runs = seen.runs.get(id).map_or(0, Vec::len);
        if *kind != "unsafe" {
            continue;
        }
        *bookings.entry(*booking).or_default() += runs;
        let status = seen.answered.get(id).copied().unwrap_or_default();
        if runs > 0 && PROMISES.contains(&status) {
            refused.push(format!(
                "{id} (booking {booking}) was answered {status} and ran at {}",
                seen.runs[id].join(", ")
            ));
        }
        if runs > 1 {
            twice.push(format!("{id} ran {runs} times"));
        }
    }
    let doubled = bookings.values().filter(|runs| **runs > 1).count();
    record.say(&format!(
        "{} requests sent, {} rejections by workers, {} answers copied late, {} of them rejections",
        seen.sent.len(),
        seen.rejections,
        seen.copies,
        seen.copied_rejections
    ));
    for line in refused.iter().chain(&twice) {
        record.note(line);
    }
    record.say(&format!(
        "REFUSED: {} unsafe requests were answered 408, 421, 429 or 503 and ran; TWICE: {} ran more than once; {doubled} bookings ran twice",
        refused.len(),
        twice.len()
    ));
    if let Some(first) = refused.first() {
        record.say(&format!("the first: {first}"));
    }
    refused.is_empty() && twice.is_empty()
}
