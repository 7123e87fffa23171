//! What a kill of this process would cost.

/// Tokens of all accounts together, as they stand beside the journal that a next process would find.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Exposure {
    /// Age of the last journal that was written, in milliseconds.
    pub age_ms: u64,
    /// Consumed or held back as of that journal.
    pub recorded: u64,
    /// Consumed or held back now.
    pub consumed: u64,
    /// Most that a restart would be charged now.
    pub promised: u64,
}
