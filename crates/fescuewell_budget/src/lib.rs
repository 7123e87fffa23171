//! Prepaid token budgets: allowances, holds and settlement, as a state machine without I/O.
//!
//! The platform's table has one row per group, with the prepaid total, the spending of closed
//! holders and the grant of each live holder ([`row::Budget`]). An instance draws an *allowance*
//! from the row ahead of need and holds the worst-case cost of each request against it, so a
//! request does not wait for the table while the allowance lasts. [`ledger::Ledger`] decides when
//! to draw, how much, and what to return; [`reclaim::Reclaim`] frees the unspent tokens of a
//! terminated instance.
//!
//! No grant is lowered by a timeout: a paused holder may still send a request that it checked
//! before the pause. A grant is lowered only by its holder, or after proof that the holder has
//! terminated.

pub mod fence;
pub mod hold;
pub mod ledger;
pub mod message;
pub mod policy;
pub mod rate;
pub mod reclaim;

pub mod row;
pub mod sizing;

mod allowance;

pub use hold::{HoldKey, Shortage};
pub use ledger::Ledger;
pub use message::{Message, Notification, Outgoing};
pub use policy::{Policy, Settings};
