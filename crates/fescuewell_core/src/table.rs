//! Rows of the platform's table service and conditional transactions.
//!
//! A row has a *revision* that increases with each write. A transaction compares revisions and, if all match,
//! performs its writes. Decision logic builds [`Transaction`]s as plain data, and an adapter that implements
//! [`Table`] executes them.

use std::sync::Arc;

use snafu::Snafu;

crate::data! {
    /// A stored row.
    pub struct Row {
        /// Key of the row.
        pub key: Arc<str>,
        /// Content of the row.
        pub value: Arc<[u8]>,
        /// Revision of the last write; never 0.
        pub revision: u64,
    }

    /// A condition on the revision of a row. Revision 0 means that the row is absent.
    pub struct Compare {
        /// Key of the row.
        pub key: Arc<str>,
        /// The expected revision.
        pub revision: u64,
    }

    /// A write within a transaction.
    pub enum Write {
        /// Creates or replaces a row.
        Put {
            /// Key of the row.
            key: Arc<str>,
            /// New content of the row.
            value: Arc<[u8]>,
        },
        /// Deletes a row.
        Delete {
            /// Key of the row.
            key: Arc<str>,
        },
    }

    /// Conditions and writes that are applied atomically.
    #[derive(Default)]
    pub struct Transaction {
        /// Conditions, all of which must hold.
        pub compares: Vec<Compare>,
        /// Writes, applied in order if all conditions hold.
        pub writes: Vec<Write>,
    }

    /// The table's reply to a transaction.
    pub enum Outcome {
        /// All conditions held, and the writes are durable.
        Committed {
            /// New revision of all written rows.
            revision: u64,
        },
        /// A condition failed, and nothing was written.
        Conflict {
            /// Current rows of the compared keys; absent rows are omitted.
            rows: Vec<Row>,
        },
    }

    /// A range of rows: those whose key starts with `prefix` and is greater than `after`, at most `limit`.
    pub struct Range {
        /// Common prefix of the keys.
        pub prefix: Arc<str>,
        /// Keys up to and including this one are skipped.
        pub after: Option<Arc<str>>,
        /// Maximum number of rows; 0 for no limit.
        pub limit: u32,
    }
}

impl Range {
    /// Creates a range of all rows whose key starts with `prefix`.
    pub fn prefix(prefix: impl Into<Arc<str>>) -> Self {
        Self {
            prefix: prefix.into(),
            after: None,
            limit: 0,
        }
    }
}

/// Maximum number of conditions and writes of a transaction in total.
pub const MAX_ENTRIES: usize = 100;

impl Transaction {
    /// Returns the number of conditions and writes; at most [`MAX_ENTRIES`] are allowed.
    pub fn entries(&self) -> usize {
        self.compares.len() + self.writes.len()
    }

    /// Adds a condition on a row's revision; 0 if the row must be absent.
    pub fn with_compare(mut self, key: impl Into<Arc<str>>, revision: u64) -> Self {
        let key = key.into();
        self.compares.push(Compare { key, revision });
        self
    }

    /// Adds a write.
    pub fn with_put(mut self, key: impl Into<Arc<str>>, value: impl Into<Arc<[u8]>>) -> Self {
        self.writes.push(Write::Put {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Adds a deletion.
    pub fn with_delete(mut self, key: impl Into<Arc<str>>) -> Self {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}

/// A failed call to the table service.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No byte of the request reached the table service, so nothing was written.
    #[snafu(display("the table service could not be reached: {reason}"))]
    Unreachable {
        /// Error reported by the adapter.
        reason: Arc<str>,
    },
    /// The request may have taken effect: the reply was lost, late or malformed.
    #[snafu(display("the table service's reply was lost: {reason}"))]
    Unknown {
        /// Error reported by the adapter.
        reason: Arc<str>,
    },
    /// The table service throttled the request; nothing was written.
    #[snafu(display("the table service is over its limit"))]
    Busy,
}

/// The platform's transactional table service.
pub trait Table: Send + Sync {
    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// After [`Error::Unknown`], the transaction may have taken effect: read the rows before a retry.
    fn commit(&self, transaction: &Transaction) -> Result<Outcome, Error>;

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the table doesn't respond.
    fn read(&self, key: &str) -> Result<Option<Row>, Error>;

    /// Reads a range of rows in key order.
    ///
    /// # Errors
    ///
    /// Returns an error if the table doesn't respond.
    fn scan(&self, range: &Range) -> Result<Vec<Row>, Error>;
}

crate::message! {
    /// A table operation that decision logic requests from an adapter.
    pub enum Step {
        /// Read individual rows.
        Read {
            /// Keys of the rows.
            keys: Vec<Arc<str>>,
        },
        /// Read a range of rows.
        Scan(Range),
        /// Commit a transaction.
        Commit(Transaction),
    }

    /// The reply to a [`Step`].
    pub enum Reply {
        /// The existing rows; those of a range are in key order.
        Rows(Vec<Row>),
        /// The outcome of a transaction.
        Outcome(Outcome),
        /// The operation failed.
        Failed(Error),
    }
}

/// Executes a step on a table.
pub fn execute(table: &dyn Table, step: &Step) -> Reply {
    match step {
        Step::Read { keys } => read_all(table, keys),
        Step::Scan(range) => table.scan(range).map_or_else(Reply::Failed, Reply::Rows),
        Step::Commit(transaction) => table
            .commit(transaction)
            .map_or_else(Reply::Failed, Reply::Outcome),
    }
}

fn read_all(table: &dyn Table, keys: &[Arc<str>]) -> Reply {
    let mut rows = Vec::with_capacity(keys.len());
    for key in keys {
        match table.read(key) {
            Ok(row) => rows.extend(row),
            Err(error) => return Reply::Failed(error),
        }
    }
    Reply::Rows(rows)
}
