//! Workers that leave while an instance reads the list of workers, which takes more than one page.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use crate::net::{Connection, Message, Random, encode};
use crate::world::{Bounds, HOST, KEY, Record, World, configuration, registration};

const SERVICE: &str = "desk-api";
/// Workers; the store returns 500 rows at most in one response.
const WORKERS: usize = 600;
const SLOTS: usize = 6;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Part of the workers that leaves, in thousandths: 0.13 of them, a third of these without a word.
const LEAVING_PER_MILLE: u64 = 45;
/// Work on a request.
const WORK: Duration = Duration::from_millis(450);
/// Instances in one zone. In a zone of more than six only a few read the list from the store.
const INSTANCES: usize = 7;
const CLIENTS_PER_INSTANCE: usize = 70;
/// Time for which a leaving worker goes on to serve after the store has removed its entry: `drainMs` and some seconds.
const LINGER: Duration = Duration::from_millis(9_000);
/// `drainMs` of the whole fleet's sheet: the time after which a leaving worker may get no more requests.
const DRAIN: Duration = Duration::from_millis(5_000);
/// `stableWindowMs` of that sheet: the time after its start from which a machine counts as in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(6_000);
const TRAFFIC_TIME: Duration = Duration::from_secs(20);

struct Arrival {
    worker: usize,
    at: Instant,
    id: String,
}

struct Shared {
    record: Arc<Record>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Workers whose entries were removed, with the moment of the store's acknowledgement.
    removed: OnceLock<(Instant, BTreeSet<usize>)>,
    answered: Mutex<BTreeMap<u16, u64>>,
    is_over: AtomicBool,
    numbers: AtomicU64,
}

impl Shared {
    fn is_removed(&self, worker: usize) -> bool {
        self.removed
            .get()
            .is_some_and(|(_, workers)| workers.contains(&worker))
    }

    fn has_ended(&self, worker: usize) -> bool {
        self.is_removed(worker)
            && self
                .removed
                .get()
                .is_some_and(|(at, _)| at.elapsed() >= LINGER)
    }
}

fn worker_id(worker: usize) -> String {
    // Spread over the order of the keys.
    format!("i-{:04x}{worker:04x}", (worker as u64 * 40_503) % 65_536)
}

/// One descriptor of `poll`.
#[repr(C)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

const POLLIN: i16 = 1;
/// Time between two looks at answers that are due, in milliseconds.
const LOOK_MS: i32 = 5;

unsafe extern "C" {
    fn poll(descriptors: *mut PollFd, count: std::ffi::c_ulong, timeout_ms: i32) -> i32;
}

/// A connection to a worker, and the answer that it works on.
struct Open {
    worker: usize,
    connection: Connection,
    due: Option<(Instant, Vec<u8>)>,
    is_closed: bool,
}

/// All workers, served by one thread.
struct Workers {
    shared: Arc<Shared>,
    listeners: Vec<Option<TcpListener>>,
    open: Vec<Open>,
}

impl Workers {
    fn bind(world: &World, shared: &Arc<Shared>) -> (Self, Vec<SocketAddr>) {
        let ip = format!("{}2", world.network);
        let listeners = (0..WORKERS).map(|_| {
            let listener = TcpListener::bind((ip.as_str(), 0)).expect("a worker cannot listen");
            listener
                .set_nonblocking(true)
                .expect("a worker cannot listen");
            listener
        });
        let listeners: Vec<TcpListener> = listeners.collect();
        let addresses = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("no address"));
        let addresses = addresses.collect();
        let workers = Self {
            shared: shared.clone(),
            listeners: listeners.into_iter().map(Some).collect(),
            open: Vec::new(),
        };
        (workers, addresses)
    }

    fn run(mut self) {
        loop {
            let descriptors = self.wait();
            let (accepting, reading) = descriptors.split_at(WORKERS);
            for (worker, descriptor) in accepting.iter().enumerate() {
                if descriptor.revents != 0 {
                    self.accept(worker);
                }
            }
            for (index, descriptor) in reading.iter().enumerate() {
                if descriptor.revents != 0 {
                    self.receive(index);
                }
            }
            self.answer_due();
            self.end_gone();
        }
    }

    fn wait(&self) -> Vec<PollFd> {
        let listeners = self
            .listeners
            .iter()
            .map(|listener| listener.as_ref().map_or(-1, AsRawFd::as_raw_fd));
        // A worker reads the next request once it has answered.
        let open = self.open.iter().map(|open| {
            if open.due.is_some() {
                -1
            } else {
                open.connection.stream.as_raw_fd()
            }
        });
        let descriptors = listeners.chain(open).map(|fd| PollFd {
            fd,
            events: POLLIN,
            revents: 0,
        });
        let mut descriptors: Vec<PollFd> = descriptors.collect();
        // The vector outlives the call, and its length is the count.
        unsafe {
            poll(
                descriptors.as_mut_ptr(),
                descriptors.len() as std::ffi::c_ulong,
                LOOK_MS,
            )
        };
        descriptors
    }

    fn accept(&mut self, worker: usize) {
        let Some(listener) = &self.listeners[worker] else {
            return;
        };
        while let Ok((stream, _)) = listener.accept() {
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
            self.open.push(Open {
                worker,
                connection: Connection::new(stream),
                due: None,
                is_closed: false,
            });
        }
    }

    fn receive(&mut self, index: usize) {
        let open = &mut self.open[index];
        match open.connection.read_message(false) {
            Ok(request) => {
                let (answer, takes) = respond(&self.shared, open.worker, &request);
                open.due = Some((Instant::now() + takes, answer));
            }
            Err(_) => open.is_closed = true,
        }
    }

    fn answer_due(&mut self) {
        for open in &mut self.open {
            let Some((_, answer)) = open.due.take_if(|(at, _)| Instant::now() >= *at) else {
                continue;
            };
            // A leaving worker closes its connections.
            open.is_closed =
                open.connection.send(&answer).is_err() || self.shared.is_removed(open.worker);
        }
    }

    /// Drops closed connections, and all that belongs to workers whose processes have ended.
    fn end_gone(&mut self) {
        let shared = &self.shared;
        self.open
            .retain(|open| !open.is_closed && !shared.has_ended(open.worker));
        for (worker, listener) in self.listeners.iter_mut().enumerate() {
            if listener.is_some() && shared.has_ended(worker) {
                *listener = None;
            }
        }
    }
}

