//! The forwarding path in one process: a store of rows, backend servers and two entry instances.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_adapter::dialect::Platform;
use fescuewell_adapter::rows::Client;
use fescuewell_adapter::source::Reader;
use fescuewell_gateway::daemon::{self, Daemon};
use fescuewell_gateway::settings::Settings;
use fescuewell_http::listener;
use fescuewell_standin::rows::Rows;
use fescuewell_standin::sample;
use fescuewell_standin::worker::{Worker, wait_until};
use snafu::{ResultExt, Snafu};

/// Entry instances.
const INSTANCES: usize = 2;
/// Backend servers.
const WORKERS: usize = 3;
/// Prepaid tokens of the sample's account.
const PREPAID: u64 = 100_000;
/// Time in which an instance of the demo ends: its callers are people.
const GRACE: Duration = Duration::from_secs(2);

/// Why it could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A stand-in could not listen.
    #[snafu(display("{source}"))]
    Standin {
        /// Why.
        source: listener::Error,
    },
    /// An instance could not start.
    #[snafu(display("{source}"))]
    Instance {
        /// Why.
        source: daemon::Error,
    },
    /// There is no free port.
    #[snafu(display("no free port: {source}"))]
    Port {
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// The running path.
pub struct Forward {
    _store: Rows,
    _workers: Vec<Worker>,
    daemons: Vec<Daemon>,
    directory: SocketAddr,
}

impl Forward {
    /// Starts all of it.
    ///
    /// # Errors
    ///
    /// When a listener cannot be started.
    pub fn start() -> Result<Self, Error> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = Rows::start(any).context(StandinSnafu)?;
        let configuration = sample::configuration(1, PREPAID).to_string();
        store.put("op", "", "config", configuration.as_bytes());
        let mut workers = Vec::new();
        for index in 0..WORKERS {
            let name = format!("i-{index}");
            let worker = Worker::start(any, &name).context(StandinSnafu)?;
            let entry = sample::entry(worker.address(), "ready").to_string();
            store.put("servers", "", &name, entry.as_bytes());
            workers.push(worker);
        }
        let directory = free()?;
        let mut daemons = Vec::new();
        for index in 0..INSTANCES {
            let mut settings = Settings::new(format!("entry-{index}"), free()?);
            settings.zone = format!("zone-{index}").into();
            settings.grace_period = GRACE;
            settings.directory = (index == 0).then_some(directory);
            let rows = Arc::new(Client::new(store.address()));
            let source = Arc::new(Reader::new(rows.clone()));
            let daemon = Daemon::start(settings, Arc::new(Platform::default()), rows, source);
            daemons.push(daemon.context(InstanceSnafu)?);
        }
        Ok(Self {
            _store: store,
            _workers: workers,
            daemons,
            directory,
        })
    }

    /// Waits until all instances take requests.
    pub fn wait_ready(&self) -> bool {
        let all = || {
            self.daemons
                .iter()
                .all(|daemon| daemon.gateway().is_ready())
        };
        wait_until(all)
    }

    /// Lines to paste.
    pub fn guide(&self) -> String {
        let first = self.daemons.first();
        first.map_or_else(String::new, |daemon| {
            sample::guide(daemon.address(), self.directory)
        })
    }

    /// Ends the instances in order.
    pub fn stop(&self) {
        std::thread::scope(|scope| {
            for daemon in &self.daemons {
                scope.spawn(|| daemon.stop());
            }
        });
    }
}

/// A port that is free now: instances tell each other their addresses before they listen.
fn free() -> Result<SocketAddr, Error> {
    let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).context(PortSnafu)?;
    probe.local_addr().context(PortSnafu)
}
