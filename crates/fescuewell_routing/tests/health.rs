//! Ejection of servers without progress, and slow start.

mod common;

use common::*;
use fescuewell_core::prelude::*;
use fescuewell_routing::prelude::*;

const ENGINES: u32 = 10;
const STREAMS: u64 = 4;

/// Engines with a constant number of streams, each with one token per `gaps[engine]` milliseconds.
struct Fleet {
    router: Router,
    gaps: Vec<u64>,
    changes: Vec<(u64, Change)>,
    now: u64,
}

fn fleet(gap: u64) -> Fleet {
    let mut router = router(ENGINES);
    for server in keys(ENGINES) {
        let first = u64::from(server.0) * STREAMS;
        send(&mut router, at(0), server, first, STREAMS);
    }
    Fleet {
        router,
        gaps: vec![gap; ENGINES as usize],
        changes: Vec::new(),
        now: 0,
    }
}

impl Fleet {
    fn run(&mut self, millis: u64) {
        for now in self.now + 1..=self.now + millis {
            for (engine, gap) in self.gaps.iter().enumerate() {
                if *gap == 0 || now % gap != 0 {
                    continue;
                }
                let first = engine as u64 * STREAMS;
                for ticket in first..first + STREAMS {
                    let server = ServerKey(engine as u32);
                    self.router.progressed(at(now), server, Ticket(ticket), 1);
                }
            }
            if now % 250 == 0 {
                let changes = self.router.tick(at(now));
                self.changes
                    .extend(changes.into_iter().map(|change| (now, change)));
            }
        }
        self.now += millis;
    }

    fn ejected(&self) -> Vec<ServerKey> {
        let ejected = |(_, change): &(u64, Change)| match change {
            Change::Ejected { server, .. } => Some(*server),
            _ => None,
        };
        self.changes.iter().filter_map(ejected).collect()
    }
}

#[test]
fn a_slow_server_is_ejected_though_it_makes_progress() {
    // One engine needs five times as long per token as the others while its health checks pass.
    // Only a comparison of stream progress detects it.
    let mut fleet = fleet(20);
    fleet.run(2_000);
    fleet.gaps[3] = 100;
    fleet.run(6_000);

    assert_eq!(fleet.ejected(), [ServerKey(3)]);
    assert_eq!(fleet.router.health_state(ServerKey(3)), Some("ejected"));
    let reach = [ServerKey(3)];
    let refused = fleet.router.choose(at(fleet.now), &query(&reach, &[]));
    assert_eq!(refused, Err(NoChoice::AllEjected));
}

#[test]
fn a_silent_server_is_ejected() {
    let mut fleet = fleet(20);
    fleet.run(1_000);
    fleet.gaps[5] = 0;
    fleet.run(5_500);

    assert_eq!(fleet.ejected(), [ServerKey(5)]);
}

#[test]
fn a_burst_of_long_prompts_does_not_eject_a_healthy_server() {
    // An engine repeatedly computes long prompts for most of a second, which delays the tokens of
    // its other streams fivefold. A comparison of mean times per token takes such bursts for a
    // fault and ejects a few healthy engines per minute.
    let mut fleet = fleet(20);
    fleet.run(2_000);
    for _ in 0..10 {
        fleet.gaps[3] = 100;
        fleet.run(800);
        fleet.gaps[3] = 20;
        fleet.run(400);
    }

    assert_eq!(fleet.ejected(), []);
}

#[test]
fn when_all_are_equally_slow_nobody_is_ejected() {
    let mut fleet = fleet(20);
    fleet.run(1_000);
    fleet.gaps.fill(400);
    fleet.run(10_000);

    assert_eq!(fleet.ejected(), []);
}

#[test]
fn never_more_than_a_share_is_ejected_at_once() {
    // A network fault near this instance stalls the streams on all ten engines at once. Ejecting
    // each one independently would overload the few that remain.
    let mut fleet = fleet(20);
    fleet.run(1_000);
    fleet.gaps.fill(0);
    fleet.run(9_000);
    assert_eq!(fleet.ejected().len(), 2);

    // The same holds while the first two return and fail again.
    for _ in 0..80 {
        fleet.run(500);
        let state = |server: &ServerKey| fleet.router.health_state(*server).unwrap();
        let out = |server: &ServerKey| ["ejected", "returning"].contains(&state(server));
        assert_eq!(keys(ENGINES).iter().filter(|server| out(server)).count(), 2);
    }
    let reach = keys(ENGINES);
    assert!(
        fleet
            .router
            .choose(at(fleet.now), &query(&reach, &[]))
            .is_ok()
    );
}

