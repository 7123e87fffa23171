//! Serves calls of plain services, which don't stream their responses.

use bytes::Bytes;
use fescuewell_claims::message::StoredResponse;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::{Reply, Request};
use fescuewell_node::event::Event as NodeEvent;
use fescuewell_node::request::{Ticket, Verdict, Work};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};

use super::{Plane, ValidatedRequest, check_body, status_of};
use crate::call::{Call, Exchanges};
use crate::caller::Caller;

impl Plane {
    pub(super) async fn serve_call(
        &self,
        service: &str,
        call: &str,
        request: Request,
        reply: Reply,
    ) {
        let mut registration = self.pending.register();
        let validated = match self.validate_call(service, call, request, registration.ticket) {
            Ok(validated) => validated,
            Err(refusal) => return self.refuse(reply, &refusal),
        };
        let Work::Call {
            price, repeatable, ..
        } = validated.arrival.work
        else {
            return;
        };
        let ticket = registration.ticket;
        let id = validated.caller.id.clone();
        let runner = Call {
            client: &self.client,
            timeouts: self.timeouts,
            deadline: validated.deadline,
            call,
            body: &validated.request.body,
            content_type: validated.request.headers.get(CONTENT_TYPE),
            price,
            repeatable,
        };
        let mut verdict = registration
            .submit(NodeEvent::Arrived(validated.arrival))
            .await;
        self.count_verdict(validated.request.arrived);
        let mut open = Exchanges::default();
        let mut current = None;
        loop {
            let (assignment, outcome) = match verdict {
                Ok(Verdict::Stored(response)) => return send_response(reply, &response, &id),
                Ok(Verdict::Run(assignment)) => {
                    let outcome = runner.run(&assignment, &mut open).await;
                    (assignment, outcome)
                }
                Ok(Verdict::Keep) => {
                    let Some(assignment) = current.take() else {
                        return;
                    };
                    let outcome = runner.wait(&assignment, &mut open).await;
                    (assignment, outcome)
                }
                Err(refusal) | Ok(Verdict::Refuse(refusal)) => return self.refuse(reply, &refusal),
                Ok(Verdict::Attach { .. }) => {
                    return self.refuse(reply, &Refusal::new(Code::InProgress));
                }
            };
            let end = outcome.end;
            if let Some(response) = outcome.response {
                self.count_cost(&end);
                send_response(reply, &response, &id);
                return self.pending.send(NodeEvent::Ended { ticket, end }).await;
            }
            if is_outcome_unknown(&end) && !repeatable {
                self.refuse(reply, &Refusal::new(Code::OutcomeUnknown));
                let end = runner.poll_record_late(&assignment, end).await;
                return self.pending.send(NodeEvent::Ended { ticket, end }).await;
            }
            current = Some(assignment);
            verdict = registration.report(NodeEvent::Ended { ticket, end }).await;
        }
    }

    fn validate_call(
        &self,
        service: &str,
        call: &str,
        request: Request,
        ticket: Ticket,
    ) -> Result<ValidatedRequest, Refusal> {
        let index = self.index.load();
        let caller = Caller::read(&index, &request, || self.generate_id(ticket))?;
        check_body(&request)?;
        let (service, call) = index
            .call(service, call)
            .ok_or_else(|| Refusal::new(Code::UnknownService))?;
        let work = Work::Call {
            service: service.name.clone(),
            call: call.name.clone(),
            repeatable: call.repeatable,
            price: call.price,
        };
        self.validate(&index, caller, request, work, ticket)
    }
}

fn is_outcome_unknown(end: &fescuewell_node::request::End) -> bool {
    matches!(end, fescuewell_node::request::End::Lost { .. })
}

fn send_response(reply: Reply, response: &StoredResponse, id: &str) {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&response.content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(crate::delivery::ID_HEADER, value);
    }
    reply.send(
        status_of(response),
        headers,
        Bytes::copy_from_slice(&response.body),
    );
}
