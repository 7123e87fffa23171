//! The HTTP interface for callers: routes each request and sends its response.

mod resume;
mod service;

use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use bytes::Bytes;
use fescuewell_claims::message::StoredResponse;
use fescuewell_core::prelude::*;
use fescuewell_document::lookup::Index;
use fescuewell_http::listener::{Handler, Head, Reply, Request, spawn};
use fescuewell_http::upstream::{Client, Timeouts};
use fescuewell_http::{depth, refusal::refusal_response};
use fescuewell_membership::address;
use fescuewell_membership::view::View;
use fescuewell_node::event::Event as NodeEvent;
use fescuewell_node::request::{Arrival, Ticket, Verdict, Work};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::attempt::Runner;
use crate::caller::{Caller, authenticate, deadline_of, kind_of};
use crate::chat::{Path, Prompt};
use crate::delivery::{Delivery, ResponseOptions};
use crate::metrics::Metrics;
use crate::pending::PendingRequests;

/// Maximum nesting depth of a JSON body.
const MAX_JSON_DEPTH: usize = 64;

/// State that the decision thread publishes for the data plane.
#[derive(Default)]
pub struct Published {
    /// The known instances.
    pub view: View,
    /// Whether this instance accepts requests.
    pub is_ready: bool,
    /// Whether this instance is draining before it shuts down.
    pub is_draining: bool,
}

/// The data plane of one instance, shared by the threads that serve callers.
pub struct Plane {
    /// Index of the active document.
    pub index: ArcSwap<Index>,
    /// State that the decision thread last published.
    pub published: ArcSwap<Published>,
    /// Requests that wait for a verdict of the decision thread.
    pub pending: PendingRequests,
    /// HTTP client for backend servers.
    pub client: Client,
    /// Timeouts of requests to backend servers.
    pub timeouts: Timeouts,
    /// How callers are distributed over the instances.
    pub addresses: address::Settings,
    /// `instance.incarnation`, part of the request ids that this instance generates.
    pub holder: Arc<str>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// Handler of the callers' listener; serves each request on the [`Plane`].
pub struct Front(pub Arc<Plane>);

impl Handler for Front {
    /// Only model requests and calls of services have a body, and are refused without it unless a client account sends
    /// them.
    fn needs_body(&self, head: &Head<'_>) -> bool {
        let path = head.uri.path().trim_start_matches('/');
        let parts: Vec<&str> = path.split('/').collect();
        let has_body = matches!(
            parts.as_slice(),
            ["v1", "chat", "completions"] | ["v1", "completions"] | ["v1", "services", _, _]
        );
        has_body && authenticate(&self.0.index.load(), head.headers).is_ok()
    }

    fn handle(&self, request: Request, reply: Reply) {
        let plane = self.0.clone();
        spawn(async move {
            plane.serve(request, reply).await;
        });
    }
}

/// A request whose headers and body were validated.
struct ValidatedRequest {
    caller: Caller,
    arrival: Arrival,
    options: Option<ResponseOptions>,
    prompt: Option<Prompt>,
    request: Request,
    deadline: Instant,
}

impl Plane {
    async fn serve(&self, request: Request, reply: Reply) {
        self.metrics.requests.add(1, &[]);
        let path = request.path.clone();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let is_get = request.method == Method::GET;
        let is_post = request.method == Method::POST;
        match (parts.as_slice(), is_get, is_post) {
            (["healthz"], true, _) => send_json(reply, StatusCode::OK, &json!({"status": "ok"})),
            (["readyz"], true, _) => self.send_readiness(reply),
            (["v1", "instances"], true, _) => self.send_instances(&request, reply),
            (["v1", "models"], true, _) => self.send_models(&request, reply),
            (["v1", "chat", "completions"], _, true) => {
                self.serve_model(Path::Chat, request, reply).await
            }
            (["v1", "completions"], _, true) => self.serve_model(Path::Text, request, reply).await,
            (["v1", "services", service, call], _, true) => {
                self.serve_call(service, call, request, reply).await;
            }
            (["v1", "responses", id], true, _) => self.serve_resume(id, request, reply).await,
            (path, _, _) if is_known_path(path) => {
                reply.refuse(&Refusal::new(Code::MethodNotAllowed))
            }
            _ => reply.refuse(&Refusal::new(Code::NoSuchPath)),
        }
    }

