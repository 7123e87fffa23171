//! A whole small fleet in one process, on embedded stand-ins.
//!
//! The `demo` command shows it to a new user; tests and the bench drive it. Nothing in it is
//! special-cased: routers, console and stand-ins are the same as in their own processes and talk over
//! loopback.

pub mod document;
pub mod fleet;
pub mod forward;

/// What a program needs to run the demo.
pub mod prelude {
    pub use crate::fleet::{Fleet, Settings};
}
