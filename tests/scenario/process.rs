//! Router processes, and a helper that waits for a condition.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Interval between polls of a process's status.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of polls; 20 s unless the whole machine is suspended.
const POLLS: u32 = 2_000;
/// Time limit of [`wait_for`].
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A router process. Dropping it kills the process.
pub struct Process {
    child: Child,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
}

impl Process {
    /// Starts a router and reads its addresses from the first line of its output.
    pub fn start(settings: &Path, log: &Path) -> Self {
        let log = std::fs::File::create(log).expect("the log can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_fescuewell"))
            .args(["router", "--log", "info", "--settings"])
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("a first line");
        let address = |name: &str| {
            let word = line
                .split_whitespace()
                .find_map(|word| word.strip_prefix(name));
            word.and_then(|word| word.parse().ok())
                .unwrap_or_else(|| panic!("no {name} in {line:?}"))
        };
        Self {
            callers: address("callers="),
            operators: address("operators="),
            child,
        }
    }

    /// Id of the process.
    #[allow(dead_code, reason = "the scenarios read no figures of a process")]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the signal `name` to this process only.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "kill -s {name}"
        );
    }

    /// Waits for the process to exit and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        for _ in 0..POLLS {
            if let Some(status) = self.child.try_wait().expect("the process can be asked") {
                return status.success();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("the process did not exit");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Calls `poll` every 10 ms and returns its first value. Panics after [`WAIT_TIMEOUT`].
pub fn wait_for<Value, Poll>(what: &str, mut poll: Poll) -> Value
where
    Poll: FnMut() -> Option<Value>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(Instant::now() < deadline, "{what} did not happen");
        std::thread::sleep(Duration::from_millis(10));
    }
}
