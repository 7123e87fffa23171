//! Settings of a client.

use std::time::Duration;

/// Settings of a client.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of slots in the fleet.
    pub slots: u16,
    /// Time without a reply after which a claim or lookup is sent again. Doubles up to
    /// [`Settings::max_backoff`].
    pub reply_timeout: Duration,
    /// The same for bills, releases and assignments, which the holder collects before it commits
    /// them.
    pub bill_timeout: Duration,
    /// Maximum time between two sends of one message.
    pub max_backoff: Duration,
    /// Wait after the reply that the instance does not hold the slot, for example while it loads
    /// the log. Doubles up to [`Settings::max_redirect_backoff`].
    pub redirect_backoff: Duration,
    /// Maximum wait after that reply. A sweep lists streams later than this, so that the bill of a
    /// response arrives before the sweep bills the stream of another attempt.
    pub max_redirect_backoff: Duration,
    /// How long a claim or a lookup is retried.
    pub claim_timeout: Duration,
    /// The same for the claim of a non-repeatable call. Without a claim the call is refused, so
    /// waiting a little longer while a slot changes hands costs less than the refusal.
    pub non_repeatable_claim_timeout: Duration,
    /// Maximum number of times that an assignment is sent; it only helps duplicates to find the
    /// stream.
    pub assign_tries: u32,
    /// Maximum number of unfinished attempts.
    pub capacity: usize,
    /// Maximum number of messages returned by one call.
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
            max_redirect_backoff: Duration::from_secs(1),
            claim_timeout: Duration::from_millis(1_000),
            non_repeatable_claim_timeout: Duration::from_millis(2_500),
            assign_tries: 4,
            capacity: 20_000,
            max_batch: 256,
        }
    }
}
