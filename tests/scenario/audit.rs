//! The audit at the end of a scenario: reads from the rows of the slots and budgets what was billed.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell::claims::arbiter::row::SlotRow;
use fescuewell::claims::arbiter::{Arbiter, Settings};
use fescuewell::claims::message::{Phase, Reply, Request, RequestState};
use fescuewell::core::id::{Digest, SlotKey};
use fescuewell::core::table::{Range, Row, Table, execute};
use fescuewell::core::time::Instant;
use fescuewell::core::tokens::Tokens;

/// Number of slots of the fleet.
const SLOTS: u16 = 64;

/// Reads the slots after all routers have exited, as a new holder does.
pub struct Audit<'a> {
    table: &'a dyn Table,
    arbiter: Arbiter,
    now: Instant,
}

impl<'a> Audit<'a> {
    /// Acquires every slot, whoever held it before.
    pub fn begin(table: &'a dyn Table) -> Self {
        let settings = Settings {
            slots: SLOTS,
            ..Settings::default()
        };
        let mut audit = Self {
            table,
            arbiter: Arbiter::new(settings, "audit.1", 1),
            now: Instant::from_millis(1),
        };
        let holders = audit.holders();
        audit
            .arbiter
            .set_lapsed(audit.now, holders.into_iter().collect());
        let all: Vec<SlotKey> = (0..SLOTS).map(SlotKey).collect();
        audit.arbiter.set_wanted(audit.now, &all);
        while audit.arbiter.slots().len() < usize::from(SLOTS) {
            audit.step();
        }
        audit
    }

    /// Returns the holders named in the rows of the slots.
    fn holders(&self) -> Vec<Arc<str>> {
        let mut holders = Vec::new();
        for row in self.scan("slot/") {
            let row: Option<SlotRow> = postcard::from_bytes(&row.value).ok();
            holders.extend(row.and_then(|row| row.holder));
        }
        holders
    }

    fn scan(&self, prefix: &str) -> Vec<Row> {
        self.table
            .scan(&Range::prefix(prefix))
            .expect("the table is up")
    }

    fn step(&mut self) {
        self.now = self.now + std::time::Duration::from_millis(200);
        if let Some(step) = self.arbiter.next_step(self.now) {
            let reply = execute(self.table, &step);
            self.arbiter.reply(self.now, reply);
        }
    }

    fn send_request(&mut self, slot: SlotKey, request: &Request) -> Reply {
        self.arbiter.request(self.now, 1, slot, request);
        loop {
            if let Some((_, reply)) = self.arbiter.take_replies().pop() {
                return reply;
            }
            self.step();
        }
    }

    /// Looks up the state of a request in its slot.
    pub fn lookup(&mut self, request: Digest) -> RequestState {
        let slot = fescuewell::claims::message::slot_of(request, SLOTS);
        match self.send_request(slot, &Request::Lookup { request }) {
            Reply::Known(known) => known,
            other => panic!("unexpected reply to a lookup: {other:?}"),
        }
    }

    /// Returns the tokens charged to each group: those spent by closed holders, from the row of the budget, plus those that
    /// the slots charged to holders with a remaining grant.
    pub fn charged(&mut self) -> BTreeMap<Arc<str>, Tokens> {
        let mut sums = BTreeMap::new();
        for row in self.scan("budget/") {
            let value: serde_json::Value =
                serde_json::from_slice(&row.value).expect("budget rows are JSON");
            let group: Arc<str> = row.key["budget/".len()..].into();
            let mut sum = Tokens(value["spent"].as_u64().unwrap_or_default());
            for (holder, _) in value["grants"].as_object().into_iter().flatten() {
                sum += self.charged_to(holder, &group);
            }
            sums.insert(group, sum);
        }
        sums
    }

    fn charged_to(&mut self, holder: &str, group: &str) -> Tokens {
        let mut sum = Tokens::ZERO;
        for slot in (0..SLOTS).map(SlotKey) {
            let close = Request::Close {
                holder: holder.into(),
                phase: Phase::Freeze,
            };
            let Reply::Closed { totals, .. } = self.send_request(slot, &close) else {
                panic!("the slot did not close");
            };
            let own = totals.into_iter().filter(|(name, _)| **name == *group);
            sum += own.map(|(_, charged)| charged).sum();
        }
        sum
    }
}
