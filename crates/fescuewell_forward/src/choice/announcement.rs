//! Announcements of long prompts: which other instances are told that a prompt was placed at a
//! server, and what is known from their announcements.
//!
//! Load reports arrive after their interval, and only at advertised instances. Until then other
//! instances would place long prompts at the same server. An announcement is one datagram; it
//! counts until the sender's load report contains the prompt, or until it expires.

mod received;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use received::Received;

use super::load::REPORT_TTL_MS;
use crate::directory::Directory;

/// Minimum number of uncached tokens of a prompt that is announced.
pub const MIN_TOKENS: u64 = 4_000;
/// Maximum number of prompts in a batch, which must fit a packet.
pub const MAX_PROMPTS: usize = 16;
/// Maximum number of receivers of a batch.
pub const MAX_RECEIVERS: usize = 24;
/// Maximum number of bytes that an instance sends within any second to all receivers together.
pub const MAX_BYTES_PER_S: u64 = 4_096;
/// Maximum number of bytes that an instance sends at once: a batch of one prompt to
/// [`MAX_RECEIVERS`], with names of usual length.
const BURST_BYTES: u64 = 1_536;
/// Refill rate of the budget. A bucket allows its size and a second's refill within a second, so
/// both together are [`MAX_BYTES_PER_S`].
const REFILL_BYTES_PER_S: u64 = MAX_BYTES_PER_S - BURST_BYTES;
/// Maximum number of prompts that wait to be sent. Only a control thread that gets no processor
/// time lets them accumulate.
const MAX_QUEUED_PROMPTS: usize = 64;
/// Maximum number of known senders. Load reports are not authenticated, so anyone can add
/// addresses.
const MAX_REPORTERS: usize = 1_024;

/// A long prompt at a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Server that receives it.
    pub server: Arc<str>,
    /// Number of its tokens that the server has to process.
    pub uncached_tokens: u64,
}

/// Prompts that one instance announces together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Name of the sender.
    pub instance: Arc<str>,
    /// Number of the batch; increases for the lifetime of the process.
    pub number: u64,
    /// Sequence number of the sender's load report that will contain the prompts.
    pub report: u64,
    /// The prompts.
    pub prompts: Vec<Prompt>,
}

/// Prompts that this instance has placed and not announced yet.
#[derive(Debug, Default)]
pub struct Queue {
    /// The prompts, each with the sequence number of the load report that will contain it.
    prompts: VecDeque<(u64, Prompt)>,
    last_number: u64,
}

impl Queue {
    /// Adds a prompt that the load report with sequence number `report` will contain. Returns
    /// `false` if the queue is full.
    pub fn push(&mut self, prompt: Prompt, report: u64) -> bool {
        if self.prompts.len() >= MAX_QUEUED_PROMPTS {
            return false;
        }
        self.prompts.push_back((report, prompt));
        true
    }

    /// Takes the next prompts that the same load report will contain, or returns `None` if there
    /// are none.
    pub fn take(&mut self, instance: &Arc<str>) -> Option<Batch> {
        let report = self.prompts.front()?.0;
        let same = self
            .prompts
            .iter()
            .take_while(|(other, _)| *other == report);
        let count = same.take(MAX_PROMPTS).count();
        let prompts = self.prompts.drain(..count).map(|(_, prompt)| prompt);
        let prompts = prompts.collect();
        self.last_number += 1;
        Some(Batch {
            instance: instance.clone(),
            number: self.last_number,
            report,
            prompts,
        })
    }
}

/// Limit on the bytes that an instance sends: a token bucket over all receivers.
#[derive(Debug)]
pub struct Budget {
    bytes: f64,
    at_ms: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            bytes: BURST_BYTES as f64,
            at_ms: 0,
        }
    }
}

impl Budget {
    /// Takes the bytes of up to `count` datagrams. Returns how many of them may be sent.
    pub fn take(&mut self, datagram_bytes: usize, count: usize, now_ms: u64) -> usize {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let refill = elapsed_ms * REFILL_BYTES_PER_S as f64 / 1_000.0;
        self.bytes = (self.bytes + refill).min(BURST_BYTES as f64);
        self.at_ms = self.at_ms.max(now_ms);
        let allowed = (self.bytes / datagram_bytes.max(1) as f64) as usize;
        let sent = allowed.min(count);
        self.bytes -= (sent * datagram_bytes) as f64;
        sent
    }
}

/// Addresses from which a load report or an announcement arrived lately.
#[derive(Debug, Default)]
pub struct Reporters {
    heard_at_ms: HashMap<SocketAddr, u64>,
}

impl Reporters {
    /// Records that a message arrived from `address`.
    pub fn record(&mut self, address: SocketAddr, now_ms: u64) {
        if let Some(heard_at_ms) = self.heard_at_ms.get_mut(&address) {
            *heard_at_ms = now_ms;
            return;
        }
        if self.heard_at_ms.len() >= MAX_REPORTERS {
            self.heard_at_ms
                .retain(|_, heard_at_ms| is_recent(*heard_at_ms, now_ms));
        }
        if self.heard_at_ms.len() < MAX_REPORTERS {
            self.heard_at_ms.insert(address, now_ms);
        }
    }

    /// Returns the addresses of the recent reporters.
    pub fn recent(&self, now_ms: u64) -> impl Iterator<Item = SocketAddr> {
        let recent = self.heard_at_ms.iter();
        let recent = recent.filter(move |(_, heard_at_ms)| is_recent(**heard_at_ms, now_ms));
        recent.map(|(address, _)| *address)
    }
}

fn is_recent(heard_at_ms: u64, now_ms: u64) -> bool {
    now_ms < heard_at_ms + REPORT_TTL_MS
}

/// State of the instance's own announcements.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Prompts that wait to be sent.
    pub queue: Queue,
    /// Limit on the bytes that are sent.
    pub budget: Budget,
    /// Other instances that serve callers although they may not be advertised.
    pub reporters: Reporters,
}

impl Outbox {
    /// Selects the receivers of a batch: of the advertised instances and the recent reporters,
    /// without `own`, at most [`MAX_RECEIVERS`]. They are in random order, so that the budget does
    /// not favour any of them.
    ///
    /// Load reports are not authenticated. A reporter that is not a member is therefore left out
    /// if all members are known.
    pub fn receivers(
        &self,
        directory: &Directory,
        own: Option<SocketAddr>,
        random: u64,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let advertised = directory.advertised();
        let advertised = advertised.iter().filter_map(|(_, member)| member.peer);
        let mut candidates: BTreeSet<SocketAddr> = advertised.collect();
        let knows_all = directory.is_loaded() && !directory.is_summary();
        let members: HashSet<&SocketAddr> = directory.peers().iter().collect();
        let reporters = self.reporters.recent(now_ms);
        candidates.extend(reporters.filter(|address| !knows_all || members.contains(address)));
        let others = candidates.into_iter();
        let others = others.filter(|address| Some(*address) != own);
        let mut receivers: Vec<SocketAddr> = others.collect();
        receivers.sort_by_cached_key(|address| {
            let mut hasher = DefaultHasher::new();
            random.hash(&mut hasher);
            address.hash(&mut hasher);
            hasher.finish()
        });
        receivers.truncate(MAX_RECEIVERS);
        receivers
    }
}
