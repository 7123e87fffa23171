//! Messages between instances: load reports, which are optional hints for load balancing, token
//! loans, server list digests and queries, crash records, limits and failures of backend servers, changes of the
//! configuration, and the software versions that began streams.

use std::net::SocketAddr;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::choice::Report;
use fescuewell_forward::crash::Subject;
use fescuewell_forward::message::{self, Message};
use tokio::net::UdpSocket;

use super::lending::Lending;
use super::{Control, crashes, failures, limits, members, queries, streams, watch};

/// Minimum interval between two load reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(10);
/// Number of peers that get a report per minimum interval. With more peers the interval grows in
/// proportion, so that the bandwidth stays about constant.
const PEERS_PER_MIN_INTERVAL: u32 = 4;
/// Interval after which an unchanged report is repeated, to repair losses.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum message size in bytes; fits one Ethernet frame.
const MAX_MESSAGE_BYTES: usize = 1_400;

/// Exchanges messages with other instances.
pub(super) async fn run(control: &Control) {
    let Some(address) = control.gateway.settings.peer else {
        return;
    };
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            log_event!(
                Event::LinkFailed,
                "address={address} reason={}",
                error.kind()
            );
            return;
        }
    };
    let lending = Lending::new(control, &socket);
    tokio::join!(
        send_reports(control, &socket),
        send_broadcasts(control, &socket),
        receive(control, &socket, &lending),
        crashes::exchange(control, &socket),
        limits::exchange(control, &socket),
        failures::report(control, &socket),
        streams::exchange(control, &socket),
        queries::ask(control, &socket),
        lending.run()
    );
}

async fn send_reports(control: &Control, socket: &UdpSocket) {
    let gateway = &control.gateway;
    let mut was_empty = true;
    for number in 1.. {
        // Send after the timeout or a change, whichever comes first.
        let _ = tokio::time::timeout(REPEAT_INTERVAL, gateway.load_changed()).await;
        let (report, peers) = report(control, number);
        let is_empty = report.servers.is_empty();
        if is_empty && was_empty {
            continue;
        }
        was_empty = is_empty;
        let Ok(bytes) = postcard::to_extend(&report, Vec::new()) else {
            continue;
        };
        if bytes.len() <= MAX_MESSAGE_BYTES {
            for peer in &peers {
                // Load reports are hints and may be lost.
                let _ = socket.try_send_to(&bytes, *peer);
            }
        }
        let factor = peers.len() as u32 / PEERS_PER_MIN_INTERVAL;
        tokio::time::sleep(MIN_REPORT_INTERVAL * factor.max(1)).await;
    }
}

/// Builds the load report and lists its receivers, the other advertised instances.
fn report(control: &Control, number: u64) -> (Report, Vec<SocketAddr>) {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    state.load.expire(now_ms);
    let report = state
        .load
        .report(gateway.settings.name.clone(), number, now_ms);
    let own = gateway.settings.peer;
    let advertised = state.directory.advertised();
    let peers = advertised.iter().filter_map(|(_, member)| member.peer);
    let peers = peers.filter(|peer| Some(*peer) != own).collect();
    (report, peers)
}

/// Sends the digests and summaries of this reader, and the digests that it forwards.
async fn send_broadcasts(control: &Control, socket: &UdpSocket) {
    let gateway = &control.gateway;
    while let Ok(message) = control.broadcasts.1.recv_async().await {
        let settings = &gateway.settings;
        let receivers = {
            let state = gateway.state();
            state
                .directory
                .digest_receivers(&settings.name, &settings.zone)
        };
        let Some(key) = gateway.fleet_key().filter(|_| !receivers.is_empty()) else {
            continue;
        };
        let bytes = key.seal(&message);
        if bytes.len() > MAX_MESSAGE_BYTES {
            // Caused by unusually long names or reasons, or by many advertised instances. Followers
            // detect a gap, and read the summary themselves.
            continue;
        }
        for receiver in receivers {
            // The next digest contains the changes of a lost one.
            let _ = socket.try_send_to(&bytes, receiver);
        }
    }
}

/// Dispatches an authenticated message; others are ignored.
fn dispatch(
    control: &Control,
    socket: &UdpSocket,
    lending: &Lending<'_>,
    bytes: &[u8],
    from: SocketAddr,
) {
    let gateway = &control.gateway;
    let Some(key) = gateway.fleet_key() else {
        return;
    };
    let message = key.open(bytes);
    if message.is_some() {
        gateway.record_peer_message();
    }
    match message {
        Some(Message::LoanRequest(request)) => lending.handle_request(&key, request, from),
        Some(Message::LoanResponse(response)) => lending.handle_response(&response),
        Some(Message::Digest(digest)) => watch::receive_digest(control, digest, from),
        Some(Message::ListQuery(query)) => queries::answer(control, socket, query, from),
        Some(Message::Crashes(updates)) => {
            crashes::receive(control, Subject::Request, updates, from);
        }
        Some(Message::PartCrashes(updates)) => {
            crashes::receive(control, Subject::Part, updates, from);
        }
        Some(Message::CrashesWanted) => {
            crashes::send_records(control, socket, from);
            limits::send_sample(control, socket, &[from]);
        }
        Some(Message::Limits(updates)) => limits::receive(control, updates, from),
        Some(Message::Failures(batch)) => failures::receive(control, batch),
        Some(Message::Configuration(change)) => watch::receive_change(control, &change),
        Some(Message::Summary(summary)) => members::receive_summary(control, summary),
        Some(Message::StreamRecords(batch)) => streams::receive(control, batch),
        Some(Message::StreamQuery(query)) => streams::answer(control, socket, query, from),
        Some(Message::StreamAnswer(answer)) => {
            gateway.receive_stream_answer(answer.id, from, answer.build);
        }
        // Requested over HTTP, since the response is too large for a datagram.
        Some(Message::SnapshotWanted(_)) | None => {}
    }
}

async fn receive(control: &Control, socket: &UdpSocket, lending: &Lending<'_>) {
    let mut buffer = [0; MAX_MESSAGE_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(MIN_REPORT_INTERVAL).await;
            continue;
        };
        control.gateway.heard_from(from);
        if buffer.first() == Some(&message::FORMAT) {
            dispatch(control, socket, lending, &buffer[..length], from);
            continue;
        }
        // Malformed reports are ignored.
        let Ok(report) = postcard::from_bytes::<Report>(&buffer[..length]) else {
            continue;
        };
        let now_ms = control.gateway.now_ms();
        control.gateway.state().load.apply_report(report, now_ms);
    }
}
