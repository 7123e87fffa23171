//! Whether the cached prompts of a leaving engine are moved or computed again elsewhere.
//!
//! ```
//! use fescuewell_placement::kv::{Decision, Rates, decide};
//! let rates = Rates { transfer: 50_000, recompute: 8_000 };
//! assert_eq!(decide(20_000, rates), Decision::Move);
//! assert_eq!(decide(100, rates), Decision::Recompute);
//! ```

use std::time::Duration;

/// What setting up a transfer costs, whatever its size.
const SETUP: Duration = Duration::from_millis(50);

fescuewell_core::message! {
    /// What to do with cached tokens.
    #[derive(Copy, Eq)]
    pub enum Decision {
        /// Export them here and import them there.
        Move,
        /// Let the next request compute them again.
        Recompute,
    }

    /// Rates, both in tokens per second; 0 means impossible.
    #[derive(Copy, Eq)]
    pub struct Rates {
        /// Of moving cached tokens between two engines.
        pub transfer: u64,
        /// Of computing prompt tokens on an engine as busy as the receiver.
        pub recompute: u64,
    }
}

/// Chooses the cheaper way to have `tokens` cached tokens on another engine.
pub fn decide(tokens: u64, rates: Rates) -> Decision {
    if tokens == 0 || rates.transfer == 0 {
        return Decision::Recompute;
    }
    if rates.recompute == 0 {
        return Decision::Move;
    }
    let seconds = |rate: u64| tokens as f64 / rate as f64;
    let moving = SETUP.as_secs_f64() + seconds(rates.transfer);
    if moving < seconds(rates.recompute) {
        Decision::Move
    } else {
        Decision::Recompute
    }
}
