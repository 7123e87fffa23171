//! A registered server and what is known of it besides its entry.

use std::sync::Arc;

use super::entry::is_restart;
use super::{Entry, State};
use crate::version;

/// A registered server.
#[derive(Debug, Clone)]
pub(super) struct Registration {
    pub(super) entry: Arc<Entry>,
    /// Version of the entry's last write.
    pub(super) version: u64,
    /// The server reported in a response that it is draining, before the list did.
    pub(super) is_marked_draining: bool,
    /// The server declared in a response that it is leaving.
    pub(super) is_leaving: bool,
    /// When the registration expires because the row is missing, in milliseconds of the local
    /// clock.
    pub(super) expires_at_ms: Option<u64>,
    /// Until when the server may be cold, in milliseconds of the local clock. An upper bound, since
    /// the entry is seconds old when it is read.
    pub(super) cold_until_ms: u64,
    /// When the server last responded like one that is not leaving, in milliseconds of the local
    /// clock.
    pub(super) confirmed_ms: Option<u64>,
}

impl Registration {
    /// Returns `true` if the same incarnation was draining in a former era of the store, which the
    /// backup may lack. A draining server does not become ready again.
    pub(super) fn was_draining_before_restore(&self, entry: &Entry, version: u64) -> bool {
        let is_former = version::era(self.version) < version::era(version);
        is_former && self.entry.state == State::Draining && !is_restart(&self.entry, entry)
    }

    pub(super) fn is_available(&self, now_ms: u64) -> bool {
        let is_expired = self.expires_at_ms.is_some_and(|at| at <= now_ms);
        self.entry.state == State::Ready && !self.is_leaving && !is_expired
    }

    /// Returns the last entry, with the state that the server declared last.
    pub(super) fn last_entry(&self) -> Arc<Entry> {
        if !self.is_leaving {
            return self.entry.clone();
        }
        let mut entry = Entry::clone(&self.entry);
        entry.state = State::Draining;
        Arc::new(entry)
    }
}
