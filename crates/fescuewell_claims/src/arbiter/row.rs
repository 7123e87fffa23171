//! Rows of the table in which slots are kept.

use std::sync::Arc;

use fescuewell_core::prelude::*;

/// Common start of all slot rows.
pub const SLOT_PREFIX: &str = "slot/";

fescuewell_core::data! {
    /// Content of `slot/{nn}`. Group commits only compare its revision; it is written when the slot is taken,
    /// handed back, or passes to another checkpoint.
    #[derive(Default)]
    pub struct SlotRow {
        /// Rises by one each time that the slot is taken.
        pub epoch: Epoch,
        /// `instance.incarnation` of the holder; `None` after a release.
        pub holder: Option<Arc<str>>,
        /// Number of the group commit up to which the checkpoint reaches; the log goes on after it. 0 for none.
        pub base: u64,
        /// Epoch in which the checkpoint was written.
        pub base_epoch: Epoch,
        /// In how many rows the checkpoint is stored.
        pub chunks: u32,
        /// Random id of the last write, by which its writer recognises it when the reply was lost.
        pub commit: u64,
    }
}

/// Key of a slot's row.
pub fn slot_key(slot: SlotKey) -> Arc<str> {
    format!("{SLOT_PREFIX}{:04}", slot.0).into()
}

/// Common start of all rows of a slot's checkpoints.
pub fn base_prefix(slot: SlotKey) -> Arc<str> {
    format!("slotbase/{:04}/", slot.0).into()
}

/// Common start of the rows of one checkpoint. The epoch keeps a replaced holder, which may still be
/// writing, out of its successor's rows.
pub fn checkpoint_prefix(slot: SlotKey, epoch: Epoch, number: u64) -> Arc<str> {
    format!("slotbase/{:04}/{:016x}-{number:016x}/", slot.0, epoch.0).into()
}

/// Common start of a slot's log rows.
pub fn log_prefix(slot: SlotKey) -> Arc<str> {
    format!("slotlog/{:04}/", slot.0).into()
}

/// Key of one log row; keys sort in the order of their numbers.
pub fn log_key(slot: SlotKey, number: u64) -> Arc<str> {
    format!("slotlog/{:04}/{number:016x}", slot.0).into()
}

/// The slot of a slot row's key.
pub fn parse_slot_key(key: &str) -> Option<SlotKey> {
    let number = key.strip_prefix(SLOT_PREFIX)?.parse().ok()?;
    Some(SlotKey(number))
}

/// The number of a log row's key.
pub fn parse_log_key(key: &str) -> Option<u64> {
    let (_, number) = key.rsplit_once('/')?;
    u64::from_str_radix(number, 16).ok()
}

/// Stored form of any of the rows.
///
/// # Panics
///
/// Never: every type stored here can be encoded.
pub fn encode<Value>(value: &Value) -> Arc<[u8]>
where
    Value: serde::Serialize,
{
    let bytes = postcard::to_stdvec(value).expect("plain data is always encoded");
    bytes.into()
}
