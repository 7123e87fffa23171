//! The weight store: sends the bytes of a model at a rate that all downloads share.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tiny_http::{Request, Response, StatusCode};

/// Most bytes that are sent at once.
const CHUNK: usize = 64 * 1024;
/// A chunk is at most this part of what may be sent in a second, so that downloads take turns.
const CHUNKS_PER_SECOND: u64 = 20;

/// Settings of the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// What all downloads together may take; 0 for no limit.
    pub bytes_per_second: u64,
    /// Size of each model, in bytes.
    pub models: BTreeMap<Arc<str>, u64>,
}

/// The running weight store.
pub(super) struct Store {
    models: BTreeMap<Arc<str>, u64>,
    rate: AtomicU64,
    /// When the next chunk may be sent.
    next: Mutex<Instant>,
    stopped: Arc<AtomicBool>,
    pub(super) sent: AtomicU64,
}

impl Store {
    pub(super) fn new(settings: Weights, stopped: Arc<AtomicBool>) -> Self {
        Self {
            models: settings.models,
            rate: AtomicU64::new(settings.bytes_per_second),
            next: Mutex::new(Instant::now()),
            stopped,
            sent: AtomicU64::new(0),
        }
    }

    pub(super) fn has(&self, model: &str) -> bool {
        self.models.contains_key(model)
    }

    pub(super) fn set_rate(&self, bytes_per_second: u64) {
        self.rate.store(bytes_per_second, Ordering::Relaxed);
    }

    /// Sends a model on a thread of its own: downloads are long, and would otherwise take every
    /// worker away from the table service.
    pub(super) fn send(self: &Arc<Self>, model: &str, request: Request) -> io::Result<()> {
        let Some(&size) = self.models.get(model) else {
            return Ok(());
        };
        let download = Download {
            store: self.clone(),
            left: size,
        };
        let thread = std::thread::Builder::new().name("weights".into());
        thread.spawn(move || {
            let length = usize::try_from(size).ok();
            let response = Response::new(StatusCode(200), Vec::new(), download, length, None);
            // A caller that goes away in the middle only ends its own download.
            let _ = request.respond(response);
        })?;
        Ok(())
    }

    /// Takes `bytes` of the shared rate and returns how long to wait before they are sent.
    fn reserve(&self, bytes: u64) -> Duration {
        let rate = self.rate.load(Ordering::Relaxed);
        if rate == 0 {
            return Duration::ZERO;
        }
        let now = Instant::now();
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let start = (*next).max(now);
        *next = start + Duration::from_secs_f64(bytes as f64 / rate as f64);
        start - now
    }

    fn chunk(&self) -> u64 {
        match self.rate.load(Ordering::Relaxed) {
            0 => CHUNK as u64,
            rate => (rate / CHUNKS_PER_SECOND).clamp(1, CHUNK as u64),
        }
    }
}

/// One download, read by the server as it sends.
struct Download {
    store: Arc<Store>,
    left: u64,
}

impl Read for Download {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.store.stopped.load(Ordering::Acquire) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let length = self.left.min(self.store.chunk()).min(buffer.len() as u64);
        if length == 0 {
            return Ok(0);
        }
        std::thread::sleep(self.store.reserve(length));
        buffer[..length as usize].fill(0x57);
        self.left -= length;
        self.store.sent.fetch_add(length, Ordering::Relaxed);
        Ok(length as usize)
    }
}
