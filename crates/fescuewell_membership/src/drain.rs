//! The shutdown of an instance: hand over everything and cut off nothing.
//!
//! The chart is `drain.json`. On SIGTERM the instance announces that it drains, and goes on serving as
//! long as callers may hold its address; then it refuses new requests, truthfully and with other
//! addresses, and lets every stream end; then it delivers its bills, returns its allowances and slots,
//! and publishes its farewell.

use std::time::Duration;

use fescuewell_core::chart::{Chart, State};
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;

const CHART: &str = include_str!("drain.json");

fescuewell_core::data! {
    /// How long each part may take.
    pub struct Settings {
        /// Time until every instance knows of the announcement and names this one to no caller.
        #[serde(rename = "spread")]
        pub announcement_time: Duration,
        /// Time to live of an address that a caller was given.
        pub address_ttl: Duration,
        /// Time after which bills that could not be made durable are handed to a peer.
        #[serde(rename = "bill_patience")]
        pub bill_timeout: Duration,
        /// Time after which the process ends whatever is left. Longer than the longest stream, or the
        /// drain cuts streams off.
        pub limit: Duration,
        /// Part of `limit` that is kept for the hand-over, so that streams that never end do not keep
        /// the bills from being delivered.
        pub hand_over: Duration,
    }

    /// What is left open.
    #[derive(Copy, Default)]
    pub struct Remaining {
        /// Queued requests and streams under way.
        pub streams: usize,
        /// Bills that are not durable yet.
        pub bills: usize,
        /// Budgets with an allowance that was not returned.
        pub allowances: usize,
        /// Slots held.
        pub slots: usize,
    }
}

fescuewell_core::message! {
    /// What the instance is to do next.
    #[derive(Copy)]
    pub enum Action {
        /// Publish the state "draining" in the member row, and tell peers.
        Announce,
        /// Refuse new requests with [`Code::Draining`] and other addresses.
        RefuseNew,
        /// Make the bills durable as fast as possible.
        FlushBills,
        /// Give the bills to a peer that can make them durable later.
        HandBillsToPeer,
        /// Return all allowances.
        ReturnAllowances,
        /// Release all slots to their next owners.
        ReleaseSlots,
        /// Publish the state "gone" in the member row.
        Farewell,
        /// End the process.
        Exit {
            /// Whether everything was handed over. If not, no farewell was published, and the sweep
            /// settles what is left once the instance list says that this instance ended.
            clean: bool,
        },
    }
}

/// The drain of one instance.
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
    finished_at: Instant,
    asked: Asked,
}

/// Which actions were already asked for.
#[derive(Debug, Clone, Copy, Default)]
struct Asked {
    flush: bool,
    peer: bool,
    give_back: bool,
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
    /// An instance that serves.
    ///
    /// # Panics
    ///
    /// When the chart, which is part of the program, is malformed.
    pub fn new(settings: Settings) -> Self {
        let chart = Chart::parse(CHART).expect("drain.json is a chart");
        let state = chart.initial();
        Self {
            settings,
            chart,
            state,
            stopped_at: Instant::default(),
            finished_at: Instant::default(),
            asked: Asked::default(),
        }
    }

    /// Name of the present state.
    pub fn state(&self) -> &str {
        self.chart.name(self.state)
    }

    /// Whether new requests are taken.
    pub fn accepts_requests(&self) -> bool {
        matches!(self.state(), "serving" | "announcing")
    }

    /// The instance is to stop. `named` says whether callers may have been given its address. A second
    /// call changes nothing.
    pub fn stop(&mut self, now: Instant, named: bool) -> Vec<Action> {
        if self.state() != "serving" {
            return Vec::new();
        }
        self.stopped_at = now;
        log_event!(Event::DrainStarted, "named={named}");
        if named {
            self.step("stop");
            return vec![Action::Announce];
        }
        self.step("stop_unused");
        vec![Action::Announce, Action::RefuseNew]
    }

    /// Goes on with what is left open and whether the table has confirmed the farewell.
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
    /// announcement. Refusing earlier would fail requests that another address would have served.
    fn poll_announcing(&mut self, now: Instant) -> Vec<Action> {
        let cached = self.settings.announcement_time + self.settings.address_ttl;
        if now.since(self.stopped_at) >= cached {
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
        published: bool,
    ) -> Vec<Action> {
        if self.asked.farewell && published {
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
        if !std::mem::replace(&mut self.asked.flush, true) {
            actions.push(Action::FlushBills);
        }
        let impatient = now.since(self.finished_at) >= self.settings.bill_timeout;
        if remaining.bills > 0 && impatient && !std::mem::replace(&mut self.asked.peer, true) {
            actions.push(Action::HandBillsToPeer);
        }
        // What a bill charges must not be returned first: a successor could spend it again.
        let settled = remaining.streams == 0 && remaining.bills == 0;
        if settled && !std::mem::replace(&mut self.asked.give_back, true) {
            actions.extend([Action::ReturnAllowances, Action::ReleaseSlots]);
        }
        // The farewell tells everybody that nothing of this instance is left to settle. Published with
        // something left, it would free what a stream or a bill still stands for.
        let nothing_left = *remaining == Remaining::default();
        if nothing_left && !std::mem::replace(&mut self.asked.farewell, true) {
            actions.push(Action::Farewell);
        }
        actions
    }

    fn stream_limit(&self) -> Duration {
        self.settings.limit.saturating_sub(self.settings.hand_over)
    }

    fn begin_hand_over(&mut self, now: Instant, signal: &str) {
        self.finished_at = now;
        self.step(signal);
    }

    fn step(&mut self, signal: &str) {
        let before = self.state;
        let stepped = self.chart.step(&mut self.state, signal);
        debug_assert!(stepped.is_ok(), "drain.json has no step for {signal}");
        log_event!(
            Event::StateChanged,
            "chart=drain from={} to={} signal={signal}",
            self.chart.name(before),
            self.chart.name(self.state)
        );
    }
}
