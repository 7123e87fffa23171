//! The table rows in which slots are stored: keys and contents.

use std::sync::Arc;

use fescuewell_core::prelude::*;

/// Key prefix of all slot rows.
pub const SLOT_PREFIX: &str = "slot/";

fescuewell_core::data! {
    /// Content of `slot/{nn}`. Group commits only compare its revision; it is written when the slot
    /// is taken or released and when a new checkpoint becomes active.
    #[derive(Default)]
    pub struct SlotRow {
        /// Incremented each time the slot is taken.
        pub epoch: Epoch,
        /// `instance.incarnation` of the holder; `None` after a release.
        pub holder: Option<Arc<str>>,
        /// Number of the last log row that the checkpoint covers, 0 if there is none. Later log
        /// rows are replayed on top of it.
        pub base: u64,
        /// Epoch in which the checkpoint was written.
        pub base_epoch: Epoch,
        /// Number of rows in which the checkpoint is stored.
        pub chunks: u32,
        /// Random id of the last write, by which the writer recognises its own write after a lost
        /// reply.
        pub commit: u64,
    }
}

/// Key of a slot's row.
pub fn slot_key(slot: SlotKey) -> Arc<str> {
    format!("{SLOT_PREFIX}{:04}", slot.0).into()
}

/// Key prefix of all checkpoint rows of a slot.
pub fn base_prefix(slot: SlotKey) -> Arc<str> {
    format!("slotbase/{:04}/", slot.0).into()
}

/// Key prefix of the rows of one checkpoint. It includes the epoch so that a replaced holder that
/// is still writing cannot overwrite its successor's rows.
pub fn checkpoint_prefix(slot: SlotKey, epoch: Epoch, number: u64) -> Arc<str> {
    format!("slotbase/{:04}/{:016x}-{number:016x}/", slot.0, epoch.0).into()
}

/// Key prefix of a slot's log rows.
pub fn log_prefix(slot: SlotKey) -> Arc<str> {
    format!("slotlog/{:04}/", slot.0).into()
}

/// Key of a log row. Keys sort by row number.
pub fn log_key(slot: SlotKey, number: u64) -> Arc<str> {
    format!("slotlog/{:04}/{number:016x}", slot.0).into()
}

/// Parses the key of a slot row.
pub fn parse_slot_key(key: &str) -> Option<SlotKey> {
    let number = key.strip_prefix(SLOT_PREFIX)?.parse().ok()?;
    Some(SlotKey(number))
}

/// Parses the number out of the key of a log row.
pub fn parse_log_key(key: &str) -> Option<u64> {
    let (_, number) = key.rsplit_once('/')?;
    u64::from_str_radix(number, 16).ok()
}

/// Encodes the content of a row.
///
/// # Panics
///
/// Never: every type stored here can be encoded.
pub fn encode<Value>(value: &Value) -> Arc<[u8]>
where
    Value: serde::Serialize,
{
    let bytes = postcard::to_stdvec(value).expect("postcard encodes all plain data");
    bytes.into()
}
