//! The holder of a slot when the table fails, loses replies, or another instance has taken the
//! slot.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use fescuewell_claims::arbiter::Settings;
use fescuewell_claims::ledger::Retention;
use fescuewell_claims::message::{Bill, Phase, Reply, Request, RequestState};
use fescuewell_claims::note::Note;
use fescuewell_claims::record::{Batch, Record};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{MAX_ENTRIES, Row};

use support::*;

fn totals(node: &mut Node, now: &mut Instant, table: &mut Table, holder: &str) -> Vec<u64> {
    let holder = holder.into();
    let phase = Phase::Freeze;
    let reply = node.reply_after_commit(now, table, &Request::Close { holder, phase });
    let Reply::Closed { totals, .. } = reply else {
        panic!("expected `Reply::Closed`, got {reply:?}");
    };
    totals.into_iter().map(|(_, charged)| charged.0).collect()
}

fn rows_of<'a>(table: &'a Table, prefix: &str) -> Vec<&'a Row> {
    let rows = table.rows.values();
    rows.filter(|row| row.key.starts_with(prefix)).collect()
}

fn is_compaction(row: &Row) -> bool {
    let batch: Batch = postcard::from_bytes(&row.value).expect("the row is a log row");
    let is_compaction = |record: &Record| matches!(record, Record::Compact { .. });
    batch.records.iter().any(is_compaction)
}

#[test]
fn a_lost_reply_neither_refuses_nor_logs_twice() {
    // The table commits, its reply is lost, and the next read works. If the lost reply were taken
    // for a failed write, the call would be refused although its claim is recorded, or the record
    // would be logged twice.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    node.run(&mut now, &mut table, 100);
    let commits = table.commits;

    let ticket = node.submit(now, &Request::Claim(non_repeatable("x", "r.1", 1)));
    table.fault = Fault::LosesReplies;
    let step = node.arbiter.next_step(now).expect("a commit is due");
    let lost = table.carry_out(&step);
    node.arbiter.reply(now, lost);
    table.fault = Fault::None;
    node.run(&mut now, &mut table, 300);

    let granted = Reply::Granted {
        attempt: 1,
        durable: true,
    };
    assert_eq!(node.replies.get(&ticket), Some(&granted));
    assert_eq!(table.commits, commits + 1);
}

#[test]
fn a_write_that_arrives_after_its_repetition_changes_nothing() {
    // A commit is delayed, the read-back finds nothing, the commit is sent again, and then both
    // arrive. If the retry were a new write rather than the same one, the bill would be charged
    // twice, or the holder would believe that it lost its slot.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    node.run(&mut now, &mut table, 100);

    let ticket = node.submit(now, &Request::Bill(bill("x", "r.1", 1, 70)));
    now = now + settings().flush_interval;
    table.fault = Fault::Delays;
    let step = node.arbiter.next_step(now).expect("a commit is due");
    let lost = table.carry_out(&step);
    node.arbiter.reply(now, lost);
    table.fault = Fault::None;
    let read_back = node.arbiter.next_step(now).expect("the row is read back");
    let rows = table.carry_out(&read_back);
    table.deliver_delayed();
    node.arbiter.reply(now, rows);
    node.run(&mut now, &mut table, 300);

    assert_eq!(node.replies.get(&ticket), Some(&billed(70)));
    assert!(node.arbiter.holds(SLOT));
    assert_eq!(totals(&mut node, &mut now, &mut table, "r.1"), [70]);
}

#[test]
fn an_outage_refuses_single_calls_and_serves_the_others_from_memory() {
    // Both kinds of calls arrive while the table is down. Non-repeatable calls must neither hang
    // until the table recovers nor be sent without a durable claim.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    table.fault = Fault::Down;
    node.reply_now(now, &Request::Claim(claim("w", "r.1", 1)));
    node.run(&mut now, &mut table, 200);

    let refused = node.reply_now(now, &Request::Claim(non_repeatable("x", "r.1", 2)));
    let server_count = node.reply_now(now, &Request::Claim(claim("y", "r.1", 3)));
    let kept = node.reply_now(now, &Request::Bill(bill("y", "r.1", 3, 70)));
    let repeat = node.reply_now(now, &Request::Claim(claim("y", "s.1", 1)));
    node.run(&mut now, &mut table, 3_600_000);
    table.fault = Fault::None;
    node.run(&mut now, &mut table, 10_000);
    let durable = node.reply_now(now, &Request::Bill(bill("y", "r.1", 3, 70)));

    assert_eq!(refused, Reply::Unavailable);
    assert_eq!(
        server_count,
        Reply::Granted {
            attempt: 3,
            durable: false
        }
    );
    assert_eq!(kept, Reply::Unavailable);
    assert!(matches!(repeat, Reply::Known(RequestState::Done { .. })));
    assert_eq!(durable, billed(70));
}

