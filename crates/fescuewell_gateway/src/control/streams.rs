//! Exchanges the records of software versions that began streams; see [`fescuewell_forward::stream`].

pub(super) mod table;

use std::net::SocketAddr;
use std::time::Duration;

use fescuewell_forward::message::Message;
use fescuewell_forward::stream::{Answer, Batch, MAX_BATCH, Query};
use tokio::net::UdpSocket;

use super::Control;
use super::gossip::send;

/// Time for which records are collected before they are sent. The record of a stream that its instance
/// began within this time before it ended is lost.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Sends records, queries and answers.
pub(super) async fn exchange(control: &Control, socket: &UdpSocket) {
    tokio::join!(
        send_records(control, socket),
        send_messages(control, socket)
    );
}

async fn send_records(control: &Control, socket: &UdpSocket) {
    let gateway = &control.gateway;
    loop {
        gateway.stream_recorded().await;
        tokio::time::sleep(COLLECT_TIME).await;
        for (receiver, batch) in gateway.take_stream_batches() {
            let count = batch.records.len() as u64;
            gateway.metrics.count_stream_records("sent", count);
            send(control, socket, Message::StreamRecords(batch), &[receiver]);
        }
    }
}

async fn send_messages(control: &Control, socket: &UdpSocket) {
    let messages = &control.inbox.stream_messages;
    while let Ok((receiver, message)) = messages.recv_async().await {
        send(control, socket, message, &[receiver]);
    }
}

/// Adds the records of another instance.
pub(super) fn receive(control: &Control, mut batch: Batch) {
    batch.records.truncate(MAX_BATCH);
    let count = batch.records.len() as u64;
    let gateway = &control.gateway;
    gateway.metrics.count_stream_records("received", count);
    gateway.receive_stream_records(batch);
}

/// Answers a query with the record held here, or makes the look-up for an instance that does not know
/// the members of the fleet.
pub(super) fn answer(control: &Control, socket: &UdpSocket, query: Query, from: SocketAddr) {
    let gateway = &control.gateway;
    let build = gateway.held_build(query.attempt);
    let knows_members = gateway.state().directory.holders().is_some();
    if build.is_none() && query.resolve && knows_members {
        let gateway = gateway.clone();
        tokio::spawn(async move { gateway.resolve_stream(query, from).await });
        return;
    }
    let answer = Answer {
        id: query.id,
        build,
    };
    send(control, socket, Message::StreamAnswer(answer), &[from]);
}
