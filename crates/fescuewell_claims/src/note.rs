//! Log events of this crate's state machines.

use std::fmt;
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::message::Owner;

fescuewell_core::message! {
    /// An event to be logged.
    pub enum Note {
        /// This instance has taken and loaded a slot.
        SlotTaken {
            /// The slot.
            slot: SlotKey,
            /// The slot's epoch.
            epoch: Epoch,
            /// Number of requests that the slot knows.
            entries: usize,
        },
        /// A slot was released.
        SlotReleased {
            /// The slot.
            slot: SlotKey,
        },
        /// Another instance took a slot over.
        SlotLost {
            /// The slot.
            slot: SlotKey,
            /// Number of records that were not durable; their senders send the requests again.
            dropped: usize,
        },
        /// A slot's rows are missing or unreadable.
        SlotDamaged {
            /// The slot.
            slot: SlotKey,
            /// The fault.
            reason: Arc<str>,
        },
        /// The table stopped responding.
        TableDown {
            /// The table client's error.
            reason: Arc<str>,
        },
        /// The table responds again.
        TableUp,
        /// Records became durable.
        Committed {
            /// Number of records.
            records: usize,
            /// Number of slots.
            slots: usize,
        },
        /// A bill was not charged, because the request was billed before or its router is closed.
        BillAbsorbed {
            /// Digest of the request's key.
            request: Digest,
            /// The attempt that is not charged.
            owner: Owner,
        },
        /// The hold was charged, because the cost could not be determined.
        BillInDoubt {
            /// Digest of the request's key.
            request: Digest,
            /// The attempt.
            owner: Owner,
            /// Tokens charged.
            charged: Tokens,
        },
        /// A claim was released before anything was sent.
        ClaimAbandoned {
            /// Digest of the request's key.
            request: Digest,
            /// The attempt that is given up.
            owner: Owner,
        },
        /// The sweep of a terminated router started.
        SweepStarted {
            /// The router.
            holder: Arc<str>,
        },
        /// The sweep of a terminated router finished.
        SweepFinished {
            /// The router.
            holder: Arc<str>,
            /// Tokens charged to the router over all groups.
            charged: Tokens,
        },
    }
}

impl Note {
    /// Returns the event id under which the note is logged.
    pub fn event(&self) -> Event {
        match self {
            Self::SlotTaken { .. } => Event::SlotTaken,
            Self::SlotReleased { .. } => Event::SlotReleased,
            Self::SlotLost { .. } => Event::SlotLost,
            Self::SlotDamaged { .. } => Event::InternalFault,
            Self::TableDown { .. } => Event::TableDown,
            Self::TableUp => Event::TableUp,
            Self::Committed { .. } => Event::BillsCommitted,
            Self::BillAbsorbed { .. } => Event::BillAbsorbed,
            Self::BillInDoubt { .. } => Event::BillInDoubt,
            Self::ClaimAbandoned { .. } => Event::ClaimAbandoned,
            Self::SweepStarted { .. } => Event::SweepStarted,
            Self::SweepFinished { .. } => Event::SweepFinished,
        }
    }

    /// Writes the note to the log.
    pub fn log(&self) {
        fescuewell_core::log_event!(self.event(), "{self}");
    }
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SlotTaken {
                slot,
                epoch,
                entries,
            } => write!(f, "slot={} epoch={} entries={entries}", slot.0, epoch.0),
            Self::SlotReleased { slot } => write!(f, "slot={}", slot.0),
            Self::SlotLost { slot, dropped } => write!(f, "slot={} dropped={dropped}", slot.0),
            Self::SlotDamaged { slot, reason } => write!(f, "slot={} reason={reason:?}", slot.0),
            Self::TableDown { reason } => write!(f, "part=claims reason={reason:?}"),
            Self::TableUp => write!(f, "part=claims"),
            Self::Committed { records, slots } => write!(f, "records={records} slots={slots}"),
            Self::BillAbsorbed { request, owner } | Self::ClaimAbandoned { request, owner } => {
                write!(
                    f,
                    "request={request} holder={} attempt={}",
                    owner.holder, owner.attempt
                )
            }
            Self::BillInDoubt {
                request,
                owner,
                charged,
            } => write!(
                f,
                "request={request} holder={} attempt={} charged={charged}",
                owner.holder, owner.attempt
            ),
            Self::SweepStarted { holder } => write!(f, "holder={holder}"),
            Self::SweepFinished { holder, charged } => {
                write!(f, "holder={holder} charged={charged}")
            }
        }
    }
}
