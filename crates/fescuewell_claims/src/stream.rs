//! Reading back what a stream id carries.

use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::message::Owner;

const PREFIX: &str = "fw.";

/// The stream id of one run of a request; the same text as
/// [`RequestKey::stream_id`] makes.
pub fn id(owner: &Owner, request: Digest) -> StreamId {
    format!("{PREFIX}{}.{}.{request}", owner.holder, owner.attempt).into()
}

/// The run and the request that a stream id names, or `None` for an id that is not of our making.
///
/// ```
/// use fescuewell_claims::stream;
/// use fescuewell_core::prelude::*;
///
/// let key = RequestKey::new("clinic", "job-7");
/// let text = key.stream_id("entry-1", Incarnation(0x1f), 3);
/// let (owner, request) = stream::parse(&text).unwrap();
/// assert_eq!(&*owner.holder, "entry-1.1f");
/// assert_eq!(owner.attempt, 3);
/// assert_eq!(request, key.digest());
/// assert_eq!(stream::id(&owner, request), text);
/// ```
pub fn parse(stream: &str) -> Option<(Owner, Digest)> {
    let rest = stream.strip_prefix(PREFIX)?;
    // From the right, since an instance's name may itself contain dots.
    let (rest, digest) = rest.rsplit_once('.')?;
    let (holder, attempt) = rest.rsplit_once('.')?;
    let request = Digest(u128::from_str_radix(digest, 16).ok()?);
    let attempt = attempt.parse().ok()?;
    let holder: Arc<str> = holder.into();
    Some((Owner { holder, attempt }, request))
}
