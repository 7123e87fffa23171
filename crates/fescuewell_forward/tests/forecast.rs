//! What the forecast learns from a server's times, and what it ignores.

use std::sync::Arc;

use fescuewell_forward::choice::forecast::{Forecast, Gaps, Sent, Summary};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICE: &str = "chat";

fn sent(tokens_ahead: u64, own_tokens: u64, in_flight: u32) -> Sent {
    Sent {
        tokens_ahead,
        own_tokens,
        in_flight,
    }
}

/// Time at a server that processes 50 tokens per millisecond.
fn time_ms(sent: Sent) -> f64 {
    let tokens = (sent.tokens_ahead + sent.own_tokens) as f64;
    40.0 + tokens / 50.0 + f64::from(sent.in_flight) * 2.0
}

fn record(forecast: &mut Forecast, server: &str, sent: Sent, took_ms: f64, now_ms: u64) {
    forecast.record_first_event(&SERVICE.into(), &server.into(), sent, took_ms, now_ms);
}

fn random_sent(rng: &mut SmallRng) -> Sent {
    let ahead = rng.random_range(0..20_000);
    sent(
        ahead,
        rng.random_range(500..17_000),
        rng.random_range(0..20),
    )
}

/// Returns a forecast that has observed 48 requests, a `broken` share of them with arbitrary times.
fn learned(broken: f64) -> Forecast {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut forecast = Forecast::default();
    for number in 0..96 {
        let sent = random_sent(&mut rng);
        let took_ms = match rng.random_bool(broken) {
            true => rng.random_range(0.0..9_000.0),
            false => time_ms(sent) * rng.random_range(0.95..1.05),
        };
        record(&mut forecast, &format!("s-{number}"), sent, took_ms, 0);
    }
    forecast
}

fn assert_close(predicted_ms: f64, expected_ms: f64, percent: f64) {
    let error = (predicted_ms - expected_ms).abs() * 100.0 / expected_ms;
    assert!(error <= percent, "{predicted_ms} for {expected_ms}");
}

/// Guards against a forecast that does not follow the service: an unknown server has its times.
#[test]
fn rate_and_fixed_time_are_learned() {
    let forecast = learned(0.0);
    let view = forecast.view(SERVICE, 0);

    for sent in [sent(0, 17_000, 0), sent(20_000, 1_500, 10)] {
        assert_close(view.first_event_ms("new", sent), time_ms(sent), 10.0);
    }
    assert_close(view.prefill_ms(10_000), 200.0, 10.0);
}

/// Guards against a few lost or foreign responses that make the forecast useless.
#[test]
fn a_tenth_of_arbitrary_times_changes_little() {
    let forecast = learned(0.1);
    let sent = sent(10_000, 7_000, 5);

    let predicted_ms = forecast.view(SERVICE, 0).first_event_ms("new", sent);

    assert_close(predicted_ms, time_ms(sent), 20.0);
}

/// Guards against a first event that was lost for seconds and marks its service as slow.
#[test]
fn a_lost_first_event_teaches_nothing() {
    let mut forecast = learned(0.0);
    let sent = sent(0, 5_000, 0);
    let before = forecast.view(SERVICE, 0).first_event_ms("s", sent);

    for took_ms in [10_000.0, 60_000.0, f64::INFINITY, f64::NAN, -1.0] {
        record(&mut forecast, "s", sent, took_ms, 0);
    }

    let after = forecast.view(SERVICE, 0).first_event_ms("s", sent);
    assert!((before - after).abs() < f64::EPSILON);
}

/// Guards against one observation that makes a server look many times slower or faster.
#[test]
fn one_observation_of_an_idle_server_changes_its_factor_little() {
    let mut forecast = learned(0.0);
    let short = sent(0, 500, 0);

    record(&mut forecast, "twice", short, 2.0 * time_ms(short), 0);
    record(&mut forecast, "fast", short, 1.0, 0);

    let view = forecast.view(SERVICE, 0);
    assert!(view.factor("twice") < 1.3, "{}", view.factor("twice"));
    assert!(view.factor("fast") > 0.7, "{}", view.factor("fast"));
}

