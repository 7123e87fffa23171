//! Graceful shutdown of an instance: it hands over everything and interrupts no stream.
//!
//! The state chart is `drain.json`. On SIGTERM the instance announces that it is draining, and
//! keeps serving as long as callers may have its address cached. Then it refuses new requests, with
//! the addresses of other instances, and lets every stream end. Finally it delivers its bills,
//! returns its allowances and slots, and publishes its farewell.

use std::time::Duration;

use fescuewell_core::chart::{Chart, State};
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;

const CHART: &str = include_str!("drain.json");

fescuewell_core::data! {
    /// Time limits of the phases.
    pub struct Settings {
        /// Time until every instance knows of the announcement and advertises this one to no
        /// caller.
        #[serde(rename = "spread")]
        pub announcement_time: Duration,
        /// Time to live of an address given to a caller.
        pub address_ttl: Duration,
        /// Time after which bills that could not be made durable are handed to a peer.
        #[serde(rename = "bill_patience")]
        pub bill_timeout: Duration,
        /// Time after which the process exits, whatever is left. It must exceed the longest stream;
        /// otherwise the drain interrupts streams.
        pub limit: Duration,
        /// Part of `limit` that is reserved for the hand-over, so that streams that never end do
        /// not keep the bills from being delivered.
        pub hand_over: Duration,
    }

    /// What is still open.
    #[derive(Copy, Default)]
    pub struct Remaining {
        /// Queued requests and streams in progress.
        pub streams: usize,
        /// Bills that are not durable yet.
        pub bills: usize,
        /// Budgets with an allowance that has not been returned.
        pub allowances: usize,
        /// Slots held.
        pub slots: usize,
    }
}

fescuewell_core::message! {
    /// What the instance must do next.
    #[derive(Copy)]
    pub enum Action {
        /// Publish the state "draining" in the member row, and gossip it.
        Announce,
        /// Refuse new requests with [`Code::Draining`] and other addresses.
        RefuseNew,
        /// Make the bills durable as fast as possible.
        FlushBills,
        /// Hand the bills to a peer that can make them durable later.
        HandBillsToPeer,
        /// Return all allowances.
        ReturnAllowances,
        /// Release all slots to their next owners.
        ReleaseSlots,
        /// Publish the state "gone" in the member row.
        Farewell,
        /// Exit the process.
        Exit {
            /// Whether everything was handed over. If not, no farewell was published, and the sweep
            /// settles what is left once the instance list says that this instance has ended.
            clean: bool,
        },
    }
}

/// The drain state machine of one instance.
///
/// ```
/// use fescuewell_core::prelude::*;
/// use fescuewell_membership::drain::{Action, Drain, Remaining, Settings};
/// let mut drain = Drain::new(Settings::default());
/// let now = Instant::from_millis(0);
/// assert_eq!(drain.stop(now, true), vec![Action::Announce]);
/// assert!(drain.poll(now, &Remaining::default(), true).is_empty());
/// assert!(drain.accepts_requests());
/// ```
#[derive(Debug, Clone)]
pub struct Drain {
    settings: Settings,
    chart: Chart,
    state: State,
    stopped_at: Instant,
    hand_over_started_at: Instant,
    requested: Requested,
}

/// The actions already requested.
#[derive(Debug, Clone, Copy, Default)]
struct Requested {
    flush: bool,
    peer: bool,
    returns: bool,
    farewell: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            announcement_time: Duration::from_secs(5),
            address_ttl: Duration::from_secs(10),
            bill_timeout: Duration::from_secs(5),
            limit: Duration::from_secs(900),
            hand_over: Duration::from_secs(30),
        }
    }
}

impl Drain {
    /// Creates the drain of an instance that is serving.
    ///
    /// # Panics
    ///
    /// If the embedded chart is malformed.
    pub fn new(settings: Settings) -> Self {
        let chart = Chart::parse(CHART).expect("drain.json is a valid state chart");
        let state = chart.initial();
        Self {
            settings,
            chart,
            state,
            stopped_at: Instant::default(),
            hand_over_started_at: Instant::default(),
            requested: Requested::default(),
        }
    }

    /// Name of the current state.
    pub fn state(&self) -> &str {
        self.chart.name(self.state)
    }

    /// Whether new requests are accepted.
    pub fn accepts_requests(&self) -> bool {
        matches!(self.state(), "serving" | "announcing")
    }

