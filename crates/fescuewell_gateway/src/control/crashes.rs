//! Exchanges crash records with other instances and with the store.
//!
//! Changes are gossiped to a few random peers, which forward what is new to them; periodic samples
//! repair lost updates. The store holds quarantined requests only, for instances that start alone
//! or are cut off from their peers.

use std::net::SocketAddr;
use std::time::Duration;

use fescuewell_forward::crash::{Fingerprint, Record, Subject, THRESHOLD, Update};
use fescuewell_forward::message::Message;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use super::gossip::{random_peers, send};
use super::rows::{FLEET_PARTITION, log_unreadable, read, read_row, row_id};
use super::watch::advance_stage;
use super::{CALL_TIMEOUT, Control, RETRY_DELAY};
use crate::gateway::{ANNOUNCED, ProbeRequest};
use crate::store::{Outcome, Row, RowId, Transaction};

/// Table of the quarantined requests and parts.
const TABLE: &str = "quarantine";
/// Format version, the first byte of a row of a request.
const REQUEST_FORMAT: u8 = 1;
/// The same of a part.
const PART_FORMAT: u8 = 2;
/// Prefix of the keys of parts.
const PART_KEY_PREFIX: &str = "part-";
/// Records per message; fits one Ethernet frame.
const MAX_RECORDS: usize = 8;
/// Average bandwidth of changes of requests in bytes per second.
const REQUEST_BYTES_PER_S: f64 = 4_096.0;
/// The same for parts.
const PART_BYTES_PER_S: f64 = 2_048.0;
/// Minimum interval between two gossip messages.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two requests for records after a start.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Number of such requests.
const MAX_REQUESTS: usize = 10;
/// Maximum interval between two reads of the table.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(60);
/// Minimum interval between two reads of the table in a small fleet.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Fraction of the store's read capacity that isolated instances may use together.
const READ_SHARE: f64 = 0.05;
/// Time without any message after which an instance counts as isolated. It covers several samples.
const ISOLATED_AFTER: Duration = Duration::from_millis(2_500);
/// Maximum number of expired rows removed per read.
const MAX_REMOVED: usize = 32;

/// Exchanges records with other instances.
pub(super) async fn exchange(control: &Control, socket: &UdpSocket) {
    tokio::join!(
        announce(control, socket, Subject::Request),
        announce(control, socket, Subject::Part),
        sample(control, socket),
        request_records(control, socket)
    );
}

fn message(subject: Subject, updates: Vec<Update>) -> Message {
    match subject {
        Subject::Request => Message::Crashes(updates),
        Subject::Part => Message::PartCrashes(updates),
    }
}

/// Merges a peer's records.
pub(super) fn receive(control: &Control, subject: Subject, updates: Vec<Update>, from: SocketAddr) {
    let updates = updates.into_iter().take(MAX_RECORDS);
    let source = from.to_string();
    control.gateway.merge_crashes(subject, updates, &source);
}

/// Sends records to a peer that has just started.
pub(super) fn send_records(control: &Control, socket: &UdpSocket, from: SocketAddr) {
    for subject in Subject::ALL {
        let updates = sample_of(control, subject);
        send(control, socket, message(subject, updates), &[from]);
    }
}

fn sample_of(control: &Control, subject: Subject) -> Vec<Update> {
    let mut state = control.gateway.state();
    state.quarantine_of(subject).sample(MAX_RECORDS)
}

/// Gossips changed records.
async fn announce(control: &Control, socket: &UdpSocket, subject: Subject) {
    let gateway = &control.gateway;
    let bytes_per_s = match subject {
        Subject::Request => REQUEST_BYTES_PER_S,
        Subject::Part => PART_BYTES_PER_S,
    };
    let mut changes = gateway.crash_changes();
    loop {
        let updates = {
            let mut state = gateway.state();
            state.quarantine_of(subject).take_fresh(MAX_RECORDS)
        };
        if updates.is_empty() {
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        }
        let peers = random_peers(control, ANNOUNCED);
        let bytes = send(control, socket, message(subject, updates), &peers);
        let pause = Duration::from_secs_f64(bytes as f64 / bytes_per_s);
        tokio::time::sleep(pause.max(MIN_ANNOUNCE_INTERVAL)).await;
    }
}

