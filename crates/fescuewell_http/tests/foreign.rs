//! Tests of responses that name another request than the one that waits for them.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use common::TEST_TIMEOUT;
use fescuewell_http::upstream::{Client, Error, Exchange, Settings, Target, Timeouts};
use http::HeaderName;
use proptest::prelude::*;

const ID: HeaderName = HeaderName::from_static("x-id");
const SKIPPED_WAIT: Duration = Duration::from_millis(100);

/// Parts of what a server sends for a request, each written by itself.
type Script = fn(&str) -> Vec<Vec<u8>>;

/// A server that writes what its script returns for the id of each request.
struct Server {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl Server {
    fn start<Answer>(answer: Answer) -> Self
    where
        Answer: Fn(&str) -> Vec<Vec<u8>> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let (counter, answer) = (connections.clone(), Arc::new(answer));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counter.fetch_add(1, Ordering::SeqCst);
                let answer = answer.clone();
                std::thread::spawn(move || serve(stream, &*answer));
            }
        });
        Self {
            address,
            connections,
        }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, answer: &dyn Fn(&str) -> Vec<Vec<u8>>) {
    stream.set_nodelay(true).unwrap();
    while let Some(id) = read_id(&mut stream) {
        for part in answer(&id) {
            if stream.write_all(&part).is_err() {
                return;
            }
        }
    }
}

/// Reads a request head and returns its id, or `None` if the connection ends.
fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut byte = [0u8; 1];
    while !text.ends_with("\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return None;
        }
        text.push(byte[0] as char);
    }
    let line = text.lines().find_map(|line| line.strip_prefix("x-id: "));
    Some(line.unwrap_or_default().to_owned())
}

fn response(id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// A rejection of another request, and the response of this one.
fn late_rejection(id: &str) -> Vec<Vec<u8>> {
    let late = b"HTTP/1.1 503 Full\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n".to_vec();
    vec![late, response(id, id)]
}

fn client() -> Client {
    let settings = Settings {
        max_skipped_wait: SKIPPED_WAIT,
        ..Settings::default()
    };
    Client::new(settings).with_id_header(ID)
}

async fn open(client: &Client, server: &Server, id: &str) -> Result<Exchange, Error> {
    let request = http::Request::get("/").header(ID, id).body(Bytes::new());
    let timeouts = Timeouts {
        first_byte: TEST_TIMEOUT,
        ..Timeouts::default()
    };
    let target = Target::new(server.address);
    client.open(&target, request.unwrap(), timeouts).await
}

/// Sends requests one after the other. Returns the body of each response, or of its error the text.
fn bodies(server: &Server, ids: &[&str]) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let client = client();
        let mut bodies = Vec::new();
        for id in ids {
            let body = match open(&client, server, id).await {
                Ok(exchange) => exchange.collect(1_024).await,
                Err(error) => Err(error),
            };
            bodies.push(match body {
                Ok(body) => String::from_utf8(body.to_vec()).unwrap(),
                Err(error) => error.to_string(),
            });
        }
        bodies
    })
}

/// Guards against a request that counts as rejected because the rejection of another one arrives late.
#[test]
fn a_late_rejection_of_another_request_is_skipped() {
    let server = Server::start(late_rejection);

    let bodies = bodies(&server, &["a", "b", "c"]);

    assert_eq!(bodies, ["a", "b", "c"]);
    assert_eq!(server.connections(), 1);
}

/// Guards against bytes of a skipped body that are taken for the next response.
#[test]
fn responses_of_every_framing_are_skipped() {
    let scripts: [Script; 4] = [
        |id| {
            vec![
                response("other", "HTTP/1.1 200 OK\r\n\r\n"),
                response(id, id),
            ]
        },
        |id| {
            let late = "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n\
                        5;a=b\r\nfirst\r\nA\r\n0123456789\r\n0\r\nX-Trailer: x\r\n\r\n";
            vec![late.as_bytes().to_vec(), response(id, id)]
        },
        |id| {
            let late = "HTTP/1.1 204 No Content\r\nX-Id: other\r\n\r\n";
            vec![late.as_bytes().to_vec(), response(id, id)]
        },
        |id| {
            let interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
            let late = response("other", "late");
            vec![interim.as_bytes().to_vec(), late, response(id, id)]
        },
    ];
    for (number, script) in scripts.into_iter().enumerate() {
        let server = Server::start(script);

        let bodies = bodies(&server, &["a", "b"]);

        assert_eq!(bodies, ["a", "b"], "script {number}");
        assert_eq!(server.connections(), 1, "script {number}");
    }
}

/// Guards against an exchange that waits until its deadline for a response that never comes.
#[test]
fn the_wait_behind_a_skipped_response_is_limited() {
    let server = Server::start(|_| vec![response("other", "late")]);

    let bodies = bodies(&server, &["a"]);

    assert!(
        bodies[0].contains("only responses to other requests"),
        "{bodies:?}"
    );
}

/// Guards against a server whose late responses keep an exchange busy without end.
#[test]
fn the_number_of_skipped_responses_is_limited() {
    let server = Server::start(|id| {
        let mut parts = vec![response("other", "late"); 5];
        parts.push(response(id, id));
        parts
    });

    let bodies = bodies(&server, &["a"]);

    assert_eq!(bodies, ["late"]);
}

/// Guards against a response without a length that is skipped: its end cannot be told from the next one.
#[test]
fn a_response_that_ends_with_the_connection_is_returned_with_its_id() {
    let server = Server::start(|_| vec![b"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\nlate".to_vec()]);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();

    let exchange = runtime.block_on(async { open(&client(), &server, "a").await });

    assert_eq!(exchange.unwrap().headers[ID], "other");
}

/// Guards against a second attempt of a request that takes the late copy of its own first response.
#[test]
fn a_connection_is_not_used_twice_for_the_same_request() {
    let server = Server::start(|id| vec![response(id, id)]);

    let bodies = bodies(&server, &["a", "b", "a", "c"]);

    assert_eq!(bodies, ["a", "b", "a", "c"]);
    assert_eq!(server.connections(), 2);
}

/// Guards against a response that arrived before the request was sent and is taken for its own.
#[test]
fn a_connection_with_unexpected_bytes_is_not_used() {
    let server = Server::start(|id| vec![response(id, id), response("b", "early")]);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();

    let bodies = runtime.block_on(async {
        let client = client();
        let mut bodies = Vec::new();
        for id in ["a", "b"] {
            let exchange = open(&client, &server, id).await.unwrap();
            bodies.push(exchange.collect(1_024).await.unwrap());
            while client.idle_connections() > 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        bodies
    });

    assert_eq!(bodies, ["a", "b"]);
    assert_eq!(server.connections(), 2);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a response that is lost or cut where the network divides what the server sent.
    #[test]
    fn the_division_of_the_bytes_does_not_matter(cuts in prop::collection::vec(1_usize..40, 1..12)) {
        let server = Server::start(move |id| {
            let late = "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n";
            let mut bytes = late.as_bytes().to_vec();
            bytes.extend(response("third", "0\r\n\r\n"));
            bytes.extend(response(id, id));
            let mut parts = Vec::new();
            for cut in cuts.iter().cycle() {
                if bytes.is_empty() {
                    break;
                }
                let rest = bytes.split_off((*cut).min(bytes.len()));
                parts.push(std::mem::replace(&mut bytes, rest));
            }
            parts
        });

        let bodies = bodies(&server, &["a", "b"]);

        prop_assert_eq!(bodies, ["a", "b"]);
        prop_assert_eq!(server.connections(), 1);
    }
}
