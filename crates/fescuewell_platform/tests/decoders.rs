//! What the platform's services may answer, and whatever else may arrive in its place.

use std::cell::Cell;
use std::sync::Arc;

use fescuewell_core::platform::{Listing, Role, State};
use fescuewell_core::table::{Outcome, Range, Row, Transaction};
use fescuewell_platform::etcd::wire::{
    KeyValue, RangeRequest, RangeResponse, TxnRequest, TxnResponse,
};
use fescuewell_platform::sd;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use serde_json::{Value, json};

fn runner() -> TestRunner {
    let config = ProptestConfig {
        cases: 256,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn transaction() -> Transaction {
    Transaction::default()
        .with_compare("foo", 2)
        .with_compare("new", 0)
        .with_put("foo", *b"bar")
}

fn row(key: &str, value: &[u8], revision: u64) -> Row {
    Row {
        key: key.into(),
        value: value.into(),
        revision,
    }
}

#[test]
fn a_transaction_is_written_as_the_gateway_reads_it() {
    let text = serde_json::to_value(TxnRequest::from(&transaction())).unwrap();

    let expected = json!({
        "compare": [
            {"result": "EQUAL", "target": "MOD", "key": "Zm9v", "mod_revision": "2"},
            {"result": "EQUAL", "target": "MOD", "key": "bmV3", "mod_revision": "0"},
        ],
        "success": [{"request_put": {"key": "Zm9v", "value": "YmFy"}}],
        "failure": [{"request_range": {"key": "Zm9v"}}, {"request_range": {"key": "bmV3"}}],
    });
    assert_eq!(text, expected);
}

#[test]
fn a_range_is_written_as_the_gateway_reads_it() {
    let mut page = Range::prefix("foo");
    page.after = Some("foo/1".into());
    page.limit = 7;
    let cases = [
        (
            Range::prefix("foo"),
            json!({"key": "Zm9v", "range_end": "Zm9w"}),
        ),
        (
            page,
            json!({"key": "Zm9vLzEA", "range_end": "Zm9w", "limit": "7"}),
        ),
        (
            Range::prefix(""),
            json!({"key": "AA==", "range_end": "AA=="}),
        ),
    ];
    for (range, expected) in cases {
        let text = serde_json::to_value(RangeRequest::from(&range)).unwrap();
        assert_eq!(text, expected);
    }
}

// The replies below have the fields, in the form, that etcd's page on its gateway shows.
#[test]
fn replies_of_the_gateway_are_read() {
    let header = r#""header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"3","raft_term":"2"}"#;
    let committed = format!(
        r#"{{{header},"succeeded":true,"responses":[{{"response_put":{{"header":{{"revision":"3"}}}}}}]}}"#
    );
    let kvs = r#""kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}],"count":"1""#;
    let conflict = format!(
        r#"{{{header},"responses":[{{"response_range":{{{header},{kvs}}}}},{{"response_range":{{{header}}}}}]}}"#
    );
    let range = format!("{{{header},{kvs}}}");

    let committed: TxnResponse = serde_json::from_str(&committed).unwrap();
    let conflict: TxnResponse = serde_json::from_str(&conflict).unwrap();
    let range: RangeResponse = serde_json::from_str(&range).unwrap();

    let outcome = committed.outcome(&transaction());
    assert_eq!(outcome, Ok(Outcome::Committed { revision: 3 }));
    let rows = vec![row("foo", b"bar", 2)];
    assert_eq!(range.rows(), Ok(rows.clone()));
    assert_eq!(
        conflict.outcome(&transaction()),
        Ok(Outcome::Conflict { rows })
    );
}

// Symptom: a write is taken for committed, or a conflict shows a row that nobody asked for. Sequence:
// a reply arrives that is cut short, mixed up, or of another service. Cause: not every 200 is the table's.
#[test]
fn a_reply_that_cannot_be_one_is_refused() {
    let replies = [
        r#"{"header":{},"succeeded":true}"#,
        r#"{"header":{"revision":"3"},"responses":[{"response_range":{"kvs":[{"key":"b3RoZXI=","mod_revision":"1"}]}}]}"#,
        r#"{"header":{"revision":"3"},"responses":[{"response_range":{"kvs":[{"key":"Zm9v"}]}}]}"#,
        r#"{"header":{"revision":"3"},"responses":[{"response_range":{"kvs":[{"key":"/w==","mod_revision":"1"}]}}]}"#,
    ];
    for reply in replies {
        let response: TxnResponse = serde_json::from_str(reply).unwrap();
        assert!(response.outcome(&transaction()).is_err(), "{reply}");
    }
    for reply in [
        "",
        "{}",
        "[]",
        "null",
        r#"{"header":{"revision":"-1"}}"#,
        r#"{"header":{"revision":"99999999999999999999"}}"#,
    ] {
        assert!(
            serde_json::from_str::<TxnResponse>(reply).is_err(),
            "{reply}"
        );
    }
}

#[test]
fn any_bytes_are_read_or_refused() {
    let strategy = vec(any::<u8>(), 0..256);
    let check = |bytes: Vec<u8>| {
        let _ = serde_json::from_slice::<TxnResponse>(&bytes);
        let _ = serde_json::from_slice::<RangeResponse>(&bytes);
        let _ = sd::read(&bytes);
        Ok(())
    };
    runner().run(&strategy, check).unwrap();
}

/// JSON with the field names of the protocols and any values in them.
fn any_json() -> impl Strategy<Value = Value> {
    let names = prop::sample::select(vec![
        "header",
        "revision",
        "succeeded",
        "responses",
        "response_range",
        "kvs",
        "key",
        "value",
        "mod_revision",
        "targets",
        "labels",
        "name",
        "role",
        "state",
        "zone",
    ]);
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<u64>().prop_map(|number| Value::from(number.to_string())),
        prop::sample::select(vec![
            "Zm9v",
            "bmV3",
            "engine",
            "live",
            "127.0.0.1:1",
            "",
            "é"
        ])
        .prop_map(Value::from),
    ];
    leaf.prop_recursive(6, 64, 6, move |inner| {
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::from),
            vec((names.clone(), inner), 0..6).prop_map(|fields| {
                let named = fields
                    .into_iter()
                    .map(|(name, value)| (name.to_owned(), value));
                Value::Object(named.collect())
            }),
        ]
    })
}

