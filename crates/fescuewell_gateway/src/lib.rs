//! Runtime of a gateway instance: the callers' listener, requests to backend servers, and the
//! background tasks that synchronize the instance's state with the store.
//!
//! The decision logic is in `fescuewell_forward`. The traits [`store::Store`], [`source::Source`]
//! and [`dialect::Dialect`] abstract the surrounding platform, so that this crate uses none of its
//! names.
//!
//! | thread | purpose |
//! | --- | --- |
//! | `front-0` | callers' connections, and the requests to backend servers made for them |
//! | `directory-0`, `ready-0`, `metrics-0` | addresses of instances; readiness checks; metrics |
//! | `peer-0` | server list, configuration and exchanges with backend servers for other instances |
//! | `control` | configuration, backend servers, grants, membership, messages between instances |
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
pub mod hop;
pub mod job;
pub mod metrics;
pub mod peer;
pub mod refusal;
pub mod settings;
pub mod side;
pub mod snapshot;
pub mod source;
pub mod store;
pub mod stream;

/// Common imports for programs that run an instance.
pub mod prelude {
    pub use crate::daemon::Daemon;
    pub use crate::dialect::{Dialect, PromptPart, RequestMetadata, TokenCounts};
    pub use crate::settings::Settings;
    pub use crate::source::Source;
    pub use crate::store::Store;
}
