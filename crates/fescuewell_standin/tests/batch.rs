//! The stand-in engine's batching and prefix cache, step by step without a clock.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use fescuewell_standin::engine::batch::Batch;
use fescuewell_standin::engine::cache::{BLOCK_BYTES, Cache, Kind, block_hashes};
use fescuewell_standin::engine::problem::Problem;
use fescuewell_standin::engine::prompt::{Completion, Interface};
use fescuewell_standin::engine::{Metadata, Settings};

const LOSSLESS: f64 = 0.0;

fn settings() -> Settings {
    Settings {
        base_step: Duration::from_millis(10),
        step_per_stream: Duration::from_millis(1),
        prefill_per_token: Duration::from_micros(100),
        max_batch: 2,
        ..Settings::default()
    }
}

fn completion(prompt: &str, tokens: u32) -> Completion {
    Completion {
        interface: Interface::Text,
        model: "m".into(),
        prompt: prompt.into(),
        max_tokens: Some(tokens),
        stream: true,
        priority: 0,
        cache_salt: "".into(),
        ignore_eos: true,
    }
}

fn submit(
    batch: &mut Batch,
    settings: &Settings,
    id: &str,
    completion: Completion,
) -> Result<(), Problem> {
    let now = Instant::now();
    let key = batch.submit(id.into(), completion, Metadata::default(), settings, now)?;
    batch.attach(key);
    Ok(())
}

/// Plans and carries out one step; its duration, or nothing when the engine is idle.
fn step(batch: &mut Batch, settings: &Settings) -> Option<Duration> {
    let now = Instant::now();
    let plan = batch.plan(settings, now)?;
    batch.finish(&plan, settings, now);
    Some(plan.duration)
}

fn produced(batch: &Batch, id: &str) -> u32 {
    let key = batch.find(id).unwrap();
    batch.get(key).unwrap().usage.completion
}

fn state(batch: &Batch, id: &str) -> &'static str {
    let key = batch.find(id).unwrap();
    batch.get(key).unwrap().state()
}

#[test]
fn a_step_costs_its_prompt_tokens_and_its_streams() {
    let settings = settings();
    let mut batch = Batch::new(&settings);
    submit(&mut batch, &settings, "a", completion(&"x".repeat(400), 5)).unwrap();

    // 100 prompt tokens at 0.1 ms each, then one decoding stream, then one and the other's prompt.
    assert_eq!(step(&mut batch, &settings), Some(Duration::from_millis(20)));
    assert_eq!(step(&mut batch, &settings), Some(Duration::from_millis(11)));
    submit(&mut batch, &settings, "b", completion(&"y".repeat(80), 5)).unwrap();
    assert_eq!(step(&mut batch, &settings), Some(Duration::from_millis(13)));
    assert_eq!(step(&mut batch, &settings), Some(Duration::from_millis(12)));
    assert_eq!((produced(&batch, "a"), produced(&batch, "b")), (4, 2));
    batch.slow_factor = 2.0;
    assert_eq!(step(&mut batch, &settings), Some(Duration::from_millis(24)));
}

#[test]
fn a_long_prompt_is_taken_in_chunks_and_yields_nothing_before_its_end() {
    let settings = Settings {
        prefill_chunk: 50,
        ..settings()
    };
    let mut batch = Batch::new(&settings);
    submit(&mut batch, &settings, "a", completion(&"x".repeat(480), 5)).unwrap();

    let counts: Vec<u32> = (0..4)
        .map(|_| {
            step(&mut batch, &settings);
            produced(&batch, "a")
        })
        .collect();

    assert_eq!(counts, [0, 0, 1, 2]);
}

#[test]
fn urgent_work_takes_the_place_of_bulk_which_goes_on_later() {
    // Symptom: urgent requests wait behind bulk, or bulk that gave way vanishes or starts anew. Sequence: the batch
    // is full of bulk; an urgent request comes, runs and ends.
    let settings = settings();
    let mut batch = Batch::new(&settings);
    for id in ["bulk1", "bulk2"] {
        let mut bulk = completion(id, 6);
        bulk.priority = 5;
        submit(&mut batch, &settings, id, bulk).unwrap();
    }
    step(&mut batch, &settings);
    step(&mut batch, &settings);

    submit(&mut batch, &settings, "urgent", completion("now", 1)).unwrap();
    step(&mut batch, &settings);

    assert_eq!(
        (state(&batch, "urgent"), state(&batch, "bulk1")),
        ("done", "running")
    );
    assert_eq!(
        (state(&batch, "bulk2"), produced(&batch, "bulk2")),
        ("queued", 2)
    );
    assert_eq!(batch.counters.preempted, 1);
    while step(&mut batch, &settings).is_some() {}
    assert_eq!(
        (produced(&batch, "bulk1"), produced(&batch, "bulk2")),
        (6, 6)
    );
    assert_eq!(batch.counters.tokens, 13);
    assert_eq!(batch.used_blocks(), 0);
}

