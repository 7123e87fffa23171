//! Requests that crash the backend servers which run them.
//!
//! Each attempt of a caller has its own id and may reach any instance, so a single attempt does not
//! show that earlier servers crashed under the same request. A [`Fingerprint`] identifies the
//! request across attempts, a [`Detector`] distinguishes a server crash from a lost connection, and
//! a [`Quarantine`] counts crashes per request across instances and decides whether the request may
//! be sent again. A second one counts crashes per [`Part`] of a prompt, which requests that differ
//! otherwise may share.

mod detector;
mod fingerprint;
mod quarantine;
mod record;
mod run;

pub use detector::{Detector, Evidence, Finding, Loss};
pub use fingerprint::{Content, Fingerprint};
pub use quarantine::{Quarantine, Subject, Update, Verdict};
pub use record::{Crash, PART_PROBATION, Probation, REQUEST_PROBATION, Record, THRESHOLD};
pub use run::{Part, Run, Stage};
