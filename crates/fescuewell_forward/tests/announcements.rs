//! Announcements of long prompts: what they add to the load, who receives them and what they cost.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_forward::choice::announcement::{
    Batch, Budget, MAX_BYTES_PER_S, MAX_PROMPTS, MAX_RECEIVERS, Outbox, Prompt, Queue, Reporters,
};
use fescuewell_forward::choice::{Load, Report};
use fescuewell_forward::config::{
    Configuration, Engine, Kind, MAX_SENSITIVE_GAP, Route, Service, Split, Table,
};
use fescuewell_forward::directory::{Directory, Member};
use fescuewell_forward::message::{Key, Message};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Uncached tokens of a long prompt.
const TOKENS: u64 = 17_020;
/// Time after which an announcement of that prompt expires, in milliseconds.
const LIFETIME_MS: u64 = 851;
const SERVER: &str = "server-1";

fn prompt(server: &str, uncached_tokens: u64) -> Prompt {
    Prompt {
        server: server.into(),
        uncached_tokens,
    }
}

fn batch(number: u64, report: u64) -> Batch {
    Batch {
        instance: "sender".into(),
        number,
        report,
        prompts: vec![prompt(SERVER, TOKENS)],
    }
}

fn report(sequence: u64, servers: &[(&str, u32, u64)]) -> Report {
    let servers = servers.iter();
    let servers = servers.map(|(id, in_flight, tokens)| ((*id).into(), *in_flight, *tokens));
    Report {
        instance: "sender".into(),
        sequence,
        servers: servers.collect(),
        locations: Vec::new(),
    }
}

/// Requests and pending tokens that an instance knows of at the server.
fn known(load: &Load) -> (u32, u64) {
    (load.in_flight(SERVER), load.pending_prefill(SERVER))
}

#[test]
fn a_prompt_counts_until_the_report_that_contains_it() {
    let mut load = Load::default();
    load.apply_report(report(6, &[]), 0);

    assert!(load.apply_announcement(batch(1, 8), 10));
    assert_eq!(known(&load), (1, TOKENS));

    load.apply_report(report(7, &[]), 20);
    assert_eq!(known(&load), (1, TOKENS), "report 7 was built before");

    load.apply_report(report(8, &[(SERVER, 1, TOKENS)]), 30);
    assert_eq!(known(&load), (1, TOKENS), "not counted twice");

    load.apply_report(report(9, &[]), 40);
    assert_eq!(known(&load), (0, 0));
}

/// Guards against a prompt that counts until it expires, because the report that contains it was
/// lost or not sent.
#[test]
fn a_later_report_replaces_the_announcement_too() {
    let mut load = Load::default();
    load.apply_announcement(batch(1, 8), 10);

    load.apply_report(report(11, &[]), 20);

    assert_eq!(known(&load), (0, 0));
}

/// Guards against an own report with a lower number than the announcement says, which would remove
/// the prompt before it is contained in a report.
#[test]
fn the_announced_sequence_is_that_of_the_next_report() {
    let mut load = Load::default();
    let server: Arc<str> = SERVER.into();
    load.report("sender".into(), 4, 0);

    load.begin(&server, TOKENS);
    let announced = load.next_sequence();
    let next = load.report("sender".into(), 5, 10);

    assert_eq!(announced, next.sequence);
    assert_eq!(next.servers, [(server, 1, TOKENS)]);
}

/// Guards against a server that is avoided for good: the sender died after its announcement and
/// before the request was sent, so no report follows.
#[test]
fn a_prompt_of_a_dead_sender_expires() {
    let times = [
        (4_000, 200),
        (TOKENS, LIFETIME_MS),
        (100_000, 2_000),
        (u64::MAX, 2_000),
    ];
    for (tokens, lifetime_ms) in times {
        let mut load = Load::default();
        let announcement = Batch {
            prompts: vec![prompt(SERVER, tokens)],
            ..batch(1, 1)
        };
        load.apply_announcement(announcement, 1_000);

        load.expire(1_000 + lifetime_ms - 1);
        assert_eq!(load.in_flight(SERVER), 1, "{tokens} tokens");
        load.expire_announcements(1_000 + lifetime_ms);
        assert_eq!(known(&load), (0, 0), "{tokens} tokens");
    }
}

