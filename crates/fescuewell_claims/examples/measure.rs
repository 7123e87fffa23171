//! Measures an arbiter and a client: commits and latency by request rate, memory and time per
//! request.
//!
//! Run with `cargo run --release -p fescuewell_claims --example measure`. Rates and latencies use a
//! simulated clock and a table that takes 5 ms; times per request are real processor time.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_claims::arbiter::{Arbiter, Settings};
use fescuewell_claims::client::{self, ClaimRequest, Client, Cost};
use fescuewell_claims::message::{Assignment, Bill, Claim, Owner, Reply, Request};
use fescuewell_claims::{message, stream};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Outcome, Row, Step, Write};

const SLOTS: u16 = 64;
const TABLE_DELAY: Duration = Duration::from_millis(5);
const SECONDS: u64 = 20;

/// A table that accepts every write; only one arbiter uses it.
#[derive(Default)]
struct Table {
    rows: BTreeMap<Arc<str>, Row>,
    revision: u64,
    commits: u64,
    writes: u64,
    bytes: u64,
    largest: u64,
}

impl Table {
    fn carry_out(&mut self, step: &Step) -> table::Reply {
        let Step::Commit(transaction) = step else {
            return table::Reply::Rows(self.read(step));
        };
        self.revision += 1;
        self.commits += 1;
        let mut bytes = 0;
        for write in &transaction.writes {
            self.writes += 1;
            match write {
                Write::Put { key, value } => {
                    bytes += (key.len() + value.len()) as u64;
                    let row = Row {
                        key: key.clone(),
                        value: value.clone(),
                        revision: self.revision,
                    };
                    self.rows.insert(key.clone(), row);
                }
                Write::Delete { key } => {
                    self.rows.remove(key);
                }
            }
        }
        self.bytes += bytes;
        self.largest = self.largest.max(bytes);
        let revision = self.revision;
        table::Reply::Outcome(Outcome::Committed { revision })
    }

    fn read(&self, step: &Step) -> Vec<Row> {
        let Step::Scan(range) = step else {
            return Vec::new();
        };
        let is_wanted = |row: &&Row| {
            let is_after = range.after.as_ref().is_none_or(|after| row.key > *after);
            is_after && row.key.starts_with(&*range.prefix)
        };
        let limit = if range.limit == 0 {
            u32::MAX
        } else {
            range.limit
        };
        let rows = self.rows.values().filter(is_wanted);
        rows.take(limit as usize).cloned().collect()
    }
}

fn holder(index: u64) -> Arc<str> {
    format!("entry-{}.18c5a2f3b7", index % 9).into()
}

fn key(index: u64) -> Digest {
    RequestKey::new("clinic", format!("job-{index}")).digest()
}

fn claim(index: u64, repeatable: bool) -> Claim {
    Claim {
        request: key(index),
        fingerprint: Digest(u128::from(index) + 1),
        group: format!("group-{}", index % 10).into(),
        owner: Owner {
            holder: holder(index),
            attempt: index as u32 + 1,
        },
        hold: Tokens(500),
        repeatable,
        lost: None,
        oldest: 1,
    }
}

fn assign(claim: &Claim) -> Request {
    Request::Assign {
        request: claim.request,
        owner: claim.owner.clone(),
        assignment: Assignment {
            server: "engine-3".into(),
            stream: stream::id(&claim.owner, claim.request),
        },
    }
}

fn bill(claim: &Claim) -> Request {
    Request::Bill(Bill {
        request: claim.request,
        fingerprint: claim.fingerprint,
        group: claim.group.clone(),
        owner: claim.owner.clone(),
        hold: claim.hold,
        cost: Tokens(407),
        complete: true,
        repeatable: claim.repeatable,
        response: None,
        oldest: 1,
    })
}

fn arbiter(settings: Settings, table: &mut Table, now: &mut Instant) -> Arbiter {
    let mut arbiter = Arbiter::new(settings, "entry-1.18c5a2f3b7", 7);
    let slots: Vec<SlotKey> = (0..SLOTS).map(SlotKey).collect();
    arbiter.set_wanted(*now, &slots);
    while arbiter.slots().len() < slots.len() {
        *now = *now + Duration::from_millis(1);
        if let Some(step) = arbiter.next_step(*now) {
            let reply = table.carry_out(&step);
            arbiter.reply(*now, reply);
        }
    }
    arbiter
}

