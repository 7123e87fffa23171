//! Bills from routers and from the sweep. Only the first bill of a request is charged, whoever
//! sends it.

use std::sync::Arc;

use fescuewell_core::prelude::*;

use super::entry::{Status, timestamp_s, truncate};
use super::{Context, Decision, Entry, Ledger};
use crate::message::{
    Bill, Evidence, MAX_RESPONSE_BYTES, Owner, Reply, Settlement, StoredResponse,
};
use crate::note::Note;
use crate::record::{Record, Run};

/// The contents of a request's first bill.
struct Charge<'a> {
    request: Digest,
    fingerprint: u64,
    group: &'a Arc<str>,
    owner: &'a Owner,
    charged: Tokens,
    complete: bool,
    repeatable: bool,
    in_doubt: bool,
    response: Option<&'a StoredResponse>,
}

impl Ledger {
    pub(super) fn bill(&mut self, bill: &Bill) -> Decision {
        let run = self.run(&bill.owner);
        if let Some(entry) = self.entries.get(&bill.request).copied()
            && entry.billed
        {
            return self.repeat_bill(bill, run, &entry);
        }
        // The entry has expired since this bill was confirmed, so this is an old copy of the
        // message.
        let is_known = self.entries.contains_key(&bill.request);
        if !is_known && run.is_some_and(|run| self.is_settled(run)) {
            return Decision::after_commit(Reply::Billed {
                charged: Tokens::ZERO,
            });
        }
        self.charge(&Charge {
            request: bill.request,
            fingerprint: truncate(bill.fingerprint),
            group: &bill.group,
            owner: &bill.owner,
            // The stream is cut off at the hold, so a higher cost is an error in the router. The
            // budget only covers the hold.
            charged: bill.cost.min(bill.hold),
            complete: bill.complete,
            repeatable: bill.repeatable,
            in_doubt: false,
            response: bill.response.as_ref(),
        })
    }

    /// Handles a further bill of a billed request. The attempt that was charged gets the same reply
    /// again; any other attempt is charged nothing.
    fn repeat_bill(&mut self, bill: &Bill, run: Option<Run>, entry: &Entry) -> Decision {
        if run == Some(entry.biller) {
            return Decision::after_commit(Reply::Billed {
                charged: entry.charged,
            });
        }
        let mut records = Vec::new();
        if bill.complete && !entry.complete {
            let holder = self.name(&mut records, &bill.owner.holder);
            let attempt = bill.owner.attempt;
            let run = Run { holder, attempt };
            let request = bill.request;
            records.push(Record::Complete { request, run });
        }
        let note = Note::BillAbsorbed {
            request: bill.request,
            owner: bill.owner.clone(),
        };
        let charged = Tokens::ZERO;
        Decision::after_commit(Reply::Billed { charged })
            .with_records(records)
            .with_note(note)
    }

    pub(super) fn settle(&mut self, context: &Context<'_>, settlement: &Settlement) -> Decision {
        let request = settlement.request;
        let run = self.run(&settlement.owner);
        let not_charged = Decision::after_commit(Reply::Billed {
            charged: Tokens::ZERO,
        });
        let entry = self.entries.get(&request).copied();
        if let Some(entry) = entry.filter(|entry| entry.billed) {
            return self.settle_billed(request, run, &entry);
        }
        match &settlement.evidence {
            Evidence::InDoubt => self.settle_in_doubt(request, &settlement.owner, not_charged),
            Evidence::Stream {
                cost,
                complete,
                response,
            } => {
                let is_settled = run.is_some_and(|run| self.is_settled(run));
                if entry.is_none() && is_settled {
                    return not_charged;
                }
                // If a live router has taken over the request of an interrupted attempt, that
                // router's bill is the one that counts.
                let is_taken_over = entry.is_some_and(|entry| {
                    entry.status == Status::Open
                        && Some(entry.owner) != run
                        && !self.is_gone(context, entry.owner.holder)
                });
                if is_taken_over && !complete {
                    return not_charged;
                }
                self.charge(&Charge {
                    request,
                    fingerprint: entry.map_or(0, |entry| entry.fingerprint),
                    group: &settlement.group,
                    owner: &settlement.owner,
                    charged: (*cost).min(settlement.hold),
                    complete: *complete,
                    repeatable: entry.is_none_or(|entry| entry.repeatable),
                    in_doubt: false,
                    response: response.as_ref(),
                })
            }
        }
    }

