//! Grants and journals in the store, and with them the sign that this instance lives.
//!
//! Two kinds of transactions: the *journal* of this instance with its member row, which nobody else writes, and
//! the *ledgers* of the client accounts, which all instances change on condition of their versions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::directory::Member;
use fescuewell_forward::purse::row::{Journal, Ledger};

use super::watch::ready_if_complete;
use super::{CALL, Control, PAUSE};
use crate::store::{Change, Error, Outcome, Place, Reading, Row};

/// Table of the accounts' ledgers.
const LEDGERS: &str = "ledger";
/// Table of the instances' journals.
const JOURNALS: &str = "journal";
/// Table of the instances' addresses.
const MEMBERS: &str = "member";
/// Part of the ledgers.
const MONEY: &str = "money";
/// Part of journals and members.
const FLEET: &str = "fleet";

/// Time between two journals in a small fleet. What a process may have spent is known to its successor as of the
/// last one.
const JOURNAL_EVERY: Duration = Duration::from_millis(500);
/// Time between two plans in a small fleet.
const PLAN_EVERY: Duration = Duration::from_millis(1_000);
/// Least time between two plans that waiting requests ask for.
const PLAN_PAUSE: Duration = Duration::from_millis(40);
/// Part of one part's transactions that all journals, and all plans, may take.
const PART_SHARE: f64 = 0.3;
/// Rows in one transaction: the store takes 100 entries, and each row is one condition and one write.
const ROWS: usize = 45;
/// Times between writes vary from this part,
const SPREAD_FROM: f64 = 0.9;
/// to this part of what they should be.
const SPREAD_TO: f64 = 1.1;
/// Tries to change ledgers that others change at the same time.
const TRIES: usize = 6;

struct Duty<'a> {
    control: &'a Control,
    journal_at: Instant,
    plan_at: Instant,
    planned_at: Instant,
}

/// Keeps grants, journal and membership in step with the store.
pub(super) async fn run(control: &Control) {
    adopt(control).await;
    ready_if_complete(control);
    let now = Instant::now();
    let mut duty = Duty {
        control,
        journal_at: now,
        plan_at: now,
        planned_at: now,
    };
    loop {
        duty.step().await;
    }
}

impl Duty<'_> {
    async fn step(&mut self) {
        let next = self.journal_at.min(self.plan_at);
        let wanted = tokio::time::timeout_at(next.into(), self.control.wants.recv_async()).await;
        if matches!(wanted, Ok(Ok(()))) {
            let earliest = self.planned_at + PLAN_PAUSE;
            tokio::time::sleep_until(earliest.into()).await;
            self.plan().await;
        }
        let now = Instant::now();
        if now >= self.journal_at {
            self.journal_at = now + self.every(JOURNAL_EVERY);
            journal(self.control).await;
        }
        if now >= self.plan_at {
            self.plan_at = now + self.every(PLAN_EVERY);
            members(self.control).await;
            self.plan().await;
        }
    }

    /// A larger fleet writes less often.
    fn every(&self, least: Duration) -> Duration {
        let gateway = &self.control.gateway;
        let instances = gateway.state().directory.count() as f64;
        let share = instances / (gateway.settings.part_writes * PART_SHARE);
        // Spread out, so that instances that started together do not write at the same moment for ever.
        let spread =
            SPREAD_FROM + (SPREAD_TO - SPREAD_FROM) * (gateway.draw() as f64 / u64::MAX as f64);
        least.max(Duration::from_secs_f64(share)).mul_f64(spread)
    }

    async fn plan(&mut self) {
        let names = self.control.gateway.state().purse.names();
        for names in names.chunks(ROWS) {
            plan(self.control, names).await;
        }
        self.planned_at = Instant::now();
        // A request that waits for the pace, not for the grant, is served by a newer journal.
        journal(self.control).await;
        self.control.gateway.tell_planned();
    }
}

