//! Traits of the platform's object store and instance list, which adapters implement.

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::Snafu;

/// A failed call to a platform service.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{service} did not respond: {reason}"))]
pub struct Error {
    /// Name of the service.
    pub service: &'static str,
    /// Error reported by the adapter.
    pub reason: Arc<str>,
}

/// The platform's object store. Objects are named by the hash of their content and are immutable.
pub trait ObjectStore: Send + Sync {
    /// Stores an object. The call is idempotent.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't respond. The object may have been stored.
    fn put(&self, name: &str, content: &[u8]) -> Result<(), Error>;

    /// Fetches an object, or returns `None` if there is no object with this name.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't respond.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error>;
}

crate::data! {
    /// State of an instance or backend server in the instance list.
    #[derive(Copy)]
    pub enum State {
        /// In service.
        Live,
        /// Shutting down: it must not be sent new requests.
        Leaving,
        /// Terminated permanently: its processes have exited and won't be restarted with this incarnation.
        Terminated,
    }

    /// Role of the process at an address of the instance list.
    #[derive(Copy)]
    pub enum Role {
        /// An entry instance of this fleet.
        Entry,
        /// A model engine.
        Engine,
        /// A service without models.
        Service,
    }

    /// An entry of the instance list.
    pub struct Listing {
        /// Name of the instance or backend server.
        pub name: Arc<str>,
        /// Its role.
        pub role: Role,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: Arc<str>,
        /// Its last known state.
        pub state: State,
    }
}

/// The platform's instance list, which may lag behind the actual state.
pub trait InstanceList: Send + Sync {
    /// Returns the current list.
    ///
    /// # Errors
    ///
    /// Returns an error if the list can't be fetched.
    fn list(&self) -> Result<Vec<Listing>, Error>;
}
