//! All machines lose power after an account's total was raised, and the store comes back from a copy of some seconds ago.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fescuewell::standin::rows::Rows;
use fescuewell::standin::sample;
use fescuewell::standin::worker::{EVENTS, Worker};

use crate::client::{Request, send};
use crate::system::{Entry, Folder, Record};

const ENTRIES: u8 = 3;
const WORKERS: usize = 4;
/// The account's total before and after the operator raised it.
const FORMER: u64 = 100_000;
const RAISED: u64 = 300_000;
/// Prompt tokens of a request, and tokens of an event.
const PROMPT: u64 = 958;
const STRIDE: u64 = 7;
const OUTPUT: u64 = EVENTS * STRIDE;
const CLIENTS: usize = 6;
/// Requests a second of the account.
const RATE: f64 = 75.0;
/// The age of the copy when the machines lose power.
const COPY_AGE: Duration = Duration::from_millis(3_500);
/// `down_s` of the closing `power_off_all`.
const DOWN: Duration = Duration::from_millis(1_400);
/// From the start of the machines until the operator has written again what is missing.
const REWRITE: Duration = Duration::from_secs(5);
/// What the settings of the site have beside those of a small one; a later line replaces an earlier one.
const SITE: &str = "contracts=base,drain,config,cost,retry,recover,health,pool,engine,stream,tenants,places,platform\n\
                    bounds.stableWindowMs=4000\nbounds.drainMs=3000\nbounds.configMs=3000\nbounds.retrySlack=186\n\
                    bounds.recoveryS=15\nbounds.evacuationMs=5000\nbounds.coldOvershoot=1.5\nbounds.coldSlack=5\n";

/// What the clients have seen.
#[derive(Default)]
struct Seen {
    whole: AtomicU64,
    out_of_tokens: AtomicU64,
    other: Mutex<BTreeMap<u16, u64>>,
    numbers: AtomicU64,
    is_over: AtomicBool,
}

impl Seen {
    /// Tokens of the requests that were answered whole. Those that were cut off are not counted.
    fn consumed(&self) -> u64 {
        self.whole.load(Ordering::SeqCst) * (PROMPT + OUTPUT)
    }

    fn describe(&self) -> String {
        format!(
            "{} tokens consumed by {} whole answers, {} answers 402, other statuses {:?}",
            self.consumed(),
            self.whole.load(Ordering::SeqCst),
            self.out_of_tokens.load(Ordering::SeqCst),
            self.other.lock().unwrap()
        )
    }
}

pub fn run(record: &str, has_trouble: bool) -> u8 {
    let record = Arc::new(Record::create(record));
    let folder = Folder::new("restore");
    let store = Rows::start("127.0.0.1:0".parse().unwrap()).expect("the store cannot listen");
    let configure = |version, prepaid| {
        let configuration = sample::configuration(version, prepaid).to_string();
        store.put("op", "", "config", configuration.as_bytes());
    };
    configure(1, FORMER);
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|number| {
            let address = "127.0.0.1:0".parse().unwrap();
            Worker::start(address, &format!("i-{number}")).expect("no worker")
        })
        .collect();
    let register = || {
        for worker in &workers {
            let entry = sample::entry(worker.address(), "ready").to_string();
            store.put("servers", "", &worker.name(), entry.as_bytes());
        }
    };
    register();
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|index| Entry::new(&folder.0, index, store.content(), Vec::new(), SITE))
        .collect();
    for entry in &mut entries {
        entry.start();
    }
    if !entries.iter().all(Entry::wait_ready) {
        record.line("an instance did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(8));
    record.line(&format!(
        "{ENTRIES} instances are ready, the account has {FORMER} tokens"
    ));

    let copy = store.copy();
    record.line("copy of the store");
    let raised_after = Duration::from_millis(300);
    thread::sleep(raised_after);
    configure(2, RAISED);
    record.line(&format!("version 2 is acknowledged: {RAISED} tokens"));

    let seen = Arc::new(Seen::default());
    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.front).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, seen, fronts) = (record.clone(), seen.clone(), fronts.clone());
            thread::spawn(move || client(&record, &seen, &fronts, number))
        })
        .collect();
    thread::sleep(COPY_AGE - raised_after);
    record.line(&seen.describe());

    for entry in &mut entries {
        entry.kill();
        entry.set_later_start();
    }
    record.line("all machines lose power");
    if has_trouble {
        store.restore(&copy);
        record.line("the store is restored from the copy, 3.5 s old");
        register();
    }
    thread::sleep(DOWN);
    for entry in &mut entries {
        entry.start();
    }
    record.line("the machines are back");
    thread::sleep(REWRITE);
    if has_trouble {
        configure(2, RAISED);
        record.line("the operator has written version 2 again");
    }
    for _ in 0..3 {
        thread::sleep(Duration::from_secs(4));
        record.line(&seen.describe());
    }
    seen.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let ran: usize = workers.iter().map(|worker| worker.runs().len()).sum();
    record.line(&format!("{ran} requests ran at the workers"));
    record.line(&format!(
        "BUDGET: {} tokens of {RAISED} prepaid; {}",
        seen.consumed(),
        seen.describe()
    ));
    u8::from(seen.consumed() > RAISED)
}

/// A client that sends one request after the other; status 0 is no answer.
fn client(record: &Record, seen: &Seen, fronts: &[SocketAddr], number: usize) {
    while !seen.is_over.load(Ordering::SeqCst) {
        let count = seen.numbers.fetch_add(1, Ordering::SeqCst);
        let request = Request::new(
            "POST /stream-once/x",
            sample::HOST,
            &format!("r-{count}"),
            sample::KEY,
            3_000,
        )
        .with("X-Fescuewell-Model", "m")
        .with("X-Fescuewell-Token-Counts", &format!("{PROMPT},{OUTPUT}"));
        let front = fronts[(number + count as usize) % fronts.len()];
        let sent = Instant::now();
        let answer = send(front, &request, Duration::from_secs(4));
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        record.line(&format!("r-{count} at {front}: status {status}"));
        match answer {
            Some(answer) if answer.status == 200 && answer.is_whole => {
                seen.whole.fetch_add(1, Ordering::SeqCst);
            }
            Some(answer) if answer.status == 402 => {
                seen.out_of_tokens.fetch_add(1, Ordering::SeqCst);
            }
            _ => {
                *seen.other.lock().unwrap().entry(status).or_default() += 1;
            }
        }
        let interval = Duration::from_secs_f64(CLIENTS as f64 / RATE);
        thread::sleep(interval.saturating_sub(sent.elapsed()));
    }
}
