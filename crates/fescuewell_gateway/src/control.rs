//! The duties of the control thread: the configuration, the list of backend servers, grants and membership.

mod journal;
mod ledger;
mod members;
mod money;
mod peers;
mod rows;
mod watch;

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;

use crate::gateway::Gateway;
use crate::source::Source;
use crate::store::{Error, Store};

/// What the duties work with.
#[derive(Clone)]
pub struct Control {
    gateway: Arc<Gateway>,
    store: Arc<dyn Store>,
    source: Arc<dyn Source>,
    wants: flume::Receiver<()>,
}

/// Longest time for one call to the store. It answers within milliseconds; one that was slowed down fiftyfold still
/// fits, and a connection that has gone silent costs no more than this.
const CALL: Duration = Duration::from_millis(1_200);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);

impl Control {
    /// The duties of an instance.
    pub fn new(
        gateway: Arc<Gateway>,
        store: Arc<dyn Store>,
        source: Arc<dyn Source>,
        wants: flume::Receiver<()>,
    ) -> Self {
        Self {
            gateway,
            store,
            source,
            wants,
        }
    }

    /// Carries the duties out for as long as it is polled.
    pub async fn run(self) {
        let configuration = watch::configuration(&self);
        let servers = watch::servers(&self);
        let money = money::run(&self);
        let peers = peers::run(&self);
        tokio::join!(configuration, servers, money, peers);
    }

    /// Notes what a call to the store came to.
    fn heard<Answer>(&self, answer: &Result<Answer, Error>, call: &str) {
        let up = matches!(answer, Ok(_) | Err(Error::Compacted));
        if !self.gateway.set_store_up(up) {
            return;
        }
        match answer {
            Err(error) if !up => {
                let reason = error.to_string().replace(' ', "_");
                log_event!(Event::TableDown, "call={call} reason={reason}");
            }
            _ => {
                log_event!(Event::TableUp, "call={call}");
                // The journal is as old as the outage, and a restart now would be charged for all of that.
                self.gateway.want_tokens();
            }
        }
    }

    /// Limits a call's time: an answer that does not come in time is missing.
    async fn call<Answer, Call>(
        &self,
        name: &str,
        limit: Duration,
        call: Call,
    ) -> Result<Answer, Error>
    where
        Call: Future<Output = Result<Answer, Error>>,
    {
        let answer = tokio::time::timeout(limit, call).await;
        let answer = answer.unwrap_or_else(|_| {
            Err(Error::Unknown {
                reason: "no answer in time".into(),
            })
        });
        let outcome = match &answer {
            Ok(_) => "answered",
            Err(Error::NotDone { .. }) => "not_done",
            Err(Error::Unknown { .. }) => "unknown",
            Err(Error::Compacted) => "compacted",
        };
        self.gateway.metrics.store_call(name, outcome);
        self.heard(&answer, name);
        answer
    }
}
