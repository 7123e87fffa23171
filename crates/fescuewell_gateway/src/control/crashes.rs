//! Exchange of crash records with other instances and with the store.
//!
//! A change goes to a few instances at once, which pass on what is new to them; a sample of all records goes to one instance
//! after the other, for those that missed it. The store keeps the quarantined requests only, for instances that start while no
//! other one runs, or that no other one reaches.

use std::net::SocketAddr;
use std::time::Duration;

use fescuewell_forward::crash::{Fingerprint, Record, Update};
use fescuewell_forward::message::Message;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use super::rows::{FLEET, place, read, read_row, unreadable};
use super::watch::ready_if_complete;
use super::{CALL, Control, PAUSE};
use crate::gateway::Probe;
use crate::store::{Change, Outcome, Place, Row};

/// Table of the quarantined requests.
const TABLE: &str = "quarantine";
/// Leading byte of a row.
const FORMAT: u8 = 1;
/// Records in one message: it has to fit one packet of an Ethernet.
const MOST_RECORDS: usize = 8;
/// Instances that a change is sent to by each one to which it is new: so many reach all of a large fleet in a few steps.
const FANOUT: usize = 8;
/// Bytes a second that changes may take on the average.
const BYTES_S: f64 = 4_096.0;
/// Least time between two messages with changes.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(10);
/// Time between two samples.
const SAMPLE_EVERY: Duration = Duration::from_millis(300);
/// Time between two questions of an instance that has just started,
const ASK_EVERY: Duration = Duration::from_millis(200);
/// and how often it asks.
const ASKS: usize = 10;
/// Most time between two readings of the table.
const READ_EVERY: Duration = Duration::from_secs(60);
/// Least time between two readings, in a small fleet.
const READ_PAUSE: Duration = Duration::from_secs(2);
/// Part of the store's readings that all instances take if none hears another one.
const READ_SHARE: f64 = 0.05;
/// Silence of all others after which an instance is alone: several samples.
const ALONE_AFTER: Duration = Duration::from_millis(2_500);
/// Expired rows that one reading removes.
const MOST_REMOVED: usize = 32;

/// Exchanges records with other instances.
pub(super) async fn exchange(control: &Control, socket: &UdpSocket) {
    tokio::join!(
        announce(control, socket),
        sample(control, socket),
        ask(control, socket)
    );
}

/// Takes another instance's records.
pub(super) fn receive(control: &Control, updates: Vec<Update>, from: SocketAddr) {
    let updates = updates.into_iter().take(MOST_RECORDS);
    control.gateway.learn_crashes(updates, &from.to_string());
}

/// Answers an instance that has just started.
pub(super) fn answer(control: &Control, socket: &UdpSocket, from: SocketAddr) {
    let updates = control.gateway.state().quarantine.sample(MOST_RECORDS);
    send(control, socket, Message::Crashes(updates), &[from]);
}

/// Sends what has changed.
async fn announce(control: &Control, socket: &UdpSocket) {
    let gateway = &control.gateway;
    let mut changes = gateway.crash_changes();
    loop {
        let updates = gateway.state().quarantine.take_fresh(MOST_RECORDS);
        if updates.is_empty() {
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        }
        let peers = peers(control, FANOUT);
        let bytes = send(control, socket, Message::Crashes(updates), &peers);
        let pause = Duration::from_secs_f64(bytes as f64 / BYTES_S);
        tokio::time::sleep(pause.max(ANNOUNCE_PAUSE)).await;
    }
}

/// Sends some records to one instance after the other.
async fn sample(control: &Control, socket: &UdpSocket) {
    loop {
        tokio::time::sleep(control.spread(SAMPLE_EVERY)).await;
        // An empty one says that this instance can be heard.
        let updates = control.gateway.state().quarantine.sample(MOST_RECORDS);
        let peers = peers(control, 1);
        send(control, socket, Message::Crashes(updates), &peers);
    }
}

/// Asks others for their records after a start.
async fn ask(control: &Control, socket: &UdpSocket) {
    let mut asked = 0;
    while asked < ASKS {
        let peers = peers(control, 1);
        if send(control, socket, Message::CrashesWanted, &peers) > 0 {
            asked += 1;
        }
        tokio::time::sleep(ASK_EVERY).await;
    }
}

/// Sends a message; returns its bytes over all receivers. One that is lost is made up for by the samples.
fn send(control: &Control, socket: &UdpSocket, message: Message, peers: &[SocketAddr]) -> usize {
    let Some(key) = control.gateway.fleet_key() else {
        return 0;
    };
    let bytes = key.seal(&message);
    for peer in peers {
        let _ = socket.try_send_to(&bytes, *peer);
    }
    bytes.len() * peers.len()
}

/// Some other instances, drawn at random.
fn peers(control: &Control, most: usize) -> Vec<SocketAddr> {
    let gateway = &control.gateway;
    let own = gateway.settings.peer;
    let mut state = gateway.state();
    let state = &mut *state;
    let members = state.directory.live();
    let peers = members.filter_map(|(_, member)| member.peer);
    let others = peers.filter(|peer| Some(*peer) != own);
    others.choose_multiple(&mut state.random, most)
}

/// Keeps quarantined requests in the store, and reads those of former processes.
pub(super) async fn keep(control: &Control) {
    tokio::join!(read_again(control), record(control), probe(control));
}

