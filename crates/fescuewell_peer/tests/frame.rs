//! Tests of framing: any received bytes are either decoded to a message or rejected.

use fescuewell_peer::frame::{Error, MESSAGE_LIMIT, decode, encode};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

fn runner() -> TestRunner {
    let config = ProptestConfig {
        cases: 256,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn a_message_comes_out_as_it_went_in() {
    let strategy = vec(any::<u8>(), 0..2_000);
    let check = |payload: Vec<u8>| {
        let frame = encode(&payload).unwrap();
        prop_assert_eq!(frame.len(), payload.len() + 1);
        prop_assert_eq!(decode(frame), Ok(payload));
        Ok(())
    };
    runner().run(&strategy, check).unwrap();
}

#[test]
fn any_bytes_are_a_message_of_the_known_format_or_refused() {
    let strategy = vec(any::<u8>(), 0..64);
    let check = |frame: Vec<u8>| {
        let expected = match frame.split_first() {
            None => Err(Error::Empty),
            Some((1, payload)) => Ok(payload.to_vec()),
            Some((&format, _)) => Err(Error::Format { format }),
        };
        prop_assert_eq!(decode(frame), expected);
        Ok(())
    };
    runner().run(&strategy, check).unwrap();
}

#[test]
fn both_directions_keep_the_limit() {
    let max_message = vec![0; MESSAGE_LIMIT];
    let length = MESSAGE_LIMIT + 1;

    assert!(encode(&max_message).is_ok());
    assert_eq!(encode(&vec![0; length]), Err(Error::TooLarge { length }));
    assert_eq!(decode(vec![1; length + 1]), Err(Error::TooLarge { length }));
}
