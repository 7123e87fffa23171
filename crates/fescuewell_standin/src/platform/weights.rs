//! The weight store: sends the bytes of a model at a rate that all downloads share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_http::listener::Reply;
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};

/// Most bytes that are sent at once.
const CHUNK: usize = 64 * 1024;
/// A chunk is at most this part of what may be sent in a second, so that downloads take turns.
const CHUNKS_PER_SECOND: u64 = 20;
/// What models are made of.
const BYTE: u8 = 0x57;

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
    pub(super) sent: AtomicU64,
}

impl Store {
    pub(super) fn new(settings: Weights) -> Self {
        Self {
            models: settings.models,
            rate: AtomicU64::new(settings.bytes_per_second),
            next: Mutex::new(Instant::now()),
            sent: AtomicU64::new(0),
        }
    }

    pub(super) fn set_rate(&self, bytes_per_second: u64) {
        self.rate.store(bytes_per_second, Ordering::Relaxed);
    }

    /// A download of a model, or nothing if there is no such model.
    pub(super) fn download(self: &Arc<Self>, model: &str) -> Option<Download> {
        let left = *self.models.get(model)?;
        Some(Download {
            store: self.clone(),
            left,
        })
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

/// One download.
pub(super) struct Download {
    store: Arc<Store>,
    left: u64,
}

impl Download {
    /// Sends the model. A caller that goes away in the middle only ends its own download.
    pub(super) async fn send(mut self, reply: Reply) {
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        while self.left > 0 {
            let length = self.left.min(self.store.chunk());
            tokio::time::sleep(self.store.reserve(length)).await;
            let chunk = Bytes::from(vec![BYTE; length as usize]);
            if sink.send(chunk).await.is_err() {
                return;
            }
            self.left -= length;
            self.store.sent.fetch_add(length, Ordering::Relaxed);
        }
        sink.finish();
    }
}
