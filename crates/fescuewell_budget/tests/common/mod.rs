//! Fixtures: an in-memory table and a small fleet of ledgers with faults in messages and writes.

#![allow(dead_code, reason = "each test file uses its own part of the fixtures")]

pub mod fleet;
pub mod memory;
pub mod node;
