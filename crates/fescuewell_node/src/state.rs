//! Status summary of an instance for operators.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_document::model::ServerRole;

use crate::node::Node;

fescuewell_core::data! {
    /// One group's allowance on this instance, in tokens.
    pub struct Allowance {
        /// Name of the group.
        pub group: Arc<str>,
        /// Available for holds.
        pub idle: Tokens,
        /// Held by requests in progress.
        pub held: Tokens,
        /// Settled, but not yet durably billed.
        pub owed: Tokens,
        /// Durably billed.
        pub spent: Tokens,
    }

    /// One backend server from the perspective of this instance.
    pub struct Server {
        /// Name of the server.
        pub name: Arc<str>,
        /// State of its health state chart.
        pub health: Arc<str>,
        /// Attempts of this instance in flight on the server.
        pub in_flight: usize,
        /// Whether the server is shutting down.
        pub leaving: bool,
    }

    /// Number of refusals with one result code.
    pub struct Refused {
        /// Numeric code.
        pub code: u16,
        /// Name of the server.
        pub name: Arc<str>,
        /// Refusals since the process started.
        pub count: u64,
    }

    /// Status of one instance.
    #[derive(Default)]
    pub struct Summary {
        /// `instance.incarnation`.
        pub holder: Arc<str>,
        /// Availability zone.
        pub zone: Arc<str>,
        /// Version of the current document.
        pub version: Version,
        /// Whether the instance accepts requests.
        pub ready: bool,
        /// Whether neither the table nor a peer has replied within the isolation limit.
        pub isolated: bool,
        /// State of the drain state chart.
        pub drain: Arc<str>,
        /// Names of live instances.
        pub live: Vec<Arc<str>>,
        /// Holders that are known to have terminated and are not settled yet.
        pub terminated: Vec<Arc<str>>,
        /// Holder that this instance is currently sweeping.
        pub sweeping: Option<Arc<str>>,
        /// Number of slots this instance holds.
        pub slots: usize,
        /// Open requests of this instance.
        pub requests: usize,
        /// Requests in the queue.
        pub queued: usize,
        /// Number of bills that are not durable yet.
        pub unbilled: usize,
        /// Allowances per group.
        pub allowances: Vec<Allowance>,
        /// Backend servers.
        pub servers: Vec<Server>,
        /// Refusals per result code since the process started.
        pub refusals: Vec<Refused>,
    }
}

impl Node {
    /// Returns the status summary.
    pub fn summary(&self) -> Summary {
        let view = self.members.view();
        Summary {
            holder: self.identity.holder.clone(),
            zone: self.identity.zone.clone(),
            version: self.catalog.version(),
            ready: self.is_ready(),
            isolated: view.isolated,
            drain: self.drain.state().into(),
            live: view.live.iter().map(|peer| peer.instance.clone()).collect(),
            terminated: view.terminated.iter().cloned().collect(),
            sweeping: self.sweeps.current().cloned(),
            slots: self.arbiter.slots().len(),
            requests: self.requests.len(),
            queued: self.admission.len(),
            unbilled: self.claims_client.unfinished(),
            allowances: self.allowances(),
            servers: self.servers(),
            refusals: self.refused(),
        }
    }

    fn allowances(&self) -> Vec<Allowance> {
        let lines = self.ledger.snapshot();
        let allowances = lines.into_iter().map(|line| Allowance {
            group: line.name,
            idle: line.idle,
            held: line.held,
            owed: line.owed,
            spent: line.spent,
        });
        allowances.collect()
    }

    fn servers(&self) -> Vec<Server> {
        let leaving = &self.members.view().leaving_servers;
        let mut servers: Vec<Server> = self
            .catalog
            .endpoints()
            .map(|(key, endpoint)| Server {
                name: endpoint.name.clone(),
                health: self.router.health_state(key).unwrap_or("unknown").into(),
                in_flight: self.router.in_flight(key),
                leaving: leaving.contains(&endpoint.name),
            })
            .collect();
        servers.sort_by(|left, right| left.name.cmp(&right.name));
        servers
    }

    fn refused(&self) -> Vec<Refused> {
        let refusals = self.refusals.iter();
        let refused = refusals.map(|(code, count)| Refused {
            code: code.number(),
            name: code.name().into(),
            count: *count,
        });
        refused.collect()
    }

    /// Returns `true` if the named backend server is an engine, which runs models.
    pub fn is_engine(&self, server: &str) -> bool {
        let endpoint = self.catalog.endpoint_by_name(server);
        endpoint.is_some_and(|endpoint| endpoint.role == ServerRole::Engine)
    }

    /// Returns `true` if the instance is shutting down.
    pub fn is_draining(&self) -> bool {
        self.drain.state() != "serving"
    }
}
