//! Gaps between the events of one stream.

/// Number of gaps that are summarized together.
const GROUP: usize = 8;

/// Gaps between the events of one stream, summarized in groups: their median tells the speed of the
/// server, even if a prompt paused the stream once, and the longest tells of such a pause.
#[derive(Debug, Default)]
pub struct Gaps {
    gaps_ms: Vec<f64>,
    pending_tokens: u64,
}

/// Summary of a group of gaps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Summary {
    /// Median gap in milliseconds.
    pub median_ms: f64,
    /// Longest gap in milliseconds.
    pub longest_ms: f64,
    /// Prompt tokens pending prefill at the server at the end of the longest gap.
    pub pending_tokens: u64,
}

impl Gaps {
    /// Adds a gap. Returns a summary when the group is complete. `pending_tokens` tells how many
    /// prompt tokens are pending prefill at the server; it is called only for a gap that is the
    /// longest one of its group, since this takes a lock in the gateway.
    pub fn push<Pending>(&mut self, gap_ms: f64, pending_tokens: Pending) -> Option<Summary>
    where
        Pending: FnOnce() -> u64,
    {
        if self.gaps_ms.iter().all(|other| *other < gap_ms) {
            self.pending_tokens = pending_tokens();
        }
        self.gaps_ms.push(gap_ms);
        if self.gaps_ms.len() < GROUP {
            return None;
        }
        self.gaps_ms.sort_by(f64::total_cmp);
        let summary = Summary {
            median_ms: self.gaps_ms[GROUP / 2],
            longest_ms: self.gaps_ms[GROUP - 1],
            pending_tokens: self.pending_tokens,
        };
        self.gaps_ms.clear();
        self.pending_tokens = 0;
        Some(summary)
    }
}
