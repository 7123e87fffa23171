//! What the engine knows of one response: its request, progress, readers and usage.

use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

use fescuewell_core::chart::{self, Chart};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::prompt::{Completion, Metadata};
use super::text::Seed;

slotmap::new_key_type! {
    /// A response's place in the engine's arena.
    pub struct RecordKey;
}

/// The life of a response; `response.json` beside this file is its chart.
static CHART: LazyLock<Chart> = LazyLock::new(|| {
    Chart::parse(include_str!("response.json")).expect("the chart beside this file is valid")
});

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// By itself.
    Stop,
    /// At its output limit.
    Length,
    /// By a cancel.
    Cancelled,
}

impl Finish {
    /// The name used in answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Tokens of one response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prompt that came from the prefix cache.
    pub cached: u32,
    /// Tokens produced.
    pub completion: u32,
}

impl Usage {
    /// In the form that model clients know.
    pub fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt + self.completion,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        })
    }
}

/// One response.
pub struct Record {
    /// The name under which the caller knows it.
    pub id: Arc<str>,
    /// What was asked.
    pub completion: Completion,
    /// What the router noted.
    pub metadata: Metadata,
    /// Seconds since 1970 when it was created.
    pub created: u64,
    /// What its text follows from.
    pub seed: Seed,
    /// Length at which the answer ends, and why.
    pub end: (u32, Finish),
    /// Order of arrival.
    pub arrival: u64,
    /// Tokens so far.
    pub usage: Usage,
    /// Prompt tokens (and, after a preemption, produced ones) that still have to be computed before the next token.
    pub prefill_left: u32,
    /// Hashes of the prompt's blocks.
    pub chain: Vec<u64>,
    /// Connections that read it.
    pub readers: u32,
    /// Since when nobody reads it, or it is over.
    pub unread_since: Instant,
    /// Why it ended.
    pub finish: Option<Finish>,
    state: chart::State,
    progress: watch::Sender<u32>,
}

impl Record {
    /// A queued response.
    pub fn new(
        id: Arc<str>,
        completion: Completion,
        metadata: Metadata,
        end: (u32, Finish),
        now: Instant,
    ) -> Self {
        Self {
            seed: Seed::new(&completion.prompt, &id),
            id,
            completion,
            metadata,
            created: unix_seconds(),
            end,
            arrival: 0,
            usage: Usage::default(),
            prefill_left: 0,
            chain: Vec::new(),
            readers: 0,
            unread_since: now,
            finish: None,
            state: CHART.initial(),
            progress: watch::channel(0).0,
        }
    }

    /// The name of its state.
    pub fn state(&self) -> &'static str {
        CHART.name(self.state)
    }

    /// Takes a step of the chart; `false` when there is none for the signal.
    pub fn signal(&mut self, signal: &str) -> bool {
        CHART.step(&mut self.state, signal).is_ok()
    }

    /// Whether it is over.
    pub fn is_over(&self) -> bool {
        self.finish.is_some()
    }

    /// Ends the response.
    pub fn conclude(&mut self, finish: Finish, now: Instant) {
        let signal = match finish {
            Finish::Cancelled => "cancel",
            Finish::Stop | Finish::Length => "finish",
        };
        if self.signal(signal) {
            self.finish = Some(finish);
            self.unread_since = now;
            self.announce();
        }
    }

    /// Wakes the readers.
    pub fn announce(&self) {
        self.progress.send_modify(|version| *version += 1);
    }

    /// Tells whenever there is something new to read.
    pub fn subscribe(&self) -> watch::Receiver<u32> {
        self.progress.subscribe()
    }

    /// Blocks of KV memory that it needs at its longest.
    pub fn blocks(&self) -> usize {
        let tokens = self.usage.prompt + self.end.0;
        tokens.div_ceil(super::batch::BLOCK_TOKENS) as usize
    }

    /// Whether nobody has read it for longer than `patience`.
    pub fn is_abandoned(&self, patience: Duration, now: Instant) -> bool {
        self.readers == 0 && now.saturating_duration_since(self.unread_since) > patience
    }

    /// The record as the engine answers it.
    pub fn to_json(&self) -> Value {
        json!({
            "id": &*self.id,
            "object": "response",
            "status": self.state(),
            "done": self.is_over(),
            "finish_reason": self.finish.map(Finish::name),
            "model": &*self.completion.model,
            "usage": self.usage.to_json(),
            "metadata": {
                "account": self.metadata.account,
                "request": self.metadata.request,
                "group": self.metadata.group,
                "hold": self.metadata.hold,
            },
        })
    }
}

fn unix_seconds() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}
