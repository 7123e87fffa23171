//! A document as content-addressed objects, cut so that a change costs each instance little.
//!
//! The items of a section are spread by the hash of their names over leaves of at most [`MAX_LEAF_BYTES`]
//! bytes; directories list the hashes of up to [`FANOUT`] leaves or directories; the root lists one hash for each
//! section. Which objects there are depends only on the set of items, not on the order of edits, so that
//! two consoles that store the same document store the same objects, and a change of one item changes one leaf
//! and the directories above it. Every object is named by the hash of its bytes.
//!
//! The root carries a format number. Items are encoded by postcard, which writes no field names: any change
//! of the model's types needs a new [`FORMAT`], and the old types kept for reading the old one.
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

/// Format that this program writes, and the highest that it reads.
pub const FORMAT: u32 = 1;
/// Most bytes of a leaf's items. With its header a leaf stays below 3 KB.
pub const MAX_LEAF_BYTES: usize = 2_048;
/// Most entries of one directory.
pub const FANOUT: usize = 32;
/// Largest object that is stored or taken in, in bytes.
pub const MAX_OBJECT_BYTES: usize = 3_000;
/// Bits of the hash that places an item.
const HASH_BITS: u32 = u128::BITS;

/// Objects by name; the name is the hash of the bytes in hexadecimal digits.
pub type Objects = BTreeMap<Arc<str>, Arc<[u8]>>;

/// All objects of one document.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Bundle {
    /// Hash of the root object.
    pub root: Digest,
    /// Every object, the root included.
    pub objects: Objects,
}

impl Bundle {
    /// The objects that `known` lacks, and that therefore have to be stored or fetched.
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
        self.objects.insert(name_of(digest), bytes.into());
        digest
    }
}

/// The name of the object with this hash.
pub fn name_of(digest: Digest) -> Arc<str> {
    digest.to_string().into()
}

/// Cuts a document into objects.
pub fn split(document: &Document) -> Bundle {
    let mut bundle = Bundle::default();
    let mut root = Root::new(FORMAT);
    for_each_section!(T => {
        if let Some(digest) = split_section::<T>(document, &mut bundle) {
            root.sections.insert(T::SECTION, name_of(digest));
        }
    });
    bundle.root = bundle.add(&Object::Root(root));
    bundle
}

/// An encoded item with the hash that places it.
struct Placed {
    hash: u128,
    bytes: Vec<u8>,
}

fn split_section<T>(document: &Document, bundle: &mut Bundle) -> Option<Digest>
where
    T: Item,
{
    let mut placed = Vec::with_capacity(T::list(document).len());
    for item in T::list(document) {
        placed.push(Placed {
            hash: Digest::of(item.name().as_bytes()).0,
            bytes: postcard::to_allocvec(item).unwrap_or_default(),
        });
    }
    placed.sort_by(|a, b| (a.hash, &a.bytes).cmp(&(b.hash, &b.bytes)));
    let entries = place(&placed, 0, bundle);
    match entries.len() {
        0 => None,
        _ => Some(directory(entries, bundle)),
    }
}

/// One hash that stands for all entries.
fn directory(entries: Vec<Digest>, bundle: &mut Bundle) -> Digest {
    match entries.as_slice() {
        [only] => *only,
        _ => bundle.add(&Object::Directory(entries)),
    }
}

/// Stores items whose hashes agree in the first `depth` bits; gives the entries that lead to them.
fn place(items: &[Placed], depth: u32, bundle: &mut Bundle) -> Vec<Digest> {
    if items.is_empty() {
        return Vec::new();
    }
    let size: usize = items.iter().map(|item| item.bytes.len()).sum();
    if size <= MAX_LEAF_BYTES {
        return vec![bundle.add(&Object::Leaf(leaf(items)))];
    }
    if items.len() == 1 || depth == HASH_BITS {
        return vec![in_pieces(&leaf(items), bundle)];
    }
    let bit = 1u128 << (HASH_BITS - 1 - depth);
    let middle = items.partition_point(|item| item.hash & bit == 0);
    let mut left = place(&items[..middle], depth + 1, bundle);
    let right = place(&items[middle..], depth + 1, bundle);
    if left.len() + right.len() <= FANOUT {
        left.extend(right);
        return left;
    }
    vec![directory(left, bundle), directory(right, bundle)]
}

/// What postcard would write for the list of these items.
fn leaf(items: &[Placed]) -> Vec<u8> {
    let mut bytes = postcard::to_allocvec(&items.len()).unwrap_or_default();
    for item in items {
        bytes.extend_from_slice(&item.bytes);
    }
    bytes
}

/// Stores a leaf that is larger than one object may be: one item with long lists.
fn in_pieces(leaf: &[u8], bundle: &mut Bundle) -> Digest {
    let mut pieces = Vec::new();
    for piece in leaf.chunks(MAX_LEAF_BYTES) {
        pieces.push(bundle.add(&Object::Piece(piece.to_vec())));
    }
    bundle.add(&Object::Pieces(pieces))
}
