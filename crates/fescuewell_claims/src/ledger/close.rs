//! Closing a terminated router, in two phases.
//!
//! `Freeze` stops new claims by the router and lists its open ones. Bills are still charged: those
//! that a peer took over from the router and those of the sweep. `Finish` fixes the totals. The
//! budget takes back the router's allowance minus these totals, so anything charged to it
//! afterwards would be spent twice. Both phases can be repeated, by the same sweep or by another
//! instance that starts over after the first one terminated.

use std::sync::Arc;

use fescuewell_core::time::Instant;

use super::entry::{Status, timestamp_s};
use super::{Closed, Decision, Ledger};
use crate::message::{OpenClaim, Phase, Reply};
use crate::record::{NameKey, Record};

impl Ledger {
    pub(super) fn close(&mut self, holder: &Arc<str>, phase: Phase) -> Decision {
        let mut records = Vec::new();
        let key = self.name(&mut records, holder);
        let finish = phase == Phase::Finish;
        let is_recorded = match self.closed.get(&key) {
            None => false,
            Some(closed) => closed.finished || !finish,
        };
        if !is_recorded {
            let holder = key;
            records.push(Record::Close { holder, finish });
        }
        let totals = self.totals(holder);
        let open = self.open_of(key);
        Decision::after_commit(Reply::Closed { totals, open }).with_records(records)
    }

    pub(super) fn apply_close(&mut self, now: Instant, holder: NameKey, finish: bool) {
        let since = timestamp_s(now);
        let finished = false;
        let closed = self
            .closed
            .entry(holder)
            .or_insert(Closed { finished, since });
        closed.finished |= finish;
        closed.since = since;
    }

    /// Drops a closed router's totals. The router stays closed, so that a delayed message cannot
    /// reopen it.
    pub(super) fn forget(&mut self, holder: &Arc<str>) -> Decision {
        let decision = Decision::after_commit(Reply::Forgotten);
        let Some(holder) = self.names.get(holder) else {
            return decision;
        };
        // The totals of a router that is not closed are still needed by a later sweep.
        let has_totals = self.of_holder(holder).next().is_some();
        if !has_totals || !self.is_finished(holder) {
            return decision;
        }
        decision.with_records(vec![Record::Forget { holder }])
    }

    pub(super) fn apply_forget(&mut self, holder: NameKey) {
        self.totals.retain(|&(owner, _), _| owner != holder);
    }

    fn open_of(&self, holder: NameKey) -> Vec<OpenClaim> {
        let mut open = Vec::new();
        for (&request, entry) in &self.entries {
            if entry.status != Status::Open || entry.owner.holder != holder {
                continue;
            }
            open.push(OpenClaim {
                request,
                attempt: entry.owner.attempt,
                group: self.names.name(entry.group).clone(),
                hold: entry.hold,
                assignment: self.assignment(request, entry),
                repeatable: entry.repeatable,
            });
        }
        open.sort_by_key(|open| open.request);
        open
    }
}
