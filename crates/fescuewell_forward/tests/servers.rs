//! Server registry, outlier detection and load balancing.

use std::sync::Arc;

use fescuewell_forward::choice::{Criteria, Load, pick};
use fescuewell_forward::evacuation::Order;
use fescuewell_forward::health::{Health, Outcome};
use fescuewell_forward::server::{Change, ENTRY_EXPIRY_OUTAGE_MS, Entry, Registry, State, Update};

fn entry(id: &str, state: State) -> Entry {
    Entry {
        id: id.into(),
        started_at_ms: None,
        service: "pool".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        cold_left_ms: 0,
        version: None,
        state,
    }
}

/// Guards against a stream that goes on at a process of another software version under the same id.
#[test]
fn a_server_whose_software_version_changes_is_another_process() {
    let mut registry = Registry::default();
    let mut first = entry("i", State::Ready);
    first.version = Some("v1".into());
    let mut second = first.clone();
    second.version = Some("v2".into());
    for (version, entry) in [(1, first.clone()), (2, second.clone())] {
        let change = Change::Entry(entry);
        let update = Update {
            id: "i".into(),
            version,
            change,
        };
        registry.apply(update, 0);
    }

    assert!(registry.has_restarted(&first));
    assert_eq!(registry.take_ended().len(), 1);
    assert_eq!(registry.of_build(first.build().unwrap(), 0, 1).count(), 0);
    assert_eq!(registry.of_build(second.build().unwrap(), 0, 1).count(), 1);
}

/// Guards against new work for a server that accepts none, because few others have its software version.
#[test]
fn servers_of_a_version_that_accept_no_work_are_not_selected() {
    let mut registry = Registry::default();
    let ids = ["ready", "draining", "leaving", "gone", "evacuated"];
    for (version, id) in (1..).zip(ids) {
        let state = match id {
            "draining" => State::Draining,
            _ => State::Ready,
        };
        let mut entry = entry(id, state);
        entry.version = Some("v1".into());
        if id == "evacuated" {
            entry.zone = "away".into();
        }
        let update = Update {
            id: id.into(),
            version,
            change: Change::Entry(entry),
        };
        registry.apply(update, 0);
    }
    let known = registry.entry("leaving").unwrap().clone();
    registry.mark_leaving(&known, 0);
    let removed = Update {
        id: "gone".into(),
        version: 10,
        change: Change::Removed,
    };
    registry.apply(removed, 0);
    let order = Order {
        zone: "away".into(),
        version: 11,
        is_evacuated: true,
    };
    registry.apply_evacuation(order, 0);

    let build = known.build();

    for selected in [
        registry.subset_of(&known.service, build, 0, 64, 1),
        registry.of_build(build.unwrap(), 0, 1).collect(),
    ] {
        let ids: Vec<&str> = selected.iter().map(|entry| &*entry.id).collect();
        assert_eq!(ids, ["ready"]);
    }
}

/// Guards against a known software version that is lost because an instance of an earlier program
/// version, which does not send it, repeats the entry.
#[test]
fn an_entry_without_a_software_version_keeps_the_known_one() {
    let mut registry = Registry::default();
    let mut known = entry("i", State::Ready);
    known.version = Some("v1".into());
    for (version, entry) in [(1, known), (2, entry("i", State::Draining))] {
        let change = Change::Entry(entry);
        let update = Update {
            id: "i".into(),
            version,
            change,
        };
        registry.apply(update, 0);
    }

    let known = registry.entry("i").unwrap();

    assert_eq!((known.software(), known.state), ("v1", State::Draining));
}

fn started(id: &str, started: u64) -> Entry {
    Entry {
        started_at_ms: Some(started),
        ..entry(id, State::Ready)
    }
}

fn row(version: u64, entry: Entry) -> Update {
    Update {
        id: entry.id.clone(),
        version,
        change: Change::Entry(entry),
    }
}

fn removal(id: &str, version: u64) -> Update {
    Update {
        id: id.into(),
        version,
        change: Change::Removed,
    }
}

