//! Membership: the heartbeat of this instance and the state of the others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::directory::summary::Summary;
use fescuewell_forward::directory::{Directory, Member, Role};
use fescuewell_forward::message::Message;
use fescuewell_forward::version;

use super::rows::{FLEET_PARTITION, log_unreadable, read, read_row, row_id};
use super::{CALL_TIMEOUT, Control};
use crate::gateway::{ACCEPTED_WINDOW_S, Gateway, State};
use crate::settings::Settings;
use crate::store::{ReadResponse, RowId, Transaction};

/// Table of the members.
const MEMBER_TABLE: &str = "member";
/// Table and key of the summary of the members.
const SUMMARY_TABLE: &str = "summary";
/// Time after the first start of the fleet within which its members become known.
const FIRST_START_TIME: Duration = Duration::from_secs(10);
/// Age in milliseconds up to which a summary sent by a reader replaces a read of the row; several
/// reconciliations of a reader.
const RECENT_SUMMARY_MS: u64 = 4_000;
/// Age in milliseconds at which the first advertised instance replaces the summary.
const SUMMARY_REFRESH_MS: u64 = 1_500;
/// Additional age for each further advertised instance, in milliseconds.
const SUMMARY_TURN_MS: u64 = 1_000;
/// Maximum number of instances named in one log line, enough to recognize an availability zone.
const MAX_LOGGED_INSTANCES: usize = 8;
/// Link bandwidth that one core can make use of, in Mbit/s: prompts have about 17 kB each.
const LINK_MBPS_PER_CORE: f64 = 200.0;

/// Writes the heartbeat of this instance, or removes its member row when it leaves. The next one
/// follows after `interval`.
pub(super) async fn write_heartbeat(control: &Control, interval: Duration) {
    let gateway = &control.gateway;
    let id = row_id(MEMBER_TABLE, FLEET_PARTITION, &gateway.settings.name);
    let member = own_member(gateway, interval);
    let mut transaction = Transaction::default();
    // A leaving instance keeps its row if that declares it unready: the next process reads it and
    // stays unready, since its callers would overload it again at once.
    if gateway.is_draining() && member.unready_until_ms == 0 {
        transaction.deletes.push(id);
    } else {
        transaction.puts.push((id, member.encode()));
    }
    let commit = control.store.commit(&transaction);
    // The next heartbeat replaces a lost one; `call` has recorded the failure.
    let _ = control.call("sign", CALL_TIMEOUT, commit).await;
}

/// Returns the current member row of this instance.
fn own_member(gateway: &Gateway, interval: Duration) -> Member {
    let settings = &gateway.settings;
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    let store_ms = state.quota.store_time(now_ms);
    let status = state.quota.status();
    Member {
        address: settings.front,
        peer: settings.peer,
        zone: settings.zone.clone(),
        weight: weight(settings),
        requests_per_s: state.accepted_requests.sum(now_ms) as u32 / ACCEPTED_WINDOW_S,
        usage: state.quota.usage(now_ms),
        era: status.era,
        knows_grants: status.knows_grants,
        interval_ms: interval.as_millis() as u32,
        heartbeat_at_ms: if gateway.is_draining() { 0 } else { store_ms },
        unready_until_ms: match state.admission.unready_left_ms(now_ms) {
            0 => 0,
            left_ms => store_ms + left_ms,
        },
    }
}

/// Returns the traffic this instance can handle, in thousandths of a core, limited by its link.
fn weight(settings: &Settings) -> u32 {
    let by_link = settings.link_mbps / LINK_MBPS_PER_CORE;
    (settings.cores.min(by_link) * 1_000.0) as u32
}

/// Reads the members: their summary where that is enough, otherwise all of them. Returns the number
/// of bytes read.
pub(super) async fn read_members(control: &Control) -> usize {
    if !needs_all_members(control) && (has_recent_summary(control) || read_summary(control).await) {
        return 0;
    }
    let Ok(response) = read(control, MEMBER_TABLE, FLEET_PARTITION).await else {
        return 0;
    };
    let bytes = response.size();
    apply_members(control, response);
    send_summary(control);
    write_summary(control).await;
    bytes
}

