//! The load tool: seeded load against the demo's fleet, with an audit and a report.

pub mod load;
