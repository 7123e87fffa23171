//! Selects the addresses of the instances that a caller should use.
//!
//! There is no load balancer in front of the instances: a caller requests addresses, caches them
//! for their time to live and connects by itself. So this selection alone spreads callers over
//! instances, keeps them in their zone and shifts them away from instances that are busy or
//! leaving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;

use crate::row::State;
use crate::view::{Peer, View};

/// Weight of an idle instance.
const FULL_WEIGHT: u16 = 100;
/// Granularity of weights, so that small changes of load do not change responses.
const WEIGHT_STEP: u16 = 10;
/// Use of a full instance, in thousandths.
const FULL_PERMILLE: u16 = 1000;
/// Mean use of the local instances, in thousandths, from which other zones get their full weight.
const LOCAL_FULL_PERMILLE: u32 = 800;

fescuewell_core::data! {
    /// How addresses are selected.
    pub struct Settings {
        /// How long a caller may cache a response.
        pub ttl: Duration,
        /// Minimum number of instances per account, so that one may fail.
        #[serde(rename = "least")]
        pub min_instances: usize,
        /// Maximum number of addresses in a response.
        #[serde(rename = "most")]
        pub max_addresses: usize,
        /// Number of addresses in other zones at the end of each response, in case the caller's
        /// zone is lost.
        #[serde(rename = "far")]
        pub remote_addresses: usize,
        /// Maximum requests per second of one account that one instance should carry.
        pub rate_per_instance: u32,
        /// Weight of instances in other zones, in percent, while local ones have capacity.
        #[serde(rename = "far_percent")]
        pub remote_percent: u16,
    }

    /// The caller that requests addresses.
    pub struct Caller {
        /// Name of the client account.
        pub account: Arc<str>,
        /// Distinguishes callers of one account, for example by network address.
        pub client: Arc<str>,
        /// The caller's availability zone, if known.
        pub zone: Option<Arc<str>>,
        /// Recently measured requests per second of the whole account.
        pub rate: u32,
    }

    /// One address of a response.
    pub struct Address {
        /// Where to connect.
        pub address: SocketAddr,
        /// Availability zone of the instance.
        pub zone: Arc<str>,
        /// Share of the caller's requests, relative to the other weights; never 0.
        pub weight: u16,
    }

    /// Addresses in order of preference, and how long they may be cached.
    pub struct Response {
        /// The addresses; empty when no instance accepts requests.
        pub addresses: Vec<Address>,
        /// Time to live.
        pub ttl: Duration,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(10),
            min_instances: 2,
            max_addresses: 8,
            remote_addresses: 2,
            rate_per_instance: 20,
            remote_percent: 10,
        }
    }
}

/// Returns the addresses that `caller` should use.
///
/// An account uses a few instances of its zone, chosen by hash, whose number grows with its request
/// rate; each of its callers gets some of those. The same view gives the same response.
pub fn resolve(settings: &Settings, caller: &Caller, view: &View) -> Response {
    let candidates = candidates(view);
    let (local, remote): (Vec<&Peer>, Vec<&Peer>) = candidates
        .into_iter()
        .partition(|peer| caller.zone.as_ref().is_none_or(|zone| *zone == peer.zone));
    let wanted = caller.rate.div_ceil(settings.rate_per_instance.max(1)) as usize;
    let wanted = wanted.max(settings.min_instances);
    let local = by_hash(&caller.account, local);
    let remote = by_hash(&caller.account, remote);
    // Instances that the zone lacks come from other zones, for example when most of the zone is
    // lost.
    let shortfall = wanted.saturating_sub(local.len());
    let chosen_local = &local[..wanted.min(local.len())];
    let chosen_remote = &remote[..(settings.remote_addresses + shortfall).min(remote.len())];
    let remote_count = chosen_remote.len().min(
        settings
            .remote_addresses
            .max(settings.max_addresses.saturating_sub(chosen_local.len())),
    );
    let local_count = settings.max_addresses.saturating_sub(remote_count);
    let mut addresses = Vec::new();
    for peer in by_hash(&caller.client, chosen_local.to_vec())
        .into_iter()
        .take(local_count)
    {
        addresses.push(address(peer, weight(peer)));
    }
    let percent = remote_weight_percent(settings, chosen_local, shortfall);
    for peer in by_hash(&caller.client, chosen_remote.to_vec())
        .into_iter()
        .take(remote_count)
    {
        let weight = u32::from(weight(peer)) * u32::from(percent) / 100;
        addresses.push(address(peer, (weight as u16).max(1)));
    }
    Response {
        addresses,
        ttl: settings.ttl,
    }
}

/// Ready members that are not suspected. Suspected ones are used only when there are no others: a
/// suspicion may be wrong, and an empty response helps nobody. Draining members are never used.
fn candidates(view: &View) -> Vec<&Peer> {
    let ready = view.live.iter().filter(|peer| peer.state == State::Ready);
    let ready: Vec<&Peer> = ready.collect();
    let trusted: Vec<&Peer> = ready
        .iter()
        .copied()
        .filter(|peer| !peer.suspected)
        .collect();
    if trusted.is_empty() { ready } else { trusted }
}

fn by_hash<'a>(name: &str, mut peers: Vec<&'a Peer>) -> Vec<&'a Peer> {
    peers.sort_by_cached_key(|peer| {
        let score = Digest::of(format!("address/{name}/{}", peer.instance).as_bytes());
        std::cmp::Reverse(score)
    });
    peers
}

/// Decreases with the reported load. Large callers hash to an instance independently of each other;
/// the lower weight of a busy instance moves part of them elsewhere on their next request.
fn weight(peer: &Peer) -> u16 {
    let spare = FULL_PERMILLE.saturating_sub(peer.load.permille);
    let weight = spare / (FULL_PERMILLE / FULL_WEIGHT);
    (weight / WEIGHT_STEP * WEIGHT_STEP).max(WEIGHT_STEP)
}

fn remote_weight_percent(settings: &Settings, chosen_local: &[&Peer], shortfall: usize) -> u16 {
    let loads = chosen_local
        .iter()
        .map(|peer| u32::from(peer.load.permille));
    let full = loads.sum::<u32>() >= LOCAL_FULL_PERMILLE * chosen_local.len() as u32;
    if full || shortfall > 0 {
        100
    } else {
        settings.remote_percent
    }
}

fn address(peer: &Peer, weight: u16) -> Address {
    Address {
        address: peer.caller_address,
        zone: peer.zone.clone(),
        weight,
    }
}
