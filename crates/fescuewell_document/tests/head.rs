//! Tests of accepting documents in one transaction with the prepaid totals.

mod fixture;

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{Compare, MAX_ENTRIES, Row, Transaction, Write};
use fescuewell_document::head::{
    Acceptance, Head, Proposal, Status, accept, changed_budgets, history_key,
};
use fescuewell_document::prelude::*;
use serde_json::{Value, json};

fn row(key: &str, revision: u64, value: &Value) -> Row {
    Row {
        key: key.into(),
        value: value.to_string().into_bytes().into(),
        revision,
    }
}

fn proposal<'a>(base: u64, before: &'a Document, after: &'a Document) -> Proposal<'a> {
    Proposal {
        base_version: Version(base),
        before,
        after,
        author: "ana".into(),
        change: "c0ffee".into(),
        accepted_at_unix: 1_000,
    }
}

fn first(document: &Document) -> Acceptance {
    accept(None, &proposal(0, &Document::default(), document), &[]).unwrap()
}

fn head_row(head: &Head, revision: u64) -> Row {
    Row {
        key: "head".into(),
        value: head.encode(),
        revision,
    }
}

fn written_value(transaction: &Transaction, key: &str) -> Option<Value> {
    transaction.writes.iter().find_map(|write| match write {
        Write::Put { key: found, value } if &**found == key => serde_json::from_slice(value).ok(),
        _ => None,
    })
}

fn compared_revision(transaction: &Transaction, key: &str) -> Option<u64> {
    let compare = transaction.compares.iter().find(|c| &*c.key == key)?;
    let Compare { revision, .. } = compare;
    Some(*revision)
}

/// Proposes the fixture with one changed total, based on version 1 and with one budget row.
fn top_up(prepaid: u64, budget: &Value) -> Result<Acceptance, Refusal> {
    let before = fixture::document();
    let mut after = before.clone();
    after.groups[0].prepaid = Tokens(prepaid);
    let head = head_row(&first(&before).head, 5);
    let budgets = [row("budget/signwise", 9, budget)];
    accept(Some(&head), &proposal(1, &before, &after), &budgets)
}

#[test]
fn the_first_document_creates_head_history_and_budgets() {
    let acceptance = first(&fixture::document());
    let transaction = &acceptance.transaction;
    for key in [
        "head",
        "history/000000000001",
        "budget/signwise",
        "budget/reef-relay",
    ] {
        assert_eq!(compared_revision(transaction, key), Some(0), "{key}");
    }
    let head = written_value(transaction, "head").unwrap();
    assert_eq!(head["version"], 1);
    assert_eq!(head["root"], acceptance.bundle.root.to_string());
    assert_eq!(
        Some(head),
        written_value(transaction, "history/000000000001")
    );
    let budget = written_value(transaction, "budget/signwise").unwrap();
    assert_eq!(budget, json!({"prepaid": 10_000, "spent": 0, "grants": {}}));
}

#[test]
fn a_top_up_keeps_everything_else_in_the_row() {
    // Guards against lost grants and thus tokens that are drawn twice: the console rewrites a row with fields of a
    // newer instance version from a type that lacks these fields.
    let budget = json!({
        "prepaid": 10_000, "spent": 10, "later": [1],
        "grants": {"entry-1.3": {"granted": 700, "draw": "d1", "extra": true}}
    });
    let acceptance = top_up(20_000, &budget).unwrap();
    let mut expected = budget;
    expected["prepaid"] = json!(20_000);
    let transaction = &acceptance.transaction;
    assert_eq!(
        written_value(transaction, "budget/signwise"),
        Some(expected)
    );
    assert_eq!(compared_revision(transaction, "budget/signwise"), Some(9));
    assert_eq!(compared_revision(transaction, "head"), Some(5));
    assert_eq!(written_value(transaction, "budget/reef-relay"), None);
}

