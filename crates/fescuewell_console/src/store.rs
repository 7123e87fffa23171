//! Reading documents from the platform and accepting new ones.

mod accept;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use fescuewell_core::platform::ObjectStore;
use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Range, Row, Table};
use fescuewell_document::chunk::{self, Assembly};
use fescuewell_document::head::{HEAD_KEY, HISTORY_PREFIX, Head, history_key};
use fescuewell_document::model::Document;

/// Start of the keys of the rows in which instances tell of themselves.
pub const MEMBER_PREFIX: &str = "member/";
/// Documents kept decoded: the one in force, and those that open edits started from.
const DOCUMENTS_KEPT: usize = 4;

/// A document with the head that put it in force.
#[derive(Debug, Clone)]
pub struct Loaded {
    /// Its head; `None` before the first document.
    pub head: Option<Head>,
    /// The document; empty before the first one.
    pub document: Arc<Document>,
    /// Its objects, for reuse.
    objects: Arc<chunk::Objects>,
}

impl Loaded {
    /// Its version; 0 before the first document.
    pub fn version(&self) -> Version {
        self.head.as_ref().map_or(Version(0), |head| head.version)
    }
}

/// The platform as the console uses it.
pub struct Store {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    kept: Mutex<VecDeque<(Digest, Loaded)>>,
}

/// What the console answers when the table gives none. Reading changes nothing, so nothing ran.
fn unavailable<E>(error: E) -> Refusal
where
    E: std::fmt::Display,
{
    Refusal::new(Code::StoreUnavailable)
        .with_run(Run::NotRun)
        .with_detail(format!("While reading: {error}."))
}

impl Store {
    /// A store over the platform's services.
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn ObjectStore>) -> Self {
        Self {
            table,
            objects,
            kept: Mutex::default(),
        }
    }

    /// The document in force.
    ///
    /// # Errors
    ///
    /// [`Code::StoreUnavailable`], or [`Code::Internal`] when what is stored cannot be read.
    pub fn current(&self) -> Result<Loaded, Refusal> {
        let row = self.read(HEAD_KEY)?;
        self.load(row.as_ref())
    }

    /// The document of a version; version 0 is the empty one.
    ///
    /// # Errors
    ///
    /// [`Code::NoSuchPath`] when no such version was accepted; otherwise like [`current`](Self::current).
    pub fn at(&self, version: Version) -> Result<Loaded, Refusal> {
        if version == Version(0) {
            return self.load(None);
        }
        let Some(row) = self.read(&history_key(version))? else {
            let detail = format!("There is no version {}.", version.0);
            return Err(Refusal::new(Code::NoSuchPath).with_detail(detail));
        };
        self.load(Some(&row))
    }

    /// The heads of up to `count` versions that end with `newest`, latest first.
    ///
    /// # Errors
    ///
    /// Like [`current`](Self::current).
    pub fn history(&self, newest: Version, count: u32) -> Result<Vec<Head>, Refusal> {
        let before = Version(newest.0.saturating_sub(u64::from(count)));
        let range = Range {
            prefix: HISTORY_PREFIX.into(),
            after: Some(history_key(before)),
            limit: count,
        };
        let mut heads = Vec::new();
        for row in self.scan(&range)? {
            heads.push(Head::decode(&row)?);
        }
        heads.reverse();
        Ok(heads)
    }

    /// Rows of a range, for the page of live state.
    ///
    /// # Errors
    ///
    /// [`Code::StoreUnavailable`].
    pub fn scan(&self, range: &Range) -> Result<Vec<Row>, Refusal> {
        self.table.scan(range).map_err(unavailable)
    }

    fn read(&self, key: &str) -> Result<Option<Row>, Refusal> {
        self.table.read(key).map_err(unavailable)
    }

    fn load(&self, row: Option<&Row>) -> Result<Loaded, Refusal> {
        let Some(row) = row else {
            return Ok(Loaded {
                head: None,
                document: Arc::default(),
                objects: Arc::default(),
            });
        };
        let head = Head::decode(row)?;
        if let Some(mut kept) = self.kept(head.root) {
            // Two versions may have one root, when an edit was taken back.
            kept.head = Some(head);
            return Ok(kept);
        }
        let loaded = self.fetch(head)?;
        self.keep(&loaded);
        Ok(loaded)
    }

    fn fetch(&self, head: Head) -> Result<Loaded, Refusal> {
        let damaged = |error: chunk::Error| {
            let detail = format!("Version {}: {error}.", head.version.0);
            Refusal::new(Code::Internal).with_detail(detail)
        };
        let known = self.latest_objects();
        let mut assembly = Assembly::start(head.root)
            .with_known(&known)
            .map_err(damaged)?;
        loop {
            let missing = assembly.missing();
            if missing.is_empty() {
                break;
            }
            for name in missing {
                let bytes = self.objects.get(&name).map_err(unavailable)?;
                let Some(bytes) = bytes else {
                    let detail = format!("The object store lacks {name}.");
                    return Err(Refusal::new(Code::Internal).with_detail(detail));
                };
                assembly.supply(&name, &bytes).map_err(damaged)?;
            }
        }
        let document = assembly.finish().map_err(damaged)?;
        Ok(Loaded {
            head: Some(head),
            document: document.into(),
            objects: assembly.into_bundle().objects.into(),
        })
    }

    fn kept(&self, root: Digest) -> Option<Loaded> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let found = kept.iter().find(|(digest, _)| *digest == root);
        found.map(|(_, loaded)| loaded.clone())
    }

    fn latest_objects(&self) -> Arc<chunk::Objects> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let latest = kept.back();
        latest.map_or_else(Arc::default, |(_, loaded)| loaded.objects.clone())
    }

    fn keep(&self, loaded: &Loaded) {
        let Some(head) = &loaded.head else { return };
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.retain(|(root, _)| *root != head.root);
        kept.push_back((head.root, loaded.clone()));
        if kept.len() > DOCUMENTS_KEPT {
            kept.pop_front();
        }
    }
}

/// Whether a failed table call may have taken effect.
fn may_have_run(error: &table::Error) -> bool {
    matches!(error, table::Error::Unknown { .. })
}
