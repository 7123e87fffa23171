//! Which other instances are in reach of this one.

use std::collections::HashMap;
use std::net::SocketAddr;

/// Time without a message after which an instance is asked for one, in milliseconds.
const SILENT_MS: u64 = 1_000;
/// Time without a message after which an instance is out of reach, in milliseconds. Longer than one that has
/// ended is listed.
const OUT_OF_REACH_MS: u64 = 4_000;

/// Times of the last message of each other instance.
#[derive(Debug, Default)]
pub struct Reach {
    heard_ms: HashMap<SocketAddr, u64>,
}

impl Reach {
    /// Records a message of another instance at `now_ms` of the local clock.
    pub fn heard(&mut self, from: SocketAddr, now_ms: u64) {
        if let Some(heard_ms) = self.heard_ms.get_mut(&from) {
            *heard_ms = now_ms;
        }
    }

    /// Replaces the instances whose messages are recorded. One that is new counts as heard.
    pub fn update(&mut self, peers: &[SocketAddr], now_ms: u64) {
        let known = &self.heard_ms;
        let heard_ms = peers.iter().map(|peer| {
            let heard_ms = known.get(peer).copied().unwrap_or(now_ms);
            (*peer, heard_ms)
        });
        self.heard_ms = heard_ms.collect();
    }

    /// Returns the instances that have to be asked for a message.
    pub fn silent(&self, now_ms: u64) -> Vec<SocketAddr> {
        self.unheard_for(SILENT_MS, now_ms).collect()
    }

    /// Number of instances that are out of reach.
    pub fn lost(&self, now_ms: u64) -> usize {
        self.unheard_for(OUT_OF_REACH_MS, now_ms).count()
    }

    fn unheard_for(&self, time_ms: u64, now_ms: u64) -> impl Iterator<Item = SocketAddr> {
        let peers = self.heard_ms.iter();
        let silent = peers.filter(move |(_, heard_ms)| now_ms >= **heard_ms + time_ms);
        silent.map(|(peer, _)| *peer)
    }
}
