//! A planned stop: SIGTERM to one instance while callers that still have its address send streams to it.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Connection, Message, encode};
use crate::world::{HOST, KEY, Record, SMALL, World, configuration, registration};

const SERVICE: &str = "formula-llm";
const WORKERS: usize = 3;
const SLOTS: usize = 64;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Events of a stream, the time to the first one and between two: 4.5 s in all, with pauses inside the route's aim.
const EVENTS: u32 = 10;
const FIRST_EVENT: Duration = Duration::from_millis(90);
const PAUSE: Duration = Duration::from_millis(490);
/// Deadline of the requests and timeout of their route.
const DEADLINE: Duration = Duration::from_millis(5_000);
/// Grace period of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// When requests are sent, in milliseconds after the SIGTERM. The rules excuse those up to `EXCUSED_MS`.
const SENT_MS: [u64; 8] = [500, 1_500, 2_500, 3_040, 3_070, 3_100, 3_130, 3_160];
const EXCUSED_MS: u128 = 3_000;
/// Time for which some clients keep an answer of the directory: three times its `ttlS`.
const LONG_TTL: Duration = Duration::from_secs(6);

/// A request as its client and the worker saw it.
#[derive(Debug, Default, Clone)]
struct Seen {
    sent_ms: u128,
    ended_ms: u128,
    status: u16,
    is_complete: bool,
    has_run: bool,
    worker_finished: bool,
    worker_cut: bool,
}

type Table = Arc<Mutex<Vec<(String, Seen)>>>;

fn update<Change>(table: &Table, id: &str, change: Change)
where
    Change: FnOnce(&mut Seen),
{
    let mut table = table.lock().unwrap();
    if let Some((_, seen)) = table.iter_mut().find(|(known, _)| known == id) {
        change(seen);
    }
}

fn start_worker(world: &World, table: &Table, index: usize) -> SocketAddr {
    let listener = TcpListener::bind((format!("{}2", world.network).as_str(), 0))
        .expect("a worker cannot listen");
    let address = listener.local_addr().expect("no address");
    let (table, record) = (table.clone(), world.record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (table, record) = (table.clone(), record.clone());
            let id = format!("i-llm-{index}");
            std::thread::spawn(move || serve(Connection::new(stream), &id, &table, &record));
        }
    });
    address
}

fn serve(mut connection: Connection, own: &str, table: &Table, record: &Record) {
    while let Ok(request) = connection.read_message(false) {
        let id = request
            .header("X-Fescuewell-Request-Id")
            .unwrap_or_default()
            .to_owned();
        if request.target() == "/healthz" {
            let answer = encode("HTTP/1.1 200 OK", &[("X-Fescuewell-Instance-Id", own)], b"");
            if connection.send(&answer).is_err() {
                return;
            }
            continue;
        }
        if request
            .header("X-Fescuewell-Expect-Instance")
            .is_some_and(|expected| expected != own)
        {
            let headers = [
                ("X-Fescuewell-Request-Id", id.as_str()),
                ("X-Fescuewell-Not-Executed", "1"),
            ];
            if connection
                .send(&encode("HTTP/1.1 421 Misdirected Request", &headers, b""))
                .is_err()
            {
                return;
            }
            continue;
        }
        record.note(&format!("worker {own} runs {id}"));
        update(table, &id, |seen| seen.has_run = true);
        if stream(&mut connection, own, &id).is_err() {
            record.note(&format!(
                "worker {own}: the connection of {id} was closed while it worked"
            ));
            update(table, &id, |seen| seen.worker_cut = true);
            return;
        }
        record.note(&format!("worker {own} has sent all of {id}"));
        update(table, &id, |seen| seen.worker_finished = true);
    }
}

