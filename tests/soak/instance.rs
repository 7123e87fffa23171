//! One instance as a process of its own.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use fescuewell::standin::worker::wait_until;
use rustix::process::{Pid, Signal, kill_process};

use crate::proxy::Proxy;

/// A loopback address for each instance of each test process: the metrics port is the same everywhere.
fn own_address(index: usize) -> IpAddr {
    let process = std::process::id();
    let [high, low] = [(process / 250 % 250) as u8, (process % 250) as u8];
    IpAddr::from([127, high + 1, low + 1, index as u8 + 1])
}

/// Two free ports of an address. Both are held until both are known: one that is let go at once may be given out again, and a
/// process that is told to listen on it twice ends at its start.
fn free_ports(address: IpAddr) -> [SocketAddr; 2] {
    let probes = [(); 2].map(|()| TcpListener::bind((address, 0)).unwrap());
    probes.map(|probe| probe.local_addr().unwrap())
}

/// Port for messages between instances. Each has an address of its own.
const PEER_PORT: u16 = 18_500;
/// Port of the metrics.
const METRICS_PORT: u16 = 9_464;

pub struct Instance {
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    /// Between the instance and the store.
    pub proxy: Proxy,
    child: Option<Child>,
}

impl Instance {
    /// Writes the settings; nothing runs yet.
    pub fn new(index: usize, seed: u64, store: SocketAddr) -> Self {
        let proxy = Proxy::start(store);
        let [front, ready] = free_ports(own_address(index));
        let name = format!("fescuewell-soak-{}-{seed}-{index}.conf", std::process::id());
        let settings = std::env::temp_dir().join(name);
        let text = format!(
            "node=entry-{index}\nzone=z{index}\nlisten.front={front}\nlisten.ready={ready}\n\
             limits.maxFds=4100\nlimits.memoryMb=110\nbounds.graceS=3\nportRange={PEER_PORT},{PEER_PORT}\n\
             platform.address={}\n",
            proxy.address
        );
        std::fs::write(&settings, text).unwrap();
        Self {
            front,
            ready,
            settings,
            proxy,
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

    /// With `SOAK_LOGS` set, logs are kept in that folder.
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

    /// Waits until its metrics show so many quarantined requests.
    pub fn wait_quarantined(&self, count: u64) -> bool {
        let address = SocketAddr::new(self.front.ip(), METRICS_PORT);
        let line = format!("of=\"quarantined\",otel_scope_name=\"fescuewell\"}} {count}\n");
        wait_until(|| {
            let page = crate::fixture::get(address, "/metrics");
            page.is_some_and(|page| page.text().contains(&line))
        })
    }

    fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else {
            return;
        };
        // Only a process that this instance started, by its id.
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

    /// Asks it to stop, and waits for its end. One that is paused goes on first: the request would wait as long as the pause, which
    /// nobody ends meanwhile.
    pub fn stop(&mut self) {
        self.signal(Signal::TERM);
        self.resume();
        self.reap();
    }

    fn reap(&mut self) {
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
