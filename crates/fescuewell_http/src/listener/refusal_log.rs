//! Log lines for refusals, bounded in number.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use fescuewell_core::prelude::*;

/// Lines in one period.
const LINES: u32 = 20;
const PERIOD: Duration = Duration::from_secs(1);

#[derive(Default)]
struct State {
    began: Option<Instant>,
    lines: u32,
    left_out: u64,
}

/// Logs refusals, a bounded number in each second.
///
/// A caller can bring about any number of refusals. If each wrote a line, one caller could fill the log and
/// bury the lines of everybody else; the next line after a gap tells how many were left out.
#[derive(Default)]
pub(super) struct RefusalLog(Mutex<State>);

impl RefusalLog {
    /// Logs a refusal unless there have been too many in this second.
    pub(super) fn note(&self, peer: SocketAddr, code: Code) {
        let Some(left_out) = self.admit(Instant::now()) else {
            return;
        };
        let (number, name) = (code.number(), code.name());
        fescuewell_core::log_event!(
            Event::ConnectionRefused,
            "peer={peer} code={number} name={name} left_out={left_out}"
        );
    }

    /// How many lines were left out before this one, or `None` when this one is left out too.
    fn admit(&self, now: Instant) -> Option<u64> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = state
            .began
            .is_none_or(|began| now.saturating_duration_since(began) >= PERIOD);
        if fresh {
            state.began = Some(now);
            state.lines = 0;
        }
        if state.lines == LINES {
            state.left_out += 1;
            return None;
        }
        state.lines += 1;
        Some(std::mem::take(&mut state.left_out))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_cut_and_counted() {
        let log = RefusalLog::default();
        let now = Instant::now();

        let admitted = (0..100).filter_map(|_| log.admit(now)).count();

        assert_eq!(admitted, LINES as usize);
        assert_eq!(log.admit(now + PERIOD), Some(80));
    }
}
