//! Request identity as pure state machines: slots, claims, bills and the sweep of terminated
//! instances.
//!
//! The space of request identities is divided into slots. Each slot has one holder at a time, an
//! entry instance whose [`arbiter`] decides the requests in the slot; routers send it their
//! requests through a [`client`]. The holder keeps each slot's state in a [`ledger`] and writes it
//! to a log in the table in group commits. Its successor replays that log before it replies to
//! anything. When an instance is terminated, a [`sweep`] settles its open requests.
//!
//! The scheme rests on two numbers:
//!
//! - An *attempt* is one run of a request by one router. The router numbers its attempts in
//!   ascending order and never reuses a number within one incarnation, so `(holder, attempt)`
//!   identifies one run across the fleet. A repeated claim, bill or release is recognised by that
//!   pair.
//! - A router sends its *oldest* unfinished attempt with its messages. Every attempt below it has
//!   had its final reply, so a slot may drop it, and must not bill it again if a delayed message or
//!   a backend server's old record arrives later.
//!
//! A crash can lose grants of repeatable calls that were not committed yet (a repeat that arrives
//! at that moment runs a second time, but only one of the two is billed), and bills in a router's
//! memory for which there is neither a durable claim nor a backend server's record. It cannot lose
//! a grant of a non-repeatable call or a bill that was confirmed.

pub mod arbiter;
pub mod client;
pub mod ledger;
pub mod message;
pub mod note;
pub mod record;
pub mod stream;
pub mod sweep;