/// Guards against load that is missing after a lost announcement: the report contains the prompt in
/// any case.
#[test]
fn a_lost_announcement_leaves_what_the_report_says() {
    let mut load = Load::default();

    load.apply_report(report(8, &[(SERVER, 1, TOKENS)]), 30);

    assert_eq!(known(&load), (1, TOKENS));
}

/// Guards against a datagram that is delivered twice and counts twice.
#[test]
fn a_duplicate_counts_once() {
    let mut load = Load::default();

    assert!(load.apply_announcement(batch(1, 8), 0));
    assert!(!load.apply_announcement(batch(1, 8), 1));
    assert!(load.apply_announcement(batch(2, 8), 2));
    assert!(!load.apply_announcement(batch(1, 8), 3));

    assert_eq!(known(&load), (2, 2 * TOKENS));
}

/// Guards against a prompt that counts twice because its announcement arrives after the report.
#[test]
fn a_late_announcement_is_dropped() {
    let mut load = Load::default();
    load.apply_report(report(8, &[(SERVER, 1, TOKENS)]), 0);

    assert!(!load.apply_announcement(batch(1, 7), 10));
    assert!(!load.apply_announcement(batch(2, 8), 10));

    assert_eq!(known(&load), (1, TOKENS));
}

/// Guards against dropping announcements that overtake each other, although no report contains
/// their prompts yet.
#[test]
fn announcements_out_of_order_all_count() {
    let mut load = Load::default();

    for number in [3, 1, 70, 2, 69] {
        load.apply_announcement(batch(number, 8), 0);
    }

    // Number 2 is too far below 70 to tell whether it is a duplicate.
    assert_eq!(known(&load), (4, 4 * TOKENS));
}

/// Guards against a restarted sender that is ignored for long: it numbers its batches and reports
/// from 1 again.
#[test]
fn a_restarted_sender_is_heard_after_two_seconds() {
    let mut load = Load::default();
    load.apply_report(report(900, &[]), 0);
    load.apply_announcement(batch(500, 901), 0);

    assert!(!load.apply_announcement(batch(1, 1), 1_000));
    assert!(load.apply_announcement(batch(2, 2), 2_000));

    assert_eq!(known(&load), (1, TOKENS));
}

/// Guards against a former report that blocks announcements for good although the sender has
/// restarted.
#[test]
fn an_expired_report_blocks_nothing() {
    let mut load = Load::default();
    load.apply_report(report(900, &[]), 0);

    assert!(!load.apply_announcement(batch(1, 1), 1_499));
    assert!(load.apply_announcement(batch(1, 1), 1_500));
}

/// The messages of a build that does not know announcements; the contents do not matter.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OldMessage {
    LoanRequest,
    LoanResponse,
    Digest,
    Crashes,
    CrashesWanted,
    SnapshotWanted,
    Summary,
    Limits,
}

/// Guards against an old build that reads an announcement as another message.
#[test]
fn an_old_build_drops_an_announcement() {
    let key = Key::new([7; 32]);

    let announcement = key.seal(&Message::Prefills(batch(1, 8)));
    let known = key.seal(&Message::CrashesWanted);

    assert_eq!(key.open_content::<OldMessage>(&announcement), None);
    assert_eq!(key.open_content(&known), Some(OldMessage::CrashesWanted));
}

