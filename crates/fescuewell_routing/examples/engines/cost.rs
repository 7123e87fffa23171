//! Time and memory per decision at the largest fleet size that the design supports.

use std::time::Instant as Stopwatch;

use fescuewell_core::prelude::*;
use fescuewell_routing::prelude::*;

const SERVERS: u32 = 12_000;
const MODELS: u32 = 40;
const CHOICES: u64 = 50_000;

/// Resident memory of this process in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn specs() -> Vec<Spec> {
    let mut specs = Vec::new();
    for index in 0..SERVERS {
        specs.push(Spec {
            key: ServerKey(index),
            name: format!("engine-{index}").into(),
            zone: format!("zone-{}", index % 3).into(),
            models: vec![format!("model-{}", index % MODELS).into()],
            concurrency: 32,
        });
    }
    specs
}

fn prompt(family: u64) -> Vec<Digest> {
    let digest = |block: u64| Digest::of(format!("{family}/{block}").as_bytes());
    (0..32).map(digest).collect()
}

/// Prints the cost of choices among 12,000 reachable servers.
pub fn measure() {
    println!("\n{SERVERS} servers, {MODELS} models, all in reach, prompts of 32 blocks");
    let before = resident_kb();
    let specs = specs();
    let prompts: Vec<Vec<Digest>> = (0..4_000).map(prompt).collect();
    let own = resident_kb();
    let mut router = Router::new(crate::settings(), "zone-0".into(), 1);
    router.set_servers(Instant(0), &specs);
    router.set_instances(850);
    let reach: Vec<ServerKey> = (0..SERVERS).map(ServerKey).collect();
    report_all(&mut router, 4);
    let mut times = choices(&mut router, &reach, &prompts);
    times.sort_unstable();
    let mean = times.iter().sum::<u64>() as f64 / times.len() as f64;
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize] as f64 / 1e3;
    println!(
        "choose: mean {:.1} us, median {:.1} us, 99th {:.1} us, worst {:.1} us",
        mean / 1e3,
        at(0.5),
        at(0.99),
        at(1.0)
    );
    let watch = Stopwatch::now();
    router.tick(Instant(CHOICES * 1_000));
    println!("tick over all servers: {} us", watch.elapsed().as_micros());
    report_all(&mut router, 32);
    let mut times = choices(&mut router, &reach, &prompts[..100]);
    times.sort_unstable();
    println!(
        "choose when all are busy: median {:.1} us",
        times[times.len() / 2] as f64 / 1e3
    );
    println!(
        "memory: {} KB for {} blocks and {SERVERS} servers (test data {} KB)",
        resident_kb() - own,
        router.block_count(),
        own - before
    );
}

fn report_all(router: &mut Router, running: u32) {
    for server in 0..SERVERS {
        let report = Report {
            running: running + server % 3,
            waiting: 0,
            cache_used: 0.9,
            age: std::time::Duration::ZERO,
        };
        router.record_load(Instant(0), ServerKey(server), report);
    }
}

fn choices(router: &mut Router, reach: &[ServerKey], prompts: &[Vec<Digest>]) -> Vec<u64> {
    let mut times = Vec::new();
    for number in 0..CHOICES {
        let family = number.wrapping_mul(2_654_435_761) % prompts.len() as u64;
        let query = Query {
            model: Some(format!("model-{}", family % u64::from(MODELS)).into()),
            reach,
            prefix: &prompts[family as usize],
            prompt_tokens: 2_048,
            urgent: false,
            exclude: &[],
        };
        let now = Instant(number * 30);
        let watch = Stopwatch::now();
        let chosen = router.choose(now, &query);
        times.push(watch.elapsed().as_nanos() as u64);
        let Ok(choice) = chosen else {
            continue;
        };
        let ticket = Ticket(number);
        router.started(now, choice.server, ticket, choice.expected_tokens);
        if number >= 20_000 {
            router.finished(now, choice.server, Ticket(number - 20_000), Outcome::Done);
        }
        router.finished(now, choice.server, ticket, Outcome::Done);
    }
    times
}
