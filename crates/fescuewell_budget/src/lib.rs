//! Prepaid budgets: allowances, holds and settlement, as a pure state machine.
//!
//! The platform's table has one row for each group: what is prepaid, what closed holders spent and
//! what each live holder was granted ([`row::Budget`]). An instance draws an *allowance* from the row
//! ahead of need and holds the worst case of each request against it, so that no request waits for
//! the table as long as the allowance lasts. [`ledger::Ledger`] decides when to draw, how much,
//! and what to return; [`reclaim::Reclaim`] frees what a terminated instance left unspent.
//!
//! Nothing here frees money because time has passed: a holder that was paused may still send what
//! it checked before the pause. Only its own return, or the proof that it has ended, lowers a grant.

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
