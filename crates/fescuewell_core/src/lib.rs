//! Types shared by all crates of fescuewell: identifiers, token amounts, time, result codes, log events
//! and the traits of the platform's services.
//!
//! All other crates depend on this one, and it depends on none of them. It opens no sockets, and the only
//! thread that it starts is that of the [`timer`] service.

pub mod chart;
pub mod code;
pub mod derive;
pub mod event;
pub mod id;
pub mod intern;
pub mod platform;
pub mod table;
pub mod time;
pub mod timer;
pub mod tokens;

/// Re-exports of the types that most modules use.
pub mod prelude {
    pub use crate::code::{Code, Refusal, Run};
    pub use crate::event::Event;
    pub use crate::id::{
        AccountKey, Digest, Epoch, GroupKey, Incarnation, InstanceKey, KindKey, RequestId,
        RequestKey, ServerKey, SlotKey, StreamId, Version, ZoneKey,
    };
    pub use crate::intern::Interner;
    pub use crate::time::{Clock, Instant};
    pub use crate::tokens::Tokens;
}
