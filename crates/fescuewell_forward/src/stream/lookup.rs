//! A look-up of the software version that began a stream.

use std::net::SocketAddr;

use crate::server::Build;

/// Number of rounds in which instances are asked that have not answered.
const MAX_ROUNDS: u32 = 5;
/// Number of rounds after which a look-up ends if all instances have answered that they have no record. A
/// record may still be on its way at the first one.
const MAX_DENIED_ROUNDS: u32 = 2;

/// Round from which some of the instances that have no record ask others, because some have not answered.
const RESOLVE_ROUND: u32 = 3;
/// Number of these instances.
const MAX_RESOLVERS: usize = 2;

/// An instance to ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Address of the instance.
    pub peer: SocketAddr,
    /// Whether it has to ask others.
    pub resolve: bool,
}

/// State of a look-up after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The version is known.
    Found(Build),
    /// Instances have not answered yet.
    Open,
    /// All instances have answered in this round, and none has a record.
    Denied,
}

/// A look-up in progress: rounds of queries to the instances that may hold the record.
#[derive(Debug)]
pub struct Lookup {
    asked: Vec<SocketAddr>,
    /// Instances that have answered in this round.
    denied: Vec<SocketAddr>,
    /// Number of instances that answered in any round.
    answered: usize,
    round: u32,
    /// Whether all instances have to ask others, because this one does not know the members of the fleet.
    is_remote: bool,
}

impl Lookup {
    /// Creates a look-up at these instances.
    pub fn new(asked: Vec<SocketAddr>) -> Self {
        Self {
            asked,
            denied: Vec::new(),
            answered: 0,
            round: 0,
            is_remote: false,
        }
    }

    /// Creates a look-up at instances that know the members of the fleet, by one that does not.
    pub fn remote(asked: Vec<SocketAddr>) -> Self {
        Self {
            is_remote: true,
            ..Self::new(asked)
        }
    }

    /// Begins the next round and returns the instances to ask, or `None` if the look-up has ended.
    pub fn next_round(&mut self) -> Option<Vec<Target>> {
        let is_denied = self.denied.len() >= self.asked.len();
        let last = match is_denied {
            true => MAX_DENIED_ROUNDS,
            false => MAX_ROUNDS,
        };
        if self.asked.is_empty() || self.round >= last {
            return None;
        }
        self.round += 1;
        if is_denied {
            self.denied.clear();
        }
        let open = self.asked.iter().copied();
        let open = open.filter(|peer| !self.denied.contains(peer));
        let mut targets: Vec<Target> = open.map(|peer| self.target(peer, false)).collect();
        if self.round == RESOLVE_ROUND {
            // They may reach instances that do not answer here.
            let denied = self.denied.iter().take(MAX_RESOLVERS);
            targets.extend(denied.map(|peer| self.target(*peer, true)));
        }
        Some(targets)
    }

    fn target(&self, peer: SocketAddr, resolve: bool) -> Target {
        Target {
            peer,
            resolve: resolve || self.is_remote,
        }
    }

    /// Records an answer.
    pub fn record(&mut self, from: SocketAddr, build: Option<Build>) -> Progress {
        if let Some(build) = build {
            return Progress::Found(build);
        }
        if self.asked.contains(&from) && !self.denied.contains(&from) {
            self.denied.push(from);
            self.answered = self.answered.max(self.denied.len());
        }
        match self.denied.len() < self.asked.len() {
            true => Progress::Open,
            false => Progress::Denied,
        }
    }

    /// Number of instances that are asked.
    pub fn asked(&self) -> usize {
        self.asked.len()
    }

    /// Number of instances that have answered.
    pub fn answered(&self) -> usize {
        self.answered
    }
}
