//! Token charge that a kill of this process would cause.

/// Token totals over all accounts, compared to the journal that the next process would read.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Exposure {
    /// Age of the last written journal, in milliseconds.
    pub age_ms: u64,
    /// Tokens consumed or held according to that journal.
    pub recorded: u64,
    /// Tokens consumed or held now.
    pub consumed: u64,
    /// Maximum that a restart would be charged now.
    pub promised: u64,
}
