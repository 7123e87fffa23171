//! Entry instances, the platform and backend servers in one thread and in virtual time.

#![allow(dead_code, reason = "each test file uses its own part of the harness")]

pub mod backend;
pub mod document;
pub mod world;
