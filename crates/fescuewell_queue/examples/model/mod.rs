//! Discrete-event simulation of callers, one queue and a few backend servers with fixed concurrency.
//!
//! All streams run at the same speed, regardless of the load of their server. The simulation uses virtual time only, so
//! the results are the same on all machines.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_queue::admission::{Entry, Queue};
use fescuewell_queue::deadline;
use fescuewell_queue::limit::{Class, Limit, Outcome};
use fescuewell_queue::preempt::{Policy, Stream};
use fescuewell_queue::retry::{Backoff, BackoffSettings, Budget};

/// Time per token of a response.
pub const TIME_PER_TOKEN: Duration = Duration::from_millis(20);

/// Time from the start on the server to the first token.
pub const TIME_TO_FIRST_TOKEN: Duration = Duration::from_millis(150);

/// Factor by which the router multiplies the expected response time.
const SERVICE_MARGIN: f64 = 1.2;

/// Time from the decision to pause a stream until its capacity is free.
const PAUSE_TIME: Duration = Duration::from_millis(20);

/// Tokens that a server can read in the time in which it writes one. A resumed stream is read again.
const READ_TOKENS_PER_WRITTEN: u64 = 50;

/// Interval at which the queue is searched for requests to give up.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The most urgent kind, the only one that may use the reserve.
pub const URGENT: KindKey = KindKey(0);

/// One request of the load.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub at: Instant,
    pub kind: KindKey,
    pub group: GroupKey,
    /// Cost that the router expects.
    pub expected: Tokens,
    /// Actual cost.
    pub actual: Tokens,
}

/// Behaviour of the callers.
#[derive(Debug, Clone, Copy)]
pub struct Callers {
    /// Maximum duration of each attempt, including the response.
    pub timeout: Duration,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
}

/// Configuration and state of the router.
pub struct Router {
    pub queue: Queue,
    pub limits: Vec<Limit>,
    /// Limits retries while requests wait.
    pub budget: Option<Budget>,
    /// Whether deadlines are enforced: requests that cannot meet theirs are refused, streams past theirs are cancelled.
    pub enforces_deadlines: bool,
    /// Policy for pausing bulk streams for urgent requests, if enabled.
    pub preemption: Option<Policy>,
    /// Whether all requests are queued as one kind and group.
    pub ignores_kinds: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Refused(Code),
    /// The response was complete, in time or not.
    Completed,
    /// Cancelled at its deadline while it ran.
    Cancelled,
    /// Removed from the queue because its caller gave up.
    Abandoned,
}

/// One attempt at a request.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    pub request: usize,
    pub number: u32,
    pub at: Instant,
    pub started: Option<Instant>,
    pub ended: Option<(Instant, End)>,
    pub server: usize,
    /// Time of its last start or resumption, and tokens written before that.
    resumed: Instant,
    written: u64,
    pub pauses: u32,
    is_pausing: bool,
}

impl Attempt {
    /// Returns whether the caller received the whole response before it gave up.
    pub fn is_in_time(&self, callers: &Callers) -> bool {
        let limit = self.at + callers.timeout;
        matches!(self.ended, Some((at, End::Completed)) if at <= limit)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { request: usize, number: u32 },
    Finish { index: usize, pauses: u32 },
    Paused { index: usize },
    Timeout { index: usize },
    Tick,
}

struct Model<'load> {
    load: &'load [Request],
    callers: Callers,
    router: Router,
    backoff: Backoff,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    now: Instant,
    attempts: Vec<Attempt>,
    entries: HashMap<usize, Entry>,
}

/// Simulates the load until `end` or until no event is left, and returns all attempts.
pub fn run(load: &[Request], callers: Callers, router: Router, end: Instant) -> Vec<Attempt> {
    let mut model = Model {
        load,
        callers,
        router,
        backoff: Backoff::new(BackoffSettings::default(), 11),
        events: BinaryHeap::new(),
        sequence: 0,
        now: Instant::default(),
        attempts: Vec::new(),
        entries: HashMap::new(),
    };
    for (index, request) in load.iter().enumerate() {
        let arrival = Event::Arrive {
            request: index,
            number: 0,
        };
        model.schedule(request.at, arrival);
    }
    model.schedule(Instant::default(), Event::Tick);
    while let Some(Reverse((now, _, event))) = model.events.pop() {
        if now > end {
            break;
        }
        model.now = now;
        model.handle(event);
        model.start_ready();
    }
    model.attempts
}

