//! What the product keeps in the platform's store: its table, its objects and the instance list; and in-memory versions of them with
//! faults that tests control.
//!
//! The traits stand in [`fescuewell_core::table`] and [`fescuewell_core::platform`]. The client that implements them over the
//! store's protocol is the adapter's; [`Worker`] carries out table work on a thread of its own.
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

/// The store as the rest of a process uses it.
#[derive(Clone)]
pub struct Services {
    /// Rows with transactions.
    pub table: Arc<dyn Table>,
    /// Objects named by their content.
    pub objects: Arc<dyn ObjectStore>,
    /// The instance list.
    pub instances: Arc<dyn InstanceList>,
}
