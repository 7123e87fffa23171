//! Which backend server gets a request.
//!
//! Model engines keep the prompt parts that they have read, and reading them again costs time. All instances
//! rank the engines of a prompt in the same order (rendezvous hashing), so that they agree without talking. The first in that order is taken unless it is clearly busier than the others.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::health::Health;
use crate::server::Entry;

/// A request as the choice sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Query<'a> {
    /// The prompt part, shared with other requests, that is worth finding again.
    pub affinity: Option<&'a str>,
    /// Tokens of the prompt up to that part.
    pub shared_tokens: u64,
    /// Availability zone of the instance.
    pub zone: &'a str,
    /// A number that differs from request to request.
    pub draw: u64,
}

/// What this instance has under way at one backend server.
#[derive(Debug, Default, Clone, Copy)]
struct Busy {
    running: u32,
    unread: u64,
}

/// Requests under way at each backend server, sent by this instance.
#[derive(Debug, Default)]
pub struct Load {
    servers: HashMap<Arc<str>, Busy>,
    peers: HashMap<Arc<str>, Heard>,
    kept: Kept,
}

/// Which servers are known to keep a prompt part, from own requests and from the reports of others.
#[derive(Debug, Default)]
struct Kept {
    parts: HashMap<u64, Vec<Copy>>,
    fresh: Vec<(u64, Arc<str>, u64)>,
}

/// A part at a server, and when it was last used there.
#[derive(Debug)]
struct Copy {
    server: Arc<str>,
    used_ms: u64,
}

/// A part that was not used for so long may have been displaced, in milliseconds.
const KEPT_MS: u64 = 20_000;
/// New copies are told for so long, in milliseconds, since a report may be lost.
const FRESH_COPY_MS: u64 = 300;
/// Most servers in one report, the busiest first: some 20 bytes each. Without a bound the report of an instance that has
/// requests at a hundred servers outgrows a packet and is not sent at all.
const MOST_SERVERS: usize = 40;
/// Most copies in one report: it has to fit one packet.
const MOST_COPIES: usize = 24;
/// Most parts that are remembered.
const MOST_PARTS: usize = 20_000;

impl Kept {
    /// Notes a use; returns whether the copy is new.
    fn note(&mut self, part: u64, server: &Arc<str>, now_ms: u64) -> bool {
        if self.parts.len() >= MOST_PARTS {
            self.parts.clear();
        }
        let copies = self.parts.entry(part).or_default();
        copies.retain(|copy| now_ms < copy.used_ms + KEPT_MS);
        if let Some(copy) = copies.iter_mut().find(|copy| copy.server == *server) {
            copy.used_ms = now_ms;
            return false;
        }
        copies.push(Copy {
            server: server.clone(),
            used_ms: now_ms,
        });
        true
    }

    fn holds(&self, part: u64, server: &str) -> bool {
        let copies = self.parts.get(&part);
        copies.is_some_and(|copies| copies.iter().any(|copy| &*copy.server == server))
    }
}

/// What another instance said of its own load.
#[derive(Debug)]
struct Heard {
    at_ms: u64,
    number: u64,
    servers: HashMap<Arc<str>, Busy>,
}

/// Age from which another instance's report counts no more, in milliseconds: it is repeated while it changes.
const HEARD_MS: u64 = 1_500;

/// One instance's report of its load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Who says it.
    pub instance: Arc<str>,
    /// Rises with each report of one start.
    pub number: u64,
    /// Server, requests under way, prompt tokens still to be read.
    pub servers: Vec<(Arc<str>, u32, u64)>,
    /// Parts that servers have been given lately: part and server.
    pub copies: Vec<(u64, Arc<str>)>,
}

impl Load {
    /// One more request, with a prompt of so many tokens that are still to be read.
    pub fn begin(&mut self, id: &Arc<str>, unread: u64) {
        let busy = self.servers.entry(id.clone()).or_default();
        busy.running += 1;
        busy.unread += unread;
    }

    /// A prompt has been read.
    pub fn read(&mut self, id: &str, unread: u64) {
        if let Some(busy) = self.servers.get_mut(id) {
            busy.unread = busy.unread.saturating_sub(unread);
        }
    }

