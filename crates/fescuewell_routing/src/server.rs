//! Configuration and state of one backend server.

use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::health::Health;
use crate::load::{PeerLoad, Span};
use crate::pool::ModelKey;

fescuewell_core::key! {
    /// Identifier of one attempt at a request, unique within this instance.
    pub struct Ticket(pub u64);
}

fescuewell_core::message! {
    /// A backend server as specified in the configuration document.
    pub struct Spec {
        /// Its key in this process.
        pub key: ServerKey,
        /// Its name, the same on every instance.
        pub name: Arc<str>,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// Models that it has or may be ordered to load; for a plain service, its service names.
        pub models: Vec<Arc<str>>,
        /// Maximum number of concurrent requests from all instances.
        pub concurrency: u32,
    }

    /// Outcome of an attempt.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The response is complete.
        Done,
        /// The server returned an error or the connection failed.
        Failed,
        /// The stream stopped sending and was aborted.
        Stalled,
        /// The server rejected the request because it is busy.
        Busy,
        /// The caller disconnected, which is no evidence about the server.
        Cancelled,
    }
}

/// Which requests this instance's concurrency limit for a server still admits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Headroom {
    /// Whether an urgent request is admitted.
    pub urgent: bool,
    /// Whether any other request is admitted.
    pub bulk: bool,
}

/// An attempt of this instance that is in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stream {
    pub(crate) ticket: Ticket,
    pub(crate) start: Instant,
    pub(crate) last: Instant,
    pub(crate) first_token: bool,
    pub(crate) tokens: u32,
    pub(crate) queued_tokens: f32,
}

/// Routing state of one backend server.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) name: Arc<str>,
    pub(crate) local: bool,
    pub(crate) ring_position: u64,
    pub(crate) models: Vec<ModelKey>,
    pub(crate) loaded: Option<Vec<ModelKey>>,
    pub(crate) concurrency: u32,
    pub(crate) leaving: bool,
    pub(crate) busy_until: Instant,
    pub(crate) headroom: Option<Headroom>,
    pub(crate) streams: Vec<Stream>,
    pub(crate) heard_at: Option<Instant>,
    pub(crate) pending_tokens: u32,
    pub(crate) peer_load: PeerLoad,
    pub(crate) health: Health,
}

impl Entry {
    pub(crate) fn has_loaded(&self, model: ModelKey) -> bool {
        match &self.loaded {
            None => self.models.contains(&model),
            Some(loaded) => loaded.contains(&model),
        }
    }

    pub(crate) fn may_load(&self, model: ModelKey) -> bool {
        self.models.contains(&model) || self.has_loaded(model)
    }

    /// The models by which servers are grouped for comparison.
    pub(crate) fn model_set(&self) -> &[ModelKey] {
        self.loaded.as_deref().unwrap_or(&self.models)
    }

    pub(crate) fn open(&mut self, stream: Stream) {
        self.pending_tokens = self.pending_tokens.saturating_add(stream.tokens);
        self.streams.push(stream);
    }

    pub(crate) fn find(&mut self, ticket: Ticket) -> Option<&mut Stream> {
        self.streams
            .iter_mut()
            .find(|stream| stream.ticket == ticket)
    }

    pub(crate) fn close(&mut self, now: Instant, ticket: Ticket) -> Option<Stream> {
        let position = self.streams.iter().position(|open| open.ticket == ticket)?;
        let stream = self.streams.swap_remove(position);
        if !stream.first_token {
            self.pending_tokens = self.pending_tokens.saturating_sub(stream.tokens);
        }
        self.peer_load.record_end(Span {
            start: stream.start,
            end: now,
        });
        Some(stream)
    }
}