    fn send_readiness(&self, reply: Reply) {
        let published = self.published.load();
        if published.is_ready {
            send_json(reply, StatusCode::OK, &json!({"status": "ready"}));
            return;
        }
        let code = match (published.is_draining, published.view.isolated) {
            (true, _) => Code::Draining,
            (_, true) => Code::Isolated,
            _ => Code::NotReady,
        };
        reply.refuse(&Refusal::new(code));
    }

    fn send_instances(&self, request: &Request, reply: Reply) {
        let index = self.index.load();
        let account = match authenticate(&index, &request.headers) {
            Ok(account) => account,
            Err(refusal) => return reply.refuse(&refusal),
        };
        let zone = query_value(&request.query, "zone").map(Arc::from);
        let caller = address::Caller {
            account: account.name.clone(),
            client: request.peer.ip().to_string().into(),
            zone,
            rate: 0,
        };
        send_json(reply, StatusCode::OK, &self.instances(&caller));
    }

    fn instances(&self, caller: &address::Caller) -> Value {
        let published = self.published.load();
        let response = address::resolve(&self.addresses, caller, &published.view);
        let instances: Vec<Value> = response
            .addresses
            .iter()
            .map(|entry| {
                json!({
                    "address": entry.address.to_string(),
                    "zone": &*entry.zone,
                    "weight": entry.weight,
                })
            })
            .collect();
        json!({"ttl_seconds": response.ttl.as_secs(), "instances": instances})
    }

    fn send_models(&self, request: &Request, reply: Reply) {
        let index = self.index.load();
        let account = match authenticate(&index, &request.headers) {
            Ok(account) => account,
            Err(refusal) => return reply.refuse(&refusal),
        };
        let models = index.document().models.iter();
        let offered = models.filter(|model| index.can_use(&account.group, &model.name));
        let data: Vec<Value> = offered
            .map(|model| json!({"id": &*model.name, "object": "model", "owned_by": "fescuewell"}))
            .collect();
        send_json(
            reply,
            StatusCode::OK,
            &json!({"object": "list", "data": data}),
        );
    }

    async fn serve_model(&self, path: Path, request: Request, reply: Reply) {
        let mut registration = self.pending.register();
        let validated = match self.validate_model(path, request, registration.ticket) {
            Ok(validated) => validated,
            Err(refusal) => return self.refuse(reply, &refusal),
        };
        let (Some(options), Some(prompt)) = (validated.options, validated.prompt) else {
            return;
        };
        let mut delivery = Delivery::new(options.clone(), reply);
        let runner = Runner {
            client: &self.client,
            pending: &self.pending,
            timeouts: self.timeouts,
            ticket: registration.ticket,
            deadline: validated.deadline,
            may_retry: validated.caller.may_retry,
        };
        let ticket = registration.ticket;
        let arrived = validated.request.arrived;
        let mut verdict = registration
            .submit(NodeEvent::Arrived(validated.arrival))
            .await;
        self.count_verdict(arrived);
        let mut silent = None;
        loop {
            if !matches!(verdict, Ok(Verdict::Keep))
                && let Some(assignment) = silent.take()
            {
                runner.discard(assignment);
            }
            let (assignment, outcome) = match verdict {
                Err(refusal) | Ok(Verdict::Refuse(refusal)) => {
                    return self.refuse_delivery(delivery, &refusal).await;
                }
                Ok(Verdict::Stored(response)) => {
                    return delivery
                        .forward(status_of(&response), Bytes::copy_from_slice(&response.body));
                }
                Ok(Verdict::Attach {
                    address, stream, ..
                }) => match runner.read(address, &stream, &mut delivery).await {
                    Some(outcome) => return self.finish(ticket, outcome, delivery).await,
                    None => {
                        verdict = registration.report(NodeEvent::StreamGone { ticket }).await;
                        continue;
                    }
                },
                Ok(Verdict::Run(assignment)) => {
                    delivery.restart();
                    let outcome = runner
                        .run(&assignment, &prompt, &options, &mut delivery)
                        .await;
                    (assignment, outcome)
                }
                Ok(Verdict::Keep) => {
                    let Some(assignment) = silent.take() else {
                        return;
                    };
                    let outcome = runner.keep(&assignment, &prompt, &mut delivery).await;
                    (assignment, outcome)
                }
            };
            if !is_retryable(&outcome.end) {
                return self.finish(ticket, outcome, delivery).await;
            }
            let end = outcome.end;
            silent = is_silent(&end).then_some(assignment);
            verdict = registration.report(NodeEvent::Ended { ticket, end }).await;
        }
    }

