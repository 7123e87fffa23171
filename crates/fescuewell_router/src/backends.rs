//! The thread that polls backend servers and sends them orders, cancellations and listings for the sweep.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_document::model::{Server, ServerRole};
use fescuewell_http::upstream::{self, Client, Target, Timeouts};
use fescuewell_node::event::{Event as NodeEvent, ModelReport, StreamRecord};
use fescuewell_placement::order::{Action, Order, Response};
use fescuewell_routing::load::Report;
use serde_json::{Value, json};

use crate::adapters::BackendWork;

/// Interval at which each backend server is polled for its load and models.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of the requests of this thread; their responses are small.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// An order older than this is not sent. Together with [`REQUEST_TIMEOUT`] for the sending itself this stays
/// well below the time that the planner waits for late orders to expire (`settle_ms`).
const MAX_ORDER_AGE: Duration = Duration::from_secs(2);
/// Error code of a backend server that refused an order because of its fencing token.
const STALE_FENCING_TOKEN: &str = "stale_fencing_number";
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Maximum time for a whole response: connecting, the head and the body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

const TIMEOUTS: Timeouts = Timeouts {
    connect: REQUEST_TIMEOUT,
    first_byte: REQUEST_TIMEOUT,
    progress: REQUEST_TIMEOUT,
};

/// State of the thread; each task gets a clone.
#[derive(Clone)]
pub struct Backends {
    /// Backend servers of the active document.
    pub servers: Arc<ArcSwap<Vec<Server>>>,
    /// Channel to the decision thread.
    pub events: flume::Sender<NodeEvent>,
    /// A separate HTTP client, so that a burst of streams does not delay reports.
    pub client: Client,
    /// The decision thread's clock.
    pub clock: Arc<dyn Clock>,
}

/// Starts the thread; it ends when all senders of `work` are dropped.
///
/// # Errors
///
/// When the thread or its runtime cannot be started.
pub fn start(backends: Backends, work: flume::Receiver<BackendWork>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name("backends".into())
        .spawn(move || {
            runtime.block_on(backends.run(&work));
        })?;
    Ok(())
}

