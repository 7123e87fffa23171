//! The clients against servers that break off, dawdle, refuse or send nonsense.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use fescuewell_core::table::{Error, Table, Transaction};
use fescuewell_platform::settings::{Bucket, Endpoint, Secret, Settings};
use fescuewell_platform::{connect, etcd};

/// Answers each connection with the next of some byte sequences, whatever is asked.
struct Server {
    address: SocketAddr,
    thread: JoinHandle<Vec<String>>,
}

impl Server {
    fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let thread = std::thread::spawn(move || {
            let serve = |reply: Reply| serve(&listener, reply);
            replies.into_iter().map(serve).collect()
        });
        Self { address, thread }
    }

    fn endpoint(&self) -> Endpoint {
        Endpoint::new(format!("http://{}", self.address)).with_timeout(Duration::from_millis(200))
    }

    /// The requests that were received, once all replies were used.
    fn requests(self) -> Vec<String> {
        self.thread.join().unwrap()
    }
}

enum Reply {
    /// These bytes, then the end of the connection.
    Bytes(String),
    /// A head, then one byte after another until the client goes away.
    Dawdle,
}

fn serve(listener: &TcpListener, reply: Reply) -> String {
    let (mut stream, _) = listener.accept().unwrap();
    let request = read_request(&mut stream);
    match reply {
        Reply::Bytes(bytes) => {
            let _ = stream.write_all(bytes.as_bytes());
        }
        Reply::Dawdle => {
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
            let _ = stream.write_all(head.as_bytes());
            while stream.write_all(b" ").is_ok() {
                std::thread::park_timeout(Duration::from_millis(20));
            }
        }
    }
    request
}

/// Reads up to the end of a body that is announced by its length.
fn read_request(stream: &mut TcpStream) -> String {
    let mut request = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let length = stream.read(&mut buffer).unwrap();
        request.extend_from_slice(&buffer[..length]);
        let text = String::from_utf8_lossy(&request).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let announced = head
            .split_once("content-length: ")
            .and_then(|(_, rest)| rest.split("\r\n").next()?.parse().ok());
        if length == 0 || body.len() >= announced.unwrap_or(0) {
            return text;
        }
    }
}

