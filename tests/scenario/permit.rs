//! Bounds how many scenarios run at once, whatever the test harness's number of threads.
//!
//! Each scenario starts several processes. With a dozen of them on a small machine, processes would wait for
//! the processor longer than the leases and time limits that the scenarios set, and fail for no fault.

use std::sync::{Condvar, Mutex};

/// Scenarios that run at once.
const MOST: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// The right to run a scenario, given back when dropped.
pub struct Permit(());

impl Permit {
    /// Waits for its turn.
    pub fn take() -> Self {
        let running = RUNNING
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let free = ENDED.wait_while(running, |running| *running >= MOST);
        *free.unwrap_or_else(|poisoned| poisoned.into_inner()) += 1;
        Self(())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) -= 1;
        ENDED.notify_one();
    }
}
