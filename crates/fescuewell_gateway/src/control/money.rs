//! Grants and journals in the store, and with them the sign that this instance lives.
//!
//! Two kinds of transactions: the *journal* of this instance with its member row, which nobody else writes, and
//! the *ledgers* of the client accounts, which all instances change on condition of their versions.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::directory::{Directory, Member};
use fescuewell_forward::purse::row::{Journal, Ledger};
use fescuewell_forward::purse::{Account, Purse};

use super::watch::ready_if_complete;
use super::{CALL, Control, PAUSE};
use crate::gateway::ARRIVALS_S;
use crate::settings::Settings;
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
/// Link for which a whole core of an instance has use, in Mbit/s: prompts are some 17 kB each.
const LINK_EACH_MBPS: f64 = 200.0;
/// Time between two journals while this instance holds no tokens.
const IDLE_JOURNAL: Duration = Duration::from_secs(4);
/// Signs that a member may miss before it counts as absent.
const LAPSE_SIGNS: u32 = 4;
/// Time between two plans in a small fleet.
const PLAN_EVERY: Duration = Duration::from_millis(1_000);
/// Least time between two plans that waiting requests ask for.
const PLAN_PAUSE: Duration = Duration::from_millis(40);
/// Least time between two journals that waiting requests ask for.
const JOURNAL_PAUSE: Duration = Duration::from_millis(15);
/// Pauses whose demand a journal lets through at once.
const BURST_PAUSES: u32 = 2;
/// Part of the store's writing calls that such journals may take in the whole fleet.
const WRITE_SHARE: f64 = 0.4;
/// Part of one part's transactions that all journals, and all plans, may take.
const PART_SHARE: f64 = 0.3;
/// Rows in one transaction: one that is in conflict holds up the others, and each costs a call.
const ROWS: usize = 10;
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
    journaled_at: Instant,
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
        journaled_at: now,
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
            self.serve_waiting().await;
        }
        let now = Instant::now();
        if now >= self.plan_at {
            self.plan_at = now + self.every(PLAN_EVERY);
            sign(self.control).await;
            members(self.control).await;
            ledgers(self.control).await;
            self.plan().await;
            let lapse = self.every(PLAN_EVERY) * LAPSE_SIGNS;
            let lapse_ms = lapse.as_millis() as u64;
            self.control.gateway.state().directory.set_lapse(lapse_ms);
        }
        if now >= self.journal_at {
            self.journal().await;
        }
    }

    /// Makes room for requests that wait: a plan where the grant is too small, else a journal, which moves the
    /// pace up to what they want.
    async fn serve_waiting(&mut self) {
        let gateway = &self.control.gateway;
        let needs_plan = gateway.state().purse.needs_plan();
        if needs_plan || gateway.is_leaving() {
            tokio::time::sleep_until((self.planned_at + PLAN_PAUSE).into()).await;
            self.plan().await;
        } else {
            let pause = self.journal_pause();
            tokio::time::sleep_until((self.journaled_at + pause).into()).await;
        }
        self.journal().await;
        self.control.gateway.tell_planned();
    }

    fn journal_pause(&self) -> Duration {
        let gateway = &self.control.gateway;
        let instances = gateway.state().directory.count() as f64;
        let share = instances / (gateway.settings.writes * WRITE_SHARE);
        JOURNAL_PAUSE.max(Duration::from_secs_f64(share))
    }

    async fn journal(&mut self) {
        let idle = self.control.gateway.state().purse.is_idle();
        let every = if idle { IDLE_JOURNAL } else { JOURNAL_EVERY };
        self.journal_at = Instant::now() + self.every(every);
        let burst = self.journal_pause() * BURST_PAUSES;
        let burst_ms = burst.as_millis() as u64;
        self.control.gateway.state().purse.set_burst(burst_ms);
        journal(self.control).await;
        self.journaled_at = Instant::now();
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
        plan(self.control, &names).await;
        self.planned_at = Instant::now();
    }
}

