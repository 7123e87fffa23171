//! Tests of the proxy that holds bytes back, as the path to a server whose process is stopped does.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use fescuewell::standin::worker::{Worker, wait_until};

use crate::fixture::{Request, any_address, read_response};
use crate::server_proxy::{Cut, ServerProxy};

/// Time in which no byte must arrive.
const QUIET: Duration = Duration::from_millis(200);

fn server() -> (Worker, ServerProxy) {
    let worker = Worker::start(any_address(), "i-0").unwrap();
    let proxy = ServerProxy::open(worker.address());
    (worker, proxy)
}

fn connect(proxy: &ServerProxy) -> TcpStream {
    let is_open = || TcpStream::connect(proxy.address()).is_ok();
    assert!(wait_until(is_open));
    TcpStream::connect(proxy.address()).unwrap()
}

fn assert_quiet(connection: &mut TcpStream) {
    connection.set_read_timeout(Some(QUIET)).unwrap();
    assert!(connection.read(&mut [0]).is_err());
    connection.set_read_timeout(None).unwrap();
}

/// Guards against a test that takes a refused connection for a silent server.
#[test]
fn a_request_held_back_reaches_its_server_afterwards() {
    let (worker, proxy) = server();
    proxy.set(Some(Cut::Held));
    ServerProxy::settle();

    let mut connection = connect(&proxy);
    let request = Request::new("GET /safe/x", "r-1");
    connection.write_all(&request.bytes()).unwrap();
    assert_quiet(&mut connection);
    let runs = worker.runs().len();
    proxy.set(None);

    assert_eq!(runs, 0);
    assert_eq!(read_response(&mut connection).unwrap().text(), "r-1 ran");
}

/// Guards against a test that takes a response cut short for one held back.
#[test]
fn a_response_held_back_arrives_whole_afterwards() {
    let (worker, proxy) = server();
    let mut connection = connect(&proxy);
    worker.set_silent(true);
    let request = Request::new("POST /stream/x", "r-1");
    connection.write_all(&request.bytes()).unwrap();
    assert!(worker.wait_for(1));

    proxy.set(Some(Cut::Held));
    ServerProxy::settle();
    worker.set_silent(false);
    assert_quiet(&mut connection);
    proxy.set(None);

    let response = read_response(&mut connection).unwrap();
    assert!(response.is_complete);
    assert_eq!(response.events(), [1, 2, 3, 4, 5, 6]);
}
