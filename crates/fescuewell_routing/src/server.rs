//! What is known of one backend server.

use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::health::Health;
use crate::load::{Others, Span};
use crate::pool::ModelKey;

fescuewell_core::key! {
    /// Names one attempt at a request, unique within this instance.
    pub struct Ticket(pub u64);
}

fescuewell_core::message! {
    /// What the configuration document says of a backend server.
    pub struct Spec {
        /// Its key in this process.
        pub key: ServerKey,
        /// Its name, the same on every instance.
        pub name: Arc<str>,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// Models that it has or may be ordered to load; for a plain service, the names of its services.
        pub models: Vec<Arc<str>>,
        /// Most requests that the whole fleet keeps on it at once.
        pub concurrency: u32,
    }

    /// How an attempt ended.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The whole answer arrived.
        Done,
        /// The server failed or the connection broke.
        Failed,
        /// The stream went silent and was given up.
        Stalled,
        /// The server took no more work.
        Busy,
        /// The caller went away; that says nothing about the server.
        Cancelled,
    }
}

/// For which requests a server has a place within the own limit on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Headroom {
    /// For urgent ones.
    pub urgent: bool,
    /// For all others.
    pub bulk: bool,
}

/// One own attempt that is open.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stream {
    pub(crate) ticket: Ticket,
    pub(crate) start: Instant,
    pub(crate) last: Instant,
    pub(crate) first_token: bool,
    pub(crate) tokens: u32,
    pub(crate) queued_tokens: f32,
}

/// The state kept for one backend server.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) name: Arc<str>,
    pub(crate) local: bool,
    pub(crate) ring: u64,
    pub(crate) models: Vec<ModelKey>,
    pub(crate) loaded: Option<Vec<ModelKey>>,
    pub(crate) concurrency: u32,
    pub(crate) leaving: bool,
    pub(crate) busy_until: Instant,
    pub(crate) room: Option<Headroom>,
    pub(crate) streams: Vec<Stream>,
    pub(crate) pending_tokens: u32,
    pub(crate) others: Others,
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

    /// What it is compared with: servers of the same models.
    pub(crate) fn kind(&self) -> &[ModelKey] {
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
        self.others.ended(Span {
            start: stream.start,
            end: now,
        });
        Some(stream)
    }
}