fn reply(status: &str, body: &str) -> Reply {
    Reply::Bytes(format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

fn put() -> Transaction {
    Transaction::default().with_put("a", *b"1")
}

fn commit(reply: Reply) -> Result<fescuewell_core::table::Outcome, Error> {
    let server = Server::start(vec![reply]);
    let table = etcd::Table::new(&server.endpoint()).unwrap();
    let outcome = table.commit(&put());
    server.requests();
    outcome
}

// Symptom: money drawn twice. Sequence: the service takes the write and its reply is cut short, late, or
// made unreadable on the way. Cause: only a whole reply tells what became of a write.
#[test]
fn a_reply_that_is_not_whole_is_unknown() {
    let whole = r#"{"header":{"revision":"7"},"succeeded":true}"#;
    let cut = format!("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{whole}");
    let cases = [
        Reply::Bytes(String::new()),
        Reply::Bytes("HTTP/1.1 200".into()),
        Reply::Bytes(cut),
        Reply::Bytes(format!("HTTP/1.1 200 OK\r\n\r\n{whole}")),
        Reply::Bytes(format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2c\r\n{whole}"
        )),
        Reply::Dawdle,
        reply("200 OK", "<html>"),
        reply("500 Internal Server Error", "{}"),
        reply("504 Gateway Timeout", "{}"),
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let outcome = commit(case);
        assert!(
            matches!(outcome, Err(Error::Unknown { .. })),
            "{number}: {outcome:?}"
        );
    }
}

// Symptom: money drawn twice. Sequence: etcd proposes a write, gets no quorum in time and answers
// 503; the write is applied a moment later. Cause: 503 was taken for "over its limit, not written".
#[test]
fn a_service_that_is_unavailable_may_have_written() {
    let timed_out = r#"{"error":"etcdserver: request timed out","code":14}"#;
    let too_many = r#"{"error":"etcdserver: too many requests","code":14}"#;

    let unknown = commit(reply("503 Service Unavailable", timed_out));
    let busy = commit(reply("503 Service Unavailable", too_many));
    let limited = commit(reply("429 Too Many Requests", "{}"));

    assert!(matches!(unknown, Err(Error::Unknown { .. })), "{unknown:?}");
    assert_eq!(busy, Err(Error::Busy));
    assert_eq!(limited, Err(Error::Busy));
}

// Symptom: a configuration document is read up to its middle. Sequence: the connection ends in the middle
// of an object. Cause: the end of the connection was taken for the end of the object.
#[test]
fn half_an_object_is_no_object() {
    let half = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst".to_owned();
    let server = Server::start(vec![Reply::Bytes(half), reply("200 OK", "first half")]);
    let mut settings = settings("http://127.0.0.1:1");
    settings.objects.endpoint = server.endpoint();
    let objects = connect(&settings).unwrap().objects;

    let cut = objects.get("x");
    let whole = objects.get("x").unwrap();

    assert!(cut.is_err(), "{cut:?}");
    assert_eq!(whole.as_deref(), Some(&b"first half"[..]));
    server.requests();
}

#[test]
fn a_refused_request_was_not_written() {
    for status in ["400 Bad Request", "401 Unauthorized", "413 Too Large"] {
        let outcome = commit(reply(status, "{}"));
        assert!(
            matches!(outcome, Err(Error::Unreachable { .. })),
            "{status}: {outcome:?}"
        );
    }
}

// Symptom: a write appears in another store. Sequence: something in between answers with a redirect.
// Cause: the client followed it, with its token.
#[test]
fn a_redirect_is_not_followed() {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    target.set_nonblocking(true).unwrap();
    let location = target.local_addr().unwrap();
    let redirect = format!(
        "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://{location}/\r\nContent-Length: 0\r\n\r\n"
    );

    let outcome = commit(Reply::Bytes(redirect));

    assert!(matches!(outcome, Err(Error::Unknown { .. })), "{outcome:?}");
    assert!(target.accept().is_err());
}

#[test]
fn the_token_comes_from_its_file_and_goes_into_the_header() {
    let file = std::env::temp_dir().join(format!("fescuewell-token-{}", std::process::id()));
    std::fs::write(&file, "s3cret\n").unwrap();
    let path: &str = file.to_str().unwrap();
    let server = Server::start(vec![reply(
        "200 OK",
        r#"{"header":{"revision":"7"},"succeeded":true}"#,
    )]);
    let endpoint = server.endpoint().with_token(Secret::File(path.into()));

    let committed = etcd::Table::new(&endpoint).unwrap().commit(&put());
    std::fs::remove_file(&file).unwrap();

    assert!(committed.is_ok());
    assert!(server.requests()[0].contains("authorization: bearer s3cret\r\n"));
    let missing = etcd::Table::new(&endpoint).err().unwrap().to_string();
    assert!(missing.contains(path), "{missing}");
}

fn settings(table: &str) -> Settings {
    Settings {
        table: Endpoint::new(table),
        objects: Bucket {
            endpoint: Endpoint::new("http://127.0.0.1:1"),
            bucket: "objects".into(),
        },
        instances: Endpoint::new("http://127.0.0.1:1/instances"),
    }
}

#[test]
fn unusable_settings_are_refused_by_name() {
    for address in [
        "",
        "127.0.0.1:1",
        "ftp://127.0.0.1",
        "http://",
        "http://a@b",
        "http://a/?q",
    ] {
        let message = connect(&settings(address)).err().unwrap().to_string();
        assert!(message.contains("http://host:port"), "{address}: {message}");
    }
    let mut bucket = settings("http://127.0.0.1:1");
    bucket.objects.bucket = "../x".into();
    assert!(
        connect(&bucket)
            .err()
            .unwrap()
            .to_string()
            .contains("bucket")
    );
    let mut timeout = settings("http://127.0.0.1:1");
    timeout.instances.timeout_ms = 0;
    assert!(
        connect(&timeout)
            .err()
            .unwrap()
            .to_string()
            .contains("time limits")
    );
    let unknown = r#"{"address": "http://127.0.0.1:1", "tiemout_ms": 5}"#;
    let message = serde_json::from_str::<Endpoint>(unknown)
        .unwrap_err()
        .to_string();
    assert!(message.contains("tiemout_ms"), "{message}");
    assert!(connect(&settings("http://127.0.0.1:1")).is_ok());
}
