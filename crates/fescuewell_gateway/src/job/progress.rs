//! What follows from the steps of a request's attempts.

use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_forward::crash::Loss;
use fescuewell_forward::health::Outcome;
use fescuewell_forward::path::SILENCE_MS;
use fescuewell_http::upstream::{Error, Exchange};
use http::StatusCode;

use super::attempt::{Attempt, Head, Response, Stage, Step};
use super::crash::classify_loss;
use super::race::{Race, Signal};
use super::{Cause, Job, Permit};
use crate::hop::{Failure, Opened};
use crate::stream::EventFramer;

/// Maximum size of a response body that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Maximum time between two looks at the attempts of a request.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// Result of the attempts so far.
pub(crate) enum Progress {
    /// A server sent a complete response.
    Complete(Response),
    /// The stream goes on with these events. Their attempt is the only one that is left.
    Events(Bytes),
    /// The stream has ended after its last event. Its attempt is the only one that is left.
    End,
    /// No attempt is left. A server executed the request and reported a failure.
    Failed(Response),
    /// No attempt is left, and there is no usable response.
    Lost(Cause),
}

/// What becomes of an attempt after a step.
enum Effect {
    /// It stays open.
    Open,
    /// It has delivered.
    Delivered(Progress),
    /// Its server executed the request and reported a failure.
    Failed(Response),
    /// It has ended without a usable response.
    Lost(Cause),
}

impl Job {
    /// Waits until an attempt delivers or none is left. Asks a second server while the first one is silent.
    pub(crate) async fn advance(&mut self, race: &mut Race) -> Progress {
        let mut cause = Cause::Broken;
        while !race.is_empty() {
            if self.forwarded == 0 && self.gateway.is_drain_over() {
                self.abandon(race);
                return Progress::Lost(Cause::Shutdown);
            }
            self.set_timer(race);
            match race.next().await {
                Signal::Woken => self.handle_silence(race),
                Signal::PathChanged => self.handle_path_change(race),
                // The timer is set again.
                Signal::DrainBegun => {}
                Signal::Step(index, step) => {
                    let mut attempt = race.take(index);
                    if step.is_heard() {
                        attempt.hear(self.gateway.now_ms());
                    }
                    let is_only = race.is_empty();
                    match self.handle_step(&mut attempt, step, is_only).await {
                        Effect::Open => race.put_back(index, attempt),
                        Effect::Delivered(progress) => {
                            self.cancel_others(race, &attempt);
                            race.keep(attempt, !matches!(progress, Progress::Complete(_)));
                            return progress;
                        }
                        Effect::Failed(response) => race.failed = Some(response),
                        Effect::Lost(reason) => cause = reason,
                    }
                }
            }
        }
        match race.failed.take() {
            Some(response) => Progress::Failed(response),
            None => Progress::Lost(cause),
        }
    }

    async fn handle_step(&mut self, attempt: &mut Attempt, step: Step, is_only: bool) -> Effect {
        match step {
            Step::Opened(Ok(opened)) => self.handle_head(attempt, *opened),
            Step::Opened(Err(failure)) => {
                self.handle_failure(&attempt.permit, failure, is_only).await
            }
            Step::Chunk(Some(Ok(chunk))) => self.handle_chunk(attempt, &chunk),
            Step::Chunk(Some(Err(error))) => self.handle_broken(attempt, &error).await,
            Step::Chunk(None) => self.handle_end(attempt).await,
            Step::Body(body) => self.handle_body(attempt, body).await,
            Step::Restarted if !attempt.confirm_restart() => Effect::Open,
            Step::Restarted => {
                if attempt.is_opening() {
                    self.sends += 1;
                }
                self.mark_executed();
                self.report_loss(&attempt.permit, Loss::Broken).await;
                let outcome = match attempt.begun_at {
                    Some(_) => "broken",
                    None => "unknown",
                };
                self.log_failure(&attempt.permit, outcome, "the server has started again");
                Effect::Lost(Cause::Restarted)
            }
        }
    }

    /// Handles an exchange without a response head.
    async fn handle_failure(&mut self, permit: &Permit, failure: Failure, is_only: bool) -> Effect {
        let Failure {
            error,
            is_direct,
            blames_server,
        } = failure;
        if let Error::NotSent { reason } = error {
            permit.settle();
            self.unsent_attempts += 1;
            if blames_server {
                permit.record_outcome(Outcome::Bad);
            }
            self.log_failure(permit, "not_sent", &reason);
            match is_direct {
                // Another attempt that is open must not wait for the check.
                true if is_only => self.check_path(permit).await,
                true => self.gateway.record_connect_failure(&permit.server),
                false => {}
            }
            return Effect::Lost(Cause::Broken);
        }
        self.mark_sent();
        self.report_loss(permit, classify_loss(&error)).await;
        self.unknown_outcome(permit, &error);
        Effect::Lost(self.cause_of(&error))
    }

