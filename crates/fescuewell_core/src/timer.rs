//! The timer service: a thread that sends periodic ticks to its subscribers.

use std::sync::Arc;
use std::time::Duration;

use crate::time::{Clock, Instant};

/// Name of a subscription.
pub type Name = &'static str;

/// One tick of a subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// Name of the subscription.
    pub name: Name,
    /// Time at which the tick was sent.
    pub now: Instant,
}

/// A request for periodic ticks.
pub struct Subscription {
    /// Name included in each tick.
    pub name: Name,
    /// Interval between ticks.
    pub period: Duration,
    /// Delivers a tick. Returns `false` if the subscriber no longer exists.
    pub deliver: Box<dyn FnMut(Tick) -> bool + Send>,
}

/// A handle to the timer thread. The thread exits when the last handle is dropped.
#[derive(Clone)]
pub struct Service {
    requests: flume::Sender<Subscription>,
}

/// Maximum number of subscriptions that the timer thread has not received yet.
const MAX_PENDING_SUBSCRIPTIONS: usize = 64;

impl Service {
    /// Starts the timer thread.
    ///
    /// # Panics
    ///
    /// Panics if the operating system can't start a thread.
    pub fn start(clock: Arc<dyn Clock>) -> Self {
        let (requests, inbox) = flume::bounded(MAX_PENDING_SUBSCRIPTIONS);
        std::thread::Builder::new()
            .name("timer".into())
            .spawn(move || run(&*clock, &inbox))
            .expect("failed to start the timer thread");
        Self { requests }
    }

    /// Adds a subscription.
    ///
    /// `deliver` should drop a tick rather than block if the subscriber's queue is full. The next tick contains
    /// the same information, and a slow subscriber must not delay the others.
    pub fn subscribe<Deliver>(&self, name: Name, period: Duration, deliver: Deliver)
    where
        Deliver: FnMut(Tick) -> bool + Send + 'static,
    {
        let subscription = Subscription {
            name,
            period,
            deliver: Box::new(deliver),
        };
        let _ = self.requests.send(subscription);
    }
}

fn run(clock: &dyn Clock, inbox: &flume::Receiver<Subscription>) {
    let mut entries: Vec<(Instant, Subscription)> = Vec::new();
    loop {
        let now = clock.now();
        entries.retain_mut(|(due, subscription)| deliver_if_due(now, due, subscription));
        let wait = entries.iter().map(|(due, _)| due.since(now)).min();
        let received = match wait {
            None => inbox
                .recv()
                .map_err(|_| flume::RecvTimeoutError::Disconnected),
            Some(wait) => inbox.recv_timeout(wait),
        };
        match received {
            Ok(subscription) => entries.push((clock.now() + subscription.period, subscription)),
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn deliver_if_due(now: Instant, due: &mut Instant, subscription: &mut Subscription) -> bool {
    if now < *due {
        return true;
    }
    // If the process was paused, the missed ticks are skipped rather than delivered in a burst.
    *due = now + subscription.period;
    let name = subscription.name;
    (subscription.deliver)(Tick { name, now })
}
