//! Answers to callers that ask which instances to use.
//!
//! Nothing stands in front of the instances: a caller asks for addresses, keeps the answer for its
//! time to live and connects by itself. The answers are therefore what spreads callers over instances,
//! keeps them in their zone and shifts them away from instances that are busy or leaving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;

use crate::row::State;
use crate::view::{Peer, View};

/// Weight of an idle instance.
const FULL_WEIGHT: u16 = 100;
/// Weights move in such steps, so that small changes of load do not change answers.
const WEIGHT_STEP: u16 = 10;
/// Use, in thousandths, that stands for a full instance.
const FULL_PERMILLE: u16 = 1000;
/// Mean use of the near instances, in thousandths, from which other zones take their full part.
const NEAR_FULL: u32 = 800;

fescuewell_core::data! {
    /// How answers are made.
    pub struct Settings {
        /// How long a caller may keep an answer.
        pub ttl: Duration,
        /// Fewest instances that carry an account, so that one may fail.
        #[serde(rename = "least")]
        pub min_instances: usize,
        /// Most addresses in an answer.
        #[serde(rename = "most")]
        pub max_addresses: usize,
        /// Addresses in other zones that each answer ends with, for the loss of a zone.
        #[serde(rename = "far")]
        pub remote_addresses: usize,
        /// Requests a second of one account that an instance should carry at most.
        pub rate_per_instance: u32,
        /// Weight of instances in other zones, in percent, while near ones have room.
        #[serde(rename = "far_percent")]
        pub remote_percent: u16,
    }

    /// Who asks.
    pub struct Caller {
        /// Name of the client account.
        pub account: Arc<str>,
        /// Tells callers of one account apart, for instance by their network address.
        pub client: Arc<str>,
        /// The caller's availability zone, where it is known.
        pub zone: Option<Arc<str>>,
        /// Requests a second of the whole account, as lately measured.
        pub rate: u32,
    }

    /// One address of an answer.
    pub struct Address {
        /// Where to connect.
        pub address: SocketAddr,
        /// The zone it is in.
        pub zone: Arc<str>,
        /// Share of the caller's requests, relative to the other weights; never 0.
        pub weight: u16,
    }

    /// Addresses in the order of preference, and how long they may be kept.
    pub struct Response {
        /// The addresses; empty when no instance takes requests.
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

/// The addresses that `caller` should use.
///
/// An account keeps to a few instances of its zone, chosen by hash, whose number grows with its rate;
/// each of its callers is told some of those. The same view gives the same answer.
pub fn resolve(settings: &Settings, caller: &Caller, view: &View) -> Response {
    let candidates = candidates(view);
    let (near, far): (Vec<&Peer>, Vec<&Peer>) = candidates
        .into_iter()
        .partition(|peer| caller.zone.as_ref().is_none_or(|zone| *zone == peer.zone));
    let wanted = caller.rate.div_ceil(settings.rate_per_instance.max(1)) as usize;
    let wanted = wanted.max(settings.min_instances);
    let near = by_hash(&caller.account, near);
    let far = by_hash(&caller.account, far);
    // What a zone lacks of the wanted number comes from other zones, as when most of it is lost.
    let lacking = wanted.saturating_sub(near.len());
    let home = &near[..wanted.min(near.len())];
    let away = &far[..(settings.remote_addresses + lacking).min(far.len())];
    let far_places = away.len().min(
        settings
            .remote_addresses
            .max(settings.max_addresses.saturating_sub(home.len())),
    );
    let near_places = settings.max_addresses.saturating_sub(far_places);
    let mut addresses = Vec::new();
    for peer in by_hash(&caller.client, home.to_vec())
        .into_iter()
        .take(near_places)
    {
        addresses.push(address(peer, weight(peer)));
    }
    let percent = far_percent(settings, home, lacking);
    for peer in by_hash(&caller.client, away.to_vec())
        .into_iter()
        .take(far_places)
    {
        let weight = u32::from(weight(peer)) * u32::from(percent) / 100;
        addresses.push(address(peer, (weight as u16).max(1)));
    }
    Response {
        addresses,
        ttl: settings.ttl,
    }
}

/// Ready members that nobody suspects; the suspected ones only when there are no others, since a
/// suspicion may be wrong and an empty answer certainly helps nobody. Never one that drains.
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

/// Falls with the reported load. Heavy callers hash to an instance regardless of who else did; the
/// lower weight of a busy instance moves part of them to others when they next ask.
fn weight(peer: &Peer) -> u16 {
    let spare = FULL_PERMILLE.saturating_sub(peer.load.permille);
    let weight = spare / (FULL_PERMILLE / FULL_WEIGHT);
    (weight / WEIGHT_STEP * WEIGHT_STEP).max(WEIGHT_STEP)
}

fn far_percent(settings: &Settings, home: &[&Peer], lacking: usize) -> u16 {
    let loads = home.iter().map(|peer| u32::from(peer.load.permille));
    let full = loads.sum::<u32>() >= NEAR_FULL * home.len() as u32;
    if full || lacking > 0 {
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
