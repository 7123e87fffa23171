//! A planned restart while writes to the store are done late: the process that ends has returned its prepaid tokens
//! by a write that takes effect after the next process has taken them over.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Connection, Message, encode};
use crate::world::{HOST, KEY, Record, SMALL, World, configuration, registration};

const SERVICE: &str = "formula-llm";
const WORKERS: usize = 3;
const SLOTS: usize = 64;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Prepaid total of the only tenant.
const PREPAID: u64 = 450_000;
/// Prompt tokens of each request, and most output tokens.
const PROMPT: u64 = 900;
const OUTPUT: u64 = 100;
/// Tokens in an event; all output tokens are made.
const STRIDE: u64 = 5;
/// Time in which the instances divide the tokens, before anything is sent.
const SETTLE_TIME: Duration = Duration::from_secs(15);
/// By how much writes are late: the pages' kinds of disruption say 1 to 6 s.
const LATE: Duration = Duration::from_millis(4_400);
/// Length of the disruption: two of the site file's, of 4.5 s each, one after the other.
const LATE_TIME: Duration = Duration::from_millis(9_000);
/// Largest part of the writes that the site file lets be late, in percent.
const MAX_LATE_PERCENT: usize = 35;
/// Grace period of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Pause between the end of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// When the restarted instance has to be ready, counted from the SIGTERM: before the late write.
const READY_TIME: Duration = Duration::from_millis(4_200);
/// Clients of the restarted instance, and requests of each.
const FIRST_CLIENTS: usize = 4;
const FIRST_REQUESTS: usize = 6;
/// When the clients of the other instances begin, counted from the SIGTERM.
const OTHER_CLIENTS_START: Duration = Duration::from_millis(5_000);
/// The longest time for which the other instances' clients go on.
const OTHER_CLIENTS_TIME: Duration = Duration::from_secs(30);
/// Answers in a row that tell a client that no tokens are left.
const ENOUGH_REFUSALS: u32 = 8;

#[derive(Default)]
struct Seen {
    /// Requests that a worker has run.
    ran: BTreeMap<String, u64>,
    /// Events that the client received, by request.
    received: BTreeMap<String, u64>,
    answers: BTreeMap<u16, u64>,
}

struct Shared {
    record: Arc<Record>,
    seen: Mutex<Seen>,
    numbers: AtomicU64,
}

impl Shared {
    /// The tokens of the requests that ran: the prompt once for each, and the output that was delivered.
    fn consumed(&self) -> u64 {
        let seen = self.seen.lock().unwrap();
        let prompts = seen.ran.len() as u64 * PROMPT;
        let events = seen.ran.keys().filter_map(|id| seen.received.get(id));
        prompts + events.sum::<u64>() * STRIDE
    }
}

fn start_worker(world: &World, shared: &Arc<Shared>, index: usize) -> SocketAddr {
    let listener = TcpListener::bind((format!("{}2", world.network).as_str(), 0))
        .expect("a worker cannot listen");
    let address = listener.local_addr().expect("no address");
    let shared = shared.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            let own = format!("i-llm-{index}");
            std::thread::spawn(move || serve(Connection::new(stream), &own, &shared));
        }
    });
    address
}

fn serve(mut connection: Connection, own: &str, shared: &Shared) {
    while let Ok(request) = connection.read_message(false) {
        let id = request
            .header("X-Fescuewell-Request-Id")
            .unwrap_or_default()
            .to_owned();
        let is_other = request
            .header("X-Fescuewell-Expect-Instance")
            .is_some_and(|expected| expected != own);
        let answer = match (request.target(), is_other) {
            ("/healthz", _) => encode("HTTP/1.1 200 OK", &[("X-Fescuewell-Instance-Id", own)], b""),
            (_, true) => {
                let headers = [
                    ("X-Fescuewell-Request-Id", id.as_str()),
                    ("X-Fescuewell-Not-Executed", "1"),
                ];
                encode("HTTP/1.1 421 Misdirected Request", &headers, b"")
            }
            _ => run(own, &id, shared),
        };
        if connection.send(&answer).is_err() {
            return;
        }
    }
}

fn run(own: &str, id: &str, shared: &Shared) -> Vec<u8> {
    shared.record.note(&format!("worker {own} runs {id}"));
    *shared
        .seen
        .lock()
        .unwrap()
        .ran
        .entry(id.into())
        .or_default() += 1;
    std::thread::sleep(Duration::from_millis(20));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Fescuewell-Request-Id: {id}\r\n\
         X-Fescuewell-Response-Seal: {own}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut answer = head.into_bytes();
    for number in 1..=OUTPUT / STRIDE {
        let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
        answer.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
    }
    answer.extend_from_slice(b"0\r\n\r\n");
    answer
}

/// Sends a request. Returns the status, 0 without an answer.
fn send(shared: &Shared, front: SocketAddr) -> u16 {
    let id = format!("t{:06}", shared.numbers.fetch_add(1, Ordering::Relaxed));
    shared.record.note(&format!("client sends {id} to {front}"));
    let answer = ask(front, &id);
    let status = answer.as_ref().map_or(0, Message::status);
    let body = answer.map_or(String::new(), |answer| {
        String::from_utf8_lossy(&answer.body).into_owned()
    });
    let events = if status == 200 {
        body.matches("id: ").count() as u64
    } else {
        0
    };
    shared
        .record
        .note(&format!("client gets {status} for {id}, {events} events"));
    let mut seen = shared.seen.lock().unwrap();
    seen.received.insert(id, events);
    *seen.answers.entry(status).or_default() += 1;
    status
}