#[test]
fn failures_in_a_row_eject_and_one_success_between_does_not() {
    let mut router = router(5);
    for ticket in 0..3 {
        for server in [ServerKey(1), ServerKey(2)] {
            router.started(at(ticket), server, Ticket(ticket), 10);
            let good = server == ServerKey(2) && ticket == 1;
            let outcome = if good { Outcome::Done } else { Outcome::Failed };
            router.finished(at(ticket), server, Ticket(ticket), outcome);
        }
    }
    router.tick(at(100));
    let changes = router.tick(at(2_000));

    let cause = Cause::Failing { failures: 3 };
    let server = ServerKey(1);
    assert_eq!(changes, [Change::Ejected { server, cause }]);
}

/// A router with five servers, of which server 1 was ejected at two seconds.
fn with_ejected() -> Router {
    let mut router = router(5);
    for ticket in 0..3 {
        router.started(at(0), ServerKey(1), Ticket(ticket), 10);
        router.finished(at(0), ServerKey(1), Ticket(ticket), Outcome::Failed);
    }
    router.tick(at(100));
    router.tick(at(2_000));
    assert_eq!(router.health_state(ServerKey(1)), Some("ejected"));
    router
}

#[test]
fn an_ejected_server_returns_by_a_probe_and_little_by_little() {
    // With its full load right after a successful probe, a returning server would be overloaded and
    // fail again.
    let mut router = with_ejected();
    let server = ServerKey(1);
    let reach = [server];
    assert_eq!(router.tick(at(11_000)), []);
    assert_eq!(router.tick(at(12_500)), [Change::Probe { server }]);
    let early = router.choose(at(12_600), &query(&reach, &[]));
    router.started(at(12_600), server, Ticket(50), 1);
    router.finished(at(12_700), server, Ticket(50), Outcome::Done);
    assert_eq!(router.tick(at(12_800)), [Change::Returned { server }]);

    let mut taken = Vec::new();
    for millis in [12_800, 22_700, 40_000] {
        router.tick(at(millis));
        let mut count = 0;
        while router.choose(at(millis), &query(&reach, &[])).is_ok() {
            router.started(at(millis), server, Ticket(1_000 + count), 1);
            count += 1;
        }
        taken.push(count);
        for ticket in 0..count {
            router.finished(
                at(millis),
                server,
                Ticket(1_000 + ticket),
                Outcome::Cancelled,
            );
        }
    }

    assert_eq!(early, Err(NoChoice::AllEjected));
    assert!(taken[0] <= 2, "{taken:?}");
    assert!(taken[0] < taken[1] && taken[1] < taken[2], "{taken:?}");
    assert_eq!(router.health_state(server), Some("healthy"));
}

#[test]
fn a_server_that_fails_again_stays_out_longer() {
    let mut router = with_ejected();
    let server = ServerKey(1);
    assert_eq!(router.tick(at(12_500)), [Change::Probe { server }]);
    for ticket in 0..3 {
        router.started(at(12_600), server, Ticket(ticket), 1);
        router.finished(at(12_700), server, Ticket(ticket), Outcome::Failed);
    }
    let again = router.tick(at(13_000));

    let cause = Cause::Failing { failures: 3 };
    assert_eq!(again, [Change::Ejected { server, cause }]);
    assert_eq!(router.tick(at(32_000)), []);
    assert_eq!(router.tick(at(33_500)), [Change::Probe { server }]);
}

#[test]
fn without_probes_one_ordinary_request_at_a_time_is_let_through() {
    let mut router = with_ejected();
    let reach = [ServerKey(1)];
    router.tick(at(12_500));

    let first = router.choose(at(16_000), &query(&reach, &[]));
    router.started(at(16_000), ServerKey(1), Ticket(9), 1);
    let second = router.choose(at(16_000), &query(&reach, &[]));

    assert!(first.is_ok());
    assert_eq!(second, Err(NoChoice::AllBusy));
}

/// Guards against a server that counts as heard, or as quiet, although nothing shows it.
#[test]
fn a_server_is_quiet_that_was_heard_before_and_not_since() {
    let (reporting, working, idle) = (ServerKey(0), ServerKey(1), ServerKey(2));
    let mut router = router(4);
    router.record_load(at(100), reporting, report(1, 0, 0));
    send(&mut router, at(0), working, 1, 2);
    router.progressed(at(100), working, Ticket(1), 1);
    send(&mut router, at(0), idle, 3, 1);
    router.finished(at(100), idle, Ticket(3), Outcome::Done);

    let quiet = |router: &Router, since| {
        let servers = keys(4).into_iter();
        let quiet = servers.filter(|server| router.is_quiet(*server, at(since)));
        quiet.collect::<Vec<_>>()
    };

    assert!(quiet(&router, 100).is_empty());
    assert_eq!(quiet(&router, 200), [reporting, working]);
    router.record_load(at(300), reporting, report(1, 0, 0));
    router.progressed(at(300), working, Ticket(2), 1);
    assert!(quiet(&router, 200).is_empty());
}
