//! Documents reach every instance despite faults, and versions never go back.

mod common;

use std::time::Duration;

use common::network::{Network, TestAssembler, encoded_len, head};
use common::{info, instance};
use fescuewell_core::prelude::*;
use fescuewell_membership::gossip::{
    Gossip, MESSAGE_BYTES, Message, Settings as GossipSettings, UPDATE_BYTES,
};
use fescuewell_membership::member::Members;
use fescuewell_membership::propagate::{Propagation, Settings, Source};
use fescuewell_membership::row::{Row, State};
use fescuewell_membership::update::Update;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn started_network(count: usize, seed: u64) -> Network {
    let mut network = Network::new(count, 1, seed);
    network.accept(1);
    network.run(seconds(10));
    assert!(network.all_have(1));
    network
}

fn assert_versions_never_decrease(network: &Network) {
    for node in &network.nodes {
        assert!(node.applied.is_sorted(), "{:?}", node.applied);
    }
}

#[test]
fn a_change_is_in_force_everywhere_within_two_seconds() {
    let mut network = started_network(9, 1);
    network.accept(2);
    let end = network.now + seconds(2);

    network.run_while(end, |network| !network.all_have(2));

    assert!(network.all_have(2));
}

#[test]
fn an_instance_without_the_store_learns_from_peers() {
    // An instance is cut off from the table and the store when a document is accepted. If it relied
    // on its own reads of the head, it would keep the old document.
    let mut network = started_network(9, 2);
    network.faults.store = Box::new(|index| index != 4);
    network.accept(2);

    network.run(seconds(3));

    assert!(network.all_have(2));
}

#[test]
fn an_instance_without_peers_learns_from_the_store() {
    let mut network = started_network(9, 3);
    network.faults.peers = Box::new(|a, b| a != 4 && b != 4);
    network.accept(2);

    network.run(seconds(5));

    assert!(network.all_have(2));
}

