//! Where the configuration and the list of backend servers come from.

use std::time::Duration;

use fescuewell_forward::config::Configuration;
use fescuewell_forward::server::Movement;

use crate::store::Pending;

/// A reading of the source.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct News<Content> {
    /// What was read.
    pub content: Content,
    /// From where to go on.
    pub version: u64,
    /// The store's clock in milliseconds.
    pub now_ms: u64,
}

/// The configuration and the list of backend servers.
pub trait Source: Send + Sync {
    /// The newest configuration, if there is one.
    fn configuration(&self) -> Pending<'_, News<Option<Configuration>>>;

    /// The newest configuration accepted after `version`, waiting up to `wait` for one.
    fn configuration_after(
        &self,
        version: u64,
        wait: Duration,
    ) -> Pending<'_, News<Option<Configuration>>>;

    /// All backend servers.
    fn servers(&self) -> Pending<'_, News<Vec<Movement>>>;

    /// Changes of backend servers after `version`, waiting up to `wait` for one.
    fn servers_after(&self, version: u64, wait: Duration) -> Pending<'_, News<Vec<Movement>>>;
}