fn place(table: &str, part: &str, key: &str) -> Place {
    Place {
        table: table.into(),
        part: part.into(),
        key: key.into(),
    }
}

/// Journals stand each in a part of its own, since nobody else reads or writes them.
fn own_journal(control: &Control) -> Place {
    let name = &control.gateway.settings.name;
    place(JOURNALS, name, name)
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
    let gateway = &control.gateway;
    let asked_ms = gateway.now_ms();
    let Ok(journals) = read(control, JOURNALS, &gateway.settings.name).await else {
        return false;
    };
    // The own clock began when this process started, and the former one had ended by then. Counting back from
    // the question to that moment keeps the time that the store could not be reached out of the charge.
    let ended_ms = journals.now_ms.saturating_sub(asked_ms);
    let mine = journals
        .rows
        .iter()
        .find(|row| *row.place.key == *gateway.settings.name);
    let known = mine.and_then(decode_journal);
    let version = mine.map_or(0, |row| row.version);
    let rows = ledgers.rows.iter();
    let rows: Vec<_> = rows
        .filter_map(|row| Some((row.place.key.clone(), row.version, decode_ledger(row)?)))
        .collect();
    let accounts = rows.len();
    let now_ms = gateway.now_ms();
    let journal = gateway
        .state()
        .purse
        .adopt(known.as_ref(), version, rows, ended_ms, now_ms);
    let written = write_journal(control, &journal).await;
    if written {
        inherited(control, known.as_ref(), &journal);
        log_event!(
            Event::JournalAdopted,
            "incarnation={} accounts={accounts} journal_age_ms={}",
            journal.incarnation,
            known.map_or(0, |known| ended_ms.saturating_sub(known.at_ms))
        );
    }
    written
}

/// Logs what is charged for the former process, account by account.
fn inherited(control: &Control, known: Option<&Journal>, journal: &Journal) {
    let state = control.gateway.state();
    for entry in &journal.entries {
        let Some(before) = known.and_then(|known| known.entry(&entry.account)) else {
            continue;
        };
        let granted = state.purse.view(&entry.account).map_or(0, Account::granted);
        log_event!(
            Event::AllowanceReclaimed,
            "account={} recorded={} charged={} granted={granted}",
            entry.account,
            before.consumed,
            entry.consumed
        );
    }
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
    let change = Change {
        expects: vec![(own_journal(control), version)],
        puts: vec![(own_journal(control), journal.encode())],
        removes: Vec::new(),
    };
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
            state.purse.is_adopted()
        }
        Err(Error::NotDone { .. }) => {
            state.purse.journal_dropped();
            false
        }
        Err(_) => {
            state.purse.journal_unknown();
            false
        }
    }
}

/// Writes the sign that this instance lives, or takes it away when it leaves.
async fn sign(control: &Control) {
    let gateway = &control.gateway;
    let settings = &gateway.settings;
    let place = place(MEMBERS, FLEET, &settings.name);
    let mut change = Change::default();
    if gateway.is_leaving() {
        change.removes.push(place);
    } else {
        let now_ms = gateway.now_ms();
        let mut state = gateway.state();
        let member = Member {
            address: settings.front,
            peer: settings.peer,
            zone: settings.zone.clone(),
            weight: weight(settings),
            requests: state.arrivals.sum(now_ms) as u32 / ARRIVALS_S,
            usage: state.purse.usage(now_ms),
            at_ms: state.purse.store_time(now_ms),
        };
        drop(state);
        // Only a type that cannot be written at all fails here.
        let value = postcard::to_extend(&member, Vec::new()).unwrap_or_default();
        change.puts.push((place, value));
    }
    let commit = control.store.commit(&change);
    // A sign that is lost is followed by the next one; `call` has noted the failure.
    let _ = control.call("sign", CALL, commit).await;
}