fn unreadable(id: &str, version: u64) -> Update {
    Update {
        id: id.into(),
        version,
        change: Change::Unreadable {
            reason: "not an entry".into(),
        },
    }
}

fn entries(count: usize) -> Vec<Arc<Entry>> {
    let ids = (0..count).map(|index| format!("i-{index}"));
    ids.map(|id| Arc::new(entry(&id, State::Ready))).collect()
}

fn shared(prefix: &str) -> Criteria<'_> {
    Criteria {
        affinity: Some(prefix),
        shared_tokens: 10_000,
        random: 1,
    }
}

fn chosen(
    candidates: &[Arc<Entry>],
    query: &Criteria<'_>,
    load: &Load,
    health: &Health,
) -> Arc<str> {
    let candidates: Vec<&Arc<Entry>> = candidates.iter().collect();
    pick(&candidates, query, load, health, |_| false, 0)
        .unwrap()
        .id
        .clone()
}

/// Guards against restoring a removed server: after the feed had delivered the removal, an older
/// snapshot that still listed the server replaced it.
#[test]
fn an_old_snapshot_brings_nobody_back() {
    let mut registry = Registry::default();
    registry.apply_snapshot(
        5,
        vec![
            row(3, entry("i-0", State::Ready)),
            row(4, entry("i-1", State::Ready)),
        ],
        0,
    );
    registry.apply(removal("i-0", 9), 0);

    registry.apply_snapshot(
        6,
        vec![
            row(3, entry("i-0", State::Ready)),
            row(4, entry("i-1", State::Ready)),
        ],
        0,
    );

    assert!(!registry.is_known("i-0"));
    assert!(registry.is_ready("i-1", 0));
}

#[test]
fn an_older_entry_does_not_undo_a_drain() {
    let mut registry = Registry::default();
    registry.apply(row(7, entry("i-0", State::Draining)), 0);

    registry.apply(row(6, entry("i-0", State::Ready)), 0);

    assert!(!registry.is_ready("i-0", 0));
}

#[test]
fn a_server_that_a_newer_list_lacks_is_gone() {
    let mut registry = Registry::default();
    registry.apply_snapshot(5, vec![row(3, entry("i-0", State::Ready))], 0);

    registry.apply_snapshot(8, Vec::new(), 0);

    assert!(!registry.is_known("i-0"));
}

/// Guards against attributing observations to the id alone: after a restart under the same id a
/// server received prompts as if it still cached their prefixes, and was ejected for failures of
/// its former process.
#[test]
fn a_server_that_started_again_is_known_for_nothing() {
    let mut registry = Registry::default();
    let mut health = Health::default();
    let mut load = Load::default();
    let before = started("i-0", 1_000);
    registry.apply(row(1, before.clone()), 0);
    health.record_outcome(&before.id, Outcome::Bad, 0);
    health.record_outcome(&before.id, Outcome::Bad, 0);
    load.record_prefix("a", &before.id, 0);

    registry.apply(row(2, started("i-0", 2_000)), 10);
    for former in registry.take_ended() {
        health.forget(&former.id);
        load.forget(&former.id);
    }

    assert!(registry.has_restarted(&before));
    assert!(registry.is_ready("i-0", 10));
    assert!(!health.is_ejected("i-0", 10));
    let candidates = entries(6);
    let fresh = chosen(&candidates, &shared("a"), &Load::default(), &health);
    assert_eq!(chosen(&candidates, &shared("a"), &load, &health), fresh);
}

#[test]
fn a_heartbeat_of_the_same_start_ends_nothing() {
    let mut registry = Registry::default();
    registry.apply(row(1, started("i-0", 1_000)), 0);

    registry.apply(row(2, started("i-0", 1_000)), 10);

    assert!(registry.take_ended().is_empty());
    assert!(!registry.has_restarted(&started("i-0", 1_000)));
}

/// Guards against a draining mark that outlives its incarnation: a server whose address responded
/// for another one was marked, and received no work after its restart.
#[test]
fn a_mark_of_leaving_ends_with_the_start() {
    let mut registry = Registry::default();
    registry.apply(row(1, started("i-0", 1_000)), 0);
    registry.mark_draining("i-0");
    assert!(!registry.is_ready("i-0", 0));

    registry.apply(row(2, started("i-0", 2_000)), 0);

    assert!(registry.is_ready("i-0", 0));
}

