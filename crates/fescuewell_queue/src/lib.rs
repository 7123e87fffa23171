//! Admission control: request queueing, concurrency limits, preemption, overload protection and retries.
//!
//! All types are pure state machines without I/O; the caller passes in the current time.
//!
//! - [`admission`]: the request queue of one instance, with priorities, guaranteed shares and fair sharing by tokens.
//! - [`limit`]: an adaptive limit on the requests that one instance runs on one backend server.
//! - [`preempt`]: selects the bulk stream to pause when a burst of urgent requests needs capacity.
//! - [`overload`]: refuses requests when the instance itself reaches its limit of streams or memory.
//! - [`retry`]: retry budget and exponential backoff.
//! - [`deadline`]: passes the remaining time of a request between processes.

pub mod admission;
pub mod deadline;
pub mod limit;
pub mod overload;
pub mod preempt;
pub mod retry;
