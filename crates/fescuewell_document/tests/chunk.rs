//! Tests of splitting documents into objects and assembling them again.

mod fixture;

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_document::chunk::{
    Assembly, Bundle, Error, FORMAT, MAX_OBJECT_BYTES, Objects, split,
};
use fescuewell_document::item;
use fescuewell_document::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Fetches all objects of `bundle` that are not in `known`. Returns the document and the number of fetched bytes
/// and of rounds.
fn fetch(bundle: &Bundle, known: &Objects) -> (Document, usize, usize) {
    let mut assembly = Assembly::start(bundle.root).with_known(known).unwrap();
    let (mut bytes, mut rounds) = (0, 0);
    loop {
        let missing = assembly.missing();
        if missing.is_empty() {
            return (assembly.finish().unwrap(), bytes, rounds);
        }
        rounds += 1;
        for name in missing {
            let content = &bundle.objects[&name];
            bytes += content.len();
            assembly.supply(&name, content).unwrap();
        }
    }
}

fn sorted(document: &Document) -> Document {
    let mut sorted = document.clone();
    item::sort(&mut sorted);
    sorted
}

#[test]
fn a_document_comes_back_whole() {
    let document = fixture::document();
    let (back, ..) = fetch(&split(&document), &Objects::new());
    assert_eq!(back, sorted(&document));
}

#[test]
fn the_empty_document_is_one_object() {
    let bundle = split(&Document::default());
    assert_eq!(bundle.objects.len(), 1);
    assert_eq!(fetch(&bundle, &Objects::new()).0, Document::default());
}

#[test]
fn the_order_of_items_changes_nothing() {
    let document = fixture::large_document(200, 20);
    let mut other = document.clone();
    other.groups.reverse();
    other.accounts.reverse();
    assert_eq!(split(&document), split(&other));
}

#[test]
fn one_change_costs_a_few_kilobytes_at_full_size() {
    // Arrange: 22,000 groups and 1,200 accounts.
    let document = fixture::large_document(22_000, 1_200);
    let before = split(&document);
    let mut changed = document.clone();
    changed.groups[11_111].prepaid = Tokens(2_000_000);
    // Act.
    let after = split(&changed);
    let (back, bytes, rounds) = fetch(&after, &before.objects);
    // Assert.
    let total: usize = before.objects.values().map(|o| o.len()).sum();
    println!(
        "objects={} bytes={total} change_bytes={bytes} change_rounds={rounds}",
        before.objects.len()
    );
    assert_eq!(back, sorted(&changed));
    assert!(bytes < 6_000, "{bytes} bytes");
    assert!(rounds <= 5, "{rounds} rounds");
    let largest = before.objects.values().map(|o| o.len()).max();
    assert!(largest < Some(MAX_OBJECT_BYTES));
}

#[test]
fn adding_and_removing_a_group_gives_the_old_objects_back() {
    let document = fixture::large_document(500, 0);
    let mut grown = document.clone();
    grown.groups.push(fixture::group("newcomer", 1));
    assert_ne!(split(&grown).root, split(&document).root);
    grown.groups.pop();
    assert_eq!(split(&grown), split(&document));
}

#[test]
fn one_item_larger_than_an_object_is_cut_into_pieces() {
    let mut document = fixture::document();
    document.groups[0].reach = (0..2_000)
        .map(|i| format!("engine-{i:057}").into())
        .collect();
    let bundle = split(&document);
    assert!(bundle.objects.values().all(|o| o.len() < MAX_OBJECT_BYTES));
    assert_eq!(fetch(&bundle, &Objects::new()).0, sorted(&document));
}

#[test]
fn names_that_stand_twice_do_not_split_for_ever() {
    // Guards against a stack overflow in the console: if a document is split before it is validated, many items
    // may have the same name, and their equal hashes can't be distributed over several leaves.
    let mut document = fixture::document();
    document.groups = vec![fixture::group("same", 1); 500];
    let bundle = split(&document);
    assert_eq!(fetch(&bundle, &Objects::new()).0.groups.len(), 500);
}

