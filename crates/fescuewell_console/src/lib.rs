//! The operators' console of forms and the `config` command.
//!
//! [`Console`](server::Console) serves HTML forms that need neither JavaScript nor a mouse, and the JSON interface
//! behind [`config`]. Whatever is edited becomes one document; [`store`] accepts it by one transaction of
//! the platform's table. [`gate`] bounds what the HTTP server does not.

pub mod api;
pub mod config;
pub mod edit;
pub mod form;
pub mod gate;
pub mod html;
pub mod http;
pub mod live;
pub mod pages;
pub mod password;
pub mod random;
pub mod routes;
pub mod server;
pub mod session;
pub mod store;

/// What a program needs to run a console.
pub mod prelude {
    pub use crate::config::Client;
    pub use crate::gate::Limits;
    pub use crate::server::{Console, Operator, Settings};
}
