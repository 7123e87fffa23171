//! Source of the configuration and the backend server list.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_forward::config::Configuration;
use fescuewell_forward::evacuation::Order;
use fescuewell_forward::server::Update;

use crate::store::BoxFuture;

/// Content read from the source, with the version it was read at.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Versioned<Content> {
    /// The content.
    pub content: Content,
    /// Version from which to watch for further changes.
    pub version: u64,
    /// The store's clock, in milliseconds.
    pub now_ms: u64,
}

/// A configuration that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidConfiguration {
    /// Version of its row.
    pub version: u64,
    /// Why it cannot be decoded.
    pub reason: Arc<str>,
}

/// State written by the operator: all of it after a read, and only what has changed after a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorState {
    /// The latest configuration, if the response contains one.
    pub configuration: Option<Configuration>,
    /// A configuration in the response that this program cannot decode.
    pub invalid_configuration: Option<InvalidConfiguration>,
    /// Evacuations of availability zones in the response.
    pub evacuations: Vec<Order>,
}

/// The configuration and the backend server list.
pub trait Source: Send + Sync {
    /// Reads everything that the operator has written and not withdrawn. The response must begin
    /// within `head_timeout`; its content may take longer.
    fn read_state(&self, head_timeout: Duration) -> BoxFuture<'_, Versioned<OperatorState>>;

    /// Returns what the operator has written or withdrawn after `version`, waiting up to `wait` for
    /// a change. The response must begin within `head_timeout`; its content may take longer.
    fn watch_state(
        &self,
        version: u64,
        wait: Duration,
        head_timeout: Duration,
    ) -> BoxFuture<'_, Versioned<OperatorState>>;

    /// Lists all backend servers.
    fn list_servers(&self) -> BoxFuture<'_, Versioned<Vec<Update>>>;

    /// Returns the changes of backend servers after `version`, waiting up to `wait` for a change.
    fn watch_servers(&self, version: u64, wait: Duration) -> BoxFuture<'_, Versioned<Vec<Update>>>;
}
