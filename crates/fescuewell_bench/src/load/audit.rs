//! What was billed, read from the slots' and budgets' own rows once no router runs any more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_budget::row;
use fescuewell_claims::arbiter::{Arbiter, Settings};
use fescuewell_claims::message::{Phase, Reply, Request, RequestState, slot_of};
use fescuewell_core::id::{RequestKey, SlotKey};
use fescuewell_core::table::{Range, Table, execute};
use fescuewell_core::time::Instant;
use fescuewell_core::tokens::Tokens;

use super::Error;
use super::drive::{Outcome, Record};

/// Slots of a fleet.
pub const SLOTS: u16 = 64;
/// Steps after which the audit gives up.
const MOST_STEPS: usize = 100_000;
/// Virtual time of a step.
const STEP: Duration = Duration::from_millis(200);

/// What the table says of the run.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Audit {
    /// Tokens charged to each group, summed over slots and routers. A slot charges each request once.
    pub charged: BTreeMap<String, Tokens>,
    /// Spent tokens of each group by its budget row.
    pub spent: BTreeMap<String, Tokens>,
    /// Grants still in the budget rows.
    pub grants_left: u64,
    /// Whole answers that the slots know as ended.
    pub billed: u64,
    /// Whole answers that they do not know as ended.
    pub unbilled: u64,
}

struct Reader<'a> {
    table: &'a dyn Table,
    arbiter: Arbiter,
    now: Instant,
}

/// Takes over every slot, as a successor would, and asks for bills and totals.
///
/// # Errors
///
/// When a row cannot be read, or the slots give no answer.
pub fn read(table: &dyn Table, holders: &[String], records: &[Record]) -> Result<Audit, Error> {
    let mut audit = Audit::default();
    let rows = table.scan(&Range::prefix(row::PREFIX));
    for row in rows.map_err(|error| Error::new("audit", error))? {
        let budget = row::Budget::parse(&row.value).map_err(|error| Error::new("audit", error))?;
        let group = row.key.strip_prefix(row::PREFIX).unwrap_or(&row.key);
        audit.spent.insert(group.into(), budget.spent);
        audit.grants_left += budget.grants.len() as u64;
    }
    let holders: Vec<Arc<str>> = holders
        .iter()
        .map(|holder| holder.as_str().into())
        .collect();
    let mut reader = Reader::begin(table, &holders)?;
    for record in records {
        if record.is_repeat || !matches!(record.outcome, Outcome::Whole { .. }) {
            continue;
        }
        if reader.is_done(record)? {
            audit.billed += 1;
        } else {
            audit.unbilled += 1;
        }
    }
    for holder in &holders {
        reader.add_charges(holder, &mut audit.charged)?;
    }
    Ok(audit)
}

impl<'a> Reader<'a> {
    fn begin(table: &'a dyn Table, holders: &[Arc<str>]) -> Result<Self, Error> {
        let settings = Settings {
            slots: SLOTS,
            ..Settings::default()
        };
        let mut reader = Self {
            table,
            arbiter: Arbiter::new(settings, "audit.1", 1),
            now: Instant::from_millis(1),
        };
        let lapsed = holders.iter().cloned().collect();
        reader.arbiter.set_lapsed(reader.now, lapsed);
        let all: Vec<SlotKey> = (0..SLOTS).map(SlotKey).collect();
        reader.arbiter.set_wanted(reader.now, &all);
        for _ in 0..MOST_STEPS {
            if reader.arbiter.slots().len() == usize::from(SLOTS) {
                return Ok(reader);
            }
            reader.step();
        }
        Err(Error::new("audit", "the slots could not be taken over"))
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        if let Some(step) = self.arbiter.next_step(self.now) {
            let reply = execute(self.table, &step);
            self.arbiter.reply(self.now, reply);
        }
    }

    fn ask(&mut self, slot: SlotKey, request: &Request) -> Result<Reply, Error> {
        self.arbiter.request(self.now, 1, slot, request);
        for _ in 0..MOST_STEPS {
            if let Some((_, reply)) = self.arbiter.take_replies().pop() {
                return Ok(reply);
            }
            self.step();
        }
        Err(Error::new("audit", "a slot gives no answer"))
    }

    fn is_done(&mut self, record: &Record) -> Result<bool, Error> {
        let request = RequestKey::new(record.account, record.id.as_str()).digest();
        let slot = slot_of(request, SLOTS);
        let reply = self.ask(slot, &Request::Lookup { request })?;
        Ok(matches!(reply, Reply::Known(RequestState::Done { .. })))
    }

    fn add_charges(
        &mut self,
        holder: &Arc<str>,
        sums: &mut BTreeMap<String, Tokens>,
    ) -> Result<(), Error> {
        for slot in (0..SLOTS).map(SlotKey) {
            let close = Request::Close {
                holder: holder.clone(),
                phase: Phase::Freeze,
            };
            let Reply::Closed { totals, .. } = self.ask(slot, &close)? else {
                return Err(Error::new("audit", "a slot did not close"));
            };
            for (group, charged) in totals {
                *sums.entry(group.to_string()).or_default() += charged;
            }
        }
        Ok(())
    }
}
