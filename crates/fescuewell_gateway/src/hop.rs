//! Sends requests through another instance while this one has no path to the backend servers; see
//! [`fescuewell_forward::hop`].

mod serve;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::hop::{
    Call, Forward, MAX_ATTEMPTS, Peer, Reached, Refusal, SAMPLE, Server, Task, Timeouts as Limits,
};
use fescuewell_forward::server::Entry;
use fescuewell_http::upstream::{Error, Exchange, Phase, Target, Timeouts};
use http::{HeaderName, StatusCode};
use rand::seq::IndexedRandom;

use crate::gateway::Gateway;

pub use serve::HopHandler;

/// Path of the calls.
pub(crate) const PATH: &str = "/hop";
/// Response header that tells whether the request was sent: [`SENT`], or the name of a [`Refusal`].
pub(crate) const RESULT: HeaderName = HeaderName::from_static("fescuewell-hop");
/// Value of [`RESULT`] if the response comes from the backend server.
pub(crate) const SENT: &str = "sent";
/// Timeout for connecting to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a call that asks another instance to probe servers; longer than that instance probes them.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size of the response to such a call, in bytes.
const MAX_PROBE_BYTES: usize = 1_024;

/// A request that is passed to another instance, until its exchange ends.
pub(crate) struct Flight {
    gateway: Arc<Gateway>,
    peer: SocketAddr,
}

impl Flight {
    fn begin(gateway: &Arc<Gateway>, peer: SocketAddr) -> Self {
        gateway.state().hops.begin(peer);
        Self {
            gateway: gateway.clone(),
            peer,
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.gateway.state().hops.end(self.peer);
    }
}

/// An exchange with a backend server, and the instance through which it was opened, if any.
pub(crate) struct Opened {
    pub(crate) exchange: Exchange,
    pub(crate) flight: Option<Flight>,
}

/// Why no exchange was opened.
pub(crate) struct Failure {
    pub(crate) error: Error,
    /// Whether a new connection to the server failed here.
    pub(crate) is_direct: bool,
    /// Whether the failure is one of the server, not of the instances.
    pub(crate) blames_server: bool,
}

/// A request to a backend server.
pub(crate) struct Sending<'a> {
    pub(crate) server: &'a Entry,
    pub(crate) request: http::Request<Bytes>,
    /// Id of the request, for logs.
    pub(crate) id: &'a Arc<str>,
    pub(crate) deadline: Instant,
    pub(crate) timeouts: Timeouts,
    /// Whether the request may still be sent, asked when it is written.
    pub(crate) may_send: &'a (dyn Fn() -> bool + Send + Sync),
}

impl Gateway {
    /// Sends a request to a backend server: directly, or through another instance while this one has
    /// no path to the servers.
    pub(crate) async fn open(self: &Arc<Self>, sending: Sending<'_>) -> Result<Opened, Failure> {
        if self.state().has_lost_path(sending.server) {
            return self.open_through_peer(&sending).await;
        }
        let target = Target::new(sending.server.address).with_deadline(sending.deadline);
        let may_send = || (sending.may_send)() && self.may_send(sending.server);
        let opened = self
            .client
            .open_if(&target, sending.request, sending.timeouts, &may_send)
            .await;
        match opened {
            Ok(exchange) => Ok(Opened {
                exchange,
                flight: None,
            }),
            Err(error) => {
                let is_withdrawn = matches!(error, Error::NotSent { .. }) && !may_send();
                Err(Failure {
                    error,
                    is_direct: !is_withdrawn,
                    blames_server: !is_withdrawn,
                })
            }
        }
    }

    /// Returns `true` if a server that was chosen before still accepts requests. It may have begun to
    /// leave while the connection was established.
    pub(crate) fn may_send(&self, server: &Entry) -> bool {
        let now_ms = self.now_ms();
        let state = self.state();
        let registry = &state.registry;
        registry.is_ready(&server.id, now_ms) && !registry.has_restarted(server)
    }

