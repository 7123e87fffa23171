//! Loans of tokens between instances, as requests ask for them.

mod common;

use common::{ACCOUNT, Behaviour};

/// All requests of an instance that has no address for the words of others waited for tokens without an end once the store was
/// silent: nobody took their shortages.
#[test]
fn an_instance_without_peers_borrows_nothing() {
    let borrowed = common::play(10_000, 1, async |gateway, store| {
        store.set(Behaviour::Silent);
        gateway.borrow(&ACCOUNT.into(), 20_000).await
    });

    assert!(!borrowed);
}
