//! Server-Sent Events in random pieces, JSON depth, and the form of refusals.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fescuewell_core::prelude::*;
use fescuewell_http::depth;
use fescuewell_http::refusal::refusal_response;
use fescuewell_http::sse::{Decoder, Error, Event};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const LARGE: usize = 1 << 20;

/// A runner that tries the same cases every time.
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

/// Cuts `bytes` at the given places, taken modulo its length.
fn pieces<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut places: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    places.extend([0, bytes.len()]);
    places.sort_unstable();
    places
        .windows(2)
        .map(|pair| &bytes[pair[0]..pair[1]])
        .collect()
}

fn split(pieces: &[&[u8]]) -> Vec<Event> {
    let mut decoder = Decoder::new(LARGE);
    let mut events = Vec::new();
    for piece in pieces {
        decoder.push(piece, &mut events).unwrap();
    }
    events
}

/// What a reader makes of the data: each line ending becomes a line feed.
fn read_back(mut event: Event) -> Event {
    let text = String::from_utf8(event.data.to_vec()).unwrap();
    event.data = Bytes::from(text.replace("\r\n", "\n").replace('\r', "\n"));
    // One leading space of an id belongs to the form, and one is written; any further one stays.
    event
}

#[test]
fn events_written_are_read_back_whatever_the_pieces() {
    // Symptom: a token is lost, doubled or garbled. Sequence: an event's text arrives in pieces that end anywhere,
    // also between a carriage return and its line feed or within a character.
    let cases = (vec(event(), 0..8), vec(any::<usize>(), 0..12));
    let result = runner().run(&cases, |(events, cuts)| {
        let mut text = BytesMut::new();
        for event in &events {
            event.write(&mut text);
        }
        let expected: Vec<Event> = events.into_iter().map(read_back).collect();
        prop_assert_eq!(split(&pieces(&text, &cuts)), expected);
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
    let result = runner().run(&cases, |(lines, cuts)| {
        let bytes = lines.concat();
        prop_assert_eq!(split(&pieces(&bytes, &cuts)), split(&[&bytes]));
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
        assert_eq!(split(&[text.as_bytes()]), expected, "{text:?}");
    }
}

#[test]
fn an_event_that_never_ends_is_given_up() {
    // Symptom: memory fills. Sequence: a server sends data lines, or one line, without ever ending the event.
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
    assert_eq!(split(&[&forged]), [Event::data("a")]);
}

#[test]
fn a_stream_may_end_between_events_only() {
    let mut decoder = Decoder::new(LARGE);
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
        let deep = levels(&json);
        prop_assert!(depth::check(text.as_bytes(), deep).is_ok());
        prop_assert!(deep == 0 || depth::check(text.as_bytes(), deep - 1).is_err());
        Ok(())
    });
    result.unwrap();
}

fn levels(json: &serde_json::Value) -> usize {
    let inner = match json {
        serde_json::Value::Array(items) => items.iter().map(levels).max(),
        serde_json::Value::Object(entries) => entries.values().map(levels).max(),
        _ => return 0,
    };
    1 + inner.unwrap_or(0)
}

#[test]
fn a_body_of_brackets_is_refused_without_recursion() {
    // Symptom: one request ends the whole process. Sequence: a body of millions of opening brackets. Cause: a
    // parser that recurses once for each.
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
