//! Token loans between instances.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use common::{ACCOUNT, Behaviour, MemoryStore};
use fescuewell_gateway::control::Control;
use fescuewell_gateway::gateway::Gateway;

/// Tokens of the request.
const TOKENS: u64 = 1_000;
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

fn available(gateway: &Gateway) -> u64 {
    let now_ms = gateway.now_ms();
    gateway.state().quota.available(ACCOUNT, now_ms)
}

/// Waits until only the lender can spend, the borrower knows the lender, and both have the fleet
/// key.
async fn wait_ready(lender: &Gateway, borrower: &Gateway) {
    let knows_lender = || {
        let state = borrower.state();
        !state.quota.candidates(ACCOUNT, 0).is_empty()
    };
    while available(borrower) > 0
        || available(lender) < TOKENS
        || !knows_lender()
        || lender.fleet_key().is_none()
        || borrower.fleet_key().is_none()
    {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a refusal during a store outage although another reachable instance holds the
/// account's tokens: only the store could move tokens between instances.
#[test]
fn a_request_is_paid_with_tokens_of_another_instance() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let store = MemoryStore::new(400_000);
        // One instance is enough for the traffic, so all callers are sent to this one and it draws
        // the tokens.
        let (lender, lender_control) = instance("entry-1", &store);
        let (borrower, borrower_control) = instance("entry-2", &store);
        let scenario = async {
            wait_ready(&lender, &borrower).await;
            store.set_behaviour(Behaviour::Silent);
            // A datagram may be lost, so the loan is retried.
            while !borrower.borrow_tokens(&ACCOUNT.into(), TOKENS).await {}
        };

        tokio::select! {
            () = lender_control.run() => unreachable!("the control tasks run until the process ends"),
            () = borrower_control.run() => unreachable!("the control tasks run until the process ends"),
            () = scenario => {}
        }

        let now_ms = borrower.now_ms();
        let shortfall = borrower.state().quota.shortfall(ACCOUNT, TOKENS, now_ms);
        assert_eq!(shortfall, 0);
        assert!(lender.state().quota.account(ACCOUNT).unwrap().consumed() >= TOKENS);
    });
}

/// Guards against requests that wait for a loan forever: an instance without a peer address has no
/// task that handles borrow requests, and its requests never got a response while the store was
/// down.
#[test]
fn an_instance_without_peers_borrows_nothing() {
    let borrowed = common::run_scenario(10_000, 1, async |gateway, store| {
        store.set_behaviour(Behaviour::Silent);
        gateway.borrow_tokens(&ACCOUNT.into(), 20_000).await
    });

    assert!(!borrowed);
}