    /// Waits for the check of the path to the servers. If the path is lost, the servers to which the
    /// connection failed may be tried again through another instance.
    async fn check_path(&mut self, permit: &Permit) {
        let server = &permit.server;
        self.gateway.record_connect_failure(server);
        self.gateway.path_checked().await;
        let is_server_lost = self.gateway.server_checked(server).await;
        if self.sends > 0 {
            return;
        }
        if self.gateway.state().path.is_lost() {
            self.tried.clear();
            self.unsent_attempts = 0;
        } else if is_server_lost {
            self.tried.retain(|tried| *tried != server.id);
            self.unsent_attempts -= 1;
        }
    }

    fn handle_head(&mut self, attempt: &mut Attempt, opened: Opened) -> Effect {
        let Opened {
            mut exchange,
            flight,
        } = opened;
        let permit = &mut attempt.permit;
        permit.set_flight(flight);
        self.sends += 1;
        let names = self.gateway.dialect.header_names().clone();
        let status = exchange.status;
        let server = &permit.server;
        let is_own = self
            .gateway
            .record_head(server, &self.id, &exchange, attempt.sent_at);
        if !is_own {
            // It says nothing of this request, also if it is a rejection. Its connection is dropped with it.
            self.mark_executed();
            self.unknown_outcome(permit, "the response does not name this request");
            return Effect::Lost(Cause::Malformed);
        }
        let is_rejected = exchange.headers.contains_key(&names.not_executed)
            || status == StatusCode::MISDIRECTED_REQUEST;
        if is_rejected {
            self.handle_rejection(permit, exchange);
            return Effect::Lost(Cause::Broken);
        }
        self.mark_executed();
        permit.mark_begun();
        let is_sealed = exchange.headers.contains_key(&names.seal);
        if status.is_success() && !is_sealed {
            self.unknown_outcome(permit, "the response bears no seal");
            return Effect::Lost(Cause::Malformed);
        }
        attempt.stage = match self.route.kind.is_stream() && status.is_success() {
            true => Stage::Streaming(Box::new(exchange), EventFramer::new(self.last_event_id)),
            false => {
                let head = Head {
                    status,
                    headers: std::mem::take(&mut exchange.headers),
                    end: exchange.body_end(),
                };
                Stage::Buffering(head, Box::pin(exchange.collect(MAX_RESPONSE_BYTES)))
            }
        };
        Effect::Open
    }

    fn handle_rejection(&self, permit: &Permit, exchange: Exchange) {
        permit.settle();
        let status = exchange.status;
        if status == StatusCode::MISDIRECTED_REQUEST {
            // Another server uses this address now, so the entry is useless until it changes.
            self.gateway
                .state()
                .registry
                .mark_draining(&permit.server.id);
        } else {
            permit.record_outcome(Outcome::Full);
        }
        self.log_failure(permit, "turned_away", status.as_str());
        exchange.discard();
    }

    fn handle_chunk(&mut self, attempt: &mut Attempt, chunk: &[u8]) -> Effect {
        if attempt.begun_at.is_none() {
            attempt.begun_at = Some(Instant::now());
            attempt.permit.record_first_event();
        }
        let Stage::Streaming(exchange, framer) = &mut attempt.stage else {
            return Effect::Open;
        };
        let Ok(events) = framer.push(chunk) else {
            self.log_failure(&attempt.permit, "broken", "malformed events");
            attempt.permit.record_outcome(Outcome::Bad);
            return Effect::Lost(Cause::Malformed);
        };
        if let Err(error) = exchange.reserve(framer.buffered()) {
            self.log_failure(&attempt.permit, "broken", &error.to_string());
            return Effect::Lost(self.cause_of(&error));
        }
        if events.is_empty() {
            return Effect::Open;
        }
        let count = framer.forwarded() - attempt.events;
        self.last_event_id = framer.last_event_id();
        attempt.events = framer.forwarded();
        if self.forwarded == 0 {
            let took = self.arrived.elapsed();
            self.first_event_ms = took.as_millis();
            self.gateway
                .metrics
                .record_first_event(&self.route.name, took);
        }
        self.forwarded += count;
        self.charge_events(count);
        Effect::Delivered(Progress::Events(events))
    }

