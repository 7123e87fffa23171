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

/// A slot, its table and backend servers, and the time.
struct World {
    now: Instant,
    table: Table,
    node: Node,
    /// Records of each backend server that answers.
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

    fn ask(&mut self, request: &Request) -> Reply {
        self.node
            .after_commit(&mut self.now, &mut self.table, request)
    }

    fn assign(&mut self, id: &str, holder: &str, attempt: u32, server: &str) {
        let owner = owner(holder, attempt);
        let stream = stream::id(&owner, digest(id));
        let server = server.into();
        self.node.ask(
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

    /// Carries out the sweep's actions for up to `seconds`; returns the totals when it asks to reclaim.
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
                for record in self.servers.get_mut(&server).expect("it is listed") {
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
                let reply = self.ask(&request);
                sweep.reply(self.now, slot, correlation, reply);
            }
            Action::Finished { .. } => {}
        }
    }
}

#[test]
fn streams_of_a_dead_router_are_billed_once_and_open_claims_at_their_hold() {
    // Symptom: tokens that a dead router's streams used are never charged, or charged twice.
    // Events: r dies with one answer billed, one ended and one running stream, and a claim without any record.
    // Cause: what a router owes is known to itself alone.
    let mut world = World::new(&["e1", "e2"]);
    for (attempt, id) in ["billed", "ended", "running", "lost"]
        .into_iter()
        .enumerate()
    {
        world.ask(&Request::Claim(claim(id, "r.1", attempt as u32)));
    }
    world.ask(&Request::Bill(bill("billed", "r.1", 0, 7)));
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
    let record = &mut world.servers.get_mut("e1").expect("it is there")[0];
    record.progress = Progress::Complete;
    record.tokens = Tokens(80);
    let charged = world.run(&mut sweep, 10);

    assert_eq!((early, charged), (None, Some(80)));
}

#[test]
fn nothing_is_freed_while_a_backend_server_is_out_of_reach() {
    // Symptom: a group spends more than it has prepaid.
    // Events: r dies, a backend server that runs its stream is cut off, r's allowance is given to others, and the
    // server goes on producing tokens.
    // Cause: silence is taken for an end.
    let mut world = World::new(&["e1", "e2"]);
    world.ask(&Request::Claim(claim("x", "r.1", 1)));
    let mut sweep = world.sweep();
    world.servers.remove("e2");

    let in_an_hour = world.run(&mut sweep, 3_600);
    sweep.server_terminated("e2");
    let afterwards = world.run(&mut sweep, 10);

    assert_eq!((in_an_hour, afterwards), (None, Some(500)));
}

#[test]
fn a_sweep_that_dies_halfway_is_done_over_by_another() {
    // Symptom: the budget takes back tokens that were spent, or charges them twice.
    // Events: a sweep has billed the streams and fixed the totals when its instance dies; another starts over.
    // Cause: the second one counts only what it billed itself.
    let mut world = World::new(&["e1"]);
    world.ask(&Request::Claim(claim("lost", "r.1", 2)));
    world.record("e1", "x", "r.1", 1, 40, Progress::Complete);

    let mut first = world.sweep();
    let once = world.run(&mut first, 60);
    let mut second = world.sweep();
    let again = world.run(&mut second, 60);
    let late = world.ask(&Request::Bill(bill("y", "r.1", 3, 70)));
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
    // Symptom: the budget takes back tokens that were spent.
    // Events: the answer to the freezing of a slot is held up, the question is repeated and answered, the stream is
    // billed, and the first answer arrives while the totals are asked for.
    // Cause: answers are told apart by their slot only.
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
        panic!("a question to the slot, not {first:?}");
    };
    let held_up = world.ask(&request);

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
    // Symptom: the living router's answer is not charged, or the dead router's part is charged besides.
    // Events: r dies, the caller's retry at s gets the claim, the sweep finds r's cancelled stream, s bills.
    // Cause: the sweep bills whatever it finds.
    let mut world = World::new(&["e1"]);
    world.ask(&Request::Claim(claim("x", "r.1", 1)));
    world.record("e1", "x", "r.1", 1, 40, Progress::Interrupted);
    let now = world.now;
    world.node.arbiter.set_terminated(now, names(&["r.1"]));

    let taken_over = world.ask(&Request::Claim(claim("x", "s.1", 5)));
    let mut sweep = world.sweep();
    let charged = world.run(&mut sweep, 60);
    let living = world.ask(&Request::Bill(bill("x", "s.1", 5, 90)));

    assert_eq!(
        taken_over,
        Reply::Granted {
            attempt: 5,
            durable: false
        }
    );
    assert_eq!(charged, Some(0));
    assert_eq!(living, billed(90));
}

#[test]
fn a_dead_routers_stream_is_read_on_until_its_server_has_no_record() {
    // Symptom: a request runs a second time although its first run is being produced.
    // Events: r dies with the stream on e1; the caller's retry comes to s.
    // Cause: the claim passes on although its stream can still be read.
    let mut world = World::new(&["e1"]);
    world.ask(&Request::Claim(claim("x", "r.1", 1)));
    world.assign("x", "r.1", 1, "e1");
    let alive = world.ask(&Request::Claim(claim("x", "s.1", 5)));
    let now = world.now;
    world.node.arbiter.set_terminated(now, names(&["r.1"]));

    let attached = world.ask(&Request::Claim(claim("x", "s.1", 6)));
    let lost = Some(owner("r.1", 1));
    let anew = world.ask(&Request::Claim(Claim {
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
        anew,
        Reply::Granted {
            attempt: 7,
            durable: false
        }
    );
}

#[test]
fn a_single_call_in_doubt_never_runs_again() {
    // Symptom: two interpreters are sent to one job.
    // Events: r claims a booking, sends it and dies; its server dies too; the caller asks again, and again after
    // the sweep.
    // Cause: a claim without an outcome is taken for one that did not run.
    let mut world = World::new(&[]);
    world.ask(&Request::Claim(non_repeatable("x", "r.1", 1)));
    let now = world.now;
    world.node.arbiter.set_terminated(now, names(&["r.1"]));

    let before = world.ask(&Request::Claim(non_repeatable("x", "s.1", 5)));
    let mut sweep = world.sweep();
    let charged = world.run(&mut sweep, 60);
    let after = world.ask(&Request::Claim(non_repeatable("x", "s.1", 6)));

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
    world.ask(&Request::Claim(claim("x", "r.1", 1)));
    let mut sweep = world.sweep();
    let charged = world.run(&mut sweep, 60);

    let again = world.ask(&Request::Claim(claim("x", "s.1", 5)));
    let second = world.ask(&Request::Bill(bill("x", "s.1", 5, 90)));
    let third = world.ask(&Request::Claim(claim("x", "s.1", 6)));

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
    // Symptom: a request stays under way at a router that ended long ago.
    // Events: r sends a claim that is held up on the way, dies and is swept; the claim arrives.
    // Cause: a closed router's messages are taken like any other's.
    let mut world = World::new(&[]);
    let mut sweep = world.sweep();
    world.run(&mut sweep, 60);

    let late = world.ask(&Request::Claim(claim("x", "r.1", 1)));
    let retry = world.ask(&Request::Claim(claim("x", "s.1", 1)));

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
