//! The bytes of each object: a tag, then its content.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::item::Section;

const ROOT: u8 = b'R';
const DIRECTORY: u8 = b'D';
const LEAF: u8 = b'L';
const PIECES: u8 = b'P';
const PIECE: u8 = b'B';
/// Bytes of one hash in a directory.
const DIGEST_BYTES: usize = 16;

fescuewell_core::data! {
    /// Content of the root object, as JSON, so that every program can at least read the format number.
    pub(super) struct Root {
        /// Format of everything below.
        pub format: u32,
        /// Name of the object at the top of each section that has items.
        #[serde(default)]
        pub sections: BTreeMap<Section, Arc<str>>,
    }
}

impl Root {
    pub(super) fn new(format: u32) -> Self {
        Self {
            format,
            sections: BTreeMap::new(),
        }
    }
}

/// The part of a root that every format keeps.
#[derive(serde::Deserialize)]
struct FormatOnly {
    format: u32,
}

/// A decoded object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Object {
    /// The top of a document.
    Root(Root),
    /// Hashes of leaves or directories, in the order of the item hashes below them.
    Directory(Vec<Digest>),
    /// A list of items, encoded by postcard.
    Leaf(Vec<u8>),
    /// Hashes of the pieces of one leaf that is too large for an object.
    Pieces(Vec<Digest>),
    /// Part of such a leaf.
    Piece(Vec<u8>),
}

/// Why bytes are no object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Unreadable {
    /// They are not what any object looks like.
    Malformed,
    /// A root of a format that this program does not know.
    Format(u32),
}

impl Object {
    pub(super) fn encode(&self) -> Vec<u8> {
        let (tag, content) = match self {
            Self::Root(root) => (ROOT, serde_json::to_vec(root).unwrap_or_default()),
            Self::Directory(entries) => (DIRECTORY, digest_bytes(entries)),
            Self::Leaf(items) => (LEAF, items.clone()),
            Self::Pieces(entries) => (PIECES, digest_bytes(entries)),
            Self::Piece(bytes) => (PIECE, bytes.clone()),
        };
        let mut bytes = Vec::with_capacity(1 + content.len());
        bytes.push(tag);
        bytes.extend_from_slice(&content);
        bytes
    }

    pub(super) fn decode(bytes: &[u8], newest: u32) -> Result<Self, Unreadable> {
        let (&tag, content) = bytes.split_first().ok_or(Unreadable::Malformed)?;
        match tag {
            ROOT => decode_root(content, newest).map(Self::Root),
            DIRECTORY => digests(content).map(Self::Directory),
            LEAF => Ok(Self::Leaf(content.to_vec())),
            PIECES => digests(content).map(Self::Pieces),
            PIECE => Ok(Self::Piece(content.to_vec())),
            _ => Err(Unreadable::Malformed),
        }
    }
}

fn decode_root(content: &[u8], newest: u32) -> Result<Root, Unreadable> {
    // The number is read by itself first: a root of a later format may have sections whose names
    // this program cannot read, and must be refused for its format rather than as damaged.
    let FormatOnly { format } =
        serde_json::from_slice(content).map_err(|_| Unreadable::Malformed)?;
    if format > newest {
        return Err(Unreadable::Format(format));
    }
    serde_json::from_slice(content).map_err(|_| Unreadable::Malformed)
}

fn digest_bytes(digests: &[Digest]) -> Vec<u8> {
    digests.iter().flat_map(|d| d.0.to_le_bytes()).collect()
}

fn digests(content: &[u8]) -> Result<Vec<Digest>, Unreadable> {
    let (chunks, rest) = content.as_chunks::<DIGEST_BYTES>();
    if !rest.is_empty() || chunks.is_empty() {
        return Err(Unreadable::Malformed);
    }
    let digests = chunks.iter().map(|c| Digest(u128::from_le_bytes(*c)));
    Ok(digests.collect())
}
