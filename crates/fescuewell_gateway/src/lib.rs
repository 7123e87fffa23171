//! The forwarding path at work: a listener for callers, calls to backend servers, and the duties that keep
//! what an instance knows in step with the store.
//!
//! The decisions stand in `fescuewell_forward`. What the surrounding platform calls things stands behind the
//! traits [`store::Store`], [`source::Source`] and [`dialect::Dialect`], so that this crate knows
//! none of its names.
//!
//! | thread | duty |
//! | --- | --- |
//! | `front-0` | callers' connections and the calls to backend servers made for them |
//! | `directory-0`, `ready-0` | which addresses to use; whether this instance takes requests |
//! | `control` | configuration, backend servers, grants, membership |
//!
//! ```
//! use fescuewell_gateway::settings::Settings;
//! let settings = Settings::new("entry-1", "127.0.0.1:0".parse().unwrap());
//! assert_eq!(&*settings.name, "entry-1");
//! ```

pub mod control;
pub mod daemon;
pub mod dialect;
pub mod front;
pub mod gateway;
pub mod header;
pub mod hold;
pub mod job;
pub mod metrics;
pub mod refusal;
pub mod settings;
pub mod side;
pub mod source;
pub mod store;
pub mod stream;

/// What a program that runs an instance needs.
pub mod prelude {
    pub use crate::daemon::Daemon;
    pub use crate::dialect::{Dialect, PromptPart, RequestMetadata, TokenCounts};
    pub use crate::settings::Settings;
    pub use crate::source::Source;
    pub use crate::store::Store;
}
