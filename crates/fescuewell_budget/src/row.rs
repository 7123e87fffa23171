//! The row `budget/{group}`: prepaid total, spending of closed holders, grants of live holders.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use serde_json::{Map, Value};
use snafu::Snafu;

/// Key prefix of all budget rows.
pub const PREFIX: &str = "budget/";

fescuewell_core::data! {
    /// Content of one budget row.
    ///
    /// Compare-and-swap on the row maintains `spent + sum(granted) <= prepaid`.
    #[derive(Default)]
    pub struct Budget {
        /// Cumulative total, raised by top-ups. It is a total and not an increment, so that a
        /// top-up applied twice has no further effect.
        pub prepaid: Tokens,
        /// Tokens spent by holders that have removed their grants.
        #[serde(default)]
        pub spent: Tokens,
        /// Grants by holder (`instance.incarnation`).
        #[serde(default)]
        pub grants: BTreeMap<Arc<str>, Grant>,
        /// Unknown fields, kept as they are, since instances of a newer version may use the same
        /// row.
        #[serde(flatten)]
        pub extra: Map<String, Value>,
    }

    /// Tokens that one holder may spend.
    #[derive(Default)]
    pub struct Grant {
        /// Cumulative total since the holder started, including the tokens that it has spent.
        pub granted: Tokens,
        /// Hexadecimal id of the write that set `granted`. If the reply to that write is lost, the
        /// holder recognizes it by this id.
        #[serde(rename = "draw")]
        pub draw_id: Arc<str>,
        /// Expected use in tokens per second when the grant was last written. Holders size their
        /// allowances by their part of the sum, so that scarce tokens are held where the callers
        /// are.
        #[serde(default)]
        pub rate: u64,
        /// Unknown fields, kept as they are.
        #[serde(flatten)]
        pub extra: Map<String, Value>,
    }
}

/// Error returned if a row cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("invalid budget row: {reason}"))]
pub struct Error {
    /// Message of the JSON parser.
    pub reason: Arc<str>,
}

impl Budget {
    /// Creates a budget without grants.
    pub fn new(prepaid: Tokens) -> Self {
        Self {
            prepaid,
            ..Self::default()
        }
    }

    /// Parses the content of a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the content is not JSON of this shape.
    pub fn parse(value: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(value).map_err(|error| Error {
            reason: error.to_string().into(),
        })
    }

    /// Encodes the content of the row.
    ///
    /// # Panics
    ///
    /// Never: all keys are strings.
    pub fn encode(&self) -> Arc<[u8]> {
        let text = serde_json::to_vec(self).expect("a budget has string keys only");
        text.into()
    }

    /// Sum of the grants of all holders.
    pub fn granted(&self) -> Tokens {
        self.grants.values().map(|grant| grant.granted).sum()
    }

    /// Tokens that may still be granted.
    pub fn unallocated(&self) -> Tokens {
        self.prepaid.saturating_sub(self.spent + self.granted())
    }

    /// Expected use of all other holders, in tokens per second, according to their last writes.
    pub fn rate_of_others(&self, holder: &str) -> u64 {
        let others = self.grants.iter().filter(|(name, _)| ***name != *holder);
        others.fold(0, |sum, (_, grant)| sum.saturating_add(grant.rate))
    }

    /// Whether `spent + sum(granted) <= prepaid` holds.
    pub fn is_sound(&self) -> bool {
        self.spent + self.granted() <= self.prepaid
    }
}

/// Returns the row's key in the table.
pub fn key(group: &str) -> Arc<str> {
    format!("{PREFIX}{group}").into()
}

/// Returns the group to which a row's key belongs.
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
