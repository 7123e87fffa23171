//! Macros that apply the workspace's common sets of derives.
//!
//! Use [`key!`](crate::key) for small `Copy` identifiers and [`data!`](crate::data) for plain data
//! that is stored or sent.
//!
//! ```
//! fescuewell_core::key! {
//!     /// Index of a shelf.
//!     pub struct ShelfKey(pub u32);
//! }
//! assert!(ShelfKey(1) < ShelfKey(2));
//! ```

/// Derives the set of a small `Copy` identifier: ordered, hashable, serializable, with a default.
#[macro_export]
macro_rules! key {
    ($($item:item)*) => {
        $(
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            $item
        )*
    };
}

/// Derives the set of plain data that is stored or sent: comparable, cloneable, serializable.
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Derives the set of in-process events and actions: printable, cloneable and comparable.
#[macro_export]
macro_rules! message {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq)]
            $item
        )*
    };
}
