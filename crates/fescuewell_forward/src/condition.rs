//! Conditions that backend servers declare about themselves in the headers of their responses.
//!
//! A condition belongs to one incarnation of a server: a restart ends it.

pub mod limit;

use std::time::Duration;

pub use limit::Rate;

/// Value of a response header.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Declared<Value> {
    /// The header is missing.
    #[default]
    Absent,
    /// The header has no valid value.
    Malformed,
    /// The header's value.
    Value(Value),
}

/// What a response declares about its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Request rate that the server accepts from all instances together.
    pub limit: Declared<Rate>,
    /// Whether the server is leaving.
    pub is_leaving: Declared<bool>,
    /// Time for which the server wants no requests from this instance.
    pub rest: Declared<Duration>,
}
