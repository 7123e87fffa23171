//! Tests of the records of software versions that began streams: what is held, where, and for how long.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::server::Build;
use fescuewell_forward::stream::{
    Attempt, Batch, COPIES, COPIES_IN_LARGE_FLEET, Holders, Lookup, MAX_ASKED, MAX_BATCH,
    MAX_RECORDS, Outbox, Progress, Reach, Record, Records, Site, Target,
};

/// Fleet sizes; the last one is beyond the size that the product is designed for.
const SIZES: [usize; 3] = [9, 100, 985];
const ZONES: usize = 11;
/// Streams of each instance in the test of costs, a part of those in a second.
const SAMPLED_STREAMS: usize = 4;

fn attempt(number: usize) -> Attempt {
    Attempt::new("group", &format!("r-{number}"))
}

fn record(number: usize, version: &str) -> Record {
    Record {
        attempt: attempt(number),
        build: Build::new("pool", version),
        ttl_s: 10,
    }
}

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    ([10, 1, high, low], 7_340).into()
}

fn zone(number: usize) -> usize {
    number % ZONES
}

fn site(number: usize) -> Site {
    Site::new(
        &format!("entry-{number}"),
        &format!("z{}", zone(number)),
        address(number),
    )
}

fn copies(size: usize) -> usize {
    match size < 100 {
        true => COPIES,
        false => COPIES_IN_LARGE_FLEET,
    }
}

fn holders<Members>(members: Members, size: usize) -> Holders
where
    Members: IntoIterator<Item = usize>,
{
    let mut holders = Holders::default();
    holders.update(members.into_iter().map(site).collect(), copies(size), 1);
    holders
}

#[test]
fn an_attempt_belongs_to_one_account() {
    assert_ne!(Attempt::new("a", "r-1"), Attempt::new("b", "r-1"));
    assert_ne!(Attempt::new("a", "br-1"), Attempt::new("ab", "r-1"));
}

#[test]
fn a_build_belongs_to_one_service() {
    assert_ne!(Build::new("a", "v1"), Build::new("b", "v1"));
    assert_ne!(Build::new("a", "v1"), Build::new("a", "v1.0"));
}

/// Guards against a stream that goes on at either of two versions because its caller used an id twice.
#[test]
fn records_that_contradict_each_other_are_unknown() {
    let mut records = Records::default();

    for version in ["v1", "v2", "v1"] {
        records.insert(record(1, version), 0);
    }

    assert_eq!(records.get(attempt(1), 1), None);
}

/// Guards against an instance whose memory grows with the streams of its lifetime.
#[test]
fn records_are_bounded_and_those_dropped_are_unknown() {
    let mut records = Records::default();
    let count = MAX_RECORDS + 10;

    for number in 0..count {
        // One each millisecond, so that the first ones expire first.
        records.insert(record(number, "v1"), number as u64 / 10);
    }

    assert_eq!(records.count(), MAX_RECORDS);
    assert_eq!(records.dropped(), 10);
    let now_ms = count as u64 / 10;
    let known = (0..count).filter(|number| records.get(attempt(*number), now_ms).is_some());
    assert_eq!(known.count(), MAX_RECORDS);
}

#[test]
fn expired_records_are_removed() {
    let mut records = Records::default();
    for number in 0..100 {
        records.insert(record(number, "v1"), 0);
    }

    records.insert(record(100, "v1"), 10_000);

    assert_eq!(records.count(), 1);
    assert_eq!(records.dropped(), 0);
}

/// Guards against a record that expires while its caller may still take the stream up.
#[test]
fn a_record_outlives_the_deadline_of_its_attempt() {
    let record = Record::new(
        attempt(1),
        Build::new("pool", "v1"),
        Duration::from_secs(60),
    );
    let endless = Duration::from_secs(1_000_000);

    assert_eq!(record.ttl_s, 70);
    assert_eq!(Record::new(attempt(1), record.build, endless).ttl_s, 600);
}

/// Guards against all copies of a record in one availability zone.
#[test]
fn the_holders_of_a_record_are_in_different_zones() {
    for size in SIZES {
        let holders = holders(0..size, size);
        for number in 0..200 {
            let of = holders.of(attempt(number), None);
            let zones: HashSet<usize> = (0..size)
                .filter(|member| of.contains(&address(*member)))
                .map(zone)
                .collect();
            assert_eq!(zones.len(), copies(size));
        }
    }
}

