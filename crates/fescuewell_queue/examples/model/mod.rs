//! A small virtual-time model: callers, one queue, and a few backend servers with a fixed number of places.
//!
//! Every stream runs at the same speed, whatever else runs on its server. Nothing reads a clock, so the
//! figures are the same on every machine.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_queue::admission::{Entry, Queue};
use fescuewell_queue::deadline;
use fescuewell_queue::limit::{Class, Limit, Outcome};
use fescuewell_queue::preempt::{Policy, Stream};
use fescuewell_queue::retry::{Backoff, BackoffSettings, Budget};

/// Time for each token of an answer.
pub const PER_TOKEN: Duration = Duration::from_millis(20);

/// Time from the start at the server to the first token.
pub const TO_FIRST_TOKEN: Duration = Duration::from_millis(150);

/// The router reckons with answers that take so many times what it expects.
const SERVICE_MARGIN: f64 = 1.2;

/// Time from the decision to pause a stream until its place is free.
const TO_PAUSE: Duration = Duration::from_millis(20);

/// Tokens that a server reads in the time in which it writes one; a resumed stream is read again.
const READ_PER_WRITTEN: u64 = 50;

/// How often the queue is searched for requests to give up.
const TICK: Duration = Duration::from_millis(100);

/// The most urgent kind; it alone may use the reserve.
pub const URGENT: KindKey = KindKey(0);

/// One request of the load.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub at: Instant,
    pub kind: KindKey,
    pub group: GroupKey,
    /// What the router expects it to cost.
    pub expected: Tokens,
    /// What it costs.
    pub actual: Tokens,
}

/// What callers do.
#[derive(Debug, Clone, Copy)]
pub struct Callers {
    /// How long each try may take, answer included.
    pub patience: Duration,
    /// Most tries of a request.
    pub tries: u32,
}

/// What the router does.
pub struct Router {
    pub admission: Queue,
    pub limits: Vec<Limit>,
    /// Bounds tries after the first one while something waits.
    pub budget: Option<Budget>,
    /// Whether deadlines are kept: unreachable ones refused, streams past theirs cut.
    pub keeps_deadlines: bool,
    /// Whether bulk streams are paused for urgent work.
    pub preempt: Option<Policy>,
    /// Whether all requests count as one kind and group.
    pub is_blind: bool,
}

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Refused(Code),
    /// Answered; in time or not.
    Answered,
    /// Cut by its deadline while it ran.
    Cut,
    /// Its caller left while it waited, and it was taken out.
    Left,
}

/// One try of a request.
#[derive(Debug, Clone, Copy)]
pub struct Try {
    pub request: usize,
    pub number: u32,
    pub at: Instant,
    pub started: Option<Instant>,
    pub ended: Option<(Instant, End)>,
    pub server: usize,
    /// Times of its last start or resumption, and tokens written before.
    resumed: Instant,
    written: u64,
    pub pauses: u32,
    is_pausing: bool,
}

