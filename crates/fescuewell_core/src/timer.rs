//! The timer service: one thread that sends ticks to whoever subscribed.

use std::sync::Arc;
use std::time::Duration;

use crate::time::{Clock, Instant};

/// Names a subscription in the ticks that it receives.
pub type Name = &'static str;

/// One tick of a subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// Which subscription this tick belongs to.
    pub name: Name,
    /// The clock's time when the tick was sent.
    pub now: Instant,
}

/// What a subscriber asks for.
pub struct Subscription {
    /// Name carried by each tick.
    pub name: Name,
    /// Time between two ticks.
    pub period: Duration,
    /// Takes a tick; returns `false` once the subscriber is gone.
    pub deliver: Box<dyn FnMut(Tick) -> bool + Send>,
}

/// Handle to the timer thread. The thread ends when the last handle is dropped.
#[derive(Clone)]
pub struct Service {
    requests: flume::Sender<Subscription>,
}

/// How many subscriptions may wait for the timer thread to take them up.
const PENDING_SUBSCRIPTIONS: usize = 64;

impl Service {
    /// Starts the timer thread.
    ///
    /// # Panics
    ///
    /// When the operating system cannot start a thread.
    pub fn start(clock: Arc<dyn Clock>) -> Self {
        let (requests, inbox) = flume::bounded(PENDING_SUBSCRIPTIONS);
        std::thread::Builder::new()
            .name("timer".into())
            .spawn(move || run(&*clock, &inbox))
            .expect("the operating system starts threads");
        Self { requests }
    }

    /// Adds a subscription.
    ///
    /// A tick that its subscriber has no room for should be dropped by `deliver`, not waited for:
    /// the next one carries the same news, and a slow subscriber must not delay the others.
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
    // After a pause of the whole process the missed ticks are skipped, not delivered in a burst.
    *due = now + subscription.period;
    let name = subscription.name;
    (subscription.deliver)(Tick { name, now })
}
