//! The sweep of a terminated router.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_claims::message::{Assignment, Claim, Reply, Request, RequestState};
use fescuewell_claims::note::Note;
use fescuewell_claims::stream;
use fescuewell_claims::sweep::{Action, Progress, Settings, Stream, Sweep};
use fescuewell_core::prelude::*;

use support::*;

/// A slot, its table, backend servers and the current time.
struct World {
    now: Instant,
    table: Table,
    node: Node,
    /// Stream records of each backend server that replies.
    servers: BTreeMap<Arc<str>, Vec<Stream>>,
}

impl World {
    fn new(servers: &[&str]) -> Self {
        let (mut now, mut table) = (Instant::from_millis(0), Table::default());
        let node = Node::holding("a.1", &mut now, &mut table);
        let servers = servers.iter().map(|&name| (name.into(), Vec::new()));
        Self {
            now,
            table,
            node,
            servers: servers.collect(),
        }
    }

    fn submit(&mut self, request: &Request) -> Reply {
        self.node
            .reply_after_commit(&mut self.now, &mut self.table, request)
    }

    fn assign(&mut self, id: &str, holder: &str, attempt: u32, server: &str) {
        let owner = owner(holder, attempt);
        let stream = stream::id(&owner, digest(id));
        let server = server.into();
        self.node.submit(
            self.now,
            &Request::Assign {
                request: digest(id),
                owner,
                assignment: Assignment { server, stream },
            },
        );
    }

    fn record(
        &mut self,
        server: &str,
        id: &str,
        holder: &str,
        attempt: u32,
        tokens: u64,
        progress: Progress,
    ) {
        let record = Stream {
            stream: stream::id(&owner(holder, attempt), digest(id)),
            group: "signwise".into(),
            hold: Tokens(500),
            tokens: Tokens(tokens),
            progress,
            response: None,
        };
        self.servers.entry(server.into()).or_default().push(record);
    }

    fn sweep(&self) -> Sweep {
        let settings = Settings {
            slots: 1,
            cancel_after: Duration::from_secs(30),
            ..Settings::default()
        };
        let servers: Vec<Arc<str>> = self.servers.keys().cloned().collect();
        Sweep::new(self.now, settings, "r.1", &servers)
    }

    /// Performs the sweep's actions for up to `seconds`; returns the totals when it asks to
    /// reclaim.
    fn run(&mut self, sweep: &mut Sweep, seconds: u64) -> Option<u64> {
        for _ in 0..seconds * 10 {
            self.now = self.now + Duration::from_millis(100);
            for action in sweep.take_actions(self.now) {
                if let Action::Finished { totals } = action {
                    return Some(totals.iter().map(|(_, charged)| charged.0).sum());
                }
                self.carry_out(sweep, action);
            }
        }
        None
    }

    fn carry_out(&mut self, sweep: &mut Sweep, action: Action) {
        match action {
            Action::ListStreams { server } => match self.servers.get(&server) {
                Some(records) => sweep.record_streams(self.now, &server, records),
                None => sweep.server_failed(self.now, &server),
            },
            Action::Cancel { server, stream } => {
                for record in self.servers.get_mut(&server).expect("the server exists") {
                    if record.stream == stream {
                        record.progress = Progress::Interrupted;
                    }
                }
            }
            Action::Send {
                slot,
                correlation,
                request,
            } => {
                let reply = self.submit(&request);
                sweep.reply(self.now, slot, correlation, reply);
            }
            Action::Finished { .. } => {}
        }
    }
}

#[test]
fn streams_of_a_dead_router_are_billed_once_and_open_claims_at_their_hold() {
    // Router r terminates with a billed request, an ended stream, a running stream, and a claim
    // without any stream record. Each must be charged exactly once, although only r knew what it
    // owed.
    let mut world = World::new(&["e1", "e2"]);
    for (attempt, id) in ["billed", "ended", "running", "lost"]
        .into_iter()
        .enumerate()
    {
        world.submit(&Request::Claim(claim(id, "r.1", attempt as u32)));
    }
    world.submit(&Request::Bill(bill("billed", "r.1", 0, 7)));
    world.record("e1", "billed", "r.1", 0, 7, Progress::Complete);
    world.record("e1", "ended", "r.1", 1, 40, Progress::Complete);
    world.record("e2", "running", "r.1", 2, 60, Progress::Running);
    world.record("e2", "other", "s.1", 9, 99, Progress::Running);

    let mut sweep = world.sweep();
    let charged = world.run(&mut sweep, 60);
    sweep.reclaimed();
    world.run(&mut sweep, 10);

    assert_eq!(charged, Some(7 + 40 + 60 + 500));
    assert!(sweep.is_done());
    let is_in_doubt = |note: &Note| matches!(note, Note::BillInDoubt { .. });
    assert!(world.node.notes.iter().any(is_in_doubt));
    let untouched = &world.servers["e2"][1];
    assert_eq!(untouched.progress, Progress::Running);
}