/// Guards against a server that stays avoided after it has recovered, since nobody observes it.
#[test]
fn the_factor_of_a_slow_server_is_learned_and_expires() {
    let mut forecast = learned(0.0);
    let sent = sent(0, 10_000, 0);
    for _ in 0..6 {
        record(&mut forecast, "slow", sent, 2.0 * time_ms(sent), 1_000);
    }

    let factor_at = |now_ms| forecast.view(SERVICE, now_ms).factor("slow");

    assert!(factor_at(1_000) > 1.7, "{}", factor_at(1_000));
    assert!(factor_at(2_500) < factor_at(1_000));
    assert!((factor_at(4_000) - 1.0).abs() < f64::EPSILON);
}

/// Guards against a server that only serves running streams and whose slowness is not noticed.
#[test]
fn gaps_tell_a_slow_server() {
    let mut forecast = Forecast::default();
    let gaps = |median_ms| Summary {
        median_ms,
        longest_ms: median_ms,
        pending_tokens: 0,
    };
    let service: Arc<str> = SERVICE.into();
    for number in 0..20 {
        let server = format!("s-{number}").into();
        forecast.record_gaps(&service, &server, gaps(40.0), 0);
    }
    for _ in 0..10 {
        forecast.record_gaps(&service, &"slow".into(), gaps(100.0), 0);
    }

    let view = forecast.view(SERVICE, 0);
    assert!(view.factor("slow") > 1.5, "{}", view.factor("slow"));
    assert!(view.factor("s-1") < 1.1, "{}", view.factor("s-1"));
}

/// Guards against one pause by another prompt that counts as slowness of the server.
#[test]
fn a_group_of_gaps_with_one_pause_has_the_usual_median() {
    let mut gaps = Gaps::default();
    let mut summary = None;
    for number in 0..8 {
        let gap_ms = if number == 3 { 600.0 } else { 40.0 };
        summary = gaps.push(gap_ms, || number);
    }

    let summary = summary.unwrap();
    assert!((summary.median_ms - 40.0).abs() < f64::EPSILON);
    assert!((summary.longest_ms - 600.0).abs() < f64::EPSILON);
    assert_eq!(summary.pending_tokens, 3);
}

/// Guards against a forecast of seconds of pause from an engine that divides long prompts.
#[test]
fn the_pause_of_an_engine_that_divides_prompts_is_learned() {
    let mut forecast = learned(0.0);
    let whole_ms = forecast.view(SERVICE, 0).pause_ms("new", 40_000);
    for number in 0..20 {
        let gaps = Summary {
            median_ms: 40.0,
            longest_ms: 150.0,
            pending_tokens: 20_000,
        };
        let server = format!("s-{number}").into();
        forecast.record_gaps(&SERVICE.into(), &server, gaps, 10_000);
    }

    let divided_ms = forecast.view(SERVICE, 10_000).pause_ms("new", 40_000);

    assert_close(whole_ms, 800.0, 10.0);
    assert_close(divided_ms, 150.0, 1.0);
}

/// Guards against memory that grows with every server that ever ran.
#[test]
fn servers_that_ended_are_forgotten() {
    let mut forecast = learned(0.0);
    let sent = sent(0, 5_000, 0);
    for number in 0..40_000 {
        record(&mut forecast, &format!("s-{number}"), sent, 200.0, 0);
    }
    let most = forecast.server_count();

    forecast.forget("s-39999");
    let fewer = forecast.server_count();
    forecast.retain(|id| id == "s-39998");

    assert!(most <= 16_384, "{most}");
    assert_eq!(fewer, most - 1);
    assert_eq!(forecast.server_count(), 1);
}
