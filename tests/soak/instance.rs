//! An instance that runs as a child process.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use fescuewell::standin::rows::{self, Rows};
use fescuewell::standin::worker::wait_until;
use rustix::process::{Pid, Signal, kill_process};

use crate::fixture::{Fixture, any_address};
use crate::proxy::Proxy;
use crate::server_proxy::ServerProxy;

/// Instances of a test process that have addresses of their own at the same time.
const MAX_INSTANCES: usize = 240;

/// Returns a loopback address unique to this instance and test process, as all instances use the same metrics port.
fn loopback_address(number: usize) -> IpAddr {
    let process = std::process::id();
    let [high, low] = [(process / 250 % 250) as u8, (process % 250) as u8];
    IpAddr::from([127, high + 1, low + 1, (number % MAX_INSTANCES) as u8 + 1])
}

/// Returns two free ports of an address. Both probes stay bound until both ports are known: the system may assign a released
/// port again, and an instance with the same port for two listeners exits at start.
fn free_ports(address: IpAddr) -> [SocketAddr; 2] {
    let probes = [(); 2].map(|()| TcpListener::bind((address, 0)).unwrap());
    probes.map(|probe| probe.local_addr().unwrap())
}

/// Port for messages between instances. The same for all, as each instance has its own address.
const PEER_PORT: u16 = 18_500;
/// Port of the metrics endpoint.
const METRICS_PORT: u16 = 9_464;

/// Settings of a small retry budget.
const FEW_RETRIES: &str = "bounds.retryBudgetRatio=0.01\nbounds.retrySlack=3\n";

/// An instance with its settings file and its proxy to the store. Dropping it kills the process.
pub struct Instance {
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    /// Proxy between the instance and the store, which injects network faults.
    pub proxy: Proxy,
    /// Proxies between the instance and the backend servers.
    pub server_proxies: Vec<ServerProxy>,
    /// Endpoint of the store that names these proxies in the entries of the servers.
    pub store: Rows,
    child: Option<Child>,
}

impl Instance {
    /// Writes the settings file and starts the proxy, but not the process. `number` counts the instances of all worlds.
    pub fn new(
        number: usize,
        index: usize,
        seed: u64,
        platform: &Fixture,
        has_few_retries: bool,
    ) -> Self {
        let server_proxies: Vec<ServerProxy> = platform
            .workers
            .iter()
            .map(|worker| ServerProxy::open(worker.address()))
            .collect();
        let reroutes = platform.workers.iter().zip(&server_proxies);
        let reroutes = reroutes.map(|(worker, proxy)| (worker.address(), proxy.address()));
        let store = rows::Settings::new(any_address())
            .with_content(platform.store.content().clone())
            .with_reroutes(reroutes.collect());
        let store = Rows::start_with(store).unwrap();
        let proxy = Proxy::start(store.address());
        let [front, ready] = free_ports(loopback_address(number));
        let name = format!("fescuewell-soak-{}-{seed}-{index}.conf", std::process::id());
        let settings = std::env::temp_dir().join(name);
        let text = format!(
            "node=entry-{index}\nzone=z{index}\nlisten.front={front}\nlisten.ready={ready}\n\
             limits.maxFds=4100\nlimits.memoryMb=110\nbounds.graceS=3\nportRange={PEER_PORT},{PEER_PORT}\n\
             platform.address={}\n{}",
            proxy.address,
            if has_few_retries { FEW_RETRIES } else { "" }
        );
        std::fs::write(&settings, text).unwrap();
        Self {
            front,
            ready,
            settings,
            proxy,
            server_proxies,
            store,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_fescuewell"))
            .args(["entry", "--log", "info", "--settings"])
            .arg(&self.settings)
            .stdout(self.log())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Returns the log file in the folder `SOAK_LOGS`, or discards the log if the variable is unset.
    fn log(&self) -> Stdio {
        let Some(folder) = std::env::var_os("SOAK_LOGS") else {
            return Stdio::null();
        };
        let name = self.settings.file_stem().unwrap_or_default();
        let path = PathBuf::from(folder).join(name).with_extension("log");
        let file = std::fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(path);
        file.map_or_else(|_| Stdio::null(), Stdio::from)
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    pub fn wait_ready(&self) -> bool {
        wait_until(|| crate::fixture::status(self.ready, crate::wire::READY_PATH) == Some(200))
    }

    /// Waits until the metrics of the instance report `count` quarantined requests.
    pub fn wait_quarantined(&self, count: u64) -> bool {
        let address = SocketAddr::new(self.front.ip(), METRICS_PORT);
        let line = format!("of=\"quarantined\",otel_scope_name=\"fescuewell\"}} {count}\n");
        wait_until(|| {
            let page = crate::fixture::get(address, "/metrics");
            page.is_some_and(|page| page.text().contains(&line))
        })
    }

    /// Waits until the instance lists `count` backend servers.
    pub fn wait_servers(&self, count: usize) -> bool {
        let address = SocketAddr::new(self.front.ip(), METRICS_PORT);
        let line = format!("of=\"servers\",otel_scope_name=\"fescuewell\"}} {count}\n");
        wait_until(|| {
            let page = crate::fixture::get(address, "/metrics");
            page.is_some_and(|page| page.text().contains(&line))
        })
    }

    /// Address of the readiness check.
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Peak memory of the running process in kB, where the system reports it.
    pub fn peak_kb(&self) -> Option<u64> {
        let process = self.child.as_ref()?.id();
        crate::meter::read(process, &[]).map(|figures| figures.peak_kb)
    }

    fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else {
            return;
        };
        // Signals only the child process, by its id.
        if let Some(pid) = Pid::from_raw(child.id().cast_signed()) {
            let _ = kill_process(pid, signal);
        }
    }

    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.reap();
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP.
    pub fn reread(&self) {
        self.signal(Signal::HUP);
    }

    /// Sends SIGTERM and waits for the process to exit. Also resumes it: a suspended process would not handle the signal, and
    /// the wait would never end.
    pub fn stop(&mut self) {
        self.signal(Signal::TERM);
        self.resume();
        self.reap();
    }

    /// Waits for the process to exit.
    pub fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.resume();
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}
