//! Parts of prompts that crash servers, in a model of a fleet whose instances exchange records, and counts of what that
//! takes at 9, 100 and 985 instances.

use std::collections::BTreeMap;

use fescuewell_forward::crash::{Fingerprint, Quarantine, Update, Verdict};
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::server::Incarnation;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Start of each test in milliseconds of the store's clock.
const START_MS: u64 = 1_000_000;
/// Time within which all instances must know a part under which five servers have crashed, in milliseconds.
const STABLE_WINDOW_MS: u64 = 3_000;
/// Crashes after which at most [`MAX_FURTHER_SENDS`] requests may be sent, from the window's end on.
const CRASHES: usize = 5;
const MAX_FURTHER_SENDS: usize = 3;
/// Records in a message, receivers of a change, and bytes a second for changes, as the gateway has them.
const MAX_RECORDS: usize = 8;
const FANOUT: usize = 8;
const BYTES_S: f64 = 2_048.0;
/// Bytes a second that an instance may use for control traffic; see docs/CAPACITY.md.
const MAX_BYTES_S: usize = 4_096;
const STEP_MS: u64 = 5;
const FIRST_PARTS: u64 = 10;
const RARE_PARTS: u64 = 400;
/// Requests that run at a server when it crashes.
const BESIDE: usize = 20;

fn part(number: u64) -> Fingerprint {
    Fingerprint::of_part("pool", "m", &format!("{number:x}"))
}

fn culprit() -> Fingerprint {
    part(u64::MAX)
}

fn server(number: u64) -> Incarnation {
    Incarnation::from_number(number)
}

fn crashed(quarantine: &mut Quarantine, part: Fingerprint, servers: std::ops::Range<u64>) {
    for number in servers {
        quarantine.crash(part, server(number), START_MS + number);
    }
}

fn is_quarantined(quarantine: &Quarantine, part: Fingerprint, now_ms: u64) -> bool {
    matches!(
        quarantine.verdict(part, now_ms),
        Verdict::Quarantined { .. }
    )
}

/// Guards against a first part that is refused with the culprit, since all requests that have run so far had both.
#[test]
fn of_two_parts_with_equal_evidence_none_is_quarantined_before_the_fifth_crash() {
    let mut quarantine = Quarantine::of_parts();
    for one in [part(1), culprit()] {
        crashed(&mut quarantine, one, 0..4);
    }

    let undecided = [part(1), culprit()].map(|one| is_quarantined(&quarantine, one, START_MS + 10));
    quarantine.answered(part(1), START_MS + 11);
    let decided = [part(1), culprit()].map(|one| is_quarantined(&quarantine, one, START_MS + 12));

    assert_eq!(undecided, [false, false]);
    assert_eq!(decided, [false, true]);
}

#[test]
fn a_part_that_stands_out_is_quarantined_by_its_third_crash_and_any_by_its_fifth() {
    let mut alone = Quarantine::of_parts();
    crashed(&mut alone, culprit(), 0..3);
    let mut among_others = Quarantine::of_parts();
    for number in 0..4 {
        crashed(&mut among_others, part(number), 0..4);
    }
    let fourth = is_quarantined(&among_others, part(0), START_MS + 10);
    crashed(&mut among_others, part(0), 4..5);

    assert!(is_quarantined(&alone, culprit(), START_MS + 10));
    assert!(!fourth);
    assert!(is_quarantined(&among_others, part(0), START_MS + 10));
}

/// Guards against a crash that counts for each request with the part that was running.
#[test]
fn a_crash_of_one_server_counts_once_for_a_part() {
    let mut quarantine = Quarantine::of_parts();

    for _ in 0..10 {
        quarantine.crash(culprit(), server(1), START_MS);
    }

    let expected = Verdict::Suspect { is_isolated: false };
    assert_eq!(quarantine.verdict(culprit(), START_MS), expected);
}

/// Guards against evidence for a part that only the instance with the answer knows.
#[test]
fn an_answer_at_another_instance_clears_a_part() {
    let mut accuser = Quarantine::of_parts();
    let mut other = Quarantine::of_parts();
    crashed(&mut accuser, part(1), 0..5);
    other.answered(part(1), START_MS + 100);

    other.merge(accuser.take_fresh(MAX_RECORDS), START_MS + 200);
    accuser.merge(other.take_fresh(MAX_RECORDS), START_MS + 200);

    for quarantine in [&accuser, &other] {
        assert!(!is_quarantined(quarantine, part(1), START_MS + 200));
    }
}