    async fn finish(&self, ticket: Ticket, outcome: crate::attempt::Outcome, delivery: Delivery) {
        use fescuewell_node::request::End;
        let end = outcome.end.clone();
        self.count_cost(&end);
        match &outcome.end {
            End::Done { .. } => delivery.finish().await,
            End::Rejected => {
                let (status, body) = outcome.rejection.unwrap_or_default();
                delivery.forward(status, body);
            }
            _ if outcome.deadline_exceeded => {
                self.refuse_delivery(delivery, &Refusal::new(Code::DeadlineCut))
                    .await;
            }
            End::Cancelled { .. } => {
                self.refuse_delivery(delivery, &Refusal::new(Code::Cancelled))
                    .await;
            }
            _ => {
                self.refuse_delivery(delivery, &Refusal::new(Code::ServerFailed))
                    .await
            }
        }
        self.pending.send(NodeEvent::Ended { ticket, end }).await;
    }

    fn count_cost(&self, end: &fescuewell_node::request::End) {
        if let fescuewell_node::request::End::Done { cost, .. } = end {
            self.metrics.tokens.add(cost.0, &[]);
        }
    }

    fn count_verdict(&self, arrived: Instant) {
        let seconds = arrived.elapsed().as_secs_f64();
        self.metrics.verdict_seconds.record(seconds, &[]);
    }

    fn validate_model(
        &self,
        path: Path,
        request: Request,
        ticket: Ticket,
    ) -> Result<ValidatedRequest, Refusal> {
        let index = self.index.load();
        let caller = Caller::read(&index, &request, || self.generate_id(ticket))?;
        check_body(&request)?;
        depth::check(&request.body, MAX_JSON_DEPTH).map_err(|_| Refusal::new(Code::TooDeep))?;
        let prompt = Prompt::read(path, &request.body)?;
        let model = index
            .model(&prompt.model)
            .filter(|model| index.can_use(&caller.group, &model.name))
            .ok_or_else(|| Refusal::new(Code::UnknownModel).with_detail(&prompt.model))?;
        let output_limit = prompt.output_limit.unwrap_or(model.default_output);
        if output_limit > model.context_tokens {
            let detail = format!("The model takes {} tokens.", model.context_tokens);
            return Err(Refusal::new(Code::TooLong).with_detail(detail));
        }
        let salt = fescuewell_node::dispatch::cache_salt(&caller.group);
        let work = Work::Model {
            model: model.name.clone(),
            prefix: prompt.prefix(&salt),
            prompt_bound: prompt.bound,
            output_limit,
        };
        let options = ResponseOptions {
            path,
            stream: prompt.stream,
            include_usage: prompt.include_usage,
            id: caller.id.clone(),
            last_event: caller.last_event,
        };
        self.validate(&index, caller, request, work, ticket)
            .map(|validated| ValidatedRequest {
                options: Some(options),
                prompt: Some(prompt),
                ..validated
            })
    }

