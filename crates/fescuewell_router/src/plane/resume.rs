//! Resumes the response of an earlier request.

use std::time::Instant;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::{Reply, Request};
use fescuewell_node::event::Event as NodeEvent;
use fescuewell_node::request::{Ticket, Verdict};

use super::{Plane, query_value, status_of};
use crate::attempt::Runner;
use crate::caller::Caller;
use crate::chat::Path;
use crate::delivery::{Delivery, ResponseOptions};

impl Plane {
    /// Resumes the response of an earlier request of the same account.
    pub(super) async fn serve_resume(&self, id: &str, request: Request, reply: Reply) {
        let index = self.index.load_full();
        let caller = match Caller::read(&index, &request, String::new) {
            Ok(caller) => caller,
            Err(refusal) => return self.refuse(reply, &refusal),
        };
        let after = query_value(&request.query, "starting_after");
        let after = after.map_or(Ok(caller.last_event), str::parse);
        let Ok(last_event) = after else {
            let refusal = Refusal::new(Code::InvalidField).with_detail("starting_after");
            return self.refuse(reply, &refusal);
        };
        let mut registration = self.pending.register();
        let ticket = registration.ticket;
        let key = RequestKey::new(caller.account.clone(), id);
        let options = ResponseOptions {
            path: Path::Chat,
            stream: query_value(&request.query, "stream") != Some("false"),
            include_usage: true,
            id: id.into(),
            last_event,
        };
        let delivery = Delivery::new(options, reply);
        let verdict = registration.submit(NodeEvent::Resume { ticket, key }).await;
        self.deliver_resumed(ticket, verdict, delivery).await;
    }

    async fn deliver_resumed(
        &self,
        ticket: Ticket,
        verdict: Result<Verdict, Refusal>,
        mut delivery: Delivery,
    ) {
        let runner = Runner {
            client: &self.client,
            pending: &self.pending,
            timeouts: self.timeouts,
            ticket,
            deadline: Instant::now() + crate::caller::MAX_DEADLINE,
            may_retry: false,
        };
        match verdict {
            Ok(Verdict::Attach {
                address, stream, ..
            }) => match runner.read(address, &stream, &mut delivery).await {
                Some(outcome) => self.finish(ticket, outcome, delivery).await,
                None => {
                    self.refuse_delivery(delivery, &Refusal::new(Code::NoSuchStream))
                        .await;
                }
            },
            Ok(Verdict::Stored(response)) => {
                delivery.forward(status_of(&response), Bytes::copy_from_slice(&response.body));
            }
            Err(refusal) | Ok(Verdict::Refuse(refusal)) => {
                self.refuse_delivery(delivery, &refusal).await;
            }
            Ok(Verdict::Run(_) | Verdict::Keep) => {}
        }
    }
}