/// Reads the table at the start, when the store is back, now and then, and often where no other instance is heard.
async fn read_again(control: &Control) {
    let gateway = &control.gateway;
    let mut returns = gateway.returns();
    while !reconcile(control).await {
        tokio::time::sleep(PAUSE).await;
    }
    gateway.state().quarantine.set_loaded();
    ready_if_complete(control);
    loop {
        let due = Instant::now() + control.spread(READ_EVERY);
        loop {
            // Also between two returns: a store that answers now and then would be read at each of them.
            tokio::time::sleep(read_pause(control)).await;
            let is_back = returns.has_changed().unwrap_or(true);
            let is_due = is_back || is_alone(control) || Instant::now() >= due;
            if is_due && gateway.is_store_up() {
                break;
            }
        }
        returns.mark_unchanged();
        reconcile(control).await;
    }
}

/// Whether other instances live and none is heard.
fn is_alone(control: &Control) -> bool {
    let gateway = &control.gateway;
    let others = gateway.state().directory.count() - 1;
    others > 0 && gateway.peer_silence() > ALONE_AFTER
}

/// Least time between two readings.
fn read_pause(control: &Control) -> Duration {
    let gateway = &control.gateway;
    let instances = gateway.state().directory.count() as f64;
    let share = instances / (gateway.settings.reads * READ_SHARE);
    READ_PAUSE.max(Duration::from_secs_f64(share))
}

/// Takes what the table holds, writes what it lacks, and removes what has expired; returns whether it could be read.
async fn reconcile(control: &Control) -> bool {
    let Ok(reading) = read(control, TABLE, FLEET).await else {
        return false;
    };
    let mut known = Vec::new();
    let mut expired = Vec::new();
    for row in &reading.rows {
        // One that cannot be read may be of a newer program, and stays.
        match decode(row) {
            Some(update) if update.record.is_expired(reading.now_ms) => expired.push(row),
            Some(update) => known.push(update),
            None => {}
        }
    }
    control.gateway.learn_crashes(known.clone(), "store");
    let quarantined = control.gateway.state().quarantine.quarantined();
    for update in quarantined {
        if !known.iter().any(|known| known.request == update.request) {
            write(control, update).await;
        }
    }
    for row in expired.into_iter().take(MOST_REMOVED) {
        let change = Change {
            expects: vec![(row.place.clone(), row.version)],
            removes: vec![row.place.clone()],
            ..Change::default()
        };
        let commit = control.store.commit(&change);
        // Another instance may have removed it.
        let _ = control.call(TABLE, CALL, commit).await;
    }
    true
}

/// Writes quarantines that this instance has found.
async fn record(control: &Control) {
    let gateway = &control.gateway;
    let mut changes = gateway.crash_changes();
    loop {
        let updates = gateway.state().quarantine.take_unrecorded();
        for update in updates {
            write(control, update).await;
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Writes one record beside what others have written; what fails is written when the table is read next.
async fn write(control: &Control, update: Update) {
    let Some((row, version, mut record)) = read_record(control, &update).await else {
        return;
    };
    record.merge(&update.record);
    let update = Update { record, ..update };
    commit(control, row, version, &update).await;
}

/// Gives leave for one try of a quarantined request in the whole fleet, by writing it down first.
async fn probe(control: &Control) {
    while let Ok(Probe { request, reply }) = control.inbox.probes.recv_async().await {
        // Whoever asked may have left.
        let _ = reply.send(is_probed(control, request).await);
    }
}

async fn is_probed(control: &Control, request: Fingerprint) -> bool {
    let gateway = &control.gateway;
    let empty = Update {
        request,
        record: Record::default(),
    };
    let known = gateway.state().quarantine.quarantined();
    let known = known.into_iter().find(|update| update.request == request);
    let update = known.unwrap_or(empty);
    let Some((row, version, mut record)) = read_record(control, &update).await else {
        return false;
    };
    record.merge(&update.record);
    let now_ms = gateway.now_ms();
    let store_ms = gateway.state().store_ms(now_ms);
    if !record.may_probe(store_ms) {
        gateway.learn_crashes([Update { request, record }], "store");
        return false;
    }
    record.probe(store_ms);
    let update = Update { request, record };
    let is_written = commit(control, row, version, &update).await;
    if is_written {
        gateway.learn_crashes([update], "store");
    }
    is_written
}

/// What the store has of a request, and where.
async fn read_record(control: &Control, update: &Update) -> Option<(Place, u64, Record)> {
    let row = place(TABLE, FLEET, &update.request.to_string());
    let reading = read_row(control, &row).await.ok()?;
    let known = reading.rows.iter().find(|known| known.value.is_some());
    let version = known.map_or(0, |known| known.version);
    let record = known.and_then(decode).map(|known| known.record);
    Some((row, version, record.unwrap_or_default()))
}

async fn commit(control: &Control, row: Place, version: u64, update: &Update) -> bool {
    let change = Change {
        expects: vec![(row.clone(), version)],
        puts: vec![(row, encode(update))],
        removes: Vec::new(),
    };
    let commit = control.store.commit(&change);
    let outcome = control.call(TABLE, CALL, commit).await;
    matches!(outcome, Ok(Outcome::Done { .. }))
}

fn encode(update: &Update) -> Vec<u8> {
    // Only a type that cannot be written at all fails here.
    postcard::to_extend(update, vec![FORMAT]).unwrap_or_default()
}

fn decode(row: &Row) -> Option<Update> {
    let update = match row.value.as_deref()?.split_first() {
        Some((&FORMAT, bytes)) => postcard::from_bytes(bytes).map_err(|error| error.to_string()),
        _ => Err("unknown format".into()),
    };
    update
        .inspect_err(|reason: &String| unreadable(row, reason))
        .ok()
}