/// Measures one request rate. Each request has a claim, an assignment and a bill; one in ten is not
/// repeatable.
fn measure_rate(rate: u64, commit_interval: Duration) {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let settings = Settings {
        commit_interval,
        entry_limit: 10_000_000,
        ..Settings::default()
    };
    let mut arbiter = arbiter(settings, &mut table, &mut now);
    (table.commits, table.writes, table.bytes) = (0, 0, 0);
    let start = now;
    let mut requested_at: HashMap<u64, Instant> = HashMap::new();
    let mut waits = Vec::new();
    let mut outstanding: Option<(Instant, Step)> = None;
    let mut sent = 0;
    let mut busy = Duration::ZERO;
    while now.since(start) < Duration::from_secs(SECONDS) {
        now = now + Duration::from_millis(1);
        let due = now.since(start).as_millis() as u64 * rate / 1_000;
        let mut requests = Vec::new();
        while sent < due {
            let claim = claim(sent, sent % 10 != 0);
            requests.push((message::slot_of(claim.request, SLOTS), claim));
            sent += 1;
        }
        let began = std::time::Instant::now();
        for (slot, claim) in requests {
            let ticket = claim.owner.attempt.into();
            let (assign, bill) = (assign(&claim), bill(&claim));
            if !claim.repeatable {
                requested_at.insert(ticket, now);
            }
            arbiter.request(now, ticket, slot, &Request::Claim(claim));
            arbiter.request(now, 0, slot, &assign);
            arbiter.request(now, 0, slot, &bill);
        }
        if let Some((at, step)) = &outstanding
            && *at <= now
        {
            let reply = table.carry_out(step);
            arbiter.reply(now, reply);
            outstanding = None;
        }
        if outstanding.is_none() {
            let step = arbiter.next_step(now);
            outstanding = step.map(|step| (now + TABLE_DELAY, step));
        }
        for (ticket, reply) in arbiter.take_replies() {
            if let (Some(since), Reply::Granted { durable: true, .. }) =
                (requested_at.remove(&ticket), &reply)
            {
                waits.push(now.since(since));
            }
        }
        arbiter.take_notes();
        busy += began.elapsed();
    }
    waits.sort_unstable();
    let at = |share: f64| waits[((waits.len() - 1) as f64 * share) as usize].as_millis();
    println!(
        "{rate:>6}/s, interval {:>3} ms: {:>5.1} commits/s {:>6.1} row writes/s {:>7.1} KB/s, largest {:>4} KB, \
         durable claim {:>3} ms median {:>3} ms 99th, {:>5.2} us of processor a request",
        commit_interval.as_millis(),
        table.commits as f64 / SECONDS as f64,
        table.writes as f64 / SECONDS as f64,
        table.bytes as f64 / SECONDS as f64 / 1e3,
        table.largest / 1_000,
        at(0.5),
        at(0.99),
        busy.as_secs_f64() * 1e6 / sent as f64,
    );
}

/// Resident memory in bytes, as reported by the operating system.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

fn measure_memory(count: u64) {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let settings = Settings {
        entry_limit: 10_000_000,
        checkpoint_every: u64::MAX,
        ..Settings::default()
    };
    let mut arbiter = arbiter(settings, &mut table, &mut now);
    let before = resident();
    let mut times = [Duration::ZERO; 2];
    for index in 0..count {
        let claim = claim(index, true);
        let slot = message::slot_of(claim.request, SLOTS);
        let bill = bill(&claim);
        let claim = Request::Claim(claim);
        for (request, time) in [claim, bill].iter().zip(&mut times) {
            let began = std::time::Instant::now();
            arbiter.request(now, index, slot, request);
            *time += began.elapsed();
        }
        if index % 512 != 0 {
            continue;
        }
        now = now + Duration::from_millis(100);
        while let Some(step) = arbiter.next_step(now) {
            let reply = table.carry_out(&step);
            arbiter.reply(now, reply);
            table.rows.retain(|key, _| key.starts_with("slot/"));
        }
        arbiter.take_replies();
        arbiter.take_notes();
    }
    println!(
        "{count:>8} requests kept: {:>4} bytes each, {:>4} ns a claim, {:>4} ns a bill",
        (resident() - before) / count,
        times[0].as_nanos() as u64 / count,
        times[1].as_nanos() as u64 / count,
    );
    std::hint::black_box(arbiter.entries());
}

