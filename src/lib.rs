//! fescuewell: a router fleet that shares prepaid model capacity fairly among groups.
//!
//! This crate re-exports the library crates of the workspace under short names.

pub use fescuewell_adapter as adapter;
pub use fescuewell_bench as bench;
pub use fescuewell_budget as budget;
pub use fescuewell_claims as claims;
pub use fescuewell_console as console;
pub use fescuewell_core as core;
pub use fescuewell_demo as demo;
pub use fescuewell_document as document;
pub use fescuewell_forward as forward;
pub use fescuewell_gateway as gateway;
pub use fescuewell_http as http;
pub use fescuewell_membership as membership;
pub use fescuewell_node as node;
pub use fescuewell_peer as peer;
pub use fescuewell_placement as placement;
pub use fescuewell_platform as platform;
pub use fescuewell_queue as queue;
pub use fescuewell_router as router;
pub use fescuewell_routing as routing;
pub use fescuewell_standin as standin;
