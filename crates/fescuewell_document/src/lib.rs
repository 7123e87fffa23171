//! The configuration document: the whole configuration in force, as one validated value.
//!
//! [`model`] has its types; text names are unique within their section and cross-references are by name.
//! [`parse`] reads it from JSON with comments, [`check`] validates it, [`difference`] compares and merges
//! versions, [`chunk`] cuts it into content-addressed objects, [`head`] builds the transaction that
//! accepts it, and [`lookup`] indexes it for routers. Nothing here opens a socket or reads a clock.

pub mod check;
pub mod chunk;
pub mod difference;
pub mod fault;
pub mod head;
pub mod item;
pub mod key;
pub mod lookup;
pub mod model;
pub mod parse;
pub mod settings;

/// The document's types.
pub mod prelude {
    pub use crate::fault::Fault;
    pub use crate::model::{
        Account, Allowance, Call, Document, Group, Key, Kind, Model, Server, ServerRole, Service,
    };
}