    /// Handles a stream whose exchange failed after its head.
    async fn handle_broken(&mut self, attempt: &mut Attempt, error: &Error) -> Effect {
        self.report_loss(&attempt.permit, classify_loss(error))
            .await;
        if attempt.begun_at.is_none() {
            self.failed_exchange(&attempt.permit, error);
        } else {
            attempt.permit.record_outcome(Outcome::Bad);
            self.log_failure(&attempt.permit, "broken", &error.to_string());
        }
        if attempt.permit.is_through_peer() && self.is_version_gone() {
            // The other instance may have ended, and a third one reaches the server.
            let server = &attempt.permit.server;
            self.tried.retain(|tried| *tried != server.id);
        }
        Effect::Lost(self.cause_of(error))
    }

    /// Handles the end of a stream's body.
    async fn handle_end(&mut self, attempt: &mut Attempt) -> Effect {
        let permit = &attempt.permit;
        let Stage::Streaming(exchange, framer) = &attempt.stage else {
            return Effect::Open;
        };
        let Some(begun_at) = attempt.begun_at else {
            self.unknown_outcome(permit, "a stream without events");
            return Effect::Lost(Cause::Broken);
        };
        let body_end = exchange.body_end();
        let reason = if framer.has_partial() {
            // A body without a length ends like this if the server crashes.
            self.report_loss(permit, Loss::Broken).await;
            Some("the body ended within an event")
        } else if self.is_cut_off(body_end, permit).await {
            Some("the server crashed before the end of the body")
        } else {
            None
        };
        if let Some(reason) = reason {
            self.log_failure(permit, "broken", reason);
            permit.record_outcome(Outcome::Bad);
            return Effect::Lost(Cause::Broken);
        }
        permit.record_outcome(Outcome::Good);
        permit.settle();
        // A server that had no event left to send has not worked on the prompt.
        let parts = match attempt.events > 0 {
            true => &*self.parts,
            false => &[],
        };
        self.gateway
            .record_response(&permit.server, self.fingerprint, parts);
        let gaps = attempt.events.saturating_sub(1) as u32;
        if let Some(gap) = begun_at.elapsed().checked_div(gaps) {
            permit.record_latency(gap);
        }
        Effect::Delivered(Progress::End)
    }

    async fn handle_body(&mut self, attempt: &mut Attempt, body: Result<Bytes, Error>) -> Effect {
        let permit = &attempt.permit;
        let Stage::Buffering(head, _) = &mut attempt.stage else {
            return Effect::Open;
        };
        let body = match body {
            Ok(body) => body,
            Err(error) => {
                self.report_loss(permit, classify_loss(&error)).await;
                self.failed_exchange(permit, &error);
                return Effect::Lost(self.cause_of(&error));
            }
        };
        if self.is_cut_off(head.end, permit).await {
            self.unknown_outcome(permit, "the server crashed before the end of the body");
            return Effect::Lost(Cause::Broken);
        }
        permit.settle();
        let status = head.status;
        if status.is_success() {
            // Only success clears the request: a server that fails some of its requests may fail this one
            // before it would crash.
            self.gateway
                .record_response(&permit.server, self.fingerprint, &self.parts);
        }
        let response = Response {
            status,
            headers: std::mem::take(&mut head.headers),
            body,
        };
        if status.is_server_error() {
            // A sound engine also ends a request at its deadline.
            let is_faulty = self.service.engine.is_some() && status != StatusCode::GATEWAY_TIMEOUT;
            permit.record_outcome(match is_faulty {
                true => Outcome::Faulty,
                false => Outcome::Failed,
            });
            self.log_failure(permit, "failed", status.as_str());
            return match self.forwarded {
                0 => Effect::Failed(response),
                _ => Effect::Lost(Cause::Broken),
            };
        }
        permit.record_outcome(Outcome::Good);
        if self.forwarded > 0 {
            // The server cannot go on with the stream, but another one that is asked may.
            self.log_failure(permit, "failed", status.as_str());
            return Effect::Lost(Cause::Broken);
        }
        permit.record_latency(attempt.sent_at.elapsed());
        Effect::Delivered(Progress::Complete(response))
    }

