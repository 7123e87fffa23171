//! The axes of request identity: kept requests, and the fleet's requests a second at 64 slots.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_claims::arbiter::{Arbiter, Settings};
use fescuewell_claims::message::{self, Assignment, Bill, Claim, Owner, Request};
use fescuewell_claims::stream;
use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Step, Write};
use fescuewell_platform::memory::Table;

use super::meter::Filler;
use super::series::Series;
use super::{Kept, Options, meter, sizes, wanted};

const SLOTS: u16 = 64;
/// Ten minutes of requests in one of 64 slots.
const KEPT_WANTED: f64 = 27_000.0 / 64.0 * 600.0;
const TURN: Duration = Duration::from_millis(5);
const RUN: Duration = Duration::from_secs(20);
/// One request in so many may not be repeated.
const SINGLE: u64 = 10;
const MAX_ENTRIES: usize = 10_000_000;

/// Holds all slots over a table whose log rows are dropped, as after a checkpoint.
struct Holder {
    arbiter: Arbiter,
    table: Table,
    now: Instant,
    rows: u64,
    bytes: u64,
    processor: Duration,
    log: Vec<Arc<str>>,
}

impl Holder {
    fn new(settings: Settings, seed: u64) -> Self {
        let mut holder = Self {
            arbiter: Arbiter::new(settings, "entry-1.18c5a2f3b7", seed),
            table: Table::default(),
            now: Instant::from_millis(1_000),
            rows: 0,
            bytes: 0,
            processor: Duration::ZERO,
            log: Vec::new(),
        };
        let slots: Vec<SlotKey> = (0..SLOTS).map(SlotKey).collect();
        holder.arbiter.set_wanted(holder.now, &slots);
        while holder.arbiter.slots().len() < slots.len() {
            holder.turn();
        }
        holder
    }

    fn turn(&mut self) {
        self.now = self.now + TURN;
        let Self {
            arbiter,
            now,
            processor,
            ..
        } = self;
        let Some(step) = meter::timed(processor, || arbiter.next_step(*now)) else {
            return;
        };
        self.count(&step);
        let reply = table::execute(&self.table, &step);
        let Self {
            arbiter,
            now,
            processor,
            ..
        } = self;
        meter::timed(processor, || {
            arbiter.reply(*now, reply);
            arbiter.take_replies();
            arbiter.take_notes();
        });
    }

    fn count(&mut self, step: &Step) {
        let Step::Commit(transaction) = step else {
            return;
        };
        self.rows += transaction.writes.len() as u64;
        for write in &transaction.writes {
            if let Write::Put { key, value } = write {
                self.bytes += (key.len() + value.len()) as u64;
                if key.starts_with("slotlog/") {
                    self.log.push(key.clone());
                }
            }
        }
    }

    /// A claim, its assignment and its bill.
    fn request(&mut self, index: u64, single: bool) {
        let claim = claim(index, !single);
        let slot = message::slot_of(claim.request, SLOTS);
        let bill = bill(&claim);
        let assign = Request::Assign {
            request: claim.request,
            owner: claim.owner.clone(),
            assignment: Assignment {
                server: "server-3".into(),
                stream: stream::id(&claim.owner, claim.request),
            },
        };
        let Self {
            arbiter,
            now,
            processor,
            ..
        } = self;
        meter::timed(processor, || {
            arbiter.request(*now, index, slot, &Request::Claim(claim));
            arbiter.request(*now, index, slot, &assign);
            arbiter.request(*now, index, slot, &bill);
        });
    }

    /// Removes the log that was written, uncounted, so that the table's memory does not count as the holder's.
    fn forget_log(&mut self) {
        use fescuewell_core::table::{Table as _, Transaction};
        let keys = std::mem::take(&mut self.log);
        let deletes = keys
            .into_iter()
            .fold(Transaction::default(), Transaction::with_delete);
        let done = self.table.commit(&deletes);
        debug_assert!(
            done.is_ok(),
            "a table in memory without faults takes all writes"
        );
    }
}

fn claim(index: u64, repeatable: bool) -> Claim {
    Claim {
        request: RequestKey::new("clinic", format!("job-{index}")).digest(),
        fingerprint: Digest(u128::from(index) + 1),
        group: format!("group-{}", index % 100).into(),
        owner: Owner {
            holder: format!("entry-{}.18c5a2f3b7", index % 9).into(),
            attempt: index as u32 + 1,
        },
        hold: Tokens(500),
        repeatable,
        lost: None,
        oldest: 1,
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

/// What a holder keeps of finished requests, and what commits cost as the rate rises.
pub fn kept(options: &Options, kept: &mut Kept) -> Vec<Series> {
    let mut all = vec![kept_memory(options, kept)];
    all.extend(commits(options));
    all
}

fn kept_memory(options: &Options, kept: &mut Kept) -> Series {
    let mut memory = Series::new("kept requests", "a slot holder: memory", "MB", KEPT_WANTED);
    for count in sizes(options, [50_000, 100_000, 200_000, 400_000]) {
        let settings = Settings {
            entry_limit: MAX_ENTRIES,
            checkpoint_every: u64::MAX,
            ..Settings::default()
        };
        let mut holder = Holder::new(settings, options.seed);
        let filler = Filler::new();
        let before = meter::resident();
        for index in 0..count as u64 {
            holder.request(index, false);
            if index % 512 == 0 {
                holder.now = holder.now + Duration::from_millis(100);
                while !holder.arbiter.is_idle() && holder.arbiter.pending() > 0 {
                    holder.turn();
                }
                holder.forget_log();
            }
        }
        memory.add(count as f64, meter::grown(before) / 1e6);
        kept.keep((holder, filler));
    }
    memory
}

/// Commits at the rate of the fleet; one request in ten may not be repeated.
fn commits(options: &Options) -> Vec<Series> {
    let axis = "the fleet's requests a second";
    let series = |quantity, unit| Series::new(axis, quantity, unit, wanted::FLEET_RATE);
    let mut rows = series("64 slots on one instance, 50 ms: row writes", "1/s");
    let mut wide = series("64 slots on one instance, 500 ms: row writes", "1/s");
    let mut bytes = series("64 slots, 50 ms: bytes of rows written", "kB/s");
    let mut processor = series("64 slots, 50 ms: processor of the holders", "% of a core");
    for rate in sizes(options, [1_000, 3_000, 9_000, 27_000]) {
        let size = rate as f64;
        let seconds = RUN.as_secs_f64();
        let holder = commit_at(options, rate, Duration::from_millis(50));
        rows.add(size, holder.rows as f64 / seconds);
        bytes.add(size, holder.bytes as f64 / seconds / 1e3);
        processor.add(size, holder.processor.as_secs_f64() / seconds * 100.0);
        drop(holder);
        let holder = commit_at(options, rate, Duration::from_millis(500));
        wide.add(size, holder.rows as f64 / seconds);
    }
    vec![rows, wide, bytes, processor]
}

fn commit_at(options: &Options, rate: usize, interval: Duration) -> Holder {
    let settings = Settings {
        commit_interval: interval,
        entry_limit: MAX_ENTRIES,
        pending_limit: MAX_ENTRIES,
        ..Settings::default()
    };
    let mut holder = Holder::new(settings, options.seed);
    (holder.rows, holder.bytes, holder.processor) = (0, 0, Duration::ZERO);
    let start = holder.now;
    let mut sent = 0;
    while holder.now.since(start) < RUN {
        let due = holder.now.since(start).as_secs_f64() * rate as f64;
        while (sent as f64) < due {
            sent += 1;
            holder.request(sent, sent % SINGLE == 0);
        }
        holder.turn();
    }
    holder
}
