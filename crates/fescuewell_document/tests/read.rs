//! Tests of reading and validating documents: every fault includes its location.

mod fixture;

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_document::check::check;
use fescuewell_document::parse::{MAX_NESTING, MAX_TEXT_BYTES, Position, read, read_document};
use fescuewell_document::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn paths(document: &Document) -> Vec<Arc<str>> {
    check(document).into_iter().map(|f| f.path).collect()
}

fn text_of(document: &Document) -> String {
    serde_json::to_string_pretty(document).unwrap()
}

#[test]
fn a_valid_document_with_comments_is_read_whole() {
    let text = format!("// Handsign\n{}\n/* end */", text_of(&fixture::document()));
    assert_eq!(read_document(&text).unwrap(), fixture::document());
}

#[test]
fn faults_of_the_checks_carry_line_and_column() {
    let text =
        "{\n  \"kinds\": [\n    {\"name\": \"a/b\", \"priority\": 0, \"deadline_ms\": 1}\n  ]\n}";
    let faults = read_document(text).unwrap_err();
    assert_eq!(&*faults[0].path, "kinds[0].name");
    assert_eq!(
        faults[0].position,
        Some(Position {
            line: 3,
            column: 14
        })
    );
}

#[test]
fn an_unknown_key_is_refused_with_the_nearest_known_one() {
    let text = text_of(&fixture::document()).replace("\"weight\"", "\"wieght\"");
    let faults = read_document(&text).unwrap_err();
    assert_eq!(&*faults[0].path, "groups[0]");
    assert!(faults[0].message.contains("unknown key `wieght`"));
    let suggestion = faults[0].suggestion.as_deref().unwrap();
    assert!(
        suggestion.starts_with("did you mean `weight`?"),
        "{suggestion}"
    );
}

#[test]
fn a_wrong_type_names_the_field() {
    let text = text_of(&fixture::document()).replace("\"repeatable\": false", "\"repeatable\": 0");
    let fault = &read_document(&text).unwrap_err()[0];
    assert_eq!(&*fault.path, "services[0].calls[0].repeatable");
    assert!(fault.message.contains("boolean"), "{}", fault.message);
}

#[test]
fn an_unknown_role_lists_what_is_allowed() {
    let text = text_of(&fixture::document()).replace("\"engine\"", "\"engin\"");
    let fault = &read_document(&text).unwrap_err()[0];
    assert_eq!(&*fault.path, "servers[0].role");
    let suggestion = fault.suggestion.as_deref().unwrap();
    assert!(suggestion.contains("`engine`") && suggestion.contains("service"));
}

#[test]
fn numbers_at_the_end_of_their_type_are_exact_and_beyond_it_refused() {
    assert_eq!(read::<u64>("18446744073709551615"), Ok(u64::MAX));
    assert!(read::<u64>("18446744073709551616").is_err());
    assert!(read::<u8>("-1").is_err());
    assert!(read::<f64>("1e999").is_err());
}

#[test]
fn a_key_that_stands_twice_is_refused() {
    // Guards against duplicate keys of which the parser silently keeps only the last: an operator would edit
    // the other one, e.g. a group's total, without effect.
    let text = r#"{"kinds": [], "kinds": []}"#;
    let fault = &read_document(text).unwrap_err()[0];
    assert!(
        fault.message.contains("duplicate key `kinds`"),
        "{}",
        fault.message
    );
}

#[test]
fn deep_and_large_texts_are_refused_without_reading_them() {
    // Guards against a stack overflow or memory exhaustion by a malicious upload, such as thousands of opening
    // brackets or an endless body, if recursion and size are unlimited.
    let deep = format!(
        "{}{}",
        "[".repeat(MAX_NESTING + 1),
        "]".repeat(MAX_NESTING + 1)
    );
    let fault = read::<serde_json::Value>(&deep).unwrap_err();
    assert!(fault.message.contains("nested deeper"), "{}", fault.message);
    let hostile = "[".repeat(1_000_000);
    assert!(read::<serde_json::Value>(&hostile).is_err());
    let large = " ".repeat(MAX_TEXT_BYTES + 1);
    assert!(
        read::<serde_json::Value>(&large)
            .unwrap_err()
            .message
            .contains("bytes")
    );
}

#[test]
fn the_fixture_passes_every_check() {
    assert_eq!(check(&fixture::document()), vec![]);
    assert_eq!(check(&fixture::large_document(22_000, 1_200)), vec![]);
}

