//! Tests of Server-Sent Events in random chunks, JSON depth, and the encoding of refusals.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fescuewell_core::prelude::*;
use fescuewell_http::depth;
use fescuewell_http::refusal::refusal_response;
use fescuewell_http::sse::{Decoder, Error, Event};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MAX_EVENT_BYTES: usize = 1 << 20;

/// Creates a test runner with a fixed seed, so that every run tries the same cases.
fn runner() -> TestRunner {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

fn event() -> impl Strategy<Value = Event> {
    let field = proptest::option::of("[a-z0-9:é ]{0,6}x");
    (field.clone(), field, "[a-z:é \n\r]{0,40}").prop_map(|(id, name, data)| Event {
        id: id.map(Into::into),
        name: name.map(Into::into),
        data: data.into(),
    })
}

/// Splits `bytes` at the given offsets, taken modulo its length plus one.
fn chunks<'a>(bytes: &'a [u8], offsets: &[usize]) -> Vec<&'a [u8]> {
    let mut boundaries: Vec<usize> = offsets
        .iter()
        .map(|offset| offset % (bytes.len() + 1))
        .collect();
    boundaries.extend([0, bytes.len()]);
    boundaries.sort_unstable();
    boundaries
        .windows(2)
        .map(|pair| &bytes[pair[0]..pair[1]])
        .collect()
}

fn decode(chunks: &[&[u8]]) -> Vec<Event> {
    let mut decoder = Decoder::new(MAX_EVENT_BYTES);
    let mut events = Vec::new();
    for chunk in chunks {
        decoder.push(chunk, &mut events).unwrap();
    }
    events
}

/// Returns the event as a decoder reads it: each line ending in the data becomes a line feed.
fn normalize(mut event: Event) -> Event {
    let text = String::from_utf8(event.data.to_vec()).unwrap();
    event.data = Bytes::from(text.replace("\r\n", "\n").replace('\r', "\n"));
    // The encoder writes one space after the colon and the decoder removes one, so leading spaces of an id stay.
    event
}

