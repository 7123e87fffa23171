//! The sign that this instance lives, and those of the others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::directory::{Directory, Member};
use fescuewell_forward::version;

use super::rows::{FLEET, place, read, unreadable};
use super::{CALL, Control};
use crate::gateway::{ARRIVALS_S, Gateway, State};
use crate::settings::Settings;
use crate::store::Change;

/// Table of the instances' addresses.
const MEMBERS: &str = "member";
/// Most instances that one log line names: enough to see which availability zone it is.
const MOST_TOLD: usize = 8;
/// Link for which a whole core of an instance has use, in Mbit/s: prompts are some 17 kB each.
const LINK_EACH_MBPS: f64 = 200.0;

/// Writes the sign that this instance lives, or takes it away when it leaves.
pub(super) async fn sign(control: &Control) {
    let gateway = &control.gateway;
    let place = place(MEMBERS, FLEET, &gateway.settings.name);
    let member = own_row(gateway);
    let mut change = Change::default();
    // Callers that were sent away would come back to the next process at once, so the row stays and tells it.
    if gateway.is_leaving() && member.unready_until_ms == 0 {
        change.removes.push(place);
    } else {
        change.puts.push((place, member.encode()));
    }
    let commit = control.store.commit(&change);
    // A sign that is lost is followed by the next one; `call` has noted the failure.
    let _ = control.call("sign", CALL, commit).await;
}

/// What this instance tells of itself now.
fn own_row(gateway: &Gateway) -> Member {
    let settings = &gateway.settings;
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    let store_ms = state.quota.store_time(now_ms);
    let sign = state.quota.sign();
    Member {
        address: settings.front,
        peer: settings.peer,
        zone: settings.zone.clone(),
        weight: weight(settings),
        requests_per_s: state.arrivals.sum(now_ms) as u32 / ARRIVALS_S,
        usage: state.quota.usage(now_ms),
        era: sign.era,
        is_certain: sign.is_certain,
        heartbeat_at_ms: if gateway.is_leaving() { 0 } else { store_ms },
        unready_until_ms: match state.admission.unready_left_ms(now_ms) {
            0 => 0,
            left_ms => store_ms + left_ms,
        },
    }
}

/// How much traffic the instance can carry, in thousandths of a core: no more than its link has room for.
fn weight(settings: &Settings) -> u32 {
    let by_link = settings.link_mbps / LINK_EACH_MBPS;
    (settings.cores.min(by_link) * 1_000.0) as u32
}

/// Reads which instances live.
pub(super) async fn members(control: &Control) {
    let Ok(reading) = read(control, MEMBERS, FLEET).await else {
        return;
    };
    let mut members: BTreeMap<Arc<str>, Member> = BTreeMap::new();
    for row in reading.rows {
        let Some(value) = &row.value else { continue };
        match Member::decode(value) {
            Ok(member) => {
                members.insert(row.place.key.clone(), member);
            }
            Err(error) => unreadable(&row, &error.to_string()),
        }
    }
    let now_ms = control.gateway.now_ms();
    let mut state = control.gateway.state();
    let before: Vec<Arc<str>> = state
        .directory
        .live()
        .map(|(name, _)| name.clone())
        .collect();
    let named_before = names(&state.directory);
    let era = version::era(reading.version);
    state.directory.replace_in_era(era, members, reading.now_ms);
    let signs = state.directory.heartbeats();
    let lapse_ms = state.directory.member_timeout_ms();
    state.quota.hear(signs, lapse_ms);
    stay_out(&mut state, &control.gateway.settings.name, now_ms);
    let after: Vec<Arc<str>> = state
        .directory
        .live()
        .map(|(name, _)| name.clone())
        .collect();
    let said = state.directory.live();
    let said: Vec<_> = said
        .map(|(name, member)| (name.clone(), member.usage.clone()))
        .collect();
    let named: Vec<Arc<str>> = names(&state.directory);
    state.quota.set_peers(&said, &named);
    state.warmup.set_instances(named.clone());
    drop(state);
    if named != named_before {
        log_event!(Event::InstancesNamed, "named={}", named.join(","));
    }
    tell(Event::PeerJoined, &before, &after);
    tell(Event::PeerLost, &after, &before);
}

/// Logs the instances of `to` that `from` lacks: one line for a change of the fleet. With a line for each of them a start of all
/// wrote the square of their number.
fn tell(event: Event, from: &[Arc<str>], to: &[Arc<str>]) {
    let known: BTreeSet<&Arc<str>> = from.iter().collect();
    let news: Vec<&str> = to
        .iter()
        .filter(|name| !known.contains(name))
        .map(|name| &**name)
        .collect();
    if news.is_empty() {
        return;
    }
    let named = news[..news.len().min(MOST_TOLD)].join(",");
    log_event!(event, "count={} instances={named}", news.len());
}

fn names(directory: &Directory) -> Vec<Arc<str>> {
    let named = directory.advertised();
    named.iter().map(|(name, _)| (*name).clone()).collect()
}

/// Stays out as long as the former process was to, unless the instance is needed.
fn stay_out(state: &mut State, name: &str, now_ms: u64) {
    let left_ms = state.directory.unready_left_ms(name);
    state.admission.set_unready(now_ms, left_ms);
    let spared_ms = match state.directory.can_spare(name) {
        // Half of the time after which a sign is missed: two signs.
        true => state.directory.member_timeout_ms() / 2,
        false => 0,
    };
    state.admission.set_spare(now_ms + spared_ms);
    let has_room = state.directory.has_capacity_beside(name);
    state.admission.set_fleet_has_capacity(has_room);
    let is_needed = state.directory.is_advertised(name);
    state.admission.set_required(now_ms, is_needed);
}
