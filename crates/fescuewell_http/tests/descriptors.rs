//! Test of running out of file descriptors. It is the only test of its binary, since the limit applies to the process.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::*;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use socket2::{Domain, Socket, Type};

static ACCEPT_FAILURES: AtomicUsize = AtomicUsize::new(0);

/// Counts the log lines of failed accepts.
struct Counter;

impl log::Log for Counter {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let is_accept_failure = record.args().to_string().starts_with("E8002 ");
        ACCEPT_FAILURES.fetch_add(usize::from(is_accept_failure), Ordering::SeqCst);
    }

    fn flush(&self) {}
}

fn lower_limit() -> Rlimit {
    let before = getrlimit(Resource::Nofile);
    let lowered = Rlimit {
        current: Some(64),
        maximum: before.maximum,
    };
    setrlimit(Resource::Nofile, lowered).unwrap();
    before
}

#[test]
fn the_listener_survives_running_out_of_descriptors() {
    // Guards against an accept loop that ends at its first error: connections exhaust the file descriptors of
    // the process, accepting fails, and after connections have closed the listener must accept again.
    log::set_logger(&Counter).unwrap();
    log::set_max_level(log::LevelFilter::Error);
    let listener = listen(local(), echo());
    let mut first = connect(listener.address());
    eventually("the first is accepted", || listener.open_connections() == 1);
    let new_socket = || Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let waiting: Vec<Socket> = std::iter::repeat_with(new_socket).take(8).collect();
    let before = lower_limit();
    let mut open: Vec<TcpStream> = Vec::new();
    while let Ok(stream) = TcpStream::connect(listener.address()) {
        open.push(stream);
    }

    // These sockets already have file descriptors, so connecting succeeds but accepting fails.
    for socket in &waiting {
        socket.connect(&listener.address().into()).unwrap();
    }
    eventually("accepting fails", || {
        ACCEPT_FAILURES.load(Ordering::SeqCst) > 0
    });
    first.write_all(post("/", "while full").as_bytes()).unwrap();
    read_until(&mut first, "while full");
    drop(open);

    eventually("those that waited are accepted", || {
        listener.open_connections() == 1 + waiting.len()
    });
    let mut last = TcpStream::from(waiting.into_iter().next().unwrap());
    last.write_all(post("/", "after").as_bytes()).unwrap();
    read_until(&mut last, "after");
    setrlimit(Resource::Nofile, before).unwrap();
}
