//! Property tests of merges, stored rows and chunks over random edits. The seeds are fixed, so every run tests
//! the same cases.

mod fixture;

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::Row;
use fescuewell_document::chunk::{Assembly, split};
use fescuewell_document::difference::{compare, merge, merge_preferring_mine};
use fescuewell_document::head::{Head, Proposal, accept};
use fescuewell_document::item;
use fescuewell_document::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of groups that the edits may change.
const GROUPS: usize = 4;

/// A small edit that can be applied to any document.
#[derive(Debug, Clone)]
enum Edit {
    Prepaid(usize, u64),
    Weight(usize, u32),
    Reach(usize, bool),
    Remove(usize),
    Add(u8),
    AddKey(u8),
}

fn edits() -> impl Strategy<Value = Vec<Edit>> {
    let index = 0..GROUPS;
    let edit = prop_oneof![
        (index.clone(), 1..9u64).prop_map(|(at, value)| Edit::Prepaid(at, value * 1_000)),
        (index.clone(), 1..9u32).prop_map(|(at, value)| Edit::Weight(at, value)),
        (index.clone(), any::<bool>()).prop_map(|(at, value)| Edit::Reach(at, value)),
        index.prop_map(Edit::Remove),
        (0..3u8).prop_map(Edit::Add),
        (0..3u8).prop_map(Edit::AddKey),
    ];
    prop::collection::vec(edit, 0..4)
}

fn edited(base: &Document, edits: &[Edit]) -> Document {
    let mut document = base.clone();
    for edit in edits {
        apply(&mut document, edit);
    }
    document
}

fn group(document: &mut Document, index: usize) -> Option<&mut Group> {
    let name = format!("salon-{index:05}");
    document
        .groups
        .iter_mut()
        .find(|group| *group.name == *name)
}

fn apply(document: &mut Document, edit: &Edit) {
    match edit {
        Edit::Prepaid(at, value) => {
            if let Some(group) = group(document, *at) {
                group.prepaid = Tokens(*value);
            }
        }
        Edit::Weight(at, value) => {
            if let Some(group) = group(document, *at) {
                group.weight = *value;
            }
        }
        Edit::Reach(at, first) => {
            if let Some(group) = group(document, *at) {
                let name = if *first { "engine-2" } else { "engine-3" };
                group.reach.retain(|known| **known != *name);
            }
        }
        Edit::Remove(at) => {
            let name = format!("salon-{at:05}");
            document.groups.retain(|group| *group.name != *name);
        }
        Edit::Add(number) => {
            let name = format!("new-{number}");
            if document.groups.iter().all(|group| *group.name != *name) {
                document.groups.push(fixture::group(&name, 1));
            }
        }
        Edit::AddKey(number) => {
            let hash = fescuewell_document::key::hash_key(&number.to_string());
            let keys = &mut document.accounts[0].keys;
            if keys.iter().all(|key| key.hash != hash) {
                let name = format!("key-{number}").into();
                keys.push(Key { name, hash });
            }
        }
    }
}

fn sorted(document: &Document) -> Document {
    let mut sorted = document.clone();
    item::sort(&mut sorted);
    for account in &mut sorted.accounts {
        account.keys.sort_by(|a, b| a.name.cmp(&b.name));
    }
    sorted
}

fn runner(seed: u8) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn a_merge_is_the_same_from_both_sides_and_loses_nothing() {
    let base = fixture::large_document(GROUPS, 0);
    let property = |(left, right): (Vec<Edit>, Vec<Edit>)| {
        let (left, right) = (edited(&base, &left), edited(&base, &right));
        let forward = merge(&base, &left, &right).map(|merged| sorted(&merged));
        let backward = merge(&base, &right, &left).map(|merged| sorted(&merged));
        prop_assert_eq!(forward.is_ok(), backward.is_ok());
        let (kept, conflicts) = merge_preferring_mine(&base, &left, &right);
        prop_assert_eq!(conflicts.is_empty(), forward.is_ok());
        // The result that is shown to the operator contains all of their changes.
        for change in compare(&base, &left) {
            let lost_changes = compare(&kept, &left);
            let same_item = |lost: &&_| {
                let lost: &fescuewell_document::difference::Change = lost;
                (lost.section, &lost.name) == (change.section, &change.name)
            };
            let lost = lost_changes.iter().find(same_item);
            for field in lost.iter().flat_map(|lost| &lost.fields) {
                let mine = change.fields.iter().find(|mine| mine.field == field.field);
                prop_assert!(mine.is_none(), "{field} of {} was lost", change.name);
            }
        }
        if let (Ok(forward), Ok(backward)) = (forward, backward) {
            prop_assert_eq!(forward, backward);
        }
        Ok(())
    };
    runner(3).run(&(edits(), edits()), property).unwrap();
}

#[test]
fn a_change_is_assembled_from_known_objects_and_the_new_ones_alone() {
    let base = fixture::large_document(300, 40);
    let known = split(&base);
    let property = |edits: Vec<Edit>| {
        let changed = edited(&base, &edits);
        let bundle = split(&changed);
        let mut assembly = Assembly::start(bundle.root)
            .with_known(&known.objects)
            .unwrap();
        while let Some(name) = assembly.missing().first() {
            prop_assert!(!known.objects.contains_key(name));
            assembly.supply(name, &bundle.objects[name]).unwrap();
        }
        let mut expected = changed.clone();
        item::sort(&mut expected);
        prop_assert_eq!(assembly.finish().unwrap(), expected);
        prop_assert_eq!(assembly.into_bundle(), bundle);
        Ok(())
    };
    runner(4).run(&edits(), property).unwrap();
}

#[test]
fn arbitrary_rows_are_refused_and_never_panic() {
    let before = fixture::document();
    let mut after = before.clone();
    after.groups[0].prepaid = Tokens(1);
    let bytes = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..60),
        "\\{\"(prepaid|spent|grants|version|root)\":(-1|1e9|\\[\\]|\\{\"a\":[0-9]\\}|\"x\")\\}"
            .prop_map(String::into_bytes),
    ];
    let property = |bytes: Vec<u8>| {
        let value: Arc<[u8]> = bytes.into();
        let row = |key: &str| Row {
            key: key.into(),
            value: value.clone(),
            revision: 3,
        };
        prop_assert!(Head::decode(&row("head")).is_err());
        let proposal = Proposal {
            base_version: Version(0),
            before: &before,
            after: &after,
            author: "ana".into(),
            change: "c".into(),
            accepted_at_unix: 0,
        };
        let result = accept(None, &proposal, &[row("budget/signwise")]);
        let readable =
            serde_json::from_slice::<serde_json::Value>(&value).is_ok_and(|row| row.is_object());
        prop_assert!(readable || result.is_err());
        Ok(())
    };
    runner(5).run(&bytes, property).unwrap();
}
