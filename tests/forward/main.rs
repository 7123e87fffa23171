//! The forwarding path through the platform's adapter: real sockets, a store of rows and backend servers that fail on
//! demand.

mod answers;
mod configuration;
mod crashes;
mod eras;
mod fixture;
mod money;
mod pressure;
mod refusals;
mod wire;
mod zones;
