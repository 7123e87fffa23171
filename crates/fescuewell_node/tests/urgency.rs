//! Urgent and bulk work of a fleet of nodes on the same engines.

mod common;

use common::document::document;
use common::world::World;
use fescuewell_core::prelude::*;
use fescuewell_node::prelude::*;

/// Maximum concurrent requests of one engine.
const CONCURRENCY: u32 = 32;
/// Duration of the load in milliseconds, including the warm-up.
const DURATION_MS: u64 = 20_000;
const WARM_UP_MS: u64 = 5_000;
/// Interval between urgent requests: a fifth of the capacity of three engines.
const URGENT_INTERVAL_MS: u64 = 100;
/// Interval between bulk requests: three times the capacity of three engines.
const BULK_INTERVAL_MS: u64 = 7;

/// Results of one load.
struct Results {
    /// 95th percentile of the wait of urgent requests, in milliseconds.
    wait_p95_ms: f64,
    /// Urgent requests that were refused.
    refused: usize,
    /// Bulk requests that ran.
    bulk_run: usize,
    /// Requests without a verdict.
    without_verdict: usize,
}

/// Interval between requests of each class, and the nodes that receive them.
struct Load {
    urgent_interval_ms: u64,
    urgent_nodes: &'static [usize],
    bulk_interval_ms: Option<u64>,
    bulk_nodes: &'static [usize],
}

const ALL: &[usize] = &[0, 1, 2];
const URGENT_ONLY: Load = Load {
    urgent_interval_ms: URGENT_INTERVAL_MS,
    urgent_nodes: ALL,
    bulk_interval_ms: None,
    bulk_nodes: ALL,
};

fn measure(load: &Load) -> Results {
    let mut world = World::new(3, &document(100_000_000, CONCURRENCY), 61);
    world.run_ms = 1_500..2_500;
    world.max_running = CONCURRENCY as usize;
    let (mut urgent, mut bulk) = (Vec::new(), Vec::new());
    for ms in 0..DURATION_MS {
        if ms % load.urgent_interval_ms == 0 {
            let nodes = load.urgent_nodes;
            let node = nodes[(ms / load.urgent_interval_ms) as usize % nodes.len()];
            let ticket = world.submit_model(node, &format!("urgent-{ms}"), "status", (40, 60));
            urgent.push((ms, ticket));
        }
        if load.bulk_interval_ms.is_some_and(|every| ms % every == 0) {
            let nodes = load.bulk_nodes;
            let node = nodes[ms as usize % nodes.len()];
            let ticket = world.submit_model(node, &format!("bulk-{ms}"), "summary", (40, 60));
            bulk.push(ticket);
        }
        world.run_for(1);
    }
    world.run_for(70_000);
    results(&world, &urgent, &bulk)
}

fn results(world: &World, urgent: &[(u64, Ticket)], bulk: &[Ticket]) -> Results {
    let mut waits = Vec::new();
    let mut refused = 0;
    for (ms, ticket) in urgent {
        let request = &world.requests[ticket];
        refused += usize::from(request.refused.is_some());
        if let (Some((at, _)), true) = (request.runs.last(), *ms >= WARM_UP_MS) {
            waits.push(at.since(request.submitted_at).as_secs_f64() * 1e3);
        }
    }
    waits.sort_by(f64::total_cmp);
    let all = urgent.iter().map(|(_, ticket)| ticket).chain(bulk);
    let without_verdict = all.filter(|ticket| {
        let request = &world.requests[*ticket];
        request.answered.is_none() && request.refused.is_none()
    });
    let end = Instant::from_millis(9_000 + DURATION_MS);
    let ran = bulk.iter().filter(|ticket| {
        let request = &world.requests[*ticket];
        request.answered.is_some() && request.runs.last().is_some_and(|(at, _)| *at <= end)
    });
    Results {
        wait_p95_ms: waits[waits.len() * 95 / 100],
        refused,
        bulk_run: ran.count(),
        without_verdict: without_verdict.count(),
    }
}

fn compare(name: &str, loaded: &Load, min_bulk: usize) {
    let alone = measure(&Load {
        bulk_interval_ms: None,
        ..*loaded
    });
    let loaded = measure(loaded);

    println!(
        "{name}: urgent p95 wait alone {:.2} ms, with bulk {:.2} ms, ratio {:.2}; bulk ran {}",
        alone.wait_p95_ms,
        loaded.wait_p95_ms,
        loaded.wait_p95_ms / alone.wait_p95_ms,
        loaded.bulk_run
    );
    assert_eq!((alone.refused, loaded.refused), (0, 0));
    assert_eq!((alone.without_verdict, loaded.without_verdict), (0, 0));
    assert!(loaded.wait_p95_ms <= alone.wait_p95_ms * 1.2);
    assert!(loaded.bulk_run >= min_bulk, "{}", loaded.bulk_run);
}

#[test]
fn urgent_requests_hardly_wait_while_bulk_comes_at_three_times_the_capacity() {
    // Guards against urgent requests that wait for bulk streams to end.
    let load = Load {
        bulk_interval_ms: Some(BULK_INTERVAL_MS),
        ..URGENT_ONLY
    };
    // The capacity besides the urgent work is 760 requests in this time, part of which is reserved.
    compare("even", &load, 600);
}

#[test]
fn urgent_requests_at_one_node_hardly_wait_for_bulk_of_the_others() {
    // Guards against bulk work of two instances that takes the whole capacity, including what the urgent work
    // of the third instance needs.
    let load = Load {
        urgent_nodes: &[0],
        bulk_interval_ms: Some(BULK_INTERVAL_MS),
        bulk_nodes: &[1, 2],
        ..URGENT_ONLY
    };
    compare("apart", &load, 600);
}

#[test]
fn bulk_keeps_its_floor_while_urgent_work_fills_every_engine() {
    // Guards against starvation of bulk work while urgent work exceeds the capacity. The floor grants bulk work
    // a start, but the capacity that becomes free is part of the reserve that bulk work may not use.
    let loaded = measure(&Load {
        urgent_interval_ms: 15,
        bulk_interval_ms: Some(100),
        ..URGENT_ONLY
    });

    println!("floor: bulk ran {} beside urgent work", loaded.bulk_run);
    assert_eq!(loaded.without_verdict, 0);
    // A tenth of 48 requests per second over 20 s is 96, minus the duration of the first streams.
    assert!(loaded.bulk_run >= 86, "{}", loaded.bulk_run);
}

#[test]
fn one_node_may_use_the_servers_that_the_others_leave() {
    // Guards against limiting an instance with heavy callers to an equal share while the rest of the capacity is
    // idle.
    let load = Load {
        urgent_nodes: &[0],
        bulk_interval_ms: Some(BULK_INTERVAL_MS),
        bulk_nodes: &[0],
        ..URGENT_ONLY
    };
    compare("hot", &load, 600);
}