#[test]
fn equals_are_served_in_the_order_of_their_arrival() {
    let settings = Settings {
        max_batch: 1,
        ..settings()
    };
    let mut batch = Batch::new(&settings);
    for id in ["a", "b", "c"] {
        submit(&mut batch, &settings, id, completion(id, 1)).unwrap();
    }
    let mut ended = Vec::new();
    while step(&mut batch, &settings).is_some() {
        let done = ["a", "b", "c"]
            .into_iter()
            .filter(|id| state(&batch, id) == "done");
        ended.push(done.count());
    }
    assert_eq!(ended, [1, 2, 3]);
}

#[test]
fn a_known_prefix_is_not_computed_again_unless_the_salt_differs() {
    // Symptom: one group learns from the time to the first token what another group asked. Cause: a prefix cache
    // that is shared without a salt.
    let settings = settings();
    let mut batch = Batch::new(&settings);
    let long = "x".repeat(10 * BLOCK_BYTES);
    let first = completion(&format!("{long}first"), 1);
    let second = completion(&format!("{long}second"), 1);
    let mut salted = completion(&format!("{long}third"), 1);
    salted.cache_salt = "other group".into();

    let mut cached = Vec::new();
    for (id, completion) in [("a", first), ("b", second), ("c", salted)] {
        submit(&mut batch, &settings, id, completion).unwrap();
        step(&mut batch, &settings);
        let key = batch.find(id).unwrap();
        cached.push(batch.get(key).unwrap().usage.cached);
    }

    assert_eq!(cached, [0, 160, 0]);
}

#[test]
fn memory_bounds_the_batch_and_what_never_fits_is_refused() {
    let settings = Settings {
        kv_blocks: 10,
        ..settings()
    };
    let mut batch = Batch::new(&settings);

    let refused = submit(&mut batch, &settings, "large", completion("x", 200));
    assert!(matches!(refused, Err(Problem::Invalid { .. })));
    for id in ["a", "b"] {
        submit(&mut batch, &settings, id, completion(id, 90)).unwrap();
    }
    step(&mut batch, &settings);

    assert_eq!((batch.running(), batch.waiting()), (1, 1));
    while step(&mut batch, &settings).is_some() {}
    assert_eq!(batch.counters.finished, 2);
}

#[test]
fn a_full_queue_refuses_and_runs_nothing() {
    let settings = Settings {
        max_waiting: 1,
        ..settings()
    };
    let mut batch = Batch::new(&settings);
    submit(&mut batch, &settings, "a", completion("a", 1)).unwrap();

    let refused = submit(&mut batch, &settings, "b", completion("b", 1));

    assert_eq!(refused, Err(Problem::QueueFull));
    assert!(!batch.counters.runs.contains_key("b"));
}

#[test]
fn the_cache_forgets_the_ends_of_the_oldest_chains_first() {
    let now = Instant::now();
    let mut cache = Cache::new(LOSSLESS, 1);
    let old = block_hashes("m", "", &"a".repeat(4 * BLOCK_BYTES));
    let new = block_hashes("m", "", &"b".repeat(4 * BLOCK_BYTES));

    cache.store(&old, 6, now);
    cache.store(&new, 6, now);

    assert_eq!((cache.matching(&old), cache.matching(&new)), (2, 4));
    let events = cache.events(0, Duration::ZERO, 10, now);
    let kinds: Vec<(Kind, &[u64])> = events.iter().map(|e| (e.kind, &e.blocks[..])).collect();
    let removed: Vec<u64> = old[2..].iter().rev().copied().collect();
    assert_eq!(
        kinds,
        [
            (Kind::Stored, &old[..]),
            (Kind::Stored, &new[..]),
            (Kind::Removed, &removed[..])
        ]
    );
}

#[test]
fn cache_events_come_late_and_leave_gaps_in_their_numbers() {
    let start = Instant::now();
    let lag = Duration::from_secs(1);
    let mut cache = Cache::new(0.5, 7);
    for block in 0..100 {
        cache.store(&[block], 1_000, start);
    }

    assert!(cache.events(0, lag, 1_000, start).is_empty());
    let later = cache.events(0, lag, 1_000, start + lag);
    let numbers: HashSet<u64> = later.iter().map(|event| event.seq).collect();
    assert!((20..80).contains(&numbers.len()), "{}", numbers.len());
    assert!(numbers.iter().all(|number| (1..=100).contains(number)));
    let last = later.last().unwrap().seq;
    assert!(cache.events(last, lag, 1_000, start + lag).is_empty());
}
