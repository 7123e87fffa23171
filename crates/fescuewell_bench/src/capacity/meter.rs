//! What the operating system says of this process's processor time and memory.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Processor time that this thread has used. Other load on the machine does not count, but makes caches colder.
pub fn processor() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}

/// Runs `work` and adds the processor time that it took to `total`.
pub fn timed<Work, Output>(total: &mut Duration, work: Work) -> Output
where
    Work: FnOnce() -> Output,
{
    let before = processor();
    let output = work();
    *total += processor().saturating_sub(before);
    output
}

/// Resident memory of this process, in bytes; 0 where the operating system does not tell.
pub fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Growth of resident memory since `before`.
pub fn grown(before: u64) -> f64 {
    resident().saturating_sub(before) as f64
}

/// Bytes of one block of a [`Filler`], and of what the allocator adds.
const BLOCK_BYTES: usize = 112;
const BLOCK_OVERHEAD: usize = 16;
/// Blocks that are added at a time: a megabyte.
const BLOCKS: usize = 1_000_000 / (BLOCK_BYTES + BLOCK_OVERHEAD);
/// Part of such a megabyte, in percent, by which resident memory must grow.
const FRESH_PERCENT: u64 = 90;
/// Such megabytes in a row after which nothing freed is taken to be left.
const FRESH_RUN: u32 = 8;
/// Megabytes after which the search for fresh memory ends in any case.
const MOST_MEGABYTES: usize = 512;

/// Blocks that fill what was freed before.
///
/// Memory is told by the growth of the resident set, and what was freed is used again without any growth: a
/// measurement would be too low by what those before it freed, as a slope that changes with the order of
/// the axes would show. While a filler is kept, what is allocated next is fresh.
#[derive(Debug, Default)]
pub struct Filler(Vec<Box<[u8]>>);

impl Filler {
    /// Allocates until resident memory grows with it.
    pub fn new() -> Self {
        let mut filler = Self::default();
        let mut fresh = 0;
        for _ in 0..MOST_MEGABYTES {
            let before = resident();
            for _ in 0..BLOCKS {
                filler.0.push(vec![1; BLOCK_BYTES].into_boxed_slice());
            }
            let allocated = (BLOCKS * (BLOCK_BYTES + BLOCK_OVERHEAD)) as u64;
            let is_fresh = resident().saturating_sub(before) * 100 >= allocated * FRESH_PERCENT;
            fresh = if is_fresh { fresh + 1 } else { 0 };
            if fresh >= FRESH_RUN {
                break;
            }
        }
        filler
    }

    /// Blocks that it has.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
