//! Starts and stops the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_adapter::product;
use fescuewell_console::server::{Console, Operator, Settings as ConsoleSettings};
use fescuewell_console::{password, store::Store};
use fescuewell_core::platform::{Listing, Role, State};
use fescuewell_core::tokens::Tokens;
use fescuewell_document::model::{Document, ServerRole};
use fescuewell_peer::credentials::Authority;
use fescuewell_router::daemon::Router;
use fescuewell_router::settings::{Limits, Settings as RouterSettings, Timing};
use fescuewell_standin::engine::{self, Engine};
use fescuewell_standin::platform::{Platform, Settings as PlatformSettings};
use fescuewell_standin::service::{self, Service};
use snafu::Snafu;

use crate::document::{self, Place};

/// Zones of the demo.
pub const ZONES: [&str; 3] = ["bne-a", "bne-b", "bne-c"];
/// The demo's operator.
pub const OPERATOR: &str = "operator";
/// Password of the demo's operator.
pub const PASSWORD: &str = "demo-password";
/// Token of the demo's operator for the command line.
pub const TOKEN: &str = "demo-operator-token";

/// Something could not be started.
#[derive(Debug, Snafu)]
#[snafu(display("{part}: {reason}"))]
pub struct Error {
    part: &'static str,
    reason: String,
}

impl Error {
    fn new<Reason>(part: &'static str, reason: Reason) -> Self
    where
        Reason: std::fmt::Display,
    {
        Self {
            part,
            reason: reason.to_string(),
        }
    }
}

/// What to start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Port of the first router's callers' listener; the others follow on free ports. 0 for a free one.
    pub port: u16,
    /// Entry instances, spread over the zones.
    pub routers: usize,
    /// Model engines, spread over the zones.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// How the engines behave.
    pub engine: engine::Settings,
    /// Limits of the platform.
    pub platform: PlatformSettings,
    /// Time limits of the routers.
    pub timing: Timing,
    /// Prepaid tokens of groups, where they differ from the demo document's.
    pub prepaid: BTreeMap<String, Tokens>,
    /// Engines, by their index, that start without any model.
    pub empty_engines: BTreeSet<usize>,
    /// How many engines should have the model at least.
    pub least_servers: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            port: 0,
            routers: 3,
            engines: 3,
            services: 1,
            engine: engine::Settings::default().with_models([document::MODEL]),
            platform: PlatformSettings::default(),
            timing: Timing {
                address_ttl_ms: 2_000,
                drain_spread_ms: 500,
                drain_limit_ms: 60_000,
                list_lag_ms: 1_000,
                ..Timing::default()
            },
            prepaid: BTreeMap::new(),
            empty_engines: BTreeSet::new(),
            least_servers: 1,
        }
    }
}

/// A running fleet.
pub struct Fleet {
    /// The platform's stand-in.
    pub platform: Platform,
    /// Model engines, by the order of their names `engine-1`, `engine-2` and so on.
    pub engines: Vec<Engine>,
    /// Plain services, `desk-1` and so on.
    pub services: Vec<Service>,
    /// Entry instances, `entry-1` and so on.
    pub routers: Vec<Router>,
    /// The console.
    pub console: Console,
}

impl Fleet {
    /// Starts everything; the document is accepted before the routers start.
    ///
    /// # Errors
    ///
    /// When a part cannot be started.
    pub fn start(settings: &Settings) -> Result<Self, Error> {
        let platform = Platform::start(loopback(0), settings.platform.clone())
            .map_err(|error| Error::new("platform", error))?;
        let engines = start_engines(settings)?;
        let services = start_services(settings)?;
        let places = places(&engines, &services);
        list(&platform, &places);
        let mut document = document::document(&places);
        for group in &mut document.groups {
            let own = settings.prepaid.get(&*group.name).copied();
            group.prepaid = own.unwrap_or(group.prepaid);
        }
        for model in &mut document.models {
            model.min_servers = settings.least_servers;
        }
        for server in &mut document.servers {
            server.checks_fencing = settings.engine.fencing;
        }
        accept(&platform, &document)?;
        let authority =
            Authority::new("fescuewell demo").map_err(|error| Error::new("peers", error))?;
        let mut routers = Vec::new();
        for index in 0..settings.routers {
            routers.push(start_router(settings, &platform, &authority, index)?);
        }
        let console = start_console(&platform)?;
        Ok(Self {
            platform,
            engines,
            services,
            routers,
            console,
        })
    }

