//! Asks a second backend server while the first one is silent.

use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::crash::Verdict;
use fescuewell_forward::health::Outcome;
use fescuewell_forward::hedge::{MAX_OPEN, Obstacle};

use super::Job;
use super::attempt::Attempt;
use super::race::Race;

impl Job {
    /// Asks a second server beside the silent one, or logs why none is asked.
    pub(super) fn try_second(&mut self, race: &mut Race) {
        let decision = self.ask_second(race);
        let Some(silent) = race.first() else {
            return;
        };
        let why = match decision {
            Ok(()) => "-",
            // The second server is as silent; there is nothing new to say.
            Err(Obstacle::Asked) => return,
            Err(obstacle) => obstacle.name(),
        };
        let decision = match decision {
            Ok(()) => "second",
            Err(_) => "wait",
        };
        self.gateway.metrics.count_silent_attempt(decision);
        log_event!(
            Event::AttemptSilent,
            "request={} server={} stage={} silent_ms={} decision={decision} why={why}",
            self.id,
            silent.permit.server.id,
            silent.stage_name(),
            silent.heard_at.elapsed().as_millis()
        );
    }

    fn ask_second(&mut self, race: &mut Race) -> Result<(), Obstacle> {
        if race.len() >= MAX_OPEN {
            return Err(Obstacle::Asked);
        }
        if !self.route.kind.is_idempotent() {
            return Err(Obstacle::NotIdempotent);
        }
        if self.sends as usize + race.opening() >= self.route.max_attempts as usize {
            return Err(Obstacle::LastAttempt);
        }
        if Instant::now() >= self.attempts_until() {
            return Err(Obstacle::Deadline);
        }
        if self.is_suspect() {
            return Err(Obstacle::Suspect);
        }
        if self.is_version_gone() {
            return Err(Obstacle::NoServer);
        }
        // Behind a lost path all servers are silent, and another instance reaches them.
        let silent = race.first().filter(|silent| !silent.is_path_lost);
        let window = silent.and_then(|silent| self.hedge_delay(silent));
        let permit = self.pick_second(window.map(window_ms))?;
        if let Some(silent) = race.first() {
            // New requests go to servers that are heard.
            silent.permit.record_outcome(Outcome::Bad);
        }
        self.add_attempt(race, permit);
        Ok(())
    }

    /// Returns `true` if servers may have crashed under the request or a part of its prompt.
    fn is_suspect(&self) -> bool {
        self.verdict() != Verdict::Clear || self.part_verdict() != Verdict::Clear
    }

    /// Cancels the attempts that another one has overtaken.
    pub(super) fn cancel_others(&mut self, race: &mut Race, winner: &Attempt) {
        for other in race.take_all() {
            if other.is_opening() {
                self.mark_sent();
            }
            self.gateway.metrics.count_overtaken_attempt();
            log_event!(
                Event::AttemptOvertaken,
                "request={} server={} by={} silent_ms={} events={}",
                self.id,
                other.permit.server.id,
                winner.permit.server.id,
                other.heard_at.elapsed().as_millis(),
                other.events
            );
            if other.events > 0 {
                self.log_resumed(&winner.permit.server);
            }
        }
    }
}

/// Returns the time within which a server must have been heard to be asked instead of one that was silent for
/// `delay`, in milliseconds. Servers that fell silent together were heard last at slightly different times.
fn window_ms(delay: Duration) -> u64 {
    (delay / 2).as_millis() as u64
}