/// Guards against memory that grows with a faulty instance's messages, or with the number of
/// senders.
#[test]
fn memory_is_bounded() {
    let mut load = Load::default();
    let prompts = vec![prompt(SERVER, TOKENS); MAX_PROMPTS];

    for number in 0..1_000 {
        let flood = Batch {
            instance: format!("sender-{number}").into(),
            prompts: prompts.clone(),
            ..batch(number, 1)
        };
        load.apply_announcement(flood, 0);
    }
    let oversized = Batch {
        prompts: vec![prompt("server-2", TOKENS); MAX_PROMPTS + 1],
        ..batch(1, 1)
    };
    let is_applied = load.apply_announcement(oversized, LIFETIME_MS);

    assert!(!is_applied, "more prompts than a batch may have");
    assert_eq!(known(&load), (0, 0), "expired");

    let mut accepted = 0;
    for number in 0..10_000 {
        let empty = Batch {
            instance: format!("sender-{number}").into(),
            prompts: Vec::new(),
            ..batch(1, 1)
        };
        accepted += usize::from(load.apply_announcement(empty, 10_000));
    }
    assert_eq!(accepted, 2_048);
}

#[test]
fn no_more_than_4096_prompts_count() {
    let mut load = Load::default();

    for number in 0..1_000 {
        let flood = Batch {
            prompts: vec![prompt(SERVER, TOKENS); MAX_PROMPTS],
            ..batch(number, 1)
        };
        load.apply_announcement(flood, 0);
    }

    assert_eq!(known(&load), (4_096, 4_096 * TOKENS));
}

/// Guards against sums that drift from their entries, so that a server is avoided forever or not at
/// all, whatever order messages arrive in.
#[test]
fn the_load_is_that_of_a_plain_list_in_any_order_of_messages() {
    let mut random = SmallRng::seed_from_u64(5);
    let servers = ["a", "b", "c"];
    for _ in 0..50 {
        let mut load = Load::default();
        // Of each accepted prompt: sender, server, tokens, report, expiry.
        let mut list: Vec<(usize, usize, u64, u64, u64)> = Vec::new();
        let mut now_ms = 0;
        for number in 1..300 {
            now_ms += random.random_range(0..40);
            list.retain(|entry| now_ms < entry.4);
            let sender = random.random_range(0..4);
            let instance: Arc<str> = format!("sender-{sender}").into();
            if random.random_bool(0.3) {
                let sequence = number / 2;
                load.apply_report(
                    Report {
                        instance,
                        sequence,
                        ..Report::default()
                    },
                    now_ms,
                );
                list.retain(|entry| entry.0 != sender || entry.3 > sequence);
                continue;
            }
            let server = random.random_range(0..servers.len());
            let tokens = random.random_range(4_000..60_000);
            let report = number / 2 + random.random_range(0..4);
            let announcement = Batch {
                instance,
                number,
                report,
                prompts: vec![prompt(servers[server], tokens)],
            };
            let is_applied = load.apply_announcement(announcement.clone(), now_ms);
            let is_applied_again = load.apply_announcement(announcement, now_ms);
            assert!(!is_applied_again);
            if is_applied {
                let expires_at_ms = now_ms + (tokens / 20).min(2_000);
                list.push((sender, server, tokens, report, expires_at_ms));
            }
            load.expire_announcements(now_ms);
            for (index, server) in servers.iter().enumerate() {
                let own = list.iter().filter(|entry| entry.1 == index);
                let tokens: u64 = own.clone().map(|entry| entry.2).sum();
                let expected = (own.count() as u32, tokens);
                let actual = (load.in_flight(server), load.pending_prefill(server));
                assert_eq!(actual, expected);
            }
        }
    }
}

/// Guards against a batch whose prompts are in different reports: the first report would remove
/// prompts that it does not contain.
#[test]
fn prompts_share_a_batch_if_one_report_contains_them() {
    let mut queue = Queue::default();
    let sender: Arc<str> = "sender".into();
    for (tokens, report) in [(5_000, 3), (6_000, 3), (7_000, 4)] {
        assert!(queue.push(prompt(SERVER, tokens), report));
    }

    let first = queue.take(&sender).unwrap();
    let second = queue.take(&sender).unwrap();

    assert_eq!((first.number, first.report, first.prompts.len()), (1, 3, 2));
    assert_eq!(
        (second.number, second.report, second.prompts.len()),
        (2, 4, 1)
    );
    assert_eq!(queue.take(&sender), None);
}

