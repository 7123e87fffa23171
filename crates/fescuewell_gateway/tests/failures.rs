//! Reports of failing model engines between two instances.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use common::{Behaviour, MemoryStore};
use fescuewell_forward::health::Outcome;
use fescuewell_forward::server::{Change, Entry, State, Update};
use fescuewell_gateway::control::Control;
use fescuewell_gateway::gateway::Gateway;

/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}

fn instance(name: &str, store: &Arc<MemoryStore>) -> (Arc<Gateway>, Control) {
    let mut settings = common::settings(name);
    settings.peer = Some(free_address());
    common::instance(settings, store, 1)
}

fn engine() -> Entry {
    Entry {
        id: "engine".into(),
        started_at_ms: None,
        service: "model".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        slots: 64,
        cold_left_ms: 0,
        version: None,
        state: State::Ready,
    }
}

fn list_engine(gateway: &Gateway) {
    let update = Update {
        id: engine().id,
        version: 1,
        change: Change::Entry(engine()),
    };
    let now_ms = gateway.now_ms();
    gateway.state().registry.apply(update, now_ms);
}

/// Records a failure of the engine as the end of a request does.
fn fail_request(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    let id = engine().id;
    state.health.record_outcome(&id, Outcome::Faulty, now_ms);
    let store_ms = state.store_ms(now_ms);
    state.failures.push(&engine(), store_ms);
    drop(state);
    gateway.notify_failure();
}

fn is_ejected(gateway: &Gateway) -> bool {
    let now_ms = gateway.now_ms();
    gateway.state().health.is_ejected("engine", now_ms)
}

/// Guards against instances that each fail several requests at an engine whose failures another one
/// has seen, also while the store is away.
#[test]
fn an_engine_that_failed_requests_of_one_instance_is_ejected_by_the_other() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let store = MemoryStore::new(400_000);
        let (first, first_control) = instance("entry-1", &store);
        let (second, second_control) = instance("entry-2", &store);
        let scenario = async {
            while first.fleet_key().is_none()
                || second.fleet_key().is_none()
                || first.state().directory.count() < 2
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            store.set_behaviour(Behaviour::Silent);
            for gateway in [&first, &second] {
                list_engine(gateway);
            }
            // A datagram may be lost, so the failures are repeated.
            while !is_ejected(&second) {
                fail_request(&first);
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };

        tokio::select! {
            () = first_control.run() => unreachable!("the control tasks run until the process ends"),
            () = second_control.run() => unreachable!("the control tasks run until the process ends"),
            () = scenario => {}
        }
    });
}
