//! One instance as a process, with a store and a backend server in the test's process.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use fescuewell::standin::rows::Rows;
use fescuewell::standin::sample;
use fescuewell::standin::worker::wait_until;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use serde_json::Value;

use crate::fixture::{HOST, Request, any_address, configuration, get, send, status};
use crate::meter::{self, Figures, Meter};
use crate::page;
use crate::way::{Crowd, Door, Way};
use crate::wire;

/// Limits in the settings of the instance.
pub const MEMORY_MB: u64 = 48;
pub const MAX_FDS: u64 = 3_000;
/// Crowds in a row.
const CROWDS: usize = 3;
/// Port of the metrics endpoint.
const METRICS_PORT: u16 = 9_464;
/// Descriptors that the test's own process needs.
const OWN_DESCRIPTORS: u64 = 12_000;
/// Tokens of the client account.
const PREPAID: u64 = 1_000_000_000;
/// Instances of a test process that have addresses of their own at the same time.
const MAX_INSTANCES: usize = 240;

/// Held by the test that plays.
static ALONE: Mutex<()> = Mutex::new(());
static INSTANCES: AtomicUsize = AtomicUsize::new(0);

/// Waits until no other test plays.
pub fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Allows this process as many descriptors as the tests need, if the system lets it.
pub fn raise_descriptors() {
    let limit = getrlimit(Resource::Nofile);
    let current = limit
        .maximum
        .map_or(OWN_DESCRIPTORS, |most| most.min(OWN_DESCRIPTORS));
    if limit.current.is_some_and(|known| known < current) {
        let raised = Rlimit {
            current: Some(current),
            maximum: limit.maximum,
        };
        setrlimit(Resource::Nofile, raised).unwrap();
    }
}

/// A loopback address unique to this instance and test process, as all instances use the same metrics port.
fn loopback_address() -> IpAddr {
    let number = INSTANCES.fetch_add(1, Ordering::Relaxed) % MAX_INSTANCES;
    let process = std::process::id();
    let [high, low] = [(process / 250 % 250) as u8, (process % 250) as u8];
    IpAddr::from([127, high + 1, low + 1, number as u8 + 1])
}

/// Returns free ports of an address. All stay bound until they are known, so that they differ.
fn free_ports<const COUNT: usize>(address: IpAddr) -> [SocketAddr; COUNT] {
    let probes = [(); COUNT].map(|()| TcpListener::bind((address, 0)).unwrap());
    probes.map(|probe| probe.local_addr().unwrap())
}

/// A running instance. Dropping it kills the process.
pub struct World {
    store: Rows,
    _server: page::Server,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
    pub peer: SocketAddr,
    settings: PathBuf,
    child: Child,
    memory_mb: u64,
    _alone: MutexGuard<'static, ()>,
}

impl World {
    /// Starts an instance with this memory limit and waits until it serves.
    pub fn start(memory_mb: u64) -> Self {
        Self::with_configuration(memory_mb, &configuration_of_large_bodies(1))
    }

    /// Does the same with this configuration.
    pub fn with_configuration(memory_mb: u64, configuration: &Value) -> Self {
        let alone = alone();
        raise_descriptors();
        let store = Rows::start(any_address()).unwrap();
        let server = page::Server::start();
        let mut entry = sample::entry(server.address, "ready");
        entry["slots"] = 100.into();
        store.put("servers", "", "i-0", entry.to_string().as_bytes());
        let [front, ready, directory, peer] = free_ports(loopback_address());
        let number = INSTANCES.load(Ordering::Relaxed);
        let name = format!("fescuewell-crowd-{}-{number}.conf", std::process::id());
        let settings = std::env::temp_dir().join(name);
        let text = format!(
            "node=entry-1\nzone=a\nlisten.front={front}\nlisten.ready={ready}\nlisten.directory={directory}\n\
             limits.maxFds={MAX_FDS}\nlimits.memoryMb={memory_mb}\nbounds.graceS=2\nportRange={0},{0}\n\
             platform.address={1}\n",
            peer.port(),
            store.address()
        );
        std::fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_fescuewell"))
            .args(["entry", "--log", "info", "--settings"])
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        let world = Self {
            store,
            _server: server,
            front,
            ready,
            directory,
            metrics: SocketAddr::new(front.ip(), METRICS_PORT),
            peer,
            settings,
            child,
            memory_mb,
            _alone: alone,
        };
        world.configure(configuration);
        world.assert_serves("the start");
        world
    }

