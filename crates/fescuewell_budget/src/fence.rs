//! The row `holder/{holder}`, which fences the writes of one holder.
//!
//! Every write of a holder compares the revision of this row. A reclaim closes the row before it
//! reads the budgets, so that a delayed write of the terminated holder cannot take effect after the
//! reclaim and leave a grant that nobody spends. A holder that shuts down normally deletes its row.
//! A closed row is kept, since it must outlast any delayed write.

use std::sync::Arc;

/// Key prefix of all fence rows.
pub const PREFIX: &str = "holder/";

fescuewell_core::data! {
    /// Content of one fence row.
    #[derive(Copy, Default)]
    pub struct Fence {
        /// Whether the holder was declared terminated.
        pub is_closed: bool,
    }
}

impl Fence {
    /// Parses a row's content. Content that cannot be parsed counts as closed, which is the safe
    /// default.
    pub fn parse(value: &[u8]) -> Self {
        serde_json::from_slice(value).unwrap_or(Self { is_closed: true })
    }

    /// Encodes the content of the row.
    pub fn encode(self) -> Arc<[u8]> {
        format!("{{\"is_closed\":{}}}", self.is_closed)
            .into_bytes()
            .into()
    }
}

/// Returns the row's key in the table.
pub fn key(holder: &str) -> Arc<str> {
    format!("{PREFIX}{holder}").into()
}
