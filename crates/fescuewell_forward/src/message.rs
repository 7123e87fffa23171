//! Sealed messages between instances.
//!
//! ```
//! use fescuewell_forward::loan::Request;
//! use fescuewell_forward::message::{Key, Message};
//!
//! let ask = Request {
//!     id: 1,
//!     account: "group".into(),
//!     required_tokens: 4_000,
//!     wanted_tokens: 9_000,
//!     sent_at_ms: 5,
//! };
//! let key = Key::new([7; 32]);
//! let bytes = key.seal(&Message::Ask(ask.clone()));
//! assert_eq!(key.open(&bytes), Some(Message::Ask(ask)));
//! assert_eq!(Key::new([8; 32]).open(&bytes), None);
//! ```

use serde::{Deserialize, Serialize};

use crate::crash;
use crate::loan;
use crate::relay::Digest;

/// Leading byte of every sealed message. A load report begins with the length of a name, which is never 0.
pub const FORMAT: u8 = 0;
/// Bytes of the seal: 128 bits of a keyed hash.
const SEAL: usize = 16;

/// What instances say to each other, each proved by the fleet's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Tokens are wanted.
    Ask(loan::Request),
    /// Tokens are given or refused.
    Answer(loan::Response),
    /// What changed in the list of backend servers.
    Digest(Digest),
    /// Requests that crash backend servers.
    Crashes(Vec<crash::Update>),
    /// An instance that has just started asks for those.
    CrashesWanted,
}

/// The fleet's key: only who knows it can ask for tokens, give any, or tell of backend servers.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Key(..)")
    }
}

impl Key {
    /// A key of random bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// The bytes, for the row that keeps them.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// A message as it is sent.
    pub fn seal(&self, message: &Message) -> Vec<u8> {
        // Only a type that cannot be written at all fails here.
        let content = postcard::to_allocvec(message).unwrap_or_default();
        let mut bytes = vec![FORMAT];
        bytes.extend_from_slice(&self.hash(&content));
        bytes.extend_from_slice(&content);
        bytes
    }

    /// Reads a message; nothing if it was not sealed with this key.
    pub fn open(&self, bytes: &[u8]) -> Option<Message> {
        let sealed = bytes.strip_prefix(&[FORMAT])?;
        let (seal, content) = sealed.split_at_checked(SEAL)?;
        // Hashes compare in constant time.
        let padded = |half: &[u8]| {
            let mut whole = [0; blake3::OUT_LEN];
            whole[..SEAL].copy_from_slice(half);
            blake3::Hash::from_bytes(whole)
        };
        if padded(seal) != padded(&self.hash(content)) {
            return None;
        }
        postcard::from_bytes(content).ok()
    }

    fn hash(&self, content: &[u8]) -> [u8; SEAL] {
        let hash = blake3::keyed_hash(&self.0, content);
        let mut seal = [0; SEAL];
        seal.copy_from_slice(&hash.as_bytes()[..SEAL]);
        seal
    }
}
