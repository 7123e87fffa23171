//! Requests under which backend servers lose their answers again and again.
//!
//! Counted by what is asked, not by the request's id: a caller's next try may have another one. What this instance has seen
//! counts here alone.

use fescuewell_core::prelude::*;
use fescuewell_forward::crash::{Content, Fingerprint, THRESHOLD, Verdict};
use fescuewell_forward::server::Incarnation;

use crate::node::Node;
use crate::record::Record;
use crate::request::{Arrival, Ticket};

/// Identity of what a group asks, over all of its tries.
fn fingerprint(arrival: &Arrival) -> Fingerprint {
    Fingerprint::new(&Content {
        account: &arrival.group,
        method: "",
        host: "",
        target: &arrival.kind,
        body: &arrival.fingerprint.0.to_le_bytes(),
    })
}

/// One run of a request: the same server counts again with its next run.
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

    /// Refuses a request that is known to make backend servers lose their answers.
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

    /// A backend server lost the answer to a request.
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

    /// A backend server answered a request.
    pub(crate) fn note_answered(&mut self, ticket: Ticket) {
        let Some(record) = self.book.get(ticket) else {
            return;
        };
        let request = fingerprint(&record.arrival);
        let now_ms = self.now_ms();
        self.quarantine.answered(request, now_ms);
    }

    /// Whether a request must not be sent any more.
    pub(crate) fn is_quarantined(&self, ticket: Ticket) -> bool {
        let Some(record) = self.book.get(ticket) else {
            return false;
        };
        let request = fingerprint(&record.arrival);
        let verdict = self.quarantine.verdict(request, self.now_ms());
        matches!(verdict, Verdict::Quarantined { .. })
    }
}
