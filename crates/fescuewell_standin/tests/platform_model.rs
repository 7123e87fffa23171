//! The store's client over loopback does what the in-memory table does.

use std::sync::Arc;

use fescuewell_adapter::product::connect;
use fescuewell_core::table::{Outcome, Range, Table, Transaction, Write};
use fescuewell_platform::memory;
use fescuewell_standin::platform::{Platform, Settings};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const KEYS: [&str; 5] = ["a", "a/1", "a/2", "b", "ü"];

#[derive(Debug, Clone)]
enum Operation {
    Commit(Transaction),
    Scan(Range),
    Read(Arc<str>),
}

fn key() -> impl Strategy<Value = Arc<str>> {
    prop::sample::select(KEYS.to_vec()).prop_map(Arc::from)
}

fn write() -> impl Strategy<Value = Write> {
    let put = (key(), vec(any::<u8>(), 0..6)).prop_map(|(key, value)| Write::Put {
        key,
        value: value.into(),
    });
    prop_oneof![3 => put, 1 => key().prop_map(|key| Write::Delete { key })]
}

fn operation() -> impl Strategy<Value = Operation> {
    let compares = vec((key(), 0..4u64), 0..3);
    let transaction = (compares, vec(write(), 0..4)).prop_map(|(compares, writes)| {
        let mut transaction = Transaction {
            writes,
            ..Transaction::default()
        };
        for (key, revision) in compares {
            transaction = transaction.with_compare(key, revision);
        }
        Operation::Commit(transaction)
    });
    let prefix = prop::sample::select(vec!["", "a", "a/", "b", "zz"]);
    let scan = (prefix, proptest::option::of(key()), 0..3u32).prop_map(|(prefix, after, limit)| {
        Operation::Scan(Range {
            prefix: prefix.into(),
            after,
            limit,
        })
    });
    prop_oneof![3 => transaction, 1 => scan, 1 => key().prop_map(Operation::Read)]
}

#[test]
fn the_client_does_what_the_in_memory_table_does() {
    let platform = Platform::start("127.0.0.1:0".parse().unwrap(), Settings::default()).unwrap();
    let services = connect(&platform.client_settings()).unwrap();
    let remote = &*services.table;
    let config = ProptestConfig {
        cases: 24,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);

    let check = |operations: Vec<Operation>| {
        clear(&platform, remote);
        let model = memory::Table::default();
        let base = revision(remote);
        for operation in operations {
            apply(remote, &model, base, operation)?;
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&vec(operation(), 1..16), check)
        .unwrap();
}

fn clear(platform: &Platform, remote: &dyn Table) {
    let mut transaction = Transaction::default();
    for row in platform.content().product() {
        transaction = transaction.with_delete(row.key);
    }
    remote.commit(&transaction).unwrap();
}

/// The remote table's revision: it goes on from case to case, while each case's model starts at 0.
fn revision(remote: &dyn Table) -> u64 {
    match remote.commit(&Transaction::default()).unwrap() {
        Outcome::Committed { revision } => revision,
        Outcome::Conflict { .. } => unreachable!("there was nothing to compare"),
    }
}

fn apply(
    remote: &dyn Table,
    model: &memory::Table,
    base: u64,
    operation: Operation,
) -> Result<(), TestCaseError> {
    match operation {
        Operation::Commit(transaction) => {
            let mut shifted = transaction.clone();
            for compare in &mut shifted.compares {
                if compare.revision > 0 {
                    compare.revision += base;
                }
            }
            let mut expected = model.commit(&transaction).unwrap();
            match &mut expected {
                Outcome::Committed { revision } => *revision += base,
                Outcome::Conflict { rows } => rows.iter_mut().for_each(|row| row.revision += base),
            }
            prop_assert_eq!(remote.commit(&shifted).unwrap(), expected);
        }
        Operation::Scan(range) => {
            let mut expected = model.scan(&range).unwrap();
            expected.iter_mut().for_each(|row| row.revision += base);
            prop_assert_eq!(remote.scan(&range).unwrap(), expected);
        }
        Operation::Read(key) => {
            let mut expected = model.read(&key).unwrap();
            expected.iter_mut().for_each(|row| row.revision += base);
            prop_assert_eq!(remote.read(&key).unwrap(), expected);
        }
    }
    Ok(())
}
