//! Quarantine of requests that crash servers, with instances that exchange records in any order.

use fescuewell_forward::crash::{
    Content, Crash, Fingerprint, Quarantine, REQUEST_PROBATION, Record, THRESHOLD, Update, Verdict,
};
use fescuewell_forward::server::Incarnation;
use proptest::prelude::*;

/// Start time of each test in milliseconds of the store's clock.
const START_MS: u64 = 1_000_000;
/// Initial quarantine period.
const FIRST_MS: u64 = 10 * 60 * 1_000;
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

fn request(number: u64) -> Fingerprint {
    Fingerprint::new(&Content {
        account: "group",
        method: "POST",
        host: "desk.example",
        target: "/stream/x",
        body: &number.to_le_bytes(),
    })
}

fn server(number: u64) -> Incarnation {
    Incarnation::from_number(number)
}

fn crashed(servers: std::ops::Range<u64>) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in servers {
        quarantine.crash(request(0), server(number), START_MS + number);
    }
    quarantine
}

fn everything(quarantine: &mut Quarantine) -> Vec<Update> {
    quarantine.sample(usize::MAX / 2)
}

#[test]
fn a_request_is_quarantined_by_its_third_crash() {
    let quarantined = Verdict::Quarantined { may_probe: false };

    let verdicts = [0, 1, 2, 3].map(|count| crashed(0..count).verdict(request(0), START_MS));

    let expected = [
        Verdict::Clear,
        Verdict::Suspect { is_isolated: false },
        Verdict::Suspect { is_isolated: true },
        quarantined,
    ];
    assert_eq!(verdicts, expected);
    assert_eq!(crashed(0..3).verdict(request(1), START_MS), Verdict::Clear);
}

#[test]
fn one_crash_counts_once_however_often_it_is_told() {
    let mut quarantine = crashed(0..1);

    let again = quarantine.crash(request(0), server(0), START_MS + 5);

    assert_eq!(again, None);
    let verdict = quarantine.verdict(request(0), START_MS + 5);
    assert_eq!(verdict, Verdict::Suspect { is_isolated: false });
}

/// Guards against concurrent attempts of a request that together crash more servers than allowed.
#[test]
fn a_suspect_runs_on_no_more_servers_than_may_still_crash() {
    let mut quarantine = crashed(0..2);
    quarantine.begin(request(0));

    let concurrent = quarantine.verdict(request(0), START_MS);
    quarantine.end(request(0));
    let after = quarantine.verdict(request(0), START_MS);

    assert_eq!(concurrent, Verdict::Busy);
    assert_eq!(after, Verdict::Suspect { is_isolated: true });
}

/// Guards against a quarantine of requests that ran concurrently with the culprit.
#[test]
fn a_whole_answer_clears_a_request_at_all_instances() {
    let mut own = crashed(0..3);
    let mut other = Quarantine::default();
    other.merge(everything(&mut own), START_MS);

    let is_cleared = own.answered(request(0), START_MS + 10);
    other.merge(everything(&mut own), START_MS + 10);

    assert!(is_cleared);
    assert_eq!(own.verdict(request(0), START_MS + 10), Verdict::Clear);
    assert_eq!(other.verdict(request(0), START_MS + 10), Verdict::Clear);
}

/// Guards against a quarantine of a popular request that was running at all servers of a service
/// when they lost power.
#[test]
fn a_request_that_was_answered_a_moment_ago_is_no_suspect() {
    let mut quarantine = Quarantine::default();
    quarantine.answered(request(0), START_MS);

    for number in 0..3 {
        quarantine.crash(request(0), server(number), START_MS + 5_000);
    }

    let verdict = quarantine.verdict(request(0), START_MS + 5_000);
    assert_eq!(verdict, Verdict::Clear);
}

#[test]
fn a_quarantine_ends_with_a_probe() {
    let quarantine = crashed(0..3);

    let before = quarantine.verdict(request(0), START_MS + FIRST_MS);
    let after = quarantine.verdict(request(0), START_MS + FIRST_MS + 2);

    assert_eq!(before, Verdict::Quarantined { may_probe: false });
    assert_eq!(after, Verdict::Quarantined { may_probe: true });
}