#[test]
fn every_dangling_reference_is_found() {
    let mut document = fixture::document();
    document.groups[0].reach = vec!["engine-9".into()];
    document.accounts[0].group = "nobody".into();
    document.accounts[0].default_kind = "nothing".into();
    document.models[0].base = Some("missing".into());
    document.servers[0].models = vec!["chat-smal".into(), "chat-small".into()];
    document.services[0].servers = vec!["desk-9".into()];
    document.services[0].calls[0].kind = "unheard".into();
    let expected: Vec<Arc<str>> = [
        "groups[0].reach[0]",
        "accounts[0].group",
        "accounts[0].default_kind",
        "models[0].base",
        "servers[0].models[0]",
        "services[0].servers[0]",
        "services[0].calls[0].kind",
    ]
    .into_iter()
    .map(Arc::from)
    .collect();
    assert_eq!(paths(&document), expected);
}

#[test]
fn names_that_stand_twice_are_found_in_every_section() {
    let mut document = fixture::document();
    let first = document.clone();
    document.kinds.push(first.kinds[0].clone());
    document.groups.push(first.groups[0].clone());
    document.accounts.push(first.accounts[0].clone());
    document.models.push(first.models[0].clone());
    document.servers.push(first.servers[0].clone());
    document.services.push(first.services[0].clone());
    let found = paths(&document);
    for path in [
        "kinds[2]",
        "groups[2]",
        "accounts[2]",
        "models[1]",
        "servers[2]",
        "services[1]",
    ] {
        let path: Arc<str> = format!("{path}.name").into();
        assert!(found.contains(&path), "{path} in {found:?}");
    }
}

/// Asserts that the check reports a fault at `path` after `edit` is applied to the valid document.
fn assert_fault(path: &str, edit: fn(&mut Document)) {
    let mut document = fixture::document();
    edit(&mut document);
    let found = paths(&document);
    assert!(found.iter().any(|at| &**at == path), "{path} in {found:?}");
}

#[test]
fn ranges_are_checked() {
    assert_fault("kinds", |d| d.kinds[0].floor_percent = 41);
    assert_fault("kinds[0].deadline_ms", |d| d.kinds[0].deadline_ms = 0);
    assert_fault("groups[0].prepaid", |d| {
        d.groups[0].prepaid = Tokens(u64::MAX)
    });
    assert_fault("groups[0].weight", |d| d.groups[0].weight = 0);
    assert_fault("groups[0].reach", |d| d.groups[0].reach.clear());
    assert_fault("groups[0].allowance.outage_seconds", |d| {
        d.groups[0].allowance.outage_seconds = 0
    });
    assert_fault("groups[0].allowance.share_percent", |d| {
        d.groups[0].allowance.share_percent = 101
    });
    assert_fault("groups[0].allowance.least", |d| {
        d.groups[0].allowance.min_draw = Tokens(0)
    });
    assert_fault("models[0].context_tokens", |d| {
        d.models[0].context_tokens = 0
    });
    assert_fault("models[0].default_output", |d| {
        d.models[0].default_output = 8_192
    });
    assert_fault("models[0].least_servers", |d| d.models[0].min_servers = 2);
    assert_fault("servers[0].concurrency", |d| d.servers[0].concurrency = 0);
    assert_fault("servers[0].zone", |d| d.servers[0].zone = "".into());
    assert_fault("servers[0].address", |d| d.servers[0].address.set_port(0));
    assert_fault("servers[1].address", |d| {
        d.servers[1].address = d.servers[0].address
    });
    assert_fault("servers[1].models", |d| {
        d.servers[1].models = vec!["chat-small".into()]
    });
    assert_fault("services[0].servers[0]", |d| {
        d.services[0].servers = vec!["engine-1".into()]
    });
    assert_fault("services[0].calls", |d| d.services[0].calls.clear());
    assert_fault("services[0].calls[0].price", |d| {
        d.services[0].calls[0].price = Tokens(u64::MAX)
    });
    assert_fault("accounts[0].keys[0].hash", |d| {
        d.accounts[0].keys[0].hash = "ABC".into()
    });
}

#[test]
fn one_key_on_two_accounts_is_refused() {
    // Guards against a group that pays for the requests of another: if a key is copied to a second account, the
    // lookup by hash finds either account.
    assert_fault("accounts[1].keys[0].hash", |d| {
        d.accounts[1].keys = d.accounts[0].keys.clone()
    });
}

#[test]
fn an_adapter_of_an_adapter_or_of_itself_is_refused() {
    assert_fault("models[0].base", |d| {
        d.models[0].base = Some(d.models[0].name.clone())
    });
}

#[test]
fn arbitrary_text_never_panics_the_reader() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let valid = text_of(&fixture::document());
    let splice = (0..valid.len(), any::<u8>(), "\\PC{0,8}");
    TestRunner::new_with_rng(config, rng)
        .run(&splice, |(at, length, inserted)| {
            let mut bytes = valid.clone().into_bytes();
            let end = (at + usize::from(length)).min(bytes.len());
            bytes.splice(at..end, inserted.bytes());
            let text = String::from_utf8_lossy(&bytes).into_owned();
            if let Err(faults) = read_document(&text) {
                prop_assert!(!faults.is_empty());
            }
            Ok(())
        })
        .unwrap();
}