/// Measures the takeover of one slot that knows `count` requests.
fn measure_takeover(count: u64) {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let settings = Settings {
        entry_limit: 10_000_000,
        pending_limit: 10_000_000,
        checkpoint_every: 8,
        ..Settings::default()
    };
    let mut first = arbiter(settings.clone(), &mut table, &mut now);
    for index in 0..count {
        let claim = claim(index, true);
        let bill = bill(&claim);
        first.request(now, 0, SlotKey(0), &Request::Claim(claim));
        first.request(now, 0, SlotKey(0), &bill);
    }
    let began = std::time::Instant::now();
    let mut longest = Duration::ZERO;
    for index in 0..4_000 {
        now = now + Duration::from_millis(50);
        let claim = claim(count + index, true);
        first.request(now, 0, SlotKey(0), &Request::Claim(claim));
        let step_began = std::time::Instant::now();
        let step = first.next_step(now);
        longest = longest.max(step_began.elapsed());
        if let Some(step) = step {
            let reply = table.carry_out(&step);
            first.reply(now, reply);
        }
    }
    let written = began.elapsed();
    let mut second = Arbiter::new(settings, "entry-2.18c5a2f3b8", 7);
    second.set_wanted(now, &[SlotKey(0)]);
    let lapsed = [Arc::from("entry-1.18c5a2f3b7")];
    second.set_lapsed(now, lapsed.into_iter().collect());
    let began = std::time::Instant::now();
    let mut steps = 0;
    while !second.holds(SlotKey(0)) {
        now = now + Duration::from_millis(1);
        let Some(step) = second.next_step(now) else {
            continue;
        };
        steps += 1;
        let reply = table.carry_out(&step);
        second.reply(now, reply);
    }
    let size = |prefix: &str| -> usize {
        let rows = table
            .rows
            .values()
            .filter(|row| row.key.starts_with(prefix));
        rows.map(|row| row.value.len()).sum::<usize>() / 1_000
    };
    println!(
        "{count:>8} requests in one slot: checkpoint {} KB, log {} KB, read and replayed in {} ms and {steps} table \
         steps; longest step while writing {} ms of {} ms",
        size("slotbase/"),
        size("slotlog/"),
        began.elapsed().as_millis(),
        longest.as_millis(),
        written.as_millis(),
    );
}

fn measure_client(count: u64) {
    let now = Instant::from_millis(0);
    let mut client = Client::new(client::Settings::default(), "entry-1.18c5a2f3b7", 7);
    let before = resident();
    let began = std::time::Instant::now();
    for index in 0..count {
        let call = ClaimRequest {
            request: key(index),
            fingerprint: Digest(1),
            group: "group-1".into(),
            hold: Tokens(500),
            repeatable: true,
            lost: None,
        };
        let cost = Cost {
            tokens: Tokens(407),
            complete: true,
            response: None,
        };
        client.bill(now, index, &call, index as u32 + 1, cost);
    }
    println!(
        "{count:>8} bills waiting at a router: {:>4} bytes each, {:>4} ns each",
        (resident() - before) / count,
        began.elapsed().as_nanos() as u64 / count,
    );
    std::hint::black_box(client.unfinished());
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    // Memory is measured in a separate process, since memory freed by an earlier part would be
    // reused and not show up as growth.
    match (arguments.next().as_deref(), arguments.next()) {
        (Some("memory"), Some(count)) => measure_memory(count.parse().expect("an integer")),
        (Some("takeover"), Some(count)) => measure_takeover(count.parse().expect("an integer")),
        (Some("courier"), Some(count)) => measure_client(count.parse().expect("an integer")),
        _ => {
            for rate in [50, 500, 5_000, 27_000] {
                for interval in [20, 50, 250] {
                    measure_rate(rate, Duration::from_millis(interval));
                }
            }
        }
    }
}
