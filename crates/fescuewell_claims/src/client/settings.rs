//! How a courier behaves.

use std::time::Duration;

/// How a courier behaves.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of slots of the whole fleet.
    pub slots: u16,
    /// Wait for an answer to a claim or a look-up before it is sent again; doubles up to [`Settings::max_backoff`].
    pub reply_timeout: Duration,
    /// The same for bills, releases and assignments, which the holder of the slot collects for a while.
    pub bill_timeout: Duration,
    /// Longest wait between two sends of one message.
    pub max_backoff: Duration,
    /// Wait after an answer that the instance does not hold the slot, for instance while it reads the log.
    pub redirect_backoff: Duration,
    /// How long a claim or a look-up is tried.
    pub claim_timeout: Duration,
    /// The same for a call that may not be repeated: without a claim it is refused, so that waiting a little
    /// longer while a slot changes hands costs less than the refusal.
    pub non_repeatable_claim_timeout: Duration,
    /// How often an assignment is sent; it only helps duplicates to find the stream.
    pub assign_tries: u32,
    /// Most attempts that are not yet settled with their slot.
    pub capacity: usize,
    /// Most messages given out at once.
    pub max_batch: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 64,
            reply_timeout: Duration::from_millis(250),
            bill_timeout: Duration::from_millis(1_500),
            max_backoff: Duration::from_secs(10),
            redirect_backoff: Duration::from_millis(30),
            claim_timeout: Duration::from_millis(1_000),
            non_repeatable_claim_timeout: Duration::from_millis(2_500),
            assign_tries: 4,
            capacity: 20_000,
            max_batch: 256,
        }
    }
}
