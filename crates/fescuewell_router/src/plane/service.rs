//! Calls of plain services.

use bytes::Bytes;
use fescuewell_claims::message::StoredResponse;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::{Reply, Request};
use fescuewell_node::event::Event as NodeEvent;
use fescuewell_node::request::{Ticket, Verdict, Work};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};

use super::{Checked, Plane, status_of};
use crate::caller::Caller;

impl Plane {
    pub(super) async fn service(&self, service: &str, call: &str, request: Request, reply: Reply) {
        let mut place = self.desk.take_place();
        let checked = match self.check_call(service, call, request, place.ticket) {
            Ok(checked) => checked,
            Err(refusal) => return self.refuse(reply, &refusal),
        };
        let Work::Call {
            price, repeatable, ..
        } = checked.arrival.work
        else {
            return;
        };
        let ticket = place.ticket;
        let id = checked.caller.id.clone();
        let sender = crate::call::Call {
            client: &self.client,
            timeouts: self.timeouts,
            deadline: checked.deadline,
            call,
            body: &checked.request.body,
            content_type: checked.request.headers.get(CONTENT_TYPE),
            price,
            repeatable,
        };
        let mut verdict = place.open(NodeEvent::Arrived(checked.arrival)).await;
        self.count_verdict(checked.request.arrived);
        loop {
            match verdict {
                Ok(Verdict::Stored(answer)) => return send_answer(reply, &answer, &id),
                Ok(Verdict::Run(assignment)) => {
                    let outcome = sender.run(&assignment).await;
                    let end = outcome.end;
                    if let Some(answer) = outcome.answer {
                        self.count_cost(&end);
                        send_answer(reply, &answer, &id);
                        return self.desk.tell(NodeEvent::Ended { ticket, end }).await;
                    }
                    if is_lost(&end) && !repeatable {
                        self.refuse(reply, &Refusal::new(Code::OutcomeUnknown));
                        let end = sender.settle_later(&assignment).await;
                        return self.desk.tell(NodeEvent::Ended { ticket, end }).await;
                    }
                    verdict = place.again(NodeEvent::Ended { ticket, end }).await;
                }
                Err(refusal) | Ok(Verdict::Refuse(refusal)) => return self.refuse(reply, &refusal),
                Ok(Verdict::Attach { .. }) => {
                    return self.refuse(reply, &Refusal::new(Code::InProgress));
                }
            }
        }
    }

    fn check_call(
        &self,
        service: &str,
        call: &str,
        request: Request,
        ticket: Ticket,
    ) -> Result<Checked, Refusal> {
        let index = self.index.load();
        let caller = Caller::read(&index, &request, || self.make_id(ticket))?;
        let (service, call) = index
            .call(service, call)
            .ok_or_else(|| Refusal::new(Code::UnknownService))?;
        let work = Work::Call {
            service: service.name.clone(),
            call: call.name.clone(),
            repeatable: call.repeatable,
            price: call.price,
        };
        self.checked(&index, caller, request, work, ticket)
    }
}

fn is_lost(end: &fescuewell_node::request::End) -> bool {
    matches!(end, fescuewell_node::request::End::Lost { .. })
}

fn send_answer(reply: Reply, answer: &StoredResponse, id: &str) {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(crate::delivery::ID_HEADER, value);
    }
    reply.send(
        status_of(answer),
        headers,
        Bytes::copy_from_slice(&answer.body),
    );
}