    fn validate(
        &self,
        index: &Index,
        caller: Caller,
        request: Request,
        work: Work,
        ticket: Ticket,
    ) -> Result<ValidatedRequest, Refusal> {
        let kind = match &work {
            Work::Call { service, call, .. } => match index.call(service, call) {
                Some((_, call)) if !request.headers.contains_key(crate::caller::KIND_HEADER) => {
                    call.kind.clone()
                }
                _ => kind_of(index, &request, &caller.account)?,
            },
            Work::Model { .. } => kind_of(index, &request, &caller.account)?,
        };
        let deadline = deadline_of(index, &request, &kind)?;
        let arrival = Arrival {
            ticket,
            key: caller.key(),
            fingerprint: fingerprint(&request),
            group: caller.group.clone(),
            kind,
            work,
            deadline,
        };
        Ok(ValidatedRequest {
            caller,
            arrival,
            options: None,
            prompt: None,
            request,
            deadline: Instant::now() + deadline,
        })
    }

    fn generate_id(&self, ticket: Ticket) -> String {
        format!("auto-{}-{}", self.holder, ticket.0)
    }

    fn refuse(&self, reply: Reply, refusal: &Refusal) {
        self.metrics.count_refusal(refusal.code);
        let (mut parts, body) = refusal_response(refusal).into_parts();
        self.add_addresses(refusal, &mut parts.headers);
        reply.send(parts.status, parts.headers, body);
    }

    // Lists the other ready instances, so that a caller of an instance that takes no requests can switch
    // to one of them at once.
    fn add_addresses(&self, refusal: &Refusal, headers: &mut HeaderMap) {
        if !matches!(
            refusal.code,
            Code::Draining | Code::Isolated | Code::NotReady
        ) {
            return;
        }
        let published = self.published.load();
        let others = published.view.live.iter().filter(|peer| {
            peer.state == fescuewell_membership::row::State::Ready && !peer.suspected
        });
        let text: Vec<String> = others.map(|peer| peer.caller_address.to_string()).collect();
        if let Ok(value) = HeaderValue::from_str(&text.join(", ")) {
            headers.insert("x-other-instances", value);
        }
    }

    async fn refuse_delivery(&self, delivery: Delivery, refusal: &Refusal) {
        self.metrics.count_refusal(refusal.code);
        delivery.refuse(refusal).await;
    }
}

/// Refuses a request whose body was skipped: its account came with a document that was not in force when the head was
/// received.
fn check_body(request: &Request) -> Result<(), Refusal> {
    match request.is_body_skipped {
        true => Err(Refusal::new(Code::NotReady)),
        false => Ok(()),
    }
}

fn is_known_path(parts: &[&str]) -> bool {
    matches!(
        parts,
        ["healthz"]
            | ["readyz"]
            | ["v1", "instances" | "models" | "completions"]
            | ["v1", "chat", "completions"]
            | ["v1", "services", _, _]
            | ["v1", "responses", _]
    )
}

fn is_retryable(end: &fescuewell_node::request::End) -> bool {
    use fescuewell_node::request::End;
    matches!(
        end,
        End::NotSent
            | End::Busy
            | End::Lost {
                delivered: false,
                ..
            }
    )
}

fn is_silent(end: &fescuewell_node::request::End) -> bool {
    matches!(
        end,
        fescuewell_node::request::End::Lost { stalled: true, .. }
    )
}

/// Hashes path and body, so that reuse of a request id with another body is detected.
fn fingerprint(request: &Request) -> Digest {
    let mut bytes = request.path.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(&request.body);
    Digest::of(&bytes)
}

fn status_of(response: &StoredResponse) -> StatusCode {
    StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK)
}

fn send_json(reply: Reply, status: StatusCode, body: &Value) {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply.send(status, headers, Bytes::from(body.to_string()));
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value)
        .next()
}
