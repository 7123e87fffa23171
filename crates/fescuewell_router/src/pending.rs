//! Where the data plane and the decision thread meet: events one way, verdicts the other.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use fescuewell_core::prelude::*;
use fescuewell_node::event::Event as NodeEvent;
use fescuewell_node::request::{Ticket, Verdict};

/// Verdicts that may wait for one request; there is one for each attempt.
const WAITING_VERDICTS: usize = 4;

/// The ring to the decision thread and the requests that wait for its verdicts.
pub struct Desk {
    ring: flume::Sender<NodeEvent>,
    waiting: Mutex<HashMap<Ticket, flume::Sender<Verdict>>>,
    next: AtomicU64,
}

/// A request's place at the desk; leaving it tells the decision thread if no verdict came.
pub struct Place<'a> {
    desk: &'a Desk,
    verdicts: flume::Receiver<Verdict>,
    /// The request's name in this process.
    pub ticket: Ticket,
    is_open: bool,
}

impl Desk {
    /// A desk that puts its events into `ring`.
    pub fn new(ring: flume::Sender<NodeEvent>) -> Self {
        Self {
            ring,
            waiting: Mutex::default(),
            next: AtomicU64::new(1),
        }
    }

    /// Takes a place for a new request.
    pub fn take_place(&self) -> Place<'_> {
        let ticket = Ticket(self.next.fetch_add(1, Ordering::Relaxed));
        let (sender, verdicts) = flume::bounded(WAITING_VERDICTS);
        self.lock().insert(ticket, sender);
        Place {
            desk: self,
            verdicts,
            ticket,
            is_open: false,
        }
    }

    /// Hands a verdict to the request that waits for it; it may have left.
    pub fn hand_out(&self, ticket: Ticket, verdict: Verdict) {
        let sender = self.lock().get(&ticket).cloned();
        if let Some(sender) = sender {
            let _ = sender.try_send(verdict);
        }
    }

    /// How many requests have a place.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no request has a place.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Tells the decision thread something that must not be lost; waits for room in the ring.
    pub async fn tell(&self, event: NodeEvent) {
        let _ = self.ring.send_async(event).await;
    }

    /// Tells the decision thread something that the next event of its kind makes up for.
    pub fn hint(&self, event: NodeEvent) {
        let _ = self.ring.try_send(event);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Ticket, flume::Sender<Verdict>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place<'_> {
    /// Puts the request's first event into the ring and waits for the verdict.
    ///
    /// # Errors
    ///
    /// [`Code::Overloaded`] when the ring is full: better a truthful refusal now than a queue before
    /// the queue, whose length nobody counts.
    pub async fn open(&mut self, event: NodeEvent) -> Result<Verdict, Refusal> {
        if self.desk.ring.try_send(event).is_err() {
            return Err(
                Refusal::new(Code::Overloaded).with_retry_after(std::time::Duration::from_secs(1))
            );
        }
        self.is_open = true;
        self.next().await
    }

    /// Tells how the attempt ended and waits for the next verdict.
    ///
    /// # Errors
    ///
    /// When the process ends.
    pub async fn again(&mut self, event: NodeEvent) -> Result<Verdict, Refusal> {
        self.is_open = true;
        self.desk.tell(event).await;
        self.next().await
    }

    async fn next(&mut self) -> Result<Verdict, Refusal> {
        let verdict = self.verdicts.recv_async().await;
        self.is_open = false;
        verdict.map_err(|_| Refusal::new(Code::Internal))
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.desk.lock().remove(&self.ticket);
        // The caller went away while no verdict had come: claim, hold and place in the queue would be
        // kept for nobody.
        if self.is_open {
            self.desk.hint(NodeEvent::Withdrawn {
                ticket: self.ticket,
            });
        }
    }
}
