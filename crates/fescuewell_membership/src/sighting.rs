//! What this instance itself has observed of one other member.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;

use crate::row::{self, Row};

fescuewell_core::key! {
    /// One heartbeat of an instance; later ones are greater.
    pub struct Beat {
        /// Its incarnation.
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

/// The newest known row of a member and how long its heartbeat has stood still.
#[derive(Debug, Clone)]
pub struct Sighting {
    holder: Arc<str>,
    row: Row,
    revision: u64,
    first_seen: Instant,
    changed_at: Instant,
    last_fresh: Option<Instant>,
    unchanged: Duration,
    suspected: Option<Beat>,
    reported: Option<Beat>,
    lapsed: bool,
}

impl Sighting {
    /// A member seen for the first time. `revision` is 0 when the news came from a peer.
    pub fn new(now: Instant, instance: &str, row: Row, revision: u64) -> Self {
        Self {
            holder: row::holder(instance, row.incarnation),
            row,
            revision,
            first_seen: now,
            changed_at: now,
            last_fresh: None,
            unchanged: Duration::ZERO,
            suspected: None,
            reported: None,
            lapsed: false,
        }
    }

    /// Takes a row from wherever it comes; an older one than the known changes nothing.
    /// Returns whether it was newer.
    pub fn learn(&mut self, now: Instant, instance: &str, row: Row, revision: u64) -> bool {
        if !row.is_newer(&self.row) {
            // A row that a peer told first has no revision until the table shows it; and others strike
            // settled incarnations from a row without touching its heartbeat.
            let same = !self.row.is_newer(&row);
            if same && revision > self.revision {
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
        self.last_fresh = None;
        self.unchanged = Duration::ZERO;
        // Only a heartbeat later than the suspicion refutes it. This instance may have known a much older
        // one, and would take the last before a crash for a sign of life.
        let beat = Beat::of(&self.row);
        self.suspected = self.suspected.filter(|suspected| *suspected >= beat);
        self.lapsed = false;
        true
    }

    /// Counts a reading, asked for at `asked` and proved to be fresh, after its row was learned.
    ///
    /// Only the time between two such readings counts. `most_gap` bounds what one step adds: an
    /// observer that was itself paused (SIGSTOP, a long stop of its machine) would otherwise take its
    /// own absence, during which the table may have been down, for the other's silence. One would
    /// notice by live members that lapse at the moment at which the observer wakes.
    pub fn observe(&mut self, asked: Instant, most_gap: Duration, lease: Duration) {
        let gap = self.last_fresh.map(|last| asked.since(last));
        match gap {
            Some(gap) if gap <= most_gap => self.unchanged += gap,
            Some(_) => self.unchanged = Duration::ZERO,
            None => {}
        }
        self.last_fresh = Some(asked);
        // A watcher saw the heartbeat stand still for a lease; this reading confirms that it still does.
        // Everybody waiting for a lease of its own would double the time until slots change hands.
        let confirmed = self.reported >= Some(Beat::of(&self.row));
        if confirmed || self.unchanged >= lease {
            self.lapsed = true;
        }
    }

    /// Starts the count anew because the table failed: the member could not write either.
    ///
    /// Without this, the first reading after an outage longer than the lease would lapse everybody at
    /// once and all slots would change hands.
    pub fn interrupt(&mut self) {
        self.unchanged = Duration::ZERO;
        self.last_fresh = None;
    }

    /// Marks the member as probably dead until a heartbeat later than the last known is seen. Returns
    /// whether it was not marked before.
    pub fn suspect(&mut self) -> bool {
        self.suspect_after(Beat::of(&self.row))
    }

    /// Marks the member as probably dead until a heartbeat later than `beat` is seen. Returns whether
    /// it was not marked before.
    pub fn suspect_after(&mut self, beat: Beat) -> bool {
        if Beat::of(&self.row) > beat {
            return false;
        }
        let before = self.suspected;
        self.suspected = before.max(Some(beat));
        before.is_none()
    }

    /// `instance.incarnation`.
    pub fn holder(&self) -> &Arc<str> {
        &self.holder
    }

    /// Takes a watcher's report that it saw the heartbeat stand still at `beat` for a lease. Returns
    /// whether the member was not suspected before.
    pub fn report(&mut self, beat: Beat) -> bool {
        self.reported = self.reported.max(Some(beat));
        self.suspect_after(beat)
    }

    /// The newest known row.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Revision of the newest known row; 0 when only a peer has told it so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// When the present incarnation was first seen.
    pub fn first_seen(&self) -> Instant {
        self.first_seen
    }

    /// When a newer heartbeat was last seen.
    pub fn changed_at(&self) -> Instant {
        self.changed_at
    }

    /// Whether its heartbeat stood still for a whole lease while the table worked.
    pub fn is_lapsed(&self) -> bool {
        self.lapsed
    }

    /// Whether somebody, perhaps this instance, has reason to think it dead.
    pub fn is_suspected(&self) -> bool {
        self.suspected.is_some() || self.lapsed
    }
}
