//! Tests of the times that a connection is given.

use std::sync::atomic::AtomicUsize;

use tokio::sync::watch;

use super::*;
use crate::listener::refusal_log::RefusalLog;
use crate::listener::{Gate, Handler, LimitsHandle, Reply, Request, Stage};

struct Ignored;

impl Handler for Ignored {
    fn handle(&self, _: Request, _: Reply) {}
}

fn connection() -> ConnectionState {
    let settings = Settings::new("127.0.0.1:0".parse().unwrap());
    let limits = LimitsHandle::new(Limits::of(&settings));
    ConnectionState::new(Arc::new(Shared {
        settings,
        handler: Arc::new(Ignored),
        acceptor: None,
        connections: AtomicUsize::new(0),
        refusals: AtomicUsize::new(0),
        exchanges: AtomicUsize::new(0),
        limits,
        refusal_log: RefusalLog::default(),
        stage: watch::channel(Stage::Open).0,
        gate: Gate::default(),
    }))
}

fn expiry(connection: &ConnectionState) -> Option<(Instant, Expiry)> {
    connection.expiry(&connection.shared.limits.get())
}

/// Guards against a caller that reads a byte now and then and so holds its response forever.
#[test]
fn a_caller_that_reads_a_little_does_not_renew_its_time() {
    let connection = connection();
    connection.begin_exchange(false, true);
    connection.on_write(None);
    let deadline = expiry(&connection);

    connection.on_write(Some(MIN_PROGRESS_BYTES / 2));
    connection.on_write(None);

    assert_eq!(expiry(&connection), deadline);
    assert!(matches!(deadline, Some((_, Expiry::Stalled))));
}

#[test]
fn a_caller_that_reads_enough_or_all_renews_its_time() {
    for has_read_all in [false, true] {
        let connection = connection();
        connection.begin_exchange(false, true);
        connection.on_write(None);

        match has_read_all {
            true => connection.on_flush(),
            false => connection.on_write(Some(MIN_PROGRESS_BYTES)),
        }

        assert_eq!(expiry(&connection), None);
    }
}
