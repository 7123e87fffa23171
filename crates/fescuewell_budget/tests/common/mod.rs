//! Fixtures: a table in memory and a small fleet of ledgers whose messages and writes can go wrong.

#![allow(dead_code, reason = "each test file uses its own part of the fixtures")]

pub mod fleet;
pub mod memory;
pub mod node;