/// Guards against unlimited probes, each of which may crash a server.
#[test]
fn probes_get_rarer_and_end() {
    let mut record = Record::default();
    for number in 0..3 {
        let at_ms = START_MS;
        record.add(Crash {
            at_ms,
            server: server(number),
        });
    }
    let mut now_ms = START_MS;
    let mut probes = Vec::new();

    while !record.is_expired(now_ms) {
        now_ms += 60_000;
        if record.may_probe(REQUEST_PROBATION, now_ms) {
            record.probe(now_ms);
            let server = server(100 + probes.len() as u64);
            record.add(Crash {
                at_ms: now_ms,
                server,
            });
            probes.push((now_ms - START_MS) / 60_000);
        }
    }

    assert_eq!(probes, [10, 70, 430]);
}

/// Guards against an instance whose clock is ahead: its records would be kept for too long.
#[test]
fn crashes_of_the_future_are_left_alone() {
    let mut ahead = Quarantine::default();
    for number in 0..3 {
        ahead.crash(request(0), server(number), START_MS + DAY_MS);
    }
    let mut own = Quarantine::default();

    own.merge(everything(&mut ahead), START_MS);

    assert_eq!(own.verdict(request(0), START_MS), Verdict::Clear);
}

/// Guards against memory that grows with each crash of a busy server.
#[test]
fn records_are_bounded_and_the_worst_are_kept() {
    let mut quarantine = crashed(0..3);

    for number in 1..5_000 {
        quarantine.crash(request(number), server(1_000), START_MS + number);
    }

    assert!(everything(&mut quarantine).len() <= 512);
    let verdict = quarantine.verdict(request(0), START_MS);
    assert_eq!(verdict, Verdict::Quarantined { may_probe: false });
    assert_eq!(quarantine.take_fresh(1)[0].request, request(0));
}

/// Guards against false quarantines of requests that were running at servers which crashed for
/// other reasons.
#[test]
fn two_waves_of_crashes_quarantine_no_request() {
    let mut quarantine = Quarantine::default();

    for wave in 0..2 {
        for number in 0..500 {
            // Each request was retried at another server after the first wave.
            let at = server(wave * 1_000 + number % 40);
            quarantine.crash(request(number), at, START_MS + wave * 3_000);
        }
    }

    assert!(quarantine.quarantined(START_MS).is_empty());
}

fn record() -> impl Strategy<Value = Record> {
    let crashes = prop::collection::vec((0..20_u64, 0..12_u64), 0..10);
    let probes = prop::collection::vec(0..20_u64, 0..3);
    (crashes, 0..20_u64, probes).prop_map(|(crashes, cleared_ms, probes)| {
        let mut record = Record::default();
        for (at_ms, number) in crashes {
            record.add(Crash {
                at_ms,
                server: server(number),
            });
        }
        record.clear(cleared_ms);
        for at_ms in probes {
            record.probe(at_ms);
        }
        record
    })
}

fn merged(left: &Record, right: &Record) -> Record {
    let mut merged = left.clone();
    merged.merge(right);
    merged
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn records_merge_in_any_order(left in record(), middle in record(), right in record()) {
        let left_first = merged(&merged(&left, &middle), &right);
        let right_first = merged(&left, &merged(&right, &middle));

        prop_assert_eq!(&left_first, &right_first);
        prop_assert_eq!(merged(&left_first, &left), left_first);
    }
}

/// Number of instances in the model.
const INSTANCES: usize = 4;

/// Step of the model.
#[derive(Debug, Clone)]
enum Step {
    /// A caller sends the request to an instance.
    Send(usize),
    /// An attempt at an instance crashes its server.
    Crash(usize),
    /// A message of one instance reaches another.
    Deliver(usize, usize),
    /// The oldest message is delivered again.
    DeliverLate,
    /// All instances exchange messages.
    DeliverAll,
    /// An instance is killed and loads the records of the store or of another instance when it
    /// restarts.
    Restart(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        4 => instance.clone().prop_map(Step::Send),
        4 => instance.clone().prop_map(Step::Crash),
        2 => (instance.clone(), instance.clone()).prop_map(|(from, to)| Step::Deliver(from, to)),
        1 => Just(Step::DeliverLate),
        1 => Just(Step::DeliverAll),
        1 => (instance, any::<bool>()).prop_map(|(at, store)| Step::Restart(at, store)),
    ]
}

#[derive(Default)]
struct Fleet {
    instances: [Quarantine; INSTANCES],
    running: [usize; INSTANCES],
    store: Vec<Update>,
    late: Vec<(usize, Vec<Update>)>,
    crashes: u64,
    now_ms: u64,
    /// Whether all instances know of three crashes.
    is_known: bool,
    /// Number of attempts sent after that.
    excess: usize,
}