fn stream(connection: &mut Connection, own: &str, id: &str) -> std::io::Result<()> {
    std::thread::sleep(FIRST_EVENT);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Fescuewell-Request-Id: {id}\r\n\
         X-Fescuewell-Response-Seal: {own}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.send(head.as_bytes())?;
    for number in 1..=EVENTS {
        if number > 1 {
            std::thread::sleep(PAUSE);
        }
        if connection.is_closed() {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
        connection.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    connection.send(b"0\r\n\r\n")
}

fn ask(address: SocketAddr, id: &str) -> Option<Message> {
    let mut connection = Connection::open(address, Duration::from_secs(1)).ok()?;
    connection
        .stream
        .set_read_timeout(Some(DEADLINE + Duration::from_secs(1)))
        .ok()?;
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", HOST),
        ("X-Fescuewell-Request-Id", id),
        ("X-Fescuewell-Deadline-Ms", deadline.as_str()),
        ("X-Fescuewell-Key", KEY),
        ("X-Fescuewell-Model", "m"),
        ("X-Fescuewell-Token-Counts", "900,50"),
        ("X-Fescuewell-Prompt-Prefix", "5c1e07a2:800,91bd3f06:100"),
    ];
    connection
        .send(&encode("POST /toner/card HTTP/1.1", &headers, b"prompt"))
        .ok()?;
    connection.read_message(true).ok()
}

/// Sends requests to an address at the given moments after `began`, each on a new connection.
fn send_all(
    record: &Arc<Record>,
    table: &Table,
    address: SocketAddr,
    began: Instant,
    prefix: &str,
) {
    let threads = SENT_MS.map(|at_ms| {
        let (record, table) = (record.clone(), table.clone());
        let id = format!("{prefix}-{at_ms}");
        std::thread::spawn(move || {
            std::thread::sleep(
                (began + Duration::from_millis(at_ms)).saturating_duration_since(Instant::now()),
            );
            let seen = Seen {
                sent_ms: began.elapsed().as_millis(),
                ..Seen::default()
            };
            record.note(&format!("client sends {id}"));
            table.lock().unwrap().push((id.clone(), seen));
            let answer = ask(address, &id);
            let status = answer.as_ref().map_or(0, Message::status);
            let is_complete = answer.is_some_and(|answer| answer.is_complete);
            record.note(&format!(
                "client gets {status} for {id}, complete: {is_complete}"
            ));
            update(&table, &id, |seen| {
                seen.status = status;
                seen.is_complete = is_complete;
                seen.ended_ms = began.elapsed().as_millis();
            });
        })
    });
    for thread in threads {
        let _ = thread.join();
    }
}

/// Runs the case. Returns whether the rule held, or nothing if it could not run.
pub fn run(record: &Arc<Record>, is_troubled: bool) -> Option<bool> {
    let route = format!(
        "{{\"name\":\"toner\",\"host\":\"{HOST}\",\"prefix\":\"/toner/\",\"kind\":\"streaming\",\"timeoutMs\":5000,\
         \"targetLatencyMs\":600,\"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":1,\"sticky\":true,\
         \"resumable\":false,\"gapAimMs\":600}}"
    );
    let service = format!(
        "{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":370,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":640619,\"stride\":5}}}}"
    );
    let mut world = World::start(
        record,
        &configuration(&[route], &[&service], Some(5_000_000)),
        3,
        SMALL,
    );
    let table = Table::default();
    for index in 0..WORKERS {
        let address = start_worker(&world, &table, index);
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
    // The instances read the list of workers, and no disruption precedes the stop within `stableWindowMs`.
    std::thread::sleep(Duration::from_secs(5));
    let resolved_at = Instant::now();
    let resolved = world.resolve();
    let front = world.instances[0].front;
    if !resolved.contains(&front) {
        record.say("the directory does not name the instance");
        return None;
    }
    let began = Instant::now();
    if is_troubled {
        record.note(&format!("SIGTERM to {}", world.instances[0].name));
        world.instances[0].terminate();
    }
    let sending = {
        let (record, table) = (record.clone(), table.clone());
        std::thread::spawn(move || send_all(&record, &table, front, began, "s"))
    };
    let is_fresh =
        Duration::from_millis(SENT_MS[SENT_MS.len() - 1]) + (began - resolved_at) < LONG_TTL;
    let mut ended_ms = None;
    while is_troubled && began.elapsed() < GRACE {
        if world.instances[0].has_ended() {
            ended_ms = Some(began.elapsed().as_millis());
            record.note("the instance has ended");
            break;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    if is_troubled && ended_ms.is_none() {
        record.note("SIGKILL at the end of the grace period");
        world.instances[0].kill();
        ended_ms = Some(began.elapsed().as_millis());
    }
    let _ = sending.join();
    // The workers notice closed connections at their next event.
    std::thread::sleep(Duration::from_secs(1));
    if !is_fresh {
        record.say("the client's addresses were too old");
        return None;
    }
    let table = table.lock().unwrap().clone();
    if let Some(ended_ms) = ended_ms {
        record.say(&format!(
            "the instance ended {ended_ms} ms after SIGTERM, with a grace period of {} ms",
            GRACE.as_millis()
        ));
    }
    Some(judge(record, &table))
}

fn judge(record: &Record, table: &[(String, Seen)]) -> bool {
    let mut lost = 0;
    for (id, seen) in table {
        let lasted_ms = seen.ended_ms - seen.sent_ms;
        let is_in_time = lasted_ms < DEADLINE.as_millis();
        let is_cut = seen.has_run && !seen.is_complete && seen.worker_cut && is_in_time;
        let is_lost = is_cut && seen.sent_ms > EXCUSED_MS;
        lost += usize::from(is_lost);
        record.say(&format!(
            "{id}: sent at {} ms, {}, answer {} after {lasted_ms} ms, whole: {}{}",
            seen.sent_ms,
            if seen.has_run {
                "passed on to a worker"
            } else {
                "not passed on"
            },
            seen.status,
            seen.is_complete,
            match (is_lost, is_cut) {
                (true, _) => "  <- LOST",
                (false, true) => "  (cut, excused: sent no later than 3 s after SIGTERM)",
                _ => "",
            }
        ));
    }
    record.say(&format!(
        "LOST: {lost} requests were passed on to a worker and ended without a whole answer"
    ));
    lost == 0
}
