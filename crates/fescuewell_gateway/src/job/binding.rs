//! Binding of a stream to the software version of the backend servers that began it.

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::server::{Build, Entry};

use super::Job;

/// The software version that may send a request's events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Binding {
    /// No event has been forwarded, so any version may.
    Free,
    /// Only this version, which sent the first event.
    Bound(Build),
    /// None: the version that sent the first event is not known.
    Unknown,
}

impl Binding {
    /// Returns the version to which servers are limited.
    pub(crate) fn build(self) -> Option<Build> {
        match self {
            Self::Bound(build) => Some(build),
            Self::Free | Self::Unknown => None,
        }
    }
}

impl Job {
    /// Returns the refusal of a stream of whose version no server accepts requests.
    pub(crate) fn version_gone(&self) -> Refusal {
        if let Some(build) = self.binding.build() {
            self.gateway.metrics.count_resumption("any", "version_gone");
            log_event!(Event::VersionGone, "request={} build={build}", self.id);
        }
        Refusal::new(Code::VersionGone)
    }

    /// Binds the stream to the version of the server whose event is the first to be forwarded.
    pub(crate) fn bind_to(&mut self, server: &Entry) {
        if self.binding == Binding::Free {
            self.binding = server.build().map_or(Binding::Unknown, Binding::Bound);
        }
    }
}
