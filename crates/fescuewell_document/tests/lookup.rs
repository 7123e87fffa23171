//! Tests of the index that routers use.

mod fixture;

use fescuewell_core::prelude::*;
use fescuewell_document::key::{hash_key, is_hash, verify};
use fescuewell_document::lookup::Index;
use fescuewell_document::prelude::*;

fn index() -> Index {
    Index::new(fixture::document().into())
}

#[test]
fn every_account_is_found_by_its_key_at_full_size() {
    let index = Index::new(fixture::large_document(100, 1_200).into());
    for number in 0..1_200 {
        let name = format!("account-{number:04}");
        let account = index.account_by_key(&format!("key of {name}")).unwrap();
        assert_eq!(*account.name, name);
    }
    assert!(index.account_by_key("key of account-1200").is_none());
}

#[test]
fn a_stored_hash_does_not_open_the_account() {
    // Guards against comparing the received key with the stored hash without hashing it: anyone who can read the
    // document could then impersonate any caller.
    assert!(index().account_by_key(&hash_key("key of venues")).is_none());
    assert!(verify("key of venues", &hash_key("key of venues")));
    assert!(!verify("key of venues", "key of venues"));
    assert!(is_hash(&hash_key("x")) && !is_hash("x"));
}

#[test]
fn names_lead_to_items() {
    let index = index();
    assert_eq!(index.kind("bulk").unwrap().priority, 9);
    assert_eq!(index.group("signwise").unwrap().prepaid, Tokens(10_000));
    assert!(index.model("chat-large").is_none());
    let (service, call) = index.call("bookings", "confirm").unwrap();
    assert_eq!((&*service.name, &*call.name), ("bookings", "confirm"));
    assert!(index.call("bookings", "cancel").is_none());
}

#[test]
fn reach_limits_the_candidates() {
    let mut document = fixture::document();
    document
        .servers
        .push(fixture::server("engine-2", ServerRole::Engine, 9_003));
    document.groups[1].reach = vec!["engine-2".into()];
    let index = Index::new(document.into());
    let candidate_names = |group: &str| -> Vec<String> {
        let keys = index.candidates(group, "chat-small");
        keys.into_iter()
            .map(|key| index.server_at(key).name.to_string())
            .collect()
    };
    assert_eq!(candidate_names("signwise"), ["engine-1"]);
    assert_eq!(candidate_names("reef-relay"), ["engine-2"]);
    assert!(index.can_reach("signwise", "desk-1") && !index.can_reach("reef-relay", "desk-1"));
    assert!(index.candidates("nobody", "chat-small").is_empty());
    assert!(index.can_use("signwise", "chat-small") && !index.can_use("signwise", "chat-large"));
}