/// Guards against a queue that grows while nothing sends its prompts.
#[test]
fn a_full_queue_takes_no_more_prompts() {
    let mut queue = Queue::default();

    let accepted = (0..1_000).filter(|_| queue.push(prompt(SERVER, TOKENS), 1));
    assert_eq!(accepted.count(), 64);

    let sender: Arc<str> = "sender".into();
    let sizes: Vec<usize> = std::iter::from_fn(|| queue.take(&sender))
        .map(|batch| batch.prompts.len())
        .collect();
    assert_eq!(sizes, [MAX_PROMPTS; 4]);
}

fn address(index: usize) -> SocketAddr {
    let octets = [10, 0, (index / 250) as u8, (index % 250) as u8];
    (octets, 7_000).into()
}

fn member(index: usize) -> Member {
    Member {
        address: address(index),
        peer: Some(address(index)),
        zone: format!("zone-{}", index % 4).into(),
        weight: 250,
        requests_per_s: 30,
        usage: Vec::new(),
        heartbeat_at_ms: 1_000,
        unready_until_ms: 0,
        era: 0,
        knows_grants: true,
        interval_ms: 0,
    }
}

fn directory(size: usize) -> Directory {
    let members = (0..size).map(|index| (format!("instance-{index:04}").into(), member(index)));
    let members: BTreeMap<Arc<str>, Member> = members.collect();
    let mut directory = Directory::default();
    directory.replace(members, 1_000);
    directory
}

/// Returns the indices of instances that are advertised, and of those that are not.
fn divide(directory: &Directory, size: usize) -> (Vec<usize>, Vec<usize>) {
    let is_advertised = |index: &usize| directory.is_advertised(&format!("instance-{:04}", *index));
    (0..size).partition(is_advertised)
}

/// Guards against instances that serve callers without being advertised and never learn of long
/// prompts.
#[test]
fn recent_reporters_receive_announcements_like_advertised_instances() {
    let directory = directory(6);
    let (advertised, others) = divide(&directory, 6);
    assert!(others.len() >= 2);
    let own = address(advertised[0]);
    let reporter = address(others[0]);
    let mut outbox = Outbox::default();
    outbox.reporters.record(reporter, 100);
    outbox.reporters.record(own, 100);
    let sorted = |now_ms: u64| {
        let mut receivers = outbox.receivers(&directory, Some(own), 1, now_ms);
        receivers.sort_unstable();
        receivers
    };

    let mut expected: Vec<SocketAddr> = advertised[1..].iter().map(|at| address(*at)).collect();
    assert_eq!(sorted(1_600), expected);
    expected.push(reporter);
    expected.sort_unstable();
    assert_eq!(sorted(1_599), expected);
}

/// Guards against announcements that anyone can direct to an address of his choice: load reports
/// are not authenticated.
#[test]
fn a_reporter_that_is_no_member_receives_nothing() {
    let mut outbox = Outbox::default();
    outbox.reporters.record(address(9_000), 0);

    assert!(
        !outbox
            .receivers(&directory(6), None, 1, 0)
            .contains(&address(9_000))
    );
    let unknown = outbox.receivers(&Directory::default(), None, 1, 0);
    assert_eq!(unknown, [address(9_000)], "no member is known yet");
}

/// Guards against memory that grows with forged sender addresses.
#[test]
fn the_number_of_reporters_is_bounded() {
    let mut reporters = Reporters::default();

    for index in 0..5_000 {
        reporters.record(address(index), 0);
    }
    assert_eq!(reporters.recent(0).count(), 1_024);

    reporters.record(address(6_000), 1_500);
    assert_eq!(reporters.recent(1_500).count(), 1);
}