fn place(table: &str, part: &str, key: &str) -> Place {
    Place {
        table: table.into(),
        part: part.into(),
        key: key.into(),
    }
}

fn own(control: &Control, table: &str) -> Place {
    place(table, FLEET, &control.gateway.settings.name)
}

/// Takes over what the former process of this instance may have spent. Until that has succeeded nothing may be
/// spent, so it is tried until it does.
async fn adopt(control: &Control) {
    while !try_adopt(control).await {
        tokio::time::sleep(PAUSE).await;
    }
}

async fn try_adopt(control: &Control) -> bool {
    let Ok(ledgers) = read(control, LEDGERS, MONEY).await else {
        return false;
    };
    let Ok(journals) = read(control, JOURNALS, FLEET).await else {
        return false;
    };
    let gateway = &control.gateway;
    let mine = journals
        .rows
        .iter()
        .find(|row| *row.place.key == *gateway.settings.name);
    let known = mine.and_then(|row| decode_journal(row));
    let version = mine.map_or(0, |row| row.version);
    let rows = ledgers.rows.iter();
    let rows: Vec<_> = rows
        .filter_map(|row| Some((row.place.key.clone(), row.version, decode_ledger(row)?)))
        .collect();
    let accounts = rows.len();
    let now_ms = gateway.now_ms();
    let store_ms = journals.now_ms;
    let journal = gateway
        .state()
        .purse
        .adopt(known.as_ref(), version, rows, store_ms, now_ms);
    let written = write_journal(control, &journal).await;
    if written {
        log_event!(
            Event::JournalAdopted,
            "incarnation={} accounts={accounts} journal_age_ms={}",
            journal.incarnation,
            known.map_or(0, |known| store_ms.saturating_sub(known.at_ms))
        );
    }
    written
}

async fn read(control: &Control, table: &str, part: &str) -> Result<Reading, Error> {
    let reading = control.store.read(table, part);
    let reading = control.call(table, CALL, reading).await?;
    let now_ms = control.gateway.now_ms();
    control.gateway.state().purse.clock(reading.now_ms, now_ms);
    Ok(reading)
}

fn decode_ledger(row: &Row) -> Option<Ledger> {
    let value = row.value.as_deref()?;
    let ledger = Ledger::decode(value);
    ledger
        .inspect_err(|error| unreadable(row, &error.to_string()))
        .ok()
}

fn decode_journal(row: &Row) -> Option<Journal> {
    let value = row.value.as_deref()?;
    let journal = Journal::decode(value);
    journal
        .inspect_err(|error| unreadable(row, &error.to_string()))
        .ok()
}

fn unreadable(row: &Row, reason: &str) {
    let reason = reason.replace(' ', "_");
    log_event!(
        Event::InternalFault,
        "part=store table={} key={} reason={reason}",
        row.place.table,
        row.place.key
    );
}

/// Writes the journal as it stands.
async fn journal(control: &Control) {
    let now_ms = control.gateway.now_ms();
    let journal = {
        let mut state = control.gateway.state();
        if !state.purse.is_adopted() {
            return;
        }
        state.purse.journal(now_ms)
    };
    write_journal(control, &journal).await;
}

async fn write_journal(control: &Control, journal: &Journal) -> bool {
    let gateway = &control.gateway;
    let version = gateway.state().purse.journal_version();
    let mut change = Change {
        expects: vec![(own(control, JOURNALS), version)],
        puts: vec![(own(control, JOURNALS), journal.encode())],
        removes: Vec::new(),
    };
    match gateway.is_leaving() {
        true => change.removes.push(own(control, MEMBERS)),
        false => change
            .puts
            .push((own(control, MEMBERS), member(control, journal))),
    }
    let commit = control.store.commit(&change);
    let outcome = control.call("journal_write", CALL, commit).await;
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    match outcome {
        Ok(Outcome::Done {
            version,
            now_ms: store_ms,
        }) => {
            state.purse.clock(store_ms, now_ms);
            state.purse.journal_written(journal, version);
            true
        }
        Ok(Outcome::Conflict(reading)) => {
            // An earlier write of this process took effect although its reply was lost.
            for row in &reading.rows {
                let Some(found) = decode_journal(row) else {
                    continue;
                };
                let was_adopted = state.purse.is_adopted();
                if !state.purse.journal_found(&found, row.version) && was_adopted {
                    log_event!(Event::JournalLost, "incarnation={}", found.incarnation);
                }
            }
            false
        }
        Err(_) => false,
    }
}

