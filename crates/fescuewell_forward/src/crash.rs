//! Requests that crash the backend servers which run them.
//!
//! A caller's tries have ids of their own and may reach any instance, so nothing in a single try shows that the servers before
//! crashed under the same request. A [`Fingerprint`] identifies the request over all tries; a [`Watch`] tells the crash of a server
//! from a lost connection.

mod fingerprint;
mod watch;

pub use fingerprint::{Content, Fingerprint};
pub use watch::{Evidence, Finding, Watch};
