//! Fixtures of the routing tests.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_routing::prelude::*;

pub const MODEL: &str = "auslan";

pub fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub fn spec(index: u32, zone: &str) -> Spec {
    Spec {
        key: ServerKey(index),
        name: format!("engine-{index}").into(),
        zone: zone.into(),
        models: vec![MODEL.into()],
        concurrency: 32,
    }
}

pub fn keys(count: u32) -> Vec<ServerKey> {
    (0..count).map(ServerKey).collect()
}

/// A router in `zone-a` with `count` engines in the same zone.
pub fn router(count: u32) -> Router {
    router_with(Settings::default(), count)
}

pub fn router_with(settings: Settings, count: u32) -> Router {
    let mut router = Router::new(settings, "zone-a".into(), 7);
    let specs: Vec<Spec> = (0..count).map(|index| spec(index, "zone-a")).collect();
    router.set_servers(at(0), &specs);
    router
}

/// A prompt of `blocks` blocks. Prompts of the same `family` share their common blocks.
pub fn prompt(family: u64, blocks: u64) -> Vec<Digest> {
    let digest = |block| Digest::of(format!("{family}/{block}").as_bytes());
    (0..blocks).map(digest).collect()
}

pub fn query<'a>(reach: &'a [ServerKey], prefix: &'a [Digest]) -> Query<'a> {
    Query {
        model: Some(Arc::from(MODEL)),
        reach,
        prefix,
        prompt_tokens: 100 * prefix.len().max(1) as u32,
        urgent: false,
        exclude: &[],
    }
}

pub fn report(running: u32, waiting: u32, age_ms: u64) -> Report {
    Report {
        running,
        waiting,
        cache_used: 0.5,
        age: Duration::from_millis(age_ms),
    }
}

/// Starts `count` requests on `server`, with tickets from `first` on.
pub fn send(router: &mut Router, now: Instant, server: ServerKey, first: u64, count: u64) {
    for ticket in first..first + count {
        router.started(now, server, Ticket(ticket), 1_000);
    }
}