#[test]
fn a_damaged_object_is_refused_and_asked_for_again() {
    // Guards against instances with different documents of the same version: a peer or the store returns corrupt
    // bytes, and the content is accepted without verifying its hash.
    let bundle = split(&fixture::document());
    let mut assembly = Assembly::start(bundle.root);
    let root = assembly.missing()[0].clone();
    let mut damaged = bundle.objects[&root].to_vec();
    damaged[5] ^= 1;
    assert_eq!(
        assembly.supply(&root, &damaged),
        Err(Error::Corrupt { name: root.clone() })
    );
    assert_eq!(assembly.missing(), vec![root]);
    assert_eq!(assembly.finish(), Err(Error::Incomplete { count: 1 }));
}

#[test]
fn a_newer_format_is_refused_for_its_number() {
    // Guards against an old instance that applies a partially decoded document during a rolling upgrade: a new
    // console writes a format that old instances can't read, and the number is missing or read too late.
    let bytes = format!(
        r#"R{{"format":{},"sections":{{"unheard":"00"}}}}"#,
        FORMAT + 1
    );
    let digest = Digest::of(bytes.as_bytes());
    let mut assembly = Assembly::start(digest);
    let result = assembly.supply(&digest.to_string(), bytes.as_bytes());
    assert_eq!(result, Err(Error::Format { found: FORMAT + 1 }));
}

#[test]
fn genuine_bytes_that_are_no_document_are_refused() {
    for bytes in [&b""[..], b"R{", b"Dshort", b"?", b"L\xff\xff\xff\xff\x0f"] {
        let digest = Digest::of(bytes);
        let mut assembly = Assembly::start(digest);
        let refused = assembly.supply(&digest.to_string(), bytes).is_err();
        assert!(refused || assembly.finish().is_err());
    }
}

#[test]
fn unasked_and_repeated_objects_are_ignored() {
    let bundle = split(&fixture::document());
    let mut assembly = Assembly::start(bundle.root);
    for _ in 0..2 {
        for (name, bytes) in &bundle.objects {
            assembly.supply(name, bytes).unwrap();
        }
    }
    assembly.supply("not a hash", b"x").unwrap();
    while let Some(name) = assembly.missing().first() {
        assembly.supply(name, &bundle.objects[name]).unwrap();
    }
    assert_eq!(assembly.finish().unwrap(), sorted(&fixture::document()));
}

#[test]
fn the_encoding_of_this_format_stays_what_it_was() {
    // Guards against instances that reject or misread the stored document after an upgrade: a field is added to
    // the model, which changes the encoding without field names, but the format number stays the same. If this
    // fails, increase FORMAT and keep the old types for reading.
    let root = split(&fixture::document()).root.to_string();
    assert_eq!(
        (FORMAT, root.as_str()),
        (1, "477d1e0cd7fd49712eb10294f5ced52f")
    );
}

#[test]
fn arbitrary_bytes_never_panic_the_decoder() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let tag = prop::sample::select(b"RDLPB?".to_vec());
    let content = prop::collection::vec(any::<u8>(), 0..200);
    TestRunner::new_with_rng(config, rng)
        .run(&(tag, content), |(tag, content)| {
            let bytes: Arc<[u8]> = [&[tag], content.as_slice()].concat().into();
            let leaf = Digest::of(&bytes);
            let root = format!(r#"R{{"format":1,"sections":{{"groups":"{leaf}"}}}}"#);
            let mut assembly = Assembly::start(Digest::of(root.as_bytes()));
            let name = assembly.missing()[0].clone();
            assembly.supply(&name, root.as_bytes()).unwrap();
            if assembly.supply(&leaf.to_string(), &bytes).is_ok() {
                let _ = assembly.finish();
            }
            Ok(())
        })
        .unwrap();
}
