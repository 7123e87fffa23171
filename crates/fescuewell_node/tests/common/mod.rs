//! Test harness: entry instances, the platform and backend servers in one thread and in virtual time.

#![allow(dead_code, reason = "each test file uses its own part of the harness")]

pub mod backend;
pub mod checks;
pub mod document;
pub mod plane;
pub mod world;
