//! Assembles a document from objects fetched from any source.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fescuewell_core::prelude::*;
use snafu::Snafu;

use super::object::{DecodeError, Object, Root};
use super::{Bundle, FORMAT, MAX_OBJECT_BYTES, Objects, object_name};
use crate::check::MAX_LIST_LEN;
use crate::for_each_section;
use crate::item::Item;
use crate::model::Document;

/// Maximum number of objects in a document.
const MAX_OBJECTS: usize = 4 * MAX_LIST_LEN;
/// Maximum number of directories above a leaf. Each level splits items by at least one bit of their hashes.
const MAX_DEPTH: usize = u128::BITS as usize;

/// Why a document could not be assembled.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The bytes don't match the hash in the name: the object is corrupt or forged. Try another source.
    #[snafu(display("the bytes of object {name} do not match its hash"))]
    Corrupt {
        /// The object's name.
        name: Arc<str>,
    },
    /// The bytes match the hash but are not a valid object of a document.
    #[snafu(display("object {name} is not a valid part of a document"))]
    Malformed {
        /// The object's name.
        name: Arc<str>,
    },
    /// The document was written by a newer version.
    #[snafu(display(
        "the document has format {found}; this version supports formats up to {FORMAT}"
    ))]
    Format {
        /// Format of the document.
        found: u32,
    },
    /// Not all objects have been supplied yet.
    #[snafu(display("{count} objects are still missing"))]
    Incomplete {
        /// Number of objects known to be missing; these may refer to more.
        count: usize,
    },
    /// The document exceeds the maximum number of objects or items.
    #[snafu(display("the document has too many objects"))]
    TooLarge,
}

/// A document that is being assembled.
///
/// [`missing`](Self::missing) objects may be supplied in any order and from any source. Each object is verified
/// against its name, so a faulty store or peer can't change a document.
#[derive(Debug, Clone)]
pub struct Assembly {
    root: Digest,
    known: Objects,
    decoded: BTreeMap<Digest, Object>,
    objects: Objects,
    missing: BTreeSet<Digest>,
}

impl Assembly {
    /// Creates an assembly for the document with this root hash.
    pub fn start(root: Digest) -> Self {
        Self {
            root,
            known: Objects::new(),
            decoded: BTreeMap::new(),
            objects: Objects::new(),
            missing: BTreeSet::from([root]),
        }
    }

    /// Reuses objects that are already verified, such as those of the active document.
    ///
    /// # Errors
    ///
    /// See [`supply`](Self::supply).
    pub fn with_known(mut self, known: &Objects) -> Result<Self, Error> {
        self.known.clone_from(known);
        if let Some(bytes) = known.get(&object_name(self.root)) {
            self.add(self.root, bytes.clone())?;
        }
        Ok(self)
    }

    /// Returns the names of the objects to fetch next. Empty if the document is complete.
    pub fn missing(&self) -> Vec<Arc<str>> {
        self.missing.iter().copied().map(object_name).collect()
    }

    /// Supplies an object. Objects that are not missing are ignored, as responses may be duplicated.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes don't match the hash in the name, can't be decoded, or exceed a limit.
    pub fn supply(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        let parsed = u128::from_str_radix(name, 16).map(Digest);
        let Ok(digest) = parsed else { return Ok(()) };
        if !self.missing.contains(&digest) {
            return Ok(());
        }
        if bytes.len() > MAX_OBJECT_BYTES || Digest::of(bytes) != digest {
            return Err(Error::Corrupt { name: name.into() });
        }
        self.add(digest, bytes.into())
    }

    /// Returns the document, with each section sorted by name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Incomplete`] if objects are missing, [`Error::Malformed`] if the items can't be decoded,
    /// and [`Error::TooLarge`] if a section has too many items.
    pub fn finish(&self) -> Result<Document, Error> {
        if !self.missing.is_empty() {
            let count = self.missing.len();
            return Err(Error::Incomplete { count });
        }
        let root = self.root_object()?;
        let mut document = Document::default();
        for_each_section!(T => {
            if let Some(name) = root.sections.get(&T::SECTION) {
                self.collect::<T>(parse_name(name)?, MAX_DEPTH, T::list_mut(&mut document))?;
            }
        });
        crate::item::sort(&mut document);
        Ok(document)
    }

