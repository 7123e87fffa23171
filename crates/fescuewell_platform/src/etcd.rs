//! Client of the table service: the JSON gateway of the etcd v3 key-value API.
//!
//! Only `POST /v3/kv/txn` and `POST /v3/kv/range` are used. A row's revision is its `mod_revision`;
//! each condition is a compare of target `MOD` with result `EQUAL` (0 for an absent row). A failed
//! transaction reads back the compared keys in its failure branch, so that a conflict costs no
//! second request.
//!
//! Source of the protocol: the etcd API reference for v3 and its page on the gRPC gateway. The service
//! allows 128 operations in a transaction unless it is configured otherwise, and 1.5 MiB a request.

pub mod wire;

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_core::table::{self, Compare, Error, Outcome, Range, Row, Transaction, Write};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::{Client, Exchange, Failure};
use crate::settings;

const TRANSACTION_PATH: &str = "/v3/kv/txn";
const RANGE_PATH: &str = "/v3/kv/range";

/// The table service behind its JSON gateway.
pub struct Table {
    client: Client,
}

impl Table {
    /// A client for the service at `endpoint`. Opens no connection yet.
    ///
    /// # Errors
    ///
    /// When the address is not usable or the token cannot be read.
    pub fn new(endpoint: &settings::Endpoint) -> Result<Self, settings::Error> {
        let client = Client::new(endpoint)?;
        Ok(Self { client })
    }

    fn call<Request, Response>(&self, path: &str, request: &Request) -> Result<Response, Error>
    where
        Request: Serialize,
        Response: DeserializeOwned,
    {
        let body = serde_json::to_vec(request).map_err(|error| not_sent(&error.to_string()))?;
        let exchange = self.client.post(path, body).map_err(lost)?;
        check_status(&exchange)?;
        serde_json::from_slice(&exchange.body).map_err(|error| unknown(&error.to_string()))
    }

    fn range(&self, request: &wire::RangeRequest) -> Result<Vec<Row>, Error> {
        let response: wire::RangeResponse = self.call(RANGE_PATH, request)?;
        response.rows().map_err(|error| unknown(&error.to_string()))
    }
}

impl table::Table for Table {
    fn commit(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        let request = wire::TxnRequest::from(transaction);
        let response: wire::TxnResponse = self.call(TRANSACTION_PATH, &request)?;
        let outcome = response.outcome(transaction);
        outcome.map_err(|error| unknown(&error.to_string()))
    }

    fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let rows = self.range(&wire::RangeRequest::key(key))?;
        Ok(rows.into_iter().find(|row| &*row.key == key))
    }

    fn scan(&self, range: &Range) -> Result<Vec<Row>, Error> {
        self.range(&wire::RangeRequest::from(range))
    }
}

fn unknown(reason: &str) -> Error {
    let reason = reason.into();
    Error::Unknown { reason }
}

fn not_sent(reason: &str) -> Error {
    let reason = reason.into();
    Error::Unreachable { reason }
}

fn lost(failure: Failure) -> Error {
    match failure {
        Failure::Refused(reason) => Error::Unreachable { reason },
        Failure::Lost(reason) => Error::Unknown { reason },
    }
}

/// Text with which the service says that it refused a request before it looked at it.
const TOO_MANY_REQUESTS: &str = "too many requests";

/// Sorts a reply's status into "done", "nothing written" and "may have been written".
///
/// etcd answers 503 both when it takes no more requests and when a write was proposed but not
/// confirmed in time. Only the first means that nothing was written; taking the second for it
/// would let the caller write again what is already there, so a 503 counts as unknown unless its text
/// says that the request was refused.
fn check_status(exchange: &Exchange) -> Result<(), Error> {
    let status = exchange.status;
    let refused = || {
        let text = String::from_utf8_lossy(&exchange.body);
        text.contains(TOO_MANY_REQUESTS)
    };
    match status {
        200 => Ok(()),
        429 => Err(Error::Busy),
        503 if refused() => Err(Error::Busy),
        400..=407 | 409..=499 => Err(not_sent(&format!("refused with status {status}"))),
        _ => Err(unknown(&format!("status {status}"))),
    }
}

/// The writes of a transaction, at most one for each key: the service refuses a transaction that
/// writes a key twice, while [`Transaction`] applies its writes in order.
fn last_writes(writes: &[Write]) -> Vec<&Write> {
    let mut last = BTreeMap::new();
    for write in writes {
        let (Write::Put { key, .. } | Write::Delete { key }) = write;
        last.insert(key, write);
    }
    last.into_values().collect()
}

fn compared_keys(compares: &[Compare]) -> Vec<&Arc<str>> {
    let mut keys: Vec<_> = compares.iter().map(|compare| &compare.key).collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}