/// Guards against a false verdict that lasts: a sound part is probed within seconds, and its answer ends the quarantine.
#[test]
fn a_quarantined_part_is_probed_after_seconds() {
    let mut quarantine = Quarantine::of_parts();
    crashed(&mut quarantine, part(1), 0..5);

    let verdict = quarantine.verdict(part(1), START_MS + 3_100);
    quarantine.answered(part(1), START_MS + 3_200);

    assert_eq!(verdict, Verdict::Quarantined { may_probe: true });
    assert_eq!(
        quarantine.verdict(part(1), START_MS + 3_200),
        Verdict::Clear
    );
}

/// Guards against more probes of a part that still crashes servers than may be sent after its fifth crash.
#[test]
fn a_part_is_probed_three_times_at_most() {
    let mut quarantine = Quarantine::of_parts();
    crashed(&mut quarantine, culprit(), 0..5);
    let mut probes = 0;

    for second in 0..24 * 60 * 60 {
        let now_ms = START_MS + second * 1_000;
        if quarantine.verdict(culprit(), now_ms) == (Verdict::Quarantined { may_probe: true }) {
            probes += 1;
            quarantine.probe(culprit(), now_ms);
            quarantine.crash(culprit(), server(100 + probes), now_ms);
        }
    }

    assert!(probes <= MAX_FURTHER_SENDS as u64, "{probes}");
}

/// Guards against sound parts that are refused after two waves in which half of all servers crash for reasons of their own.
#[test]
fn two_waves_of_unrelated_crashes_quarantine_no_part() {
    let mut random = SmallRng::seed_from_u64(7);
    let mut quarantine = Quarantine::of_parts();

    for wave in 0..2 {
        for number in 0..20 {
            for _ in 0..BESIDE {
                let rare = part(100 + random.random_range(0..RARE_PARTS));
                quarantine.crash(rare, server(wave * 100 + number), START_MS + wave * 8_000);
            }
        }
        // Each part is used again within seconds.
        for number in 0..RARE_PARTS {
            quarantine.answered(part(100 + number), START_MS + wave * 8_000 + 4_000);
        }
    }

    assert!(quarantine.quarantined(START_MS + 13_000).is_empty());
}

/// A fleet whose instances exchange records of parts.
struct Fleet {
    random: SmallRng,
    instances: Vec<Quarantine>,
    /// Time from which each instance may send changes again.
    next_send_ms: Vec<u64>,
    /// Messages under way by their arrival: receiver and records.
    under_way: BTreeMap<u64, Vec<(usize, Vec<Update>)>>,
    sent_bytes: Vec<usize>,
    key: Key,
}

