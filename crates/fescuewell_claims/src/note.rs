//! What the machines of this crate report for the log.

use std::fmt;
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::message::Owner;

fescuewell_core::message! {
    /// Something worth a log line.
    pub enum Note {
        /// This instance holds the slot now.
        SlotTaken {
            /// Which slot.
            slot: SlotKey,
            /// Its epoch.
            epoch: Epoch,
            /// How many requests it knows.
            entries: usize,
        },
        /// The slot was handed back.
        SlotReleased {
            /// Which slot.
            slot: SlotKey,
        },
        /// Another instance took the slot over.
        SlotLost {
            /// Which slot.
            slot: SlotKey,
            /// Records that were never made durable; their senders send them again.
            dropped: usize,
        },
        /// The slot's rows cannot be read as a log.
        SlotDamaged {
            /// Which slot.
            slot: SlotKey,
            /// What is wrong.
            reason: Arc<str>,
        },
        /// The table stopped answering.
        TableDown {
            /// What the adapter saw.
            reason: Arc<str>,
        },
        /// The table answers again.
        TableUp,
        /// Records became durable.
        Committed {
            /// How many.
            records: usize,
            /// In how many slots.
            slots: usize,
        },
        /// A bill was not charged, since another one of the same request came first or its router is closed.
        BillAbsorbed {
            /// Digest of the request's key.
            request: Digest,
            /// The run that is not charged.
            owner: Owner,
        },
        /// The hold was charged, since the cost could not be learned.
        BillInDoubt {
            /// Digest of the request's key.
            request: Digest,
            /// The run.
            owner: Owner,
            /// What was charged.
            charged: Tokens,
        },
        /// A claim was given up before anything was sent.
        ClaimAbandoned {
            /// Digest of the request's key.
            request: Digest,
            /// The run that will not be.
            owner: Owner,
        },
        /// A terminated router is being settled.
        SweepStarted {
            /// The router.
            holder: Arc<str>,
        },
        /// A terminated router is settled.
        SweepFinished {
            /// The router.
            holder: Arc<str>,
            /// Charged to it, over all groups.
            charged: Tokens,
        },
    }
}

impl Note {
    /// The numbered event under which it is logged.
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

    /// Writes it to the log.
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
