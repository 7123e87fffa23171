//! The `head` row, which identifies the active document, and the transaction that changes it.
//!
//! Accepting a document is a single table transaction. It compares the revisions of the `head` row and of
//! every budget row whose prepaid total changes, and writes the new head, a `history` row and the new totals.
//! Of two concurrent acceptances, only one succeeds, and no allowance is drawn from a total that didn't take
//! effect. The objects must be stored before the transaction is sent.
//!
//! Every head has a random `change` id. If the reply to the transaction is lost, [`Acceptance::status`]
//! determines whether it took effect from the rows read back.

mod budget;

use std::collections::HashMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{MAX_ENTRIES, Row, Transaction};

pub use budget::{PREFIX as BUDGET_PREFIX, changed as changed_budgets, key as budget_key};

use crate::check;
use crate::chunk::{self, Bundle, FORMAT};
use crate::model::Document;

/// Key of the row that identifies the active document.
pub const HEAD_KEY: &str = "head";
/// Key prefix of the history rows.
pub const HISTORY_PREFIX: &str = "history/";
/// Maximum length of the author and the change id, in bytes.
pub const MAX_LABEL_BYTES: usize = 128;

fescuewell_core::data! {
    /// The active document, who accepted it and when. Stored as JSON.
    pub struct Head {
        /// Increases by one with each accepted document.
        pub version: Version,
        /// Hash of the root object, as 32 hexadecimal digits in JSON.
        #[serde(with = "hex_digest")]
        pub root: Digest,
        /// Format of the objects.
        pub format: u32,
        /// Random id of the acceptance that wrote this head.
        pub change: Arc<str>,
        /// Who accepted it.
        pub author: Arc<str>,
        /// Time of acceptance by the console's clock, in seconds since the Unix epoch.
        pub accepted_at_unix: u64,
    }

    /// The status of an acceptance, determined from the rows read back.
    #[derive(Copy)]
    pub enum Status {
        /// It took effect.
        Accepted,
        /// It has not taken effect. Its conditions still hold, so the same transaction may be sent again.
        Pending,
        /// Another document was accepted instead; this one can't be accepted any more.
        Raced,
    }
}

/// Serializes hashes as text, as JSON readers that use floating point can't represent 128 bits.
mod hex_digest {
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
    /// Decodes a stored head. Unknown fields are ignored, as newer versions may add some.
    ///
    /// # Errors
    ///
    /// Returns [`Code::Internal`] if the row is not a valid head.
    pub fn decode(row: &Row) -> Result<Self, Refusal> {
        serde_json::from_slice(&row.value).map_err(|error| {
            Refusal::new(Code::Internal).with_detail(format!(
                "The row `{}` is not a valid head: {error}.",
                row.key
            ))
        })
    }

    /// Encodes the head for storage.
    pub fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Returns the key of a version's history row.
pub fn history_key(version: Version) -> Arc<str> {
    format!("{HISTORY_PREFIX}{:012}", version.0).into()
}

/// A document that an operator proposes.
#[derive(Debug, Clone)]
pub struct Proposal<'a> {
    /// Version that the edit is based on; 0 if there is none.
    pub base_version: Version,
    /// The document of the base version; empty if there is none.
    pub before: &'a Document,
    /// The new document.
    pub after: &'a Document,
    /// Who accepts the document.
    pub author: Arc<str>,
    /// Random id, unique to this acceptance.
    pub change: Arc<str>,
    /// Time by the console's clock, in seconds since the Unix epoch.
    pub accepted_at_unix: u64,
}

/// An acceptance that is ready to be committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acceptance {
    /// The new head.
    pub head: Head,
    /// The new document's objects. New ones must be stored before the transaction is sent, as instances may
    /// read the head as soon as it is written.
    pub bundle: Bundle,
    /// The transaction that accepts the document.
    pub transaction: Transaction,
}

/// Number of conditions and writes of an acceptance, not counting budgets.
const HEAD_ENTRIES: usize = 4;
/// Number of conditions and writes per budget.
const ENTRIES_PER_BUDGET: usize = 2;

/// Builds the transaction that accepts a document.
///
/// `head` is the current `head` row, and `budgets` are the rows of [`changed_budgets`]. A missing budget row
/// is assumed not to exist; if it does exist, the transaction's condition fails and nothing is written.
///
/// # Errors
///
/// - [`Code::DocumentInvalid`] if the document is invalid or changes too many budgets.
/// - [`Code::DocumentRaced`] if `head` is no longer the proposal's base version.
/// - [`Code::PrepaidBelowDrawn`] if a prepaid total falls below what is spent or granted.
/// - [`Code::Internal`] if a row can't be decoded.
pub fn accept(
    head: Option<&Row>,
    proposal: &Proposal<'_>,
    budgets: &[Row],
) -> Result<Acceptance, Refusal> {
    check_document(proposal.after)?;
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
        change: truncate(&proposal.change),
        author: truncate(&proposal.author),
        accepted_at_unix: proposal.accepted_at_unix,
    };
    let history = history_key(head.version);
    let mut transaction = Transaction::default()
        .with_compare(HEAD_KEY, revision)
        // Versions never decrease: an existing history row of this version means that the head was lost or
        // reset.
        .with_compare(history.clone(), 0)
        .with_put(HEAD_KEY, head.encode())
        .with_put(history, head.encode());
    let rows: HashMap<&str, &Row> = budgets.iter().map(|row| (&*row.key, row)).collect();
    for (key, prepaid) in changed_budgets(proposal.before, proposal.after) {
        let row = rows.get(&*key).copied();
        transaction = budget::set_prepaid(transaction, key, prepaid, row)?;
    }
    check_size(&transaction)?;
    Ok(Acceptance {
        head,
        bundle,
        transaction,
    })
}

/// Checks the size of the transaction. The head, the history and the budgets must change atomically, so an
/// acceptance can't be split into several transactions.
fn check_size(transaction: &Transaction) -> Result<(), Refusal> {
    if transaction.entries() <= MAX_ENTRIES {
        return Ok(());
    }
    let max_budgets = (MAX_ENTRIES - HEAD_ENTRIES) / ENTRIES_PER_BUDGET;
    let detail = format!(
        "At most {max_budgets} prepaid totals can change at once; change the others in another edit."
    );
    Err(Refusal::new(Code::DocumentInvalid).with_detail(detail))
}

/// Refuses a document that fails [`check::check`].
fn check_document(document: &Document) -> Result<(), Refusal> {
    let faults = check::check(document);
    let Some(first) = faults.first() else {
        return Ok(());
    };
    let detail = format!("{first} ({} faults in total).", faults.len());
    Err(Refusal::new(Code::DocumentInvalid).with_detail(detail))
}

/// Truncates a label to [`MAX_LABEL_BYTES`] at a character boundary.
fn truncate(label: &Arc<str>) -> Arc<str> {
    let mut end = label.len().min(MAX_LABEL_BYTES);
    while !label.is_char_boundary(end) {
        end -= 1;
    }
    label[..end].into()
}

impl Acceptance {
    /// Determines the status of this acceptance from the `head` row and the `history` row of its version.
    ///
    /// A head of a later version is not sufficient, as this document may have been accepted and then replaced
    /// by another one. The history row distinguishes these cases.
    ///
    /// # Errors
    ///
    /// Returns [`Code::Internal`] if a row can't be decoded.
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
