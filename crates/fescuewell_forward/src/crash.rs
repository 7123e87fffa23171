//! Requests that crash the backend servers which run them.
//!
//! A caller's tries have ids of their own and may reach any instance, so nothing in a single try shows that the servers before
//! crashed under the same request. A [`Fingerprint`] identifies the request over all tries; a [`Watch`] tells the crash of a server
//! from a lost connection; a [`Quarantine`] counts crashes by request, over all instances, and decides whether it is sent again.

mod fingerprint;
mod quarantine;
mod record;
mod watch;

pub use fingerprint::{Content, Fingerprint};
pub use quarantine::{Quarantine, Update, Verdict};
pub use record::{Crash, Record, THRESHOLD};
pub use watch::{Evidence, Finding, Loss, Watch};
