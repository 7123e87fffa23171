//! Interning of names as small keys.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::sync::Arc;

/// An arena of names that are indexed by small `Copy` keys.
///
/// ```
/// use fescuewell_core::prelude::*;
/// let mut groups: Interner<GroupKey> = Interner::default();
/// let key = groups.intern("signwise");
/// assert_eq!(groups.get("signwise"), Some(key));
/// assert_eq!(&**groups.name(key), "signwise");
/// ```
#[derive(Debug, Clone)]
pub struct Interner<Key> {
    names: Vec<Arc<str>>,
    index: HashMap<Arc<str>, u32>,
    key: PhantomData<Key>,
}

impl<Key> Default for Interner<Key> {
    fn default() -> Self {
        Self {
            names: Vec::new(),
            index: HashMap::new(),
            key: PhantomData,
        }
    }
}

/// A key that wraps an index into an arena.
pub trait Index: Copy {
    /// Creates a key from an index.
    fn from_index(index: u32) -> Self;
    /// Returns the index.
    fn index(self) -> usize;
}

macro_rules! impl_index {
    ($($key:ident),*) => {
        $(
            impl Index for crate::id::$key {
                fn from_index(index: u32) -> Self {
                    Self(index)
                }
                fn index(self) -> usize {
                    self.0 as usize
                }
            }
        )*
    };
}

impl_index!(
    GroupKey,
    AccountKey,
    InstanceKey,
    ServerKey,
    KindKey,
    ZoneKey
);

impl<Key> Interner<Key>
where
    Key: Index,
{
    /// Returns the key of `name`, adding the name if it is new.
    pub fn intern(&mut self, name: &str) -> Key {
        if let Some(&index) = self.index.get(name) {
            return Key::from_index(index);
        }
        let shared: Arc<str> = name.into();
        let index = self.names.len() as u32;
        self.names.push(shared.clone());
        self.index.insert(shared, index);
        Key::from_index(index)
    }

    /// Returns the key of `name` if it is interned.
    pub fn get(&self, name: &str) -> Option<Key> {
        self.index.get(name).copied().map(Key::from_index)
    }

    /// Returns the name of `key`.
    ///
    /// # Panics
    ///
    /// Panics if `key` belongs to another interner and is out of range.
    pub fn name(&self, key: Key) -> &Arc<str> {
        &self.names[key.index()]
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
