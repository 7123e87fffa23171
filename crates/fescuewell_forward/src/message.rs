//! Authenticated messages between instances.
//!
//! Messages are not encrypted; a keyed hash proves that the sender knows the fleet's key.
//!
//! ```
//! use fescuewell_forward::loan::Request;
//! use fescuewell_forward::message::{Key, Message};
//!
//! let request = Request {
//!     id: 1,
//!     account: "group".into(),
//!     required_tokens: 4_000,
//!     wanted_tokens: 9_000,
//!     sent_at_ms: 5,
//! };
//! let key = Key::new([7; 32]);
//! let bytes = key.seal(&Message::LoanRequest(request.clone()));
//! assert_eq!(key.open(&bytes), Some(Message::LoanRequest(request)));
//! assert_eq!(Key::new([8; 32]).open(&bytes), None);
//! ```

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::condition::limit;
use crate::config;
use crate::crash;
use crate::directory::summary::Summary;
use crate::health::failure;
use crate::loan;
use crate::relay::{self, Digest};
use crate::snapshot;
use crate::stream;

/// First byte of every authenticated message. Load reports are not authenticated and begin with the
/// length of a name, which is never 0.
pub const FORMAT: u8 = 0;
/// Size of the authentication tag in bytes: 128 bits of a keyed hash.
const TAG_BYTES: usize = 16;

/// Message between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a loan of tokens.
    LoanRequest(loan::Request),
    /// Grants or declines a loan.
    LoanResponse(loan::Response),
    /// Changes of the server list.
    Digest(Digest),
    /// Records of requests that crash backend servers.
    Crashes(Vec<crash::Update>),
    /// Asks for these records after a start.
    CrashesWanted,
    /// Asks for a snapshot; see [`crate::snapshot`].
    SnapshotWanted(snapshot::Request),
    /// Summary of the members of a large fleet.
    Summary(Summary),
    /// Request rates that backend servers accept from the whole fleet.
    Limits(Vec<limit::Update>),
    /// Failures of model engines.
    Failures(failure::Batch),
    /// A change of the configuration.
    Configuration(config::Change),
    /// Software versions that began streams.
    StreamRecords(stream::Batch),
    /// Asks for the software version that began a stream.
    StreamQuery(stream::Query),
    /// Answers such a query.
    StreamAnswer(stream::Answer),
    /// Asks for changes of the server list; answered by digests.
    ListQuery(relay::Query),
    /// Records of parts of prompts that crash backend servers.
    PartCrashes(Vec<crash::Update>),
}

/// Secret key of the fleet; messages of senders without it are ignored.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Key(..)")
    }
}

impl Key {
    /// Creates a key from random bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes for storage.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Encodes and authenticates a message.
    pub fn seal(&self, message: &Message) -> Vec<u8> {
        self.seal_content(message)
    }

    /// Verifies and decodes a message. Returns `None` if it is malformed or was not sealed with
    /// this key.
    pub fn open(&self, bytes: &[u8]) -> Option<Message> {
        self.open_content(bytes)
    }

    /// Encodes and authenticates content that is not sent as a message.
    pub fn seal_content<Content>(&self, content: &Content) -> Vec<u8>
    where
        Content: Serialize,
    {
        // Fails only for types that cannot be serialized at all.
        let content = postcard::to_allocvec(content).unwrap_or_default();
        let mut bytes = Vec::with_capacity(1 + TAG_BYTES + content.len());
        bytes.push(FORMAT);
        bytes.extend_from_slice(&self.tag(&content));
        bytes.extend_from_slice(&content);
        bytes
    }

    /// Verifies and decodes such content. Returns `None` if it is malformed or was not sealed with
    /// this key.
    pub fn open_content<Content>(&self, bytes: &[u8]) -> Option<Content>
    where
        Content: DeserializeOwned,
    {
        let authenticated = bytes.strip_prefix(&[FORMAT])?;
        let (tag, content) = authenticated.split_at_checked(TAG_BYTES)?;
        // `Hash` compares in constant time.
        let padded = |truncated: &[u8]| {
            let mut full = [0; blake3::OUT_LEN];
            full[..TAG_BYTES].copy_from_slice(truncated);
            blake3::Hash::from_bytes(full)
        };
        if padded(tag) != padded(&self.tag(content)) {
            return None;
        }
        postcard::from_bytes(content).ok()
    }

    fn tag(&self, content: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.0, content);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }
}