impl Model<'_> {
    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request, number } => self.arrive(request, number),
            Event::Finish { index, pauses } => self.finish(index, pauses),
            Event::Paused { index } => self.paused(index),
            Event::Timeout { index } => self.time_out(index),
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self, request: usize, number: u32) {
        let index = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            number,
            at: self.now,
            started: None,
            ended: None,
            server: 0,
            resumed: self.now,
            written: 0,
            pauses: 0,
            is_pausing: false,
        });
        self.schedule(self.now + self.callers.timeout, Event::Timeout { index });
        if let Err(refusal) = self.admit(index) {
            self.refuse(index, &refusal);
        }
    }

    fn admit(&mut self, index: usize) -> Result<(), Refusal> {
        let now = self.now;
        let has_waiting = !self.router.queue.is_empty();
        if let Some(budget) = &mut self.router.budget {
            if self.attempts[index].number == 0 {
                budget.record_request(now);
            } else if has_waiting && !budget.try_retry(now) {
                return Err(Refusal::new(Code::Overloaded).with_retry_after(Duration::from_secs(2)));
            }
        }
        let request = self.load[self.attempts[index].request];
        let by = now + self.callers.timeout;
        let service = (TIME_PER_TOKEN * request.expected.0 as u32).mul_f64(SERVICE_MARGIN)
            + TIME_TO_FIRST_TOKEN;
        let entry = Entry {
            ticket: index as u64,
            group: if self.router.ignores_kinds {
                GroupKey(0)
            } else {
                request.group
            },
            kind: if self.router.ignores_kinds {
                URGENT
            } else {
                request.kind
            },
            pool: 0,
            cost: request.expected,
            deadline: if self.router.enforces_deadlines {
                deadline::latest_start(by, service)
            } else {
                now + Duration::from_secs(1_000_000)
            },
        };
        self.router.queue.push(now, entry)?;
        Ok(())
    }

    fn refuse(&mut self, index: usize, refusal: &Refusal) {
        self.end(index, End::Refused(refusal.code));
        self.schedule_retry(index, refusal.retry_after);
    }

    fn schedule_retry(&mut self, index: usize, retry_after: Option<Duration>) {
        let Attempt {
            request, number, ..
        } = self.attempts[index];
        if number + 1 >= self.callers.max_attempts {
            return;
        }
        let delay = self.backoff.delay_for(number, retry_after);
        let next = Event::Arrive {
            request,
            number: number + 1,
        };
        self.schedule(self.now + delay, next);
    }

    fn end(&mut self, index: usize, end: End) {
        let previous = self.attempts[index].ended.replace((self.now, end));
        assert!(previous.is_none(), "an attempt ended twice");
    }

    fn time_out(&mut self, index: usize) {
        if self.attempts[index].ended.is_some() {
            return;
        }
        if self.router.enforces_deadlines {
            if self.entries.contains_key(&index) {
                self.release(index, Outcome::Failed, None);
                self.end(index, End::Cancelled);
            } else {
                let removed = self.router.queue.remove(self.now, index as u64);
                assert!(removed.is_some(), "a queued request was lost");
                self.end(index, End::Abandoned);
            }
        }
        self.schedule_retry(index, None);
    }

    fn finish(&mut self, index: usize, pauses: u32) {
        let attempt = &self.attempts[index];
        if attempt.ended.is_some() || attempt.pauses != pauses {
            return;
        }
        let took = self.attempts[index].started.map(|at| self.now.since(at));
        let outcome = Outcome::Done {
            per_token: Some(TIME_PER_TOKEN),
        };
        self.release(index, outcome, took);
        self.end(index, End::Completed);
    }

    fn release(&mut self, index: usize, outcome: Outcome, took: Option<Duration>) {
        let request = self.load[self.attempts[index].request];
        let limit = &mut self.router.limits[self.attempts[index].server];
        limit.finish(self.now, class_of(request.kind), outcome);
        if let Some(entry) = self.entries.remove(&index) {
            self.router.queue.finish(&entry, took);
            self.router.queue.correct_cost(&entry, request.actual);
        }
    }

    fn tick(&mut self) {
        for entry in self.router.queue.expire(self.now) {
            let refusal = Refusal::new(Code::DeadlineTooNear);
            self.refuse(entry.ticket as usize, &refusal);
        }
        self.schedule(self.now + TICK_INTERVAL, Event::Tick);
    }

    fn start_ready(&mut self) {
        while let Some((entry, server)) = self.pop() {
            let index = entry.ticket as usize;
            self.entries.insert(index, entry);
            let attempt = &mut self.attempts[index];
            attempt.started.get_or_insert(self.now);
            attempt.resumed = self.now;
            attempt.server = server;
            let left = self.load[attempt.request].actual.0 - attempt.written;
            let tokens = left + attempt.written / READ_TOKENS_PER_WRITTEN;
            let pauses = attempt.pauses;
            let at = self.now + TIME_TO_FIRST_TOKEN + TIME_PER_TOKEN * tokens as u32;
            self.schedule(at, Event::Finish { index, pauses });
        }
        if self.router.queue.depth(URGENT) == 0 {
            return;
        }
        for limit in &mut self.router.limits {
            limit.raise_reserve(self.now);
        }
        self.preempt();
    }

    fn pop(&mut self) -> Option<(Entry, usize)> {
        let now = self.now;
        let limits = &mut self.router.limits;
        let (attempts, load) = (&self.attempts, self.load);
        let mut chosen = 0;
        let mut can_start = |entry: &Entry| {
            let class = class_of(load[attempts[entry.ticket as usize].request].kind);
            let available = (0..limits.len()).filter(|&at| limits[at].can_start(now, class));
            let Some(server) = available.min_by_key(|&at| limits[at].in_flight()) else {
                return false;
            };
            chosen = server;
            limits[server].try_start(now, class)
        };
        let entry = self.router.queue.pop(now, &mut can_start)?;
        Some((entry, chosen))
    }

    /// Pauses a bulk stream for each waiting urgent request.
    fn preempt(&mut self) {
        let Some(policy) = &self.router.preemption else {
            return;
        };
        let waiting = self.router.queue.depth(URGENT);
        if waiting == 0 || !policy.should_preempt(self.router.queue.next_finish(0)) {
            return;
        }
        let pausing = self
            .entries
            .keys()
            .filter(|&&index| self.attempts[index].is_pausing);
        let needed = waiting.saturating_sub(pausing.count());
        for _ in 0..needed {
            let streams = self.entries.keys().filter_map(|&index| self.stream(index));
            let policy = self.router.preemption.as_ref();
            let Some(ticket) = policy.and_then(|policy| policy.choose(self.now, streams)) else {
                return;
            };
            let index = ticket as usize;
            self.attempts[index].is_pausing = true;
            self.schedule(self.now + PAUSE_TIME, Event::Paused { index });
        }
    }

    fn written(&self, index: usize) -> u64 {
        let attempt = &self.attempts[index];
        let ran = self
            .now
            .since(attempt.resumed)
            .saturating_sub(TIME_TO_FIRST_TOKEN);
        let tokens = ran.as_micros() / TIME_PER_TOKEN.as_micros();
        (attempt.written + tokens as u64).min(self.load[attempt.request].actual.0)
    }

    fn stream(&self, index: usize) -> Option<Stream> {
        let attempt = &self.attempts[index];
        let is_bulk = self.load[attempt.request].kind != URGENT;
        let pausing = self.entries.keys().filter(|&&other| {
            self.attempts[other].is_pausing && self.attempts[other].server == attempt.server
        });
        let surplus = self.router.limits[attempt.server].preemptible_bulk() as usize;
        if !is_bulk || attempt.is_pausing || pausing.count() >= surplus {
            return None;
        }
        Some(Stream {
            ticket: index as u64,
            produced: Tokens(self.written(index)),
            pauses: attempt.pauses,
            latest_resume: self.latest_resume(index),
        })
    }

    fn latest_resume(&self, index: usize) -> Instant {
        let attempt = &self.attempts[index];
        let expected = self.load[attempt.request].expected.0;
        let left = expected.saturating_sub(self.written(index));
        let service = (TIME_PER_TOKEN * left as u32).mul_f64(SERVICE_MARGIN) + TIME_TO_FIRST_TOKEN;
        deadline::latest_start(attempt.at + self.callers.timeout, service)
    }

    fn paused(&mut self, index: usize) {
        self.attempts[index].is_pausing = false;
        if self.attempts[index].ended.is_some() {
            return;
        }
        let Some(mut entry) = self.entries.remove(&index) else {
            return;
        };
        entry.deadline = self.latest_resume(index);
        self.attempts[index].written = self.written(index);
        self.attempts[index].pauses += 1;
        let limit = &mut self.router.limits[self.attempts[index].server];
        limit.finish(self.now, Class::Bulk, Outcome::Failed);
        self.router.queue.requeue(self.now, entry);
    }
}

fn class_of(kind: KindKey) -> Class {
    if kind == URGENT {
        Class::Urgent
    } else {
        Class::Bulk
    }
}
