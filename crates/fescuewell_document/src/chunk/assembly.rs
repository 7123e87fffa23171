//! Collecting the objects of one document, from whatever source has them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fescuewell_core::prelude::*;
use snafu::Snafu;

use super::object::{Object, Root, Unreadable};
use super::{Bundle, FORMAT, MAX_OBJECT_BYTES, Objects, name_of};
use crate::check::MAX_LIST_LEN;
use crate::for_each_section;
use crate::item::Item;
use crate::model::Document;

/// Most objects that one document may have.
const MOST_OBJECTS: usize = 4 * MAX_LIST_LEN;
/// Most directories above a leaf; each level parts items by at least one bit of their hashes.
const DEEPEST: usize = u128::BITS as usize;

/// Why a document could not be put together.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The bytes are not those that the name stands for: a damaged or forged object. Ask elsewhere.
    #[snafu(display("object {name} does not have the bytes that its name stands for"))]
    Corrupt {
        /// The object's name.
        name: Arc<str>,
    },
    /// The bytes are genuine but are no object of a document.
    #[snafu(display("object {name} is not part of a document"))]
    Malformed {
        /// The object's name.
        name: Arc<str>,
    },
    /// The document was written by a newer program.
    #[snafu(display("the document has format {found}; this program reads up to {FORMAT}"))]
    Format {
        /// Its format.
        found: u32,
    },
    /// Not everything has been supplied yet.
    #[snafu(display("{count} objects are still missing"))]
    Incomplete {
        /// How many are known to be missing; they may name more.
        count: usize,
    },
    /// The document has more objects than any document may have.
    #[snafu(display("the document has too many objects"))]
    TooLarge,
}

/// A document that is being collected.
///
/// Objects may arrive in any order once they are [`missing`](Self::missing) and from any source: each is
/// verified against its name, so that a faulty store or peer cannot change a document.
#[derive(Debug, Clone)]
pub struct Assembly {
    root: Digest,
    known: Objects,
    have: BTreeMap<Digest, Object>,
    objects: Objects,
    wanted: BTreeSet<Digest>,
}

impl Assembly {
    /// Starts with nothing but the root's hash.
    pub fn start(root: Digest) -> Self {
        Self {
            root,
            known: Objects::new(),
            have: BTreeMap::new(),
            objects: Objects::new(),
            wanted: BTreeSet::from([root]),
        }
    }

    /// Reuses objects that were verified before, those of the document in force for instance.
    ///
    /// # Errors
    ///
    /// Like [`supply`](Self::supply).
    pub fn with_known(mut self, known: &Objects) -> Result<Self, Error> {
        self.known.clone_from(known);
        if let Some(bytes) = known.get(&name_of(self.root)) {
            self.take(self.root, bytes.clone())?;
        }
        Ok(self)
    }

    /// Names of the objects to fetch next; empty when the document is complete.
    pub fn missing(&self) -> Vec<Arc<str>> {
        self.wanted.iter().copied().map(name_of).collect()
    }

    /// Takes an object in. One that is not wanted is ignored, since answers may come twice.
    ///
    /// # Errors
    ///
    /// When the bytes are not what the name stands for, or are no part of a document this program reads.
    pub fn supply(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        let wanted = u128::from_str_radix(name, 16).map(Digest);
        let Ok(digest) = wanted else { return Ok(()) };
        if !self.wanted.contains(&digest) {
            return Ok(());
        }
        if bytes.len() > MAX_OBJECT_BYTES || Digest::of(bytes) != digest {
            return Err(Error::Corrupt { name: name.into() });
        }
        self.take(digest, bytes.into())
    }

    /// The document, its sections sorted by name.
    ///
    /// # Errors
    ///
    /// [`Error::Incomplete`], or [`Error::Malformed`] when the items cannot be decoded.
    pub fn finish(&self) -> Result<Document, Error> {
        if !self.wanted.is_empty() {
            let count = self.wanted.len();
            return Err(Error::Incomplete { count });
        }
        let root = self.root_object()?;
        let mut document = Document::default();
        for_each_section!(T => {
            if let Some(name) = root.sections.get(&T::SECTION) {
                self.collect::<T>(digest_of(name)?, DEEPEST, T::list_mut(&mut document))?;
            }
        });
        crate::item::sort(&mut document);
        Ok(document)
    }

    /// The objects that were collected, for reuse by the next assembly.
    pub fn into_bundle(self) -> Bundle {
        Bundle {
            root: self.root,
            objects: self.objects,
        }
    }

    fn root_object(&self) -> Result<&Root, Error> {
        match self.have.get(&self.root) {
            Some(Object::Root(root)) => Ok(root),
            _ => Err(malformed(self.root)),
        }
    }

    /// Takes in a verified object and whatever of the known ones it leads to.
    fn take(&mut self, digest: Digest, bytes: Arc<[u8]>) -> Result<(), Error> {
        let mut open = vec![(digest, bytes)];
        while let Some((digest, bytes)) = open.pop() {
            let object = Object::decode(&bytes, FORMAT).map_err(|e| unreadable(digest, &e))?;
            if self.have.len() >= MOST_OBJECTS {
                return Err(Error::TooLarge);
            }
            for child in children(&object)? {
                if self.have.contains_key(&child) {
                    continue;
                }
                match self.known.get(&name_of(child)) {
                    Some(bytes) => open.push((child, bytes.clone())),
                    None => {
                        self.wanted.insert(child);
                    }
                }
            }
            self.wanted.remove(&digest);
            self.have.insert(digest, object);
            self.objects.insert(name_of(digest), bytes);
        }
        Ok(())
    }

    fn collect<T>(&self, digest: Digest, depth: usize, items: &mut Vec<T>) -> Result<(), Error>
    where
        T: Item,
    {
        match self.have.get(&digest) {
            Some(Object::Leaf(bytes)) => decode_items(digest, bytes, items),
            Some(Object::Pieces(pieces)) => decode_items(digest, &self.joined(pieces)?, items),
            Some(Object::Directory(entries)) if depth > 0 => {
                for entry in entries {
                    self.collect(*entry, depth - 1, items)?;
                }
                Ok(())
            }
            _ => Err(malformed(digest)),
        }
    }

    fn joined(&self, pieces: &[Digest]) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        for digest in pieces {
            match self.have.get(digest) {
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
        Object::Root(root) => root.sections.values().map(|name| digest_of(name)).collect(),
        Object::Directory(entries) | Object::Pieces(entries) => Ok(entries.clone()),
        Object::Leaf(_) | Object::Piece(_) => Ok(Vec::new()),
    }
}

fn digest_of(name: &str) -> Result<Digest, Error> {
    let digits = u128::from_str_radix(name, 16);
    digits
        .map(Digest)
        .map_err(|_| Error::Malformed { name: name.into() })
}

fn unreadable(digest: Digest, reason: &Unreadable) -> Error {
    match *reason {
        Unreadable::Malformed => malformed(digest),
        Unreadable::Format(found) => Error::Format { found },
    }
}

fn malformed(digest: Digest) -> Error {
    Error::Malformed {
        name: name_of(digest),
    }
}
