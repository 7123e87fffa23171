//! Membership: the heartbeat of this instance and the state of the others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::directory::{Directory, Member};
use fescuewell_forward::version;

use super::rows::{FLEET_PARTITION, log_unreadable, read, row_id};
use super::{CALL_TIMEOUT, Control};
use crate::gateway::{ACCEPTED_WINDOW_S, Gateway, State};
use crate::settings::Settings;
use crate::store::Transaction;

/// Table of the members.
const MEMBER_TABLE: &str = "member";
/// Maximum number of instances named in one log line, enough to recognize an availability zone.
const MAX_LOGGED_INSTANCES: usize = 8;
/// Link bandwidth that one core can make use of, in Mbit/s: prompts have about 17 kB each.
const LINK_MBPS_PER_CORE: f64 = 200.0;

/// Writes the heartbeat of this instance, or removes its member row when it leaves.
pub(super) async fn write_heartbeat(control: &Control) {
    let gateway = &control.gateway;
    let id = row_id(MEMBER_TABLE, FLEET_PARTITION, &gateway.settings.name);
    let member = own_member(gateway);
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
fn own_member(gateway: &Gateway) -> Member {
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

/// Reads the member list.
pub(super) async fn read_members(control: &Control) {
    let Ok(response) = read(control, MEMBER_TABLE, FLEET_PARTITION).await else {
        return;
    };
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
    let before: Vec<Arc<str>> = state
        .directory
        .live()
        .map(|(name, _)| name.clone())
        .collect();
    let advertised_before = advertised_names(&state.directory);
    let era = version::era(response.version);
    state
        .directory
        .replace_in_era(era, members, response.now_ms);
    let statuses = state.directory.statuses();
    let member_timeout_ms = state.directory.member_timeout_ms();
    state.quota.set_statuses(statuses, member_timeout_ms);
    update_admission(&mut state, &control.gateway.settings.name, now_ms);
    let after: Vec<Arc<str>> = state
        .directory
        .live()
        .map(|(name, _)| name.clone())
        .collect();
    let usages = state.directory.live();
    let usages: Vec<_> = usages
        .map(|(name, member)| (name.clone(), member.usage.clone()))
        .collect();
    let advertised: Vec<Arc<str>> = advertised_names(&state.directory);
    state.quota.set_peers(&usages, &advertised);
    state.warmup.set_instances(advertised.clone());
    drop(state);
    if advertised != advertised_before {
        log_event!(Event::InstancesNamed, "named={}", advertised.join(","));
    }
    log_changes(Event::PeerJoined, &before, &after);
    log_changes(Event::PeerLost, &after, &before);
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
    let spare_ms = match state.directory.can_spare(name) {
        // Half of the member timeout, which is two heartbeats.
        true => state.directory.member_timeout_ms() / 2,
        false => 0,
    };
    state.admission.set_spare(now_ms + spare_ms);
    let has_capacity = state.directory.has_capacity_beside(name);
    state.admission.set_fleet_has_capacity(has_capacity);
    let is_advertised = state.directory.is_advertised(name);
    state.admission.set_advertised(now_ms, is_advertised);
}
