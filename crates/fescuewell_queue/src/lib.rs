//! Admission: priorities with a floor, token-fair sharing, adaptive limits and retry budgets, as pure state machines.
//!
//! - [`admission`] holds the queue of one instance: which request starts next, which is refused and why.
//! - [`limit`] decides how many requests one instance keeps running on one backend server.
//! - [`preempt`] picks the bulk stream that makes room for a burst of urgent work.
//! - [`overload`] refuses early when the instance itself runs out of streams or memory.
//! - [`retry`] bounds retries and spaces them.
//! - [`deadline`] carries the remaining time of a request from one process to the next.

pub mod admission;
pub mod deadline;
pub mod limit;
pub mod overload;
pub mod preempt;
pub mod retry;
