//! Keeps the configuration and the backend server list up to date with the store.
//!
//! Both are first read in full and then watched with long polls. A long poll can miss changes, and
//! a full read can be stale. The full state is therefore reread from time to time, and anything
//! older than the known version is ignored.

mod configuration;
mod list;
mod servers;

use std::time::Duration;

use fescuewell_forward::directory::Role;

pub(super) use configuration::{advance_stage, configuration, receive_change};
pub(super) use servers::{receive_digest, servers};

use super::Control;

/// Maximum time a long poll waits for changes. It is short because a dead connection is noticed
/// only when the response is overdue, and a change must take effect within two seconds.
const WATCH_WAIT: Duration = Duration::from_millis(700);
/// Timeout of a long poll.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Interval after which the full state is reread even if changes arrive.
const REREAD_INTERVAL: Duration = Duration::from_secs(4);

/// Returns `true` if readers provide the list to this instance.
fn follows_readers(control: &Control) -> bool {
    let now_ms = control.gateway.now_ms();
    control.role() != Role::Primary && control.gateway.state().cursor.is_following(now_ms)
}
