//! What ledgers send to each other, and what a ledger tells its instance.

use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::hold::Shortage;

fescuewell_core::data! {
    /// What one holder tells another.
    ///
    /// Messages carry no money: it moves through the table only. A lost or repeated message
    /// therefore costs time, never tokens.
    pub enum Message {
        /// The sender is short; the receiver should return what lies idle with it.
        Recall {
            /// Name of the group.
            group: Arc<str>,
            /// How much the sender lacks.
            need: Tokens,
        },
        /// Answer to a recall, sent once the return is in the table.
        Recalled {
            /// Name of the group.
            group: Arc<str>,
            /// How much was returned.
            returned: Tokens,
            /// What is still held or owed and may become free in part.
            in_use: Tokens,
        },
    }

    /// A message with its receiver.
    pub struct Outgoing {
        /// Holder (`instance.incarnation`) to which it goes.
        pub to: Arc<str>,
        /// The message.
        pub message: Message,
    }
}

fescuewell_core::message! {
    /// What a ledger tells its instance.
    #[derive(Eq)]
    pub enum Notification {
        /// Requests that wait for this group should ask again.
        Funded(GroupKey),
        /// Requests that wait for this group cannot have their holds.
        Refused(GroupKey, Shortage),
        /// An allowance grew.
        Drawn {
            /// The group.
            group: GroupKey,
            /// By how much.
            amount: Tokens,
        },
        /// Idle allowance went back to the budget.
        Returned {
            /// The group.
            group: GroupKey,
            /// How much.
            amount: Tokens,
        },
        /// The grant was removed or the row deleted by somebody else; nothing more is spent from it.
        Lost(GroupKey),
    }
}
