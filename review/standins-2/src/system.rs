//! Entry instances as processes, with proxies between them and the backend servers.

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fescuewell::standin::rows::{self, Content, Rows};

/// Whether a proxy passes connections on.
pub const PASS: u8 = 0;
/// Nothing passes, in either direction; what is under way arrives once the mode ends.
pub const HOLD: u8 = 1;

/// A TCP proxy in front of one address.
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Proxy {
    pub fn start(ip: IpAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the proxy cannot listen");
        let address = listener.local_addr().expect("the proxy has no address");
        let mode = Arc::new(AtomicU8::new(PASS));
        let own_mode = mode.clone();
        thread::spawn(move || {
            for client in listener.incoming() {
                let Ok(client) = client else { continue };
                await_passage(&own_mode);
                // Without a listener the connection is reset.
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let mode = own_mode.clone();
                    thread::spawn(move || pump(from, to, &mode));
                }
            }
        });
        Self { address, mode }
    }

    pub fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }
}

fn await_passage(mode: &AtomicU8) {
    while mode.load(Ordering::SeqCst) == HOLD {
        thread::sleep(Duration::from_millis(2));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, mode: &AtomicU8) {
    let mut bytes = [0; 16 * 1024];
    loop {
        let read = from.read(&mut bytes);
        await_passage(mode);
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) if to.write_all(&bytes[..count]).is_ok() => {}
            _ => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// An entry instance. Dropping it ends the process.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// The instance's endpoint of the store.
    _store: Rows,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Entry {
    /// Writes the settings of an instance with a loopback address of its own. `reroutes` are the addresses of
    /// backend servers and those by which this instance reaches them.
    pub fn new(
        folder: &std::path::Path,
        index: u8,
        content: &Content,
        reroutes: Vec<(SocketAddr, SocketAddr)>,
        extra: &str,
    ) -> Self {
        let pid = std::process::id();
        let ip = IpAddr::from([
            127,
            (pid / 250 % 200) as u8 + 20,
            (pid % 250) as u8 + 1,
            index + 1,
        ]);
        let held = [(); 4].map(|()| TcpListener::bind((ip, 0)).expect("no free port"));
        let [front, ready, directory, control] =
            held.each_ref().map(|held| held.local_addr().unwrap());
        let store = rows::Settings::new(SocketAddr::new(ip, 0))
            .with_content(content.clone())
            .with_reroutes(reroutes);
        let store = Rows::start_with(store).expect("the store cannot listen");
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(index) % 3];
        let name = format!("front-{zone}-{index}");
        let text = format!(
            "node={name}\nrole=entry\nmachineClass=front\nserves=front,directory\nip={ip}\nzone={zone}\nregion=region\n\
             zones.zone-a=region\nzones.zone-b=region\nzones.zone-c=region\n\
             listen.front={front}\nlisten.ready={ready}\nlisten.control={control}\nlisten.directory={directory}\n\
             portRange=18500,18515\nseeds={control}\nbootstrap=true\ncountsAsLoss=false\n\
             limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=110\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n\
             limits.diskMb=0\ndiscovery=platform\nentry=directory\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
             bounds.stableWindowMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lostMs=200\nbounds.configMs=2000\n\
             bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retrySlack=52\nbounds.ttl_max_s=5\n\
             platform.address={}\nplatform.form=table\nplatform.writesPerS=600\nplatform.readsPerS=2000\n\
             platform.txMs=5.0\nplatform.partWritesS=200\nplatform.rowBytes=65536\nplatform.across=false\n\
             platform.historyS=20\n{extra}",
            store.address()
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings cannot be written");
        let log = folder.join(format!("{name}.log"));
        Self {
            name,
            front,
            ready,
            _store: store,
            settings,
            log,
            child: None,
        }
    }

    /// Says in the settings that the system does not start for the first time.
    pub fn set_later_start(&self) {
        let text = fs::read_to_string(&self.settings).expect("no settings");
        let text = text.replace("bootstrap=true", "bootstrap=false");
        fs::write(&self.settings, text).expect("the settings cannot be written");
    }

    /// Starts the process by the command of the deploy file.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let command = deploy_command();
        let mut command_words = command.split(' ');
        let mut process = Command::new(command_words.next().unwrap());
        process.args(command_words);
        let child = process
            .env("FESCUEWELL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the instance cannot be started");
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, name: &str) {
        let script = format!("kill -{name} {}", self.pid());
        let _ = Command::new("sh").args(["-c", &script]).status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        crate::client::get_status(self.ready, "/-/readyz") == Some(200)
    }

    pub fn wait_ready(&self) -> bool {
        wait(Duration::from_secs(20), || self.is_ready())
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The command of the role in `deploy/system.toml`.
fn deploy_command() -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("run from the repository");
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("run = "));
    line.expect("no command in the deploy file")
        .trim_matches('"')
        .to_owned()
}

pub fn wait(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    condition()
}

/// A temporary folder that is removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("no temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// The record of a case.
pub struct Record {
    file: Mutex<fs::File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = Mutex::new(fs::File::create(path).expect("the record cannot be written"));
        Self {
            file,
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
