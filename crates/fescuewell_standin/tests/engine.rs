//! The stand-in engine's interface: answers, resumption, cancels, records, orders.

mod common;

use std::time::Duration;

use common::*;
use fescuewell_http::upstream::Error;
use fescuewell_standin::engine::{Control, Engine, Settings};
use serde_json::{Value, json};

fn engine(settings: Settings) -> Engine {
    Engine::start(any_port(), settings).unwrap()
}

#[tokio::test]
async fn streams_an_answer_that_follows_from_prompt_and_id() {
    let engine = engine(Settings::quick());

    let mut stream = start(engine.address(), "one", &chat("hello", 30)).await;
    let heard = listen(&mut stream, u32::MAX).await;

    assert_eq!(stream.headers["x-request-id"], "one");
    assert_eq!(heard.text, expected("hello", "one", 30));
    assert_eq!(heard.ids, (1..=30).collect::<Vec<u32>>());
    assert_eq!(heard.finish.as_deref(), Some("length"));
    assert_eq!(heard.usage["completion_tokens"], 30);
    assert!(heard.done && heard.error.is_none());
}

#[tokio::test]
async fn answers_whole_with_the_same_text() {
    let engine = engine(Settings::quick());
    let mut body = chat("hello", 30);
    body["stream"] = json!(false);

    let headers = [("x-request-id", "one")];
    let (status, answer) = ask(
        engine.address(),
        "POST",
        "/v1/chat/completions",
        &headers,
        &body,
    )
    .await;

    assert_eq!(status, 200);
    let message = &answer["choices"][0]["message"]["content"];
    assert_eq!(message, &json!(expected("hello", "one", 30)));
    let total = answer["usage"]["prompt_tokens"].as_u64().unwrap() + 30;
    assert_eq!(answer["usage"]["total_tokens"], total);
}

#[tokio::test]
async fn a_broken_stream_is_resumed_without_a_gap_or_a_repeat() {
    // Symptom: a caller sees a word twice, or misses one. Sequence: the connection breaks after token 7; another
    // connection asks for what follows it, first while the engine still produces, then after the end.
    let engine = engine(Settings::quick());
    engine.control(&Control {
        drop_after_tokens: Some(7),
        ..Control::default()
    });

    let mut first = start(engine.address(), "one", &chat("hello", 40)).await;
    let before = listen(&mut first, u32::MAX).await;
    let mut second = resume(engine.address(), "one", before.last).await;
    let after = listen(&mut second, u32::MAX).await;
    let mut third = resume(engine.address(), "one", 38).await;
    let tail = listen(&mut third, u32::MAX).await;

    assert!(
        matches!(before.error, Some(Error::Closed { .. })),
        "{before:?}"
    );
    assert_eq!(before.last, 7);
    assert_eq!(before.text + &after.text, expected("hello", "one", 40));
    assert!(after.done);
    assert_eq!(tail.ids, [39, 40]);
    assert_eq!(engine.counters().runs["one"], 1);
}

#[tokio::test]
async fn an_id_never_runs_twice() {
    let engine = engine(Settings::quick());
    let mut stream = start(engine.address(), "one", &chat("hello", 5)).await;
    listen(&mut stream, u32::MAX).await;

    let again = start(engine.address(), "one", &chat("hello", 5)).await;

    assert_eq!(again.status, 409);
    let counters = engine.counters();
    assert_eq!((counters.runs["one"], counters.duplicates), (1, 1));
}

#[tokio::test]
async fn a_stream_that_nobody_reads_goes_on_then_pauses_and_can_be_resumed() {
    // Symptom: an engine computes for nobody for ever, or forgets a stream whose router died. Sequence: the
    // connection breaks; the engine goes on for a while, pauses, and is resumed by another connection.
    let engine = engine(Settings {
        detached: Duration::from_millis(20),
        ..Settings::quick()
    });
    let mut first = start(engine.address(), "one", &chat("hello", 5_000)).await;
    let before = listen(&mut first, 3).await;
    drop(first);

    let paused = eventually_get(engine.address(), "/v1/responses/one", |record| {
        record["status"] == "paused"
    });
    assert_eq!(paused.await["done"], false);
    let mut second = resume(engine.address(), "one", before.last).await;
    let after = listen(&mut second, before.last + 50).await;

    assert_eq!(after.ids[0], before.last + 1);
    let text = before.text + &after.text;
    assert_eq!(text, expected("hello", "one", after.last));
    assert_eq!(engine.counters().resumed, 1);
}