    /// Starts the drain. `is_advertised` says whether callers may have been given this instance's
    /// address. Later calls change nothing.
    pub fn stop(&mut self, now: Instant, is_advertised: bool) -> Vec<Action> {
        if self.state() != "serving" {
            return Vec::new();
        }
        self.stopped_at = now;
        log_event!(Event::DrainStarted, "named={is_advertised}");
        if is_advertised {
            self.step("stop");
            return vec![Action::Announce];
        }
        self.step("stop_unused");
        vec![Action::Announce, Action::RefuseNew]
    }

    /// Advances the drain, given what is still open and whether the table has confirmed the
    /// farewell.
    pub fn poll(
        &mut self,
        now: Instant,
        remaining: &Remaining,
        farewell_published: bool,
    ) -> Vec<Action> {
        match self.state() {
            "announcing" => self.poll_announcing(now),
            "finishing" => self.poll_finishing(now, remaining),
            "handing_over" => self.poll_handing_over(now, remaining, farewell_published),
            _ => Vec::new(),
        }
    }

    /// Callers keep addresses that they were given just before the last instance learned of the
    /// announcement. Refusing earlier would fail requests that another instance could have served.
    fn poll_announcing(&mut self, now: Instant) -> Vec<Action> {
        let addresses_expire_after = self.settings.announcement_time + self.settings.address_ttl;
        if now.since(self.stopped_at) >= addresses_expire_after {
            self.step("addresses_expired");
            return vec![Action::RefuseNew];
        }
        if now.since(self.stopped_at) >= self.stream_limit() {
            self.begin_hand_over(now, "limit_passed");
            return vec![Action::RefuseNew];
        }
        Vec::new()
    }

    fn poll_finishing(&mut self, now: Instant, remaining: &Remaining) -> Vec<Action> {
        if remaining.streams == 0 {
            self.begin_hand_over(now, "streams_done");
        } else if now.since(self.stopped_at) >= self.stream_limit() {
            self.begin_hand_over(now, "limit_passed");
        }
        Vec::new()
    }

    fn poll_handing_over(
        &mut self,
        now: Instant,
        remaining: &Remaining,
        farewell_published: bool,
    ) -> Vec<Action> {
        if self.requested.farewell && farewell_published {
            self.step("farewell_published");
            log_event!(Event::DrainFinished, "clean=true");
            return vec![Action::Exit { clean: true }];
        }
        if now.since(self.stopped_at) >= self.settings.limit {
            self.step("limit_passed");
            log_event!(Event::DrainFinished, "clean=false left={remaining:?}");
            return vec![Action::Exit { clean: false }];
        }
        self.hand_over(now, remaining)
    }

    fn hand_over(&mut self, now: Instant, remaining: &Remaining) -> Vec<Action> {
        let mut actions = Vec::new();
        if !std::mem::replace(&mut self.requested.flush, true) {
            actions.push(Action::FlushBills);
        }
        let bills_overdue = now.since(self.hand_over_started_at) >= self.settings.bill_timeout;
        if remaining.bills > 0
            && bills_overdue
            && !std::mem::replace(&mut self.requested.peer, true)
        {
            actions.push(Action::HandBillsToPeer);
        }
        // Allowances must not be returned while a bill still charges them: a successor could spend
        // them again.
        let settled = remaining.streams == 0 && remaining.bills == 0;
        if settled && !std::mem::replace(&mut self.requested.returns, true) {
            actions.extend([Action::ReturnAllowances, Action::ReleaseSlots]);
        }
        // The farewell states that nothing of this instance is left to settle. Published too early,
        // it would free what a stream or a bill still uses.
        let nothing_left = *remaining == Remaining::default();
        if nothing_left && !std::mem::replace(&mut self.requested.farewell, true) {
            actions.push(Action::Farewell);
        }
        actions
    }

    fn stream_limit(&self) -> Duration {
        self.settings.limit.saturating_sub(self.settings.hand_over)
    }

    fn begin_hand_over(&mut self, now: Instant, signal: &str) {
        self.hand_over_started_at = now;
        self.step(signal);
    }

    fn step(&mut self, signal: &str) {
        let before = self.state;
        let stepped = self.chart.step(&mut self.state, signal);
        debug_assert!(stepped.is_ok(), "drain.json has no transition for {signal}");
        log_event!(
            Event::StateChanged,
            "chart=drain from={} to={} signal={signal}",
            self.chart.name(before),
            self.chart.name(self.state)
        );
    }
}