impl Try {
    /// Whether the caller got its whole answer before it gave up.
    pub fn is_good(&self, callers: &Callers) -> bool {
        let limit = self.at + callers.patience;
        matches!(self.ended, Some((at, End::Answered)) if at <= limit)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { request: usize, number: u32 },
    Finish { index: usize, pauses: u32 },
    Paused { index: usize },
    GiveUp { index: usize },
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
    tries: Vec<Try>,
    entries: HashMap<usize, Entry>,
}

/// Runs the load until nothing is left, and returns all tries.
pub fn run(load: &[Request], callers: Callers, router: Router, end: Instant) -> Vec<Try> {
    let mut model = Model {
        load,
        callers,
        router,
        backoff: Backoff::new(BackoffSettings::default(), 11),
        events: BinaryHeap::new(),
        sequence: 0,
        now: Instant::default(),
        tries: Vec::new(),
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
        model.start_what_can();
    }
    model.tries
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
            Event::GiveUp { index } => self.give_up(index),
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self, request: usize, number: u32) {
        let index = self.tries.len();
        self.tries.push(Try {
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
        self.schedule(self.now + self.callers.patience, Event::GiveUp { index });
        if let Err(refusal) = self.admit(index) {
            self.refuse(index, &refusal);
        }
    }

    fn admit(&mut self, index: usize) -> Result<(), Refusal> {
        let now = self.now;
        let crowded = !self.router.admission.is_empty();
        if let Some(budget) = &mut self.router.budget {
            if self.tries[index].number == 0 {
                budget.record_request(now);
            } else if crowded && !budget.try_retry(now) {
                return Err(Refusal::new(Code::Overloaded).with_retry_after(Duration::from_secs(2)));
            }
        }
        let request = self.load[self.tries[index].request];
        let by = now + self.callers.patience;
        let service =
            (PER_TOKEN * request.expected.0 as u32).mul_f64(SERVICE_MARGIN) + TO_FIRST_TOKEN;
        let entry = Entry {
            ticket: index as u64,
            group: if self.router.is_blind {
                GroupKey(0)
            } else {
                request.group
            },
            kind: if self.router.is_blind {
                URGENT
            } else {
                request.kind
            },
            pool: 0,
            cost: request.expected,
            deadline: if self.router.keeps_deadlines {
                deadline::latest_start(by, service)
            } else {
                now + Duration::from_secs(1_000_000)
            },
        };
        self.router.admission.push(now, entry)?;
        Ok(())
    }

    fn refuse(&mut self, index: usize, refusal: &Refusal) {
        self.end(index, End::Refused(refusal.code));
        self.try_again(index, refusal.retry_after);
    }

    fn try_again(&mut self, index: usize, retry_after: Option<Duration>) {
        let Try {
            request, number, ..
        } = self.tries[index];
        if number + 1 >= self.callers.tries {
            return;
        }
        let pause = self.backoff.delay_for(number, retry_after);
        let next = Event::Arrive {
            request,
            number: number + 1,
        };
        self.schedule(self.now + pause, next);
    }

    fn end(&mut self, index: usize, end: End) {
        let known = self.tries[index].ended.replace((self.now, end));
        assert!(known.is_none(), "a try ended twice");
    }

    fn give_up(&mut self, index: usize) {
        if self.tries[index].ended.is_some() {
            return;
        }
        if self.router.keeps_deadlines {
            if self.entries.contains_key(&index) {
                self.free(index, Outcome::Failed, None);
                self.end(index, End::Cut);
            } else {
                let removed = self.router.admission.remove(self.now, index as u64);
                assert!(removed.is_some(), "a queued request vanished");
                self.end(index, End::Left);
            }
        }
        self.try_again(index, None);
    }

    fn finish(&mut self, index: usize, pauses: u32) {
        let each = &self.tries[index];
        if each.ended.is_some() || each.pauses != pauses {
            return;
        }
        let took = self.tries[index].started.map(|at| self.now.since(at));
        let outcome = Outcome::Done {
            per_token: Some(PER_TOKEN),
        };
        self.free(index, outcome, took);
        self.end(index, End::Answered);
    }

    fn free(&mut self, index: usize, outcome: Outcome, took: Option<Duration>) {
        let request = self.load[self.tries[index].request];
        let limit = &mut self.router.limits[self.tries[index].server];
        limit.finish(self.now, class_of(request.kind), outcome);
        if let Some(entry) = self.entries.remove(&index) {
            self.router.admission.finish(&entry, took);
            self.router.admission.correct_cost(&entry, request.actual);
        }
    }

    fn tick(&mut self) {
        for entry in self.router.admission.expire(self.now) {
            let refusal = Refusal::new(Code::DeadlineTooNear);
            self.refuse(entry.ticket as usize, &refusal);
        }
        self.schedule(self.now + TICK, Event::Tick);
    }

    fn start_what_can(&mut self) {
        while let Some((entry, server)) = self.pop() {
            let index = entry.ticket as usize;
            self.entries.insert(index, entry);
            let each = &mut self.tries[index];
            each.started.get_or_insert(self.now);
            each.resumed = self.now;
            each.server = server;
            let left = self.load[each.request].actual.0 - each.written;
            let tokens = left + each.written / READ_PER_WRITTEN;
            let pauses = each.pauses;
            let at = self.now + TO_FIRST_TOKEN + PER_TOKEN * tokens as u32;
            self.schedule(at, Event::Finish { index, pauses });
        }
        if self.router.admission.depth(URGENT) == 0 {
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
        let (tries, load) = (&self.tries, self.load);
        let mut chosen = 0;
        let mut can_start = |entry: &Entry| {
            let class = class_of(load[tries[entry.ticket as usize].request].kind);
            let with_place = (0..limits.len()).filter(|&at| limits[at].can_start(now, class));
            let Some(server) = with_place.min_by_key(|&at| limits[at].in_flight()) else {
                return false;
            };
            chosen = server;
            limits[server].try_start(now, class)
        };
        let entry = self.router.admission.pop(now, &mut can_start)?;
        Some((entry, chosen))
    }

    /// Pauses a bulk stream for each urgent request that waits.
    fn preempt(&mut self) {
        let Some(policy) = &self.router.preempt else {
            return;
        };
        let waiting = self.router.admission.depth(URGENT);
        if waiting == 0 || !policy.should_preempt(self.router.admission.next_finish(0)) {
            return;
        }
        let pausing = self
            .entries
            .keys()
            .filter(|&&index| self.tries[index].is_pausing);
        let needed = waiting.saturating_sub(pausing.count());
        for _ in 0..needed {
            let streams = self.entries.keys().filter_map(|&index| self.stream(index));
            let policy = self.router.preempt.as_ref();
            let Some(ticket) = policy.and_then(|policy| policy.choose(self.now, streams)) else {
                return;
            };
            let index = ticket as usize;
            self.tries[index].is_pausing = true;
            self.schedule(self.now + TO_PAUSE, Event::Paused { index });
        }
    }

    fn written(&self, index: usize) -> u64 {
        let each = &self.tries[index];
        let ran = self.now.since(each.resumed).saturating_sub(TO_FIRST_TOKEN);
        let tokens = ran.as_micros() / PER_TOKEN.as_micros();
        (each.written + tokens as u64).min(self.load[each.request].actual.0)
    }

    fn stream(&self, index: usize) -> Option<Stream> {
        let each = &self.tries[index];
        let is_bulk = self.load[each.request].kind != URGENT;
        let pausing = self.entries.keys().filter(|&&other| {
            self.tries[other].is_pausing && self.tries[other].server == each.server
        });
        let surplus = self.router.limits[each.server].preemptible_bulk() as usize;
        if !is_bulk || each.is_pausing || pausing.count() >= surplus {
            return None;
        }
        Some(Stream {
            ticket: index as u64,
            produced: Tokens(self.written(index)),
            pauses: each.pauses,
            latest_resume: self.latest_resume(index),
        })
    }

    fn latest_resume(&self, index: usize) -> Instant {
        let each = &self.tries[index];
        let expected = self.load[each.request].expected.0;
        let left = expected.saturating_sub(self.written(index));
        let service = (PER_TOKEN * left as u32).mul_f64(SERVICE_MARGIN) + TO_FIRST_TOKEN;
        deadline::latest_start(each.at + self.callers.patience, service)
    }

    fn paused(&mut self, index: usize) {
        self.tries[index].is_pausing = false;
        if self.tries[index].ended.is_some() {
            return;
        }
        let Some(mut entry) = self.entries.remove(&index) else {
            return;
        };
        entry.deadline = self.latest_resume(index);
        self.tries[index].written = self.written(index);
        self.tries[index].pauses += 1;
        let limit = &mut self.router.limits[self.tries[index].server];
        limit.finish(self.now, Class::Bulk, Outcome::Failed);
        self.router.admission.requeue(self.now, entry);
    }
}

fn class_of(kind: KindKey) -> Class {
    if kind == URGENT {
        Class::Urgent
    } else {
        Class::Bulk
    }
}
