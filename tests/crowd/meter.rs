//! Memory and descriptors of another process, as the system reports them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval at which a [`Meter`] samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Connections in these states of `/proc/net/tcp` hold received bytes: established, and closed by the client.
const HOLDING_STATES: [&str; 2] = ["01", "08"];

/// Figures of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Figures {
    /// Peak resident memory in kB.
    pub peak_kb: u64,
    /// Resident memory in kB.
    pub resident_kb: u64,
    /// Bytes received and not read, in kB.
    pub unread_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// Reads the figures of a process that listens on these addresses; `None` where the system has none.
pub fn read(process: u32, doors: &[SocketAddr]) -> Option<Figures> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse().ok()
    };
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?;
    Some(Figures {
        peak_kb: field("VmHWM:")?,
        resident_kb: field("VmRSS:")?,
        unread_kb: unread_bytes(doors)? / 1_024,
        descriptors: descriptors.count() as u64,
    })
}

/// Bytes that were received on connections to these addresses and not read.
pub fn unread_bytes(doors: &[SocketAddr]) -> Option<u64> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let local: BTreeSet<String> = doors.iter().filter_map(encode).collect();
    let mut sum = 0;
    for line in table.lines().skip(1) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [_, address, _, state, queues, ..] = words.as_slice() else {
            continue;
        };
        if !local.contains(*address) || !HOLDING_STATES.contains(state) {
            continue;
        }
        let received = queues.split_once(':').map_or("0", |(_, received)| received);
        sum += u64::from_str_radix(received, 16).unwrap_or(0);
    }
    Some(sum)
}

/// Returns an address as `/proc/net/tcp` writes it; IPv4 only.
fn encode(address: &SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

/// Samples a process until it is dropped and keeps the highest sum of resident and unread bytes.
pub struct Meter {
    peak_kb: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Meter {
    /// Starts to sample.
    pub fn start(process: u32, doors: Vec<SocketAddr>) -> Self {
        let (peak_kb, ended) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(AtomicBool::new(false)),
        );
        let (peak, end) = (peak_kb.clone(), ended.clone());
        let thread = std::thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                if let Some(figures) = read(process, &doors) {
                    let held_kb = figures.resident_kb + figures.unread_kb;
                    peak.fetch_max(held_kb, Ordering::Relaxed);
                }
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            peak_kb,
            ended,
            thread: Some(thread),
        }
    }

    /// Highest sum so far, in kB.
    pub fn peak_kb(&self) -> u64 {
        self.peak_kb.load(Ordering::Relaxed)
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic has been reported by the thread.
            let _ = thread.join();
        }
    }
}
