//! Waiting for the signals that ask a process to stop or to read its settings again.

use flume::Receiver;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::cli::Error;

/// What was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// To end.
    Stop,
    /// To read the settings again.
    Reload,
}

/// The signals, listened for from construction on.
pub struct Listener(Signals);

impl Listener {
    /// Begins to listen.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] when the operating system refuses.
    pub fn start() -> Result<Self, Error> {
        let signals = Signals::new([SIGINT, SIGTERM, SIGHUP]).map_err(Error::failed)?;
        Ok(Self(signals))
    }

    /// Waits for the next signal.
    pub fn wait(&mut self) -> Action {
        match self.0.forever().next() {
            Some(SIGHUP) => Action::Reload,
            _ => Action::Stop,
        }
    }

    /// Passes the signals to a channel, for a process that waits for something else too.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] when no thread can be started.
    pub fn into_channel(mut self) -> Result<Receiver<Action>, Error> {
        let (sender, receiver) = flume::bounded(4);
        std::thread::Builder::new()
            .name("signals".into())
            .spawn(move || while sender.send(self.wait()).is_ok() {})
            .map_err(Error::failed)?;
        Ok(receiver)
    }

    /// Waits until the process is asked to end.
    pub fn wait_for_stop(&mut self) {
        while self.wait() != Action::Stop {}
    }
}
