//! Who is signed in, and how often signing in may fail.
//!
//! Pure: the time and the random tokens come in as arguments.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_document::key::hash_key;

/// A session that is not used for this long ends.
pub const IDLE_LIMIT: Duration = Duration::from_secs(30 * 60);
/// A session ends after this long in any case.
pub const AGE_LIMIT: Duration = Duration::from_secs(12 * 60 * 60);
/// Most sessions at once; the one that was unused longest makes room.
const MOST_SESSIONS: usize = 256;
/// Failed sign-ins from one address within [`FAILURE_WINDOW`] before further ones are turned away.
pub const MOST_FAILURES: u32 = 10;
/// Time after which failed sign-ins are forgotten.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(5 * 60);
/// Most addresses whose failures are counted.
const MOST_ADDRESSES: usize = 1_024;

/// One signed-in operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    /// Name of the operator.
    pub operator: Arc<str>,
    /// Token that every form carries, so that another site cannot send forms in the operator's name.
    pub csrf: Arc<str>,
    opened: Instant,
    used: Instant,
}

/// All sessions, by the hash of their cookie: who reads this memory still cannot sign in with it.
#[derive(Debug, Default)]
pub struct Sessions {
    open: HashMap<Arc<str>, Session>,
}

impl Sessions {
    /// Opens a session under a random cookie.
    pub fn open(&mut self, now: Instant, cookie: &str, csrf: &str, operator: &str) {
        self.open.retain(|_, session| session.is_live(now));
        if self.open.len() >= MOST_SESSIONS {
            let oldest = self.open.iter().min_by_key(|(_, session)| session.used);
            if let Some(hash) = oldest.map(|(hash, _)| hash.clone()) {
                self.open.remove(&hash);
            }
        }
        let session = Session {
            operator: operator.into(),
            csrf: csrf.into(),
            opened: now,
            used: now,
        };
        self.open.insert(hash_key(cookie), session);
    }

    /// The live session of a cookie, which is thereby used.
    pub fn get(&mut self, now: Instant, cookie: &str) -> Option<Session> {
        let session = self.open.get_mut(&hash_key(cookie))?;
        if !session.is_live(now) {
            return None;
        }
        session.used = now;
        Some(session.clone())
    }

    /// Ends a session.
    pub fn close(&mut self, cookie: &str) {
        self.open.remove(&hash_key(cookie));
    }
}

impl Session {
    fn is_live(&self, now: Instant) -> bool {
        now.since(self.used) < IDLE_LIMIT && now.since(self.opened) < AGE_LIMIT
    }
}

/// Counts failed sign-ins for each address, so that a password cannot be guessed at full speed.
///
/// The count is kept by address: one for all would let any stranger lock every operator out.
#[derive(Debug, Default)]
pub struct Throttle {
    failures: HashMap<IpAddr, (u32, Instant)>,
}

impl Throttle {
    /// Whether a sign-in from `address` may be tried now.
    pub fn allows(&self, now: Instant, address: IpAddr) -> bool {
        match self.failures.get(&address) {
            Some((count, last)) => *count < MOST_FAILURES || now.since(*last) >= FAILURE_WINDOW,
            None => true,
        }
    }

    /// Counts a failure.
    pub fn failed(&mut self, now: Instant, address: IpAddr) {
        self.failures
            .retain(|_, (_, last)| now.since(*last) < FAILURE_WINDOW);
        if self.failures.len() >= MOST_ADDRESSES && !self.failures.contains_key(&address) {
            return;
        }
        let (count, last) = self.failures.entry(address).or_insert((0, now));
        *count += 1;
        *last = now;
    }

    /// Forgets the failures of an address that signed in.
    pub fn succeeded(&mut self, address: IpAddr) {
        self.failures.remove(&address);
    }
}