#[test]
fn a_running_stream_may_end_before_patience_is_over() {
    let mut world = World::new(&["e1"]);
    world.record("e1", "x", "r.1", 1, 60, Progress::Running);

    let mut sweep = world.sweep();
    let early = world.run(&mut sweep, 10);
    let record = &mut world.servers.get_mut("e1").expect("e1 has a record")[0];
    record.progress = Progress::Complete;
    record.tokens = Tokens(80);
    let charged = world.run(&mut sweep, 10);

    assert_eq!((early, charged), (None, Some(80)));
}

#[test]
fn nothing_is_freed_while_a_backend_server_is_out_of_reach() {
    // A backend server that runs a stream of a terminated router is unreachable and goes on
    // producing tokens. If its silence were taken for the end of the stream, the router's allowance
    // would be given to others and the group would spend more than it has prepaid.
    let mut world = World::new(&["e1", "e2"]);
    world.submit(&Request::Claim(claim("x", "r.1", 1)));
    let mut sweep = world.sweep();
    world.servers.remove("e2");

    let in_an_hour = world.run(&mut sweep, 3_600);
    sweep.server_terminated("e2");
    let afterwards = world.run(&mut sweep, 10);

    assert_eq!((in_an_hour, afterwards), (None, Some(500)));
}

#[test]
fn a_sweep_that_dies_halfway_is_done_over_by_another() {
    // A sweep has billed the streams and fixed the totals when its instance terminates, and another
    // starts over. If the second counted only what it billed itself, the budget would take back
    // tokens that were spent, or charge them twice.
    let mut world = World::new(&["e1"]);
    world.submit(&Request::Claim(claim("lost", "r.1", 2)));
    world.record("e1", "x", "r.1", 1, 40, Progress::Complete);

    let mut first = world.sweep();
    let once = world.run(&mut first, 60);
    let mut second = world.sweep();
    let again = world.run(&mut second, 60);
    let late = world.submit(&Request::Bill(bill("y", "r.1", 3, 70)));
    let mut third = world.sweep();
    let after_late = world.run(&mut third, 60);

    assert_eq!((once, again, after_late), (Some(540), Some(540), Some(540)));
    assert_eq!(
        late,
        billed(0),
        "there is no allowance left from which to charge it"
    );
}

#[test]
fn a_late_answer_to_the_first_question_is_not_taken_for_the_last() {
    // The reply to `Freeze` is delayed, the request is repeated and answered, and the stream is
    // billed. The first reply then arrives while the totals are requested. If replies were matched
    // by slot only, the budget would take back tokens that were spent.
    let mut world = World::new(&["e1"]);
    world.record("e1", "x", "r.1", 1, 40, Progress::Complete);
    let mut sweep = world.sweep();
    let first = sweep.take_actions(world.now).remove(0);
    let Action::Send {
        slot,
        correlation,
        request,
    } = first
    else {
        panic!("expected a request to the slot, got {first:?}");
    };
    let held_up = world.submit(&request);

    while sweep.step() != "finishing" {
        world.now = world.now + Duration::from_millis(500);
        for action in sweep.take_actions(world.now) {
            world.carry_out(&mut sweep, action);
        }
    }
    let last = sweep.take_actions(world.now).remove(0);
    sweep.reply(world.now, slot, correlation, held_up);
    world.carry_out(&mut sweep, last);
    let charged = world.run(&mut sweep, 10);

    assert_eq!(charged, Some(40));
}

#[test]
fn a_request_that_another_router_has_taken_over_is_that_routers_to_bill() {
    // Router r terminates, the caller's retry at s gets the claim, the sweep finds r's cancelled
    // stream, and s bills. If the sweep billed every stream it finds, s's response would not be
    // charged, or r's partial response would be charged as well.
    let mut world = World::new(&["e1"]);
    world.submit(&Request::Claim(claim("x", "r.1", 1)));
    world.record("e1", "x", "r.1", 1, 40, Progress::Interrupted);
    let now = world.now;
    world.node.arbiter.set_terminated(now, names(&["r.1"]));

    let taken_over = world.submit(&Request::Claim(claim("x", "s.1", 5)));
    let mut sweep = world.sweep();
    let charged = world.run(&mut sweep, 60);
    let live_bill = world.submit(&Request::Bill(bill("x", "s.1", 5, 90)));

    assert_eq!(
        taken_over,
        Reply::Granted {
            attempt: 5,
            durable: false
        }
    );
    assert_eq!(charged, Some(0));
    assert_eq!(live_bill, billed(90));
}

