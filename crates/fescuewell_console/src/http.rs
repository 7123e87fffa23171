//! The HTTP client's settings, the same for every request that this crate makes.

use std::time::Duration;

use attohttpc::{ProxySettingsBuilder, Session};

/// A client that asks the named address and no other: no proxy from the environment, no redirects.
///
/// A proxy variable that happens to be set would otherwise receive the operators' token.
pub fn session(time: Duration) -> Session {
    let mut session = Session::new();
    session.proxy_settings(ProxySettingsBuilder::new().build());
    session.follow_redirects(false);
    session.connect_timeout(time);
    session.read_timeout(time);
    session.timeout(time);
    session
}