    /// Sets when [`Job::handle_silence`] is due if no attempt takes a step before.
    fn set_timer(&self, race: &mut Race) {
        // The exchanges end at the deadline by themselves.
        let mut due = Instant::now() + MAX_SLEEP;
        for attempt in race.attempts() {
            if attempt.is_opening() && !attempt.is_silence_recorded {
                due = due.min(attempt.sent_at + Duration::from_millis(SILENCE_MS));
            }
            if let Some(delay) = self.hedge_delay(attempt) {
                due = due.min(attempt.silent_since() + delay);
            }
        }
        if self.forwarded == 0 {
            if race.len() > race.opening() {
                due = due.min(self.route_deadline);
            }
            let end = self.gateway.drain_end();
            due = end.map_or(due, |end| due.min(end.into_std()));
        }
        race.wake_at(due);
    }

    /// Handles what is due because servers have sent nothing.
    fn handle_silence(&mut self, race: &mut Race) {
        let now = Instant::now();
        let mut may_ask = false;
        for attempt in race.attempts() {
            let silent_for = now.saturating_duration_since(attempt.sent_at);
            let is_silent = attempt.is_opening() && !attempt.is_silence_recorded;
            if is_silent && silent_for >= Duration::from_millis(SILENCE_MS) {
                attempt.is_silence_recorded = true;
                self.gateway.record_silence(&attempt.permit.server);
            }
            let silent_since = attempt.silent_since();
            let delay = self.hedge_delay(attempt);
            if delay.is_some_and(|delay| now >= silent_since + delay) {
                attempt.decided_at = Some(now);
                may_ask = true;
            }
        }
        if may_ask {
            self.try_second(race);
        }
        if self.forwarded == 0 && now >= self.route_deadline {
            self.time_out(race);
        }
    }

    /// Asks a second server if the path to that of an attempt is lost.
    fn handle_path_change(&mut self, race: &mut Race) {
        let gateway = self.gateway.clone();
        let mut is_lost = false;
        for attempt in race.attempts() {
            let state = gateway.state();
            // Until all checks have ended, a server could be chosen whose path is lost as well.
            let is_known = !state.path.is_checking() && !state.server_paths.has_checks();
            if is_known && !attempt.is_path_lost && state.has_lost_path(&attempt.permit.server) {
                attempt.is_path_lost = true;
                attempt.decided_at = Some(Instant::now());
                is_lost = true;
            }
        }
        if is_lost {
            self.try_second(race);
        }
    }

    /// Ends the attempts whose responses can no longer be passed on.
    fn abandon(&mut self, race: &mut Race) {
        for attempt in race.take_all() {
            if attempt.is_opening() {
                self.sends += 1;
            }
            self.mark_executed();
            self.log_failure(&attempt.permit, "unknown", "the instance shuts down");
        }
    }

    /// Ends the attempts that have sent their head but nothing that could be forwarded before the route's
    /// deadline. The others end by themselves.
    fn time_out(&mut self, race: &mut Race) {
        for attempt in race.take_all() {
            match attempt.is_opening() {
                true => race.push(attempt),
                false => self.unknown_outcome(&attempt.permit, "no event before the deadline"),
            }
        }
    }

    pub(super) fn mark_sent(&mut self) {
        self.sends += 1;
        self.mark_executed();
    }

    fn mark_executed(&mut self) {
        self.possibly_executed = true;
        if let Some(hold) = &mut self.hold {
            hold.mark_executed();
        }
    }

    fn unknown_outcome<Reason>(&mut self, permit: &Permit, reason: &Reason)
    where
        Reason: std::fmt::Display + ?Sized,
    {
        self.timed_out = Instant::now() >= self.attempts_until();
        if !self.timed_out {
            permit.record_outcome(Outcome::Bad);
        }
        self.log_failure(permit, "unknown", &reason.to_string());
    }

    /// Handles an exchange that failed after its head and before anything was forwarded.
    fn failed_exchange(&mut self, permit: &Permit, error: &Error) {
        if matches!(error, Error::OverBudget { .. }) {
            // This instance lacks the memory; the server is not to blame.
            return self.log_failure(permit, "unknown", &error.to_string());
        }
        self.unknown_outcome(permit, error);
    }

    /// Returns why an exchange failed. One without a head ends at the deadline like any other silent one.
    fn cause_of(&self, error: &Error) -> Cause {
        match Cause::of(error) {
            Cause::Silent if Instant::now() >= self.deadline => Cause::Deadline,
            cause => cause,
        }
    }

    fn charge_events(&mut self, events: u64) {
        let each = self
            .service
            .engine
            .map_or(0, |engine| engine.tokens_per_event);
        if let Some(hold) = &mut self.hold {
            hold.add_output(events * each);
        }
    }
}