fn member(control: &Control, journal: &Journal) -> Vec<u8> {
    let settings = &control.gateway.settings;
    let member = Member {
        address: settings.front,
        zone: settings.zone.clone(),
        incarnation: journal.incarnation,
        at_ms: journal.at_ms,
    };
    // Only a type that cannot be written at all fails here.
    postcard::to_extend(&member, Vec::new()).unwrap_or_default()
}

/// Reads which instances live.
async fn members(control: &Control) {
    let Ok(reading) = read(control, MEMBERS, FLEET).await else {
        return;
    };
    let mut members: BTreeMap<Arc<str>, Member> = BTreeMap::new();
    for row in reading.rows {
        let Some(value) = &row.value else { continue };
        match postcard::from_bytes(value) {
            Ok(member) => {
                members.insert(row.place.key.clone(), member);
            }
            Err(error) => unreadable(&row, &error.to_string()),
        }
    }
    let mut state = control.gateway.state();
    let before: Vec<Arc<str>> = state
        .directory
        .live()
        .map(|(name, _)| name.clone())
        .collect();
    state.directory.replace(members, reading.now_ms);
    let after: Vec<Arc<str>> = state
        .directory
        .live()
        .map(|(name, _)| name.clone())
        .collect();
    drop(state);
    for name in after.iter().filter(|name| !before.contains(name)) {
        log_event!(Event::PeerJoined, "instance={name}");
    }
    for name in before.iter().filter(|name| !after.contains(name)) {
        log_event!(Event::PeerLost, "instance={name}");
    }
}

/// Brings the ledgers of some accounts to what the plan says, against others who do the same.
async fn plan(control: &Control, names: &[Arc<str>]) {
    for _ in 0..TRIES {
        let (change, planned) = draft(control, names);
        if change.puts.is_empty() {
            return;
        }
        let commit = control.store.commit(&change);
        let outcome = control.call("plan", CALL, commit).await;
        let now_ms = control.gateway.now_ms();
        let mut state = control.gateway.state();
        match outcome {
            Ok(Outcome::Done {
                version,
                now_ms: store_ms,
            }) => {
                state.purse.clock(store_ms, now_ms);
                for (name, ledger) in planned {
                    state.purse.learn(&name, version, ledger, store_ms);
                }
                return;
            }
            Ok(Outcome::Conflict(reading)) => {
                state.purse.clock(reading.now_ms, now_ms);
                for row in &reading.rows {
                    let Some(ledger) = decode_ledger(row) else {
                        continue;
                    };
                    let name = row.place.key.clone();
                    state
                        .purse
                        .learn(&name, row.version, ledger, reading.now_ms);
                }
            }
            Err(_) => return,
        }
    }
}

type Planned = Vec<(Arc<str>, Ledger)>;

fn draft(control: &Control, names: &[Arc<str>]) -> (Change, Planned) {
    let now_ms = control.gateway.now_ms();
    let mut state = control.gateway.state();
    let mut change = Change::default();
    let mut planned = Vec::new();
    for name in names {
        let Some((version, ledger)) = state.purse.plan(name, now_ms) else {
            continue;
        };
        let place = place(LEDGERS, MONEY, name);
        change.expects.push((place.clone(), version));
        change.puts.push((place, ledger.encode()));
        planned.push((name.clone(), ledger));
    }
    (change, planned)
}