/// Guards against the same receivers each time if there are more than 24, so that the others never
/// learn of anything.
#[test]
fn each_of_many_candidates_is_drawn() {
    let directory = directory(300);
    let mut drawn: HashMap<SocketAddr, usize> = HashMap::new();
    let candidates = directory.advertised().len();
    assert!(candidates > MAX_RECEIVERS);

    for random in 0..500 {
        let receivers = Outbox::default().receivers(&directory, None, random, 0);
        assert_eq!(receivers.len(), MAX_RECEIVERS);
        for receiver in receivers {
            *drawn.entry(receiver).or_default() += 1;
        }
    }

    assert_eq!(drawn.len(), candidates);
}

#[test]
fn the_budget_is_a_token_bucket_over_all_receivers() {
    let mut budget = Budget::default();

    assert_eq!(budget.take(100, 24, 0), 15, "1,536 bytes at once");
    assert_eq!(budget.take(100, 24, 10), 0);
    assert_eq!(budget.take(100, 24, 410), 10, "2,560 bytes per second");
    assert_eq!(budget.take(100, 3, 60_000), 3);
    assert_eq!(budget.take(100, 24, 60_000), 12);
}

/// What one instance sent within one second.
#[derive(Debug, Default, Clone, Copy)]
struct Cost {
    bytes: usize,
    datagrams: usize,
}

/// A fleet in which some instances place long prompts at random times; they are alike. All instances
/// report their load to the advertised ones.
struct Fleet {
    size: usize,
    directory: Directory,
    outboxes: Vec<Outbox>,
    random: SmallRng,
    dropped: usize,
    prompts: usize,
    /// By sender and second.
    sent: Vec<Vec<Cost>>,
    sent_datagrams: usize,
}

/// Number of instances whose announcements are simulated.
const SENDERS: usize = 9;

const SECONDS: usize = 5;
const STEP_MS: usize = 10;

impl Fleet {
    fn new(size: usize) -> Self {
        Self {
            size,
            directory: directory(size),
            outboxes: (0..SENDERS).map(|_| Outbox::default()).collect(),
            random: SmallRng::seed_from_u64(size as u64),
            dropped: 0,
            prompts: 0,
            sent: vec![vec![Cost::default(); SECONDS]; SENDERS],
            sent_datagrams: 0,
        }
    }

    fn run(&mut self, prompts_per_s: f64) {
        let (advertised, others) = divide(&self.directory, self.size);
        let key = Key::new([7; 32]);
        for now_ms in (0..SECONDS * 1_000).step_by(STEP_MS) {
            // One in five callers is at an instance that is not advertised.
            for receiver in advertised.iter().filter(|index| **index < SENDERS) {
                let Some(reporter) = others.choose(&mut self.random) else {
                    continue;
                };
                let reporters = &mut self.outboxes[*receiver].reporters;
                reporters.record(address(*reporter), now_ms as u64);
            }
            for index in 0..SENDERS {
                let probability = prompts_per_s * STEP_MS as f64 / 1_000.0;
                if self.random.random_bool(probability) {
                    self.place(index, now_ms, &key);
                }
            }
        }
    }

    fn place(&mut self, index: usize, now_ms: usize, key: &Key) {
        self.prompts += 1;
        let sender: Arc<str> = format!("instance-{index:04}").into();
        let server = format!("engine-{:05}", self.random.random_range(0..10_000));
        let outbox = &mut self.outboxes[index];
        outbox
            .queue
            .push(prompt(&server, TOKENS), now_ms as u64 / 10);
        let batch = outbox.queue.take(&sender).unwrap();
        let draw = self.random.random();
        let own = Some(address(index));
        let receivers = outbox.receivers(&self.directory, own, draw, now_ms as u64);
        let bytes = key.seal(&Message::Prefills(batch)).len();
        let allowed = outbox.budget.take(bytes, receivers.len(), now_ms as u64);
        self.dropped += receivers.len() - allowed;
        let cost = &mut self.sent[index][now_ms / 1_000];
        cost.bytes += allowed * bytes;
        cost.datagrams += allowed;
        self.sent_datagrams += allowed;
    }
}

