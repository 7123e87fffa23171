//! Macros for the sets of derives that are common in the workspace.
//!
//! Use [`key!`](crate::key) for small `Copy` identifiers, [`data!`](crate::data) for data that is stored or
//! sent, and [`message!`](crate::message) for events and actions within a process.
//!
//! ```
//! fescuewell_core::key! {
//!     /// Index of a shelf.
//!     pub struct ShelfKey(pub u32);
//! }
//! assert!(ShelfKey(1) < ShelfKey(2));
//! ```

/// Adds the derives of a small `Copy` identifier: ordering, hashing, serialization and a default.
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

/// Adds the derives of data that is stored or sent: equality, cloning and serialization.
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Adds the derives of events and actions within a process: debug output, cloning and equality.
#[macro_export]
macro_rules! message {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq)]
            $item
        )*
    };
}
