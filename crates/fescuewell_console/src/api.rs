//! The JSON interface behind `fescuewell config`, and the shapes of its answers.
//!
//! - `GET /api/document[?version=N]`: a [`Stored`] document.
//! - `POST /api/check?base=N`: checks a document (JSON with comments); the [`Accepted`] it would become.
//! - `POST /api/document?base=N[&merge=yes]`: accepts it. `base` is the version that it was made from.
//! - `GET /api/state`: the [live state](crate::live::State).
//!
//! All take `Authorization: Bearer TOKEN` with an operator's token. What fails answers with a [`Failure`].

use std::sync::Arc;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_document::check::check;
use fescuewell_document::difference::{Change, Conflict, compare, merge};
use fescuewell_document::fault::Fault;
use fescuewell_document::model::Document;
use fescuewell_document::parse::read_document;

use crate::store::{Loaded, Store};

/// Most changed items that one answer lists: an import of tens of thousands would make an answer larger than
/// the document.
pub const MOST_CHANGES: usize = 1_000;

fescuewell_core::data! {
    /// A document with its version.
    pub struct Stored {
        /// Its version; 0 when nothing was accepted yet.
        pub version: Version,
        /// The document.
        pub document: Document,
    }

    /// A document that was accepted, or that would be.
    pub struct Accepted {
        /// Its version, or that of the document it was compared with when it was only checked.
        pub version: Version,
        /// What it changes, at most [`MOST_CHANGES`] items.
        pub changes: Vec<Change>,
        /// How many items it changes.
        pub changed_items: usize,
    }

    /// The numbered refusal.
    pub struct Problem {
        /// Number of the result code.
        pub code: u16,
        /// What is wrong, for people.
        pub message: Arc<str>,
        /// Whether the change took effect.
        pub run: Run,
    }

    /// Why something was not done.
    pub struct Failure {
        /// The refusal.
        pub error: Problem,
        /// What is wrong with the document.
        #[serde(default)]
        pub faults: Vec<Fault>,
        /// Version in force, when the document was made from another one.
        #[serde(default)]
        pub current: Option<Version>,
        /// What was accepted since the document's base.
        #[serde(default)]
        pub meanwhile: Vec<Change>,
        /// What both sides changed, differently.
        #[serde(default)]
        pub clashes: Vec<Conflict>,
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self {
            error: Problem {
                code: refusal.code.number(),
                message: refusal.message,
                run: refusal.run,
            },
            faults: Vec::new(),
            current: None,
            meanwhile: Vec::new(),
            clashes: Vec::new(),
        }
    }
}

/// What to do with a posted document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Only tell what it would change.
    Check,
    /// Accept it if nothing else was accepted since its base.
    Apply,
    /// Accept it joined with what was accepted since its base, if the two do not clash.
    Merge,
}

/// Checks or accepts a document that was made from version `base`.
///
/// # Errors
///
/// The failure to answer with.
pub fn submit(
    store: &Store,
    text: &str,
    base: Version,
    purpose: Purpose,
    author: &str,
) -> Result<Accepted, Box<Failure>> {
    let result = try_submit(store, text, base, purpose, author);
    // What the store refuses it has logged itself.
    if let Err(failure) = &result
        && purpose != Purpose::Check
        && (!failure.faults.is_empty() || failure.current.is_some())
    {
        log_event!(
            Event::DocumentRefused,
            "code={} base={} author={author} faults={} clashes={}",
            failure.error.code,
            base.0,
            failure.faults.len(),
            failure.clashes.len()
        );
    }
    result
}

fn try_submit(
    store: &Store,
    text: &str,
    base: Version,
    purpose: Purpose,
    author: &str,
) -> Result<Accepted, Box<Failure>> {
    let document = read_document(text).map_err(invalid)?;
    let current = store.current().map_err(failure)?;
    if purpose == Purpose::Check {
        let changes = compare(&current.document, &document);
        return Ok(accepted(current.version(), changes));
    }
    let after = match base == current.version() {
        true => document,
        false => join(store, &document, base, &current, purpose)?,
    };
    let changes = compare(&current.document, &after);
    let head = store.accept(&current, &after, author).map_err(failure)?;
    Ok(accepted(head.version, changes))
}

fn accepted(version: Version, mut changes: Vec<Change>) -> Accepted {
    let changed_items = changes.len();
    changes.truncate(MOST_CHANGES);
    Accepted {
        version,
        changes,
        changed_items,
    }
}

fn failure(refusal: Refusal) -> Box<Failure> {
    Box::new(refusal.into())
}

fn invalid(faults: Vec<Fault>) -> Box<Failure> {
    let mut failure = failure(Refusal::new(Code::DocumentInvalid));
    failure.faults = faults;
    failure
}

/// Joins a raced document with the one in force, or tells what stands against it.
fn join(
    store: &Store,
    mine: &Document,
    base: Version,
    current: &Loaded,
    purpose: Purpose,
) -> Result<Document, Box<Failure>> {
    let started = store.at(base).map_err(failure)?;
    let mut raced = failure(Refusal::new(Code::DocumentRaced));
    raced.current = Some(current.version());
    raced.meanwhile = compare(&started.document, &current.document);
    raced.meanwhile.truncate(MOST_CHANGES);
    let merged = match merge(&started.document, mine, &current.document) {
        Ok(merged) => merged,
        Err(clashes) => {
            raced.clashes = clashes;
            return Err(raced);
        }
    };
    if purpose != Purpose::Merge {
        return Err(raced);
    }
    let faults = check(&merged);
    match faults.is_empty() {
        true => Ok(merged),
        false => Err(invalid(faults)),
    }
}
