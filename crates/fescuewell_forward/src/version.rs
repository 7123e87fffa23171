//! Store versions that increase across restores from a backup.
//!
//! The store counts its writes. A restore from a backup that is some seconds old sets the count
//! back, so that numbers are assigned twice; each restore begins a new *era*. A version contains
//! both, with the era in its upper bits, so that versions of a later era are always newer. Version
//! 0 denotes a row that does not exist.
//!
//! ```
//! use fescuewell_forward::version;
//!
//! let before = version::join(0, 900);
//! let restored = version::join(1, 850);
//! assert!(restored > before);
//! assert_eq!((version::era(restored), version::number(restored)), (1, 850));
//! ```

/// Bits of the count; enough for thirty years of a thousand writes per second.
const NUMBER_BITS: u32 = 40;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// Combines the store's era and write count to a version; 0 if the count is 0.
pub fn join(era: u32, number: u64) -> u64 {
    match number & NUMBER_MASK {
        0 => 0,
        number => u64::from(era) << NUMBER_BITS | number,
    }
}

/// Returns the era of a version.
pub fn era(version: u64) -> u32 {
    (version >> NUMBER_BITS) as u32
}

/// Returns the store's write count.
pub fn number(version: u64) -> u64 {
    version & NUMBER_MASK
}
