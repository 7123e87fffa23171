//! Which instances send requests for others, as counts, and which calls they accept.

use std::collections::HashMap;
use std::net::SocketAddr;

use fescuewell_forward::hop::{
    Call, FORMAT, Forward, Guard, MAX_ATTEMPTS, Peer, Peers, Reached, Refusal, SAMPLE, Server,
    Task, Timeouts,
};
use fescuewell_forward::message::Key;
use fescuewell_forward::server::Incarnation;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

fn peer(index: usize, weight: u32) -> Peer {
    Peer {
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into(),
        weight,
    }
}

fn call(nonce: u64, sent_at_ms: u64) -> Call {
    Call::new(Task::Probe(Vec::new()), nonce, sent_at_ms)
}

/// Passes on the requests of some cut instances. Returns how many requests each other instance has in
/// flight, and how many requests had to be offered to more instances than allowed.
fn play(instances: usize, cut: usize, requests: usize) -> (HashMap<SocketAddr, usize>, usize) {
    let mut rng = SmallRng::seed_from_u64(instances as u64);
    let members: Vec<Peer> = (0..instances)
        .map(|index| peer(index, if index % 10 == 0 { 500 } else { 120 }))
        .collect();
    let is_cut = |address: SocketAddr| members[..cut].iter().any(|peer| peer.address == address);
    let mut loads: HashMap<SocketAddr, usize> = HashMap::new();
    let mut unsent = 0;
    for own in &members[..cut] {
        let mut peers = Peers::default();
        for _ in 0..requests {
            let mut offers = 0;
            loop {
                let sample = members.choose_multiple(&mut rng, SAMPLE).copied();
                let others = sample.filter(|peer| peer.address != own.address);
                let Some(chosen) = peers.choose(others, 0) else {
                    continue;
                };
                offers += 1;
                if !is_cut(chosen) {
                    peers.begin(chosen);
                    *loads.entry(chosen).or_default() += 1;
                    break;
                }
                peers.avoid(chosen, Some(Refusal::NoPath), 0);
            }
            unsent += usize::from(offers > MAX_ATTEMPTS);
        }
    }
    (loads, unsent)
}

/// Guards against a zone whose requests all fall on one neighbour, in a fleet of any size.
#[test]
fn the_requests_of_cut_instances_are_spread_by_capacity() {
    for (instances, cut) in [(9, 3), (100, 33), (985, 328)] {
        let requests = 60;

        let (loads, _) = play(instances, cut, requests);

        let total: usize = loads.values().sum();
        assert_eq!(total, cut * requests);
        let weight = |address: &SocketAddr| {
            (0..instances)
                .map(|index| peer(index, if index % 10 == 0 { 500 } else { 120 }))
                .find(|peer| peer.address == *address)
                .unwrap()
                .weight
        };
        let weights: u32 = loads.keys().map(weight).sum();
        for (address, load) in &loads {
            let share = f64::from(weight(address)) / f64::from(weights);
            let fair = total as f64 * share;
            assert!(
                (*load as f64) < fair * 2.5 + 4.0,
                "{instances} instances: {load} requests, fair {fair:.1}"
            );
        }
    }
}

/// Guards against requests that are refused because they are only offered to instances that are cut
/// themselves: these are avoided after their first refusal.
#[test]
fn instances_that_refuse_are_not_asked_again_at_once() {
    let mut peers = Peers::default();
    peers.avoid(peer(1, 1).address, Some(Refusal::NoPath), 1_000);
    peers.avoid(peer(2, 1).address, Some(Refusal::Busy), 1_000);
    peers.avoid(peer(3, 1).address, None, 1_000);
    let candidates = || (1..5).map(|index| peer(index, 1));

    assert_eq!(peers.choose(candidates(), 1_001), Some(peer(4, 1).address));
    assert_eq!(peers.choose(candidates().take(3), 1_100), None);
    assert_eq!(
        peers.choose(candidates().take(3), 1_300),
        Some(peer(2, 1).address)
    );
    assert!(peers.choose(candidates().take(1), 2_000).is_some());
}

