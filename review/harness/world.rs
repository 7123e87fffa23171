//! The system under review: entry instances as processes of their own, on loopback addresses.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Connection, Json, encode};
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Key of the only tenant.
pub const KEY: &str = "key-of-salon";
/// Program of the deploy file's only role.
const PROGRAM: &str = "target/release/fescuewell";
/// Time within which the instances must become ready.
const START_TIME: Duration = Duration::from_secs(20);

/// What was sent, answered and run, as the clients, the workers and this program saw it.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("the record cannot be written");
        Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}

/// One entry instance.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub directory: SocketAddr,
    ready: SocketAddr,
    process: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Instance {
    /// Sends SIGTERM, as the platform does to stop a process.
    pub fn terminate(&self) {
        let _ = Command::new("kill")
            .args(["-TERM", &self.process.id().to_string()])
            .status();
    }

    /// Ends the process at once, as the platform does at the end of the grace period.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process has ended; ends it after `grace`, as the platform does.
    pub fn wait_ended(&mut self, grace: Duration) {
        let until = Instant::now() + grace;
        while !self.has_ended() {
            if Instant::now() >= until {
                self.kill();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Starts the process again, as the platform does: `bootstrap` is true at the first start only.
    pub fn start_again(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("the settings cannot be read");
        fs::write(
            &self.settings,
            text.replace("bootstrap=true", "bootstrap=false"),
        )
        .expect("the settings cannot be written");
        self.process = spawn(&self.settings, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/-/readyz").is_some_and(|(status, _)| status == 200)
    }
}

/// Entry instances with their store. Dropping it ends all processes.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub instances: Vec<Instance>,
    /// Network of the loopback addresses, `127.A.B.`.
    pub network: String,
    folder: PathBuf,
    bounds: Bounds,
}

/// What differs between the deployments.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Zones over which the instances are spread.
    pub zones: usize,
    pub stable_window_ms: u64,
    pub drain_ms: u64,
}

/// The bounds of the small deployments.
pub const SMALL: Bounds = Bounds {
    zones: 3,
    stable_window_ms: 3_000,
    drain_ms: 2_000,
};

fn free_port(ip: &str) -> u16 {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("no free port");
        let port = listener.local_addr().expect("no address").port();
        if port < 65_000 && UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

/// Starts the deploy file's program with a settings file.
fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("no log file");
    let errors = log.try_clone().expect("no log file");
    let mut command = Command::new(PROGRAM);
    command
        .arg("entry")
        .env_clear()
        .env("FESCUEWELL_SETTINGS", settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    command.stdin(Stdio::null()).stdout(log).stderr(errors);
    command
        .spawn()
        .expect("the program cannot be started; was it built?")
}

/// Sends a GET request. Returns the status and the body.
pub fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut connection = Connection::open(address, Duration::from_secs(1)).ok()?;
    let request = encode(&format!("GET {path} HTTP/1.1"), &[("Host", "x")], b"");
    connection.send(&request).ok()?;
    let response = connection.read_message(true).ok()?;
    Some((
        response.status(),
        String::from_utf8_lossy(&response.body).into_owned(),
    ))
}

impl World {
    /// Starts a store with a configuration, and instances.
    pub fn start(
        record: &Arc<Record>,
        configuration: &str,
        instances: usize,
        bounds: Bounds,
    ) -> Self {
        // Addresses and files of this run only.
        let id = std::process::id();
        let network = format!("127.{}.{}.", 64 + id / 256 % 128, id % 256);
        let folder = std::env::temp_dir().join(format!("fescuewell-review-{id}"));
        fs::create_dir_all(&folder).expect("no temporary folder");
        let store = Store::start();
        store.write("op", "config", Some(configuration));
        let mut world = Self {
            record: record.clone(),
            store,
            instances: Vec::new(),
            network,
            folder,
            bounds,
        };
        for _ in 0..instances {
            world.add_instance();
        }
        world
    }

    /// Starts one more instance.
    pub fn add_instance(&mut self) {
        // An address of the store of its own, which tells whose calls they are.
        let number = self.instances.len() + 1;
        let store = self.store.listen(&format!("{}1", self.network), number);
        let instance = self.start_instance(self.instances.len(), store);
        self.instances.push(instance);
    }

    fn start_instance(&self, index: usize, store: SocketAddr) -> Instance {
        let Bounds {
            zones,
            stable_window_ms,
            drain_ms,
        } = self.bounds;
        let letter = ["a", "b", "c"][index % zones];
        let name = format!("front-{letter}-{}", index / zones + 1);
        let zone = format!("zone-{letter}");
        let ip = format!("{}{}", self.network, 10 + index);
        let [front, ready, directory, peer] = [(); 4].map(|()| free_port(&ip));
        let last = peer.saturating_add(15);
        let settings = format!(
            "node={name}\nrole=entry\nmachineClass=front\nserves=front,directory\nip={ip}\nzone={zone}\nregion=r\n\
             zones.zone-a=r\nzones.zone-b=r\nzones.zone-c=r\n\
             listen.front={ip}:{front}\nlisten.ready={ip}:{ready}\nlisten.directory={ip}:{directory}\n\
             portRange={peer},{last}\nseeds=\nbootstrap=true\ncountsAsLoss=false\n\
             limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n\
             limits.diskMb=0\ndiscovery=platform\nentry=directory\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
             faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs={stable_window_ms}\nbounds.ackMs=4000\nbounds.catchUpS=4\n\
             bounds.drainMs={drain_ms}\nbounds.graceS=8\nbounds.lostMs=200\nbounds.configMs=2000\nbounds.rollbackSlackMs=250\n\
             bounds.skewMaxMs=5000\nbounds.strictRevoke=false\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\n\
             bounds.budgetWindowS=10\nbounds.retrySlack=58\nbounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=10\n\
             bounds.settle_ms=1500\nbounds.ttl_max_s=5\n\
             platform.address={store}\nplatform.form=table\nplatform.writesPerS=800\nplatform.readsPerS=2000\n\
             platform.txMs=5.0\nplatform.partWritesS=200\nplatform.rowBytes=65536\nplatform.across=false\n\
             platform.historyS=20\nplatform.blobBytes=8388608\nplatform.blobMs=25.0\nplatform.blobMbS=80.0\n"
        );
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, settings).expect("the settings cannot be written");
        let log = self.folder.join(format!("{name}.log"));
        let process = spawn(&path, &log);
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Instance {
            name,
            front: address(front),
            directory: address(directory),
            ready: address(ready),
            process,
            settings: path,
            log,
        }
    }

    /// Waits until all instances are ready and named by the directory. Returns `false` if that takes too long.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + START_TIME;
        let count = self.instances.len();
        while Instant::now() < until {
            std::thread::sleep(Duration::from_millis(100));
            let are_ready = self.instances.iter().all(Instance::is_ready);
            if are_ready && (count > self.bounds.zones || self.resolve().len() == count) {
                return true;
            }
        }
        false
    }

    /// Asks the directory for the addresses to use, as a client does.
    pub fn resolve(&self) -> Vec<SocketAddr> {
        for instance in &self.instances {
            let path = format!("/-/resolve?name={HOST}&region=r&zone=zone-a");
            let Some((200, body)) = get(instance.directory, &path) else {
                continue;
            };
            let Some(response) = Json::parse(&body) else {
                continue;
            };
            let addresses = response.list("addresses").iter();
            let addresses = addresses.filter_map(|address| match address {
                Json::Text(address) => address.parse().ok(),
                _ => None,
            });
            return addresses.collect();
        }
        Vec::new()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            // Only processes that this program has started, by their handles.
            let _ = instance.process.kill();
            let _ = instance.process.wait();
        }
        match std::env::var_os("KEEP") {
            Some(_) => println!("settings and logs are kept in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Builds a configuration of one tenant.
pub fn configuration(routes: &[String], services: &[&str], prepaid: Option<u64>) -> String {
    let prepaid = prepaid.map_or(String::new(), |prepaid| format!(",\"prepaid\":{prepaid}"));
    let (routes, services) = (routes.join(","), services.join(","));
    format!(
        "{{\"version\":3,\"routes\":[{routes}],\"services\":[{services}],\
         \"tenants\":[{{\"name\":\"salon\",\"apiKeys\":[\"{KEY}\"],\"priority\":3{prepaid}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// The entry by which a worker registers itself.
pub fn registration(
    service: &str,
    address: SocketAddr,
    slots: usize,
    zone: &str,
    seq: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
         \"state\":\"ready\",\"coldLeftMs\":0,\"seqNo\":{seq},\"born\":1700000000000}}"
    )
}
