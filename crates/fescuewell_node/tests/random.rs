//! Random schedules of requests and faults, reproducible by seed.

mod common;

use common::backend::Reaction;
use common::document::document;
use common::world::World;
use fescuewell_core::prelude::*;
use fescuewell_node::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of steps in a schedule.
const STEPS: usize = 90;
/// Maximum number of instances that a schedule kills.
const MAX_KILLS: usize = 2;

/// One schedule in progress.
struct Schedule {
    world: World,
    random: SmallRng,
    prepaid: Tokens,
    /// Id, repeatability and ticket of every request.
    requests: Vec<(String, bool, Ticket)>,
    kills: usize,
    table_up_at: Instant,
    peers_up_at: Instant,
}

impl Schedule {
    fn new(seed: u64, prepaid: u64) -> Self {
        Self {
            world: World::new(3, &document(prepaid, 4), seed),
            random: SmallRng::seed_from_u64(seed ^ 0x5eed),
            prepaid: Tokens(prepaid),
            requests: Vec::new(),
            kills: 0,
            table_up_at: Instant::default(),
            peers_up_at: Instant::default(),
        }
    }

    fn node(&mut self) -> usize {
        let alive = self.world.alive();
        alive[self.random.random_range(0..alive.len())]
    }

    fn millis(&mut self, max_ms: u64) -> std::time::Duration {
        std::time::Duration::from_millis(self.random.random_range(100..max_ms))
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..45 => self.ask(true),
            45..60 => self.ask(false),
            60..70 => self.repeat(),
            70..75 => self.withdraw(),
            75..85 => self.inject_backend_fault(),
            85..89 => {
                self.table_up_at = self.world.now + self.millis(4_000);
                self.world.table.fault().set_down(true);
            }
            89..92 => self.world.table.fault().lose_next_replies(2),
            92..95 => {
                let node = self.node();
                let pause = self.random.random_range(100..8_000);
                self.world.pause(node, pause);
            }
            95 => self.leave(),
            96 => self.top_up(),
            97 => {
                self.peers_up_at = self.world.now + self.millis(2_000);
                self.world.is_partitioned = true;
            }
            _ => self.kill(),
        }
        let pause = self.random.random_range(0..300);
        self.world.run_for(pause);
        self.heal();
        self.check_budget();
    }

    fn ask(&mut self, repeatable: bool) {
        let node = self.node();
        let id = format!("job-{}", self.requests.len());
        let ticket = self.send(node, &id, repeatable);
        self.requests.push((id, repeatable, ticket));
    }

    fn send(&mut self, node: usize, id: &str, repeatable: bool) -> Ticket {
        match repeatable {
            true => self.world.submit(node, id),
            false => self.world.call(node, id, false),
        }
    }

    fn repeat(&mut self) {
        if self.requests.is_empty() {
            return;
        }
        let recent = self.requests.len().saturating_sub(8);
        let index = self.random.random_range(recent..self.requests.len());
        let (id, repeatable, _) = self.requests[index].clone();
        let node = self.node();
        let ticket = self.send(node, &id, repeatable);
        self.requests.push((id, repeatable, ticket));
    }

    // The listener withdraws a request only before it has received a verdict.
    fn withdraw(&mut self) {
        let Some((_, _, ticket)) = self.requests.last().cloned() else {
            return;
        };
        let request = &self.world.requests[&ticket];
        if request.runs.is_empty() && request.refused.is_none() && !request.is_reader {
            self.world.withdraw(ticket);
        }
    }

    fn inject_backend_fault(&mut self) {
        let faults = [
            Reaction::RefuseConnection,
            Reaction::Busy,
            Reaction::LoseResponse,
            Reaction::BreakAfterRun,
            Reaction::RunFor(4_000),
        ];
        let index = self.random.random_range(0..faults.len());
        self.world.backend.reactions.push_back(faults[index]);
    }

    fn kill(&mut self) {
        if self.kills == MAX_KILLS {
            return;
        }
        self.kills += 1;
        let node = self.node();
        self.world.kill(node);
        if self.random.random() {
            let pause = self.random.random_range(0..2_000);
            self.world.run_for(pause);
            self.world.restart(node);
            return;
        }
        self.world.start();
    }

    fn leave(&mut self) {
        let node = self.node();
        self.world.terminate(node);
        self.world.start();
    }

    fn top_up(&mut self) {
        if self.world.now < self.table_up_at {
            return;
        }
        self.world.table.fault().lose_next_replies(0);
        let before = document(self.prepaid.0, 4);
        self.prepaid += Tokens(300);
        self.world.accept(&before, &document(self.prepaid.0, 4));
    }

    fn heal(&mut self) {
        if self.world.now >= self.table_up_at {
            self.world.table.fault().set_down(false);
        }
        if self.world.now >= self.peers_up_at {
            self.world.is_partitioned = false;
        }
    }

    fn check_budget(&self) {
        assert!(self.world.budget().is_sound(), "{:?}", self.world.budget());
        assert!(self.world.charged() <= self.prepaid);
        assert_eq!(self.world.doubly_billed(), []);
    }

    fn finish(mut self, seed: u64) -> usize {
        self.table_up_at = Instant::default();
        self.peers_up_at = Instant::default();
        self.heal();
        self.world.table.fault().lose_next_replies(0);
        self.world.backend.reactions.clear();
        let settled = self.world.run_until(240_000, |world| {
            let names: Vec<String> = world
                .summaries()
                .iter()
                .map(|summary| summary.holder.to_string())
                .collect();
            let budget = world.budget();
            let mut holders = budget.grants.keys();
            world.open() == (Tokens::ZERO, 0)
                && holders.all(|holder| names.contains(&holder.to_string()))
        });
        assert!(
            settled,
            "seed {seed} {:#?} {:?}",
            self.world.summaries(),
            self.world.budget()
        );
        self.check_budget();
        self.check_requests(seed);
        for node in self.world.alive() {
            self.world.terminate(node);
        }
        let left = self
            .world
            .run_until(60_000, |world| world.alive().is_empty());
        assert!(left, "seed {seed} {:#?}", self.world.summaries());
        let budget = self.world.budget();
        assert!(budget.grants.is_empty(), "seed {seed} {budget:?}");
        assert_eq!(budget.spent, self.world.charged(), "seed {seed}");
        let requests = self.world.requests.values();
        requests
            .filter(|request| request.answered.is_some())
            .count()
    }

    fn check_requests(&self, seed: u64) {
        for (id, repeatable, ticket) in &self.requests {
            let request = &self.world.requests[ticket];
            let sends = self.world.backend.sends(request.key.digest());
            assert!(
                *repeatable || sends <= 1,
                "seed {seed} {id} sent {sends} times"
            );
            if request.answered.is_some() {
                assert_eq!(self.world.bills(id).len(), 1, "seed {seed} {id}");
            }
            let refusal = request.refused.as_ref().map(|(_, refusal)| refusal);
            let refused_as_not_run = refusal.is_some_and(|refusal| refusal.run == Run::NotRun);
            assert!(
                !refused_as_not_run || request.runs.iter().all(|(_, run)| !self.ran(&run.stream)),
                "seed {seed} {id}: {refusal:?}"
            );
        }
    }

    fn ran(&self, stream: &StreamId) -> bool {
        self.world.backend.streams.contains_key(stream)
    }
}

/// Runs one schedule and returns the number of requests with a complete response.
fn run(seed: u64, prepaid: u64, loss: u32) -> usize {
    let mut schedule = Schedule::new(seed, prepaid);
    schedule.world.loss = loss;
    for _ in 0..STEPS {
        schedule.step();
    }
    schedule.finish(seed)
}

#[test]
fn with_plenty_of_money_every_schedule_ends_settled_and_billed_once() {
    for seed in 100..108 {
        let answered = run(seed, 100_000, 0);
        assert!(
            answered >= 20,
            "seed {seed}: the schedule answered only {answered}"
        );
    }
}

#[test]
fn with_little_money_no_schedule_overspends() {
    for seed in 200..208 {
        let answered = run(seed, 2_000, 0);
        assert!(
            answered >= 10,
            "seed {seed}: the schedule answered only {answered}"
        );
    }
}

#[test]
fn with_a_lossy_network_every_schedule_ends_settled_and_billed_once() {
    for seed in 300..308 {
        let answered = run(seed, 100_000, 50);
        assert!(
            answered >= 20,
            "seed {seed}: the schedule answered only {answered}"
        );
    }
}
