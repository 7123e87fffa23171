//! Where the configuration and the list of backend servers come from.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_forward::config::Configuration;
use fescuewell_forward::evacuation::Order;
use fescuewell_forward::server::Update;

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

/// A configuration that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable {
    /// Version of its row.
    pub version: u64,
    /// What is wrong with it.
    pub reason: Arc<str>,
}

/// What the operator has written.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Word {
    /// The newest configuration, if the reading holds one.
    pub configuration: Option<Configuration>,
    /// A configuration that the reading holds and that this program cannot read.
    pub unreadable: Option<Unreadable>,
    /// Evacuations of availability zones that the reading holds.
    pub evacuations: Vec<Order>,
}

/// The configuration and the list of backend servers.
pub trait Source: Send + Sync {
    /// All that the operator has written and not taken back.
    fn word(&self) -> Pending<'_, News<Word>>;

    /// What the operator has written or taken back after `version`, waiting up to `wait` for something.
    fn word_after(&self, version: u64, wait: Duration) -> Pending<'_, News<Word>>;

    /// All backend servers.
    fn servers(&self) -> Pending<'_, News<Vec<Update>>>;

    /// Changes of backend servers after `version`, waiting up to `wait` for one.
    fn servers_after(&self, version: u64, wait: Duration) -> Pending<'_, News<Vec<Update>>>;
}
