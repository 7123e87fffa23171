//! Helpers for tests and the demo, which start instances that trust each other.

use crate::credentials::Authority;

/// Creates an authority with a new key.
///
/// # Panics
///
/// When the system's random number generator fails.
pub fn authority() -> Authority {
    Authority::new("fescuewell test authority").expect("key generation failed")
}