#[test]
fn a_claim_refused_in_an_outage_does_not_block_the_retry() {
    // The commit of a claim takes effect, all replies are lost, and the router refuses the call. If
    // the claim stayed open, the caller's retry would be refused as in progress forever.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    node.run(&mut now, &mut table, 100);

    table.fault = Fault::LosesReplies;
    let refused = node.submit(now, &Request::Claim(non_repeatable("x", "r.1", 1)));
    node.run(&mut now, &mut table, 300);
    table.fault = Fault::None;
    node.run(&mut now, &mut table, 1_000);
    let late_copy = node.reply_now(now, &Request::Claim(non_repeatable("x", "r.1", 1)));
    let retry = non_repeatable("x", "s.1", 1);
    let retried = node.reply_after_commit(&mut now, &mut table, &Request::Claim(retry));

    assert_eq!(node.replies[&refused], Reply::Unavailable);
    assert_eq!(late_copy, Reply::Unavailable);
    assert_eq!(
        retried,
        Reply::Granted {
            attempt: 1,
            durable: true
        }
    );
}

#[test]
fn a_paused_holder_grants_nothing_durable_after_it_was_replaced() {
    // A holder receives a claim and pauses past its lease; another instance takes the slot and
    // grants the same request; the first one resumes and commits. The table must reject that
    // commit, since a lease checked before the pause does not prevent the booking from running
    // twice.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut paused = Node::holding("a.1", &mut now, &mut table);
    paused.run(&mut now, &mut table, 100);

    let ticket = paused.submit(now, &Request::Claim(non_repeatable("x", "r.1", 1)));
    let mut successor = Node::new("b.1", settings());
    successor.take(&mut now, &mut table, &["a.1"]);
    let other = non_repeatable("x", "s.1", 1);
    let granted = successor.reply_after_commit(&mut now, &mut table, &Request::Claim(other));
    paused.run(&mut now, &mut table, 300);

    assert_eq!(
        granted,
        Reply::Granted {
            attempt: 1,
            durable: true
        }
    );
    assert_eq!(paused.replies[&ticket], Reply::NotHolder);
    let is_lost = |note: &Note| matches!(note, Note::SlotLost { dropped: 3, .. });
    assert!(paused.notes.iter().any(is_lost), "{:?}", paused.notes);
}

#[test]
fn an_idle_holder_learns_that_it_was_replaced() {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut paused = Node::holding("a.1", &mut now, &mut table);
    paused.run(&mut now, &mut table, 100);

    let mut successor = Node::new("b.1", settings());
    successor.take(&mut now, &mut table, &["a.1"]);
    paused.run(&mut now, &mut table, 2_000);

    assert!(!paused.arbiter.holds(SLOT));
}

#[test]
fn a_bill_lost_with_a_paused_holder_is_charged_by_the_next_one() {
    // A holder decides a bill and is replaced before the commit. The router must keep the bill
    // until it is durable and send it again; otherwise the request is never billed.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut paused = Node::holding("a.1", &mut now, &mut table);
    paused.run(&mut now, &mut table, 100);

    let unanswered = paused.submit(now, &Request::Bill(bill("x", "r.1", 1, 70)));
    let mut successor = Node::new("b.1", settings());
    successor.take(&mut now, &mut table, &["a.1"]);
    paused.run(&mut now, &mut table, 300);
    let bill = Request::Bill(bill("x", "r.1", 1, 70));
    let again = successor.reply_after_commit(&mut now, &mut table, &bill);

    assert_eq!(paused.replies[&unanswered], Reply::NotHolder);
    assert_eq!(again, billed(70));
}

#[test]
fn what_waits_for_the_table_is_bounded() {
    // Requests keep arriving while the table is down. Without a limit on pending records, memory
    // would grow until the process is killed and all bills are lost.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let settings = Settings {
        pending_limit: 20,
        ..settings()
    };
    let mut node = Node::new("a.1", settings);
    node.take(&mut now, &mut table, &[]);
    table.fault = Fault::Down;

    let mut replies = Vec::new();
    for attempt in 1..=100 {
        let claim = claim(&format!("x{attempt}"), "r.1", attempt);
        replies.push(node.reply_now(now, &Request::Claim(claim)));
    }

    assert!(node.arbiter.pending() <= 22);
    assert_eq!(replies.last(), Some(&Reply::Unavailable));
}

#[test]
fn a_busy_table_is_tried_again_before_anybody_is_refused() {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    node.run(&mut now, &mut table, 100);

    let ticket = node.submit(now, &Request::Claim(non_repeatable("x", "r.1", 1)));
    table.fault = Fault::Busy;
    node.run_due_steps(now, &mut table);
    table.fault = Fault::None;
    node.run(&mut now, &mut table, 500);

    assert_eq!(
        node.replies[&ticket],
        Reply::Granted {
            attempt: 1,
            durable: true
        }
    );
}