/// Guards against a server that said in a response that it leaves and gets new work again, because
/// its row is written as ready, expires in an outage and returns, or is read from a backup.
#[test]
fn a_server_that_said_that_it_leaves_stays_out() {
    let mut registry = Registry::default();
    registry.apply(row(1, started("i-1", 7)), 0);
    assert!(registry.mark_leaving(&started("i-1", 7), 0));

    registry.apply(row(2, started("i-1", 7)), 0);
    let after_heartbeat = registry.is_ready("i-1", 0);
    registry.apply(removal("i-1", 3), 0);
    registry.apply(row(4, started("i-1", 7)), 0);
    let after_expiry = registry.is_ready("i-1", 0);
    registry.apply_snapshot(5, vec![row(5, started("i-1", 7))], 0);
    let after_snapshot = registry.is_ready("i-1", 0);

    assert_eq!(
        (after_heartbeat, after_expiry, after_snapshot),
        (false, false, false)
    );
    assert_eq!(registry.ready("pool", 0).count(), 0);
    assert!(registry.subset("pool", 0, 8, 0).is_empty());
    assert!(registry.ready_entry("pool", "i-1", 0).is_none());
}

/// Guards against a response that says that its server leaves while the row is missing: the row
/// returns, and the server gets new work.
#[test]
fn a_server_whose_row_is_missing_can_say_that_it_leaves() {
    let mut registry = Registry::default();
    registry.apply(row(1, started("i-1", 7)), 0);
    registry.apply(removal("i-1", 2), 0);

    let is_new = registry.mark_leaving(&started("i-1", 7), 0);
    registry.apply(row(3, started("i-1", 7)), 0);

    assert!(is_new);
    assert!(!registry.is_ready("i-1", 0));
}

#[test]
fn a_new_start_of_a_server_that_left_gets_work() {
    let mut registry = Registry::default();
    registry.apply(row(1, started("i-1", 7)), 0);
    registry.mark_leaving(&started("i-1", 7), 0);

    registry.apply(row(2, started("i-1", 8)), 0);
    let late = registry.mark_leaving(&started("i-1", 7), 0);

    assert!(!late);
    assert!(registry.is_ready("i-1", 0));
}

/// Guards against heartbeats of a leaving server that fill each digest as if they were changes.
#[test]
fn heartbeats_of_a_leaving_server_are_no_changes() {
    let mut registry = Registry::default();
    registry.apply(row(1, started("i-1", 7)), 0);
    registry.mark_leaving(&started("i-1", 7), 0);

    assert!(!registry.is_change(&row(2, started("i-1", 7)), 0));
}

/// Guards against a server that left as it said and counts as crashed.
#[test]
fn a_server_that_said_that_it_leaves_ends_as_draining() {
    let mut registry = Registry::default();
    registry.apply(row(1, started("i-1", 7)), 0);
    registry.mark_leaving(&started("i-1", 7), 0);

    registry.apply(removal("i-1", 2), 0);

    let ended = registry.take_ended();
    assert!(ended.iter().all(|entry| entry.is_draining()));
    assert_eq!(ended.len(), 1);
}

/// Guards against removing servers at once after a store outage: all entries had expired without
/// heartbeats, and requests were rejected without a server until the next heartbeats two seconds
/// later.
#[test]
fn entries_that_lapsed_in_an_outage_hold_for_two_seconds() {
    let mut registry = Registry::default();
    registry.apply_snapshot(
        5,
        vec![
            row(3, entry("i-0", State::Ready)),
            row(4, entry("i-1", State::Ready)),
        ],
        0,
    );

    registry.store_recovered(ENTRY_EXPIRY_OUTAGE_MS, 10_000);
    registry.apply_snapshot(8, Vec::new(), 10_000);
    registry.apply(removal("i-1", 9), 10_100);
    let early = registry.ready("pool", 11_900).count();
    registry.apply(row(10, entry("i-0", State::Ready)), 11_950);

    assert_eq!(early, 2);
    assert!(registry.is_ready("i-0", 60_000));
    assert!(!registry.is_ready("i-1", 12_000));
    assert_eq!(registry.ready("pool", 12_000).count(), 1);
}

