//! The platform's transactional rows as the duties see them.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use snafu::Snafu;

/// An answer that is still to come.
pub type BoxFuture<'a, Answer> = Pin<Box<dyn Future<Output = Result<Answer, Error>> + Send + 'a>>;

/// Where a row stands.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RowId {
    /// Table.
    pub table: Arc<str>,
    /// Part of the table; transactions are atomic within a part.
    pub partition: Arc<str>,
    /// Name within the part.
    pub key: Arc<str>,
}

/// A stored row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Where it stands.
    pub id: RowId,
    /// Its content; nothing for a removed row.
    pub value: Option<Vec<u8>>,
    /// Version of its last write.
    pub version: u64,
}

/// Rows as of one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadResponse {
    /// The rows, in the order of their keys or of their changes.
    pub rows: Vec<Row>,
    /// The store's version at that moment.
    pub version: u64,
    /// The store's clock in milliseconds.
    pub now_ms: u64,
}

/// Conditions and writes that take effect together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Rows and the versions that they must have; 0 for "absent".
    pub preconditions: Vec<(RowId, u64)>,
    /// Rows to be written.
    pub puts: Vec<(RowId, Vec<u8>)>,
    /// Rows to be removed.
    pub deletes: Vec<RowId>,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect under this version.
    Committed {
        /// Version of all rows that it wrote.
        version: u64,
        /// The store's clock in milliseconds.
        now_ms: u64,
    },
    /// A condition did not hold and nothing was written.
    Conflict(ReadResponse),
}

/// Why there is no outcome.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Nothing was done.
    #[snafu(display("the store did nothing: {reason}"))]
    NotApplied {
        /// Whether it was one call too many.
        is_throttled: bool,
        /// What was seen.
        reason: Arc<str>,
    },
    /// It may have been done, or be done later if its conditions still hold.
    #[snafu(display("the store's answer is missing: {reason}"))]
    Unknown {
        /// What was seen.
        reason: Arc<str>,
    },
    /// The changes since the given version are no longer kept.
    #[snafu(display("the history has been dropped"))]
    Compacted,
}

/// The platform's rows.
///
/// Versions are those of [`fescuewell_forward::version`].
pub trait Store: Send + Sync {
    /// How often the store has come back from a copy, as far as its answers told.
    fn era(&self) -> u32;

    /// Reads the rows of a part.
    fn read<'a>(&'a self, table: &'a str, partition: &'a str) -> BoxFuture<'a, ReadResponse>;

    /// Reads one row.
    fn read_row<'a>(&'a self, place: &'a RowId) -> BoxFuture<'a, ReadResponse>;

    /// Carries out a change.
    fn commit<'a>(&'a self, change: &'a Transaction) -> BoxFuture<'a, Outcome>;
}
