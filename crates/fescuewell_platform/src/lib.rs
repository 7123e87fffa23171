//! Clients for the platform's table service, object store and instance list, and in-memory
//! versions of the three with faults that tests control.
//!
//! The traits that all of them implement stand in [`fescuewell_core::table`] and
//! [`fescuewell_core::platform`]. [`connect`] builds the three clients from [`Settings`];
//! [`Worker`] carries out table work on a thread of its own.
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

pub mod etcd;
mod http;
pub mod memory;
pub mod s3;
pub mod sd;
pub mod settings;
pub mod worker;

use std::sync::Arc;

use fescuewell_core::platform::{Instances, Objects};
use fescuewell_core::table::Table;

pub use settings::Settings;
pub use worker::Worker;

/// The platform's services as the rest of a process uses them.
#[derive(Clone)]
pub struct Services {
    /// The transactional table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
    /// The instance list.
    pub instances: Arc<dyn Instances>,
}

/// Builds the three clients. Opens no connection: each call of a client opens its own.
///
/// # Errors
///
/// When an address is not usable or a token cannot be read.
pub fn connect(settings: &Settings) -> Result<Services, settings::Error> {
    let table = etcd::Table::new(&settings.table)?;
    let objects = s3::Objects::new(&settings.objects)?;
    let instances = sd::Instances::new(&settings.instances)?;
    Ok(Services {
        table: Arc::new(table),
        objects: Arc::new(objects),
        instances: Arc::new(instances),
    })
}
