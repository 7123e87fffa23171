//! Request identity: slots, claims, bills and the sweep of dead instances, as pure state machines.
//!
//! The space of request identities is cut into slots. One entry instance at a time holds a slot and
//! arbitrates the requests in it (arbiter); the routers ask it through a [`client`]. The holder
//! keeps each slot's state in a [`ledger`], writes it to the table's log in group commits, and its
//! successor reads that log before it answers anything. When an instance is terminated, a [`sweep`]
//! settles what it left open.
//!
//! Two numbers carry the whole scheme:
//!
//! - An *attempt* is one run of a request by one router. The router numbers its attempts itself, in
//!   rising order and without reuse within one incarnation, so that `(holder, attempt)` names one run
//!   across the fleet. A repeated claim, bill or release is recognised by that pair.
//! - A router's *oldest* unfinished attempt travels with its messages. Every attempt below it has had
//!   its final answer, so a slot may forget it, and must not bill it again if an old message or a
//!   backend server's old record turns up later.
//!
//! What a crash loses: grants of repeatable calls that were not committed yet (a repeat that comes at that
//! moment runs a second time; only one of the two is billed), and bills in a router's memory for which neither a
//! durable claim nor a backend server's record is left. What it cannot lose: a grant of a call that may not be
//! repeated, and any bill that was answered.

pub mod arbiter;
pub mod client;
pub mod ledger;
pub mod message;
pub mod note;
pub mod record;
pub mod stream;
pub mod sweep;