impl Backends {
    async fn run(&self, work: &flume::Receiver<BackendWork>) {
        let mut interval = tokio::time::interval(REPORT_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut polls = BTreeMap::new();
        loop {
            tokio::select! {
                _ = interval.tick() => self.poll_all(&mut polls),
                received = work.recv_async() => match received {
                    Ok(work) => {
                        let backends = self.clone();
                        tokio::spawn(async move { backends.handle(work).await });
                    }
                    Err(_) => return,
                },
            }
        }
    }

    // Starts a poll of each engine whose last poll has ended, so that polls of a server that does not respond
    // don't accumulate.
    fn poll_all(&self, polls: &mut BTreeMap<Arc<str>, tokio::task::JoinHandle<u64>>) {
        use std::collections::btree_map::Entry;
        for server in self.servers.load().iter() {
            if server.role != ServerRole::Engine {
                continue;
            }
            match polls.entry(server.name.clone()) {
                Entry::Vacant(entry) => {
                    entry.insert(tokio::spawn(self.clone().poll(server.clone())));
                }
                Entry::Occupied(mut entry) if entry.get().is_finished() => {
                    entry.insert(tokio::spawn(self.clone().poll(server.clone())));
                }
                Entry::Occupied(_) => {}
            }
        }
    }

    async fn poll(self, server: Server) -> u64 {
        let requested_at = self.clock.now();
        let Some(models) = self.get(server.address, "/v1/models").await else {
            return 0;
        };
        let models = serde_json::from_slice(&models).unwrap_or_default();
        let loaded = model_names(&models);
        self.report_models(&server.name, parse_models(requested_at, &models));
        let Some(metrics) = self.get(server.address, "/metrics").await else {
            return 0;
        };
        let report = parse_load_report(&String::from_utf8_lossy(&metrics));
        let event = NodeEvent::LoadReported {
            server: server.name.clone(),
            report,
            loaded,
        };
        let _ = self.events.try_send(event);
        1
    }

    fn report_models(&self, server: &Arc<str>, report: Option<ModelReport>) {
        let Some(report) = report else {
            return;
        };
        let server = server.clone();
        let _ = self
            .events
            .try_send(NodeEvent::ModelsReported { server, report });
    }

    async fn handle(&self, work: BackendWork) {
        match work {
            BackendWork::Order {
                address,
                order,
                created_at,
            } => {
                let response = self.order(address, &order, created_at).await;
                let event = NodeEvent::OrderResponse { order, response };
                let _ = self.events.send_async(event).await;
            }
            BackendWork::Cancel { address, stream } => {
                let path = format!("/v1/responses/{stream}/cancel");
                let _ = self.request(address, http::Method::POST, &path).await;
            }
            BackendWork::ListStreams {
                server,
                holder,
                is_engine: false,
                ..
            } => {
                let streams = Some(Vec::new());
                let event = NodeEvent::StreamsListed {
                    server,
                    holder,
                    streams,
                };
                let _ = self.events.send_async(event).await;
            }
            BackendWork::ListStreams {
                server,
                address,
                holder,
                ..
            } => {
                let path = format!("/v1/responses?holder={holder}");
                let body = self.get(address, &path).await;
                let streams = body.and_then(|body| parse_streams(&body));
                let event = NodeEvent::StreamsListed {
                    server,
                    holder,
                    streams,
                };
                let _ = self.events.send_async(event).await;
            }
        }
    }

    /// Sends an order at most once.
    ///
    /// An order that is delayed because the process was paused could reach the server after another
    /// instance took over placement and waited for late orders to expire. On a server that ignores
    /// fencing tokens it would undo the new holder's order. So the order's age is checked just before
    /// it is sent, and sending has a timeout.
    async fn order(&self, address: SocketAddr, order: &Order, created_at: Instant) -> Response {
        if self.clock.now().since(created_at) > MAX_ORDER_AGE {
            return Response::Refused;
        }
        let Some(request) = order_request(order) else {
            return Response::Refused;
        };
        let target = target(address);
        let open = self.client.open(&target, request, TIMEOUTS);
        match tokio::time::timeout(REQUEST_TIMEOUT, open).await {
            Ok(Ok(exchange)) => {
                let status = exchange.status;
                let body = exchange
                    .collect(MAX_RESPONSE_BYTES)
                    .await
                    .unwrap_or_default();
                parse_order_response(status, &body)
            }
            Ok(Err(upstream::Error::NotSent { .. })) => Response::Refused,
            Ok(Err(_)) | Err(_) => Response::Unknown,
        }
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        self.request(address, http::Method::GET, path).await
    }

    async fn request(
        &self,
        address: SocketAddr,
        method: http::Method,
        path: &str,
    ) -> Option<Bytes> {
        let request = http::Request::builder().method(method).uri(path);
        let request = request.body(Bytes::new()).ok()?;
        let exchange = self
            .client
            .open(&target(address), request, TIMEOUTS)
            .await
            .ok()?;
        if !exchange.status.is_success() {
            return None;
        }
        exchange.collect(MAX_RESPONSE_BYTES).await.ok()
    }
}

fn target(address: SocketAddr) -> Target {
    Target::new(address).with_deadline(std::time::Instant::now() + RESPONSE_TIMEOUT)
}

fn model_names(models: &Value) -> Vec<Arc<str>> {
    let data = models["data"].as_array().into_iter().flatten();
    data.filter_map(|model| model["id"].as_str().map(Arc::from))
        .collect()
}

/// Parses the list of a server's models; `None` when the response has no list, which does not mean that the
/// server has no models.
fn parse_models(requested_at: Instant, models: &Value) -> Option<ModelReport> {
    models["data"].as_array()?;
    let loading = models["loading"].as_array().into_iter().flatten();
    Some(ModelReport {
        requested_at,
        loaded: model_names(models),
        loading: loading
            .filter_map(|name| name.as_str().map(Arc::from))
            .collect(),
        role: models["role"].as_str().map(Arc::from),
    })
}

fn order_request(order: &Order) -> Option<http::Request<Bytes>> {
    let body = match &order.action {
        Action::Load { model } => json!({"action": "load", "model": model}),
        Action::Unload { model } => json!({"action": "unload", "model": model}),
        Action::Role { role } => json!({"action": "role", "role": role}),
    };
    let request = http::Request::post("/v1/orders")
        .header("content-type", "application/json")
        .header("x-fencing-token", order.epoch.0);
    request.body(Bytes::from(body.to_string())).ok()
}

/// Derives from status and error code whether the server accepted the order.
fn parse_order_response(status: http::StatusCode, body: &[u8]) -> Response {
    if status.is_success() {
        return Response::Accepted;
    }
    if !status.is_client_error() {
        return Response::Unknown;
    }
    let problem: Value = serde_json::from_slice(body).unwrap_or_default();
    match problem["error"]["code"].as_str() {
        Some(STALE_FENCING_TOKEN) => Response::Stale,
        _ => Response::Refused,
    }
}

/// Parses the metrics used for routing from a page in the Prometheus text format; a missing one counts as 0.
fn parse_load_report(text: &str) -> Report {
    let value = |name: &str| {
        let mut lines = text.lines().filter(|line| !line.starts_with('#'));
        let line = lines.find(|line| {
            line.split(['{', ' '])
                .next()
                .is_some_and(|found| found.ends_with(name))
        });
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .unwrap_or_default()
    };
    Report {
        running: value("engine_requests_running") as u32,
        waiting: value("engine_requests_waiting") as u32,
        cache_used: value("engine_prefix_cache_usage_ratio") as f32,
        age: Duration::from_secs_f64(value("engine_report_age_seconds").max(0.0)),
    }
}

fn parse_streams(body: &[u8]) -> Option<Vec<StreamRecord>> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let data = value["data"].as_array()?;
    Some(data.iter().filter_map(parse_stream).collect())
}

fn parse_stream(record: &Value) -> Option<StreamRecord> {
    let metadata = &record["metadata"];
    let finish = record["finish_reason"].as_str().unwrap_or_default();
    let hold = metadata["hold"]
        .as_u64()
        .or_else(|| metadata["hold"].as_str()?.parse().ok());
    Some(StreamRecord {
        stream: record["id"].as_str()?.into(),
        group: metadata["group"].as_str().unwrap_or_default().into(),
        hold: Tokens(hold.unwrap_or_default()),
        done: record["done"].as_bool().unwrap_or_default(),
        complete: matches!(finish, "stop" | "length"),
        response: None,
        used: Tokens(record["usage"]["total_tokens"].as_u64().unwrap_or_default()),
    })
}
