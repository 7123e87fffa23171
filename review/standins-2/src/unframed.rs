//! An instance is frozen while a backend server crashes and starts again, under streams whose bodies have no length.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use fescuewell::standin::rows::Rows;

use crate::client::{Request, send};
use crate::system::{Entry, Folder, HOLD, PASS, Proxy, Record};
use crate::worker::{EVENTS, Worker};

const WORKERS: usize = 4;
const ENTRIES: u8 = 3;
const STREAMS: usize = 200;
/// Time between two streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(6);
const HOST: &str = "desk.example";
const KEY: &str = "key-of-salon";
const HEARTBEAT: Duration = Duration::from_millis(1_200);

fn configuration() -> String {
    let route = |name: &str, prefix: &str, resumable: bool, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"streaming\",\"timeoutMs\":8000,\
             \"targetLatencyMs\":800,\"priority\":1,\"service\":\"pool\",\"maxAttempts\":{attempts},\"public\":false,\"sticky\":true,\
             \"resumable\":{resumable},\"gapAimMs\":600}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"pool\",\"healthPath\":\"/healthz\",\"maxConns\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacity\":640619,\"stride\":5}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"salon\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"prepaid\":100000000}}]}}",
        route("card", "/stream-card/", true, 2),
        route("toner", "/stream-toner/", false, 1)
    )
}

pub fn run(record: &str, has_trouble: bool) -> u8 {
    let record = Record::create(record);
    let folder = Folder::new("unframed");
    let store =
        Arc::new(Rows::start("127.0.0.1:0".parse().unwrap()).expect("the store cannot listen"));
    store.put("op", "", "config", configuration().as_bytes());
    let workers: Arc<Mutex<Vec<Worker>>> = Arc::default();
    for number in 0..WORKERS {
        let held = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address: SocketAddr = held.local_addr().unwrap();
        drop(held);
        workers
            .lock()
            .unwrap()
            .push(Worker::start(address, &format!("i-{number}a")));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let beats = {
        let (store, workers, is_over) = (store.clone(), workers.clone(), is_over.clone());
        thread::spawn(move || {
            for beat in 1.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                for (number, worker) in workers.lock().unwrap().iter().enumerate() {
                    worker.register(
                        &store,
                        "pool",
                        ["zone-a", "zone-b", "zone-c"][number % 3],
                        beat,
                    );
                }
                thread::sleep(HEARTBEAT);
            }
        })
    };
    let mut cut = Vec::new();
    let mut entries = Vec::new();
    for index in 0..ENTRIES {
        // The first worker is reached through a proxy by each instance.
        let address = workers.lock().unwrap()[0].address;
        let proxy = Proxy::start("127.0.0.1".parse().unwrap(), address);
        let reroutes = vec![(address, proxy.address)];
        cut.push(proxy);
        entries.push(Entry::new(&folder.0, index, store.content(), reroutes, ""));
    }
    for entry in &mut entries {
        entry.start();
    }
    let code = play(&record, has_trouble, &store, &workers, &entries, &cut);
    is_over.store(true, Ordering::SeqCst);
    drop(entries);
    let _ = beats.join();
    workers.lock().unwrap().clear();
    code
}

fn play(
    record: &Record,
    has_trouble: bool,
    store: &Arc<Rows>,
    workers: &Arc<Mutex<Vec<Worker>>>,
    entries: &[Entry],
    cut: &[Proxy],
) -> u8 {
    for entry in entries {
        if !entry.wait_ready() {
            record.line(&format!("{} did not become ready", entry.name));
            return 2;
        }
    }
    // Traffic begins some time after the machines.
    thread::sleep(Duration::from_secs(6));
    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.front).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            thread::sleep(STREAM_INTERVAL);
            let front = fronts[number % fronts.len()];
            thread::spawn(move || {
                // One in four may be resumed.
                let path = ["/stream-card/2f", "/stream-toner/2f"][usize::from(number % 4 > 0)];
                let id = format!("s-{number}");
                let request = Request::new(&format!("POST {path}"), HOST, &id, KEY, 8_000)
                    .with("X-Fescuewell-Model", "m")
                    .with("X-Fescuewell-Token-Counts", "1460,200")
                    .with("X-Fescuewell-Prompt-Prefix", &format!("{number:08x}:1460"))
                    .with_body(vec![b'x'; 6_000]);
                (id, send(front, &request, Duration::from_millis(8_500)))
            })
        })
        .collect();
    record.line(&format!("{STREAMS} streams sent"));
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        let is_freeze = std::env::var_os("FREEZE").is_some();
        if is_freeze {
            entries[0].signal("STOP");
            record.line(&format!("{} is frozen", entries[0].name));
        } else {
            cut.iter().for_each(|proxy| proxy.set(HOLD));
            record.line("worker i-0a is cut off from all instances");
        }
        thread::sleep(Duration::from_millis(300));
        let (address, old) = {
            let mut workers = workers.lock().unwrap();
            let mut lost = workers.remove(0);
            lost.kill();
            (lost.address, lost)
        };
        record.line(&format!(
            "worker {} is killed; it had run {:?}",
            old.id,
            old.ran.lock().unwrap()
        ));
        thread::sleep(Duration::from_millis(2_000));
        let next = Worker::start(address, "i-0b");
        next.register(store, "pool", "zone-a", 1);
        workers.lock().unwrap().push(next);
        record.line("the worker is started again at its address, as i-0b");
        thread::sleep(Duration::from_millis(1_200));
        if is_freeze {
            entries[0].signal("CONT");
            record.line(&format!("{} goes on", entries[0].name));
        } else {
            cut.iter().for_each(|proxy| proxy.set(PASS));
            record.line("the cut is healed");
        }
        thread::sleep(Duration::from_millis(600));
        // Three heartbeats after its last one.
        store.remove("servers", "", &old.id);
    }
    let mut broken = 0;
    let mut whole = 0;
    for client in clients {
        let (id, answer) = client.join().expect("a client failed");
        let Some(answer) = answer else {
            record.line(&format!("{id} no answer"));
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let events: Vec<u64> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
        let is_gapless = events
            .iter()
            .zip(1..)
            .all(|(event, number)| *event == number);
        let is_short = answer.status == 200 && answer.is_whole && events.len() as u64 != EVENTS;
        let is_broken = !is_gapless || is_short;
        broken += usize::from(is_broken);
        whole += usize::from(answer.status == 200 && answer.is_whole);
        record.line(&format!(
            "{id} status {} seal {} complete by its framing {} events {} of {EVENTS}{}",
            answer.status,
            answer.header("x-fescuewell-response-seal").unwrap_or("-"),
            answer.is_whole,
            events.len(),
            if is_broken { "  BROKEN" } else { "" }
        ));
    }
    record.line(&format!("{whole} complete, {broken} broken"));
    match (broken, whole) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    }
}
