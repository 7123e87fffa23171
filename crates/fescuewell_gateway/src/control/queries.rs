//! Asks other instances for changes of the server list while it is not up to date, and answers such
//! queries; see [`fescuewell_forward::relay::History`].

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use fescuewell_forward::message::Message;
use fescuewell_forward::relay::{ASKED, Head, QUERY_AGE_MS, Query};
use tokio::net::UdpSocket;
use tokio::time::Instant;

use super::Control;
use super::gossip::{random_peers, send};

/// Interval at which the age of the list is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between two queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// The last instance whose digest left a gap here, so that its whole list is needed.
#[derive(Debug, Default)]
pub(super) struct Sources(Mutex<Option<SocketAddr>>);

impl Sources {
    /// Records an instance.
    pub(super) fn push(&self, instance: SocketAddr) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(instance);
    }

    /// Takes it.
    pub(super) fn take(&self) -> Option<SocketAddr> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Asks some instances while the list is not up to date.
pub(super) async fn ask(control: &Control, socket: &UdpSocket) {
    let mut next = Instant::now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now_ms = control.gateway.now_ms();
        let (age_ms, after) = {
            let state = control.gateway.state();
            (state.cursor.age_ms(now_ms), state.cursor.version())
        };
        let is_old = age_ms.is_some_and(|age_ms| age_ms >= QUERY_AGE_MS);
        if !is_old || Instant::now() < next {
            continue;
        }
        next = Instant::now() + control.jitter(QUERY_INTERVAL);
        let peers = random_peers(control, ASKED);
        send(control, socket, Message::ListQuery(Query { after }), &peers);
        control.gateway.metrics.count_list_query("asked");
    }
}

/// Answers a query with the changes that the asking instance lacks.
pub(super) fn answer(control: &Control, socket: &UdpSocket, query: Query, from: SocketAddr) {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    let table = gateway.table();
    let digests = {
        let mut state = gateway.state();
        let Some(age_ms) = state.cursor.age_ms(now_ms) else {
            return;
        };
        let head = Head {
            instance: gateway.settings.name.clone(),
            as_of_ms: state.store_ms(now_ms).saturating_sub(age_ms),
            configuration: table.map_or(0, |table| table.configuration().version),
            evacuations: state.registry.zones().orders(),
        };
        state.list_history.answer(query, &head, now_ms)
    };
    gateway.metrics.count_list_query(match digests.is_empty() {
        true => "declined",
        false => "answered",
    });
    for digest in digests {
        send(control, socket, Message::Digest(digest), &[from]);
    }
}
