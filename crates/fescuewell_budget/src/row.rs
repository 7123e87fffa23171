//! The row `budget/{group}`: prepaid total, spending of closed holders, grants of live ones.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use serde_json::{Map, Value};
use snafu::Snafu;

/// What the keys of all budget rows start with.
pub const PREFIX: &str = "budget/";

fescuewell_core::data! {
    /// Content of one budget row.
    ///
    /// `spent + sum(granted) <= prepaid` is kept by compare-and-swap on the row.
    #[derive(Default)]
    pub struct Budget {
        /// Cumulative total that top-ups raise. A total rather than an increment, so that a top-up
        /// that is accepted twice does no harm.
        pub prepaid: Tokens,
        /// What holders spent that have removed their grants.
        #[serde(default)]
        pub spent: Tokens,
        /// Holder (`instance.incarnation`) to its grant.
        #[serde(default)]
        pub grants: BTreeMap<Arc<str>, Grant>,
        /// Fields that this program does not know and passes on as they are, since instances of a
        /// newer program may work on the same row.
        #[serde(flatten)]
        pub extra: Map<String, Value>,
    }

    /// What one holder may spend.
    #[derive(Default)]
    pub struct Grant {
        /// Cumulative since the holder started, with what it has spent.
        pub granted: Tokens,
        /// Hexadecimal id of the write that set `granted`; the holder reads back by it when the reply
        /// to that write was lost.
        #[serde(rename = "draw")]
        pub draw_id: Arc<str>,
        /// Expected use in tokens per second when the grant was last written. The holders size their
        /// allowances by their parts of the sum, so that scarce money lies where the callers are.
        #[serde(default)]
        pub rate: u64,
        /// Fields that this program does not know.
        #[serde(flatten)]
        pub extra: Map<String, Value>,
    }
}

/// Why a row could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("budget row cannot be read: {reason}"))]
pub struct Error {
    /// What the JSON reader said.
    pub reason: Arc<str>,
}

impl Budget {
    /// A budget from which nothing was drawn yet.
    pub fn new(prepaid: Tokens) -> Self {
        Self {
            prepaid,
            ..Self::default()
        }
    }

    /// Reads a row's content.
    ///
    /// # Errors
    ///
    /// When it is not JSON of this shape.
    pub fn parse(value: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(value).map_err(|error| Error {
            reason: error.to_string().into(),
        })
    }

    /// The row's content as it is stored.
    ///
    /// # Panics
    ///
    /// Never: all keys are text.
    pub fn encode(&self) -> Arc<[u8]> {
        let text = serde_json::to_vec(self).expect("a budget has text keys only");
        text.into()
    }

    /// What is granted to all holders together.
    pub fn granted(&self) -> Tokens {
        self.grants.values().map(|grant| grant.granted).sum()
    }

    /// What may still be granted.
    pub fn unallocated(&self) -> Tokens {
        self.prepaid.minus(self.spent + self.granted())
    }

    /// Expected use of all holders but this one, in tokens per second, as they last wrote it.
    pub fn rate_of_others(&self, holder: &str) -> u64 {
        let others = self.grants.iter().filter(|(name, _)| ***name != *holder);
        others.fold(0, |sum, (_, grant)| sum.saturating_add(grant.rate))
    }

    /// Whether `spent + sum(granted) <= prepaid` holds.
    pub fn is_sound(&self) -> bool {
        self.spent + self.granted() <= self.prepaid
    }
}

/// The row's key in the table.
pub fn key(group: &str) -> Arc<str> {
    format!("{PREFIX}{group}").into()
}

/// The group whose row has this key.
pub fn group(key: &str) -> Option<&str> {
    key.strip_prefix(PREFIX)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unknown_fields_survive() {
        let text =
            br#"{"prepaid":10,"grants":{"a.1":{"granted":4,"draw":"0f","since":7}},"note":"x"}"#;

        let budget = Budget::parse(text).unwrap();
        let again: Value = serde_json::from_slice(&budget.encode()).unwrap();

        assert_eq!(budget.unallocated(), Tokens(6));
        assert_eq!(again["note"], "x");
        assert_eq!(again["grants"]["a.1"]["since"], 7);
    }
}
