//! HTTP handler for snapshots of the server list and the configuration, which other instances
//! request; see [`fescuewell_forward::snapshot`].

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::snapshot::{self, Snapshot, Subject};
use fescuewell_http::listener::{Handler, Reply, Request};
use http::{HeaderMap, StatusCode};
use tokio::time::Instant;

use crate::gateway::{Gateway, State};
use crate::refusal;

/// Path of the snapshots.
pub(crate) const PATH: &str = "/snapshot";
/// Time for which an encoded list of servers is used again. All followers of a zone request it when
/// they start together.
const REUSE_TIME: Duration = Duration::from_millis(300);
/// Age of the server list from which no snapshot of it is given, in milliseconds. A reader's list
/// reaches an age of about a second while nothing changes.
const MAX_AGE_MS: u64 = 1_500;
/// Maximum age of a server list in a snapshot, in milliseconds.
pub(crate) const MAX_LIST_AGE_MS: u64 = MAX_AGE_MS + REUSE_TIME.as_millis() as u64;

/// Responds to requests for snapshots that are sealed with the fleet key.
pub struct SnapshotHandler {
    gateway: Arc<Gateway>,
    /// The last encoded list of servers.
    encoded: Mutex<Option<(Instant, Bytes)>>,
}

impl SnapshotHandler {
    /// Creates a handler.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            encoded: Mutex::default(),
        }
    }

    /// Returns the response to a request, or the code of a refusal.
    fn respond(&self, body: &[u8]) -> Result<Bytes, Code> {
        let key = self.gateway.fleet_key().ok_or(Code::NotReady)?;
        let Some(Message::SnapshotWanted(request)) = key.open(body) else {
            return Err(Code::NoSuchPath);
        };
        let now_ms = self.gateway.now_ms();
        let store_ms = self.gateway.state().quota.store_time(now_ms);
        if !request.is_acceptable(store_ms) {
            return Err(Code::NoSuchPath);
        }
        match request.subject {
            Subject::Servers => self.servers(&key, now_ms),
            Subject::Configuration => self.configuration(&key),
            Subject::ConfigurationAfter(version) => self.changes(&key, version),
        }
    }

    fn servers(&self, key: &Key, now_ms: u64) -> Result<Bytes, Code> {
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((at, bytes)) = encoded.as_ref()
            && at.elapsed() < REUSE_TIME
        {
            return Ok(bytes.clone());
        }
        let servers = {
            let state = self.gateway.state();
            if !is_current(&state, now_ms) {
                return Err(Code::NotReady);
            }
            snapshot::Servers {
                version: state.cursor.version(),
                rows: state.registry.snapshot(now_ms),
            }
        };
        let bytes = Bytes::from(key.seal_content(&Snapshot::Servers(servers)));
        *encoded = Some((Instant::now(), bytes.clone()));
        Ok(bytes)
    }

    fn configuration(&self, key: &Key) -> Result<Bytes, Code> {
        let table = self.gateway.table().ok_or(Code::NotReady)?;
        let configuration = table.configuration().clone();
        let snapshot = Snapshot::Configuration(configuration);
        Ok(Bytes::from(key.seal_content(&snapshot)))
    }
}

impl SnapshotHandler {
    /// Returns the changes after a version, or the whole configuration if they are not known.
    fn changes(&self, key: &Key, version: u64) -> Result<Bytes, Code> {
        let table = self.gateway.table().ok_or(Code::NotReady)?;
        let changes = match table.configuration().version <= version {
            true => Some(Vec::new()),
            false => self.gateway.state().changes.since(version),
        };
        match changes {
            Some(changes) => Ok(Bytes::from(key.seal_content(&Snapshot::Changes(changes)))),
            None => self.configuration(key),
        }
    }
}

/// Returns `true` if the server list is so recent that other instances may use it.
fn is_current(state: &State, now_ms: u64) -> bool {
    let age_ms = state.cursor.age_ms(now_ms);
    age_ms.is_some_and(|age_ms| age_ms < MAX_AGE_MS)
}

impl Handler for SnapshotHandler {
    fn handle(&self, request: Request, reply: Reply) {
        let response = match &*request.path {
            PATH => self.respond(&request.body),
            _ => Err(Code::NoSuchPath),
        };
        match response {
            Ok(body) => reply.send(StatusCode::OK, HeaderMap::new(), body),
            Err(code) => refusal::send(reply, code, None, false),
        }
    }
}
