//! Claims, assignments and releases.

use fescuewell_core::prelude::*;

use super::entry::{NO_SERVER, Status, truncate};
use super::{Context, Decision, Entry, Ledger};
use crate::message::{Assignment, Claim, Owner, Reply, RequestState};
use crate::note::Note;
use crate::record::{NameKey, Record, Run};
use crate::stream;

impl Ledger {
    pub(super) fn claim(&mut self, context: &Context<'_>, claim: &Claim) -> Decision {
        // A claim from a closed router can only be a delayed message. If it were granted, nobody
        // would ever bill or release it.
        if self.is_closed(&claim.owner.holder) {
            return Decision::now(Reply::Unavailable);
        }
        let run = self.run(&claim.owner);
        let Some(entry) = self.entries.get(&claim.request).copied() else {
            if run.is_some_and(|run| self.is_settled(run)) {
                return Decision::now(Reply::Unavailable);
            }
            return self.grant(context, claim);
        };
        if run == Some(entry.owner) {
            return self.repeat_claim(claim, &entry);
        }
        if entry.status == Status::Released {
            return self.grant(context, claim);
        }
        if entry.fingerprint != 0 && entry.fingerprint != truncate(claim.fingerprint) {
            return Decision::now(Reply::Known(RequestState::Conflict));
        }
        if self.may_run_again(context, claim, &entry) {
            return self.grant(context, claim);
        }
        Decision::now(Reply::Known(self.known(claim.request, &entry)))
    }

    /// Handles a claim that the same attempt sends again because the reply was lost or late.
    fn repeat_claim(&self, claim: &Claim, entry: &Entry) -> Decision {
        let granted = Reply::Granted {
            attempt: entry.owner.attempt,
            durable: !entry.repeatable,
        };
        match entry.status {
            Status::Open if entry.repeatable => Decision::now(granted),
            Status::Open => Decision::after_commit(granted),
            // The router released this attempt, or was told that its claim was not recorded. A
            // delayed copy of the claim must not reopen it, since no bill or release would follow.
            Status::Released => Decision::now(Reply::Unavailable),
            Status::Done => Decision::now(Reply::Known(self.known(claim.request, entry))),
        }
    }

    /// Whether a claimed or billed request is granted to another router.
    ///
    /// Only a repeatable request is, and not while its router is alive, since that router may be
    /// retrying it elsewhere. If the router is gone and its backend server is known, the caller is
    /// directed to that stream first; the request runs again only if the server has no record of
    /// the stream (`lost`). Only the attempt that is billed first is charged.
    fn may_run_again(&self, context: &Context<'_>, claim: &Claim, entry: &Entry) -> bool {
        if !entry.repeatable || !claim.repeatable {
            return false;
        }
        match entry.status {
            Status::Released => true,
            Status::Done => !entry.complete,
            Status::Open if !self.is_gone(context, entry.owner.holder) => false,
            Status::Open => {
                let lost = claim.lost.as_ref().and_then(|owner| self.run(owner));
                entry.server == NO_SERVER || lost == Some(entry.owner)
            }
        }
    }

    fn grant(&mut self, context: &Context<'_>, claim: &Claim) -> Decision {
        // While the table is down, a non-repeatable request is refused at once instead of waiting
        // for a commit that may take an hour.
        if !claim.repeatable && !context.writable {
            return Decision::now(Reply::Unavailable);
        }
        let mut records = Vec::with_capacity(3);
        let group = self.name(&mut records, &claim.group);
        let holder = self.name(&mut records, &claim.owner.holder);
        let attempt = claim.owner.attempt;
        records.push(Record::Claim {
            request: claim.request,
            fingerprint: truncate(claim.fingerprint),
            group,
            run: Run { holder, attempt },
            hold: claim.hold,
            repeatable: claim.repeatable,
        });
        let durable = !claim.repeatable;
        Decision {
            reply: Reply::Granted { attempt, durable },
            records,
            after_commit: durable,
            new_claim: true,
            note: None,
        }
    }

    pub(super) fn assign(
        &mut self,
        request: Digest,
        owner: &Owner,
        assignment: &Assignment,
    ) -> Decision {
        let run = self.run(owner);
        let entry = self.entries.get(&request);
        let is_owner =
            entry.is_some_and(|entry| entry.status == Status::Open && Some(entry.owner) == run);
        // A claim that was lost with a previous holder of the slot cannot be assigned. The sweep
        // finds such an attempt by its stream.
        if !is_owner {
            return Decision::now(Reply::Assigned);
        }
        let mut records = Vec::with_capacity(2);
        let server = self.name(&mut records, &assignment.server);
        let derived = stream::id(owner, request);
        let stream = (derived != assignment.stream).then(|| assignment.stream.clone());
        records.push(Record::Assign {
            request,
            server,
            stream,
        });
        Decision::now(Reply::Assigned).with_records(records)
    }

    pub(super) fn apply_assign(
        &mut self,
        request: Digest,
        server: NameKey,
        stream: Option<&StreamId>,
    ) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        entry.server = server;
        match stream {
            Some(stream) => self.streams.insert(request, stream.clone()),
            None => self.streams.remove(&request),
        };
    }

    pub(super) fn release(&mut self, request: Digest, owner: &Owner) -> Decision {
        let run = self.run(owner);
        let entry = self.entries.get(&request);
        let is_due = match (entry, run) {
            (None, Some(run)) => !self.is_settled(run),
            (None, None) => true,
            (Some(entry), Some(run)) => entry.status == Status::Open && entry.owner == run,
            (Some(_), None) => false,
        };
        if !is_due {
            return Decision::after_commit(Reply::Released);
        }
        let mut records = Vec::with_capacity(2);
        let holder = self.name(&mut records, &owner.holder);
        let attempt = owner.attempt;
        let run = Run { holder, attempt };
        records.push(Record::Release { request, run });
        let note = Note::ClaimAbandoned {
            request,
            owner: owner.clone(),
        };
        Decision::after_commit(Reply::Released)
            .with_records(records)
            .with_note(note)
    }

    /// Also creates an entry if the claim is unknown: the claim may still be in transit on another
    /// connection, and would otherwise be granted to a router that has given up.
    pub(super) fn apply_release(&mut self, now: Instant, request: Digest, run: Run) {
        let entry = self
            .entries
            .entry(request)
            .or_insert_with(|| Entry::unclaimed(run, Status::Released, now));
        entry.status = match entry.billed {
            true => Status::Done,
            false => Status::Released,
        };
        self.schedule_expiry(now, request);
    }

    pub(super) fn known(&self, request: Digest, entry: &Entry) -> RequestState {
        let assignment = self.assignment(request, entry);
        if entry.status == Status::Open {
            let owner = self.owner(entry.owner);
            return RequestState::InProgress { owner, assignment };
        }
        RequestState::Done {
            assignment,
            response: self.responses.get(&request).cloned(),
            in_doubt: entry.in_doubt || !entry.complete,
        }
    }

    pub(super) fn assignment(&self, request: Digest, entry: &Entry) -> Option<Assignment> {
        if entry.server == NO_SERVER {
            return None;
        }
        let server = self.names.name(entry.server).clone();
        let explicit = self.streams.get(&request).cloned();
        let stream = explicit.unwrap_or_else(|| stream::id(&self.owner(entry.owner), request));
        Some(Assignment { server, stream })
    }
}
