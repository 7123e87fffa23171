//! Answers of earlier requests, taken up again.

use std::time::Instant;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::{Reply, Request};
use fescuewell_node::event::Event as NodeEvent;
use fescuewell_node::request::{Ticket, Verdict};

use super::{Plane, query_value, status_of};
use crate::attempt::Bench;
use crate::caller::Caller;
use crate::chat::Path;
use crate::delivery::{Delivery, Wish};

impl Plane {
    /// Takes up the answer of an earlier request of the same account.
    pub(super) async fn resume(&self, id: &str, request: Request, reply: Reply) {
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
        let mut place = self.desk.take_place();
        let ticket = place.ticket;
        let key = RequestKey::new(caller.account.clone(), id);
        let wish = Wish {
            path: Path::Chat,
            stream: query_value(&request.query, "stream") != Some("false"),
            include_usage: true,
            id: id.into(),
            last_event,
        };
        let delivery = Delivery::new(wish, reply);
        let verdict = place.open(NodeEvent::Resume { ticket, key }).await;
        self.deliver_resumed(ticket, verdict, delivery).await;
    }

    async fn deliver_resumed(
        &self,
        ticket: Ticket,
        verdict: Result<Verdict, Refusal>,
        mut delivery: Delivery,
    ) {
        let bench = Bench {
            client: &self.client,
            desk: &self.desk,
            timeouts: self.timeouts,
            ticket,
            deadline: Instant::now() + crate::caller::LONGEST_DEADLINE,
            may_ask_again: false,
        };
        match verdict {
            Ok(Verdict::Attach {
                address, stream, ..
            }) => match bench.read(address, &stream, &mut delivery).await {
                Some(outcome) => self.end(ticket, outcome, delivery).await,
                None => {
                    self.refuse_delivery(delivery, &Refusal::new(Code::NoSuchStream))
                        .await;
                }
            },
            Ok(Verdict::Stored(answer)) => {
                delivery.pass_on(status_of(&answer), Bytes::copy_from_slice(&answer.body));
            }
            Err(refusal) | Ok(Verdict::Refuse(refusal)) => {
                self.refuse_delivery(delivery, &refusal).await;
            }
            Ok(Verdict::Run(_)) => {}
        }
    }
}
