//! The configuration document: the complete active configuration as one validated value.
//!
//! [`model`] defines the types. Names are unique within their section, and cross-references are by name.
//! [`parse`] reads a document from JSON with comments, [`check`] validates it, [`difference`] compares and
//! merges versions, [`chunk`] splits it into content-addressed objects, [`head`] builds the transaction that
//! accepts it, and [`lookup`] indexes it for routers. This crate opens no sockets and reads no clock.

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

/// Re-exports of the document's types.
pub mod prelude {
    pub use crate::fault::Fault;
    pub use crate::model::{
        Account, Allowance, Call, Document, Group, Key, Kind, Model, Server, ServerRole, Service,
    };
}
