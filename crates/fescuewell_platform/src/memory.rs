//! In-memory versions of the platform's services, with faults that tests control.
//!
//! Each is `Arc`-shared: a clone is another handle to the same content. Nothing here reads a clock
//! or sleeps; limits per second use a [`Clock`](fescuewell_core::time::Clock) that is passed in.

mod fault;
mod instances;
mod objects;
mod table;

pub use fault::{CallResult, Counters, Fault};
pub use instances::Instances;
pub use objects::Objects;
pub use table::Table;