    /// Writes a configuration to the store.
    pub fn configure(&self, configuration: &Value) {
        let value = configuration.to_string();
        self.store.put("op", "", "config", value.as_bytes());
    }

    /// Addresses of a door.
    pub fn addresses(&self, door: Door) -> Vec<SocketAddr> {
        match door {
            Door::Front | Door::NoRoute | Door::UnknownKey => vec![self.front],
            Door::Ready => vec![self.ready],
            Door::Directory => vec![self.directory],
            Door::Metrics => vec![self.metrics],
            Door::Peer => vec![self.peer],
            Door::All => self.doors(),
        }
    }

    fn doors(&self) -> Vec<SocketAddr> {
        vec![
            self.front,
            self.ready,
            self.directory,
            self.metrics,
            self.peer,
        ]
    }

    /// Starts to sample the memory of the instance.
    pub fn meter(&self) -> Meter {
        Meter::start(self.child.id(), self.doors())
    }

    /// Figures of the instance, where the system has them.
    pub fn figures(&self) -> Option<Figures> {
        meter::read(self.child.id(), &self.doors())
    }

    /// Waits until the instance has read what it reads, or two looks see the same.
    pub fn wait_read(&self) {
        let doors = self.doors();
        let mut last = None;
        for _ in 0..10 {
            let unread = meter::unread_bytes(&doors);
            if unread == last || unread == Some(0) {
                return;
            }
            last = unread;
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
    }

    /// Checks that the process lives and that memory and descriptors are within the settings.
    pub fn assert_within_limits(&mut self, meter: &Meter, when: &str) {
        let ended = self.child.try_wait().unwrap();
        assert_eq!(ended, None, "{when}: the process has ended");
        let Some(figures) = self.figures() else {
            return;
        };
        let limit_kb = self.memory_mb * 1_024;
        let peak_kb = figures.peak_kb.max(meter.peak_kb());
        eprintln!(
            "{when}: {figures:?} most with unread {} kB",
            meter.peak_kb()
        );
        assert!(
            peak_kb < limit_kb,
            "{when}: peak of {peak_kb} kB, limit {limit_kb} kB"
        );
        assert!(
            figures.descriptors <= MAX_FDS,
            "{when}: {} descriptors",
            figures.descriptors
        );
    }

    /// Checks that an ordinary client is answered at each door; it comes back as clients do.
    pub fn assert_serves(&self, when: &str) {
        let number = AtomicUsize::new(0);
        let serves = || {
            let id = format!("o-{}", number.fetch_add(1, Ordering::Relaxed));
            let request = Request::new("POST /unsafe/x", &id).with_body(b"hello");
            let response = send(self.front, &request);
            response.is_some_and(|response| response.status == 200)
        };
        assert!(wait_until(serves), "{when}: no ordinary request is served");
        let is_ready = || status(self.ready, wire::READY_PATH) == Some(200);
        assert!(wait_until(is_ready), "{when}: ready does not answer");
        let has_metrics = || status(self.metrics, "/metrics") == Some(200);
        assert!(wait_until(has_metrics), "{when}: metrics do not answer");
        let path = wire::directory_path(HOST);
        let is_listed = || get(self.directory, &path).is_some_and(|page| page.status == 200);
        assert!(
            wait_until(is_listed),
            "{when}: the directory does not answer"
        );
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The sample configuration with the largest bodies of the users' deployments.
pub fn configuration_of_large_bodies(version: u64) -> Value {
    let mut configuration = configuration(version, PREPAID);
    configuration["limits"]["maxBodyBytes"] = crate::way::BODY_BYTES.into();
    configuration
}

/// Plays three crowds in a row.
pub fn play(door: Door, way: Way) {
    let mut world = World::start(MEMORY_MB);
    let meter = world.meter();
    let addresses = world.addresses(door);
    for number in 1..=CROWDS {
        let when = format!("{door:?}, {way:?}, crowd {number}");
        let mut crowd = Crowd::connect(&addresses, door, way);
        crowd.send();
        world.wait_read();
        world.assert_within_limits(&meter, &when);
        world.assert_serves(&format!("{when}, beside it"));
        drop(crowd);
        world.assert_serves(&format!("{when}, after it"));
        world.assert_within_limits(&meter, &when);
    }
}
