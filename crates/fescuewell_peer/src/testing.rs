//! What tests and the demo need to start instances that trust each other.

use crate::credentials::Authority;

/// A fresh authority.
///
/// # Panics
///
/// When the machine's source of random numbers fails.
pub fn authority() -> Authority {
    Authority::new("fescuewell test authority").expect("keys can be generated")
}
