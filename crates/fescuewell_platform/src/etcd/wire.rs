//! Messages of the etcd v3 JSON gateway, as far as they are used here.
//!
//! Keys and values are base64 text, 64-bit integers are decimal strings (a number is taken too),
//! and fields that are zero, false or empty are left out of replies.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fescuewell_core::table::{Compare as Condition, Outcome, Range, Row, Transaction, Write};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::Snafu;

use super::{compared_keys, last_writes};

/// Bytes that travel as base64 text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Base64(pub Vec<u8>);

/// A 64-bit integer that travels as a decimal string.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Int64(pub u64);

/// A key that starts every other key: the service's way to say "from the first key on".
const FIRST_KEY: &[u8] = &[0];
/// A range end that stands for "to the last key".
const NO_END: &[u8] = &[0];

/// Why a reply makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A key is not text.
    #[snafu(display("a key in the reply is not text"))]
    Key,
    /// A stored row or a commit without a revision.
    #[snafu(display("the reply lacks a revision"))]
    Revision,
    /// A row that was not asked for.
    #[snafu(display("the reply has a row that was not asked for"))]
    Stray,
}

/// Body of `POST /v3/kv/range`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRequest {
    /// First key.
    pub key: Base64,
    /// End of the range, exclusive; empty for the one key alone.
    #[serde(default, skip_serializing_if = "Base64::is_empty")]
    pub range_end: Base64,
    /// Most rows to return; 0 for all.
    #[serde(default, skip_serializing_if = "Int64::is_zero")]
    pub limit: Int64,
}

/// A row as the gateway shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Base64,
    /// Revision of the last write.
    #[serde(default)]
    pub mod_revision: Int64,
    /// The content.
    #[serde(default)]
    pub value: Base64,
}

/// Head of every reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Header {
    /// Revision of the whole store.
    #[serde(default)]
    pub revision: Int64,
}

/// Reply of `POST /v3/kv/range`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RangeResponse {
    /// Head of the reply.
    #[serde(default)]
    pub header: Header,
    /// The rows, in key order.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// How to compare; only equality is used.
    pub result: Relation,
    /// What to compare; only the revision of the last write is used.
    pub target: Target,
    /// The row's key.
    pub key: Base64,
    /// The revision that it must have.
    #[serde(default)]
    pub mod_revision: Int64,
}

/// How two numbers are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Relation {
    /// They are equal.
    Equal,
}

/// What of a row is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The revision of its last write.
    Mod,
}

/// Writes a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The row's key.
    pub key: Base64,
    /// Its new content.
    #[serde(default)]
    pub value: Base64,
}

/// Removes a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRangeRequest {
    /// The row's key.
    pub key: Base64,
}

/// One operation of a transaction's branch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOp {
    /// Reads.
    RequestRange(RangeRequest),
    /// Writes a row.
    RequestPut(PutRequest),
    /// Removes a row.
    RequestDeleteRange(DeleteRangeRequest),
}

/// Body of `POST /v3/kv/txn`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest {
    /// All must hold.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// What to do when they do.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// What to do when one does not.
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// Reply to one operation; only reads carry something that is used.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ResponseOp {
    /// Reply to a read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Reply of `POST /v3/kv/txn`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Head of the reply.
    pub header: Header,
    /// Whether the conditions held.
    #[serde(default)]
    pub succeeded: bool,
    /// Replies to the branch that was taken.
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

impl RangeRequest {
    /// Asks for one row.
    pub fn key(key: &str) -> Self {
        Self {
            key: key.into(),
            range_end: Base64::default(),
            limit: Int64::default(),
        }
    }
}

impl From<&Range> for RangeRequest {
    fn from(range: &Range) -> Self {
        let prefix = range.prefix.as_bytes();
        let first = match &range.after {
            Some(after) if after.as_bytes() >= prefix => successor(after.as_bytes()),
            _ if prefix.is_empty() => FIRST_KEY.to_vec(),
            _ => prefix.to_vec(),
        };
        Self {
            key: Base64(first),
            range_end: Base64(prefix_end(prefix)),
            limit: Int64(range.limit.into()),
        }
    }
}

/// The smallest key after `key`.
fn successor(key: &[u8]) -> Vec<u8> {
    let mut next = key.to_vec();
    next.push(0);
    next
}

/// The smallest key after all that start with `prefix`.
fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    NO_END.to_vec()
}

impl From<&Transaction> for TxnRequest {
    fn from(transaction: &Transaction) -> Self {
        let read_back = |key: &Arc<str>| RequestOp::RequestRange(RangeRequest::key(key));
        let failure = compared_keys(&transaction.compares);
        let success = last_writes(&transaction.writes);
        Self {
            compare: transaction.compares.iter().map(Compare::from).collect(),
            success: success.into_iter().map(RequestOp::from).collect(),
            failure: failure.into_iter().map(read_back).collect(),
        }
    }
}

impl From<&Condition> for Compare {
    fn from(condition: &Condition) -> Self {
        Self {
            result: Relation::Equal,
            target: Target::Mod,
            key: condition.key.as_ref().into(),
            mod_revision: Int64(condition.revision),
        }
    }
}

impl From<&Write> for RequestOp {
    fn from(write: &Write) -> Self {
        match write {
            Write::Delete { key } => Self::RequestDeleteRange(DeleteRangeRequest {
                key: key.as_ref().into(),
            }),
            Write::Put { key, value } => Self::RequestPut(PutRequest {
                key: key.as_ref().into(),
                value: Base64(value.to_vec()),
            }),
        }
    }
}

impl RangeResponse {
    /// The rows of the reply.
    ///
    /// # Errors
    ///
    /// When a key is not text or a row has no revision.
    pub fn rows(self) -> Result<Vec<Row>, Error> {
        self.kvs.into_iter().map(KeyValue::row).collect()
    }
}

impl KeyValue {
    fn row(self) -> Result<Row, Error> {
        if self.mod_revision.0 == 0 {
            return Err(Error::Revision);
        }
        let key = String::from_utf8(self.key.0).map_err(|_| Error::Key)?;
        Ok(Row {
            key: key.into(),
            value: self.value.0.into(),
            revision: self.mod_revision.0,
        })
    }
}

impl From<&Row> for KeyValue {
    fn from(row: &Row) -> Self {
        Self {
            key: row.key.as_ref().into(),
            mod_revision: Int64(row.revision),
            value: Base64(row.value.to_vec()),
        }
    }
}

impl TxnResponse {
    /// What became of `transaction`.
    ///
    /// # Errors
    ///
    /// When the reply cannot be one to this transaction. It must then count as lost.
    pub fn outcome(self, transaction: &Transaction) -> Result<Outcome, Error> {
        if self.succeeded {
            let revision = self.header.revision.0;
            if revision == 0 && !transaction.writes.is_empty() {
                return Err(Error::Revision);
            }
            return Ok(Outcome::Committed { revision });
        }
        let asked = compared_keys(&transaction.compares);
        let mut rows = Vec::with_capacity(asked.len());
        for response in self.responses {
            rows.extend(response.response_range.unwrap_or_default().rows()?);
        }
        if !rows.iter().all(|row| asked.contains(&&row.key)) {
            return Err(Error::Stray);
        }
        Ok(Outcome::Conflict { rows })
    }
}

impl Base64 {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<&str> for Base64 {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Base64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

impl Int64 {
    fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Int64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(&self.0)
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum TextOrNumber {
    Text(String),
    Number(u64),
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        match TextOrNumber::deserialize(deserializer)? {
            TextOrNumber::Number(number) => Ok(Self(number)),
            TextOrNumber::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}
