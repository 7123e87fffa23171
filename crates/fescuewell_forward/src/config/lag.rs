//! How far the configuration in force is behind those that other instances report.

/// Newest configuration version that other instances reported, compared to the one in force.
#[derive(Debug, Default)]
pub struct Lag {
    reported: u64,
    in_force: u64,
    /// Since when a newer version than the one in force is known, in milliseconds of the local clock.
    since_ms: Option<u64>,
}

impl Lag {
    /// Records a version that another instance reported at `now_ms` of the local clock. Versions only
    /// increase, so that a late report is as good as a timely one.
    pub fn report(&mut self, version: u64, now_ms: u64) {
        self.reported = self.reported.max(version);
        if self.is_behind() {
            self.since_ms.get_or_insert(now_ms);
        }
    }

    /// Records that a version is in force here.
    pub fn apply(&mut self, version: u64) {
        self.in_force = self.in_force.max(version);
        if !self.is_behind() {
            self.since_ms = None;
        }
    }

    /// Returns the newest version that another instance reported.
    pub fn reported(&self) -> u64 {
        self.reported
    }

    /// Returns `true` if another instance reported a newer version than the one in force.
    pub fn is_behind(&self) -> bool {
        self.reported > self.in_force
    }

    /// Returns since when this instance is behind, in milliseconds; 0 if it is not.
    pub fn behind_ms(&self, now_ms: u64) -> u64 {
        self.since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }
}