/// Guards against a record that is not found because an instance has joined or left since it was sent, or
/// because the asking instance has an older view of the members.
#[test]
fn records_are_found_after_members_have_changed() {
    for size in SIZES {
        let before = holders(0..size, size);
        for changed in 0..4 {
            let left = holders((0..size).filter(|member| *member != changed), size);
            let joined = holders(0..=size, size);
            for number in 0..50 {
                let began = Some(address(changed));
                let held = before.of(attempt(number), began);
                for view in [&left, &joined, &before] {
                    let asked = view.candidates(attempt(number), None);
                    assert!(asked.iter().any(|asked| held.contains(asked)));
                }
            }
        }
    }
}

/// Guards against records that are not found because most of the members have changed within a minute.
#[test]
fn records_are_found_by_a_former_view_of_the_members() {
    let size = 985;
    let mut holders = holders(0..size, size);
    let held: Vec<Vec<SocketAddr>> = (0..200)
        .map(|number| holders.of(attempt(number), None))
        .collect();

    let others = (2 * size..3 * size).map(site).collect();
    holders.update(others, copies(size), 10_000);

    for (number, held) in held.iter().enumerate() {
        let asked = holders.candidates(attempt(number), None);
        assert!(held.iter().all(|holder| asked.contains(holder)));
    }
}

/// Guards against load that grows with the fleet: records sent and held, and queries of a look-up.
#[test]
fn records_cost_each_instance_the_same_at_any_size() {
    let key = Key::new([7; 32]);
    // Half of the requests of the largest fleet are streams: 27,000 / 2 / 850 a second and instance.
    let streams_per_s = 16;
    for size in SIZES {
        let holders = holders(0..size, size);
        let mut held: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        let mut bytes = 0;
        let mut asked = 0;
        for instance in 0..size {
            let mut outbox = Outbox::default();
            asked = asked.max(holders.candidates(attempt(instance), None).len());
            for stream in 0..SAMPLED_STREAMS {
                let number = instance * SAMPLED_STREAMS + stream;
                outbox.push(record(number, "v1"));
                // In the worst case no two records are sent together.
                for (receiver, records) in outbox.take(&holders, Some(address(instance))) {
                    *held.entry(receiver).or_default() += records.len();
                    let batch = Batch {
                        sent_at_ms: 100_000_000,
                        distribute: false,
                        records,
                    };
                    bytes += key.seal(&Message::StreamRecords(batch)).len();
                }
            }
        }
        let per_instance = bytes / size * streams_per_s / SAMPLED_STREAMS;
        let most = held.values().max().copied().unwrap_or_default();
        let most = most * streams_per_s / SAMPLED_STREAMS;
        println!(
            "{size}: {per_instance} bytes a second, at most {most} records held a second, {asked} asked"
        );
        assert!(
            per_instance < 4_096,
            "{size}: {per_instance} bytes a second"
        );
        assert!(most <= 3 * streams_per_s * copies(size), "{size}: {most}");
        assert!(asked <= MAX_ASKED);
    }
}

/// Guards against a batch that does not fit an Ethernet frame.
#[test]
fn a_full_batch_fits_a_frame() {
    let holders = holders(0..2, 2);
    let mut outbox = Outbox::default();
    for number in 0..10 * MAX_BATCH {
        outbox.push(record(number, "v1"));
    }

    let batches = outbox.take(&holders, Some(address(0)));

    assert!(outbox.is_empty());
    let sent: usize = batches.iter().map(|(_, records)| records.len()).sum();
    assert_eq!(sent, 10 * MAX_BATCH);
    for (_, records) in batches {
        let batch = Batch {
            sent_at_ms: u64::MAX,
            distribute: true,
            records,
        };
        let bytes = Key::new([7; 32]).seal(&Message::StreamRecords(batch));
        assert!(bytes.len() <= 1_400, "{} bytes", bytes.len());
    }
}

#[test]
fn an_old_batch_is_not_accepted() {
    let batch = Batch {
        sent_at_ms: 20_000,
        distribute: false,
        records: Vec::new(),
    };

    assert!(batch.is_recent(21_000));
    assert!(!batch.is_recent(31_000));
    assert!(!batch.is_recent(9_000));
}

/// Guards against a look-up that takes the first "I have no record" for "there is none".
#[test]
fn a_look_up_asks_all_candidates() {
    let build = Build::new("pool", "v1");
    let mut lookup = Lookup::new((0..3).map(address).collect());

    assert_eq!(lookup.next_round().map(|open| open.len()), Some(3));
    assert_eq!(lookup.record(address(0), None), Progress::Open);
    assert_eq!(lookup.record(address(0), None), Progress::Open);
    assert_eq!(
        lookup.record(address(1), Some(build)),
        Progress::Found(build)
    );
}