/// Returns the answer of a worker, and how long it takes.
fn respond(shared: &Shared, worker: usize, request: &Message) -> (Vec<u8>, Duration) {
    let own = worker_id(worker);
    let id = request
        .header("X-Fescuewell-Request-Id")
        .unwrap_or_default();
    if request.target() == "/healthz" {
        let headers = [("X-Fescuewell-Instance-Id", own.as_str())];
        return (encode("HTTP/1.1 200 OK", &headers, b""), Duration::ZERO);
    }
    if request
        .header("X-Fescuewell-Expect-Instance")
        .is_some_and(|expected| expected != own)
    {
        let headers = [
            ("X-Fescuewell-Request-Id", id),
            ("X-Fescuewell-Not-Executed", "1"),
        ];
        return (
            encode("HTTP/1.1 421 Misdirected Request", &headers, b""),
            Duration::ZERO,
        );
    }
    shared.record.note(&format!("worker {own} runs {id}"));
    let arrival = Arrival {
        worker,
        at: Instant::now(),
        id: id.into(),
    };
    shared.arrivals.lock().unwrap().push(arrival);
    let seal = format!("{own}.{id}");
    let mut headers = vec![
        ("X-Fescuewell-Request-Id", id),
        ("X-Fescuewell-Response-Seal", seal.as_str()),
    ];
    if shared.is_removed(worker) {
        // As the answers of a leaving worker do.
        headers.push(("Connection", "close"));
    }
    (encode("HTTP/1.1 200 OK", &headers, b"done"), WORK)
}

fn client(shared: &Arc<Shared>, front: SocketAddr, seed: u64) {
    let mut random = Random::new(seed);
    let mut connection: Option<Connection> = None;
    while !shared.is_over.load(Ordering::Relaxed) {
        let id = format!("q{:06}", shared.numbers.fetch_add(1, Ordering::Relaxed));
        shared.record.note(&format!("client sends {id} to {front}"));
        let answer = exchange(&mut connection, front, &id);
        let status = answer.as_ref().map_or(0, Message::status);
        *shared.answered.lock().unwrap().entry(status).or_default() += 1;
        shared
            .record
            .note(&format!("client gets {status} for {id}"));
        let closes = answer.is_none_or(|answer| {
            answer
                .header("Connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        if closes {
            connection = None;
        }
        let pause_ms = if status == 200 { random.below(50) } else { 400 };
        std::thread::sleep(Duration::from_millis(pause_ms));
    }
}

fn exchange(connection: &mut Option<Connection>, front: SocketAddr, id: &str) -> Option<Message> {
    if connection.as_ref().is_none_or(Connection::is_closed) {
        *connection = Connection::open(front, Duration::from_secs(3)).ok();
    }
    let headers = [
        ("Host", HOST),
        ("X-Fescuewell-Request-Id", id),
        ("X-Fescuewell-Deadline-Ms", "3000"),
        ("X-Fescuewell-Key", KEY),
    ];
    let open = connection.as_mut()?;
    open.send(&encode("POST /book/new HTTP/1.1", &headers, b"booking"))
        .ok()?;
    open.read_message(true).ok()
}

/// Runs the case. Returns whether the rule held, or nothing if it could not run.
pub fn run(record: &Arc<Record>, is_troubled: bool) -> Option<bool> {
    let route = format!(
        "{{\"name\":\"booking\",\"host\":\"{HOST}\",\"prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\
         \"targetLatencyMs\":1500,\"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":1}}"
    );
    let service =
        format!("{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":110}}");
    let bounds = Bounds {
        zones: 1,
        stable_window_ms: STABLE_WINDOW.as_millis() as u64,
        drain_ms: DRAIN.as_millis() as u64,
    };
    let mut world = World::start(
        record,
        &configuration(&[route], &[&service], None),
        0,
        bounds,
    );
    let shared = Arc::new(Shared {
        record: record.clone(),
        arrivals: Mutex::default(),
        removed: OnceLock::new(),
        answered: Mutex::default(),
        is_over: AtomicBool::new(false),
        numbers: AtomicU64::new(0),
    });
    let (workers, addresses) = Workers::bind(&world, &shared);
    std::thread::spawn(move || workers.run());
    beat(&world, &shared, &addresses);
    if is_troubled {
        leave_between_pages(&world, &shared);
    }
    let started = Instant::now();
    for _ in 0..INSTANCES {
        world.add_instance();
    }
    if !world.wait_ready() {
        record.say("the instance did not become ready");
        return None;
    }
    let fronts: Vec<SocketAddr> = world
        .instances
        .iter()
        .map(|instance| instance.front)
        .collect();
    let clients = (0..CLIENTS_PER_INSTANCE * INSTANCES).map(|index| {
        let shared = shared.clone();
        let front = fronts[index % INSTANCES];
        std::thread::spawn(move || client(&shared, front, 500 + index as u64))
    });
    let clients: Vec<_> = clients.collect();
    std::thread::sleep(TRAFFIC_TIME);
    shared.is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(world);
    judge(record, &shared, started, is_troubled)
}