fn ask(front: SocketAddr, id: &str) -> Option<Message> {
    let mut connection = Connection::open(front, Duration::from_secs(1)).ok()?;
    connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(6)))
        .ok()?;
    let counts = format!("{PROMPT},{OUTPUT}");
    let headers = [
        ("Host", HOST),
        ("X-Fescuewell-Request-Id", id),
        ("X-Fescuewell-Deadline-Ms", "5000"),
        ("X-Fescuewell-Key", KEY),
        ("X-Fescuewell-Model", "m"),
        ("X-Fescuewell-Token-Counts", counts.as_str()),
        ("X-Fescuewell-Prompt-Prefix", "5c1e07a2:800,91bd3f06:100"),
    ];
    connection
        .send(&encode("POST /toner/card HTTP/1.1", &headers, b"prompt"))
        .ok()?;
    connection.read_message(true).ok()
}

/// Runs the case. Returns whether the rule held, or nothing if it could not run.
pub fn run_case(record: &Arc<Record>, is_troubled: bool) -> Option<bool> {
    let route = format!(
        "{{\"name\":\"toner\",\"host\":\"{HOST}\",\"prefix\":\"/toner/\",\"kind\":\"streaming\",\"timeoutMs\":5000,\
         \"targetLatencyMs\":600,\"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":1,\"sticky\":true,\
         \"resumable\":false,\"gapAimMs\":600}}"
    );
    let service = format!(
        "{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":370,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":640619,\"stride\":{STRIDE}}}}}"
    );
    let mut world = World::start(
        record,
        &configuration(&[route], &[&service], Some(PREPAID)),
        3,
        SMALL,
    );
    let shared = Arc::new(Shared {
        record: record.clone(),
        seen: Mutex::default(),
        numbers: AtomicU64::new(1),
    });
    for index in 0..WORKERS {
        let address = start_worker(&world, &shared, index);
        let (store, zone) = (
            world.store.clone(),
            format!("zone-{}", ["a", "b", "c"][index]),
        );
        std::thread::spawn(move || {
            for seq in 1.. {
                let id = format!("i-llm-{index}");
                store.write(
                    "servers",
                    &id,
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
    std::thread::sleep(SETTLE_TIME);
    let began = Instant::now();
    if is_troubled {
        // The writes of one instance to the ledger, which are few among all writes.
        world.store.set_late(move |number, tables| {
            (number == 1 && tables.contains(&"ledger")).then_some(LATE)
        });
    }
    let ending = {
        let store = world.store.clone();
        std::thread::spawn(move || {
            std::thread::sleep(LATE_TIME);
            store.end_late()
        })
    };
    record.note("SIGTERM to the first instance");
    world.instances[0].terminate();
    world.instances[0].wait_ended(GRACE);
    record.note("the first instance has ended");
    std::thread::sleep(RESTART_DELAY);
    world.instances[0].start_again();
    while !world.instances[0].is_ready() {
        if began.elapsed() > READY_TIME {
            record.say("the instance was not ready again in time");
            return None;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    record.note("the first instance is ready again");
    let front = world.instances[0].front;
    // Before the instance has to ask others for tokens.
    let clients = (0..FIRST_CLIENTS).map(|_| {
        let shared = shared.clone();
        std::thread::spawn(move || {
            for _ in 0..FIRST_REQUESTS {
                send(&shared, front);
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    for client in clients {
        let _ = client.join();
    }
    let first = shared.consumed();
    record.say(&format!(
        "{first} tokens were consumed through the instance that was stopped and started again"
    ));
    std::thread::sleep(OTHER_CLIENTS_START.saturating_sub(began.elapsed()));
    let others: Vec<SocketAddr> = world.instances[1..]
        .iter()
        .map(|instance| instance.front)
        .collect();
    let until = Instant::now() + OTHER_CLIENTS_TIME;
    let clients = others.iter().cycle().take(8).map(|front| {
        let (shared, front) = (shared.clone(), *front);
        std::thread::spawn(move || {
            let mut refusals = 0;
            while refusals < ENOUGH_REFUSALS && Instant::now() < until {
                match send(&shared, front) {
                    200 => refusals = 0,
                    402 => {
                        refusals += 1;
                        std::thread::sleep(Duration::from_millis(300));
                    }
                    _ => std::thread::sleep(Duration::from_millis(150)),
                }
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    for client in clients {
        let _ = client.join();
    }
    let (writes, late) = ending.join().unwrap_or_default();
    record.say(&format!(
        "{late} of {writes} writes were late and not answered"
    ));
    if late * 100 > writes * MAX_LATE_PERCENT {
        record.say("too many writes were late");
        return None;
    }
    drop(world);
    let consumed = shared.consumed();
    record.say(&format!(
        "answers: {:?}",
        shared.seen.lock().unwrap().answers
    ));
    record.say(&format!(
        "BUDGET: {consumed} tokens were consumed of {PREPAID} prepaid"
    ));
    Some(consumed <= PREPAID)
}
