//! Placement by forecast, and replayed loads with it and with `choice::pick`.

mod replay;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fescuewell_forward::choice::forecast::{Forecast, Sent};
use fescuewell_forward::choice::placement::{self, Assignment, Choice, Knowledge, Recent, Request};
use fescuewell_forward::choice::{self, Criteria, Load, Report};
use fescuewell_forward::config::{Configuration, Engine, Kind, Route, Service, Split, Table};
use fescuewell_forward::health::{Health, Outcome};
use fescuewell_forward::server::Entry;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use replay::{Fleet, Mix, Rule, SERVICE, TARGET_GAP_MS, entries};

const LONG: u64 = 17_020;
const SHORT: u64 = 1_460;
const TARGET_MS: f64 = 600.0;

/// An instance that places requests at a few servers.
struct Instance {
    servers: Vec<Arc<Entry>>,
    load: Load,
    health: Health,
    forecast: Forecast,
    recent: Recent,
    assignment: Assignment,
}

impl Instance {
    fn new(servers: usize) -> Self {
        Self {
            servers: entries(servers),
            load: Load::default(),
            health: Health::default(),
            forecast: Forecast::default(),
            recent: Recent::default(),
            assignment: Assignment::new("router-0".into()),
        }
    }

    /// Returns an instance that has learned 50 tokens per millisecond and a fixed time of 40 ms.
    fn learned(servers: usize) -> Self {
        let mut instance = Self::new(servers);
        for number in 0..40 {
            let sent = Sent {
                tokens_ahead: 0,
                own_tokens: 1_000 * (1 + number % 10),
                in_flight: 0,
            };
            instance.observe(&"other".into(), sent, 1.0, 0);
        }
        instance
    }

    /// Records a first event of a server that is `factor` times slower.
    fn observe(&mut self, server: &Arc<str>, sent: Sent, factor: f64, now_ms: u64) {
        let tokens = (sent.tokens_ahead + sent.own_tokens) as f64;
        let took_ms = (40.0 + tokens / 50.0) * factor;
        let service = SERVICE.into();
        let forecast = &mut self.forecast;
        forecast.record_first_event(&service, server, sent, took_ms, now_ms);
    }

    fn pick(&mut self, prefix: Option<&str>, shared: u64, prompt: u64) -> Choice<'_> {
        let candidates: Vec<&Arc<Entry>> = self.servers.iter().collect();
        let request = Request {
            service: SERVICE,
            criteria: Criteria {
                affinity: prefix,
                shared_tokens: shared,
                random: 7,
            },
            prompt_tokens: prompt,
            target_ms: TARGET_MS,
            target_gap_ms: TARGET_GAP_MS,
        };
        let known = Knowledge {
            load: &self.load,
            health: &self.health,
            forecast: &self.forecast,
            recent: &self.recent,
        };
        let assignment = &mut self.assignment;
        placement::pick(&candidates, &request, known, assignment, |_| true, 0).unwrap()
    }

    fn place(&mut self, prefix: Option<&str>, shared: u64, prompt: u64) -> Arc<str> {
        let choice = self.pick(prefix, shared, prompt);
        let (id, own) = (choice.server.id.clone(), choice.sent.own_tokens);
        if let Some(prefix) = prefix {
            self.load.record_prefix(prefix, &id, 0);
        }
        self.load.begin(&id, own);
        id
    }
}

fn kind(per_s: f64, shared: u64, own: u64, target_ms: f64) -> replay::Kind {
    replay::Kind {
        per_s,
        shared,
        own,
        target_ms,
        prefixes: 24,
        epoch_ms: 10_000,
    }
}

/// Long prompts without a shared prefix among short ones.
fn long_and_short() -> Mix {
    Mix(vec![
        kind(15.0, 0, LONG, 800.0),
        kind(120.0, 350, 1_110, 500.0),
    ])
}

