//! Rate-limited logging of refusals.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use fescuewell_core::prelude::*;

/// Maximum number of log lines per [`PERIOD`].
const MAX_LINES_PER_PERIOD: u32 = 20;
const PERIOD: Duration = Duration::from_secs(1);

#[derive(Default)]
struct State {
    period_start: Option<Instant>,
    lines: u32,
    left_out: u64,
}

/// Logs a limited number of refusals per second.
///
/// A caller can cause any number of refusals. If each were logged, one caller could fill the log and
/// obscure all other lines. The next line after a gap contains the number of omitted lines.
#[derive(Default)]
pub(super) struct RefusalLog(Mutex<State>);

impl RefusalLog {
    /// Logs a refusal unless the limit of the current period is reached.
    pub(super) fn record(&self, peer: SocketAddr, code: Code) {
        let Some(left_out) = self.admit(Instant::now()) else {
            return;
        };
        let (number, name) = (code.number(), code.name());
        fescuewell_core::log_event!(
            Event::ConnectionRefused,
            "peer={peer} code={number} name={name} left_out={left_out}"
        );
    }

    /// Returns the number of lines omitted before this one, or `None` if this one is to be omitted.
    fn admit(&self, now: Instant) -> Option<u64> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new_period = state
            .period_start
            .is_none_or(|period_start| now.saturating_duration_since(period_start) >= PERIOD);
        if is_new_period {
            state.period_start = Some(now);
            state.lines = 0;
        }
        if state.lines == MAX_LINES_PER_PERIOD {
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

        assert_eq!(admitted, MAX_LINES_PER_PERIOD as usize);
        assert_eq!(log.admit(now + PERIOD), Some(80));
    }
}