    /// One request fewer, its prompt having been read or given up.
    pub fn end(&mut self, id: &str) {
        let Some(busy) = self.servers.get_mut(id) else {
            return;
        };
        busy.running = busy.running.saturating_sub(1);
        if busy.running == 0 {
            self.servers.remove(id);
        }
    }

    /// A server is given a prompt that has this part.
    pub fn keep(&mut self, part: &str, server: &Arc<str>, now_ms: u64) {
        let part = part_number(part);
        if self.kept.note(part, server, now_ms) {
            self.kept.fresh.push((part, server.clone(), now_ms));
        }
    }

    /// Tokens that a server would have to read for a prompt of `prompt` tokens: without the shared part that it keeps.
    pub fn to_read(&self, prompt: u64, query: &Query<'_>, id: &str) -> u64 {
        let is_kept = query
            .affinity
            .is_some_and(|part| self.kept.holds(part_number(part), id));
        match is_kept {
            true => prompt.saturating_sub(query.shared_tokens),
            false => prompt,
        }
    }

    /// The own load, for the others.
    pub fn report(&mut self, instance: Arc<str>, number: u64, now_ms: u64) -> Report {
        self.kept
            .fresh
            .retain(|(_, _, at)| now_ms < at + FRESH_COPY_MS);
        let copies = self.kept.fresh.iter().rev().take(MOST_COPIES);
        let copies = copies.map(|(part, server, _)| (*part, server.clone()));
        let copies = copies.collect();
        let mut busiest: Vec<(&Arc<str>, &Busy)> = self.servers.iter().collect();
        busiest.sort_by_key(|(_, busy)| std::cmp::Reverse((busy.unread, busy.running)));
        let servers = busiest.into_iter().take(MOST_SERVERS);
        let servers = servers.map(|(id, busy)| (id.clone(), busy.running, busy.unread));
        Report {
            instance,
            number,
            servers: servers.collect(),
            copies,
        }
    }

    /// Takes another instance's report.
    pub fn hear(&mut self, report: Report, now_ms: u64) {
        let known = self.peers.get(&report.instance);
        let is_old = known
            .is_some_and(|heard| report.number <= heard.number && now_ms < heard.at_ms + HEARD_MS);
        if is_old {
            return;
        }
        for (part, server) in &report.copies {
            self.kept.note(*part, server, now_ms);
        }
        let servers = report.servers.into_iter();
        let servers = servers.map(|(id, running, unread)| (id, Busy { running, unread }));
        let heard = Heard {
            at_ms: now_ms,
            number: report.number,
            servers: servers.collect(),
        };
        self.peers.insert(report.instance, heard);
    }

    /// Forgets the prompt parts that a server kept: it has started again, or is gone.
    pub fn forget(&mut self, id: &str) {
        for copies in self.kept.parts.values_mut() {
            copies.retain(|copy| &*copy.server != id);
        }
        self.kept.fresh.retain(|(_, server, _)| &**server != id);
    }

    /// Forgets reports that are too old.
    pub fn expire(&mut self, now_ms: u64) {
        self.peers
            .retain(|_, heard| now_ms < heard.at_ms + HEARD_MS);
    }

    fn all(&self, id: &str) -> impl Iterator<Item = &Busy> {
        let heard = self
            .peers
            .values()
            .filter_map(move |heard| heard.servers.get(id));
        self.servers.get(id).into_iter().chain(heard)
    }

    /// Requests under way, of all instances that reported.
    pub fn running(&self, id: &str) -> u32 {
        self.all(id).map(|busy| busy.running).sum()
    }

    /// Prompt tokens still to be read.
    pub fn unread(&self, id: &str) -> u64 {
        self.all(id).map(|busy| busy.unread).sum()
    }
}

/// What reading shared parts again costs against waiting for so many tokens, in percent: the price of the
/// second copy comes on top of its time.
const AGAIN_PERCENT: u64 = 400;
/// The same where no copy is known: instances that have not heard of each other then still agree.
const UNKNOWN_PERCENT: u64 = 50;
/// A running request slows the others down about as much as so many prompt tokens do.
const RUNNING_TOKENS: u64 = 300;
/// Shared tokens from which finding them again is worth more than an even load.
const LEAST_SHARED: u64 = 1_000;