#[test]
fn a_checkpoint_replaces_the_log_and_loses_nothing() {
    // Many commits, checkpoints and deletions of log rows precede a takeover. If a row were deleted
    // that no checkpoint covers, or names were renumbered differently, a bill would be charged
    // again after the takeover. The log must not grow without limit either.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let settings = Settings {
        checkpoint_every: 4,
        chunk_bytes: 100,
        ..settings()
    };
    let mut node = Node::new("a.1", settings);
    node.take(&mut now, &mut table, &[]);

    for attempt in 1..=120 {
        let id = format!("x{attempt}");
        let holder = format!("r{}.1", attempt % 7);
        let bill = Request::Bill(bill(&id, &holder, attempt, 10));
        node.reply_after_commit(&mut now, &mut table, &bill);
    }
    let mut successor = Node::new("b.1", support::settings());
    successor.take(&mut now, &mut table, &["a.1"]);

    let log_rows = rows_of(&table, "slotlog/");
    let base_rows = rows_of(&table, "slotbase/");
    let size = |rows: &[&Row]| -> usize { rows.iter().map(|row| row.value.len()).sum() };
    assert!(base_rows.len() > 1, "the checkpoint takes several rows");
    let name = |row: &Row| row.key.rsplit_once('/').map(|(name, _)| name.to_owned());
    let names: BTreeSet<_> = base_rows.iter().map(|row| name(row)).collect();
    assert_eq!(names.len(), 1, "superseded checkpoints are removed");
    let largest = log_rows.iter().map(|row| row.value.len()).max();
    let bound = size(&base_rows) + 5 * largest.unwrap_or(0);
    assert!(
        size(&log_rows) <= bound,
        "{} bytes of log, {bound} allowed",
        size(&log_rows)
    );

    let again = Request::Bill(bill("x1", "r1.1", 1, 10));
    let other = Request::Bill(bill("x120", "s.1", 1, 10));
    assert_eq!(successor.reply_now(now, &again), billed(10));
    assert_eq!(successor.reply_now(now, &other), billed(0));
    // Attempts 1, 8, ... 120.
    assert_eq!(totals(&mut successor, &mut now, &mut table, "r1.1"), [180]);
}

#[test]
fn a_hand_over_between_a_checkpoint_and_its_adoption_keeps_names_apart() {
    // A holder compacts and renumbers its names, logs bills under the new numbers, and is replaced
    // before the checkpoint is active. Its successor replays the log. If the log did not record the
    // renumbering, tokens would be charged to another group or router.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let retention = Retention {
        repeatable: Duration::from_secs(1),
        ..Retention::default()
    };
    let settings = Settings {
        retention,
        checkpoint_every: 7,
        chunk_bytes: 1,
        ..settings()
    };
    let mut node = Node::new("a.1", settings);
    node.take(&mut now, &mut table, &[]);
    // The first names belong to a released request, of which nothing remains.
    node.reply_after_commit(&mut now, &mut table, &release("gone", "g.1", 1));
    for holder in ["h.1", "i.1", "j.1", "k.1"] {
        let bill = Request::Bill(Bill {
            oldest: 2,
            ..bill(holder, holder, 1, 10)
        });
        node.reply_after_commit(&mut now, &mut table, &bill);
    }
    let close = Request::Close {
        holder: "g.1".into(),
        phase: Phase::Finish,
    };
    node.reply_after_commit(&mut now, &mut table, &close);
    let day = Duration::from_secs(25 * 3600);
    now = now + day;
    node.run(&mut now, &mut table, 60_000);

    node.submit(now, &Request::Bill(bill("x", "k.1", 2, 5)));
    let mut compacted = false;
    while !compacted {
        now = now + Duration::from_millis(10);
        let Some(step) = node.arbiter.next_step(now) else {
            continue;
        };
        let reply = table.carry_out(&step);
        node.arbiter.reply(now, reply);
        compacted = rows_of(&table, "slotlog/")
            .iter()
            .any(|row| is_compaction(row));
        assert!(
            rows_of(&table, "slotbase/").is_empty(),
            "nothing was compacted"
        );
    }
    node.submit(now, &Request::Bill(bill("y", "k.1", 3, 7)));
    now = now + Duration::from_millis(100);
    let step = node.arbiter.next_step(now).expect("a commit is due");
    table.carry_out(&step);
    let mut successor = Node::new("b.1", support::settings());
    successor.take(&mut now, &mut table, &["a.1"]);

    assert_eq!(
        totals(&mut successor, &mut now, &mut table, "k.1"),
        [10 + 5 + 7]
    );
    assert_eq!(totals(&mut successor, &mut now, &mut table, "h.1"), [10]);
}

