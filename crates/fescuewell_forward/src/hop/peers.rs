//! Choice of the instance that sends a request.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::{Peer, Refusal};

/// Maximum number of instances that are asked to send a request. With a third of the fleet cut, one in
/// 700 requests finds none with a path.
pub const MAX_ATTEMPTS: usize = 6;
/// Number of random instances of which the least loaded one is chosen.
pub const SAMPLE: usize = 4;
/// Time for which an instance that refused or did not respond is avoided, in milliseconds.
const AVOID_MS: u64 = 1_000;
/// The same for an instance at its limits, which has capacity again sooner.
const AVOID_BUSY_MS: u64 = 200;

/// What is known of the instances that send requests for this one.
#[derive(Debug, Default)]
pub struct Peers {
    avoided_until_ms: HashMap<SocketAddr, u64>,
    in_flight: HashMap<SocketAddr, u32>,
}

impl Peers {
    /// Chooses the least loaded of some instances, relative to their weights.
    pub fn choose<Candidates>(&self, candidates: Candidates, now_ms: u64) -> Option<SocketAddr>
    where
        Candidates: IntoIterator<Item = Peer>,
    {
        let usable = candidates.into_iter().filter(|peer| {
            let until_ms = self.avoided_until_ms.get(&peer.address);
            until_ms.is_none_or(|until_ms| now_ms >= *until_ms)
        });
        let least = usable.min_by(|left, right| {
            let load = |peer: &Peer| {
                let in_flight = self.in_flight.get(&peer.address).copied().unwrap_or(0);
                f64::from(in_flight + 1) / f64::from(peer.weight.max(1))
            };
            load(left).total_cmp(&load(right))
        });
        least.map(|peer| peer.address)
    }

    /// Records that a request was passed to an instance.
    pub fn begin(&mut self, peer: SocketAddr) {
        *self.in_flight.entry(peer).or_default() += 1;
    }

    /// Records that the exchange with an instance has ended.
    pub fn end(&mut self, peer: SocketAddr) {
        let Some(in_flight) = self.in_flight.get_mut(&peer) else {
            return;
        };
        *in_flight = in_flight.saturating_sub(1);
        if *in_flight == 0 {
            self.in_flight.remove(&peer);
        }
    }

    /// Avoids an instance for a while because it refused, or because there was no response.
    pub fn avoid(&mut self, peer: SocketAddr, refusal: Option<Refusal>, now_ms: u64) {
        self.avoided_until_ms
            .retain(|_, until_ms| now_ms < *until_ms);
        let avoid_ms = match refusal {
            Some(Refusal::Busy) => AVOID_BUSY_MS,
            _ => AVOID_MS,
        };
        self.avoided_until_ms.insert(peer, now_ms + avoid_ms);
    }
}