/// Long, medium and short prompts whose prefixes change now and then.
fn shared() -> Mix {
    Mix(vec![
        kind(75.0, 13_300, 3_720, 800.0),
        kind(54.0, 6_300, 2_890, 600.0),
        kind(77.0, 350, 1_110, 500.0),
    ])
}

/// Returns the sums over three seeds with both rules.
fn replay(instances: usize, advertised: usize, mix: &Mix) -> (replay::Outcome, replay::Outcome) {
    let run = |rule: Rule| {
        let threads = (0..3).map(|seed| {
            let mix = mix.clone();
            let run = move || Fleet::new(instances, advertised, rule, seed).run(&mix, 20_000);
            thread::spawn(run)
        });
        let threads: Vec<_> = threads.collect();
        let outcomes = threads.into_iter().map(|thread| thread.join().unwrap());
        outcomes.fold(replay::Outcome::default(), replay::Outcome::add)
    };
    let outcomes = (run(Rule::Pick), run(Rule::Forecast));
    println!("{instances} instances, {advertised} advertised: {outcomes:#?}");
    outcomes
}

/// Guards against long prompts of two instances at one server within a second, which delay the short
/// requests there and pause its streams twice.
#[test]
fn long_prompts_of_nine_instances_rarely_meet() {
    let (today, forecast) = replay(9, 9, &long_and_short());

    assert!(forecast.meetings * 10 <= today.meetings);
    assert!(forecast.late_short * 10 <= today.late_short);
    assert!(forecast.paused <= today.paused);
}

/// The same in a fleet with more instances than servers, whose reports are older.
#[test]
fn long_prompts_of_many_instances_rarely_meet() {
    let (today, forecast) = replay(74, 74, &long_and_short());

    assert!(forecast.meetings * 10 <= today.meetings);
}

/// Guards against short requests that wait for long prompts of other instances.
#[test]
fn short_prompts_of_many_instances_are_in_time() {
    let (today, forecast) = replay(74, 74, &long_and_short());

    assert!(forecast.late_short * 10 <= today.late_short);
}

/// Guards against short requests that wait for long prompts at an instance that gets no reports.
#[test]
fn short_prompts_are_in_time_also_without_reports() {
    let (today, forecast) = replay(74, 59, &long_and_short());

    assert!(forecast.late_short * 4 <= today.late_short);
}

/// Guards against processing cached prefixes again for the sake of the forecast.
#[test]
fn cached_prefixes_are_used_again_as_often_as_today() {
    for instances in [9, 74] {
        let (today, forecast) = replay(instances, instances, &shared());

        assert!(forecast.prefill * 100 <= today.prefill * 101);
        assert!(forecast.late <= today.late);
    }
}

/// Guards against a server that gets its usual share of the requests while it is slower.
#[test]
fn a_server_whose_speed_halves_gets_fewer_requests() {
    let fleet = Fleet::new(9, 9, Rule::Forecast, 1);
    let mut fleet = fleet.with_slow_server(0, 2.0);

    let outcome = fleet.run(&long_and_short(), 20_000);
    let at_slow = fleet.placed_at(0);

    assert!(at_slow > 0, "it is tried again");
    assert!(at_slow * 60 * 2 < outcome.requests, "{at_slow}");
}

/// Guards against a burst of long prompts of one instance that queue at one server, and short
/// prompts behind them.
#[test]
fn a_burst_of_long_prompts_is_spread() {
    let mut instance = Instance::learned(40);
    let mut used = Vec::new();

    for _ in 0..30 {
        used.push(instance.place(None, 0, LONG));
    }
    let short = instance.place(None, 0, SHORT);

    assert!(!used.contains(&short));
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 30);
}