#[test]
fn a_hand_back_whose_reply_is_lost_is_recognised() {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);

    node.arbiter.set_wanted(now, &[]);
    table.fault = Fault::LosesReplies;
    node.run_due_steps(now, &mut table);
    table.fault = Fault::None;
    node.run(&mut now, &mut table, 1_000);

    let is_released = |note: &Note| matches!(note, Note::SlotReleased { .. });
    assert!(node.notes.iter().any(is_released), "{:?}", node.notes);
}

// A release of many slots at once must not exceed the table's transaction limit; otherwise a drain
// would never end.
#[test]
fn a_hand_back_of_all_slots_fits_the_tables_transactions() {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let settings = Settings::default();
    let slots: Vec<SlotKey> = (0..settings.slots).map(SlotKey).collect();
    let mut node = Node::new("a.1", settings);
    node.arbiter.set_wanted(now, &slots);
    node.run(&mut now, &mut table, 2_000);
    for slot in slots {
        let claim = Request::Claim(claim("a request", "a.1", 1));
        node.submit_to(now, slot, &claim);
    }

    node.arbiter.set_wanted(now, &[]);
    node.run(&mut now, &mut table, 2_000);

    assert!(node.arbiter.is_idle());
    assert!(table.most_entries <= MAX_ENTRIES, "{}", table.most_entries);
}

#[test]
fn an_old_copy_of_a_bill_is_not_charged_after_its_entry_was_dropped() {
    // A bill is confirmed and its entry expires. Then a delayed copy of the bill, or the backend
    // server's record of the stream, arrives. The slot no longer knows the request and must not
    // charge the group a second time.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let retention = Retention {
        repeatable: Duration::from_secs(1),
        ..Retention::default()
    };
    let mut node = Node::new(
        "a.1",
        Settings {
            retention,
            ..settings()
        },
    );
    node.take(&mut now, &mut table, &[]);
    let first = Request::Bill(Bill {
        oldest: 1,
        ..bill("x", "r.1", 1, 70)
    });
    let second = Request::Bill(Bill {
        oldest: 2,
        ..bill("y", "r.1", 2, 30)
    });

    node.reply_after_commit(&mut now, &mut table, &first);
    node.run(&mut now, &mut table, 5_000);
    let kept = node.reply_now(now, &lookup("x"));
    node.reply_after_commit(&mut now, &mut table, &second);
    node.run(&mut now, &mut table, 60_000);
    let dropped = node.reply_now(now, &lookup("x"));
    let late_copy = node.reply_after_commit(&mut now, &mut table, &first);

    assert!(
        matches!(kept, Reply::Known(RequestState::Done { .. })),
        "the router may still send it again"
    );
    assert_eq!(dropped, Reply::Known(RequestState::Absent));
    assert_eq!(late_copy, billed(0));
}

#[test]
fn a_release_that_overtakes_its_claim_still_counts() {
    // A claim times out at its router, and the release overtakes the claim. If the release of an
    // unknown claim left no entry, the late claim would stay open forever at a router that has
    // given it up.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);

    let released = node.reply_after_commit(&mut now, &mut table, &release("x", "r.1", 1));
    let late = node.reply_now(now, &Request::Claim(non_repeatable("x", "r.1", 1)));
    let retry = non_repeatable("x", "r.1", 2);
    let retried = node.reply_after_commit(&mut now, &mut table, &Request::Claim(retry));

    assert_eq!(released, Reply::Released);
    assert_eq!(late, Reply::Unavailable);
    assert_eq!(
        retried,
        Reply::Granted {
            attempt: 2,
            durable: true
        }
    );
}

#[test]
fn a_slot_with_a_missing_log_row_is_not_served() {
    // A log row that the slot's log should contain is missing when the next holder loads it. If the
    // holder replied from the incomplete log, a booking could run twice.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    for attempt in 1..=3 {
        let claim = non_repeatable(&format!("x{attempt}"), "r.1", attempt);
        node.reply_after_commit(&mut now, &mut table, &Request::Claim(claim));
    }
    table.rows.remove("slotlog/0000/0000000000000002");

    let mut successor = Node::new("b.1", settings());
    successor.arbiter.set_wanted(now, &[SLOT]);
    successor.arbiter.set_lapsed(now, names(&["a.1"]));
    successor.run(&mut now, &mut table, 1_000);

    assert!(!successor.arbiter.holds(SLOT));
    let is_damaged = |note: &Note| matches!(note, Note::SlotDamaged { .. });
    assert!(successor.notes.iter().any(is_damaged));
}
