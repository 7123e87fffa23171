//! Handler of callers' requests: validates them and starts a job for each.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::condition::Declared;
use fescuewell_http::listener::{Handler, Head, Reply, Request, spawn};

use crate::gateway::Gateway;
use crate::job::Job;
use crate::{header, refusal};

/// Timeout of a request without a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Request handler of the callers' listener.
pub struct Front {
    gateway: Arc<Gateway>,
}

impl Front {
    /// Creates the handler.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }
}

impl Handler for Front {
    /// A request without a route or a known key is refused without its body.
    fn needs_body(&self, head: &Head<'_>) -> bool {
        let Some(table) = self.gateway.table() else {
            return false;
        };
        let host = header::host(head.headers);
        let Some(route) = table.route(host, head.uri.path()) else {
            return false;
        };
        if !table.has_accounts() || route.public {
            return true;
        }
        let name = &self.gateway.dialect.header_names().account_key;
        let key = head.headers.get(name).and_then(|key| key.to_str().ok());
        key.is_some_and(|key| table.account(key.trim()).is_some())
    }

    fn handle(&self, request: Request, reply: Reply) {
        let gateway = self.gateway.clone();
        spawn(async move {
            gateway.in_flight_requests().fetch_add(1, Ordering::AcqRel);
            serve(&gateway, request, reply).await;
            gateway.in_flight_requests().fetch_sub(1, Ordering::AcqRel);
        });
    }
}

async fn serve(gateway: &Arc<Gateway>, request: Request, reply: Reply) {
    let closed = reply.closed();
    let arrived = request.arrived;
    gateway.record_arrival(request.body.len());
    match admit(gateway, request) {
        Ok(job) => {
            // If the caller disconnects, dropping the job also cancels the request to the backend
            // server.
            let id = job.id().clone();
            tokio::select! {
                biased;
                ending = closed.wait_for_disconnect() => {
                    log_event!(Event::RequestDone, "request={id} outcome=caller_gone ending={ending:?}");
                }
                () = job.run(reply) => {}
            }
        }
        Err(refused) => {
            let code = refused.code;
            let id = refused.id.as_deref().unwrap_or("-");
            log_event!(
                Event::RouteRefused,
                "request={id} code={} cause={} configuration={}",
                code.number(),
                code.name(),
                refused.version
            );
            let took = arrived.elapsed();
            gateway.metrics.count_refusal("-", code, took);
            refusal::send(reply, code, None, gateway.is_draining());
        }
    }
}

/// A request that is refused before a job is created.
struct Refused {
    id: Option<Arc<str>>,
    code: Code,
    version: u64,
}

fn admit(gateway: &Arc<Gateway>, request: Request) -> Result<Job, Refused> {
    let metadata = gateway.dialect.metadata(&request.headers);
    let id = metadata.request_id.clone();
    let refuse = |code, version| Refused {
        id: id.clone(),
        code,
        version,
    };
    // Without a configuration the request may well be valid, so the refusal must allow a retry.
    let Some(table) = gateway.table() else {
        return Err(refuse(Code::NotReady, 0));
    };
    let version = table.configuration().version;
    let host = header::host(&request.headers);
    let Some(route) = table.route(host, &request.path).cloned() else {
        return Err(refuse(Code::NoSuchPath, version));
    };
    let mut account = None;
    if table.has_accounts() && !route.public {
        let key = metadata.account_key.as_deref().unwrap_or_default();
        let Some(found) = table.account(key) else {
            return Err(refuse(Code::Unauthorized, version));
        };
        account = Some(found.clone());
    }
    let Some(id) = metadata.request_id.clone() else {
        return Err(refuse(Code::MalformedRequest, version));
    };
    // The route or key came with a configuration that was not in force when the head was received.
    if request.is_body_skipped {
        return Err(refuse(Code::NotReady, version));
    }
    if route.kind.is_stream() && metadata.resumes == Declared::Malformed {
        return Err(refuse(Code::MalformedRequest, version));
    }
    let service = route.service(gateway.random_u64()).cloned();
    let Some(service) = service.and_then(|name| table.service(&name).cloned()) else {
        return Err(refuse(Code::NoServer, version));
    };
    let timeout = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let arrived: Instant = request.arrived;
    let job = Job::new(gateway.clone(), request, metadata, id)
        .with_route(route, service, version)
        .with_account(account)
        .with_deadline(arrived + timeout);
    Ok(job)
}