/// Guards against a long prompt that pauses many streams of a slow server for longer than the
/// target gap, while another one has as much to do and fewer streams.
#[test]
fn a_long_prompt_avoids_a_server_with_many_streams() {
    let mut instance = Instance::learned(2);
    let ids: Vec<Arc<str>> = instance.servers.iter().map(|s| s.id.clone()).collect();
    for id in &ids {
        for _ in 0..4 {
            instance.observe(id, sent(10_000), 2.5, 0);
        }
    }
    for _ in 0..60 {
        instance.load.begin(&ids[0], 0);
    }
    instance.load.begin(&ids[1], 10_000);

    let chosen = instance.place(None, 0, LONG);

    assert_eq!(chosen, ids[1]);
}

/// Guards against a request behind 64 running streams: all slots of the server are in use.
#[test]
fn a_server_without_a_free_slot_is_the_last_choice() {
    let mut instance = Instance::learned(2);
    let ids: Vec<Arc<str>> = instance.servers.iter().map(|s| s.id.clone()).collect();
    for _ in 0..64 {
        instance.load.begin(&ids[0], 0);
    }
    for _ in 0..63 {
        instance.load.begin(&ids[1], 0);
    }

    let chosen = instance.place(None, 0, SHORT);

    assert_eq!(chosen, ids[1]);
}

/// Guards against another order than that of `choice::pick` before anything was learned, on which
/// instances would disagree.
#[test]
fn before_anything_was_learned_the_order_is_that_of_pick() {
    let mut rng = SmallRng::seed_from_u64(3);
    for round in 0..200 {
        let mut instance = Instance::new(20);
        for _ in 0..40 {
            let id = instance.servers[rng.random_range(0..20)].id.clone();
            instance.load.begin(&id, rng.random_range(0..20_000));
        }
        let prefix = format!("prefix-{round}");
        let (affinity, shared) = match round % 2 {
            0 => (Some(&*prefix), 6_000),
            _ => (None, 0),
        };
        let criteria = Criteria {
            affinity,
            shared_tokens: shared,
            random: 7,
        };
        let candidates: Vec<&Arc<Entry>> = instance.servers.iter().collect();
        let (load, health) = (&instance.load, &instance.health);
        let expected = choice::pick(&candidates, &criteria, load, health, |_| true, 0);
        let expected = expected.unwrap().id.clone();

        let chosen = instance.pick(affinity, shared, 9_000).server.id.clone();

        assert_eq!(chosen, expected);
    }
}

/// Guards against instances that disagree on the server for a prefix because they observed
/// different speeds or are assigned different servers.
#[test]
fn instances_agree_where_no_copy_is_known() {
    for number in 0..50 {
        let prefix = format!("prefix-{number}");
        let mut servers = Vec::new();
        for name in ["router-0", "router-1", "router-2"] {
            let mut instance = Instance::learned(20);
            instance.assignment = Assignment::new(name.into());
            let names = ["router-0", "router-1", "router-2"].map(Arc::from);
            instance.assignment.set_instances(&names);
            let slow = instance.servers[servers.len()].id.clone();
            instance.observe(&slow, sent(1_000), 1.5, 0);
            servers.push(instance.place(Some(&prefix), 6_300, 9_190));
        }

        servers.dedup();
        assert_eq!(servers.len(), 1, "{servers:?}");
    }
}

/// Guards against copies of a prefix for a small gain of time.
#[test]
fn a_cached_prefix_is_used_where_it_is_cached() {
    let mut instance = Instance::learned(20);
    let first = instance.place(Some("prefix"), 6_300, 7_000);
    instance.load.finish_prefill(&first, 7_000);
    instance.load.begin(&first, 20_000);

    let second = instance.place(Some("prefix"), 6_300, 7_000);

    assert_eq!(first, second);
}