#[test]
fn after_a_short_silence_a_missing_server_is_gone_at_once() {
    let mut registry = Registry::default();
    registry.apply_snapshot(5, vec![row(3, entry("i-0", State::Ready))], 0);

    registry.store_recovered(ENTRY_EXPIRY_OUTAGE_MS - 1, 10_000);
    registry.apply(removal("i-0", 9), 10_000);

    assert!(!registry.is_known("i-0"));
}

/// Guards against one invalid row, written by something else, that makes the whole list unreadable:
/// no server was known, and every request was rejected.
#[test]
fn a_row_that_names_no_server_leaves_the_others() {
    let mut registry = Registry::default();
    let rows = vec![row(3, entry("i-0", State::Ready)), unreadable("i-1", 4)];

    let applied = registry.apply_snapshot(5, rows, 0);
    let repeated = registry.apply(unreadable("i-1", 4), 0);

    assert!(registry.is_ready("i-0", 0));
    assert!(!registry.is_known("i-1"));
    assert_eq!(applied.len(), 2);
    assert!(!repeated, "it would be logged at every read");
}

#[test]
fn a_server_whose_row_was_overwritten_gets_no_work_until_it_writes_again() {
    let mut registry = Registry::default();
    registry.apply(row(3, entry("i-0", State::Ready)), 0);

    registry.store_recovered(ENTRY_EXPIRY_OUTAGE_MS, 0);
    registry.apply(unreadable("i-0", 4), 0);
    let between = registry.is_ready("i-0", 0);
    registry.apply(row(5, entry("i-0", State::Ready)), 0);

    assert!(!between);
    assert!(registry.is_ready("i-0", 0));
}

/// Guards against relying on health checks alone: requests kept failing at a server that passed
/// them.
#[test]
fn a_server_that_fails_is_left_out_and_tried_again() {
    let mut health = Health::default();
    let id: Arc<str> = "i-0".into();

    health.record_outcome(&id, Outcome::Bad, 0);
    let ejected = health.record_outcome(&id, Outcome::Bad, 10);

    assert!(ejected);
    assert!(health.is_ejected(&id, 500));
    assert!(!health.is_ejected(&id, 1_100));
    assert!(health.record_outcome(&id, Outcome::Bad, 1_200));
    assert!(health.is_ejected(&id, 3_000));
}

#[test]
fn failures_that_every_server_has_leave_no_one_out() {
    let mut health = Health::default();
    let id: Arc<str> = "i-0".into();

    for round in 0..200 {
        let outcome = if round % 7 == 0 {
            Outcome::Failed
        } else {
            Outcome::Good
        };
        assert!(!health.record_outcome(&id, outcome, round));
    }
}

#[test]
fn a_slow_server_is_told_from_its_peers() {
    let mut health = Health::default();
    let ids: Vec<Arc<str>> = (0..4).map(|index| format!("i-{index}").into()).collect();
    for id in &ids[..3] {
        health.record_latency(id, 20.0, 0);
    }
    health.record_latency(&ids[3], 300.0, 0);

    let limit = health
        .slow_threshold_ms(ids.iter().map(|id| &**id), 10)
        .unwrap();

    assert!(health.latency_ms("i-0", 10).unwrap() < limit);
    assert!(health.latency_ms("i-3", 10).unwrap() > limit);
    assert_eq!(health.latency_ms("i-3", 10_000), None);
}

#[test]
fn instances_choose_the_same_server_for_a_part() {
    let candidates = entries(8);
    let health = Health::default();

    for prefix in ["a", "b", "c", "d"] {
        let one = chosen(&candidates, &shared(prefix), &Load::default(), &health);
        let reversed: Vec<Arc<Entry>> = candidates.iter().rev().cloned().collect();
        let other = chosen(&reversed, &shared(prefix), &Load::default(), &health);
        assert_eq!(one, other);
    }
}

