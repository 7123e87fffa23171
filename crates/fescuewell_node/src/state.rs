//! What operators are shown of an instance.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_document::model::ServerRole;

use crate::node::Node;

fescuewell_core::data! {
    /// One group's money on this instance.
    pub struct Allowance {
        /// Name of the group.
        pub group: Arc<str>,
        /// Free to be held.
        pub idle: Tokens,
        /// Held by requests under way.
        pub held: Tokens,
        /// Settled, with bills that are not durable yet.
        pub owed: Tokens,
        /// Billed.
        pub spent: Tokens,
    }

    /// One backend server as this instance sees it.
    pub struct Server {
        /// Its name.
        pub name: Arc<str>,
        /// State of its health chart.
        pub health: Arc<str>,
        /// Own attempts that are open there.
        pub in_flight: usize,
        /// Whether it is leaving.
        pub leaving: bool,
    }

    /// Refusals of one result code.
    pub struct Refused {
        /// Number of the code.
        pub code: u16,
        /// Its name.
        pub name: Arc<str>,
        /// How many since the start.
        pub count: u64,
    }

    /// State of one instance.
    #[derive(Default)]
    pub struct Summary {
        /// `instance.incarnation`.
        pub holder: Arc<str>,
        /// Availability zone.
        pub zone: Arc<str>,
        /// Version of the document in force.
        pub version: Version,
        /// Whether it takes requests.
        pub ready: bool,
        /// Whether neither the table nor a peer answered for too long.
        pub isolated: bool,
        /// State of the drain's chart.
        pub drain: Arc<str>,
        /// Live instances, by name.
        pub live: Vec<Arc<str>>,
        /// Holders that are proved to have ended and are not settled yet.
        pub terminated: Vec<Arc<str>>,
        /// Holder whose streams are being settled here.
        pub sweeping: Option<Arc<str>>,
        /// Slots held here.
        pub slots: usize,
        /// Requests that this instance has a part in.
        pub requests: usize,
        /// Requests in the queue.
        pub queued: usize,
        /// Bills that are not durable yet.
        pub unbilled: usize,
        /// Money.
        pub allowances: Vec<Allowance>,
        /// Backend servers.
        pub servers: Vec<Server>,
        /// Refusals since the start.
        pub refusals: Vec<Refused>,
    }
}

impl Node {
    /// What operators are shown.
    pub fn summary(&self) -> Summary {
        let view = self.members.view();
        Summary {
            holder: self.me.holder.clone(),
            zone: self.me.zone.clone(),
            version: self.catalog.version(),
            ready: self.is_ready(),
            isolated: view.isolated,
            drain: self.drain.state().into(),
            live: view.live.iter().map(|peer| peer.instance.clone()).collect(),
            terminated: view.terminated.iter().cloned().collect(),
            sweeping: self.sweeping.current().cloned(),
            slots: self.arbiter.slots().len(),
            requests: self.book.len(),
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
            .places()
            .map(|(key, place)| Server {
                name: place.name.clone(),
                health: self.router.health(key).unwrap_or("unknown").into(),
                in_flight: self.router.in_flight(key),
                leaving: leaving.contains(&place.name),
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

    /// Whether the backend server of that name runs models.
    pub fn is_engine(&self, server: &str) -> bool {
        let place = self.catalog.place_of(server);
        place.is_some_and(|place| place.role == ServerRole::Engine)
    }

    /// Whether the instance is shutting down.
    pub fn is_draining(&self) -> bool {
        self.drain.state() != "serving"
    }
}