/// Registers the workers, and goes on to write their heartbeats.
fn beat(world: &World, shared: &Arc<Shared>, addresses: &[SocketAddr]) {
    let write = {
        let (store, shared, addresses) = (world.store.clone(), shared.clone(), addresses.to_vec());
        move |seq: u64, pause: Duration| {
            for (worker, address) in addresses.iter().enumerate() {
                store.write_unless(
                    "servers",
                    &worker_id(worker),
                    &registration(
                        SERVICE,
                        *address,
                        SLOTS,
                        &format!("zone-{}", ["a", "b", "c"][worker % 3]),
                        seq,
                    ),
                    || shared.is_removed(worker),
                );
                std::thread::sleep(pause);
            }
        }
    };
    write(1, Duration::ZERO);
    std::thread::spawn(move || {
        for seq in 2.. {
            write(seq, HEARTBEAT / WORKERS as u32);
        }
    });
}

/// Removes the entries of some workers between the first and the second page of the list that an instance reads.
fn leave_between_pages(world: &World, shared: &Arc<Shared>) {
    let shared = shared.clone();
    world.store.after_first_page("servers", move |keys| {
        let mut random = Random::new(7);
        let leaving = (0..WORKERS).filter(|worker| {
            keys.contains(&worker_id(*worker)) && random.chance(LEAVING_PER_MILLE)
        });
        let leaving: BTreeSet<usize> = leaving.collect();
        shared.record.note(&format!(
            "the store removes the entries of {} workers",
            leaving.len()
        ));
        let ids = leaving.iter().map(|worker| worker_id(*worker)).collect();
        let _ = shared.removed.set((Instant::now(), leaving));
        ids
    });
}

fn judge(record: &Record, shared: &Shared, started: Instant, is_troubled: bool) -> Option<bool> {
    let arrivals = shared.arrivals.lock().unwrap();
    let used: BTreeSet<usize> = arrivals.iter().map(|arrival| arrival.worker).collect();
    record.say(&format!(
        "{} requests reached {} workers; answers: {:?}",
        arrivals.len(),
        used.len(),
        shared.answered.lock().unwrap()
    ));
    let Some((removed_at, removed)) = shared.removed.get() else {
        record.say("no worker left");
        return (!is_troubled).then_some(true);
    };
    record.say(&format!(
        "{} workers left {} ms after the start of the instance",
        removed.len(),
        (*removed_at - started).as_millis()
    ));
    let mut late = 0;
    for arrival in arrivals
        .iter()
        .filter(|arrival| removed.contains(&arrival.worker))
    {
        let after = arrival.at - *removed_at;
        let since_start = arrival.at - started;
        let is_late = after > DRAIN && since_start > STABLE_WINDOW;
        late += usize::from(is_late);
        record.note(&format!(
            "{} reached {} {} ms after the store had removed its entry, {} ms after the start of the instance{}",
            arrival.id,
            worker_id(arrival.worker),
            after.as_millis(),
            since_start.as_millis(),
            if is_late { "  <- DRAIN" } else { "" }
        ));
    }
    record.say(&format!("DRAIN: {late} requests reached workers later than {} ms after they were gone from the store", DRAIN.as_millis()));
    Some(late == 0)
}
