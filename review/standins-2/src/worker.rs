//! A backend server as a process of its own: `worker ADDRESS ID`.
//!
//! A path that holds `/stream` is answered by events. One in [`UNFRAMED`] of these answers has no length and ends with
//! its connection, the others come in chunks. Each request that runs is printed as `ran ID`, with `unframed` behind it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use fescuewell::standin::rows::Rows;

/// Events of a whole stream.
pub const EVENTS: u64 = 24;
/// One stream in so many has no length: the site's `garble`, how `unframed`, has x = 0.05.
const UNFRAMED: u64 = 20;
/// Streams so far.
static STREAMS: AtomicU64 = AtomicU64::new(0);
/// Time before each event.
const EVENT_INTERVAL: Duration = Duration::from_millis(200);

pub fn serve(address: &str, id: &str) {
    let address: SocketAddr = address.parse().expect("not an address");
    let listener = TcpListener::bind(address).expect("the worker cannot listen");
    println!("listening");
    for stream in listener.incoming() {
        let Ok(stream) = stream else { continue };
        let id = id.to_owned();
        thread::spawn(move || {
            let _ = serve_connection(stream, &id);
        });
    }
}

fn serve_connection(mut stream: TcpStream, id: &str) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let target = line.split(' ').nth(1).unwrap_or("/").to_owned();
        let mut headers: Vec<(String, String)> = Vec::new();
        loop {
            let mut header = String::new();
            reader.read_line(&mut header)?;
            let Some((name, value)) = header.trim_end().split_once(':') else {
                break;
            };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let header = |name: &str| {
            headers
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value.clone())
        };
        let length = header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        if target == "/healthz" {
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nX-Fescuewell-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        let request = header("x-fescuewell-request-id").unwrap_or_default();
        if header("x-fescuewell-expect-instance").is_some_and(|expected| expected != id) {
            write!(
                stream,
                "HTTP/1.1 421 Misdirected Request\r\nX-Fescuewell-Request-Id: {request}\r\nX-Fescuewell-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        let is_stream = target.contains("/stream");
        let is_unframed = is_stream && (STREAMS.fetch_add(1, Ordering::SeqCst) + 1) % UNFRAMED == 0;
        println!(
            "ran {request}{}",
            if is_unframed { " unframed" } else { "" }
        );
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Fescuewell-Request-Id: {request}\r\nX-Fescuewell-Response-Seal: {id}.{request}\r\n"
        );
        if !is_stream {
            let body = format!("{request} ran");
            write!(stream, "{head}Content-Length: {}\r\n\r\n{body}", body.len())?;
            continue;
        }
        let framing = match is_unframed {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        write!(
            stream,
            "{head}Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
        )?;
        let first = header("last-event-id")
            .and_then(|text| text.parse::<u64>().ok())
            .map_or(1, |last| last + 1);
        for number in first..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\ndata: piece {number} of {EVENTS}\n\n");
            let bytes = match is_unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            stream.write_all(bytes.as_bytes())?;
        }
        if is_unframed {
            return Ok(());
        }
        stream.write_all(b"0\r\n\r\n")?;
    }
}

/// A worker process, and what it has run.
pub struct Worker {
    pub address: SocketAddr,
    pub id: String,
    child: Child,
    pub ran: Arc<Mutex<Vec<String>>>,
}

impl Worker {
    pub fn start(address: SocketAddr, id: &str) -> Self {
        let program = std::env::current_exe().expect("no path of the program");
        let mut child = Command::new(program)
            .args(["worker", &address.to_string(), id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the worker cannot be started");
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let _ = lines.next();
        let ran: Arc<Mutex<Vec<String>>> = Arc::default();
        let own = ran.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                own.lock()
                    .unwrap()
                    .push(line.trim_start_matches("ran ").to_owned());
            }
        });
        Self {
            address,
            id: id.to_owned(),
            child,
            ran,
        }
    }

    /// Writes the worker's entry, as it does about every heartbeat.
    pub fn register(&self, store: &Rows, service: &str, zone: &str, beat: u64) {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"seqNo\":{beat}}}",
            self.address
        );
        store.put("servers", "", &self.id, entry.as_bytes());
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.kill();
    }
}
