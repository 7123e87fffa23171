//! The runner of scenarios; it stays small, since the scenarios matter.

pub mod audit;
pub mod caller;
pub mod fleet;
pub mod permit;
pub mod process;
pub mod proxy;
pub mod runner;