#[tokio::test]
async fn a_cancel_ends_the_stream_and_answers_the_final_usage() {
    let engine = engine(Settings::quick());
    let mut stream = start(engine.address(), "one", &chat("hello", 20_000)).await;
    listen(&mut stream, 3).await;

    let (status, record) = post(engine.address(), "/v1/responses/one/cancel", &Value::Null).await;
    let heard = listen(&mut stream, u32::MAX).await;
    let (_, again) = post(engine.address(), "/v1/responses/one/cancel", &Value::Null).await;

    assert_eq!((status, &record["done"]), (200, &json!(true)));
    assert_eq!(record["finish_reason"], "cancelled");
    assert_eq!(heard.usage, record["usage"]);
    assert!(heard.done);
    assert_eq!(again, record);
    eventually("the batch is empty", || engine.load() == (0, 0)).await;
}

#[tokio::test]
async fn records_carry_the_metadata_and_are_listed_by_holder() {
    let engine = engine(Settings::quick());
    let ids = ["fw.r1.a.1.x", "fw.r1.a.2.y", "fw.r1.ab.1.z"];
    for id in ids {
        let headers = [
            ("x-request-id", id),
            ("x-fescuewell-account", "brolga"),
            ("x-fescuewell-group", "reef"),
            ("x-fescuewell-hold", "120"),
        ];
        let request = request("POST", "/v1/chat/completions", &headers, &chat("hi", 3));
        let mut stream = open(engine.address(), request).await.unwrap();
        listen(&mut stream, u32::MAX).await;
    }

    let (_, list) = get(engine.address(), "/v1/responses?holder=r1.a").await;

    let records = list["data"].as_array().unwrap();
    let mut found: Vec<&str> = records.iter().filter_map(|r| r["id"].as_str()).collect();
    found.sort_unstable();
    assert_eq!(found, ids[..2]);
    assert_eq!(records[0]["metadata"]["group"], "reef");
    assert_eq!(records[0]["metadata"]["hold"], "120");
    assert_eq!(records[0]["usage"]["completion_tokens"], 3);
}

#[tokio::test]
async fn records_are_forgotten_after_their_retention() {
    let engine = engine(Settings {
        retention: Duration::from_millis(20),
        ..Settings::quick()
    });
    let mut stream = start(engine.address(), "one", &chat("hello", 3)).await;
    listen(&mut stream, u32::MAX).await;
    drop(stream);

    eventually_get(engine.address(), "/v1/responses/one", |answer| {
        answer["error"]["code"] == "no_such_response"
    })
    .await;

    // Still no second run: what ran is remembered longer than the record.
    let again = start(engine.address(), "one", &chat("hello", 3)).await;
    assert_eq!(again.status, 409);
}

#[tokio::test]
async fn a_frozen_engine_answers_its_health_while_streams_stall() {
    // Symptom: a backend server passes its health checks and no stream gets on (worse than a dead one).
    let engine = engine(Settings::quick());
    let mut stream = start(engine.address(), "one", &chat("hello", 20_000)).await;
    listen(&mut stream, 3).await;

    let (status, _) = post(engine.address(), "/control", &json!({"freeze": true})).await;
    let (health, _) = get(engine.address(), "/health").await;
    let (_, first) = get(engine.address(), "/v1/responses/one").await;
    let (_, second) = get(engine.address(), "/v1/responses/one").await;

    assert_eq!((status, health), (200, 200));
    assert_eq!(first["usage"], second["usage"]);
    engine.control(&Control {
        freeze: Some(false),
        ..Control::default()
    });
    let before = first["usage"]["completion_tokens"].as_u64().unwrap() as u32;
    listen(&mut stream, before + 3).await;
}

#[tokio::test]
async fn a_silenced_connection_delivers_nothing_while_new_ones_work() {
    // Symptom: an open connection goes silent for good while new ones work. The reader must give it up
    // by progress, and gets the rest on a new connection.
    let engine = engine(Settings::quick());
    let mut silent = start(engine.address(), "one", &chat("hello", 60)).await;
    let before = listen(&mut silent, 3).await;

    engine.control(&Control {
        silence_connections: true,
        ..Control::default()
    });
    let mut fresh = resume(engine.address(), "one", before.last).await;
    let after = listen(&mut fresh, u32::MAX).await;

    assert!(after.done);
    assert_eq!(before.text + &after.text, expected("hello", "one", 60));
}

#[tokio::test]
async fn lost_replies_and_refusals_tell_what_ran() {
    // Symptom: a router takes a lost reply for "not run". The engine's record says that it ran.
    let engine = engine(Settings::quick());
    engine.control(&Control {
        lose_replies: Some(true),
        ..Control::default()
    });
    let body = chat("hello", 3);
    let request = request(
        "POST",
        "/v1/chat/completions",
        &[("x-request-id", "lost")],
        &body,
    );
    let lost = open(engine.address(), request).await;
    assert!(matches!(lost, Err(Error::Unknown { .. })));
    assert_eq!(engine.counters().runs["lost"], 1);

    engine.control(&Control {
        lose_replies: Some(false),
        refuse: Some(true),
        ..Control::default()
    });
    let refused = start(engine.address(), "refused", &body).await;
    assert_eq!(refused.status, 503);
    assert!(!engine.counters().runs.contains_key("refused"));
}

