//! Stand-ins for the outside systems: platform services, model engine, plain service.

pub mod engine;
pub mod platform;
pub mod rows;
pub mod sample;
pub mod service;
pub mod worker;