/// What a play shows.
#[derive(Debug, Default)]
struct Outcome {
    crashes: usize,
    late_sends: usize,
    refused_sound: usize,
    sound: usize,
    max_bytes_s: usize,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let instance = || {
            let mut quarantine = Quarantine::of_parts();
            quarantine.set_forwarding(size > FANOUT + 1);
            quarantine
        };
        Self {
            random: SmallRng::seed_from_u64(seed),
            instances: (0..size).map(|_| instance()).collect(),
            next_send_ms: vec![0; size],
            under_way: BTreeMap::new(),
            sent_bytes: vec![0; size],
            key: Key::new([7; 32]),
        }
    }

    fn any_instance(&mut self) -> usize {
        self.random.random_range(0..self.instances.len())
    }

    fn exchange(&mut self, now_ms: u64) {
        let later = self.under_way.split_off(&(now_ms + 1));
        for (at, updates) in std::mem::replace(&mut self.under_way, later)
            .into_values()
            .flatten()
        {
            self.instances[at].merge(updates, now_ms);
        }
        for at in 0..self.instances.len() {
            if now_ms < self.next_send_ms[at] || !self.instances[at].has_fresh() {
                continue;
            }
            let updates = self.instances[at].take_fresh(MAX_RECORDS);
            let message = Message::PartCrashes(updates.clone());
            let peers = FANOUT.min(self.instances.len() - 1);
            let bytes = self.key.seal(&message).len() * peers;
            self.sent_bytes[at] += bytes;
            self.next_send_ms[at] = now_ms + (bytes as f64 / BYTES_S * 1_000.0) as u64;
            let others: Vec<usize> = (0..self.instances.len()).filter(|to| *to != at).collect();
            for to in others.choose_multiple(&mut self.random, peers).copied() {
                let arrival = now_ms + self.random.random_range(1..20);
                let messages = self.under_way.entry(arrival).or_default();
                messages.push((to, updates.clone()));
            }
        }
    }

    /// A server crashes under a request with the culprit at one instance and sound ones at others.
    fn crash(&mut self, number: u64, at: usize, now_ms: u64) {
        let server = server(number);
        self.instances[at].crash(culprit(), server, now_ms);
        self.instances[at].crash(part(0), server, now_ms);
        for _ in 0..BESIDE {
            let at = self.any_instance();
            let parts = self.sound_parts();
            for part in parts {
                self.instances[at].crash(part, server, now_ms);
            }
        }
    }

    /// Shared parts of a sound request.
    fn sound_parts(&mut self) -> [Fingerprint; 2] {
        let first = self.random.random_range(0..FIRST_PARTS);
        let rare = 100 + self.random.random_range(0..RARE_PARTS);
        [part(first), part(rare)]
    }

    /// Plays requests with the culprit every 0.25 s, and 200 sound ones a second.
    fn play(&mut self) -> Outcome {
        const PLAY_MS: u64 = 15_000;
        let mut outcome = Outcome::default();
        let mut pending: Vec<(u64, usize)> = Vec::new();
        let mut fifth_ms = u64::MAX;
        for step in 0..PLAY_MS / STEP_MS {
            let now_ms = START_MS + step * STEP_MS;
            self.exchange(now_ms);
            if step % 50 == 0 {
                let at = self.any_instance();
                if !is_quarantined(&self.instances[at], culprit(), now_ms) {
                    outcome.late_sends +=
                        usize::from(now_ms > fifth_ms.saturating_add(STABLE_WINDOW_MS));
                    pending.push((now_ms + self.random.random_range(60..400), at));
                }
            }
            let (due, left) = pending
                .into_iter()
                .partition(|(due_ms, _)| *due_ms <= now_ms);
            pending = left;
            for (_, at) in due {
                outcome.crashes += 1;
                self.crash(outcome.crashes as u64, at, now_ms);
                if outcome.crashes == CRASHES {
                    fifth_ms = now_ms;
                }
            }
            let at = self.any_instance();
            let parts = self.sound_parts();
            outcome.sound += 1;
            let is_refused =
                |part: &Fingerprint| is_quarantined(&self.instances[at], *part, now_ms);
            if parts.iter().any(is_refused) {
                outcome.refused_sound += 1;
                continue;
            }
            for part in parts {
                self.instances[at].answered(part, now_ms);
            }
        }
        let most = self.sent_bytes.iter().copied().max().unwrap_or_default();
        outcome.max_bytes_s = most * 1_000 / PLAY_MS as usize;
        outcome
    }
}

/// Guards against a culprit that is found late, sound parts that are refused, and traffic that grows with the fleet.
#[test]
fn a_part_is_found_in_time_at_any_size_of_the_fleet() {
    for (size, seeds) in [(9, 8), (100, 4), (985, 1)] {
        for seed in 0..seeds {
            let mut fleet = Fleet::new(size, seed);

            let outcome = fleet.play();

            println!("{size} instances, seed {seed}: {outcome:?}");
            assert!(
                outcome.late_sends <= MAX_FURTHER_SENDS,
                "{size} {seed} {outcome:?}"
            );
            assert!(
                outcome.refused_sound * 100 <= outcome.sound,
                "{size} {seed} {outcome:?}"
            );
            assert!(
                outcome.max_bytes_s < MAX_BYTES_S,
                "{size} {seed} {outcome:?}"
            );
            for quarantine in &fleet.instances {
                assert!(is_quarantined(quarantine, culprit(), START_MS + 15_000));
            }
        }
    }
}
