//! The open attempts of one request. A second one is added while the first server is silent, and the one that
//! delivers first is kept.

use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fescuewell_forward::hedge::MAX_OPEN;
use tokio::sync::watch;
use tokio::time::Sleep;

use super::attempt::{Attempt, Response, Step};
use crate::gateway::Gateway;

/// What happened first.
pub(super) enum Signal {
    /// An attempt took a step.
    Step(usize, Step),
    /// The time set by [`Race::wake_at`] has come.
    Woken,
    /// A path to servers was lost, or is back.
    PathChanged,
    /// The shutdown of the instance has begun.
    DrainBegun,
}

/// The open attempts of one request, the oldest first.
pub(crate) struct Race {
    attempts: Vec<Attempt>,
    timer: Pin<Box<Sleep>>,
    path_changes: watch::Receiver<u64>,
    drain_begun: watch::Receiver<bool>,
    /// Id of the server that was asked last, or that delivered.
    server: Arc<str>,
    /// A failure that a server reported while another attempt was open.
    pub(super) failed: Option<Response>,
}

impl Race {
    /// Creates a race without attempts.
    pub(super) fn new(gateway: &Arc<Gateway>) -> Self {
        Self {
            attempts: Vec::with_capacity(MAX_OPEN),
            timer: Box::pin(tokio::time::sleep(Duration::ZERO)),
            path_changes: gateway.path_changes(),
            drain_begun: gateway.drain_begun(),
            server: "-".into(),
            failed: None,
        }
    }

    pub(super) fn push(&mut self, attempt: Attempt) {
        self.server = attempt.permit.server.id.clone();
        self.attempts.push(attempt);
    }

    /// Records which attempt delivered, and keeps it if its stream goes on. Failures of the others no longer count.
    pub(super) fn keep(&mut self, attempt: Attempt, is_stream: bool) {
        self.server = attempt.permit.server.id.clone();
        self.failed = None;
        if is_stream {
            self.attempts.push(attempt);
        }
    }

    /// Takes an attempt out; [`Race::put_back`] undoes that.
    pub(super) fn take(&mut self, index: usize) -> Attempt {
        self.attempts.remove(index)
    }

    pub(super) fn put_back(&mut self, index: usize, attempt: Attempt) {
        self.attempts.insert(index, attempt);
    }

    /// Returns the id of the server that was asked last, or that delivered.
    pub(crate) fn server(&self) -> &Arc<str> {
        &self.server
    }

    /// Returns the oldest attempt. After one has delivered, it is the only one.
    pub(crate) fn first(&self) -> Option<&Attempt> {
        self.attempts.first()
    }

    pub(super) fn attempts(&mut self) -> &mut [Attempt] {
        &mut self.attempts
    }

    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Number of attempts whose head has not been received.
    pub(super) fn opening(&self) -> usize {
        let attempts = self.attempts.iter();
        attempts.filter(|attempt| attempt.is_opening()).count()
    }

    /// Takes all attempts out.
    pub(super) fn take_all(&mut self) -> Vec<Attempt> {
        std::mem::take(&mut self.attempts)
    }

    /// Restarts the measurement of silence, after a time in which nothing was read.
    pub(crate) fn restart_silence(&mut self) {
        let now = Instant::now();
        for attempt in &mut self.attempts {
            attempt.heard_at = now;
        }
    }

    /// Sets when [`Signal::Woken`] comes. A later moment does not move the timer until it fires, since each
    /// chunk moves the moment.
    pub(super) fn wake_at(&mut self, at: Instant) {
        let at = at.into();
        if self.timer.deadline() > at || self.timer.is_elapsed() {
            self.timer.as_mut().reset(at);
        }
    }

    /// Waits for what happens first. Nothing is lost if the future is dropped.
    pub(super) async fn next(&mut self) -> Signal {
        let Self {
            attempts,
            timer,
            path_changes,
            drain_begun,
            ..
        } = self;
        tokio::select! {
            biased;
            (index, step) = next_step(attempts) => Signal::Step(index, step),
            Ok(()) = path_changes.changed() => Signal::PathChanged,
            Ok(()) = drain_begun.changed() => Signal::DrainBegun,
            () = timer => Signal::Woken,
        }
    }
}

async fn next_step(attempts: &mut [Attempt]) -> (usize, Step) {
    match attempts {
        [one] => (0, one.next().await),
        [one, other, ..] => tokio::select! {
            biased;
            step = one.next() => (0, step),
            step = other.next() => (1, step),
        },
        [] => std::future::pending().await,
    }
}
