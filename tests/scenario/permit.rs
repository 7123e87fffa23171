//! Limits how many scenarios run concurrently, regardless of the number of test threads.
//!
//! Each scenario starts several processes. With a dozen scenarios on a small machine, processes would wait for the processor
//! longer than the leases and time limits of the scenarios, and the tests would fail without a fault.

use std::sync::{Condvar, Mutex};

/// Maximum number of scenarios that run concurrently.
const MAX_RUNNING: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A permit to run one scenario, released on drop.
pub struct Permit(());

impl Permit {
    /// Waits until fewer than [`MAX_RUNNING`] scenarios run, and acquires a permit.
    pub fn acquire() -> Self {
        let running = RUNNING
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let running = ENDED.wait_while(running, |running| *running >= MAX_RUNNING);
        *running.unwrap_or_else(|poisoned| poisoned.into_inner()) += 1;
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