/// Returns `true` if a summary of the members is not enough for this instance. Just after the first
/// start the fleet may be larger than it seems.
fn needs_all_members(control: &Control) -> bool {
    let gateway = &control.gateway;
    let is_young = gateway.settings.is_first_start && gateway.uptime() < FIRST_START_TIME;
    let (is_loaded, is_large) = {
        let state = gateway.state();
        (state.directory.is_loaded(), state.directory.is_large())
    };
    match is_loaded && is_large {
        true => control.cadence().knows_all(),
        false => is_loaded && !is_young,
    }
}

/// Returns `true` if a reader sent the summary within [`RECENT_SUMMARY_MS`].
fn has_recent_summary(control: &Control) -> bool {
    let at_ms = control.summary_at_ms.load(Ordering::Relaxed);
    at_ms > 0 && control.gateway.now_ms() < at_ms + RECENT_SUMMARY_MS
}

/// Sends the summary to the instances that this reader sends digests to.
fn send_summary(control: &Control) {
    if control.role() == Role::Follower {
        return;
    }
    let directory = &control.gateway.state().directory;
    let Some(summary) = directory.summarize().filter(|_| directory.is_large()) else {
        return;
    };
    control.broadcast(Message::Summary(summary));
}

/// Applies the summary that a reader has sent.
pub(super) fn receive_summary(control: &Control, summary: Summary) {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    let (known_ms, store_ms) = {
        let state = gateway.state();
        let store_ms = state.quota.store_time(now_ms);
        (state.directory.read_at_ms(), store_ms)
    };
    if summary.at_ms <= known_ms || needs_all_members(control) {
        return;
    }
    if apply_summary(control, summary, store_ms) {
        control.summary_at_ms.store(now_ms, Ordering::Relaxed);
    }
}

/// Reads and applies the summary of the members. Returns `false` if there is none that is enough.
async fn read_summary(control: &Control) -> bool {
    match fetch_summary(control).await {
        Some((summary, store_ms)) => apply_summary(control, summary, store_ms),
        None => false,
    }
}

/// Applies a summary. Returns `false` if it is not enough for this instance.
fn apply_summary(control: &Control, summary: Summary, store_ms: u64) -> bool {
    let gateway = &control.gateway;
    if !summary.is_usable(store_ms) || summary.names(&gateway.settings.name) {
        return false;
    }
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    let advertised_before = advertised_names(&state.directory);
    state.directory.apply_summary(summary);
    update_admission(&mut state, &gateway.settings.name, now_ms);
    let advertised = advertised_names(&state.directory);
    state.quota.set_unreported_peers(&advertised);
    state.set_advertised(&advertised);
    drop(state);
    log_advertised(&advertised_before, &advertised);
    true
}

/// Reads the summary, with the time of the store's clock.
async fn fetch_summary(control: &Control) -> Option<(Summary, u64)> {
    let response = read_row(control, &summary_id()).await.ok()?;
    let row = response.rows.iter().find_map(|row| row.value.as_deref());
    let summary = row.and_then(Summary::decode).unwrap_or_default();
    Some((summary, response.now_ms))
}

/// Writes the summary of a large fleet if the present one is older than this instance's turn. The
/// turns are in the order of the advertised instances, so that usually only the first one writes.
async fn write_summary(control: &Control) {
    let name = &control.gateway.settings.name;
    let Some(summary) = control.gateway.state().directory.summarize() else {
        return;
    };
    if !control.gateway.state().directory.is_large() {
        return;
    }
    let Some((former, store_ms)) = fetch_summary(control).await else {
        return;
    };
    let mut advertised = summary.advertised.iter();
    let turn = advertised.position(|advertised| advertised == name);
    let turn = turn.unwrap_or(summary.advertised.len()) as u64;
    let due_ms = former.at_ms + SUMMARY_REFRESH_MS + turn * SUMMARY_TURN_MS;
    if former.is_usable(store_ms) && store_ms < due_ms {
        return;
    }
    let mut transaction = Transaction::default();
    transaction.puts.push((summary_id(), summary.encode()));
    let commit = control.store.commit(&transaction);
    // The next turn replaces a lost one; `call` has recorded the failure.
    let _ = control.call("summary", CALL_TIMEOUT, commit).await;
}

