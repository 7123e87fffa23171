//! Loans of tokens between instances, as requests ask for them.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use common::{ACCOUNT, Behaviour, Memory};
use fescuewell_gateway::control::Control;
use fescuewell_gateway::gateway::Gateway;

/// Tokens of the request.
const TOKENS: u64 = 1_000;
/// Pause between two looks at what is waited for.
const LOOK: Duration = Duration::from_millis(5);

fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}

fn instance(name: &str, store: &Arc<Memory>) -> (Arc<Gateway>, Control) {
    let mut settings = common::settings(name);
    settings.peer = Some(free_address());
    common::instance(settings, store, 1)
}

fn spare(gateway: &Gateway) -> u64 {
    let now_ms = gateway.now_ms();
    gateway.state().quota.spare(ACCOUNT, now_ms)
}

/// Waits until only the lender can spend, the borrower knows it, and both can prove themselves.
async fn until_acquainted(lender: &Gateway, borrower: &Gateway) {
    let knows_lender = || {
        let state = borrower.state();
        !state.quota.candidates(ACCOUNT, 0).is_empty()
    };
    while spare(borrower) > 0
        || spare(lender) < TOKENS
        || !knows_lender()
        || lender.fleet_key().is_none()
        || borrower.fleet_key().is_none()
    {
        tokio::time::sleep(LOOK).await;
    }
}

/// A request was refused in a cut of the whole fleet although the account's tokens lay at the next instance, with which this one
/// went on talking: nothing but the store could move them.
#[test]
fn a_request_is_paid_with_tokens_of_another_instance() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let store = Memory::new(400_000);
        // One instance is enough for the callers. All choose this one, and it gets the tokens.
        let (rich, rich_control) = instance("entry-1", &store);
        let (poor, poor_control) = instance("entry-2", &store);
        let scenario = async {
            until_acquainted(&rich, &poor).await;
            store.set(Behaviour::Silent);
            // A datagram may be lost: then it is asked again.
            while !poor.borrow_tokens(&ACCOUNT.into(), TOKENS).await {}
        };

        tokio::select! {
            () = rich_control.run() => unreachable!("the duties end with the process"),
            () = poor_control.run() => unreachable!("the duties end with the process"),
            () = scenario => {}
        }

        let now_ms = poor.now_ms();
        let missing = poor.state().quota.missing(ACCOUNT, TOKENS, now_ms);
        assert_eq!(missing, 0);
        assert!(rich.state().quota.view(ACCOUNT).unwrap().consumed() >= TOKENS);
    });
}

/// All requests of an instance that has no address for the words of others waited for tokens without an end once the store was
/// silent: nobody took their shortages.
#[test]
fn an_instance_without_peers_borrows_nothing() {
    let borrowed = common::play(10_000, 1, async |gateway, store| {
        store.set(Behaviour::Silent);
        gateway.borrow_tokens(&ACCOUNT.into(), 20_000).await
    });

    assert!(!borrowed);
}
