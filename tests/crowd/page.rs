//! A backend server that takes any legal request and responds with a small or a large body.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use crate::fixture::any_address;
use crate::wire;

/// Size of the body for paths that end with `large`.
const LARGE_BYTES: usize = 3 * 1024 * 1024;

/// A running server, until the process ends.
pub struct Server {
    pub address: SocketAddr,
}

impl Server {
    pub fn start() -> Self {
        let listener = TcpListener::bind(any_address()).unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                std::thread::spawn(move || serve(stream));
            }
        });
        Self { address }
    }
}

/// Serves the requests of a connection until it ends.
fn serve(stream: TcpStream) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let header = |name: &str| {
            let mut lines = head.lines();
            lines.find_map(|line| {
                let (known, value) = line.split_once(':')?;
                known.eq_ignore_ascii_case(name).then(|| value.trim())
            })
        };
        let length = header("content-length").map_or(0, |text| text.parse().unwrap_or(0));
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let (own, seal) = (wire::REQUEST_ID, wire::SEAL);
        let id = header(own).unwrap_or_default();
        let path = head.split(' ').nth(1).unwrap_or_default();
        let answer = match path.ends_with("large") {
            true => vec![b'x'; LARGE_BYTES],
            false => format!("{id} sent {length} bytes").into_bytes(),
        };
        let length = answer.len();
        let start = format!(
            "HTTP/1.1 200 OK\r\n{own}: {id}\r\n{seal}: i-0.{id}\r\nContent-Length: {length}\r\n\r\n"
        );
        writer.write_all(start.as_bytes()).ok()?;
        writer.write_all(&answer).ok()?;
    }
}
