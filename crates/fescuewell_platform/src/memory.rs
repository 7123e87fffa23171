//! In-memory implementations of the platform's services, with fault injection for tests.
//!
//! A clone is another handle to the same content. Nothing here reads the system clock or sleeps;
//! rate limits use the [`Clock`](fescuewell_core::time::Clock) that is passed in.

mod fault;
mod instances;
mod objects;
mod table;

pub use fault::{CallResult, Counters, Fault};
pub use instances::Instances;
pub use objects::Objects;
pub use table::Table;
