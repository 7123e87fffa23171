//! Requests that repeatedly make backend servers lose their answers.
//!
//! Counted by content rather than request id, since a caller's next attempt may have another id. Counts are local to the instance.

use fescuewell_core::prelude::*;
use fescuewell_forward::crash::{Content, Fingerprint, THRESHOLD, Verdict};
use fescuewell_forward::server::Incarnation;

use crate::node::Node;
use crate::record::Record;
use crate::request::{Arrival, Ticket};

/// Fingerprint of a group's request across attempts.
fn fingerprint(arrival: &Arrival) -> Fingerprint {
    Fingerprint::new(&Content {
        account: &arrival.group,
        method: "",
        host: "",
        target: &arrival.kind,
        body: &arrival.fingerprint.0.to_le_bytes(),
    })
}

/// Identifies one run, so that repeated losses at the same server count separately.
fn run(record: &Record) -> Option<Incarnation> {
    let server = u64::from(record.server?.0);
    let attempt = u64::from(record.grant?.attempt);
    Some(Incarnation::from_number(server << 32 | attempt))
}

impl Node {
    fn now_ms(&self) -> u64 {
        let time = self.now.since(Instant::default());
        time.as_millis() as u64
    }

    /// Rejects a quarantined request.
    pub(crate) fn check_suspect(&mut self, arrival: &Arrival) -> Result<(), Refusal> {
        let request = fingerprint(arrival);
        let now_ms = self.now_ms();
        let Verdict::Quarantined { may_probe } = self.quarantine.verdict(request, now_ms) else {
            return Ok(());
        };
        if may_probe {
            self.quarantine.probe(request, now_ms);
            return Ok(());
        }
        Err(Refusal::new(Code::Quarantined))
    }

    /// Records a lost answer.
    pub(crate) fn note_lost(&mut self, ticket: Ticket) {
        let Some(record) = self.book.get(ticket) else {
            return;
        };
        let Some(run) = run(record) else {
            return;
        };
        let request = fingerprint(&record.arrival);
        let now_ms = self.now_ms();
        let count = self.quarantine.crash(request, run, now_ms);
        if count == Some(THRESHOLD) {
            let text = format!("ticket={} fingerprint={request}", ticket.0);
            self.log(Event::RequestQuarantined, text);
        }
    }

    /// Records a complete answer.
    pub(crate) fn note_answered(&mut self, ticket: Ticket) {
        let Some(record) = self.book.get(ticket) else {
            return;
        };
        let request = fingerprint(&record.arrival);
        let now_ms = self.now_ms();
        self.quarantine.answered(request, now_ms);
    }

    /// Returns `true` if a request must not be sent.
    pub(crate) fn is_quarantined(&self, ticket: Ticket) -> bool {
        let Some(record) = self.book.get(ticket) else {
            return false;
        };
        let request = fingerprint(&record.arrival);
        let verdict = self.quarantine.verdict(request, self.now_ms());
        matches!(verdict, Verdict::Quarantined { .. })
    }
}