#[tokio::test]
async fn bad_requests_are_told_and_run_nothing() {
    let engine = engine(Settings::quick());
    let deep = format!("{}1{}", "[".repeat(100_000), "]".repeat(100_000));
    let bodies = [
        json!({"messages": []}),
        json!({"model": MODEL}),
        json!({"model": MODEL, "messages": [{"role": "user"}]}),
        json!({"model": MODEL, "messages": [], "max_tokens": 0}),
    ];
    for body in bodies {
        let (status, answer) = post(engine.address(), "/v1/chat/completions", &body).await;
        assert_eq!((status, &answer["error"]["run"]), (400, &json!("not_run")));
    }
    let request = http::Request::post("/v1/completions")
        .body(deep.into())
        .unwrap();
    assert_eq!(open(engine.address(), request).await.unwrap().status, 400);
    let mut unknown = chat("hello", 3);
    unknown["model"] = json!("other");
    let (status, _) = post(engine.address(), "/v1/chat/completions", &unknown).await;

    assert_eq!(status, 404);
    assert!(engine.counters().runs.is_empty());
}

async fn send_order(engine: &Engine, number: &str, order: Value) -> (u16, Value) {
    let headers = [("x-fencing-token", number)];
    ask(engine.address(), "POST", "/v1/orders", &headers, &order).await
}

#[tokio::test]
async fn orders_load_and_unload_models() {
    let engine = engine(Settings::quick());

    send_order(&engine, "1", json!({"action": "load", "model": "henna-3b"})).await;
    let loaded = eventually_get(engine.address(), "/v1/models", |models| {
        models["data"]
            .as_array()
            .is_some_and(|data| data.len() == 2)
    });
    assert_eq!(loaded.await["data"][1]["id"], "henna-3b");
    send_order(&engine, "2", json!({"action": "unload", "model": MODEL})).await;
    send_order(&engine, "2", json!({"action": "role", "role": "decode"})).await;

    let (_, models) = get(engine.address(), "/v1/models").await;
    assert_eq!(models["data"][0]["id"], "henna-3b");
    assert_eq!(
        (&models["role"], &models["fencing_number"]),
        (&json!("decode"), &json!(2))
    );
    let refused = start(engine.address(), "one", &chat("hello", 3)).await;
    assert_eq!(refused.status, 404);
}

#[tokio::test]
async fn an_old_fencing_number_is_refused_only_where_it_is_checked() {
    // Symptom: an order from a holder that lost its lease undoes that of its successor. Sequence: number 5
    // orders, then number 4 arrives late.
    for checks in [true, false] {
        let engine = engine(Settings {
            fencing: checks,
            ..Settings::quick()
        });
        send_order(&engine, "5", json!({"action": "role", "role": "decode"})).await;

        let (status, answer) =
            send_order(&engine, "4", json!({"action": "role", "role": "mixed"})).await;

        let (_, models) = get(engine.address(), "/v1/models").await;
        if checks {
            assert_eq!((status, &models["role"]), (409, &json!("decode")));
            assert_eq!(answer["error"]["code"], "stale_fencing_number");
            continue;
        }
        assert_eq!((status, &models["role"]), (200, &json!("mixed")));
    }
}

#[tokio::test]
async fn a_leaving_engine_says_so_and_counts_what_it_is_still_given() {
    let engine = engine(Settings::quick());
    engine.control(&Control {
        leaving: Some(true),
        ..Control::default()
    });

    let stream = start(engine.address(), "one", &chat("hello", 3)).await;

    assert_eq!(stream.headers["x-leaving"], "true");
    assert_eq!(engine.counters().started_while_leaving, 1);
}

#[tokio::test]
async fn a_stopped_engine_refuses_connections() {
    let engine = engine(Settings::quick());
    let address = engine.address();

    engine.stop();

    let request = request("GET", "/health", &[], &Value::Null);
    let refused = open(address, request).await;
    assert!(matches!(refused, Err(Error::NotSent { .. })));
}

