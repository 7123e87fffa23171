//! The row `head`, which says which document is in force, and the transaction that changes it.
//!
//! Accepting a document is one transaction of the table: it compares the `head` row's revision and that of
//! every budget row whose prepaid total changes, and writes the new head, a `history` row and these
//! totals. Two operators can therefore never both be told that they were first, and no allowance is
//! drawn against a total that did not take effect. The objects have to be stored before.
//!
//! Every head carries a random `change` id. When the reply to the transaction is lost,
//! [`Acceptance::status`] tells from rows that are read back whether it took effect.

mod budget;

use std::collections::HashMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{MAX_ENTRIES, Row, Transaction};

pub use budget::{PREFIX as BUDGET_PREFIX, changed as changed_budgets, key as budget_key};

use crate::check;
use crate::chunk::{self, Bundle, FORMAT};
use crate::model::Document;

/// Key of the row that names the document in force.
pub const HEAD_KEY: &str = "head";
/// Start of the keys of all history rows.
pub const HISTORY_PREFIX: &str = "history/";
/// Longest author and change id, in bytes.
pub const MAX_LABEL_BYTES: usize = 128;

fescuewell_core::data! {
    /// Which document is in force, since when and by whom. Stored as JSON.
    pub struct Head {
        /// Rises by one with each accepted document.
        pub version: Version,
        /// Hash of the root object; 32 hexadecimal digits in JSON.
        #[serde(with = "digits")]
        pub root: Digest,
        /// Format of the objects.
        pub format: u32,
        /// Random id of the acceptance that wrote this head.
        pub change: Arc<str>,
        /// Who accepted it.
        pub author: Arc<str>,
        /// When, in seconds since the Unix epoch by the console's clock.
        pub accepted_at_unix: u64,
    }

    /// What became of an acceptance, as far as rows that were read back tell.
    #[derive(Copy)]
    pub enum Status {
        /// It took effect.
        Accepted,
        /// It has not taken effect; the same transaction may be sent again, since its compares still hold.
        Pending,
        /// Another document was accepted instead, and this one never will be.
        Raced,
    }
}

/// Hashes as text: JSON readers that use floating point cannot hold 128 bits.
mod digits {
    use std::sync::Arc;

    use fescuewell_core::id::Digest;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S>(digest: &Digest, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(digest)
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<Digest, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = Arc::<str>::deserialize(deserializer)?;
        let digits = u128::from_str_radix(&text, 16);
        digits.map(Digest).map_err(D::Error::custom)
    }
}

impl Head {
    /// Reads a stored head. Unknown fields are ignored: newer programs may add some.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] when the row holds no head.
    pub fn decode(row: &Row) -> Result<Self, Refusal> {
        serde_json::from_slice(&row.value).map_err(|error| {
            Refusal::new(Code::Internal)
                .with_detail(format!("The row `{}` holds no head: {error}.", row.key))
        })
    }

    /// The bytes to store.
    pub fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Key of the history row of a version.
pub fn history_key(version: Version) -> Arc<str> {
    format!("{HISTORY_PREFIX}{:012}", version.0).into()
}

/// A document that an operator wants accepted.
#[derive(Debug, Clone)]
pub struct Proposal<'a> {
    /// Version that the operator's edit started from; 0 for none.
    pub base_version: Version,
    /// The document of that version; empty for none.
    pub before: &'a Document,
    /// The new document.
    pub after: &'a Document,
    /// Who accepts it.
    pub author: Arc<str>,
    /// Random id, of this acceptance only.
    pub change: Arc<str>,
    /// The console's clock, in seconds since the Unix epoch.
    pub accepted_at_unix: u64,
}

/// An acceptance that is ready to be carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acceptance {
    /// The new head.
    pub head: Head,
    /// The new document's objects. Store those that are new before the transaction is sent: an instance may
    /// read the head as soon as it is there.
    pub bundle: Bundle,
    /// The transaction.
    pub transaction: Transaction,
}

/// Conditions and writes of an acceptance besides those on budgets.
const HEAD_ENTRIES: usize = 4;
/// Conditions and writes on one budget.
const ENTRIES_PER_BUDGET: usize = 2;