/// Guards against instances that know only their own load: several sent long prompts to one server
/// at the same time, and its first events were seconds late while other servers were idle.
#[test]
fn what_another_instance_sent_there_counts() {
    let candidates = entries(4);
    let health = Health::default();
    let preferred = chosen(&candidates, &shared("a"), &Load::default(), &health);
    let mut other = Load::default();
    other.begin(&preferred, 90_000);
    let mut own = Load::default();

    own.apply_report(other.report("entry-2".into(), 1, 0), 0);

    assert_ne!(chosen(&candidates, &shared("a"), &own, &health), preferred);
    own.expire(60_000);
    assert_eq!(chosen(&candidates, &shared("a"), &own, &health), preferred);
}

#[test]
fn a_copy_that_another_instance_made_is_used() {
    let candidates = entries(6);
    let health = Health::default();
    let preferred = chosen(&candidates, &shared("a"), &Load::default(), &health);
    let copy = candidates
        .iter()
        .find(|entry| entry.id != preferred)
        .unwrap();
    let mut other = Load::default();
    other.record_prefix("a", &copy.id, 0);
    let mut own = Load::default();

    own.apply_report(other.report("entry-2".into(), 1, 0), 0);

    assert_eq!(chosen(&candidates, &shared("a"), &own, &health), copy.id);
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut other = Load::default();
    let old = other.report("entry-2".into(), 1, 0);
    other.begin(&"i-0".into(), 500);
    let new = other.report("entry-2".into(), 2, 0);
    let mut own = Load::default();

    own.apply_report(new, 0);
    own.apply_report(old, 1);

    assert_eq!(own.pending_prefill("i-0"), 500);
}

#[test]
fn with_all_servers_left_out_one_is_still_chosen() {
    let candidates = entries(2);
    let mut health = Health::default();
    for entry in &candidates {
        health.record_outcome(&entry.id, Outcome::Bad, 0);
        health.record_outcome(&entry.id, Outcome::Bad, 0);
    }

    chosen(&candidates, &shared("a"), &Load::default(), &health);
}

#[test]
fn small_requests_go_where_least_is_under_way() {
    let candidates = entries(3);
    let mut load = Load::default();
    load.begin(&"i-0".into(), 0);
    load.begin(&"i-2".into(), 0);

    let server = chosen(&candidates, &Criteria::default(), &load, &Health::default());

    assert_eq!(&*server, "i-1");
}

/// Guards against counting cached tokens as pending: with five requests of one prefix in flight at
/// the server that caches it, their whole prompts counted, and another server processed the prefix
/// again.
#[test]
fn what_a_server_keeps_does_not_count_as_waiting_there() {
    let candidates = entries(4);
    let health = Health::default();
    let query = shared("a");
    let mut load = Load::default();
    let holder = chosen(&candidates, &query, &load, &health);
    load.record_prefix("a", &holder, 0);

    for _ in 0..5 {
        let tokens = load.uncached_tokens(12_000, &query, &holder);
        load.begin(&holder, tokens);
    }

    assert_eq!(load.pending_prefill(&holder), 5 * 2_000);
    assert_eq!(load.uncached_tokens(12_000, &query, "i-other"), 12_000);
    assert_eq!(chosen(&candidates, &query, &load, &health), holder);
}

/// Guards against reports that exceed a packet and are not sent: in a fleet with 140 servers, an
/// instance with requests at a hundred of them reported no load.
#[test]
fn a_report_of_many_servers_fits_a_packet() {
    let mut load = Load::default();
    for index in 0..200u64 {
        let id: Arc<str> = format!("i-{index:010x}").into();
        load.begin(&id, 10_000 + index);
        load.record_prefix(&format!("part-{index}"), &id, 0);
    }

    let report = load.report("front-casa-c-13".into(), 1_000_000, 0);

    let bytes = postcard::to_extend(&report, Vec::new()).unwrap();
    assert!(bytes.len() <= 1_400, "{}", bytes.len());
    assert!(
        report
            .servers
            .iter()
            .all(|(_, _, tokens)| *tokens >= 10_100)
    );
}