/// Guards against control traffic that grows with the fleet or with its load: narrow instances have
/// links of 10 Mbit/s, and the limit is 4 KB per second.
#[test]
fn announcements_keep_within_their_budget_in_fleets_of_any_size() {
    for size in [9, 74, 300, 985] {
        for prompts_per_s in [1.74, 30.0] {
            let mut fleet = Fleet::new(size);

            fleet.run(prompts_per_s);

            let seconds = fleet.sent.iter().flatten();
            let most_bytes = seconds.clone().map(|cost| cost.bytes).max().unwrap();
            let most_datagrams = seconds.clone().map(|cost| cost.datagrams).max().unwrap();
            let mean = seconds.map(|cost| cost.bytes).sum::<usize>() / SENDERS / SECONDS;
            let advertised = fleet.directory.advertised().len();
            let sent = fleet.sent_datagrams;
            let per_s = (sent * size) as f64 / (SENDERS * SECONDS) as f64;
            println!(
                "{size} instances, {advertised} advertised, {prompts_per_s} prompts per second \
                 each: {mean} bytes per second on average, {most_bytes} bytes and \
                 {most_datagrams} datagrams in the busiest second, {:.0} datagrams per second \
                 received by an advertised instance at most, {:.0}% of the datagrams of {} \
                 prompts dropped",
                per_s / advertised as f64,
                100.0 * fleet.dropped as f64 / (sent + fleet.dropped) as f64,
                fleet.prompts,
            );
            assert!(most_bytes as u64 <= MAX_BYTES_PER_S, "{most_bytes}");
            assert!(most_datagrams <= 100, "{most_datagrams}");
            assert!(sent > 0);
        }
    }
}

fn route(kind: Kind, service: &str, target_gap: Duration) -> Arc<Route> {
    Arc::new(Route {
        name: "route".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(500),
        priority: 0,
        splits: vec![Split {
            service: service.into(),
            weight: 1,
        }],
        max_attempts: 1,
        public: false,
        sticky: false,
        target_gap,
    })
}

fn service(name: &str, is_engine: bool) -> Service {
    let engine = Engine {
        slots: 64,
        kv_capacity: 400_000,
        tokens_per_event: 4,
    };
    Service {
        name: name.into(),
        max_connections: 64,
        engine: is_engine.then_some(engine),
        warmup: None,
    }
}

/// Guards against new behaviour in deployments that do not call for it.
#[test]
fn only_engines_behind_streams_with_a_short_gap_are_gap_sensitive() {
    let stream = Kind::Stream { resumable: false };
    let just_below = MAX_SENSITIVE_GAP - Duration::from_millis(1);
    let table = Table::new(Configuration {
        routes: vec![
            route(stream, "chat", just_below),
            route(stream, "chat", Duration::from_secs(2)),
            route(stream, "slow-chat", MAX_SENSITIVE_GAP),
            route(stream, "feed", just_below),
            route(Kind::Safe, "embeddings", just_below),
            route(stream, "no-objective", Duration::ZERO),
        ],
        services: vec![
            service("chat", true),
            service("slow-chat", true),
            service("feed", false),
            service("embeddings", true),
            service("no-objective", true),
        ],
        ..Configuration::default()
    });
    let names = [
        "chat",
        "slow-chat",
        "feed",
        "embeddings",
        "no-objective",
        "?",
    ];

    let sensitive = names
        .into_iter()
        .filter(|name| table.is_gap_sensitive(name));

    assert_eq!(sensitive.collect::<Vec<_>>(), ["chat"]);
}
