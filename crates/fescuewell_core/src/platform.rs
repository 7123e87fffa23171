//! The platform's other services as adapters present them: object store and instance list.

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::Snafu;

/// Why a platform service gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{service} gave no answer: {reason}"))]
pub struct Error {
    /// Which service.
    pub service: &'static str,
    /// What the adapter saw.
    pub reason: Arc<str>,
}

/// The platform's object store. Objects are named by their content's hash and never change.
pub trait ObjectStore: Send + Sync {
    /// Stores an object; storing the same one again is harmless.
    ///
    /// # Errors
    ///
    /// When the store gave no answer; the object may have been stored.
    fn put(&self, name: &str, content: &[u8]) -> Result<(), Error>;

    /// Fetches an object, or `None` when there is none of that name.
    ///
    /// # Errors
    ///
    /// When the store gave no answer.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error>;
}

crate::data! {
    /// What the instance list says of an instance or backend server.
    #[derive(Copy)]
    pub enum State {
        /// In service.
        Live,
        /// About to go: give it no new work.
        Leaving,
        /// Gone for good: its processes have ended and will not come back under this incarnation.
        Terminated,
    }

    /// What stands at an address of the instance list.
    #[derive(Copy)]
    pub enum Role {
        /// An entry instance of ours.
        Entry,
        /// A model engine.
        Engine,
        /// A plain service.
        Service,
    }

    /// One line of the instance list.
    pub struct Listing {
        /// Name of the instance or backend server.
        pub name: Arc<str>,
        /// What it is.
        pub role: Role,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// Its state, as far as the list knows.
        pub state: State,
    }
}

/// The platform's instance list, which lags.
pub trait InstanceList: Send + Sync {
    /// The list as the platform knows it now.
    ///
    /// # Errors
    ///
    /// When the list could not be had.
    fn list(&self) -> Result<Vec<Listing>, Error>;
}