/// Replies to a transaction: most of the right shape with any rows in them, some of any shape at all.
fn any_reply() -> impl Strategy<Value = Value> {
    let revision = prop_oneof![
        Just(json!("0")),
        Just(json!(0)),
        Just(json!("7")),
        Just(json!({}))
    ];
    let key = prop::sample::select(vec!["Zm9v", "bmV3", "b3RoZXI=", "/w==", "?"]);
    let row = (key, revision.clone())
        .prop_map(|(key, revision)| json!({"key": key, "mod_revision": revision, "value": "YmFy"}));
    let range = vec(row, 0..3).prop_map(|rows| json!({"response_range": {"kvs": rows}}));
    let response = prop_oneof![4 => range, 1 => any_json()];
    let fields = (any::<bool>(), revision, vec(response, 0..3));
    fields.prop_map(|(succeeded, revision, responses)| {
        json!({"header": {"revision": revision}, "succeeded": succeeded, "responses": responses})
    })
}

#[test]
fn a_reply_of_any_shape_never_shows_a_row_that_was_not_compared() {
    let readable = Cell::new(0);
    let check = |reply: Value| {
        let Ok(response) = serde_json::from_value::<TxnResponse>(reply) else {
            return Ok(());
        };
        readable.set(readable.get() + 1);
        match response.outcome(&transaction()) {
            Ok(Outcome::Committed { revision }) => prop_assert!(revision > 0),
            Ok(Outcome::Conflict { rows }) => {
                let compared = |row: &Row| matches!(&*row.key, "foo" | "new") && row.revision > 0;
                prop_assert!(rows.iter().all(compared));
            }
            Err(_) => {}
        }
        Ok(())
    };
    runner().run(&any_reply(), check).unwrap();
    assert!(
        readable.get() > 50,
        "only {} replies were readable",
        readable.get()
    );
}

#[test]
fn rows_come_out_as_they_went_in() {
    let strategy = vec((".{0,12}", vec(any::<u8>(), 0..32), 1..u64::MAX), 0..8);
    let check = |entries: Vec<(String, Vec<u8>, u64)>| {
        let rows: Vec<Row> = entries
            .iter()
            .map(|(key, value, revision)| row(key, value, *revision))
            .collect();
        let response = RangeResponse {
            kvs: rows.iter().map(KeyValue::from).collect(),
            ..RangeResponse::default()
        };
        let text = serde_json::to_string(&response).unwrap();
        let read: RangeResponse = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(read.rows(), Ok(rows));
        Ok(())
    };
    runner().run(&strategy, check).unwrap();
}

#[test]
fn an_instance_list_of_any_shape_is_read_or_refused() {
    let check = |list: Value| {
        let Ok(reading) = sd::read(list.to_string().as_bytes()) else {
            return Ok(());
        };
        let named = |listing: &Listing| !listing.name.is_empty() && !listing.zone.is_empty();
        prop_assert!(reading.listings.iter().all(named));
        Ok(())
    };
    let strategy = vec(any_json(), 0..4).prop_map(Value::from);
    runner().run(&strategy, check).unwrap();
}

#[test]
fn listings_come_out_as_they_went_in() {
    let roles = prop::sample::select(vec![Role::Entry, Role::Engine, Role::Service]);
    let states = prop::sample::select(vec![State::Live, State::Leaving, State::Terminated]);
    let names = ("[a-z0-9-]{1,12}", "[a-z]{1,3}");
    let fields = (names, roles, any::<([u8; 4], u16)>(), states);
    let listing = fields.prop_map(|((name, zone), role, address, state)| Listing {
        name: name.into(),
        role,
        address: address.into(),
        zone: zone.into(),
        state,
    });
    let check = |listings: Vec<Listing>| {
        let groups: Vec<sd::Group> = listings.iter().map(sd::Group::from).collect();
        let reading = sd::read(&serde_json::to_vec(&groups).unwrap()).unwrap();
        prop_assert_eq!(reading.listings, listings);
        prop_assert!(reading.skipped.is_empty());
        Ok(())
    };
    runner().run(&vec(listing, 0..6), check).unwrap();
}

// Symptom: a backend server that is leaving still gets work. Sequence: the list has one entry that
// cannot be read. Cause: the whole list was thrown away for it.
#[test]
fn a_malformed_entry_hides_no_other() {
    let list = json!([
        {"targets": ["127.0.0.1:1"], "labels": {"job": "somebody else's"}},
        {"targets": ["no address"], "labels": {"name": "a", "role": "engine", "zone": "z", "state": "live"}},
        {"targets": ["127.0.0.1:2"], "labels": {"name": "b", "role": "engine", "zone": "z", "state": "gone"}},
        {"targets": ["127.0.0.1:3"], "labels": {"name": "c", "role": "engine", "zone": "z", "state": "leaving"}},
    ]);

    let reading = sd::read(list.to_string().as_bytes()).unwrap();

    assert_eq!(reading.listings.len(), 1);
    assert_eq!(reading.listings[0].name, Arc::from("c"));
    assert_eq!(reading.listings[0].state, State::Leaving);
    assert_eq!(reading.skipped.len(), 2);
}