/// Guards against requests that are refused although two thirds of the fleet have a path: the users
/// allow one in fifty.
#[test]
fn nearly_all_requests_find_an_instance_with_a_path() {
    for (instances, cut) in [(9, 3), (100, 33), (985, 328)] {
        let requests = 60;

        let (_, unsent) = play(instances, cut, requests);

        let all = cut * requests;
        assert!(unsent * 50 < all, "{unsent} of {all} requests");
    }
}

/// Guards against a request that runs again because its call was recorded and is sent again.
#[test]
fn a_call_is_accepted_once() {
    let mut guard = Guard::default();

    assert!(guard.accept(&call(1, 50_000), 50_010));
    assert!(!guard.accept(&call(1, 50_000), 50_020));
    assert!(!guard.accept(&call(1, 50_000), 59_999));
    assert!(!guard.accept(&call(1, 50_000), 71_000), "too old by then");
    assert!(!guard.accept(&call(2, 30_000), 50_020), "too old");
    assert!(guard.accept(&call(3, 59_000), 50_020), "a clock ahead");
    assert!(!guard.accept(&call(3, 59_000), 68_500));
}

/// Guards against unbounded memory use when a sender repeats calls.
#[test]
fn remembered_calls_are_bounded() {
    let mut guard = Guard::default();
    let accepted = (0..200_000).filter(|nonce| guard.accept(&call(*nonce, 50_000), 50_000));

    assert!(accepted.count() < 50_000);
    assert!(guard.accept(&call(7, 100_000), 100_000), "after a while");
}

#[test]
fn a_call_of_another_version_is_refused() {
    let mut guard = Guard::default();
    let mut other = call(1, 50_000);
    other.format = FORMAT + 1;

    assert!(!guard.accept(&other, 50_000));
}

/// Guards against two fields that change places: instances of two versions read each other wrongly.
#[test]
fn calls_have_the_written_bytes() {
    let forward = Forward {
        server: Server {
            id: "i".into(),
            incarnation: Incarnation::from_number(2),
        },
        timeouts: Timeouts {
            connect_ms: 3,
            first_byte_ms: 4,
            progress_ms: 5,
            left_ms: 6,
        },
        request: "r".into(),
        method: "GET".into(),
        target: "/t".into(),
        headers: vec![("h".into(), vec![7])],
        body: vec![8, 9],
    };
    let call = Call::new(Task::Forward(Box::new(forward)), 10, 11);

    let bytes = postcard::to_allocvec(&call).unwrap();

    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(
        hex,
        "010b0a01016902030405060172034745 54022f74010168010702 0809".replace(' ', "")
    );
}

/// Guards against a refusal that an instance of another version does not recognize: it would take the
/// request for one that may have run, or the other way round.
#[test]
fn probes_and_refusals_have_the_written_bytes() {
    let server = Server {
        id: "i".into(),
        incarnation: Incarnation::from_number(2),
    };
    let call = Call::new(Task::Probe(vec![server]), 10, 11);
    let names = [
        (Refusal::NoPath, "no-path"),
        (Refusal::Busy, "busy"),
        (Refusal::NotReady, "not-ready"),
        (Refusal::UnknownServer, "unknown-server"),
        (Refusal::Unreachable, "unreachable"),
        (Refusal::Malformed, "malformed"),
    ];

    assert_eq!(
        postcard::to_allocvec(&call).unwrap(),
        [1, 11, 10, 0, 1, 1, b'i', 2]
    );
    assert_eq!(postcard::to_allocvec(&Reached { count: 3 }).unwrap(), [3]);
    for (refusal, name) in names {
        assert_eq!(refusal.name(), name);
        assert_eq!(Refusal::from_name(name), Some(refusal));
    }
}

/// Guards against a call that is carried out for a sender without the fleet key.
#[test]
fn a_call_with_another_key_is_not_read() {
    let mut rng = SmallRng::seed_from_u64(1);
    let sealed = Key::new(rng.random()).seal_content(&call(1, 1));

    assert_eq!(Key::new(rng.random()).open_content::<Call>(&sealed), None);
}
