//! The load tool: seeded load against the demo's fleet, with an audit and a report, and the cost of decisions by size.

pub mod capacity;
pub mod load;