/// Guards against a first event after the target where the prefix is cached, while another server
/// would be in time.
#[test]
fn a_cached_prefix_is_processed_again_if_it_would_be_late() {
    let mut instance = Instance::learned(20);
    let first = instance.place(Some("prefix"), 6_300, 7_000);
    instance.load.finish_prefill(&first, 7_000);
    // 600 ms, while today's rule accepts some 500 ms more than elsewhere.
    instance.load.begin(&first, 30_000);

    let second = instance.pick(Some("prefix"), 6_300, 7_000);

    assert_ne!(second.server.id, first);
    assert!(!second.is_late);
}

/// Guards against a forecast that refuses: all servers are slow, and all but one are ejected.
#[test]
fn a_service_of_slow_servers_is_used() {
    let mut instance = Instance::learned(5);
    let ids: Vec<Arc<str>> = instance.servers.iter().map(|s| s.id.clone()).collect();
    for id in &ids {
        for _ in 0..5 {
            instance.observe(id, sent(10_000), 4.0, 0);
        }
        instance.load.begin(id, 100_000);
    }
    for id in &ids[1..] {
        for _ in 0..3 {
            instance.health.record_outcome(id, Outcome::Bad, 0);
        }
    }

    let choice = instance.pick(None, 0, SHORT);

    assert!(choice.is_late);
    assert_eq!(choice.server.id, ids[0]);
}

/// Guards against a long prompt where another instance reported one within the last second.
#[test]
fn a_recent_long_prompt_of_another_instance_is_avoided() {
    let mut instance = Instance::learned(2);
    let first = instance.pick(None, 0, LONG).server.id.clone();
    let report = Report {
        instance: "router-1".into(),
        sequence: 1,
        servers: vec![(first.clone(), 1, LONG)],
        locations: Vec::new(),
    };

    instance.recent.record_report(&report, 0);

    assert_ne!(instance.place(None, 0, LONG), first);
    assert!(!instance.recent.contains(&first, 1_000));
}

/// Guards against an assignment that is not computed again when instances come and go.
#[test]
fn assignments_follow_the_instances() {
    let names: Vec<Arc<str>> = (0..8).map(|n| format!("router-{n}").into()).collect();
    let servers = entries(100);
    let mut kept = Assignment::new(names[0].clone());
    for count in [8, 5, 1, 0, 3, 8, 2] {
        kept.set_instances(&names[..count]);
        let mut fresh = Assignment::new(names[0].clone());
        fresh.set_instances(&names[..count]);

        for server in &servers {
            assert_eq!(kept.rank(&server.id), fresh.rank(&server.id));
        }
    }
}

/// Guards against placement by forecast where the configuration does not call for it.
#[test]
fn only_engines_of_streams_with_a_short_gap_use_the_forecast() {
    let stream = Kind::Stream { resumable: true };
    let engine = Some(Engine {
        slots: 8,
        kv_capacity: 1_000,
        tokens_per_event: 4,
    });
    let uses = |kind, engine, gap_ms| {
        let configuration = Configuration {
            routes: vec![Arc::new(route(kind, gap_ms))],
            services: vec![Service {
                name: SERVICE.into(),
                max_connections: 8,
                engine,
                warmup: None,
            }],
            ..Configuration::default()
        };
        Table::new(configuration).is_gap_sensitive(SERVICE)
    };

    assert!(uses(stream, engine, 499));
    assert!(!uses(stream, engine, 500));
    assert!(!uses(stream, engine, 0));
    assert!(!uses(stream, None, 400));
    assert!(!uses(Kind::Safe, engine, 400));
}

fn sent(own_tokens: u64) -> Sent {
    Sent {
        tokens_ahead: 0,
        own_tokens,
        in_flight: 0,
    }
}

fn route(kind: Kind, gap_ms: u64) -> Route {
    Route {
        name: "chat".into(),
        host: "chat.example".into(),
        prefix: "/".into(),
        kind,
        timeout: Duration::from_secs(10),
        target_latency: Duration::from_millis(500),
        priority: 0,
        splits: vec![Split {
            service: SERVICE.into(),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
        sticky: true,
        target_gap: Duration::from_millis(gap_ms),
    }
}
