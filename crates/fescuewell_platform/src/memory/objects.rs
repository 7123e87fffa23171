//! In-memory object store.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fescuewell_core::platform::{self, Error};

use super::fault::{CallResult, Fault};

const SERVICE: &str = "object store";

/// An object store that lives in memory and is shared by its clones.
#[derive(Clone, Default)]
pub struct Objects {
    content: Arc<Mutex<Content>>,
    fault: Fault,
}

type Content = BTreeMap<Arc<str>, Arc<[u8]>>;

impl Objects {
    /// Returns the fault controls of this store.
    pub fn fault(&self) -> &Fault {
        &self.fault
    }

    /// Returns the names of all objects, ignoring any faults.
    pub fn names(&self) -> Vec<Arc<str>> {
        self.lock().keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn store(&self, name: &str, content: &[u8]) {
        self.lock().insert(name.into(), content.into());
        self.fault.record_writes(1);
    }
}

fn error_of(result: CallResult) -> Error {
    let reason = match result {
        CallResult::Down => "service is down",
        CallResult::Busy => "rate limit exceeded",
        CallResult::Completed | CallResult::ReplyLost | CallResult::RequestLost => "no reply",
    };
    Error {
        service: SERVICE,
        reason: reason.into(),
    }
}

impl platform::ObjectStore for Objects {
    fn put(&self, name: &str, content: &[u8]) -> Result<(), Error> {
        let result = self.fault.on_transaction(1);
        if matches!(result, CallResult::Completed | CallResult::ReplyLost) {
            self.store(name, content);
        }
        match result {
            CallResult::Completed => Ok(()),
            _ => Err(error_of(result)),
        }
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        match self.fault.on_read() {
            CallResult::Completed => Ok(self.lock().get(name).map(|content| content.to_vec())),
            result => Err(error_of(result)),
        }
    }
}