    /// Callers' addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(Router::address).collect()
    }

    /// Drains the routers, all at once, then stops the rest but the platform, which shows what they have left.
    pub fn stop(mut self) -> Platform {
        for router in &self.routers {
            router.terminate();
        }
        for router in self.routers {
            router.join();
        }
        self.console.stop();
        self.platform
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

fn zone(index: usize) -> Arc<str> {
    ZONES[index % ZONES.len()].into()
}

fn start_engines(settings: &Settings) -> Result<Vec<Engine>, Error> {
    let mut engines = Vec::new();
    for index in 0..settings.engines {
        let mut own = settings
            .engine
            .clone()
            .with_name(format!("engine-{}", index + 1));
        if settings.empty_engines.contains(&index) {
            own.models.clear();
        }
        let engine =
            Engine::start(loopback(0), own).map_err(|error| Error::new("engine", error))?;
        engines.push(engine);
    }
    Ok(engines)
}

fn start_services(settings: &Settings) -> Result<Vec<Service>, Error> {
    let mut services = Vec::new();
    for index in 0..settings.services {
        let own = service::Settings::default().with_name(format!("desk-{}", index + 1));
        let service =
            Service::start(loopback(0), own).map_err(|error| Error::new("service", error))?;
        services.push(service);
    }
    Ok(services)
}

fn places(engines: &[Engine], services: &[Service]) -> Vec<Place> {
    let mut places = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        places.push(Place {
            name: format!("engine-{}", index + 1).into(),
            address: engine.address(),
            zone: zone(index),
            role: ServerRole::Engine,
        });
    }
    for (index, service) in services.iter().enumerate() {
        places.push(Place {
            name: format!("desk-{}", index + 1).into(),
            address: service.address(),
            zone: zone(index),
            role: ServerRole::Service,
        });
    }
    places
}

fn list(platform: &Platform, places: &[Place]) {
    for place in places {
        let role = match place.role {
            ServerRole::Engine => Role::Engine,
            ServerRole::Service => Role::Service,
        };
        platform.content().instances.put(Listing {
            name: place.name.clone(),
            role,
            address: place.address,
            zone: place.zone.clone(),
            state: State::Live,
        });
    }
}

fn accept(platform: &Platform, document: &Document) -> Result<(), Error> {
    let services = product::connect(&platform.client_settings())
        .map_err(|error| Error::new("platform", error))?;
    let store = Store::new(services.table, services.objects);
    let base = store
        .current()
        .map_err(|refusal| Error::new("document", refusal.message))?;
    store
        .accept(&base, document, OPERATOR)
        .map_err(|refusal| Error::new("document", refusal.message))?;
    Ok(())
}

fn start_router(
    settings: &Settings,
    platform: &Platform,
    authority: &Authority,
    index: usize,
) -> Result<Router, Error> {
    let name = format!("entry-{}", index + 1);
    let port = if index == 0 { settings.port } else { 0 };
    let peers = authority
        .settings(&name, loopback(0))
        .map_err(|error| Error::new("peers", error))?;
    let own = RouterSettings {
        instance: name.clone().into(),
        zone: zone(index),
        listen: loopback(port),
        operator_listen: loopback(0),
        operator_token: None,
        tls: None,
        peers,
        platform: platform.client_settings(),
        fleet: settings.routers as u32,
        limits: Limits::default(),
        timing: settings.timing.clone(),
    };
    let services =
        product::connect(&own.platform).map_err(|error| Error::new("platform", error))?;
    let router = Router::start(&own, services).map_err(|error| Error::new("router", error))?;
    platform.content().instances.put(Listing {
        name: name.into(),
        role: Role::Entry,
        address: router.address(),
        zone: zone(index),
        state: State::Live,
    });
    Ok(router)
}

fn start_console(platform: &Platform) -> Result<Console, Error> {
    let services = product::connect(&platform.client_settings())
        .map_err(|error| Error::new("platform", error))?;
    let hash = password::hash(PASSWORD).map_err(|error| Error::new("console", error))?;
    let operator = Operator {
        name: OPERATOR.into(),
        password_hash: hash.into(),
        token_hash: Some(fescuewell_document::key::hash_key(TOKEN)),
    };
    let settings = ConsoleSettings::new(loopback(0)).with_operator(operator);
    Console::start(settings, services.table, services.objects)
        .map_err(|error| Error::new("console", error))
}

/// How long [`Fleet::wait_ready`] waits between two looks.
const READY_POLL: Duration = Duration::from_millis(20);

impl Fleet {
    /// Waits until every router takes requests; `false` when one of them has ended instead.
    pub fn wait_ready(&self) -> bool {
        for router in &self.routers {
            while !router.is_ready() {
                if router.is_finished() {
                    return false;
                }
                std::thread::sleep(READY_POLL);
            }
        }
        true
    }
}
