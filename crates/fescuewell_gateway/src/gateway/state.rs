//! Mutable state that request handlers and the control thread share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_forward::admission;
use fescuewell_forward::choice::{Load, MAX_SUBSET_SIZE};
use fescuewell_forward::condition::Conditions;
use fescuewell_forward::config::{History, Lag};
use fescuewell_forward::crash::{Detector, Quarantine};
use fescuewell_forward::directory::Directory;
use fescuewell_forward::drain::Drain;
use fescuewell_forward::health::{Health, failure};
use fescuewell_forward::hedge;
use fescuewell_forward::hop;
use fescuewell_forward::path;
use fescuewell_forward::quota::Quota;
use fescuewell_forward::relay;
use fescuewell_forward::retry::Budget;
use fescuewell_forward::server::{Build, Entry, Registry};
use fescuewell_forward::stream;
use fescuewell_forward::warmup::Warmup;
use fescuewell_forward::window::Window;
use rand::rngs::SmallRng;

/// Receives the answers to a look-up, with the instances that sent them.
pub type AnswerSender = flume::Sender<(SocketAddr, Option<Build>)>;

/// Mutable state that request handlers and the control thread share.
#[derive(Debug)]
pub struct State {
    /// Listed backend servers.
    pub registry: Registry,
    /// Version up to which the list of backend servers is known.
    pub cursor: relay::Cursor,
    /// Recent changes of that list, for instances that are behind.
    pub list_history: relay::History,
    /// How far the configuration is behind that of other instances.
    pub lag: Lag,
    /// Latest changes of the configuration, if this instance sends them to others.
    pub changes: History,
    /// Whether this instance reaches the backend servers.
    pub path: path::Monitor,
    /// Backend servers that this instance does not reach.
    pub server_paths: path::Servers,
    /// Instances that send requests for this one.
    pub hops: hop::Peers,
    /// Calls of other instances that were carried out.
    pub hop_guard: hop::Guard,
    /// Rate limits for cold backend servers.
    pub warmup: Warmup,
    /// Health scores of backend servers.
    pub health: Health,
    /// Failures of model engines, exchanged with other instances.
    pub failures: failure::Exchange,
    /// Conditions that backend servers declare.
    pub conditions: Conditions,
    /// Suspected and detected crashes of backend servers.
    pub crashes: Detector,
    /// Requests that crash backend servers.
    pub quarantine: Quarantine,
    /// Parts of prompts that crash backend servers.
    pub part_quarantine: Quarantine,
    /// Software versions that began streams.
    pub stream_records: stream::Records,
    /// Those that wait to be sent to other instances.
    pub stream_outbox: stream::Outbox,
    /// Those of streams that began at this instance.
    pub own_streams: stream::Records,
    /// Which other instances are in reach.
    pub reach: stream::Reach,
    /// Look-ups in progress by their ids.
    pub stream_lookups: HashMap<u64, AnswerSender>,
    /// Load of the backend servers.
    pub load: Load,
    /// When the servers that work on requests of this instance were last heard.
    pub activity: hedge::Monitor,
    /// Prepaid tokens of the client accounts.
    pub quota: Quota,
    /// Retry budget.
    pub retry: Budget,
    /// Instances of the fleet.
    pub directory: Directory,
    /// Requests accepted within [`ACCEPTED_WINDOW_S`](super::ACCEPTED_WINDOW_S), without those that were refused before a
    /// server was picked.
    pub accepted_requests: Window,
    /// Shutdown of the instance.
    pub drain: Drain,
    /// Limits on callers' traffic.
    pub admission: admission::Limiter,
    /// Random number generator.
    pub rng: SmallRng,
}

impl State {
    /// Sets the instances that receive callers' requests, and that rates of backend servers are
    /// divided among.
    pub fn set_advertised(&mut self, advertised: &[Arc<str>]) {
        self.warmup.set_instances(advertised.to_vec());
        let fleet_size = self.directory.count();
        self.conditions.limits.set_instances(advertised, fleet_size);
    }

    /// Takes a retry of a service from the fleet's budget. Returns `false` if none is left.
    pub fn take_retry(&mut self, service: &Arc<str>, now_ms: u64) -> bool {
        let instances = self.directory.count();
        self.retry.try_retry(service, instances, now_ms)
    }

    /// Returns `true` if servers that are listed as ready may have begun to leave, as other instances
    /// may know.
    pub fn is_list_doubtful(&self, now_ms: u64) -> bool {
        self.directory.count() > 1 && self.cursor.is_doubtful(now_ms)
    }

    /// Returns `true` if requests to a server have to be sent by another instance.
    pub fn has_lost_path(&self, server: &Entry) -> bool {
        self.path.is_lost() || self.server_paths.is_lost(server)
    }

    /// Returns the cold servers near `key` that this instance may use, each with the number of
    /// instances that share its request rate; see [`fescuewell_forward::warmup`].
    pub fn cold_shares(
        &mut self,
        service: &str,
        build: Option<Build>,
        key: u64,
        instance: &str,
        now_ms: u64,
    ) -> HashMap<Arc<str>, usize> {
        let mut shares = HashMap::new();
        let subset = self
            .registry
            .subset_of(service, build, key, MAX_SUBSET_SIZE, now_ms);
        for entry in subset {
            if !self.registry.is_cold(&entry.id, now_ms) {
                continue;
            }
            if let Some(share) = self.warmup.assigned_count(&entry.id, instance) {
                shares.insert(entry.id.clone(), share);
            }
        }
        shares
    }
}
