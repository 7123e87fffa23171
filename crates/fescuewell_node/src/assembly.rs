//! Assembles a document from fetched objects, for the propagation state machine.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::Row;
use fescuewell_document::chunk::{Assembly, Error, Objects};
use fescuewell_document::head;
use fescuewell_document::model::Document;
use fescuewell_membership::gossip::Head;
use fescuewell_membership::propagate::{Assembler, Rejection};

/// The document being assembled and the objects of the current one.
#[derive(Debug, Default)]
pub struct Collector {
    assembly: Option<Assembly>,
    objects: Objects,
}

impl Collector {
    /// Returns an object of the current document, to serve it to peers.
    pub fn object(&self, name: &str) -> Option<&Arc<[u8]>> {
        self.objects.get(name)
    }

    /// Returns the assembled document. Its objects replace those of the previous document.
    ///
    /// # Errors
    ///
    /// Returns an error if an object is missing or cannot be decoded.
    pub fn finish(&mut self) -> Result<Document, Error> {
        let Some(assembly) = self.assembly.take() else {
            return Ok(Document::default());
        };
        let document = assembly.finish()?;
        self.objects = assembly.into_bundle().objects;
        Ok(document)
    }
}

impl Assembler for Collector {
    fn head(&self, row: &Row) -> Result<Head, Rejection> {
        let head = head::Head::decode(row).map_err(|_| Rejection::Unreadable)?;
        if head.format > fescuewell_document::chunk::FORMAT {
            return Err(Rejection::Unreadable);
        }
        Ok(Head {
            version: head.version,
            root: head.root,
        })
    }

    fn start(&mut self, root: Digest) -> Result<(), Rejection> {
        let assembly = Assembly::start(root).with_known(&self.objects);
        self.assembly = Some(assembly.map_err(|_| Rejection::Unreadable)?);
        Ok(())
    }

    fn missing(&self) -> Vec<Arc<str>> {
        self.assembly
            .as_ref()
            .map(Assembly::missing)
            .unwrap_or_default()
    }

    fn supply(&mut self, name: &str, bytes: &[u8]) -> Result<(), Rejection> {
        let Some(assembly) = &mut self.assembly else {
            return Ok(());
        };
        assembly.supply(name, bytes).map_err(|error| match error {
            Error::Corrupt { .. } => Rejection::Corrupt,
            _ => Rejection::Unreadable,
        })
    }
}
