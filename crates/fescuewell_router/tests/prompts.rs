//! Tests of model requests as they are read and passed on.

use bytes::Bytes;
use fescuewell_core::code::Code;
use fescuewell_router::chat::{Path, Prompt};
use serde_json::{Value, json};

fn read(body: &str) -> Result<Prompt, Code> {
    let prompt = Prompt::read(Path::Chat, &Bytes::copy_from_slice(body.as_bytes()));
    prompt.map_err(|refusal| refusal.code)
}

/// Returns a body with these fields beside model and messages.
fn with(fields: &str) -> String {
    format!(r#"{{"model":"m","messages":[{{"role":"user","content":"a"}}]{fields}}}"#)
}

/// Guards against fields that are lost or changed on their way to the backend server.
#[test]
fn fields_that_are_not_interpreted_are_passed_on() {
    let body = with(r#","seed":7,"ex\u0074ra":{"b":[1.50,"\u00e9"],"a":null},"max_tokens":9"#);
    let prompt = read(&body).unwrap();

    let passed_on: Value = serde_json::from_slice(&prompt.upstream_body(5, 2, "salt")).unwrap();

    let expected = json!({
        "model": "m", "messages": [{"role": "user", "content": "a"}], "seed": 7,
        "extra": {"b": [1.5, "é"], "a": null}, "stream": true,
        "stream_options": {"include_usage": true}, "max_tokens": 5, "priority": 2, "cache_salt": "salt",
    });
    assert_eq!(passed_on, expected);
    assert_eq!(prompt.output_limit, Some(9));
}

/// Guards against a backend server that takes the other one of two fields with the same name.
#[test]
fn interpreted_fields_that_occur_twice_are_refused() {
    let image =
        r#"{"type":"image_url","image_url":{"url":"data:x"},"image_url":{"url":"http://x"}}"#;
    let part = format!(r#"{{"model":"m","messages":[{{"role":"user","content":[{image}]}}]}}"#);

    assert_eq!(
        read(&with(r#","n":1,"n":2"#)).err(),
        Some(Code::MalformedRequest)
    );
    assert_eq!(
        read(&with(r#","max_tokens":1,"max_tokens":9"#)).err(),
        Some(Code::MalformedRequest)
    );
    assert_eq!(read(&part).err(), Some(Code::InvalidField));
}

/// Guards against fields that are read in another way than by the tree of values that was built before.
#[test]
fn absent_fields_and_null_are_the_same() {
    for fields in [
        "",
        r#","n":null,"stream":null,"max_tokens":null,"stream_options":null"#,
    ] {
        let prompt = read(&with(fields)).unwrap();

        assert!(!prompt.stream && !prompt.include_usage);
        assert_eq!(prompt.output_limit, None);
    }
    let usage = read(&with(r#","stream_options":{"include_usage":true}"#)).unwrap();
    assert!(usage.include_usage);
}

#[test]
fn what_is_no_request_is_refused() {
    let bodies = [
        ("[]", Code::MalformedRequest),
        (r#"["m"]"#, Code::MalformedRequest),
        (r#"{"model":"m""#, Code::MalformedRequest),
        (r#"{"model":1}"#, Code::InvalidField),
        (r#"{"model":"m","messages":[]}"#, Code::InvalidField),
        (r#"{"model":"m","messages":["a"]}"#, Code::InvalidField),
        (
            r#"{"model":"m","messages":[["user","a"]]}"#,
            Code::InvalidField,
        ),
        (
            r#"{"model":"m","messages":[{"role":1}]}"#,
            Code::InvalidField,
        ),
    ];
    for (body, code) in bodies {
        assert_eq!(read(body).err(), Some(code), "{body}");
    }
    assert_eq!(read(&with(r#","n":1.0"#)).err(), Some(Code::InvalidField));
    assert_eq!(
        read(&with(r#","max_tokens":-1"#)).err(),
        Some(Code::InvalidField)
    );
}