#[test]
fn random_faults_never_turn_a_version_back() {
    // Lagging replicas and instances that were cut off supply old heads while new ones are
    // accepted. If the last head received won, a withdrawn document would come into force again.
    let config = Config {
        cases: 12,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let faults = prop::collection::vec((0u32..512, 0u32..512, 0u32..60), 8);
    let checked = runner.run(&(any::<u16>(), faults), |(seed, faults)| {
        let mut network = started_network(9, u64::from(seed));
        for (version, (cut, without, stale)) in (2..).zip(faults) {
            network.faults.store = Box::new(move |index| without >> index & 1 == 0);
            network.faults.peers = Box::new(move |a, b| (cut >> a ^ cut >> b) & 1 == 0);
            network.faults.stale_percent = stale;
            network.accept(version);
            network.run(seconds(2));
        }
        network.faults.store = Box::new(|_| true);
        network.faults.peers = Box::new(|_, _| true);
        network.faults.stale_percent = 0;
        network.run(seconds(5));
        prop_assert!(network.all_have(9));
        assert_versions_never_decrease(&network);
        Ok(())
    });
    checked.unwrap();
}

#[test]
fn an_unreadable_document_stops_readiness_until_a_readable_one_comes() {
    // A newer program writes a document of a format that this one cannot read. Using its readable
    // parts would put half a document into force.
    let mut network = started_network(3, 4);
    network.nodes[0].assembler.unreadable.insert(2);
    network.accept(2);
    network.run(seconds(4));
    let propagation = &network.nodes[0].propagation;
    assert!(!propagation.is_ready());
    assert_eq!(propagation.in_force(), Some(head(1)));

    network.accept(3);
    network.run(seconds(4));

    assert!(network.nodes[0].propagation.is_ready());
    assert_eq!(network.nodes[0].applied, vec![Version(1), Version(3)]);
}

#[test]
fn an_old_head_does_not_make_a_newer_one_forgotten() {
    // While version 2 is being collected, head 3 is received, and then head 1 from a lagging
    // replica or peer. If the last head received won, the instance would stay one version behind
    // until its next poll.
    let mut propagation = Propagation::new(Settings::default(), 1);
    let mut assembler = TestAssembler::default();
    let now = Instant::from_millis(10);
    for version in [2, 3, 1] {
        propagation.record_peer_head(now, "entry-9", true, head(version), &mut assembler);
    }

    let mut applied = Vec::new();
    for _ in 0..8 {
        for request in propagation.next_fetches(now, &mut assembler) {
            let bytes = common::network::bytes(&request.name);
            propagation.supply(
                now,
                &request.name,
                Some(&bytes),
                request.from,
                &mut assembler,
            );
        }
        if let Some(head) = propagation.take_complete() {
            propagation.mark_applied(now, head, &mut assembler);
            applied.push(head.version.0);
        }
    }

    assert_eq!(applied, [2, 3]);
}

#[test]
fn a_store_that_fails_is_not_asked_without_pause() {
    // Fetches fail at once, again and again. Without a wait between retries, a failing store would
    // get thousands of requests per second.
    let mut propagation = Propagation::new(Settings::default(), 1);
    let mut assembler = TestAssembler::default();
    let mut store_requests = 0;

    propagation.record_peer_head(Instant::default(), "entry-9", true, head(5), &mut assembler);
    for milli in 0..20_000 {
        let now = Instant::from_millis(milli);
        for request in propagation.next_fetches(now, &mut assembler) {
            store_requests += u32::from(request.from == Source::Store);
            propagation.supply(now, &request.name, None, request.from, &mut assembler);
        }
    }

    assert!((10..=50).contains(&store_requests), "{store_requests}");
}

#[test]
fn corrupt_bytes_are_fetched_elsewhere() {
    let mut propagation = Propagation::new(Settings::default(), 1);
    let mut assembler = TestAssembler::default();
    let now = Instant::from_millis(10);
    propagation.record_peer_head(now, "entry-9", true, head(5), &mut assembler);

    let first = propagation.next_fetches(now, &mut assembler).remove(0);
    propagation.supply(
        now,
        &first.name,
        Some(b"forged"),
        first.from.clone(),
        &mut assembler,
    );
    let second = propagation.next_fetches(now, &mut assembler).remove(0);

    assert_eq!(first.from, Source::Peer("entry-9".into()));
    assert_eq!((second.name, second.from), (first.name, Source::Store));
}

#[test]
fn changes_reach_everybody_without_the_table() {
    let mut network = started_network(9, 5);
    network.faults.store = Box::new(|_| false);
    let now = network.now;
    network.nodes[3].members.set_state(now, State::Draining);

    network.run(seconds(2));

    for node in &network.nodes {
        let view = node.members.view();
        assert_eq!(view.peer(&instance(3)).unwrap().state, State::Draining);
        assert!(!view.isolated);
    }
}

#[test]
fn a_message_stays_within_the_sizes_that_the_rate_is_computed_with() {
    let members = Members::new(common::settings(), info(849, u64::MAX), 1);
    let row = members.own_row().clone();
    let update = Update::Member {
        instance: "handsign-entry-southeast-849".into(),
        row,
    };
    let settings = GossipSettings::sized(850);
    let empty = Message {
        head: Some(head(u64::MAX)),
        updates: Vec::new(),
    };
    let full = Message {
        updates: vec![update; settings.max_updates],
        ..empty.clone()
    };

    assert!(encoded_len(&empty) + common::network::PACKET_OVERHEAD_BYTES <= MESSAGE_BYTES);
    let most = MESSAGE_BYTES + settings.max_updates * UPDATE_BYTES;
    assert!(encoded_len(&full) + common::network::PACKET_OVERHEAD_BYTES <= most);
}

/// Four updates of one member, different in each tick.
fn update_burst(tick: u64) -> Vec<Update> {
    let row = Members::new(common::settings(), info(1, 1), 1)
        .own_row()
        .clone();
    let change = |number: u64| Update::Member {
        instance: instance(1),
        row: Row {
            beat: tick * 4 + number,
            ..row.clone()
        },
    };
    (0..4).map(change).collect()
}

#[test]
fn a_head_overtakes_a_storm_of_changes() {
    // Hundreds of updates are gossiped after a restart of the whole fleet, then a head follows. If
    // the updates used up the byte rate, the document would take seconds longer to spread.
    let settings = GossipSettings::sized(850);
    let fanout = settings.fanout;
    let mut gossip = Gossip::new(settings, instance(0), "a".into(), 1);
    let network = started_network(9, 6);
    let view = network.nodes[0].members.view();
    for tick in 0..590 {
        let now = Instant::from_millis(tick * 100);
        gossip.broadcast(now, update_burst(tick));
        gossip.take_outgoing(now, view);
    }

    gossip.set_head(head(7));
    let outgoing = gossip.take_outgoing(Instant::from_millis(59_000), view);

    let with_head = outgoing
        .iter()
        .filter(|outgoing| outgoing.message.head == Some(head(7)));
    assert_eq!(with_head.count(), fanout);
}

#[test]
fn a_storm_of_changes_stays_within_the_byte_rate() {
    let settings = GossipSettings::sized(850);
    let rate = settings.bytes_per_second as usize;
    let mut gossip = Gossip::new(settings, instance(0), "a".into(), 1);
    let network = started_network(9, 6);
    let view = network.nodes[0].members.view();
    let mut sent = 0;
    let mut last_head = None;

    for tick in 0..6_000 {
        let now = Instant::from_millis(tick * 100);
        gossip.broadcast(now, update_burst(tick));
        gossip.set_head(head(tick));
        for outgoing in gossip.take_outgoing(now, view) {
            sent += encoded_len(&outgoing.message) + common::network::PACKET_OVERHEAD_BYTES;
            last_head = outgoing.message.head;
        }
    }

    assert!(
        last_head.is_some_and(|head| head.version.0 > 5_980),
        "heads are sent during the burst"
    );
    assert!(sent <= 600 * rate + 20_000, "{sent}");
    assert!(sent > 600 * 10, "messages are sent");
}
