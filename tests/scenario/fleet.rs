//! The system under test: stand-ins in this process and routers as child processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use fescuewell::adapter::product;
use fescuewell::console::store::Store;
use fescuewell::core::platform::{Listing, Role, State};
use fescuewell::core::table::Table;
use fescuewell::demo::document::{self, Place};
use fescuewell::document::model::{Document, ServerRole};
use fescuewell::peer::credentials::Authority;
use fescuewell::peer::testing;
use fescuewell::platform::Services;
use fescuewell::router::settings::{Limits, Settings, Timing};
use fescuewell::standin::engine::{self, Engine};
use fescuewell::standin::platform::{Platform, Settings as PlatformSettings};
use fescuewell::standin::service::{self, Service};

use super::process::{Process, wait_for};
use super::proxy::Proxy;

/// Availability zones, assigned to routers and backend servers in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The stand-ins, the routers and the proxies between them.
pub struct Fleet {
    /// Stand-in of the platform.
    pub platform: Platform,
    /// Engines `e1`, `e2` and so on.
    pub engines: BTreeMap<String, Engine>,
    /// Plain services `s1` and so on.
    pub services: BTreeMap<String, Service>,
    /// Running routers: `r1` and so on.
    pub routers: BTreeMap<String, Process>,
    /// Proxies: one in front of each backend server, and one between each router and the platform.
    pub proxies: BTreeMap<String, Proxy>,
    authority: Authority,
    directory: PathBuf,
    starts: u32,
    routers_wanted: u32,
}