#[tokio::test]
async fn the_next_turn_of_a_conversation_finds_its_prefix_and_the_events_tell_of_it() {
    let engine = engine(Settings::quick());
    let question = "what colour ".repeat(40);
    let mut stream = start(engine.address(), "one", &chat(&question, 40)).await;
    let first = listen(&mut stream, u32::MAX).await;
    let mut turn = chat(&question, 5);
    turn["messages"] = json!([
        {"role": "user", "content": question},
        {"role": "assistant", "content": first.text},
        {"role": "user", "content": "and why"},
    ]);

    let mut stream = start(engine.address(), "two", &turn).await;
    let second = listen(&mut stream, u32::MAX).await;
    let (_, exported) = post(engine.address(), "/v1/kv/export", &turn).await;
    let (_, events) = get(engine.address(), "/v1/cache_events?after=0").await;

    let cached = &second.usage["prompt_tokens_details"]["cached_tokens"];
    let prompt = first.usage["prompt_tokens"].as_u64().unwrap();
    assert!(
        cached.as_u64().unwrap() > prompt,
        "{cached} of {}",
        second.usage
    );
    assert_eq!(events["events"][0]["kind"], "stored");
    assert_eq!(events["events"][0]["blocks"][0], exported["blocks"][0]);
}

#[tokio::test]
async fn exported_blocks_can_be_imported_elsewhere() {
    let (from, to) = (engine(Settings::quick()), engine(Settings::quick()));
    let body = chat(&"a long prompt ".repeat(40), 1);
    let mut stream = start(from.address(), "one", &body).await;
    listen(&mut stream, u32::MAX).await;

    let (_, exported) = post(from.address(), "/v1/kv/export", &body).await;
    let (_, imported) = post(to.address(), "/v1/kv/import", &exported).await;
    let mut stream = start(to.address(), "two", &body).await;
    let heard = listen(&mut stream, u32::MAX).await;

    assert_eq!(exported, imported);
    assert!(exported["bytes"].as_u64().unwrap() > 0);
    let cached = &heard.usage["prompt_tokens_details"]["cached_tokens"];
    assert!(cached.as_u64().unwrap() > 0);
}

async fn metrics(engine: &Engine) -> String {
    let request = request("GET", "/metrics", &[], &Value::Null);
    let exchange = open(engine.address(), request).await.unwrap();
    String::from_utf8(exchange.collect(100_000).await.unwrap().to_vec()).unwrap()
}

#[tokio::test]
async fn load_reports_show_the_past() {
    let engine = engine(Settings::quick());
    let mut stream = start(engine.address(), "one", &chat("hello", 20_000)).await;
    listen(&mut stream, 3).await;
    while !metrics(&engine).await.contains("engine_requests_running 1") {}

    engine.control(&Control {
        report_lag_ms: Some(3_600_000),
        ..Control::default()
    });

    assert!(metrics(&engine).await.contains("engine_requests_running 0"));
}

#[tokio::test]
async fn a_load_fetches_from_the_weight_store() {
    use fescuewell_standin::platform::{self, Platform, Weights};
    let weights = Weights {
        bytes_per_second: 0,
        models: [(text("henna-3b"), 1_000_000)].into_iter().collect(),
    };
    let platform = platform::Settings {
        weights,
        token: Some(text("weights please")),
        ..platform::Settings::default()
    };
    let platform = Platform::start(any_port(), platform).unwrap();
    let engine = engine(Settings {
        weight_store: Some(platform.address()),
        weight_store_token: Some(text("weights please")),
        ..Settings::quick()
    });

    send_order(&engine, "1", json!({"action": "load", "model": "henna-3b"})).await;
    send_order(&engine, "1", json!({"action": "load", "model": "unknown"})).await;

    let models = eventually_get(engine.address(), "/v1/models", |models| {
        models["loading"].as_array().is_some_and(Vec::is_empty)
    });
    let models = models.await;
    assert_eq!(models["data"][1]["id"], "henna-3b");
    assert!(models["failed"]["unknown"].is_string());
}

/// Guards against a stand-in whose silence loses or repeats events: what tests of silence rely on.
#[tokio::test]
async fn a_silent_engine_sends_all_of_it_afterwards() {
    for inside in [false, true] {
        let engine = engine(Settings::quick());
        engine.control(&Control {
            freeze: Some(true),
            silent_inside_event: Some(inside),
            ..Control::default()
        });
        let mut stream = start(engine.address(), "one", &chat("hello", 40)).await;
        engine.set_silent(true);
        engine.control(&Control {
            freeze: Some(false),
            ..Control::default()
        });
        let heard = tokio::spawn(async move { listen(&mut stream, u32::MAX).await });
        eventually("the work ends", || engine.counters().finished == 1).await;

        let is_early = heard.is_finished();
        engine.set_silent(false);
        let heard = heard.await.unwrap();

        assert!(!is_early && heard.done, "{inside}: {heard:?}");
        assert_eq!(heard.ids, (1..=40).collect::<Vec<u32>>());
    }
}
