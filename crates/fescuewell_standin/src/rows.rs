//! A stand-in for the users' platform: its store of rows and objects, with faults, over HTTP.
//!
//! | request | what |
//! | --- | --- |
//! | `GET /-/rows-get` | rows of a part, in the order of their keys |
//! | `POST /-/rows-tx` | conditions and writes, atomic |
//! | `GET /-/rows-feed` | changes of a table after a version, waited for |
//! | `PUT /-/blob-put/ID`, `GET /-/blob-get/ID` | an object |
//!
//! Two stand-ins over one [`Content`] are two endpoints of one store. Each has its own [`Fault`], so that one can reject its callers while
//! the other serves.
//!
//! ```
//! use fescuewell_standin::rows::Rows;
//! let store = Rows::start("127.0.0.1:0".parse().unwrap()).unwrap();
//! store.put("op", "", "config", b"{}");
//! assert_eq!(store.get("op", "", "config").as_deref(), Some(&b"{}"[..]));
//! ```

mod content;
mod serve;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fescuewell_http::listener::{self, Handler, Listener};

pub use content::{Content, Copy, Delay};
use serve::Server;

/// Largest object, in bytes.
const MOST_BODY: usize = 64 * 1024 * 1024;

/// Fault injected into calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It does not answer, and does nothing.
    Silent,
    /// It closes the connection and does nothing.
    Reset,
    /// It answers 503 and does nothing.
    Busy,
    /// It does what is asked and does not answer writes.
    LostReplies,
    /// It executes calls and replies after a delay.
    Late(Duration),
    /// It executes writes to a table after a delay, if their conditions hold then, and does not answer them.
    LateWrites(&'static str, Duration),
    /// Feeds hear nothing; all else works.
    SilentFeeds,
    /// Bodies of responses arrive at so many bytes a second, as behind a link that callers fill.
    Narrow(usize),
}

/// How to start a stand-in.
pub struct Settings {
    /// Where it listens; port 0 picks a free one.
    pub address: SocketAddr,
    /// The bearer token that every request must carry, if any.
    pub token: Option<Arc<str>>,
    /// The store's content.
    pub content: Content,
    /// Handler of requests outside the store's protocol.
    pub others: Option<Arc<dyn Handler>>,
    /// Addresses of backend servers, each with the address that the entries returned by this endpoint have
    /// in its place, such as that of a proxy.
    pub reroutes: Vec<(SocketAddr, SocketAddr)>,
}

impl Settings {
    /// Settings of an empty store.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            token: None,
            content: Content::default(),
            others: None,
            reroutes: Vec::new(),
        }
    }

    /// Sets the addresses that replace those of backend servers.
    pub fn with_reroutes(mut self, reroutes: Vec<(SocketAddr, SocketAddr)>) -> Self {
        self.reroutes = reroutes;
        self
    }

    /// Sets the store's content.
    pub fn with_content(mut self, content: Content) -> Self {
        self.content = content;
        self
    }
}

/// A running stand-in.
pub struct Rows {
    content: Content,
    fault: Arc<Mutex<Fault>>,
    listener: Listener,
}

impl Rows {
    /// Starts the stand-in with an empty store.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn start(address: SocketAddr) -> Result<Self, listener::Error> {
        Self::start_with(Settings::new(address))
    }

    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn start_with(settings: Settings) -> Result<Self, listener::Error> {
        let fault = Arc::new(Mutex::new(Fault::None));
        let handler = Arc::new(Server {
            content: settings.content.clone(),
            fault: fault.clone(),
            token: settings.token,
            others: settings.others,
            reroutes: settings.reroutes.into(),
        });
        let mut own = listener::Settings::new(settings.address).with_name("rows");
        own.max_body_bytes = MOST_BODY;
        let listener = Listener::start(own, handler)?;
        Ok(Self {
            content: settings.content,
            fault,
            listener,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// The store's content.
    pub fn content(&self) -> &Content {
        &self.content
    }

    /// Writes a row, as an operator or a backend server does.
    pub fn put(&self, table: &str, part: &str, key: &str, value: &[u8]) -> u64 {
        let place = (table.into(), part.into(), key.into());
        self.content.write(vec![(place, Some(value.into()))])
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, part: &str, key: &str) -> u64 {
        let place = (table.into(), part.into(), key.into());
        self.content.write(vec![(place, None)])
    }

    /// A row's content.
    pub fn get(&self, table: &str, part: &str, key: &str) -> Option<Arc<[u8]>> {
        self.content.value(&(table.into(), part.into(), key.into()))
    }

    /// The rows of a table.
    pub fn table(&self, table: &str) -> Vec<(Arc<str>, Arc<[u8]>)> {
        let rows = self.content.rows(table).into_iter();
        rows.map(|row| (row.key, row.value)).collect()
    }

    /// Sets the fault of this endpoint.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        self.content.wake();
    }

    /// Drops the history: feeds that are behind get 410.
    pub fn compact(&self) {
        self.content.compact();
    }

    /// Everything that is stored in rows, for [`Rows::restore`].
    pub fn copy(&self) -> Copy {
        self.content.copy()
    }

    /// Comes back from a copy: what was written since is gone, and its versions are given out again.
    pub fn restore(&self, copy: &Copy) {
        self.content.restore(copy);
    }

    /// Calls so far, by path.
    pub fn calls(&self, path: &str) -> u64 {
        self.content.calls(path)
    }
}
