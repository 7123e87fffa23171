//! Counts of received digests of the server list, for log lines.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use fescuewell_forward::relay::{DIGEST_TIMEOUT_MS, Rejection};

/// Digests by what became of them; late ones were applied, too.
#[derive(Debug, Default)]
pub(super) struct Counts {
    applied: AtomicU64,
    gap: AtomicU64,
    late: AtomicU64,
    other: AtomicU64,
}

/// Values of [`Counts`] at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Taken {
    applied: u64,
    gap: u64,
    late: u64,
    other: u64,
}

impl Counts {
    /// Counts a digest of an age in milliseconds by its check.
    pub(super) fn add(&self, checked: Result<(), Rejection>, age_ms: u64) {
        let counter = match checked {
            Ok(()) if age_ms >= DIGEST_TIMEOUT_MS => &self.late,
            Ok(()) => &self.applied,
            Err(Rejection::Gap) => &self.gap,
            Err(Rejection::Outdated | Rejection::NothingKnown | Rejection::Ahead) => &self.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts and starts again at zero.
    pub(super) fn take(&self) -> Taken {
        let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
        Taken {
            applied: take(&self.applied),
            gap: take(&self.gap),
            late: take(&self.late),
            other: take(&self.other),
        }
    }
}

impl fmt::Display for Taken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            applied,
            gap,
            late,
            other,
        } = self;
        write!(
            formatter,
            "applied={applied} gap={gap} late={late} other={other}"
        )
    }
}