fn summary_id() -> RowId {
    row_id(SUMMARY_TABLE, FLEET_PARTITION, SUMMARY_TABLE)
}

fn apply_members(control: &Control, response: ReadResponse) {
    let mut members: BTreeMap<Arc<str>, Member> = BTreeMap::new();
    for row in response.rows {
        let Some(value) = &row.value else { continue };
        match Member::decode(value) {
            Ok(member) => {
                members.insert(row.id.key.clone(), member);
            }
            Err(error) => log_unreadable(&row, &error.to_string()),
        }
    }
    let now_ms = control.gateway.now_ms();
    let mut state = control.gateway.state();
    let before = live_names(&state.directory);
    let advertised_before = advertised_names(&state.directory);
    let era = version::era(response.version);
    state
        .directory
        .replace_in_era(era, members, response.now_ms);
    let statuses = state.directory.statuses();
    let member_timeout_ms = state.directory.member_timeout_ms();
    state.quota.set_statuses(statuses, member_timeout_ms);
    update_admission(&mut state, &control.gateway.settings.name, now_ms);
    let after = live_names(&state.directory);
    let usages = state.directory.live();
    let usages: Vec<_> = usages
        .map(|(name, member)| (name.clone(), member.usage.clone()))
        .collect();
    let advertised = advertised_names(&state.directory);
    state.quota.set_peers(&usages, &advertised);
    state.set_advertised(&advertised);
    drop(state);
    log_advertised(&advertised_before, &advertised);
    log_changes(Event::PeerJoined, &before, &after);
    log_changes(Event::PeerLost, &after, &before);
}

fn live_names(directory: &Directory) -> Vec<Arc<str>> {
    directory.live().map(|(name, _)| name.clone()).collect()
}

fn log_advertised(before: &[Arc<str>], advertised: &[Arc<str>]) {
    if before != advertised {
        log_event!(Event::InstancesNamed, "named={}", advertised.join(","));
    }
}

/// Logs the instances of `to` that are not in `from`, in a single line. One line per instance would
/// make the log grow with the square of the fleet size when all instances start.
fn log_changes(event: Event, from: &[Arc<str>], to: &[Arc<str>]) {
    let known: BTreeSet<&Arc<str>> = from.iter().collect();
    let added: Vec<&str> = to
        .iter()
        .filter(|name| !known.contains(name))
        .map(|name| &**name)
        .collect();
    if added.is_empty() {
        return;
    }
    let named = added[..added.len().min(MAX_LOGGED_INSTANCES)].join(",");
    log_event!(event, "count={} instances={named}", added.len());
}

fn advertised_names(directory: &Directory) -> Vec<Arc<str>> {
    let advertised = directory.advertised();
    advertised.iter().map(|(name, _)| (*name).clone()).collect()
}

/// Updates the admission limits from the member list. The instance stays unready for as long as its
/// member row says, also after a restart.
fn update_admission(state: &mut State, name: &str, now_ms: u64) {
    let left_ms = state.directory.unready_left_ms(name);
    state.admission.set_unready(now_ms, left_ms);
    // Half of the member timeout is two heartbeats.
    let heartbeats_ms = state.directory.member_timeout_ms() / 2;
    let spare_ms = state.directory.spare_ms(name, heartbeats_ms);
    state.admission.set_spare(now_ms + spare_ms);
    let has_stronger_peer = state.directory.has_stronger_peer(name);
    state.admission.set_has_stronger_peer(has_stronger_peer);
    let has_capacity = state.directory.has_capacity_beside(name);
    state.admission.set_fleet_has_capacity(has_capacity);
    let is_advertised = state.directory.is_advertised(name);
    state.admission.set_advertised(now_ms, is_advertised);
}
