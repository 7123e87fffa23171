//! Encoding of objects: a tag byte followed by the content.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::item::Section;

const ROOT: u8 = b'R';
const DIRECTORY: u8 = b'D';
const LEAF: u8 = b'L';
const PIECES: u8 = b'P';
const PIECE: u8 = b'B';
/// Size of a hash in a directory, in bytes.
const DIGEST_BYTES: usize = 16;

fescuewell_core::data! {
    /// Content of the root object. It is encoded as JSON so that every version can read the format number.
    pub(super) struct Root {
        /// Format of all objects of the document.
        pub format: u32,
        /// Name of the top object of each non-empty section.
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

/// The part of a root that is common to all formats.
#[derive(serde::Deserialize)]
struct FormatOnly {
    format: u32,
}

/// A decoded object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Object {
    /// The root of a document.
    Root(Root),
    /// Hashes of leaves or directories, ordered by the hashes of their items.
    Directory(Vec<Digest>),
    /// A list of items, encoded with postcard.
    Leaf(Vec<u8>),
    /// Hashes of the pieces of a leaf that is too large for one object.
    Pieces(Vec<Digest>),
    /// Piece of such a leaf.
    Piece(Vec<u8>),
}

/// Why an object could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum DecodeError {
    /// The bytes are not a valid object.
    Malformed,
    /// The root has a format that this version doesn't support.
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

    pub(super) fn decode(bytes: &[u8], max_format: u32) -> Result<Self, DecodeError> {
        let (&tag, content) = bytes.split_first().ok_or(DecodeError::Malformed)?;
        match tag {
            ROOT => decode_root(content, max_format).map(Self::Root),
            DIRECTORY => digests(content).map(Self::Directory),
            LEAF => Ok(Self::Leaf(content.to_vec())),
            PIECES => digests(content).map(Self::Pieces),
            PIECE => Ok(Self::Piece(content.to_vec())),
            _ => Err(DecodeError::Malformed),
        }
    }
}

fn decode_root(content: &[u8], max_format: u32) -> Result<Root, DecodeError> {
    // Decode the format number first: a root of a later format may have sections that are unknown to this
    // version, and must be rejected because of its format rather than as malformed.
    let FormatOnly { format } =
        serde_json::from_slice(content).map_err(|_| DecodeError::Malformed)?;
    if format > max_format {
        return Err(DecodeError::Format(format));
    }
    serde_json::from_slice(content).map_err(|_| DecodeError::Malformed)
}

fn digest_bytes(digests: &[Digest]) -> Vec<u8> {
    digests.iter().flat_map(|d| d.0.to_le_bytes()).collect()
}

fn digests(content: &[u8]) -> Result<Vec<Digest>, DecodeError> {
    let (chunks, rest) = content.as_chunks::<DIGEST_BYTES>();
    if !rest.is_empty() || chunks.is_empty() {
        return Err(DecodeError::Malformed);
    }
    let digests = chunks.iter().map(|c| Digest(u128::from_le_bytes(*c)));
    Ok(digests.collect())
}
