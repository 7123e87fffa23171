//! The table service's protocol over the in-memory table.

use std::collections::BTreeSet;

use fescuewell_core::table::{Error, Outcome, Row, Table as _, Transaction};
use fescuewell_platform::etcd::wire::{
    Base64, Header, Int64, KeyValue, RangeRequest, RangeResponse, RequestOp, ResponseOp,
    TxnRequest, TxnResponse,
};
use fescuewell_platform::memory;

use super::route::{Answer, error, json};

/// Most operations in one branch of a transaction, as in etcd's default settings.
const OPERATION_LIMIT: usize = 128;

/// What is wrong with a request, in etcd's own words where it has some.
type Invalid = &'static str;

const NOT_TEXT: Invalid = "a key is not text";
const EMPTY_KEY: Invalid = "etcdserver: key is not provided";
const DUPLICATE: Invalid = "etcdserver: duplicate key given in txn request";
const TOO_MANY: Invalid = "etcdserver: too many operations in txn request";
const NOT_SUPPORTED: Invalid = "the stand-in does not support this operation";

pub(super) fn answer(table: &memory::Table, operation: &str, body: &[u8]) -> Answer {
    let answered = match operation {
        "range" => parse(body).map(|request| range(table, request)),
        "txn" => parse(body).map(|request| transact(table, request)),
        _ => return error(404, "there is nothing at this path"),
    };
    match answered {
        Ok(Ok(answer)) => answer,
        Ok(Err(invalid)) => error(400, invalid),
        Err(reason) => error(400, &reason.to_string()),
    }
}

fn parse<Message>(body: &[u8]) -> Result<Message, serde_json::Error>
where
    Message: serde::de::DeserializeOwned,
{
    serde_json::from_slice(body)
}

fn failed(error: &Error) -> Answer {
    match error {
        Error::Busy => super::route::error(429, "etcdserver: too many requests"),
        Error::Unreachable { .. } | Error::Unknown { .. } => Answer::None,
    }
}

fn text(key: Base64) -> Result<String, Invalid> {
    if key.0.is_empty() {
        return Err(EMPTY_KEY);
    }
    String::from_utf8(key.0).map_err(|_| NOT_TEXT)
}

fn range(table: &memory::Table, request: RangeRequest) -> Result<Answer, Invalid> {
    let limit = u32::try_from(request.limit.0).unwrap_or(u32::MAX);
    let start = text(request.key)?;
    Ok(match table.range(&start, &request.range_end.0, limit) {
        Ok(rows) => json(&range_response(&rows)),
        Err(error) => failed(&error),
    })
}

fn range_response(rows: &[Row]) -> RangeResponse {
    RangeResponse {
        header: Header::default(),
        kvs: rows.iter().map(KeyValue::from).collect(),
    }
}

fn transact(table: &memory::Table, request: TxnRequest) -> Result<Answer, Invalid> {
    let wanted = read_back_keys(&request)?;
    let answered = request.success.len();
    let transaction = transaction(request)?;
    Ok(match table.commit(&transaction) {
        Err(error) => failed(&error),
        Ok(Outcome::Committed { revision }) => json(&TxnResponse {
            header: Header {
                revision: Int64(revision),
            },
            succeeded: true,
            responses: vec![ResponseOp::default(); answered],
        }),
        Ok(Outcome::Conflict { rows }) => json(&TxnResponse {
            header: Header::default(),
            succeeded: false,
            responses: wanted.iter().map(|key| response(&rows, key)).collect(),
        }),
    })
}

fn response(rows: &[Row], key: &str) -> ResponseOp {
    let found: Vec<Row> = rows
        .iter()
        .filter(|row| &*row.key == key)
        .cloned()
        .collect();
    ResponseOp {
        response_range: Some(range_response(&found)),
    }
}

fn transaction(request: TxnRequest) -> Result<Transaction, Invalid> {
    if request.success.len() > OPERATION_LIMIT || request.compare.len() > OPERATION_LIMIT {
        return Err(TOO_MANY);
    }
    let mut transaction = Transaction::default();
    for compare in request.compare {
        transaction = transaction.with_compare(text(compare.key)?, compare.mod_revision.0);
    }
    let mut written = BTreeSet::new();
    for operation in request.success {
        let key = match operation {
            RequestOp::RequestRange(_) => return Err(NOT_SUPPORTED),
            RequestOp::RequestPut(put) => {
                let key = text(put.key)?;
                transaction = transaction.with_put(key.as_str(), put.value.0);
                key
            }
            RequestOp::RequestDeleteRange(delete) => {
                let key = text(delete.key)?;
                transaction = transaction.with_delete(key.as_str());
                key
            }
        };
        if !written.insert(key) {
            return Err(DUPLICATE);
        }
    }
    Ok(transaction)
}

/// The keys that the failure branch reads. Only compared keys can be read there.
fn read_back_keys(request: &TxnRequest) -> Result<Vec<String>, Invalid> {
    if request.failure.len() > OPERATION_LIMIT {
        return Err(TOO_MANY);
    }
    let mut keys = Vec::with_capacity(request.failure.len());
    for operation in &request.failure {
        let RequestOp::RequestRange(range) = operation else {
            return Err(NOT_SUPPORTED);
        };
        let compared = request
            .compare
            .iter()
            .any(|compare| compare.key == range.key);
        if !range.range_end.0.is_empty() || !compared {
            return Err(NOT_SUPPORTED);
        }
        keys.push(text(range.key.clone())?);
    }
    Ok(keys)
}
