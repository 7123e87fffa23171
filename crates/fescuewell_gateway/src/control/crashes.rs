//! Exchange of crash records with other instances and with the store.
//!
//! Changes are gossiped to a few random peers, which forward what is new to them; periodic samples repair lost updates. The store
//! holds quarantined requests only, for instances that start alone or are cut off from their peers.

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
use crate::gateway::ProbeRequest;
use crate::store::{Change, Outcome, Place, Row};

/// Table of the quarantined requests.
const TABLE: &str = "quarantine";
/// Leading byte of a row.
const FORMAT: u8 = 1;
/// Records per message; fits one Ethernet frame.
const MOST_RECORDS: usize = 8;
/// Gossip fan-out of a change.
const FANOUT: usize = 8;
/// Average bandwidth of changes in bytes per second.
const BYTES_S: f64 = 4_096.0;
/// Minimum interval between two messages with changes.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(10);
/// Interval between two samples.
const SAMPLE_EVERY: Duration = Duration::from_millis(300);
/// Interval between two requests for records after a start.
const ASK_EVERY: Duration = Duration::from_millis(200);
/// Number of such requests.
const ASKS: usize = 10;
/// Maximum interval between two reads of the table.
const READ_EVERY: Duration = Duration::from_secs(60);
/// Minimum interval between two reads of the table in a small fleet.
const READ_PAUSE: Duration = Duration::from_secs(2);
/// Fraction of the store's read capacity that isolated instances may use together.
const READ_SHARE: f64 = 0.05;
/// Time without any message after which an instance counts as isolated; several samples.
const ISOLATED_AFTER: Duration = Duration::from_millis(2_500);
/// Maximum number of expired rows removed per read.
const MOST_REMOVED: usize = 32;

/// Exchanges records with other instances.
pub(super) async fn exchange(control: &Control, socket: &UdpSocket) {
    tokio::join!(
        announce(control, socket),
        sample(control, socket),
        ask(control, socket)
    );
}

/// Merges a peer's records.
pub(super) fn receive(control: &Control, updates: Vec<Update>, from: SocketAddr) {
    let updates = updates.into_iter().take(MOST_RECORDS);
    control.gateway.merge_crashes(updates, &from.to_string());
}

/// Sends records to a peer that has just started.
pub(super) fn answer(control: &Control, socket: &UdpSocket, from: SocketAddr) {
    let updates = control.gateway.state().quarantine.sample(MOST_RECORDS);
    send(control, socket, Message::Crashes(updates), &[from]);
}

/// Gossips changed records.
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

/// Sends periodic samples, which also serve as keep-alive messages.
async fn sample(control: &Control, socket: &UdpSocket) {
    loop {
        tokio::time::sleep(control.spread(SAMPLE_EVERY)).await;
        let updates = control.gateway.state().quarantine.sample(MOST_RECORDS);
        let peers = peers(control, 1);
        send(control, socket, Message::Crashes(updates), &peers);
    }
}

/// Requests records from peers after a start.
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

/// Sends a message and returns the bytes sent. Losses are repaired by samples.
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

/// Selects random peers.
fn peers(control: &Control, most: usize) -> Vec<SocketAddr> {
    let gateway = &control.gateway;
    let own = gateway.settings.peer;
    let mut state = gateway.state();
    let state = &mut *state;
    let members = state.directory.live();
    let peers = members.filter_map(|(_, member)| member.peer);
    let others = peers.filter(|peer| Some(*peer) != own);
    others.choose_multiple(&mut state.rng, most)
}

/// Synchronizes quarantined requests with the store.
pub(super) async fn keep(control: &Control) {
    tokio::join!(read_again(control), record(control), probe(control));
}

/// Reads the table at start, after store outages, periodically, and frequently while isolated.
async fn read_again(control: &Control) {
    let gateway = &control.gateway;
    let mut returns = gateway.store_recoveries();
    while !reconcile(control).await {
        tokio::time::sleep(PAUSE).await;
    }
    gateway.state().quarantine.set_loaded();
    ready_if_complete(control);
    loop {
        let due = Instant::now() + control.spread(READ_EVERY);
        loop {
            // Bounds reads of a store that is flapping.
            tokio::time::sleep(read_pause(control)).await;
            let is_back = returns.has_changed().unwrap_or(true);
            let is_due = is_back || is_isolated(control) || Instant::now() >= due;
            if is_due && gateway.is_store_up() {
                break;
            }
        }
        returns.mark_unchanged();
        reconcile(control).await;
    }
}

/// Returns `true` if other instances are alive but none can be received.
fn is_isolated(control: &Control) -> bool {
    let gateway = &control.gateway;
    let others = gateway.state().directory.count() - 1;
    others > 0 && gateway.time_since_peer_message() > ISOLATED_AFTER
}

/// Returns the minimum interval between two reads.
fn read_pause(control: &Control) -> Duration {
    let gateway = &control.gateway;
    let instances = gateway.state().directory.count() as f64;
    let share = instances / (gateway.settings.reads * READ_SHARE);
    READ_PAUSE.max(Duration::from_secs_f64(share))
}

/// Merges the table, writes missing records and removes expired ones. Returns `false` if the table could not be read.
async fn reconcile(control: &Control) -> bool {
    let Ok(reading) = read(control, TABLE, FLEET).await else {
        return false;
    };
    let mut known = Vec::new();
    let mut expired = Vec::new();
    for row in &reading.rows {
        // Unreadable rows may stem from a newer version and are kept.
        match decode(row) {
            Some(update) if update.record.is_expired(reading.now_ms) => expired.push(row),
            Some(update) => known.push(update),
            None => {}
        }
    }
    control.gateway.merge_crashes(known.clone(), "store");
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
        // A conflict means that another instance removed it.
        let _ = control.call(TABLE, CALL, commit).await;
    }
    true
}

/// Writes quarantines detected by this instance.
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

/// Merges one record into the store. Failed writes are repeated by the next reconciliation.
async fn write(control: &Control, update: Update) {
    let Some((row, version, mut record)) = read_record(control, &update).await else {
        return;
    };
    record.merge(&update.record);
    let update = Update { record, ..update };
    commit(control, row, version, &update).await;
}

/// Permits one probe per quarantine period in the whole fleet by committing it to the store first.
async fn probe(control: &Control) {
    while let Ok(ProbeRequest { request, reply }) = control.inbox.probe_requests.recv_async().await
    {
        // The caller may have disconnected.
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
        gateway.merge_crashes([Update { request, record }], "store");
        return false;
    }
    record.probe(store_ms);
    let update = Update { request, record };
    let is_written = commit(control, row, version, &update).await;
    if is_written {
        gateway.merge_crashes([update], "store");
    }
    is_written
}

/// Reads the store's record of a request, with its place and version.
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
