//! The load tool: seeded load against the decisions and the demo, compared with baselines.
