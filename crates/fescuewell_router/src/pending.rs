//! Pending requests: sends events of the data plane to the decision thread and returns its verdicts.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use fescuewell_core::prelude::*;
use fescuewell_node::event::Event as NodeEvent;
use fescuewell_node::request::{Ticket, Verdict};

/// Capacity of the channel of verdicts of one request; each attempt gets one verdict.
const MAX_QUEUED_VERDICTS: usize = 4;

/// The channel to the decision thread and the requests that wait for its verdicts.
pub struct PendingRequests {
    events: flume::Sender<NodeEvent>,
    waiting: Mutex<HashMap<Ticket, flume::Sender<Verdict>>>,
    next: AtomicU64,
}

/// Registration of one request; dropping it while a verdict is outstanding withdraws the request.
pub struct Registration<'a> {
    pending: &'a PendingRequests,
    verdicts: flume::Receiver<Verdict>,
    /// Identifies the request within this process.
    pub ticket: Ticket,
    awaits_verdict: bool,
}

impl PendingRequests {
    /// Creates an empty set of requests that sends its events to `events`.
    pub fn new(events: flume::Sender<NodeEvent>) -> Self {
        Self {
            events,
            waiting: Mutex::default(),
            next: AtomicU64::new(1),
        }
    }

    /// Registers a new request.
    pub fn register(&self) -> Registration<'_> {
        let ticket = Ticket(self.next.fetch_add(1, Ordering::Relaxed));
        let (sender, verdicts) = flume::bounded(MAX_QUEUED_VERDICTS);
        self.lock().insert(ticket, sender);
        Registration {
            pending: self,
            verdicts,
            ticket,
            awaits_verdict: false,
        }
    }

    /// Delivers a verdict to its request; ignores it when the request is no longer registered.
    pub fn deliver_verdict(&self, ticket: Ticket, verdict: Verdict) {
        let sender = self.lock().get(&ticket).cloned();
        if let Some(sender) = sender {
            let _ = sender.try_send(verdict);
        }
    }

    /// Number of registered requests.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no request is registered.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Sends an event that must not be lost; waits while the channel is full.
    pub async fn send(&self, event: NodeEvent) {
        let _ = self.events.send_async(event).await;
    }

    /// Sends an event that may be lost; drops it when the channel is full.
    pub fn try_send(&self, event: NodeEvent) {
        let _ = self.events.try_send(event);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Ticket, flume::Sender<Verdict>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Registration<'_> {
    /// Sends the request's first event and waits for the verdict.
    ///
    /// # Errors
    ///
    /// [`Code::Overloaded`] when the channel is full: waiting here would add a second queue in front of the
    /// request queue, and its length would not be counted. [`Code::Internal`] when the process ends.
    pub async fn submit(&mut self, event: NodeEvent) -> Result<Verdict, Refusal> {
        if self.pending.events.try_send(event).is_err() {
            return Err(
                Refusal::new(Code::Overloaded).with_retry_after(std::time::Duration::from_secs(1))
            );
        }
        self.awaits_verdict = true;
        self.verdict().await
    }

    /// Reports how the attempt ended and waits for the next verdict.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] when the process ends.
    pub async fn report(&mut self, event: NodeEvent) -> Result<Verdict, Refusal> {
        self.awaits_verdict = true;
        self.pending.send(event).await;
        self.verdict().await
    }

    async fn verdict(&mut self) -> Result<Verdict, Refusal> {
        let verdict = self.verdicts.recv_async().await;
        self.awaits_verdict = false;
        verdict.map_err(|_| Refusal::new(Code::Internal))
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.pending.lock().remove(&self.ticket);
        // The caller disconnected before the verdict: without this event the request would keep its claim,
        // hold and queue position.
        if self.awaits_verdict {
            self.pending.try_send(NodeEvent::Withdrawn {
                ticket: self.ticket,
            });
        }
    }
}
