//! A request in progress at a backend server, and the parts of its prompt.

use std::sync::Arc;

use super::Fingerprint;

/// Maximum number of parts of one prompt that are examined.
const MAX_PARTS: usize = 64;

/// Part of a prompt that requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Identity of the part within its service and model, equal on all instances.
    pub key: Fingerprint,
    /// Id as given by the caller.
    pub id: Arc<str>,
}

impl Part {
    /// Returns the distinct parts of a prompt, without the last one, which belongs to the request or
    /// its session alone.
    pub fn shared(service: &str, model: &str, ids: &[Arc<str>]) -> Arc<[Self]> {
        let Some((_, ids)) = ids.split_last() else {
            return Arc::default();
        };
        let mut shared: Vec<Self> = Vec::new();
        for id in ids {
            let key = Fingerprint::of_part(service, model, id);
            if shared.len() < MAX_PARTS && shared.iter().all(|part| part.key != key) {
                let id = id.clone();
                shared.push(Self { key, id });
            }
        }
        shared.into()
    }
}

/// How far the response to a request had come when its server was lost, from the likeliest cause of a
/// crash to the least likely one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It had just begun.
    Beginning,
    /// It had not begun.
    Waiting,
    /// It had been in progress for some time.
    Advanced,
}

/// A request in progress at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub request: Fingerprint,
    /// Parts of its prompt that others may share.
    pub parts: Arc<[Part]>,
    /// How far its response had come.
    pub stage: Stage,
}