    async fn open_through_peer(self: &Arc<Self>, sending: &Sending<'_>) -> Result<Opened, Failure> {
        let is_server_path_lost = self.state().server_paths.is_lost(sending.server);
        let mut unreached = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            if !(sending.may_send)() {
                return Err(not_sent("the request may no longer be sent", false));
            }
            let Some(peer) = self.choose_peer(&unreached) else {
                break;
            };
            let flight = Flight::begin(self, peer);
            let result = self.pass_on(sending, peer).await;
            let outcome = match &result {
                Ok(Ok(_)) => SENT,
                Ok(Err(refusal)) => refusal.name(),
                Err(Error::NotSent { .. }) => "unreached",
                Err(_) => "unknown",
            };
            self.metrics.count_hop("sent", outcome);
            match result {
                Ok(Ok(exchange)) => {
                    log_event!(
                        Event::RequestForwarded,
                        "request={} server={} peer={peer}",
                        sending.id,
                        sending.server.id
                    );
                    return Ok(Opened {
                        exchange,
                        flight: Some(flight),
                    });
                }
                Err(error) if !matches!(error, Error::NotSent { .. }) => {
                    return Err(Failure {
                        error,
                        is_direct: false,
                        blames_server: false,
                    });
                }
                Ok(Err(Refusal::Unreachable)) if is_server_path_lost => unreached.push(peer),
                Ok(Err(refusal)) if refusal.blames_server() => {
                    return Err(not_sent(refusal.name(), true));
                }
                Ok(Err(refusal)) => self.avoid_peer(peer, Some(refusal)),
                Err(_) => self.avoid_peer(peer, None),
            }
            log_event!(
                Event::ForwardRefused,
                "request={} server={} peer={peer} outcome={outcome}",
                sending.id,
                sending.server.id
            );
        }
        // No instance that was asked reaches the server.
        let blames_server = !unreached.is_empty();
        Err(not_sent(
            "no other instance sends the request",
            blames_server,
        ))
    }

    /// Passes a request to an instance. Returns the exchange if the instance has sent it, or why it has
    /// not.
    async fn pass_on(
        &self,
        sending: &Sending<'_>,
        peer: SocketAddr,
    ) -> Result<Result<Exchange, Refusal>, Error> {
        let task = Task::Forward(Box::new(forward(sending)));
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT,
            ..sending.timeouts
        };
        let mut exchange = self
            .call_peer(task, peer, sending.deadline, timeouts)
            .await?;
        let result = exchange.headers.remove(RESULT);
        let result = result.as_ref().and_then(|value| value.to_str().ok());
        match result {
            Some(SENT) => Ok(Ok(exchange)),
            Some(name) => Ok(Err(Refusal::from_name(name).unwrap_or(Refusal::Malformed))),
            // An earlier program version does not know the path, and the listener rejects what it does
            // not pass to a handler.
            None if exchange.status.is_client_error() => Ok(Err(Refusal::Malformed)),
            None => Err(Error::Unknown {
                phase: Phase::AwaitingHead,
                is_broken: true,
                reason: format!("the instance responded with {}", exchange.status).into(),
            }),
        }
    }

    async fn call_peer(
        &self,
        task: Task,
        peer: SocketAddr,
        deadline: Instant,
        timeouts: Timeouts,
    ) -> Result<Exchange, Error> {
        let not_sent = |reason: &str| Error::NotSent {
            reason: reason.into(),
        };
        let key = self
            .fleet_key()
            .ok_or_else(|| not_sent("the fleet key is not known"))?;
        let now_ms = self.now_ms();
        let store_ms = self.state().quota.store_time(now_ms);
        let call = Call::new(task, self.random_u64(), store_ms);
        let body = Bytes::from(key.seal_content(&call));
        let request = http::Request::post(PATH).body(body);
        let request = request.map_err(|error| not_sent(&error.to_string()))?;
        let target = Target::new(peer).with_deadline(deadline);
        self.client.open(&target, request, timeouts).await
    }

    /// Asks another instance how many of some servers it reaches.
    pub(crate) async fn ask_reached(&self, servers: &[Arc<Entry>], peer: SocketAddr) -> u32 {
        let servers = servers.iter().map(|server| name(server)).collect();
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT,
            first_byte: PROBE_TIMEOUT,
            progress: PROBE_TIMEOUT,
        };
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let call = self.call_peer(Task::Probe(servers), peer, deadline, timeouts);
        let Ok(exchange) = call.await else {
            return 0;
        };
        if exchange.status != StatusCode::OK {
            return 0;
        }
        let body = exchange.collect(MAX_PROBE_BYTES).await;
        let reached: Option<Reached> = match (body, self.fleet_key()) {
            (Ok(body), Some(key)) => key.open_content(&body),
            _ => None,
        };
        reached.map_or(0, |reached| reached.count)
    }

    /// Chooses an instance that sends a request for this one, other than those that do not reach its server.
    fn choose_peer(&self, unreached: &[SocketAddr]) -> Option<SocketAddr> {
        let now_ms = self.now_ms();
        let candidates = self.random_senders(SAMPLE + unreached.len());
        let may_reach = |peer: &Peer| !unreached.contains(&peer.address);
        let state = self.state();
        state
            .hops
            .choose(candidates.into_iter().filter(may_reach), now_ms)
            // All of them are avoided: another sample may hold one that is not.
            .or_else(|| {
                let senders = state.directory.senders().iter().copied();
                let others = senders.filter(|peer| Some(peer.address) != self.settings.peer);
                state.hops.choose(others.filter(may_reach), now_ms)
            })
    }

    /// Returns some random other instances that can send requests.
    pub(crate) fn random_senders(&self, count: usize) -> Vec<Peer> {
        let own = self.settings.peer;
        let mut state = self.state();
        let state = &mut *state;
        // One more, because this instance may be among them.
        let senders = state.directory.senders();
        let senders = senders.choose_multiple(&mut state.rng, count + 1);
        let others = senders.filter(|peer| Some(peer.address) != own);
        others.take(count).copied().collect()
    }

    fn avoid_peer(&self, peer: SocketAddr, refusal: Option<Refusal>) {
        let now_ms = self.now_ms();
        self.state().hops.avoid(peer, refusal, now_ms);
    }
}

fn not_sent(reason: &str, blames_server: bool) -> Failure {
    Failure {
        error: Error::NotSent {
            reason: reason.into(),
        },
        is_direct: false,
        blames_server,
    }
}

fn name(server: &Entry) -> Server {
    Server {
        id: server.id.clone(),
        incarnation: server.incarnation(),
    }
}

fn forward(sending: &Sending<'_>) -> Forward {
    let request = &sending.request;
    let target = request.uri().path_and_query();
    let headers = request.headers().iter();
    let millis = |time: Duration| time.as_millis() as u64;
    Forward {
        server: name(sending.server),
        timeouts: Limits {
            connect_ms: millis(sending.timeouts.connect),
            first_byte_ms: millis(sending.timeouts.first_byte),
            progress_ms: millis(sending.timeouts.progress),
            left_ms: millis(sending.deadline.saturating_duration_since(Instant::now())),
        },
        request: sending.id.clone(),
        method: request.method().as_str().into(),
        target: target.map_or("/", |target| target.as_str()).into(),
        headers: headers
            .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
            .collect(),
        body: request.body().to_vec(),
    }
}
