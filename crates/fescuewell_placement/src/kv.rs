//! Decision whether the cached prompts of a draining engine are moved or recomputed on another one.
//!
//! ```
//! use fescuewell_placement::kv::{Decision, Rates, decide};
//! let rates = Rates { transfer: 50_000, recompute: 8_000 };
//! assert_eq!(decide(20_000, rates), Decision::Move);
//! assert_eq!(decide(100, rates), Decision::Recompute);
//! ```

use std::time::Duration;

/// Fixed setup time of a transfer.
const TRANSFER_SETUP: Duration = Duration::from_millis(50);

fescuewell_core::message! {
    /// Treatment of cached tokens.
    #[derive(Copy, Eq)]
    pub enum Decision {
        /// Export them from one engine and import them into the other.
        Move,
        /// Let the next request recompute them.
        Recompute,
    }

    /// Rates in tokens per second; 0 means that it is not possible.
    #[derive(Copy, Eq)]
    pub struct Rates {
        /// Rate of moving cached tokens between two engines.
        pub transfer: u64,
        /// Rate of computing prompt tokens on an engine with the receiver's load.
        pub recompute: u64,
    }
}

/// Chooses the faster way to get `tokens` cached tokens onto another engine.
pub fn decide(tokens: u64, rates: Rates) -> Decision {
    if tokens == 0 || rates.transfer == 0 {
        return Decision::Recompute;
    }
    if rates.recompute == 0 {
        return Decision::Move;
    }
    let seconds = |rate: u64| tokens as f64 / rate as f64;
    let moving = TRANSFER_SETUP.as_secs_f64() + seconds(rates.transfer);
    if moving < seconds(rates.recompute) {
        Decision::Move
    } else {
        Decision::Recompute
    }
}