/// Guards against a response that is charged as another attempt's stream: a slot that was without a holder for
/// seconds is frozen at last, and the bill of the response arrives a second later.
#[test]
fn streams_are_not_billed_at_once_when_the_last_slot_is_frozen() {
    let mut world = World::new(&["e1"]);
    world.record("e1", "x", "r.1", 1, 40, Progress::Complete);
    let mut sweep = world.sweep();
    // No reply of the slot for ten seconds.
    for _ in 0..100 {
        world.now = world.now + Duration::from_millis(100);
        sweep.take_actions(world.now);
    }

    let early = world.run(&mut sweep, 2);
    let bill = world.submit(&Request::Bill(bill("x", "s.1", 5, 90)));
    let charged = world.run(&mut sweep, 10);

    assert_eq!((early, bill), (None, billed(90)));
    assert_eq!(charged, Some(0));
}

#[test]
fn a_dead_routers_stream_is_read_on_until_its_server_has_no_record() {
    // Router r terminates with a stream on e1, and the caller's retry arrives at s. If the claim
    // were passed on while the stream can still be read, the request would run a second time.
    let mut world = World::new(&["e1"]);
    world.submit(&Request::Claim(claim("x", "r.1", 1)));
    world.assign("x", "r.1", 1, "e1");
    let alive = world.submit(&Request::Claim(claim("x", "s.1", 5)));
    let now = world.now;
    world.node.arbiter.set_terminated(now, names(&["r.1"]));

    let attached = world.submit(&Request::Claim(claim("x", "s.1", 6)));
    let lost = Some(owner("r.1", 1));
    let granted_again = world.submit(&Request::Claim(Claim {
        lost,
        ..claim("x", "s.1", 7)
    }));

    let first = owner("r.1", 1);
    let assignment = Some(Assignment {
        server: "e1".into(),
        stream: stream::id(&first, digest("x")),
    });
    let under_way = Reply::Known(RequestState::InProgress {
        owner: first,
        assignment,
    });
    assert_eq!((&alive, &attached), (&under_way, &under_way));
    assert_eq!(
        granted_again,
        Reply::Granted {
            attempt: 7,
            durable: false
        }
    );
}

#[test]
fn a_single_call_in_doubt_never_runs_again() {
    // Router r claims a booking, sends it and terminates, and so does its backend server. The
    // caller retries before and after the sweep. If a claim without an outcome were taken for one
    // that did not run, two interpreters would be sent to one job.
    let mut world = World::new(&[]);
    world.submit(&Request::Claim(non_repeatable("x", "r.1", 1)));
    let now = world.now;
    world.node.arbiter.set_terminated(now, names(&["r.1"]));

    let before = world.submit(&Request::Claim(non_repeatable("x", "s.1", 5)));
    let mut sweep = world.sweep();
    let charged = world.run(&mut sweep, 60);
    let after = world.submit(&Request::Claim(non_repeatable("x", "s.1", 6)));

    assert!(matches!(
        before,
        Reply::Known(RequestState::InProgress { .. })
    ));
    assert_eq!(charged, Some(500));
    let unknown = RequestState::Done {
        assignment: None,
        response: None,
        in_doubt: true,
    };
    assert_eq!(after, Reply::Known(unknown));
}

#[test]
fn a_repeatable_call_in_doubt_runs_again_without_a_second_charge() {
    let mut world = World::new(&[]);
    world.submit(&Request::Claim(claim("x", "r.1", 1)));
    let mut sweep = world.sweep();
    let charged = world.run(&mut sweep, 60);

    let again = world.submit(&Request::Claim(claim("x", "s.1", 5)));
    let second = world.submit(&Request::Bill(bill("x", "s.1", 5, 90)));
    let third = world.submit(&Request::Claim(claim("x", "s.1", 6)));

    assert_eq!(charged, Some(500));
    assert_eq!(
        again,
        Reply::Granted {
            attempt: 5,
            durable: false
        }
    );
    assert_eq!(second, billed(0));
    assert!(matches!(
        third,
        Reply::Known(RequestState::Done {
            in_doubt: false,
            ..
        })
    ));
}

#[test]
fn a_late_claim_of_a_closed_router_is_not_granted() {
    // A claim from r is delayed until after r has been swept. If it were granted, the request would
    // stay in progress at a router that no longer exists.
    let mut world = World::new(&[]);
    let mut sweep = world.sweep();
    world.run(&mut sweep, 60);

    let late = world.submit(&Request::Claim(claim("x", "r.1", 1)));
    let retry = world.submit(&Request::Claim(claim("x", "s.1", 1)));

    assert_eq!(late, Reply::Unavailable);
    assert_eq!(
        retry,
        Reply::Granted {
            attempt: 1,
            durable: false
        }
    );
}

#[test]
fn an_attempt_sent_to_two_servers_is_charged_for_the_one_that_ended() {
    let mut world = World::new(&["e1", "e2"]);
    world.record("e1", "x", "r.1", 1, 90, Progress::Interrupted);
    world.record("e2", "x", "r.1", 1, 60, Progress::Complete);

    let mut sweep = world.sweep();
    let charged = world.run(&mut sweep, 60);

    assert_eq!(charged, Some(60));
}