/// How much traffic the instance can carry, in thousandths of a core: no more than its link has room for.
fn weight(settings: &Settings) -> u32 {
    let by_link = settings.link_mbps / LINK_EACH_MBPS;
    (settings.cores.min(by_link) * 1_000.0) as u32
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
    let named_before = names(&state.directory);
    state.directory.replace(members, reading.now_ms);
    let after: Vec<Arc<str>> = state
        .directory
        .live()
        .map(|(name, _)| name.clone())
        .collect();
    let said = state.directory.live();
    let said: Vec<_> = said
        .map(|(name, member)| (name.clone(), member.usage.clone()))
        .collect();
    let named: Vec<Arc<str>> = names(&state.directory);
    state.purse.set_peers(&said, &named);
    drop(state);
    if named != named_before {
        log_event!(Event::InstancesNamed, "named={}", named.join(","));
    }
    for name in after.iter().filter(|name| !before.contains(name)) {
        log_event!(Event::PeerJoined, "instance={name}");
    }
    for name in before.iter().filter(|name| !after.contains(name)) {
        log_event!(Event::PeerLost, "instance={name}");
    }
}

fn names(directory: &Directory) -> Vec<Arc<str>> {
    let named = directory.named();
    named.iter().map(|(name, _)| (*name).clone()).collect()
}

/// Reads the accounts' rows.
async fn ledgers(control: &Control) {
    let Ok(reading) = read(control, LEDGERS, MONEY).await else {
        return;
    };
    let mut state = control.gateway.state();
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

/// Brings the ledgers of the accounts to what the plan says, against others who do the same.
async fn plan(control: &Control, names: &[Arc<str>]) {
    for _ in 0..TRIES {
        let drafts = draft(control, names);
        if drafts.is_empty() {
            return;
        }
        let mut is_conflict = false;
        for drafts in drafts.chunks(ROWS) {
            match write_ledgers(control, drafts).await {
                Some(true) => {}
                Some(false) => is_conflict = true,
                None => return,
            }
        }
        if !is_conflict {
            return;
        }
    }
}

/// A row that is to replace an account's ledger of this version.
struct Draft {
    account: Arc<str>,
    version: u64,
    ledger: Ledger,
}

fn draft(control: &Control, names: &[Arc<str>]) -> Vec<Draft> {
    let now_ms = control.gateway.now_ms();
    let mut state = control.gateway.state();
    let mut drafts = Vec::new();
    for account in names {
        let Some((version, ledger)) = state.purse.plan(account, now_ms) else {
            continue;
        };
        let account = account.clone();
        drafts.push(Draft {
            account,
            version,
            ledger,
        });
    }
    drafts
}

/// Writes some ledgers in one transaction: whether it took effect, or nothing when that is not known.
async fn write_ledgers(control: &Control, drafts: &[Draft]) -> Option<bool> {
    let mut change = Change::default();
    for draft in drafts {
        let place = place(LEDGERS, MONEY, &draft.account);
        change.expects.push((place.clone(), draft.version));
        change.puts.push((place, draft.ledger.encode()));
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
            for draft in drafts {
                tell(&state.purse, &draft.account, &draft.ledger);
                let ledger = draft.ledger.clone();
                state.purse.learn(&draft.account, version, ledger, store_ms);
            }
            Some(true)
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
            Some(false)
        }
        Err(_) => None,
    }
}

/// Logs how the own grant of an account changes.
fn tell(purse: &Purse, name: &str, ledger: &Ledger) {
    let Some(account) = purse.view(name) else {
        return;
    };
    let before = account.granted();
    let granted = ledger.granted(purse.holder());
    let event = match granted.cmp(&before) {
        Ordering::Greater => Event::AllowanceDrawn,
        Ordering::Less => Event::AllowanceReturned,
        Ordering::Equal => return,
    };
    log_event!(
        event,
        "account={name} before={before} granted={granted} consumed={} prepaid={} all_granted={}",
        account.consumed(),
        account.prepaid().unwrap_or_default(),
        ledger.total()
    );
}
