//! How a stand-in engine behaves, at its start and by later controls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Behaviour of an engine from its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the engine, used in the names of its threads.
    pub name: Arc<str>,
    /// Models loaded at the start.
    pub models: Vec<Arc<str>>,
    /// Most models loaded at once.
    pub model_room: usize,
    /// Time of a step without any stream.
    pub base_step: Duration,
    /// Time that each decoding stream adds to a step.
    pub step_per_stream: Duration,
    /// Time that each uncached prompt token adds to a step.
    pub prefill_per_token: Duration,
    /// Most prompt tokens taken in one step.
    pub prefill_chunk: u32,
    /// Most streams in the batch.
    pub max_batch: usize,
    /// Most streams that wait for the batch.
    pub max_waiting: usize,
    /// Memory for KV blocks of 16 tokens, shared by running streams and the prefix cache.
    pub kv_blocks: usize,
    /// Bytes of prompt text that make a token.
    pub bytes_per_token: usize,
    /// Fewest tokens of an answer that ends by itself.
    pub least_answer: u32,
    /// Most tokens of an answer that ends by itself.
    pub most_answer: u32,
    /// Output limit of requests that give none.
    pub default_max_tokens: u32,
    /// How long a stream that nobody reads goes on.
    pub detached: Duration,
    /// How long the record of an ended or paused response is kept.
    pub retention: Duration,
    /// Age of the load reports that `/metrics` shows.
    pub report_lag: Duration,
    /// Time between two load reports.
    pub report_period: Duration,
    /// Age at which cache events are shown.
    pub cache_event_lag: Duration,
    /// Share of cache events that are lost, 0 to 1.
    pub cache_event_loss: f64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Where weights are fetched from on a load.
    pub weight_store: Option<SocketAddr>,
    /// Token that the weight store asks for.
    pub weight_store_token: Option<Arc<str>>,
    /// Time of a load without a weight store.
    pub load_time: Duration,
    /// Seed of everything random.
    pub seed: u64,
    /// Threads that serve connections.
    pub threads: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            models: vec!["auslan-7b".into()],
            model_room: 4,
            base_step: Duration::from_millis(20),
            step_per_stream: Duration::from_micros(200),
            prefill_per_token: Duration::from_micros(50),
            prefill_chunk: 2_048,
            max_batch: 64,
            max_waiting: 512,
            kv_blocks: 8_192,
            bytes_per_token: 4,
            least_answer: 20,
            most_answer: 120,
            default_max_tokens: 256,
            detached: Duration::from_secs(10),
            retention: Duration::from_secs(600),
            report_lag: Duration::from_secs(1),
            report_period: Duration::from_millis(250),
            cache_event_lag: Duration::from_millis(500),
            cache_event_loss: 0.0,
            fencing: true,
            weight_store: None,
            weight_store_token: None,
            load_time: Duration::from_millis(500),
            seed: 1,
            threads: 1,
        }
    }
}

impl Settings {
    /// An engine fast enough for tests: steps of about a millisecond.
    pub fn quick() -> Self {
        Self {
            base_step: Duration::from_millis(1),
            step_per_stream: Duration::from_micros(5),
            prefill_per_token: Duration::from_micros(1),
            report_lag: Duration::ZERO,
            report_period: Duration::from_millis(5),
            cache_event_lag: Duration::ZERO,
            load_time: Duration::from_millis(1),
            ..Self::default()
        }
    }

    /// Sets the models loaded at the start.
    pub fn with_models<Names>(mut self, models: Names) -> Self
    where
        Names: IntoIterator,
        Names::Item: Into<Arc<str>>,
    {
        self.models = models.into_iter().map(Into::into).collect();
        self
    }

    /// Sets the name.
    pub fn with_name(mut self, name: impl Into<Arc<str>>) -> Self {
        self.name = name.into();
        self
    }
}

/// A change of behaviour at run time, `POST /control`. Fields left out stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// No stream gets on; health answers as ever.
    pub freeze: Option<bool>,
    /// Steps take so many times as long.
    pub slow_factor: Option<f64>,
    /// New work is refused with 503, not run.
    pub refuse: Option<bool>,
    /// Every answer carries `X-Leaving: true`.
    pub leaving: Option<bool>,
    /// Cuts off the stream connections that are open now.
    pub drop_connections: bool,
    /// The stream connections that are open now deliver nothing more and stay open; new ones work.
    pub silence_connections: bool,
    /// Nothing is sent on any connection, and requests wait; work goes on. All of it arrives afterwards.
    pub silent: Option<bool>,
    /// A silence that begins while a stream has events to send begins inside an event.
    pub silent_inside_event: Option<bool>,
    /// The first connection of each later stream is cut off after so many tokens; 0 for never.
    pub drop_after_tokens: Option<u32>,
    /// New work runs, but its connection is cut off before the head of the answer.
    pub lose_replies: Option<bool>,
    /// Age of the load reports, in milliseconds.
    pub report_lag_ms: Option<u64>,
    /// Age of the cache events, in milliseconds.
    pub cache_event_lag_ms: Option<u64>,
    /// Share of cache events that are lost, 0 to 1.
    pub cache_event_loss: Option<f64>,
    /// Empties the prefix cache, as a restart would.
    pub clear_cache: bool,
}
