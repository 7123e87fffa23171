//! Takes callers' requests in and decides what each of them is.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::{Handler, Reply, Request, spawn};

use crate::gateway::Gateway;
use crate::job::Job;
use crate::{header, refusal};

/// Time that a caller without a deadline is thought to wait.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(10);

/// The callers' side of an instance.
pub struct Front {
    gateway: Arc<Gateway>,
}

impl Front {
    /// A handler for the callers' listener.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }
}

impl Handler for Front {
    fn handle(&self, request: Request, reply: Reply) {
        let gateway = self.gateway.clone();
        spawn(async move {
            gateway.open().fetch_add(1, Ordering::AcqRel);
            serve(&gateway, request, reply).await;
            gateway.open().fetch_sub(1, Ordering::AcqRel);
        });
    }
}

async fn serve(gateway: &Arc<Gateway>, request: Request, reply: Reply) {
    let closed = reply.closed();
    let arrived = request.arrived;
    gateway.take_in(request.body.len());
    match admit(gateway, request) {
        Ok(job) => {
            // A caller that leaves drops the job, and with it the call to the backend server.
            let id = job.id().clone();
            tokio::select! {
                biased;
                ending = closed.wait_gone() => {
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
            gateway.metrics.refusal("-", code, took);
            refusal::answer(reply, code, None, gateway.is_leaving());
        }
    }
}

/// A request that is refused before anything is tried.
struct Refused {
    id: Option<Arc<str>>,
    code: Code,
    version: u64,
}

fn admit(gateway: &Arc<Gateway>, request: Request) -> Result<Job, Refused> {
    let facts = gateway.dialect.facts(&request.headers);
    let id = facts.id.clone();
    let refuse = |code, version| Refused {
        id: id.clone(),
        code,
        version,
    };
    // Without a configuration nothing is known to be wrong with the request, so it is not refused for good.
    let Some(table) = gateway.table() else {
        return Err(refuse(Code::NotReady, 0));
    };
    let version = table.configuration().version;
    let host = header::host(&request.headers);
    let Some(route) = table.route(host, &request.path).cloned() else {
        return Err(refuse(Code::NoSuchPath, version));
    };
    let mut tenant = None;
    if table.has_accounts() && !route.public {
        let key = facts.key.as_deref().unwrap_or_default();
        let Some(found) = table.account(key) else {
            return Err(refuse(Code::Unauthorized, version));
        };
        tenant = Some(found.clone());
    }
    let Some(id) = facts.id.clone() else {
        return Err(refuse(Code::MalformedRequest, version));
    };
    let service = route.service(gateway.draw()).cloned();
    let Some(service) = service.and_then(|name| table.service(&name).cloned()) else {
        return Err(refuse(Code::NoServer, version));
    };
    let patience = facts.patience.unwrap_or(DEFAULT_PATIENCE);
    let arrived: Instant = request.arrived;
    let job = Job::new(gateway.clone(), request, facts, id)
        .with_route(route, service, version)
        .with_tenant(tenant)
        .with_deadline(arrived + patience);
    Ok(job)
}