/// Picks one of the candidates; `None` when there are none.
pub fn pick<'a>(
    candidates: &[&'a Arc<Entry>],
    query: &Query<'_>,
    load: &Load,
    health: &Health,
    now_ms: u64,
) -> Option<&'a Arc<Entry>> {
    let open: Vec<&Arc<Entry>> = candidates
        .iter()
        .copied()
        .filter(|entry| !health.is_out(&entry.id, now_ms))
        .collect();
    // With all of them left out, the judgement is more likely wrong than every server.
    let from = if open.is_empty() { candidates } else { &open };
    match query.affinity {
        Some(part) if query.shared_tokens >= LEAST_SHARED => by_cost(from, part, query, load),
        _ => by_load(&not_slow(from, health, now_ms), query, load, health),
    }
}

/// Picks the candidate with the fewest in-flight requests, or `None` without candidates.
pub fn quietest<'a>(
    candidates: &[&'a Arc<Entry>],
    load: &Load,
    health: &Health,
    now_ms: u64,
) -> Option<&'a Arc<Entry>> {
    let cost = |entry: &Arc<Entry>| {
        let is_out = health.is_out(&entry.id, now_ms);
        (is_out, load.running(&entry.id), entry.id.clone())
    };
    candidates.iter().copied().min_by_key(|entry| cost(entry))
}

/// Those that are not much slower than the others. Only where nothing is kept for the request: reading a
/// long prompt again costs more than a slow server does.
fn not_slow<'a>(from: &[&'a Arc<Entry>], health: &Health, now_ms: u64) -> Vec<&'a Arc<Entry>> {
    let ids = from.iter().map(|entry| &*entry.id);
    let limit = health.slow_from(ids, now_ms).unwrap_or(f64::INFINITY);
    let is_slow = |id: &str| health.measured(id, now_ms).is_some_and(|time| time > limit);
    let fast: Vec<&Arc<Entry>> = from
        .iter()
        .copied()
        .filter(|entry| !is_slow(&entry.id))
        .collect();
    if fast.is_empty() { from.to_vec() } else { fast }
}

/// The server at which the prompt is read first: what waits there, and what it has to read again.
fn by_cost<'a>(
    from: &[&'a Arc<Entry>],
    part: &str,
    query: &Query<'_>,
    load: &Load,
) -> Option<&'a Arc<Entry>> {
    let mut ranked: Vec<&Arc<Entry>> = from.to_vec();
    ranked.sort_by_key(|entry| std::cmp::Reverse(rank(part, &entry.id)));
    let number = part_number(part);
    let is_kept = ranked
        .iter()
        .any(|entry| load.kept.holds(number, &entry.id));
    let again = query.shared_tokens * AGAIN_PERCENT / 100;
    let cost = |place: usize, entry: &Arc<Entry>| {
        let again = match (is_kept, place) {
            (true, _) if load.kept.holds(number, &entry.id) => 0,
            (true, _) => again,
            // As far as is known the part has to be read wherever it goes.
            (false, 0) => 0,
            (false, _) => query.shared_tokens * UNKNOWN_PERCENT / 100,
        };
        let decoding = u64::from(load.running(&entry.id)) * RUNNING_TOKENS;
        load.unread(&entry.id) + again + decoding
    };
    let costs = ranked.iter().enumerate();
    let costs = costs.map(|(place, entry)| (cost(place, entry), place, *entry));
    costs
        .min_by_key(|(cost, place, _)| (*cost, *place))
        .map(|(_, _, entry)| entry)
}

fn by_load<'a>(
    from: &[&'a Arc<Entry>],
    query: &Query<'_>,
    load: &Load,
    health: &Health,
) -> Option<&'a Arc<Entry>> {
    let cost = |entry: &Arc<Entry>| {
        let running = f64::from(load.running(&entry.id));
        let busy = running / f64::from(entry.slots.max(1));
        busy + health.penalty(&entry.id)
    };
    let tie = |entry: &Arc<Entry>| rank(&query.draw.to_string(), &entry.id);
    from.iter().copied().min_by(|left, right| {
        let order = cost(left).total_cmp(&cost(right));
        order.then_with(|| tie(left).cmp(&tie(right)))
    })
}

/// A part's identity as a number; equal on all instances of one program version.
fn part_number(part: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    part.hash(&mut hasher);
    hasher.finish()
}

/// Rank of a server for a prompt part; equal on all instances of one program version.
fn rank(part: &str, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    part.hash(&mut hasher);
    id.hash(&mut hasher);
    hasher.finish()
}