impl Fleet {
    fn take(&mut self, step: Step) {
        self.now_ms += 10;
        match step {
            Step::Send(at) => self.send(at),
            Step::Crash(at) => self.crash(at),
            Step::Deliver(from, to) => {
                let message = everything(&mut self.instances[from]);
                self.late.push((to, message.clone()));
                self.instances[to].merge(message, START_MS + self.now_ms);
            }
            Step::DeliverLate => {
                if let Some((to, message)) = self.late.first().cloned() {
                    self.instances[to].merge(message, START_MS + self.now_ms);
                }
            }
            Step::DeliverAll => self.deliver_all(),
            Step::Restart(at, from_store) => self.restart(at, from_store),
        }
    }

    fn send(&mut self, at: usize) {
        let verdict = self.instances[at].verdict(request(0), START_MS + self.now_ms);
        if matches!(verdict, Verdict::Clear | Verdict::Suspect { .. }) {
            self.instances[at].begin(request(0));
            self.running[at] += 1;
            self.excess += usize::from(self.is_known);
        }
    }

    fn crash(&mut self, at: usize) {
        if self.running[at] == 0 {
            return;
        }
        self.running[at] -= 1;
        self.instances[at].end(request(0));
        self.crashes += 1;
        let server = server(self.crashes);
        self.instances[at].crash(request(0), server, START_MS + self.now_ms);
        for update in self.instances[at].take_unrecorded() {
            self.store = vec![update];
        }
    }

    fn deliver_all(&mut self) {
        for from in 0..INSTANCES {
            let message = everything(&mut self.instances[from]);
            for instance in &mut self.instances {
                instance.merge(message.clone(), START_MS + self.now_ms);
            }
        }
        // Crashes known only to an instance that was killed before its next message are lost.
        let now_ms = START_MS + self.now_ms;
        self.is_known = self.instances.iter().all(|instance| {
            let verdict = instance.verdict(request(0), now_ms);
            matches!(verdict, Verdict::Quarantined { .. })
        });
    }

    /// Ends the instance's attempts. Without a quarantine in the store it loads the records of
    /// another instance.
    fn restart(&mut self, at: usize, from_store: bool) {
        self.running[at] = 0;
        self.instances[at] = Quarantine::default();
        let mut message = match from_store {
            true => self.store.clone(),
            false => Vec::new(),
        };
        if message.is_empty() {
            message = everything(&mut self.instances[(at + 1) % INSTANCES]);
        }
        self.instances[at].merge(message, START_MS + self.now_ms);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against any sequence in which a request is sent although every instance knows of its
    /// third crash.
    #[test]
    fn nobody_sends_a_request_whose_third_crash_is_known(steps in prop::collection::vec(step(), 1..120)) {
        let mut fleet = Fleet::default();

        for step in steps {
            fleet.take(step);
        }

        prop_assert_eq!(fleet.excess, 0);
    }

    /// Guards against a limit that holds only if all instances learn of each crash at once; each
    /// must keep it on its own.
    #[test]
    fn one_instance_crashes_no_more_than_allowed_by_a_suspect(steps in prop::collection::vec(step(), 1..120)) {
        let mut fleet = Fleet::default();

        for step in steps {
            let at = match &step {
                Step::Send(at) | Step::Crash(at) => *at,
                _ => 0,
            };
            let is_suspect = !matches!(
                fleet.instances[at].verdict(request(0), START_MS + fleet.now_ms),
                Verdict::Clear
            );
            let before = fleet.running[at];
            let sends = matches!(step, Step::Send(_));
            fleet.take(step);
            if sends && is_suspect {
                prop_assert!(fleet.running[at] <= before.max(THRESHOLD - 1));
            }
        }
    }
}

/// Guards against an overflow, which would crash every instance that receives the record.
#[test]
fn a_record_of_the_end_of_time_is_left_alone() {
    let mut future = Record::default();
    for number in 0..3 {
        let at_ms = u64::MAX - number;
        let server = server(number);
        future.add(Crash { at_ms, server });
    }
    future.probe(u64::MAX);
    let update = Update {
        request: request(0),
        record: future,
    };
    let mut own = Quarantine::default();

    own.merge([update], START_MS);

    assert_eq!(own.verdict(request(0), START_MS), Verdict::Clear);
}
