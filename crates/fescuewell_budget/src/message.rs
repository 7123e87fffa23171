//! Messages between ledgers, and notifications from a ledger to its instance.

use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::hold::Shortage;

fescuewell_core::data! {
    /// A message between the ledgers of two holders.
    ///
    /// Messages transfer no tokens; tokens move only through the table. A lost or duplicated
    /// message therefore costs time but no tokens.
    pub enum Message {
        /// The sender is short of tokens; the receiver should return its idle ones.
        Recall {
            /// Name of the group.
            group: Arc<str>,
            /// Number of tokens that the sender is missing.
            need: Tokens,
        },
        /// Reply to a recall, sent once the return is stored in the table.
        Recalled {
            /// Name of the group.
            group: Arc<str>,
            /// Number of tokens returned.
            returned: Tokens,
            /// Tokens still held or owed, part of which may become available later.
            in_use: Tokens,
        },
    }

    /// A message and its receiver.
    pub struct Outgoing {
        /// The receiving holder (`instance.incarnation`).
        pub to: Arc<str>,
        /// The message.
        pub message: Message,
    }
}

fescuewell_core::message! {
    /// A notification from a ledger to its instance.
    #[derive(Eq)]
    pub enum Notification {
        /// Requests that wait for this group should retry their holds.
        Funded(GroupKey),
        /// Requests that wait for this group do not get their holds.
        Refused(GroupKey, Shortage),
        /// An allowance was increased.
        Drawn {
            /// The group.
            group: GroupKey,
            /// Number of tokens drawn.
            amount: Tokens,
        },
        /// Idle tokens were returned to the budget.
        Returned {
            /// The group.
            group: GroupKey,
            /// Number of tokens returned.
            amount: Tokens,
        },
        /// Another process removed the grant or the row; nothing more is spent from it.
        Lost(GroupKey),
    }
}
