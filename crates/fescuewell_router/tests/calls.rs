//! Tests of calls whose service is silent for a while, or for good.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{PATIENCE, any_port, assignment, impatient};
use fescuewell_core::prelude::*;
use fescuewell_http::upstream::Client;
use fescuewell_node::request::End;
use fescuewell_router::call::Call;
use fescuewell_standin::service::{Service, Settings};

fn service() -> Service {
    Service::start(any_port(), Settings::default()).unwrap()
}

fn call<'a>(client: &'a Client, body: &'a Bytes, deadline: Duration) -> Call<'a> {
    Call {
        client,
        timeouts: impatient(),
        deadline: Instant::now() + deadline,
        call: "confirm",
        body,
        content_type: None,
        price: Tokens(20),
        repeatable: true,
    }
}

/// Guards against silence that is reported as a crash: three of them quarantine the call, at all services.
#[tokio::test]
async fn silence_is_reported_as_a_stall() {
    let service = service();
    service.set_silent(true);
    let (client, body) = (Client::default(), Bytes::from_static(b"{}"));
    let call = call(&client, &body, PATIENCE);

    let end = call.run(&assignment(service.address())).await.end;

    assert!(matches!(end, End::Lost { stalled: true, .. }), "{end:?}");
}