#[test]
fn a_total_below_what_is_drawn_is_refused() {
    // Guards against a group that exceeds its budget: the total is reduced while allowances are granted, and it is
    // only compared with the spent tokens.
    let budget =
        json!({"prepaid": 10_000, "spent": 300, "grants": {"a.1": {"granted": 701, "draw": ""}}});
    assert_eq!(
        top_up(1_000, &budget).unwrap_err().code,
        Code::PrepaidBelowDrawn
    );
    assert!(top_up(1_001, &budget).is_ok());
}

#[test]
fn a_budget_row_that_cannot_be_read_is_a_fault_and_not_an_empty_budget() {
    for budget in [
        json!([]),
        json!({"spent": "many"}),
        json!({"grants": {"a.1": {}}}),
    ] {
        let refusal = top_up(20_000, &budget).unwrap_err();
        assert_eq!(refusal.code, Code::Internal, "{budget}");
    }
}

#[test]
fn an_edit_of_an_older_version_is_raced() {
    let document = fixture::document();
    let head = head_row(&first(&document).head, 5);
    let refusal = accept(
        Some(&head),
        &proposal(0, &Document::default(), &document),
        &[],
    )
    .unwrap_err();
    assert_eq!(refusal.code, Code::DocumentRaced);
}

#[test]
fn a_document_with_faults_is_never_accepted() {
    let mut document = fixture::document();
    document.groups[0].reach.clear();
    let refusal = accept(None, &proposal(0, &Document::default(), &document), &[]).unwrap_err();
    assert_eq!(refusal.code, Code::DocumentInvalid);
    assert!(
        refusal.message.contains("groups[0].reach"),
        "{}",
        refusal.message
    );
}

// Guards against endless retries of an acceptance that is too large for the store.
#[test]
fn totals_that_do_not_fit_one_transaction_are_refused_at_once() {
    let before = fixture::document();
    let mut after = before.clone();
    let group = after.groups[0].clone();
    for index in 0..MAX_ENTRIES {
        let mut more = group.clone();
        more.name = format!("group-{index}").into();
        after.groups.push(more);
    }
    let head = head_row(&first(&before).head, 5);

    let refusal = accept(Some(&head), &proposal(1, &before, &after), &[]).unwrap_err();

    assert_eq!(refusal.code, Code::DocumentInvalid);
    assert!(
        refusal.message.contains("At most 48"),
        "{}",
        refusal.message
    );
}

#[test]
fn removed_groups_keep_their_rows_and_returning_ones_meet_them() {
    let before = fixture::document();
    let mut after = before.clone();
    after.groups.remove(1);
    after.accounts.remove(1);
    assert_eq!(changed_budgets(&before, &after), vec![]);
    let back = changed_budgets(&after, &before);
    assert_eq!(back, vec![(Arc::from("budget/reef-relay"), Tokens(5_000))]);
}

#[test]
fn a_lost_reply_is_told_by_the_change_id() {
    // Guards against an edit that is reported as failed although it took effect, so that the operator repeats it and
    // it is refused or counted twice. The reply to the transaction is lost, another document may follow, and the
    // console can't recognize its own write.
    let document = fixture::document();
    let mine = first(&document);
    let head = head_row(&mine.head, 5);
    let mut other = mine.head.clone();
    other.change = "another".into();
    let competing = head_row(&other, 6);
    other.version = Version(2);
    let later = head_row(&other, 7);
    let status = |head, history| mine.status(head, history).unwrap();
    assert_eq!(status(None, None), Status::Pending);
    assert_eq!(status(Some(&head), Some(&head)), Status::Accepted);
    assert_eq!(status(Some(&later), Some(&head)), Status::Accepted);
    assert_eq!(status(Some(&later), Some(&competing)), Status::Raced);
    assert_eq!(status(Some(&competing), Some(&competing)), Status::Raced);
}

#[test]
fn history_keys_sort_by_version() {
    assert!(history_key(Version(9)) < history_key(Version(10)));
}