    /// Returns the collected objects, for reuse by the next assembly.
    pub fn into_bundle(self) -> Bundle {
        Bundle {
            root: self.root,
            objects: self.objects,
        }
    }

    fn root_object(&self) -> Result<&Root, Error> {
        match self.decoded.get(&self.root) {
            Some(Object::Root(root)) => Ok(root),
            _ => Err(malformed(self.root)),
        }
    }

    /// Adds a verified object and all known objects reachable from it.
    fn add(&mut self, digest: Digest, bytes: Arc<[u8]>) -> Result<(), Error> {
        let mut pending = vec![(digest, bytes)];
        while let Some((digest, bytes)) = pending.pop() {
            let object = Object::decode(&bytes, FORMAT).map_err(|e| decode_error(digest, &e))?;
            if self.decoded.len() >= MAX_OBJECTS {
                return Err(Error::TooLarge);
            }
            for child in children(&object)? {
                if self.decoded.contains_key(&child) {
                    continue;
                }
                match self.known.get(&object_name(child)) {
                    Some(bytes) => pending.push((child, bytes.clone())),
                    None => {
                        self.missing.insert(child);
                    }
                }
            }
            self.missing.remove(&digest);
            self.decoded.insert(digest, object);
            self.objects.insert(object_name(digest), bytes);
        }
        Ok(())
    }

    fn collect<T>(&self, digest: Digest, depth: usize, items: &mut Vec<T>) -> Result<(), Error>
    where
        T: Item,
    {
        match self.decoded.get(&digest) {
            Some(Object::Leaf(bytes)) => decode_items(digest, bytes, items),
            Some(Object::Pieces(pieces)) => decode_items(digest, &self.join_pieces(pieces)?, items),
            Some(Object::Directory(entries)) if depth > 0 => {
                for entry in entries {
                    self.collect(*entry, depth - 1, items)?;
                }
                Ok(())
            }
            _ => Err(malformed(digest)),
        }
    }

    fn join_pieces(&self, pieces: &[Digest]) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        for digest in pieces {
            match self.decoded.get(digest) {
                Some(Object::Piece(piece)) => bytes.extend_from_slice(piece),
                _ => return Err(malformed(*digest)),
            }
        }
        Ok(bytes)
    }
}

fn decode_items<T>(digest: Digest, bytes: &[u8], items: &mut Vec<T>) -> Result<(), Error>
where
    T: Item,
{
    let decoded: Vec<T> = postcard::from_bytes(bytes).map_err(|_| malformed(digest))?;
    if items.len() + decoded.len() > MAX_LIST_LEN {
        return Err(Error::TooLarge);
    }
    items.extend(decoded);
    Ok(())
}

fn children(object: &Object) -> Result<Vec<Digest>, Error> {
    match object {
        Object::Root(root) => root
            .sections
            .values()
            .map(|name| parse_name(name))
            .collect(),
        Object::Directory(entries) | Object::Pieces(entries) => Ok(entries.clone()),
        Object::Leaf(_) | Object::Piece(_) => Ok(Vec::new()),
    }
}

fn parse_name(name: &str) -> Result<Digest, Error> {
    let digits = u128::from_str_radix(name, 16);
    digits
        .map(Digest)
        .map_err(|_| Error::Malformed { name: name.into() })
}

fn decode_error(digest: Digest, reason: &DecodeError) -> Error {
    match *reason {
        DecodeError::Malformed => malformed(digest),
        DecodeError::Format(found) => Error::Format { found },
    }
}

fn malformed(digest: Digest) -> Error {
    Error::Malformed {
        name: object_name(digest),
    }
}
