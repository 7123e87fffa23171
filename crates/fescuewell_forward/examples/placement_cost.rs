//! Measures the time for placing a request by forecast among 256 candidates.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fescuewell_forward::choice::forecast::{Forecast, Sent};
use fescuewell_forward::choice::placement::{self, Assignment, Knowledge, Recent, Request};
use fescuewell_forward::choice::{self, Criteria, Load};
use fescuewell_forward::health::Health;
use fescuewell_forward::server::{Entry, State};

const SERVERS: usize = 256;
const INSTANCES: usize = 74;
const ROUNDS: u32 = 10_000;

fn main() {
    let servers: Vec<Arc<Entry>> = (0..SERVERS).map(|index| Arc::new(entry(index))).collect();
    let candidates: Vec<&Arc<Entry>> = servers.iter().collect();
    let names: Vec<Arc<str>> = (0..INSTANCES)
        .map(|n| format!("router-{n}").into())
        .collect();
    let (mut load, mut forecast) = (Load::default(), Forecast::default());
    let mut assignment = Assignment::new(names[0].clone());
    assignment.set_instances(&names);
    for (index, server) in servers.iter().enumerate() {
        load.begin(&server.id, 1_000);
        let sent = Sent {
            own_tokens: 100 * index as u64,
            ..Sent::default()
        };
        forecast.record_first_event(&"chat".into(), &server.id, sent, index as f64, 0);
    }
    let (health, recent) = (Health::default(), Recent::default());
    let known = Knowledge {
        load: &load,
        health: &health,
        forecast: &forecast,
        recent: &recent,
    };
    for (kind, affinity) in [("shared", Some("prefix")), ("unshared", None)] {
        let request = Request {
            service: "chat",
            criteria: Criteria {
                affinity,
                shared_tokens: 13_300,
                random: 1,
            },
            prompt_tokens: 17_020,
            target_ms: 800.0,
            target_gap_ms: 400.0,
        };
        let by_forecast = shortest(|| {
            let assignment = &mut assignment;
            let choice = placement::pick(&candidates, &request, known, assignment, |_| true, 0);
            std::hint::black_box(choice);
        });
        let criteria = &request.criteria;
        let by_load = shortest(|| {
            let server = choice::pick(&candidates, criteria, &load, &health, |_| true, 0);
            std::hint::black_box(server);
        });
        println!("{kind}: {by_forecast:?} by forecast, {by_load:?} by choice::pick");
    }
}

/// Returns the shortest of many times, which other programs on the machine disturb least.
fn shortest<Run>(mut run: Run) -> Duration
where
    Run: FnMut(),
{
    let times = (0..ROUNDS).map(|_| {
        let began = Instant::now();
        run();
        began.elapsed()
    });
    times.min().unwrap_or_default()
}

fn entry(index: usize) -> Entry {
    Entry {
        id: format!("engine-{index:03}").into(),
        started_at_ms: None,
        service: "chat".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        slots: 64,
        cold_left_ms: 0,
        state: State::Ready,
    }
}
