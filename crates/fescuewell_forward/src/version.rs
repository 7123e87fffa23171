//! Versions of the store that go on rising when it comes back from a copy.
//!
//! The store counts its writes. After it was restored from a copy some seconds old the count goes back, and numbers are given out
//! again; each restoration begins a new *era*. A version holds both, the era in its upper bits, so that one of a later era is always the
//! newer one. `0` stands for a row that does not exist.
//!
//! ```
//! use fescuewell_forward::version;
//!
//! let before = version::join(0, 900);
//! let restored = version::join(1, 850);
//! assert!(restored > before);
//! assert_eq!((version::era(restored), version::number(restored)), (1, 850));
//! ```

/// Bits of the count: enough for thirty years of a thousand writes a second.
const NUMBER_BITS: u32 = 40;
const NUMBERS: u64 = (1 << NUMBER_BITS) - 1;

/// The version of a write, by the store's era and its count; 0 where the count is 0.
pub fn join(era: u32, number: u64) -> u64 {
    match number & NUMBERS {
        0 => 0,
        number => u64::from(era) << NUMBER_BITS | number,
    }
}

/// The era of a version.
pub fn era(version: u64) -> u32 {
    (version >> NUMBER_BITS) as u32
}

/// The store's own count.
pub fn number(version: u64) -> u64 {
    version & NUMBERS
}
