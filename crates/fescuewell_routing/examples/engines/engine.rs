//! Simulated model engine: continuous batching, chunked prefill, and a bounded prefix cache.

use std::collections::VecDeque;

use fescuewell_core::prelude::*;
use fescuewell_routing::prelude::*;
use lru::LruCache;

/// Tokens per cache block.
pub const BLOCK: u32 = 64;
/// Maximum number of requests in a batch.
pub const BATCH: usize = 32;
/// Cache memory in blocks, shared by running requests and cached prefixes.
pub const MEMORY: usize = 3_000;
/// Maximum number of prompt tokens computed in one step.
const CHUNK: u32 = 1_024;
/// Fixed time of a step, in microseconds.
const STEP_US: f64 = 8_000.0;
/// Time that each decoding stream adds to a step, in microseconds.
const DECODE_US: f64 = 150.0;
/// Time that each prompt token adds to a step, in microseconds.
const PREFILL_US: f64 = 80.0;

/// A request as the engine sees it.
pub struct Job {
    pub id: usize,
    pub prefix: Vec<Digest>,
    pub prompt: u32,
    pub output: u32,
    pub remaining_prompt: u32,
    pub produced: u32,
}

/// Event during a step.
pub enum Effect {
    Token(usize),
    Done(usize),
    Hit(u32),
}

pub struct Engine {
    pub waiting: VecDeque<Job>,
    pub running: Vec<Job>,
    pub stepping: bool,
    pub slowdown: f64,
    pub events: Vec<CacheEvent>,
    cache: LruCache<Digest, u32>,
    output_blocks: usize,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            waiting: VecDeque::new(),
            running: Vec::new(),
            stepping: false,
            slowdown: 1.0,
            events: Vec::new(),
            cache: LruCache::unbounded(),
            output_blocks: 0,
        }
    }

    pub fn cache_used(&self) -> f32 {
        (self.cache.len() + self.output_blocks) as f32 / MEMORY as f32
    }

    /// Admits waiting requests that fit and begins a step. Returns its duration in microseconds, or
    /// `None` when idle.
    pub fn begin(&mut self, effects: &mut Vec<Effect>) -> Option<u64> {
        while self.running.len() < BATCH {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            if !self.admit(job, effects) {
                break;
            }
        }
        if self.running.is_empty() {
            return None;
        }
        let decoding = self
            .running
            .iter()
            .filter(|job| job.remaining_prompt == 0)
            .count();
        let wanted: u32 = self.running.iter().map(|job| job.remaining_prompt).sum();
        let time =
            STEP_US + DECODE_US * decoding as f64 + PREFILL_US * f64::from(wanted.min(CHUNK));
        Some((time * self.slowdown) as u64)
    }

    fn admit(&mut self, mut job: Job, effects: &mut Vec<Effect>) -> bool {
        let held = |block: &&Digest| self.cache.contains(*block);
        let hit = job.prefix.iter().take_while(held).count();
        let needed = job.prefix.len() - hit + job.output.div_ceil(BLOCK) as usize;
        for &block in &job.prefix[..hit] {
            *self
                .cache
                .get_mut(&block)
                .expect("the block was found above") += 1;
        }
        if !self.evict(needed) {
            self.unpin(&job.prefix[..hit]);
            self.waiting.push_front(job);
            return false;
        }
        for &block in &job.prefix[hit..] {
            // The block is reserved now and published once the prompt is computed.
            let pins = self.cache.get_or_insert_mut(block, || 0);
            *pins += 1;
        }
        self.output_blocks += job.output.div_ceil(BLOCK) as usize;
        let hit_tokens = (hit as u32 * BLOCK).min(job.prompt - 1);
        effects.push(Effect::Hit(hit_tokens));
        job.remaining_prompt = job.prompt - hit_tokens;
        self.running.push(job);
        true
    }

    fn evict(&mut self, needed: usize) -> bool {
        let mut pinned = 0;
        while self.cache.len() + self.output_blocks + needed > MEMORY {
            let Some((block, pins)) = self.cache.pop_lru() else {
                return false;
            };
            if pins == 0 {
                self.events.push(CacheEvent::Evicted(block));
                continue;
            }
            self.cache.put(block, pins);
            pinned += 1;
            if pinned > self.cache.len() {
                return false;
            }
        }
        true
    }

    fn unpin(&mut self, blocks: &[Digest]) {
        for block in blocks {
            if let Some(pins) = self.cache.peek_mut(block) {
                *pins = pins.saturating_sub(1);
            }
        }
    }

    /// Ends a step, which advances prompts by a chunk and decoding streams by a token.
    pub fn end(&mut self, effects: &mut Vec<Effect>) {
        let mut budget = CHUNK;
        let mut ended = Vec::new();
        for (index, job) in self.running.iter_mut().enumerate() {
            if job.remaining_prompt > 0 {
                let part = job.remaining_prompt.min(budget);
                budget -= part;
                job.remaining_prompt -= part;
                if job.remaining_prompt > 0 {
                    continue;
                }
                for &block in &job.prefix {
                    self.events.push(CacheEvent::Stored(block));
                }
            }
            job.produced += 1;
            effects.push(Effect::Token(job.id));
            if job.produced >= job.output {
                ended.push(index);
            }
        }
        for index in ended.into_iter().rev() {
            let job = self.running.remove(index);
            self.output_blocks -= job.output.div_ceil(BLOCK) as usize;
            self.unpin(&job.prefix);
            // From the deepest block up, so that the shared start of the prompt is evicted last.
            for block in job.prefix.iter().rev() {
                self.cache.promote(block);
            }
            effects.push(Effect::Done(job.id));
        }
    }
}
