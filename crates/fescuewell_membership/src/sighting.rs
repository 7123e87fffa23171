//! The observations of one other member by this instance.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;

use crate::row::{self, Row};

fescuewell_core::key! {
    /// One heartbeat of an instance; later ones compare greater.
    pub struct Beat {
        /// Incarnation that wrote it.
        pub incarnation: Incarnation,
        /// The heartbeat's number within the incarnation.
        pub number: u64,
    }
}

impl Beat {
    /// The heartbeat that wrote the row.
    pub fn of(row: &Row) -> Self {
        Self {
            incarnation: row.incarnation,
            number: row.beat,
        }
    }
}

/// The newest known row of a member and the time for which its heartbeat has not changed.
#[derive(Debug, Clone)]
pub struct Sighting {
    holder: Arc<str>,
    row: Row,
    revision: u64,
    first_seen: Instant,
    changed_at: Instant,
    last_fresh_read: Option<Instant>,
    unchanged: Duration,
    suspected: Option<Beat>,
    reported: Option<Beat>,
    lapsed: bool,
}

impl Sighting {
    /// Creates the sighting of a new member. `revision` is 0 when the row came from a peer.
    pub fn new(now: Instant, instance: &str, row: Row, revision: u64) -> Self {
        Self {
            holder: row::holder(instance, row.incarnation),
            row,
            revision,
            first_seen: now,
            changed_at: now,
            last_fresh_read: None,
            unchanged: Duration::ZERO,
            suspected: None,
            reported: None,
            lapsed: false,
        }
    }

    /// Applies a row from any source; a row older than the known one changes nothing. Returns
    /// whether it was newer.
    pub fn apply_row(&mut self, now: Instant, instance: &str, row: Row, revision: u64) -> bool {
        if !row.is_newer(&self.row) {
            // A row first received from a peer has no revision until it is read from the table.
            // Besides, other instances remove settled incarnations from a row without changing its
            // heartbeat.
            let is_same_beat = !self.row.is_newer(&row);
            if is_same_beat && revision > self.revision {
                self.row = row;
                self.revision = revision;
            }
            return false;
        }
        if row.incarnation != self.row.incarnation {
            self.first_seen = now;
            self.holder = row::holder(instance, row.incarnation);
        }
        self.row = row;
        self.revision = revision;
        self.changed_at = now;
        self.last_fresh_read = None;
        self.unchanged = Duration::ZERO;
        // Only a heartbeat later than the suspicion refutes it. If this instance had known a much
        // older one, it would otherwise take the last heartbeat before a crash for a sign of life.
        let beat = Beat::of(&self.row);
        self.suspected = self.suspected.filter(|suspected| *suspected >= beat);
        self.lapsed = false;
        true
    }

    /// Counts a read that was requested at `requested_at` and proved to be fresh. Its row has
    /// already been applied.
    ///
    /// Only the time between two such reads counts. `max_gap` bounds what one step adds: an
    /// observer that was itself paused (SIGSTOP, a long stop of its machine) would otherwise count
    /// its own absence, during which the table may have been down, as the member's silence. Live
    /// members would then lapse at the moment the observer resumes.
    pub fn observe(&mut self, requested_at: Instant, max_gap: Duration, lease: Duration) {
        let gap = self.last_fresh_read.map(|last| requested_at.since(last));
        match gap {
            Some(gap) if gap <= max_gap => self.unchanged += gap,
            Some(_) => self.unchanged = Duration::ZERO,
            None => {}
        }
        self.last_fresh_read = Some(requested_at);
        // A watcher saw no new heartbeat for a lease, and this read confirms it. If every instance
        // waited for a lease of its own, slots would take twice as long to change hands.
        let confirmed = self.reported >= Some(Beat::of(&self.row));
        if confirmed || self.unchanged >= lease {
            self.lapsed = true;
        }
    }

    /// Restarts the count because the table failed: the member could not write either.
    ///
    /// Otherwise the first read after an outage longer than the lease would lapse every member at
    /// once, and all slots would change hands.
    pub fn restart_count(&mut self) {
        self.unchanged = Duration::ZERO;
        self.last_fresh_read = None;
    }

    /// Suspects the member until a heartbeat later than the last known one is seen. Returns whether
    /// it was not suspected before.
    pub fn suspect(&mut self) -> bool {
        self.suspect_after(Beat::of(&self.row))
    }

    /// Suspects the member until a heartbeat later than `beat` is seen. Returns whether it was not
    /// suspected before.
    pub fn suspect_after(&mut self, beat: Beat) -> bool {
        if Beat::of(&self.row) > beat {
            return false;
        }
        let before = self.suspected;
        self.suspected = before.max(Some(beat));
        before.is_none()
    }

    /// Name of the member's incarnation as a holder: `instance.incarnation`.
    pub fn holder(&self) -> &Arc<str> {
        &self.holder
    }

    /// Applies a watcher's report that it saw no heartbeat after `beat` for a lease. Returns
    /// whether the member was not suspected before.
    pub fn apply_report(&mut self, beat: Beat) -> bool {
        self.reported = self.reported.max(Some(beat));
        self.suspect_after(beat)
    }

    /// The newest known row.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Revision of the newest known row; 0 while it has been received only from a peer.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// When the current incarnation was first seen.
    pub fn first_seen(&self) -> Instant {
        self.first_seen
    }

    /// When a newer heartbeat was last seen.
    pub fn changed_at(&self) -> Instant {
        self.changed_at
    }

    /// Whether its heartbeat did not change for a whole lease while the table worked.
    pub fn is_lapsed(&self) -> bool {
        self.lapsed
    }

    /// Whether this or another instance has reason to believe it dead.
    pub fn is_suspected(&self) -> bool {
        self.suspected.is_some() || self.lapsed
    }
}
