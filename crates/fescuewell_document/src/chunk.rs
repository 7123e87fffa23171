//! Splits a document into content-addressed objects, such that a small change only replaces a few of them.
//!
//! The items of a section are distributed by the hash of their names over leaves of at most
//! [`MAX_LEAF_BYTES`] bytes. Directories contain the hashes of up to [`FANOUT`] leaves or directories, and the
//! root contains one hash per section. The name of an object is the hash of its bytes. The objects depend only
//! on the set of items, not on the order of edits, so two consoles that store the same document store the same
//! objects, and a change of one item changes one leaf and the directories above it.
//!
//! The root contains a format number. Items are encoded with postcard, which doesn't write field names, so any
//! change of the model's types requires a new [`FORMAT`], and the old types must be kept to read the old format.
//!
//! ```
//! use fescuewell_document::chunk::{Assembly, split};
//! use fescuewell_document::prelude::*;
//! let kind = Kind { name: "urgent".into(), priority: 0, floor_percent: 0, deadline_ms: 500 };
//! let document = Document { kinds: vec![kind], ..Document::default() };
//! let bundle = split(&document);
//!
//! let mut assembly = Assembly::start(bundle.root);
//! while let Some(name) = assembly.missing().into_iter().next() {
//!     assembly.supply(&name, &bundle.objects[&name]).unwrap();
//! }
//! assert_eq!(assembly.finish().unwrap(), document);
//! ```

mod assembly;
mod object;

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;

pub use assembly::{Assembly, Error};
use object::{Object, Root};

use crate::for_each_section;
use crate::item::Item;
use crate::model::Document;

/// Format that this version writes, and the highest that it reads.
pub const FORMAT: u32 = 1;
/// Maximum size of a leaf's items in bytes. A leaf with its header is smaller than 3 KB.
pub const MAX_LEAF_BYTES: usize = 2_048;
/// Maximum number of entries of a directory.
pub const FANOUT: usize = 32;
/// Maximum size of an object that is stored or accepted, in bytes.
pub const MAX_OBJECT_BYTES: usize = 3_000;
/// Number of bits in an item's hash, the maximum depth of the tree.
const HASH_BITS: u32 = u128::BITS;

/// Objects by name. The name is the hash of the bytes in hexadecimal digits.
pub type Objects = BTreeMap<Arc<str>, Arc<[u8]>>;

/// All objects of one document.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Bundle {
    /// Hash of the root object.
    pub root: Digest,
    /// All objects, including the root.
    pub objects: Objects,
}

impl Bundle {
    /// Returns the objects missing from `known`, which must be stored or fetched.
    pub fn missing_from<'a>(
        &'a self,
        known: &'a Objects,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a Arc<[u8]>)> {
        let objects = self.objects.iter();
        objects.filter(|(name, _)| !known.contains_key(*name))
    }

    fn add(&mut self, object: &Object) -> Digest {
        let bytes = object.encode();
        let digest = Digest::of(&bytes);
        self.objects.insert(object_name(digest), bytes.into());
        digest
    }
}

/// Returns the name of the object with this hash.
pub fn object_name(digest: Digest) -> Arc<str> {
    digest.to_string().into()
}

/// Splits a document into objects.
pub fn split(document: &Document) -> Bundle {
    let mut bundle = Bundle::default();
    let mut root = Root::new(FORMAT);
    for_each_section!(T => {
        if let Some(digest) = split_section::<T>(document, &mut bundle) {
            root.sections.insert(T::SECTION, object_name(digest));
        }
    });
    bundle.root = bundle.add(&Object::Root(root));
    bundle
}

/// An encoded item with the hash of its name, which determines its leaf.
struct HashedItem {
    hash: u128,
    bytes: Vec<u8>,
}

fn split_section<T>(document: &Document, bundle: &mut Bundle) -> Option<Digest>
where
    T: Item,
{
    let mut items = Vec::with_capacity(T::list(document).len());
    for item in T::list(document) {
        items.push(HashedItem {
            hash: Digest::of(item.name().as_bytes()).0,
            bytes: postcard::to_allocvec(item).unwrap_or_default(),
        });
    }
    items.sort_by(|a, b| (a.hash, &a.bytes).cmp(&(b.hash, &b.bytes)));
    let entries = store_items(&items, 0, bundle);
    match entries.len() {
        0 => None,
        _ => Some(store_directory(entries, bundle)),
    }
}

/// Returns the only entry, or the hash of a new directory of all entries.
fn store_directory(entries: Vec<Digest>, bundle: &mut Bundle) -> Digest {
    match entries.as_slice() {
        [only] => *only,
        _ => bundle.add(&Object::Directory(entries)),
    }
}

/// Stores items whose hashes have the first `depth` bits in common, and returns the top-level entries.
fn store_items(items: &[HashedItem], depth: u32, bundle: &mut Bundle) -> Vec<Digest> {
    if items.is_empty() {
        return Vec::new();
    }
    let size: usize = items.iter().map(|item| item.bytes.len()).sum();
    if size <= MAX_LEAF_BYTES {
        return vec![bundle.add(&Object::Leaf(encode_leaf(items)))];
    }
    if items.len() == 1 || depth == HASH_BITS {
        return vec![store_pieces(&encode_leaf(items), bundle)];
    }
    let bit = 1u128 << (HASH_BITS - 1 - depth);
    let middle = items.partition_point(|item| item.hash & bit == 0);
    let mut left = store_items(&items[..middle], depth + 1, bundle);
    let right = store_items(&items[middle..], depth + 1, bundle);
    if left.len() + right.len() <= FANOUT {
        left.extend(right);
        return left;
    }
    vec![
        store_directory(left, bundle),
        store_directory(right, bundle),
    ]
}

/// Encodes a list of encoded items in the same way as postcard.
fn encode_leaf(items: &[HashedItem]) -> Vec<u8> {
    let mut bytes = postcard::to_allocvec(&items.len()).unwrap_or_default();
    for item in items {
        bytes.extend_from_slice(&item.bytes);
    }
    bytes
}

/// Splits a leaf that is too large for one object, such as an item with long lists, into pieces.
fn store_pieces(leaf: &[u8], bundle: &mut Bundle) -> Digest {
    let mut pieces = Vec::new();
    for piece in leaf.chunks(MAX_LEAF_BYTES) {
        pieces.push(bundle.add(&Object::Piece(piece.to_vec())));
    }
    bundle.add(&Object::Pieces(pieces))
}
