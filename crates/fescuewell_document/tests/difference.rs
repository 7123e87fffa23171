//! Tests of textual differences and of merging concurrent edits.

mod fixture;

use fescuewell_core::prelude::*;
use fescuewell_document::difference::{Action, Conflict, compare, merge, merge_preferring_mine};
use fescuewell_document::prelude::*;

fn edited(edit: fn(&mut Document)) -> Document {
    let mut document = fixture::document();
    edit(&mut document);
    document
}

fn lines(after: &Document) -> Vec<String> {
    let changes = compare(&fixture::document(), after);
    changes.iter().map(ToString::to_string).collect()
}

#[test]
fn equal_documents_do_not_differ() {
    assert_eq!(lines(&fixture::document()), Vec::<String>::new());
}

#[test]
fn changes_name_item_and_field() {
    let after = edited(|d| {
        d.groups[0].prepaid = Tokens(20_000);
        d.groups[0].reach = vec!["desk-1".into(), "engine-2".into()];
        d.services[0].calls[0].price = Tokens(7);
        d.accounts.remove(1);
    });
    assert_eq!(
        lines(&after),
        [
            "groups/signwise: prepaid 10000 -> 20000; reach.engine-1 removed, was \"engine-1\"; \
             reach.engine-2 added as \"engine-2\"",
            "accounts/venues: removed",
            "services/bookings: calls.confirm.price 5 -> 7",
        ]
    );
}

#[test]
fn a_new_order_in_a_list_is_shown_as_such() {
    let after = edited(|d| d.groups[0].reach.reverse());
    let changes = compare(&fixture::document(), &after);
    assert_eq!(changes[0].action, Action::Changed);
    assert_eq!(&*changes[0].fields[0].field, "order of a list");
}

#[test]
fn edits_of_different_fields_are_joined() {
    let mine = edited(|d| {
        d.groups[0].weight = 3;
        d.groups[0].reach.push("engine-2".into());
        d.accounts[0].keys.remove(0);
    });
    let theirs = edited(|d| {
        d.groups[0].prepaid = Tokens(20_000);
        d.groups[0].reach.remove(0);
        d.kinds.remove(1);
    });
    let merged = merge(&fixture::document(), &mine, &theirs).unwrap();
    let expected = edited(|d| {
        d.groups[0].weight = 3;
        d.groups[0].prepaid = Tokens(20_000);
        d.groups[0].reach = vec!["desk-1".into(), "engine-2".into()];
        d.accounts[0].keys.remove(0);
        d.kinds.remove(1);
    });
    assert_eq!(merged, expected);
}

#[test]
fn two_top_ups_of_one_budget_clash() {
    // Guards against a lost top-up: two operators raise the same total from the same version, and the second
    // total overwrites the first unnoticed.
    let mine = edited(|d| d.groups[0].prepaid = Tokens(15_000));
    let theirs = edited(|d| d.groups[0].prepaid = Tokens(12_000));
    let conflicts = merge(&fixture::document(), &mine, &theirs).unwrap_err();
    assert_eq!(conflicts.len(), 1);
    let Conflict {
        field,
        base,
        mine,
        theirs,
        ..
    } = &conflicts[0];
    assert_eq!(&**field, "prepaid");
    let values = [base, mine, theirs].map(|side| side.as_deref().unwrap().to_owned());
    assert_eq!(values, ["10000", "15000", "12000"]);
}

#[test]
fn what_was_typed_is_kept_where_edits_clash() {
    // Guards against lost input: after a conflict, an operator must see their own values rather than the
    // accepted ones, or they have to fill in the form again.
    let mine = edited(|d| {
        d.groups[0].prepaid = Tokens(15_000);
        d.groups.remove(1);
    });
    let theirs = edited(|d| {
        d.groups[0].prepaid = Tokens(12_000);
        d.groups[0].weight = 4;
        d.groups[1].weight = 2;
    });
    let (kept, conflicts) = merge_preferring_mine(&fixture::document(), &mine, &theirs);
    assert_eq!(conflicts.len(), 2);
    assert_eq!(kept.groups.len(), 1);
    assert_eq!(
        (kept.groups[0].prepaid, kept.groups[0].weight),
        (Tokens(15_000), 4)
    );
}

#[test]
fn the_same_edit_twice_is_no_clash() {
    let mine = edited(|d| d.groups[0].prepaid = Tokens(15_000));
    assert_eq!(merge(&fixture::document(), &mine, &mine).unwrap(), mine);
}

#[test]
fn changing_what_the_other_removed_clashes() {
    let mine = edited(|d| d.groups[1].weight = 9);
    let theirs = edited(|d| {
        d.groups.remove(1);
    });
    for (mine, theirs) in [(&mine, &theirs), (&theirs, &mine)] {
        let conflicts = merge(&fixture::document(), mine, theirs).unwrap_err();
        assert_eq!(conflicts.len(), 1);
        assert_eq!(&*conflicts[0].name, "reef-relay");
        assert!(conflicts[0].mine.is_none() || conflicts[0].theirs.is_none());
    }
}

#[test]
fn two_different_additions_of_one_name_clash() {
    let mine = edited(|d| d.groups.push(fixture::group("brolga", 1)));
    let theirs = edited(|d| d.groups.push(fixture::group("brolga", 2)));
    let conflicts = merge(&fixture::document(), &mine, &theirs).unwrap_err();
    assert_eq!(&*conflicts[0].field, "prepaid");
}

#[test]
fn untouched_items_follow_the_other_side_also_at_full_size() {
    let base = fixture::large_document(2_000, 100);
    let mut mine = base.clone();
    mine.groups[7].weight = 5;
    let mut theirs = base.clone();
    theirs.groups.remove(9);
    theirs.accounts.push(fixture::account("late", "signwise"));
    let merged = merge(&base, &mine, &theirs).unwrap();
    assert_eq!(merged.groups[7].weight, 5);
    assert_eq!(merged.groups.len(), base.groups.len() - 1);
    assert_eq!(merged.accounts, theirs.accounts);
}
