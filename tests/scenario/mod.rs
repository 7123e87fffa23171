//! The scenario runner: starts the fleet, executes the commands of a script and audits the result.

pub mod audit;
pub mod caller;
pub mod fleet;
pub mod permit;
pub mod process;
pub mod proxy;
pub mod runner;
