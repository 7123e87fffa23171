//! The row `holder/{holder}`, which fences the writes of one holder.
//!
//! Every write of a holder compares this row's revision. A reclaim sets the row to closed before it looks at
//! the budgets, so that a write of the dead holder that is still on its way cannot take effect
//! behind the reclaim's back and leave an allowance in a row with nobody to spend it. A holder that
//! closes by itself removes the row; a closed one stays, as it must outlast any such write.

use std::sync::Arc;

/// What the keys of all fence rows start with.
pub const PREFIX: &str = "holder/";

fescuewell_core::data! {
    /// Content of one fence row.
    #[derive(Copy, Default)]
    pub struct Fence {
        /// Whether the holder was declared ended.
        pub is_closed: bool,
    }
}

impl Fence {
    /// Reads a row's content. What cannot be read counts as closed, the safe side.
    pub fn parse(value: &[u8]) -> Self {
        serde_json::from_slice(value).unwrap_or(Self { is_closed: true })
    }

    /// The row's content as it is stored.
    pub fn encode(self) -> Arc<[u8]> {
        format!("{{\"is_closed\":{}}}", self.is_closed)
            .into_bytes()
            .into()
    }
}

/// The row's key in the table.
pub fn key(holder: &str) -> Arc<str> {
    format!("{PREFIX}{holder}").into()
}
