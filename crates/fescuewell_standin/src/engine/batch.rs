//! Continuous batching: which responses run, what a step costs, and what it yields.
//!
//! Plain state without threads or clocks; [`super::step`] drives it. A step takes
//! `base + per_stream x decoding + prefill x prompt tokens`, times the slow factor, and yields one token for each
//! response whose prompt has been computed.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::cache::{Cache, block_hashes};
use super::counters::Counters;
use super::problem::Problem;
use super::prompt::{Completion, Metadata};
use super::record::{Finish, Record, RecordKey};
use super::settings::Settings;
use super::text::Seed;

/// Tokens in a block of KV memory.
pub const BLOCK_TOKENS: u32 = 16;

/// A place in the queue: priority (lower first), then arrival.
type Rank = (i64, u64, RecordKey);

/// What the next step will compute.
#[derive(Debug, Default)]
pub struct Plan {
    /// Responses that yield a token at its end.
    yielding: Vec<RecordKey>,
    /// How long it takes.
    pub duration: Duration,
}

/// All responses, the queue and the batch.
pub struct Batch {
    records: SlotMap<RecordKey, Record>,
    index: HashMap<Arc<str>, RecordKey>,
    waiting: BTreeSet<Rank>,
    running: Vec<RecordKey>,
    used_blocks: usize,
    arrivals: u64,
    /// The prefix cache.
    pub cache: Cache,
    /// What ran.
    pub counters: Counters,
    /// How many times as long a step takes.
    pub slow_factor: f64,
}

impl Batch {
    /// An idle engine.
    pub fn new(settings: &Settings) -> Self {
        Self {
            records: SlotMap::with_key(),
            index: HashMap::new(),
            waiting: BTreeSet::new(),
            running: Vec::new(),
            used_blocks: 0,
            arrivals: 0,
            cache: Cache::new(settings.cache_event_loss, settings.seed),
            counters: Counters::default(),
            slow_factor: 1.0,
        }
    }

    /// How many responses are in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// How many wait for the batch.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Blocks of KV memory that running responses hold.
    pub fn used_blocks(&self) -> usize {
        self.used_blocks
    }