/// Sends periodic samples, which also serve as keep-alive messages.
async fn sample(control: &Control, socket: &UdpSocket) {
    loop {
        tokio::time::sleep(control.jitter(SAMPLE_INTERVAL)).await;
        let peers = random_peers(control, 1);
        let updates = sample_of(control, Subject::Request);
        send(control, socket, message(Subject::Request, updates), &peers);
        let updates = sample_of(control, Subject::Part);
        if !updates.is_empty() {
            send(control, socket, message(Subject::Part, updates), &peers);
        }
    }
}

/// Requests records from peers after a start.
async fn request_records(control: &Control, socket: &UdpSocket) {
    let mut requests = 0;
    while requests < MAX_REQUESTS {
        let peers = random_peers(control, 1);
        if send(control, socket, Message::CrashesWanted, &peers) > 0 {
            requests += 1;
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Synchronizes quarantined requests with the store.
pub(super) async fn sync(control: &Control) {
    tokio::join!(
        sync_periodically(control),
        record_quarantines(control),
        permit_probes(control)
    );
}

/// Synchronizes at start, after store outages, periodically, and frequently while isolated.
async fn sync_periodically(control: &Control) {
    let gateway = &control.gateway;
    let mut recoveries = gateway.store_recoveries();
    while !reconcile(control).await {
        tokio::time::sleep(RETRY_DELAY).await;
    }
    for subject in Subject::ALL {
        gateway.state().quarantine_of(subject).set_loaded();
    }
    advance_stage(control);
    loop {
        let due = Instant::now() + control.jitter(MAX_READ_INTERVAL);
        loop {
            // Limits the read rate while the store flaps.
            tokio::time::sleep(read_interval(control)).await;
            let has_recovered = recoveries.has_changed().unwrap_or(true);
            let is_due = has_recovered || is_isolated(control) || Instant::now() >= due;
            if is_due && gateway.is_store_up() {
                break;
            }
        }
        recoveries.mark_unchanged();
        reconcile(control).await;
    }
}

/// Returns `true` if other instances are alive but none can be reached.
fn is_isolated(control: &Control) -> bool {
    let gateway = &control.gateway;
    let others = gateway.state().directory.count() - 1;
    others > 0 && gateway.time_since_peer_message() > ISOLATED_AFTER
}

/// Returns the minimum interval between two reads.
fn read_interval(control: &Control) -> Duration {
    let gateway = &control.gateway;
    let instances = gateway.state().directory.count() as f64;
    let share = instances / (gateway.settings.reads_per_s * READ_SHARE);
    MIN_READ_INTERVAL.max(Duration::from_secs_f64(share))
}

/// Merges the table, writes missing records and removes expired ones. Returns `false` if the table
/// could not be read.
async fn reconcile(control: &Control) -> bool {
    let Ok(response) = read(control, TABLE, FLEET_PARTITION).await else {
        return false;
    };
    let mut known: [Vec<Update>; 2] = Default::default();
    let mut expired = Vec::new();
    for row in &response.rows {
        // An unreadable row may come from a newer program version and is kept.
        match decode(row) {
            Some((_, update)) if update.record.is_expired(response.now_ms) => expired.push(row),
            Some((subject, update)) => known[subject as usize].push(update),
            None => {}
        }
    }
    for (subject, known) in Subject::ALL.into_iter().zip(known) {
        let gateway = &control.gateway;
        gateway.merge_crashes(subject, known.clone(), "store");
        let quarantined = gateway
            .state()
            .quarantine_of(subject)
            .quarantined(response.now_ms);
        for update in quarantined {
            if !known.iter().any(|known| known.request == update.request) {
                write(control, subject, update).await;
            }
        }
    }
    for row in expired.into_iter().take(MAX_REMOVED) {
        let transaction = Transaction {
            preconditions: vec![(row.id.clone(), row.version)],
            deletes: vec![row.id.clone()],
            ..Transaction::default()
        };
        let commit = control.store.commit(&transaction);
        // On a conflict, another instance has already removed the row.
        let _ = control.call(TABLE, CALL_TIMEOUT, commit).await;
    }
    true
}

/// Writes quarantines detected by this instance.
async fn record_quarantines(control: &Control) {
    let gateway = &control.gateway;
    let mut changes = gateway.crash_changes();
    loop {
        for subject in Subject::ALL {
            let updates = gateway.state().quarantine_of(subject).take_unrecorded();
            for update in updates {
                write(control, subject, update).await;
            }
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Merges one record into the store. A failed write is retried by the next synchronization.
async fn write(control: &Control, subject: Subject, update: Update) {
    let Some((row, version, mut record)) = read_record(control, subject, &update).await else {
        return;
    };
    record.merge(&update.record);
    let update = Update { record, ..update };
    commit(control, subject, row, version, &update).await;
}

/// Permits one probe per quarantine period in the whole fleet, by committing each probe to the
/// store first.
async fn permit_probes(control: &Control) {
    while let Ok(ProbeRequest {
        subject,
        request,
        reply,
    }) = control.inbox.probe_requests.recv_async().await
    {
        // The request may have been cancelled.
        let _ = reply.send(commit_probe(control, subject, request).await);
    }
}

async fn commit_probe(control: &Control, subject: Subject, request: Fingerprint) -> bool {
    let gateway = &control.gateway;
    let empty = Update {
        request,
        record: Record::default(),
    };
    let store_ms = {
        let now_ms = gateway.now_ms();
        gateway.state().store_ms(now_ms)
    };
    let known = gateway.state().quarantine_of(subject).quarantined(store_ms);
    let known = known.into_iter().find(|update| update.request == request);
    let update = known.unwrap_or(empty);
    let Some((row, version, mut record)) = read_record(control, subject, &update).await else {
        return false;
    };
    record.merge(&update.record);
    let now_ms = gateway.now_ms();
    let store_ms = gateway.state().store_ms(now_ms);
    // A record without enough crashes was cleared meanwhile.
    let is_due = record.count() >= THRESHOLD && record.may_probe(subject.probation(), store_ms);
    if !is_due {
        gateway.merge_crashes(subject, [Update { request, record }], "store");
        return false;
    }
    record.probe(store_ms);
    let update = Update { request, record };
    let is_written = commit(control, subject, row, version, &update).await;
    if is_written {
        gateway.merge_crashes(subject, [update], "store");
    }
    is_written
}

/// Reads the store's record of a request or part, with its row identifier and version.
async fn read_record(
    control: &Control,
    subject: Subject,
    update: &Update,
) -> Option<(RowId, u64, Record)> {
    let key = match subject {
        Subject::Request => update.request.to_string(),
        Subject::Part => format!("{PART_KEY_PREFIX}{}", update.request),
    };
    let row = row_id(TABLE, FLEET_PARTITION, &key);
    let response = read_row(control, &row).await.ok()?;
    let known = response.rows.iter().find(|known| known.value.is_some());
    let version = known.map_or(0, |known| known.version);
    let record = known.and_then(decode).map(|(_, known)| known.record);
    Some((row, version, record.unwrap_or_default()))
}

async fn commit(
    control: &Control,
    subject: Subject,
    row: RowId,
    version: u64,
    update: &Update,
) -> bool {
    let transaction = Transaction {
        preconditions: vec![(row.clone(), version)],
        puts: vec![(row, encode(subject, update))],
        deletes: Vec::new(),
    };
    let commit = control.store.commit(&transaction);
    let outcome = control.call(TABLE, CALL_TIMEOUT, commit).await;
    matches!(outcome, Ok(Outcome::Committed { .. }))
}

fn encode(subject: Subject, update: &Update) -> Vec<u8> {
    let format = match subject {
        Subject::Request => REQUEST_FORMAT,
        Subject::Part => PART_FORMAT,
    };
    // Serialization fails only for types that postcard does not support.
    postcard::to_extend(update, vec![format]).unwrap_or_default()
}

fn decode(row: &Row) -> Option<(Subject, Update)> {
    let decode = |bytes| postcard::from_bytes(bytes).map_err(|error| error.to_string());
    let update = match row.value.as_deref()?.split_first() {
        Some((&REQUEST_FORMAT, bytes)) => decode(bytes).map(|update| (Subject::Request, update)),
        Some((&PART_FORMAT, bytes)) => decode(bytes).map(|update| (Subject::Part, update)),
        _ => Err("unknown format".into()),
    };
    update
        .inspect_err(|reason: &String| log_unreadable(row, reason))
        .ok()
}
