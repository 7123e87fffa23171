//! Stream ids, which encode the attempt and the request.

use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::message::Owner;

const PREFIX: &str = "fw.";

/// Returns the stream id of an attempt, equal to the one from [`RequestKey::stream_id`].
pub fn id(owner: &Owner, request: Digest) -> StreamId {
    format!("{PREFIX}{}.{}.{request}", owner.holder, owner.attempt).into()
}

/// Parses a stream id into its attempt and request. Returns `None` for ids of another origin.
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
    // Split from the right, since the instance name may contain dots.
    let (rest, digest) = rest.rsplit_once('.')?;
    let (holder, attempt) = rest.rsplit_once('.')?;
    let request = Digest(u128::from_str_radix(digest, 16).ok()?);
    let attempt = attempt.parse().ok()?;
    let holder: Arc<str> = holder.into();
    Some((Owner { holder, attempt }, request))
}