impl Fleet {
    /// Starts the stand-ins and writes the first document.
    pub fn start(name: &str, engines: usize, services: usize, teinte_prepaid: Option<u64>) -> Self {
        let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&directory).expect("a folder for logs");
        let platform =
            Platform::start(loopback(), PlatformSettings::default()).expect("the platform starts");
        let mut fleet = Self {
            platform,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            routers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            authority: testing::authority(),
            directory,
            starts: 0,
            routers_wanted: 3,
        };
        for index in 1..=engines {
            fleet.start_engine(&format!("e{index}"));
        }
        for index in 1..=services {
            let name = format!("s{index}");
            let settings = service::Settings::default().with_name(name.clone());
            let service = Service::start(loopback(), settings).expect("a service starts");
            fleet
                .proxies
                .insert(name.clone(), Proxy::start(service.address()));
            fleet.services.insert(name, service);
        }
        let mut document = document::document(&fleet.places());
        if let Some(prepaid) = teinte_prepaid {
            document.groups[1].prepaid = fescuewell::core::tokens::Tokens(prepaid);
        }
        fleet
            .accept(&document)
            .expect("the first document is valid");
        fleet
    }

    fn start_engine(&mut self, name: &str) {
        let settings = engine::Settings {
            base_step: std::time::Duration::from_millis(5),
            least_answer: 20,
            most_answer: 200,
            ..engine::Settings::quick()
                .with_models([document::MODEL])
                .with_name(name)
        };
        let engine = Engine::start(loopback(), settings).expect("an engine starts");
        self.proxies
            .insert(name.into(), Proxy::start(engine.address()));
        self.engines.insert(name.into(), engine);
    }

    /// Returns the backend servers with the addresses of their proxies, as the document lists them.
    pub fn places(&self) -> Vec<Place> {
        let engines = self.engines.keys().map(|name| (name, ServerRole::Engine));
        let services = self.services.keys().map(|name| (name, ServerRole::Service));
        let places = engines
            .chain(services)
            .enumerate()
            .map(|(index, (name, role))| Place {
                name: name.as_str().into(),
                address: self.proxies[name].address,
                zone: ZONES[index % ZONES.len()].into(),
                role,
            });
        places.collect()
    }

    /// Connects to the table of the platform.
    pub fn table(&self) -> Arc<dyn Table> {
        self.services().table
    }

    /// Opens the document store as the console does.
    pub fn store(&self) -> Store {
        let services = self.services();
        Store::new(services.table, services.objects)
    }

    fn services(&self) -> Services {
        product::connect(&self.platform.client_settings()).expect("settings are right")
    }

    fn accept(&self, document: &Document) -> Result<(), String> {
        let store = self.store();
        let base = store
            .current()
            .map_err(|refusal| refusal.message.to_string())?;
        let accepted = store.accept(&base, document, "operator");
        accepted
            .map(drop)
            .map_err(|refusal| refusal.message.to_string())
    }

    /// Starts routers `r1` to `rN` concurrently and waits until all are ready.
    pub fn start_routers(&mut self, count: u32) {
        self.routers_wanted = count;
        for index in 1..=count {
            self.start_router(&format!("r{index}"));
        }
        for index in 1..=count {
            self.wait_ready(&format!("r{index}"));
        }
    }

    /// Starts one router. No router of the same name may be running.
    pub fn start_router(&mut self, name: &str) {
        let platform = self.platform.address();
        let proxy = self
            .proxies
            .entry(name.into())
            .or_insert_with(|| Proxy::start(platform));
        let index: usize = name[1..].parse().expect("routers are called r1 and so on");
        let settings = Settings {
            instance: name.into(),
            zone: ZONES[(index - 1) % ZONES.len()].into(),
            listen: loopback(),
            operator_listen: loopback(),
            operator_token: None,
            tls: None,
            peers: self
                .authority
                .settings(name, loopback())
                .expect("a certificate"),
            platform: settings_through(&self.platform, proxy.address),
            fleet: self.routers_wanted,
            limits: Limits::default(),
            timing: Timing {
                progress_ms: 1_000,
                first_byte_ms: 2_000,
                address_ttl_ms: 300,
                drain_spread_ms: 200,
                drain_limit_ms: 60_000,
                list_lag_ms: 300,
                lease_ms: 2_000,
                ..Timing::default()
            },
        };
        self.starts += 1;
        let file = self.directory.join(format!("{name}.json"));
        let text = serde_json::to_string_pretty(&settings).expect("settings are data");
        std::fs::write(&file, text).expect("the settings can be written");
        let log = self.directory.join(format!("{name}-{}.log", self.starts));
        let process = Process::start(&file, &log);
        self.set_router_state(name, process.callers, State::Live);
        self.routers.insert(name.into(), process);
    }

    /// Waits until a router reports that it is ready, which requires that every slot has a holder.
    pub fn wait_ready(&self, name: &str) {
        let address = self.routers[name].callers;
        wait_for("readiness", || {
            let response = attohttpc::get(format!("http://{address}/readyz")).send();
            response
                .is_ok_and(|response| response.is_success())
                .then_some(())
        });
    }

    /// Waits until running routers hold all slots.
    pub fn wait_slots(&self) {
        self.wait_slots_except(None);
    }

    /// Waits until running routers hold all slots, without querying the router `except`.
    pub fn wait_slots_except(&self, except: Option<&str>) {
        wait_for("a holder of every slot", || {
            let held: u64 = self
                .routers
                .iter()
                .filter(|(name, _)| Some(name.as_str()) != except)
                .map(|(_, router)| state_of(router)["slots"].as_u64().unwrap_or_default())
                .sum();
            (held == 64).then_some(())
        });
    }

    /// Sets the state of a router in the instance list of the platform.
    pub fn set_router_state(&self, name: &str, address: SocketAddr, state: State) {
        self.platform.content().instances.put(Listing {
            name: name.into(),
            role: Role::Entry,
            address,
            zone: ZONES[0].into(),
            state,
        });
    }

    /// Sets the state of a backend server in the instance list of the platform.
    pub fn set_server_state(&self, name: &str, state: State) {
        let role = if self.engines.contains_key(name) {
            Role::Engine
        } else {
            Role::Service
        };
        self.platform.content().instances.put(Listing {
            name: name.into(),
            role,
            address: self.proxies[name].address,
            zone: ZONES[0].into(),
            state,
        });
    }
}

/// Reads the state that a router reports to operators, or null if the request fails.
pub fn state_of(router: &Process) -> serde_json::Value {
    let response = attohttpc::get(format!("http://{}/v1/state", router.operators)).send();
    response
        .and_then(|response| response.json())
        .unwrap_or_default()
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

// Returns client settings of the platform with its address replaced by that of the proxy.
fn settings_through(
    platform: &Platform,
    proxy: SocketAddr,
) -> fescuewell::platform::settings::Settings {
    let settings = platform.client_settings();
    let text = serde_json::to_string(&settings).expect("settings are data");
    let text = text.replace(&platform.address().to_string(), &proxy.to_string());
    serde_json::from_str(&text).expect("the same settings")
}