#[test]
fn events_written_are_read_back_whatever_the_pieces() {
    // Guards against lost, duplicated or corrupted tokens when chunks end at any byte, including between CR and
    // LF or within a UTF-8 character.
    let cases = (vec(event(), 0..8), vec(any::<usize>(), 0..12));
    let result = runner().run(&cases, |(events, offsets)| {
        let mut text = BytesMut::new();
        for event in &events {
            event.write(&mut text);
        }
        let expected: Vec<Event> = events.into_iter().map(normalize).collect();
        prop_assert_eq!(decode(&chunks(&text, &offsets)), expected);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn any_bytes_split_alike_whole_and_in_pieces() {
    let byte = prop_oneof![
        Just(b'\n'),
        Just(b'\r'),
        Just(b':'),
        Just(b' '),
        Just(b'd'),
        Just(0xef),
        any::<u8>()
    ];
    let line = prop_oneof![
        vec(byte, 0..12),
        Just(b"data: x\n".to_vec()),
        Just(b"data\r\n\r\n".to_vec()),
        Just(b"id: 4\n\n".to_vec()),
    ];
    let cases = (vec(line, 0..12), vec(any::<usize>(), 0..12));
    let result = runner().run(&cases, |(lines, offsets)| {
        let bytes = lines.concat();
        prop_assert_eq!(decode(&chunks(&bytes, &offsets)), decode(&[&bytes]));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn reads_the_forms_of_the_standard() {
    let cases: [(&str, Vec<Event>); 7] = [
        (": comment\n\n", vec![]),
        ("\u{feff}data: a\n\n", vec![Event::data("a")]),
        ("data:a\ndata: b\n\n", vec![Event::data("a\nb")]),
        (
            "data\n\ndata\ndata\n\n",
            vec![Event::data(""), Event::data("\n")],
        ),
        ("id: 1\n\ndata: a\n\n", vec![Event::data("a")]),
        (
            "event: e\rdata: a\r\rdata: b",
            vec![Event::data("a").with_name("e")],
        ),
        ("retry: 5\nother: 1\ndata:  a\n\n", vec![Event::data(" a")]),
    ];
    for (text, expected) in cases {
        assert_eq!(decode(&[text.as_bytes()]), expected, "{text:?}");
    }
}

#[test]
fn an_event_that_never_ends_is_given_up() {
    // Guards against a server that exhausts the memory with data lines, or one line, of an event that never ends.
    for part in ["data: xxxxxxxxxxxxxx\n", "xxxxxxxxxxxxxxxx"] {
        let mut decoder = Decoder::new(1_000);
        let mut events = Vec::new();
        let outcome = (0..1_000).try_for_each(|_| decoder.push(part.as_bytes(), &mut events));
        assert_eq!(outcome, Err(Error::TooLarge { max: 1_000 }));
    }
}

#[test]
fn a_field_cannot_forge_another_event() {
    let forged = Event::data("a").with_id("1\ndata: forged\n\n").to_bytes();
    assert_eq!(decode(&[&forged]), [Event::data("a")]);
}

#[test]
fn a_stream_may_end_between_events_only() {
    let mut decoder = Decoder::new(MAX_EVENT_BYTES);
    let mut events = Vec::new();
    for (part, between) in [
        ("data: a", false),
        ("\n", false),
        ("\n", true),
        ("id: 1\n", false),
    ] {
        decoder.push(part.as_bytes(), &mut events).unwrap();
        assert_eq!(decoder.is_between_events(), between, "{part:?}");
    }
}

#[test]
fn depth_agrees_with_a_parser_on_random_json() {
    let leaf = prop_oneof![
        Just(serde_json::json!(null)),
        any::<i32>().prop_map(Into::into),
        "[\\[\\]{}\"\\\\a]{0,8}".prop_map(serde_json::Value::String),
    ];
    let json = leaf.prop_recursive(6, 64, 4, |inner| {
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(serde_json::Value::Array),
            vec(("[\\[{\"]{0,3}", inner), 0..4)
                .prop_map(|entries| serde_json::Value::Object(entries.into_iter().collect())),
        ]
    });
    let result = runner().run(&json, |json| {
        let text = json.to_string();
        let deep = depth_of(&json);
        prop_assert!(depth::check(text.as_bytes(), deep).is_ok());
        prop_assert!(deep == 0 || depth::check(text.as_bytes(), deep - 1).is_err());
        Ok(())
    });
    result.unwrap();
}

fn depth_of(json: &serde_json::Value) -> usize {
    let inner = match json {
        serde_json::Value::Array(items) => items.iter().map(depth_of).max(),
        serde_json::Value::Object(entries) => entries.values().map(depth_of).max(),
        _ => return 0,
    };
    1 + inner.unwrap_or(0)
}

#[test]
fn a_body_of_brackets_is_refused_without_recursion() {
    // Guards against a request that aborts the process: a body of millions of opening brackets overflows the
    // stack of a parser that recurses once per bracket.
    let body = vec![b'['; 4_000_000];
    let refused = depth::check(&body, 64).unwrap_err();
    assert_eq!((refused.offset, refused.max), (64, 64));
}

#[test]
fn retry_after_is_rounded_up_and_never_zero() {
    for (millis, seconds) in [(0, "1"), (1, "1"), (1_000, "1"), (1_001, "2")] {
        let wait = Duration::from_millis(millis);
        let refusal = Refusal::new(Code::QueueFull).with_retry_after(wait);
        let response = refusal_response(&refusal);
        assert_eq!(response.headers()["retry-after"], seconds);
    }
}

#[test]
fn every_code_has_a_status_and_says_whether_the_request_ran() {
    for code in Code::ALL {
        let response = refusal_response(&Refusal::new(*code));
        let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
        assert_eq!(response.status().as_u16(), code.status());
        assert_eq!(body["error"]["code"], code.number());
        assert_eq!(body["error"]["message"], code.text());
        let run = serde_json::to_value(code.run()).unwrap();
        assert_eq!(body["error"]["run"], run);
    }
}
