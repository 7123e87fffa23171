//! Handling of the signals that stop a process or reload its settings.

use flume::Receiver;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::cli::Error;

/// Action requested by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Stop the process (`SIGINT` or `SIGTERM`).
    Stop,
    /// Reload the settings (`SIGHUP`).
    Reload,
}

/// Receiver of signals. Signals are caught from its creation on.
pub struct Listener(Signals);

impl Listener {
    /// Registers the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Failed`] if the operating system rejects them.
    pub fn start() -> Result<Self, Error> {
        let signals = Signals::new([SIGINT, SIGTERM, SIGHUP]).map_err(Error::failed)?;
        Ok(Self(signals))
    }

    /// Blocks until the next signal.
    pub fn wait(&mut self) -> Action {
        match self.0.forever().next() {
            Some(SIGHUP) => Action::Reload,
            _ => Action::Stop,
        }
    }

    /// Forwards the signals to a channel, for a process that also waits for something else.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Failed`] if the forwarding thread cannot be started.
    pub fn into_channel(mut self) -> Result<Receiver<Action>, Error> {
        let (sender, receiver) = flume::bounded(4);
        std::thread::Builder::new()
            .name("signals".into())
            .spawn(move || while sender.send(self.wait()).is_ok() {})
            .map_err(Error::failed)?;
        Ok(receiver)
    }

    /// Blocks until a signal requests that the process stop.
    pub fn wait_for_stop(&mut self) {
        while self.wait() != Action::Stop {}
    }
}
