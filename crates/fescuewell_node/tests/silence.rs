//! Backend servers that are silent for a while: who waits, who tries another server, and what it costs.

mod common;

use common::backend::Reaction;
use common::document::document;
use common::world::World;
use fescuewell_core::prelude::*;

const PREPAID: u64 = 100_000;

fn world() -> World {
    let mut world = World::new(1, &document(PREPAID, 8), 51);
    world.run_for(3_000);
    world
}

fn is_settled(world: &World) -> bool {
    world.open() == (Tokens::ZERO, 0)
}

/// Guards against requests that are refused because their servers are silent all at once: the retry budget
/// covers a few of them, and the others were given up before that was known.
#[test]
fn requests_outlast_a_silence_of_all_servers() {
    let mut world = world();
    world.backend.reactions = [Reaction::SilentFor(2_000); 60].into();

    let ids: Vec<String> = (0..12).map(|number| format!("job-{number}")).collect();
    let tickets: Vec<_> = ids.iter().map(|id| world.submit(0, id)).collect();
    let settled = world.run_until(30_000, is_settled);

    for (id, ticket) in ids.iter().zip(tickets) {
        assert!(world.is_answered(ticket), "{id}: {:?}", world.code(ticket));
        assert_eq!(world.bills(id).len(), 1, "{id}");
    }
    assert!(settled);
}

/// Guards against a request that waits for a silent server although another one is free.
#[test]
fn a_request_at_one_silent_server_runs_at_another_one() {
    let mut world = world();
    world.backend.reactions = [Reaction::SilentFor(50_000), Reaction::RunFor(100)].into();

    let ticket = world.submit(0, "job-1");
    let settled = world.run_until(5_000, is_settled);

    assert!(settled && world.is_answered(ticket));
    let runs = &world.requests[&ticket].runs;
    assert_eq!(runs.len(), 2);
    assert_ne!(runs[0].1.server, runs[1].1.server);
    assert_eq!(world.bills("job-1").len(), 1);
}

/// Guards against retries at servers that are as silent: they use up the budget and give up what the first
/// server has done.
#[test]
fn no_request_moves_while_all_servers_are_silent() {
    let mut world = world();
    world.backend.reactions = [Reaction::SilentFor(2_000); 60].into();

    let tickets: Vec<_> = (0..12)
        .map(|number| world.submit(0, &format!("job-{number}")))
        .collect();
    let settled = world.run_until(30_000, is_settled);

    assert!(settled);
    for ticket in tickets {
        let runs = &world.requests[&ticket].runs;
        assert_eq!(runs.len(), 1, "{runs:?}");
    }
}