    /// Closes a claim that stayed open after an earlier attempt had been billed, without another
    /// charge.
    fn settle_billed(&self, request: Digest, run: Option<Run>, entry: &Entry) -> Decision {
        let is_same = run == Some(entry.biller);
        let charged = if is_same { entry.charged } else { Tokens::ZERO };
        let decision = Decision::after_commit(Reply::Billed { charged });
        match run {
            Some(run) if entry.status == Status::Open && entry.owner == run => {
                decision.with_records(vec![Record::Release { request, run }])
            }
            _ => decision,
        }
    }

    /// Charges the hold of a claim that is still open and still belongs to the closed router. A
    /// claim that another router has taken over is billed by that router.
    fn settle_in_doubt(
        &mut self,
        request: Digest,
        owner: &Owner,
        not_charged: Decision,
    ) -> Decision {
        let run = self.run(owner);
        let entry = self.entries.get(&request).copied();
        let entry = entry.filter(|entry| entry.status == Status::Open && Some(entry.owner) == run);
        let Some(entry) = entry else {
            return not_charged;
        };
        let group = self.names.name(entry.group).clone();
        self.charge(&Charge {
            request,
            fingerprint: entry.fingerprint,
            group: &group,
            owner,
            charged: entry.hold,
            complete: false,
            repeatable: entry.repeatable,
            in_doubt: true,
            response: None,
        })
    }

    fn charge(&mut self, charge: &Charge<'_>) -> Decision {
        let mut records = Vec::with_capacity(3);
        let group = self.name(&mut records, charge.group);
        let holder = self.name(&mut records, &charge.owner.holder);
        // The router's allowance has already been returned to the budget. The bill is recorded, but
        // there is no allowance left to charge it to.
        let is_too_late = self.is_finished(holder);
        let charged = if is_too_late {
            Tokens::ZERO
        } else {
            charge.charged
        };
        let attempt = charge.owner.attempt;
        records.push(Record::Bill {
            request: charge.request,
            fingerprint: charge.fingerprint,
            group,
            run: Run { holder, attempt },
            charged,
            complete: charge.complete,
            repeatable: charge.repeatable,
            in_doubt: charge.in_doubt,
            response: charge
                .response
                .filter(|response| fits_limit(response))
                .cloned(),
        });
        let request = charge.request;
        let owner = charge.owner.clone();
        let decision = Decision::after_commit(Reply::Billed { charged }).with_records(records);
        if is_too_late {
            return decision.with_note(Note::BillAbsorbed { request, owner });
        }
        if charge.in_doubt {
            return decision.with_note(Note::BillInDoubt {
                request,
                owner,
                charged,
            });
        }
        decision
    }

    pub(super) fn apply_bill(&mut self, now: Instant, request: Digest, record: &Record) {
        let Record::Bill {
            fingerprint,
            group,
            run,
            charged,
            complete,
            repeatable,
            in_doubt,
            response,
            ..
        } = record
        else {
            return;
        };
        let mut entry = self
            .entries
            .get(&request)
            .copied()
            .unwrap_or_else(|| Entry::unclaimed(*run, Status::Done, now));
        if entry.fingerprint == 0 {
            entry.fingerprint = *fingerprint;
        }
        if entry.owner != *run {
            entry.server = super::entry::NO_SERVER;
        }
        entry.charged = *charged;
        entry.biller = *run;
        entry.billed = true;
        entry.in_doubt = *in_doubt;
        entry.complete = *complete;
        entry.repeatable = *repeatable;
        entry.touched = timestamp_s(now);
        // A partial response was billed while another router runs the request, so that router's
        // claim stays open.
        let claim_continues = entry.status == Status::Open && entry.owner != *run && !complete;
        if !claim_continues {
            entry.owner = *run;
            entry.group = *group;
            entry.status = Status::Done;
        }
        self.entries.insert(request, entry);
        let total = self.totals.entry((run.holder, *group)).or_default();
        *total += *charged;
        if let Some(response) = response {
            self.responses.insert(request, response.clone());
        }
        if !claim_continues {
            self.schedule_expiry(now, request);
        }
    }

    pub(super) fn apply_complete(&mut self, now: Instant, request: Digest, run: Run) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        if entry.owner != run {
            entry.server = super::entry::NO_SERVER;
        }
        entry.owner = run;
        entry.complete = true;
        entry.in_doubt = false;
        entry.status = Status::Done;
        self.schedule_expiry(now, request);
    }
}

/// Whether a response is small enough to be stored, which bounds memory and log rows. Repeats of a
/// call with a larger response only learn that the call ran.
fn fits_limit(response: &StoredResponse) -> bool {
    response.body.len() + response.content_type.len() <= MAX_RESPONSE_BYTES
}