/// Guards against a look-up that ends before a record has arrived that was sent shortly before.
#[test]
fn a_look_up_asks_again_after_all_have_denied() {
    let mut lookup = Lookup::new((0..2).map(address).collect());
    let mut rounds = 0;

    while let Some(open) = lookup.next_round() {
        rounds += 1;
        for target in open {
            lookup.record(target.peer, None);
        }
    }

    assert_eq!(rounds, 2);
    assert_eq!((lookup.asked(), lookup.answered()), (2, 2));
}

/// Guards against a query whose datagram is lost.
#[test]
fn a_look_up_asks_those_again_that_have_not_answered() {
    let mut lookup = Lookup::new((0..3).map(address).collect());

    lookup.next_round();
    lookup.record(address(1), None);

    let again = lookup.next_round().unwrap();
    assert_eq!(peers(&again), [address(0), address(2)]);
    let mut rounds = 2;
    while lookup.next_round().is_some() {
        rounds += 1;
    }
    assert_eq!(rounds, 5);
    assert_eq!(lookup.answered(), 1);
}

fn peers(targets: &[Target]) -> Vec<SocketAddr> {
    targets.iter().map(|target| target.peer).collect()
}

/// Guards against a record that is not found because its holders are in reach of other instances only.
#[test]
fn a_look_up_has_others_ask_where_some_do_not_answer() {
    let mut lookup = Lookup::new((0..5).map(address).collect());
    lookup.next_round();
    for peer in 1..5 {
        lookup.record(address(peer), None);
    }
    lookup.next_round();

    let targets = lookup.next_round().unwrap();

    let resolving = targets.iter().filter(|target| target.resolve);
    assert_eq!(resolving.count(), 2);
    assert!(targets.contains(&Target {
        peer: address(0),
        resolve: false
    }));
}

/// Guards against an instance that takes a silent one for one in reach, or one that has just joined for a
/// silent one.
#[test]
fn an_instance_without_messages_is_out_of_reach() {
    let peers = [address(1), address(2)];
    let mut reach = Reach::default();
    reach.update(&peers, 0);
    for now_ms in (0..5_000).step_by(500) {
        reach.heard(address(1), now_ms);
    }

    assert_eq!(reach.silent(999), []);
    assert_eq!(reach.silent(1_000), [address(2)]);
    assert_eq!((reach.lost(3_999), reach.lost(4_000)), (0, 1));
    reach.update(&[address(1), address(3)], 5_000);
    assert_eq!(reach.lost(5_000), 0);
}

#[test]
fn remaining_records_keep_their_end() {
    let mut records = Records::default();
    records.insert(record(1, "v1"), 0);
    records.insert(record(2, "v1"), 5_000);

    let remaining = records.remaining(10, 9_500);
    let newest = records.remaining(1, 9_500);

    let ttls: Vec<u16> = remaining.iter().map(|record| record.ttl_s).collect();
    assert_eq!(ttls, [6, 1]);
    assert_eq!(newest[0].attempt, attempt(2));
    assert!(records.remaining(10, 15_000).is_empty());
}

/// Share of the records that are found after a random part of a fleet has ended, each sent with a loss
/// of datagrams.
fn found_share(size: usize, ended_percent: usize, loss_percent: u64) -> f64 {
    let holders = holders(0..size, size);
    let is_ended = |member: usize| (member * 7_919 + 13) % 100 < ended_percent;
    let mut kept: HashMap<usize, HashSet<SocketAddr>> = HashMap::new();
    let streams = 1_000;
    let mut lost = 0_u64;
    for number in 0..streams {
        let began = address(number % size);
        for holder in holders.of(attempt(number), Some(began)) {
            lost = lost.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            if (lost >> 33) % 100 >= loss_percent {
                kept.entry(number).or_default().insert(holder);
            }
        }
    }
    let alive = (0..size).filter(|member| !is_ended(*member));
    let alive: HashSet<SocketAddr> = alive.map(address).collect();
    let mut found = 0;
    for number in 0..streams {
        let asked = holders.candidates(attempt(number), None);
        let kept = kept.get(&number).cloned().unwrap_or_default();
        let is_found = asked
            .iter()
            .any(|asked| alive.contains(asked) && kept.contains(asked));
        found += usize::from(is_found);
    }
    found as f64 / streams as f64
}

/// Guards against streams that cannot be resumed because instances have ended, or datagrams were lost.
#[test]
fn most_records_are_found_after_a_third_of_the_fleet_has_ended() {
    for size in SIZES {
        let share = found_share(size, 33, 5);
        println!("{size}: {share:.3} found after a third has ended");
        assert!(share > 0.8, "{size}: {share}");
    }
}