/// Builds the transaction that accepts a document.
///
/// `head` is the `head` row as it was just read and `budgets` are the rows of [`changed_budgets`].
/// A budget row that is not among them is taken to be absent; should it exist all the same, the
/// transaction's compare fails and nothing is written.
///
/// # Errors
///
/// [`Code::DocumentInvalid`], [`Code::DocumentRaced`] when `head` is not the proposal's base any more,
/// [`Code::PrepaidBelowDrawn`], or [`Code::Internal`] when a row cannot be read.
pub fn accept(
    head: Option<&Row>,
    proposal: &Proposal<'_>,
    budgets: &[Row],
) -> Result<Acceptance, Refusal> {
    refuse_faults(proposal.after)?;
    let (revision, version) = match head {
        Some(row) => (row.revision, Head::decode(row)?.version),
        None => (0, Version(0)),
    };
    if version != proposal.base_version {
        let detail = format!(
            "Your edit started from version {}; version {} is in force.",
            proposal.base_version.0, version.0
        );
        return Err(Refusal::new(Code::DocumentRaced).with_detail(detail));
    }
    let bundle = chunk::split(proposal.after);
    let head = Head {
        version: version.next(),
        root: bundle.root,
        format: FORMAT,
        change: cut(&proposal.change),
        author: cut(&proposal.author),
        accepted_at_unix: proposal.accepted_at_unix,
    };
    let history = history_key(head.version);
    let mut transaction = Transaction::default()
        .with_compare(HEAD_KEY, revision)
        // A history row of this version means that the head was lost or set back; versions never fall.
        .with_compare(history.clone(), 0)
        .with_put(HEAD_KEY, head.encode())
        .with_put(history, head.encode());
    let rows: HashMap<&str, &Row> = budgets.iter().map(|row| (&*row.key, row)).collect();
    for (key, prepaid) in changed_budgets(proposal.before, proposal.after) {
        let row = rows.get(&*key).copied();
        transaction = budget::write(transaction, key, prepaid, row)?;
    }
    refuse_large(&transaction)?;
    Ok(Acceptance {
        head,
        bundle,
        transaction,
    })
}

/// The head, the history and the budgets change together or not at all, and a transaction is bounded.
fn refuse_large(transaction: &Transaction) -> Result<(), Refusal> {
    if transaction.entries() <= MAX_ENTRIES {
        return Ok(());
    }
    let most = (MAX_ENTRIES - HEAD_ENTRIES) / ENTRIES_PER_BUDGET;
    let detail =
        format!("At most {most} prepaid totals can change at once; change the others next.");
    Err(Refusal::new(Code::DocumentInvalid).with_detail(detail))
}

fn refuse_faults(document: &Document) -> Result<(), Refusal> {
    let faults = check::check(document);
    let Some(first) = faults.first() else {
        return Ok(());
    };
    let detail = format!("{first} ({} faults in all).", faults.len());
    Err(Refusal::new(Code::DocumentInvalid).with_detail(detail))
}

fn cut(label: &Arc<str>) -> Arc<str> {
    let mut end = label.len().min(MAX_LABEL_BYTES);
    while !label.is_char_boundary(end) {
        end -= 1;
    }
    label[..end].into()
}

impl Acceptance {
    /// What became of this acceptance, from the `head` row and the `history` row of its version.
    ///
    /// A head of a later version says nothing by itself: this document may have been accepted and then
    /// followed by another one. Its history row tells.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] when a row cannot be read.
    pub fn status(&self, head: Option<&Row>, history: Option<&Row>) -> Result<Status, Refusal> {
        for row in [history, head].into_iter().flatten() {
            if Head::decode(row)?.change == self.head.change {
                return Ok(Status::Accepted);
            }
        }
        let current = match head {
            Some(row) => Head::decode(row)?.version,
            None => Version(0),
        };
        match current < self.head.version && history.is_none() {
            true => Ok(Status::Pending),
            false => Ok(Status::Raced),
        }
    }
}
