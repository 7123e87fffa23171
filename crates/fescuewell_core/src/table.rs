//! The platform's rows as decisions see them, and transactions with conditions.
//!
//! A row has a *revision* that rises with each write; a transaction compares revisions and, if all match, writes. Decisions build
//! [`Transaction`]s as plain data; an adapter carries them out behind [`Table`].

use std::sync::Arc;

use snafu::Snafu;

crate::data! {
    /// A stored row.
    pub struct Row {
        /// Name of the row.
        pub key: Arc<str>,
        /// Its content.
        pub value: Arc<[u8]>,
        /// Revision of its last write; never 0.
        pub revision: u64,
    }

    /// A condition: the row's revision is this one. Revision 0 means that the row is absent.
    pub struct Compare {
        /// Name of the row.
        pub key: Arc<str>,
        /// The revision it must have.
        pub revision: u64,
    }

    /// One write of a transaction.
    pub enum Write {
        /// Sets a row.
        Put {
            /// Name of the row.
            key: Arc<str>,
            /// Its new content.
            value: Arc<[u8]>,
        },
        /// Removes a row.
        Delete {
            /// Name of the row.
            key: Arc<str>,
        },
    }

    /// Compares and writes that take effect together or not at all.
    #[derive(Default)]
    pub struct Transaction {
        /// All must hold.
        pub compares: Vec<Compare>,
        /// Applied in order when they do.
        pub writes: Vec<Write>,
    }

    /// What became of a transaction that the table answered.
    pub enum Outcome {
        /// All compares held; the writes are durable under this revision.
        Committed {
            /// Revision given to every row written.
            revision: u64,
        },
        /// Some compare failed and nothing was written; the compared rows as they are now.
        Conflict {
            /// Current rows of the compared keys; absent rows are left out.
            rows: Vec<Row>,
        },
    }

    /// Which rows to read: those whose key starts with `prefix`, after `after`, at most `limit`.
    pub struct Range {
        /// Common start of the keys.
        pub prefix: Arc<str>,
        /// Skip keys up to and including this one.
        pub after: Option<Arc<str>>,
        /// At most so many rows; 0 for no limit.
        pub limit: u32,
    }
}

impl Range {
    /// All rows under `prefix`.
    pub fn prefix(prefix: impl Into<Arc<str>>) -> Self {
        Self {
            prefix: prefix.into(),
            after: None,
            limit: 0,
        }
    }
}

/// Most conditions and writes of a transaction together.
pub const MAX_ENTRIES: usize = 100;

impl Transaction {
    /// Number of its conditions and writes; at most [`MAX_ENTRIES`] are taken.
    pub fn entries(&self) -> usize {
        self.compares.len() + self.writes.len()
    }

    /// Adds a condition on a row's revision; 0 for "absent".
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

    /// Adds a removal.
    pub fn with_delete(mut self, key: impl Into<Arc<str>>) -> Self {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}

/// Why the table gave no outcome.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No byte of the request reached the table: nothing was written.
    #[snafu(display("the table service could not be reached: {reason}"))]
    Unreachable {
        /// What the adapter saw.
        reason: Arc<str>,
    },
    /// The request may have taken effect: the reply was lost, late or unreadable.
    #[snafu(display("the table service's reply was lost: {reason}"))]
    Unknown {
        /// What the adapter saw.
        reason: Arc<str>,
    },
    /// The table answered that it takes no more for now; nothing was written.
    #[snafu(display("the table service is over its limit"))]
    Busy,
}

/// The platform's transactional table service.
pub trait Table: Send + Sync {
    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] means that it may have taken effect: read back before trying again.
    fn commit(&self, transaction: &Transaction) -> Result<Outcome, Error>;

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// When the table gave no answer.
    fn read(&self, key: &str) -> Result<Option<Row>, Error>;

    /// Reads rows in key order.
    ///
    /// # Errors
    ///
    /// When the table gave no answer.
    fn scan(&self, range: &Range) -> Result<Vec<Row>, Error>;
}

crate::message! {
    /// One piece of table work that a decision asks an adapter to do.
    pub enum Step {
        /// Read these rows.
        Read {
            /// Their keys.
            keys: Vec<Arc<str>>,
        },
        /// Read the rows of a range.
        Scan(Range),
        /// Carry out a transaction.
        Commit(Transaction),
    }

    /// The answer to a [`Step`].
    pub enum Reply {
        /// The rows that exist, in key order.
        Rows(Vec<Row>),
        /// What became of the transaction.
        Outcome(Outcome),
        /// The table gave no outcome.
        Failed(Error),
    }
}

/// Carries out one step on a table.
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
