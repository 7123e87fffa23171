//! The configuration document: the whole configuration in force, as one validated value.
//!
//! [`model`] has its types. Text names are unique within their section; cross-references are by name.

pub mod model;

/// The document's types.
pub mod prelude {
    pub use crate::model::{
        Account, Allowance, Call, Document, Group, Key, Kind, Model, Server, ServerRole, Service,
    };
}
