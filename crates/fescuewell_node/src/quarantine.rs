//! Quarantine of requests whose responses are repeatedly lost by backend servers.
//!
//! Losses are counted by content instead of request id, since a caller's next try may have a different id.
//! Counts are local to the instance.

use fescuewell_core::prelude::*;
use fescuewell_forward::crash::{Content, Fingerprint, THRESHOLD, Verdict};
use fescuewell_forward::server::Incarnation;

use crate::node::Node;
use crate::record::Record;
use crate::request::{Arrival, Ticket};

/// Returns the content fingerprint of a group's request, which is the same for every try.
fn fingerprint(arrival: &Arrival) -> Fingerprint {
    Fingerprint::new(&Content {
        account: &arrival.group,
        method: "",
        host: "",
        target: &arrival.kind,
        body: &arrival.fingerprint.0.to_le_bytes(),
    })
}

/// Identifies one attempt, so that repeated losses on the same server count separately.
fn attempt_id(record: &Record) -> Option<Incarnation> {
    let server = u64::from(record.server?.0);
    let attempt = u64::from(record.grant?.attempt);
    Some(Incarnation::from_number(server << 32 | attempt))
}

impl Node {
    fn now_ms(&self) -> u64 {
        let time = self.now.since(Instant::default());
        time.as_millis() as u64
    }

    /// Refuses a quarantined request, unless it may probe.
    pub(crate) fn check_quarantine(&mut self, arrival: &Arrival) -> Result<(), Refusal> {
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

    /// Records a lost response.
    pub(crate) fn record_crash(&mut self, ticket: Ticket) {
        let Some(record) = self.requests.get(ticket) else {
            return;
        };
        let Some(attempt) = attempt_id(record) else {
            return;
        };
        let request = fingerprint(&record.arrival);
        let now_ms = self.now_ms();
        let count = self.quarantine.crash(request, attempt, now_ms);
        if count == Some(THRESHOLD) {
            let text = format!("ticket={} fingerprint={request}", ticket.0);
            self.log(Event::RequestQuarantined, text);
        }
    }

    /// Records a complete response.
    pub(crate) fn record_answer(&mut self, ticket: Ticket) {
        let Some(record) = self.requests.get(ticket) else {
            return;
        };
        let request = fingerprint(&record.arrival);
        let now_ms = self.now_ms();
        self.quarantine.answered(request, now_ms);
    }

    /// Returns `true` if a request is quarantined and must not be sent.
    pub(crate) fn is_quarantined(&self, ticket: Ticket) -> bool {
        let Some(record) = self.requests.get(ticket) else {
            return false;
        };
        let request = fingerprint(&record.arrival);
        let verdict = self.quarantine.verdict(request, self.now_ms());
        matches!(verdict, Verdict::Quarantined { .. })
    }
}