    /// All records, in no order.
    pub fn records(&self) -> slotmap::basic::Values<'_, RecordKey, Record> {
        self.records.values()
    }

    /// The place of a response.
    ///
    /// # Errors
    ///
    /// [`Problem::NoSuchResponse`].
    pub fn find(&self, id: &str) -> Result<RecordKey, Problem> {
        let key = self.index.get(id).copied();
        key.ok_or_else(|| Problem::NoSuchResponse { id: id.into() })
    }

    /// The record in a place, unless it has been forgotten.
    pub fn get(&self, key: RecordKey) -> Option<&Record> {
        self.records.get(key)
    }

    /// Takes in a request.
    ///
    /// # Errors
    ///
    /// When the id was used before, the queue is full, or the request never fits the memory.
    pub fn submit(
        &mut self,
        id: Arc<str>,
        completion: Completion,
        metadata: Metadata,
        settings: &Settings,
        now: Instant,
    ) -> Result<RecordKey, Problem> {
        // By the counters, which outlive the record: an id never runs twice, however late it comes again.
        if self.counters.runs.contains_key(&id) {
            self.counters.duplicates += 1;
            return Err(Problem::Duplicate { id });
        }
        if self.waiting.len() >= settings.max_waiting {
            return Err(Problem::QueueFull);
        }
        let end = end_of(&completion, &id, settings);
        let mut record = Record::new(id.clone(), completion, metadata, end, now);
        let prompt = &record.completion.prompt;
        record.usage.prompt = tokens_of(prompt, settings);
        if record.blocks() > settings.kv_blocks {
            return Err(Problem::invalid("prompt and output never fit the memory"));
        }
        record.chain = block_hashes(
            &record.completion.model,
            &record.completion.cache_salt,
            prompt,
        );
        self.arrivals += 1;
        record.arrival = self.arrivals;
        self.counters.started(&id);
        let rank = (record.completion.priority, record.arrival);
        let key = self.records.insert(record);
        self.index.insert(id, key);
        self.waiting.insert((rank.0, rank.1, key));
        Ok(key)
    }

    /// Adds a reader; a paused response goes back to the queue.
    pub fn attach(&mut self, key: RecordKey) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        record.readers += 1;
        if record.signal("resume") {
            let rank = (record.completion.priority, record.arrival, key);
            self.waiting.insert(rank);
            self.counters.resumed += 1;
        }
    }

    /// Takes a reader away.
    pub fn detach(&mut self, key: RecordKey, now: Instant) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        record.readers -= 1;
        if record.readers == 0 && !record.is_over() {
            record.unread_since = now;
        }
    }

    /// Ends a response; one that is over stays as it is.
    pub fn cancel(&mut self, key: RecordKey, now: Instant) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if record.is_over() {
            return;
        }
        record.conclude(Finish::Cancelled, now);
        self.counters.cancelled += 1;
        self.remove(key);
    }

    /// Takes a response out of the queue and the batch.
    fn remove(&mut self, key: RecordKey) {
        let record = &self.records[key];
        let rank = (record.completion.priority, record.arrival, key);
        if self.waiting.remove(&rank) {
            return;
        }
        let place = self.running.iter().position(|running| *running == key);
        if let Some(place) = place {
            self.used_blocks -= record.blocks();
            self.running.remove(place);
        }
    }

    /// Pauses what nobody reads and forgets what is past its retention.
    pub fn tidy(&mut self, settings: &Settings, now: Instant) {
        let mut paused = Vec::new();
        let mut forgotten = Vec::new();
        for (key, record) in &self.records {
            let state = record.state();
            let active = matches!(state, "queued" | "running");
            if active && record.is_abandoned(settings.detached, now) {
                paused.push(key);
            }
            if !active && record.is_abandoned(settings.retention, now) {
                forgotten.push(key);
            }
        }
        for key in paused {
            self.remove(key);
            self.records[key].signal("pause");
            self.records[key].unread_since = now;
            self.counters.paused += 1;
        }
        for key in forgotten {
            self.cancel(key, now);
            if let Some(record) = self.records.remove(key) {
                self.index.remove(&record.id);
            }
        }
    }

    /// Admits from the queue and plans the next step; `None` when there is nothing to do.
    pub fn plan(&mut self, settings: &Settings, now: Instant) -> Option<Plan> {
        self.admit(settings, now);
        if self.running.is_empty() {
            return None;
        }
        let mut budget = settings.prefill_chunk;
        let mut decoding = 0;
        let mut yielding = Vec::with_capacity(self.running.len());
        for key in &self.running {
            let record = &mut self.records[*key];
            decoding += u32::from(record.prefill_left == 0);
            let taken = record.prefill_left.min(budget);
            record.prefill_left -= taken;
            budget -= taken;
            if record.prefill_left == 0 {
                yielding.push(*key);
            }
        }
        let prefilled = settings.prefill_chunk - budget;
        let whole = settings.base_step
            + settings.step_per_stream * decoding
            + settings.prefill_per_token * prefilled;
        let duration = whole.mul_f64(self.slow_factor);
        Some(Plan { yielding, duration })
    }

    fn admit(&mut self, settings: &Settings, now: Instant) {
        while let Some(&(priority, _, key)) = self.waiting.first() {
            let needed = self.records[key].blocks();
            while !self.has_room(needed, settings) && self.preempt(priority) {}
            if !self.has_room(needed, settings) {
                return;
            }
            self.waiting.pop_first();
            self.start(key, settings, now);
        }
    }

    fn has_room(&self, blocks: usize, settings: &Settings) -> bool {
        let memory = self.used_blocks + blocks <= settings.kv_blocks;
        memory && self.running.len() < settings.max_batch
    }

    /// Puts the least urgent running response back into the queue if it is less urgent than `priority`.
    fn preempt(&mut self, priority: i64) -> bool {
        let rank = |key: &RecordKey| {
            let record = &self.records[*key];
            (record.completion.priority, record.arrival, *key)
        };
        let Some(worst) = self.running.iter().map(rank).max() else {
            return false;
        };
        if worst.0 <= priority {
            return false;
        }
        self.remove(worst.2);
        self.records[worst.2].signal("preempt");
        self.waiting.insert(worst);
        self.counters.preempted += 1;
        true
    }

    fn start(&mut self, key: RecordKey, settings: &Settings, now: Instant) {
        let record = &mut self.records[key];
        record.signal("admit");
        let cached = self.cache.matching(&record.chain);
        // The last prompt token is always computed: the first token of the answer follows from it.
        let reusable = cached as u32 * cached_block_tokens(settings);
        let reusable = reusable.min(record.usage.prompt.saturating_sub(1));
        if record.usage.completion == 0 {
            record.usage.cached = reusable;
            self.counters.prompt_tokens += u64::from(record.usage.prompt);
            self.counters.cached_tokens += u64::from(reusable);
        }
        record.prefill_left = record.usage.prompt + record.usage.completion - reusable;
        self.used_blocks += record.blocks();
        self.running.push(key);
        let room = settings.kv_blocks - self.used_blocks;
        let chain = std::mem::take(&mut self.records[key].chain);
        self.cache.store(&chain, room, now);
        self.records[key].chain = chain;
    }

    /// Carries out a planned step: each response that yields gets its next token.
    pub fn finish(&mut self, plan: &Plan, settings: &Settings, now: Instant) {
        for key in &plan.yielding {
            let Some(record) = self.records.get_mut(*key) else {
                continue;
            };
            // Cancelled or paused while the step was under way.
            if record.state() != "running" {
                continue;
            }
            record.usage.completion += 1;
            self.counters.tokens += 1;
            if record.usage.completion < record.end.0 {
                record.announce();
                continue;
            }
            record.conclude(record.end.1, now);
            self.counters.finished += 1;
            self.remove(*key);
            self.store_turn(*key, settings, now);
        }
    }

    /// Caches prompt and answer, as the start of the conversation's next turn.
    fn store_turn(&mut self, key: RecordKey, settings: &Settings, now: Instant) {
        let record = &self.records[key];
        let answer = record.seed.answer(record.usage.completion);
        let text = format!("{}{answer}\n", record.completion.prompt);
        let completion = &record.completion;
        let chain = block_hashes(&completion.model, &completion.cache_salt, &text);
        let room = settings.kv_blocks - self.used_blocks;
        self.cache.store(&chain, room, now);
    }
}

/// Prompt tokens that a cached block of text saves.
fn cached_block_tokens(settings: &Settings) -> u32 {
    (super::cache::BLOCK_BYTES / settings.bytes_per_token.max(1)) as u32
}

/// Tokens of a text; at least 1.
pub fn tokens_of(text: &str, settings: &Settings) -> u32 {
    let tokens = text.len().div_ceil(settings.bytes_per_token.max(1));
    u32::try_from(tokens).unwrap_or(u32::MAX / 2).max(1)
}

fn end_of(completion: &Completion, id: &str, settings: &Settings) -> (u32, Finish) {
    let limit = completion.max_tokens.unwrap_or(settings.default_max_tokens);
    if completion.ignore_eos {
        return (limit, Finish::Length);
    }
    let seed = Seed::new(&completion.prompt, id);
    let length = seed.length(settings.least_answer, settings.most_answer);
    if length <= limit {
        return (length.max(1), Finish::Stop);
    }
    (limit, Finish::Length)
}
