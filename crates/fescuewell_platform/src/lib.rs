//! Access to the platform's store (table, object store and instance list): settings, row layout, a worker thread, and
//! in-memory implementations with fault injection for tests.
//!
//! The traits are defined in [`fescuewell_core::table`] and [`fescuewell_core::platform`]. The adapter crate implements them
//! over the store's protocol. [`Worker`] runs table operations on a thread of its own.
//!
//! ```
//! use fescuewell_core::table::{Outcome, Table as _, Transaction};
//! use fescuewell_platform::memory;
//!
//! let table = memory::Table::default();
//! let insert = Transaction::default()
//!     .with_compare("head", 0)
//!     .with_put("head", *b"1");
//! assert_eq!(table.commit(&insert).unwrap(), Outcome::Committed { revision: 1 });
//! assert!(matches!(table.commit(&insert).unwrap(), Outcome::Conflict { .. }));
//! ```

pub mod layout;
pub mod memory;
pub mod settings;
pub mod worker;

use std::sync::Arc;

use fescuewell_core::platform::{InstanceList, ObjectStore};
use fescuewell_core::table::Table;

pub use settings::Settings;
pub use worker::Worker;

/// The store's services, shared by the components of a process.
#[derive(Clone)]
pub struct Services {
    /// Table of rows with transactions.
    pub table: Arc<dyn Table>,
    /// Object store; objects are named by the hash of their content.
    pub objects: Arc<dyn ObjectStore>,
    /// The instance list.
    pub instances: Arc<dyn InstanceList>,
}
