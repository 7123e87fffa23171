//! An instance that is sent more than it passes on.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_forward::directory::{Directory, Member};
use fescuewell_forward::intake::{Intake, PAUSE_MS};

/// Bodies of the size that long prompts have, in bytes.
const BODY: usize = 17_000;

fn spared(link_mbps: f64, cores: f64) -> Intake {
    let mut intake = Intake::new(link_mbps, cores);
    intake.set_spare(true);
    intake
}

/// Takes requests evenly over two seconds; returns whether the instance went out.
fn press(intake: &mut Intake, each_second: u64, body: usize) -> bool {
    let mut went = false;
    for request in 0..each_second * 2 {
        went |= intake.take(request * 1_000 / each_second, body);
    }
    went
}

fn fleet(weak_out: usize) -> Directory {
    let mut members: BTreeMap<Arc<str>, Member> = BTreeMap::new();
    for index in 0..40u16 {
        let is_weak = index < 30;
        let is_out = usize::from(index) < weak_out;
        let member = Member {
            address: ([127, 0, 0, 1], index).into(),
            peer: None,
            zone: "a".into(),
            weight: if is_weak { 50 } else { 500 },
            requests: 20,
            usage: Vec::new(),
            at_ms: 10_000,
            out_until_ms: if is_out { 60_000 } else { 0 },
        };
        members.insert(format!("entry-{index}").into(), member);
    }
    let mut directory = Directory::default();
    directory.replace(members, 10_000);
    directory
}

/// Symptom: a third of one availability zone's requests failed, and requests under way were cut off. Sequence: the callers
/// of the largest account keep to one instance with a link of 10 Mbit/s, whatever addresses they are told; the link
/// fills; connections to backend servers and calls to the store time out. Cause: it went on to say that it was ready.
#[test]
fn a_full_link_sends_its_callers_away() {
    let mut intake = spared(10.0, 0.12);

    assert!(press(&mut intake, 50, BODY));
    assert!(intake.out_left_ms(2_000) > 0);
}

#[test]
fn a_wide_link_takes_the_same_callers() {
    let mut intake = spared(200.0, 0.5);

    assert!(!press(&mut intake, 50, BODY));
}

#[test]
fn a_busy_processor_sends_callers_away_too() {
    let mut intake = spared(1_000.0, 0.12);

    assert!(press(&mut intake, 120, 100));
}

/// Symptom: no instance was ready. Sequence: the traffic of a whole fleet doubles. Cause: each went out by itself.
#[test]
fn an_instance_that_cannot_be_spared_stays() {
    let mut intake = Intake::new(10.0, 0.12);

    assert!(!press(&mut intake, 150, BODY));
    assert_eq!(intake.out_left_ms(2_000), 0);
}

#[test]
fn it_takes_callers_again_after_the_pause() {
    let mut intake = spared(10.0, 0.12);

    press(&mut intake, 50, BODY);

    assert!(intake.out_left_ms(2_000 + PAUSE_MS / 2) > 0);
    assert_eq!(intake.out_left_ms(2_000 + PAUSE_MS), 0);
}

#[test]
fn a_tenth_of_the_fleet_may_be_out() {
    assert!(fleet(3).can_spare("entry-29"));
    assert!(!fleet(4).can_spare("entry-29"));
}

#[test]
fn an_instance_that_callers_are_sent_to_stays() {
    assert!(!fleet(0).can_spare("entry-35"));
}

#[test]
fn an_instance_that_has_left_is_nobody() {
    let mut members: BTreeMap<Arc<str>, Member> = BTreeMap::new();
    let left = Member {
        address: ([127, 0, 0, 1], 1).into(),
        peer: None,
        zone: "a".into(),
        weight: 500,
        requests: 0,
        usage: Vec::new(),
        at_ms: 0,
        out_until_ms: 60_000,
    };
    members.insert("left".into(), left);
    let mut directory = Directory::default();

    directory.replace(members, 1_000);

    assert_eq!(directory.live().count(), 0);
    assert!(directory.named().is_empty());
}
