//! The in-memory object store.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fescuewell_core::platform::{self, Error};

use super::fault::{Fate, Fault};

const SERVICE: &str = "object store";

/// An object store that lives in memory and is shared by its clones.
#[derive(Clone, Default)]
pub struct Objects {
    content: Arc<Mutex<Content>>,
    fault: Fault,
}

type Content = BTreeMap<Arc<str>, Arc<[u8]>>;

impl Objects {
    /// The controls of this store's faults.
    pub fn fault(&self) -> &Fault {
        &self.fault
    }

    /// The names of all objects, whatever the faults.
    pub fn names(&self) -> Vec<Arc<str>> {
        self.lock().keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn store(&self, name: &str, content: &[u8]) {
        self.lock().insert(name.into(), content.into());
        self.fault.wrote(1);
    }
}

fn failed(fate: Fate) -> Error {
    let reason = match fate {
        Fate::Down => "switched off",
        Fate::Busy => "over its limit",
        Fate::Answered | Fate::ReplyLost | Fate::RequestLost => "no reply",
    };
    Error {
        service: SERVICE,
        reason: reason.into(),
    }
}

impl platform::ObjectStore for Objects {
    fn put(&self, name: &str, content: &[u8]) -> Result<(), Error> {
        let fate = self.fault.on_transaction(1);
        if matches!(fate, Fate::Answered | Fate::ReplyLost) {
            self.store(name, content);
        }
        match fate {
            Fate::Answered => Ok(()),
            _ => Err(failed(fate)),
        }
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        match self.fault.on_read() {
            Fate::Answered => Ok(self.lock().get(name).map(|content| content.to_vec())),
            fate => Err(failed(fate)),
        }
    }
}
