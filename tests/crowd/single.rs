//! Single requests within the limits, in calm, and the limits of the configuration.

use std::io::Write;
use std::time::Duration;

use fescuewell::standin::worker::wait_until;

use crate::fixture::{Request, Response, connect_to, read_response, send};
use crate::way::{BODY_BYTES, MAX_HEAD_BYTES, fill_fields, read_some};
use crate::world::{World, configuration_of_large_bodies};

/// Memory limit of the smallest machines of the users.
const MEMORY_MB: u64 = 88;

/// Sends a request with these further header lines.
fn send_lines(world: &World, lines: &str) -> Option<Response> {
    let mut bytes = head(lines.to_owned());
    bytes.push_str("\r\n");
    exchange(world, bytes.as_bytes())
}

/// Returns the start of a legal request, with these lines.
fn head(lines: String) -> String {
    let request = Request::new("POST /unsafe/x", "r-1").with_body(b"");
    let text = String::from_utf8(request.bytes()).unwrap();
    text.trim_end().to_owned() + "\r\n" + &lines
}

fn exchange(world: &World, bytes: &[u8]) -> Option<Response> {
    let mut connection = connect_to(world.front);
    connection.write_all(bytes).unwrap();
    read_response(&mut connection)
}

fn status(response: Option<Response>) -> Option<u16> {
    response.map(|response| response.status)
}

/// Guards against a limit of the number of fields that legal heads exceed.
#[test]
fn crowd_single_heads_of_any_number_of_fields_are_served() {
    let world = World::start(MEMORY_MB);
    for count in [95, 97, 110, 200, 1_000, 1_700] {
        let lines: String = (0..count).map(|number| format!("f{number}:\r\n")).collect();
        let same = "f: x\r\n".repeat(count);

        let different = send_lines(&world, &lines);
        let repeated = send_lines(&world, &same);

        assert_eq!(status(different), Some(200), "{count} fields");
        assert_eq!(status(repeated), Some(200), "{count} of the same name");
    }
}

/// Guards against heads of the largest legal size that are refused, or cut off on the way to the server.
#[test]
fn crowd_single_heads_of_the_largest_size_are_served() {
    let world = World::start(MEMORY_MB);
    let long = |size: usize| {
        let mut text = head("X-Long: ".into());
        text.push_str(&"x".repeat(size - text.len() - 4));
        text + "\r\n\r\n"
    };
    let most_fields = {
        let start = head(String::new());
        let room = MAX_HEAD_BYTES - start.len() - 2;
        fill_fields(start, room) + "\r\n"
    };

    for bytes in [long(16_300), long(MAX_HEAD_BYTES), most_fields] {
        let response = exchange(&world, bytes.as_bytes());

        assert_eq!(status(response), Some(200), "{} bytes", bytes.len());
    }
}

/// Guards against a budget that a single body of the largest legal size exceeds.
#[test]
fn crowd_single_bodies_of_the_largest_size_are_served() {
    let world = World::start(MEMORY_MB);
    let body = vec![b'x'; BODY_BYTES];
    let whole = Request::new("POST /unsafe/x", "r-1").with_body(&body);
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
    let chunked = Request::new("POST /unsafe/x", "r-2").with("Transfer-Encoding", "chunked");
    let mut chunks = chunked.bytes();
    chunks.extend_from_slice(chunk.repeat(BODY_BYTES / 0x1_0000).as_bytes());
    chunks.extend_from_slice(b"0\r\n\r\n");

    for _ in 0..3 {
        let length = send(world.front, &whole).unwrap();
        let chunked = exchange(&world, &chunks).unwrap();

        assert_eq!(length.status, 200, "{}", length.text());
        assert!(length.text().ends_with("sent 4194304 bytes"));
        assert_eq!(chunked.status, 200, "{}", chunked.text());
        assert!(chunked.text().ends_with("sent 4194304 bytes"));
    }
}

/// Guards against chunks whose number, not their size, makes a body fail.
#[test]
fn crowd_single_bodies_in_chunks_of_one_byte_are_served() {
    const CHUNKS: usize = 65_536;
    let world = World::start(MEMORY_MB);
    let request = Request::new("POST /unsafe/x", "r-1").with("Transfer-Encoding", "chunked");
    let mut bytes = request.bytes();
    bytes.extend_from_slice("1\r\nx\r\n".repeat(CHUNKS).as_bytes());
    bytes.extend_from_slice(b"0\r\n\r\n");

    let response = exchange(&world, &bytes).unwrap();

    assert_eq!(response.status, 200, "{}", response.text());
}

/// Guards against limits of the configuration that are read and never applied.
#[test]
fn crowd_single_limits_of_a_configuration_are_applied_and_changed() {
    let mut configuration = configuration_of_large_bodies(1);
    configuration["limits"]["maxBodyBytes"] = 1_000.into();
    configuration["limits"]["maxHeaderBytes"] = 9_000.into();
    let world = World::with_configuration(MEMORY_MB, &configuration);
    let body = Request::new("POST /unsafe/x", "r-1").with_body(&[b'x'; 2_000]);
    let head = Request::new("POST /unsafe/x", "r-2")
        .with("X-Long", &"x".repeat(9_000))
        .with_body(b"");
    let is_answered = |request: &Request, expected| {
        wait_until(|| status(send(world.front, request)) == Some(expected))
    };

    assert!(is_answered(&body, 413), "the body is not refused");
    assert!(is_answered(&head, 431), "the head is not refused");
    world.configure(&configuration_of_large_bodies(2));
    assert!(is_answered(&body, 200), "the body is still refused");
    assert!(is_answered(&head, 200), "the head is still refused");
}

/// Guards against timeouts of the configuration that are read and never applied.
#[test]
fn crowd_single_timeouts_of_a_configuration_are_applied() {
    let mut configuration = configuration_of_large_bodies(1);
    configuration["limits"]["headerTimeoutMs"] = 200.into();
    configuration["limits"]["idleTimeoutMs"] = 300.into();
    let world = World::with_configuration(MEMORY_MB, &configuration);
    let mut half = connect_to(world.front);
    let mut idle = connect_to(world.front);
    for connection in [&half, &idle] {
        // Well below the listener's own timeouts of 10 s and 75 s.
        let timeout = Some(Duration::from_secs(8));
        connection.set_read_timeout(timeout).unwrap();
    }
    let request = Request::new("POST /unsafe/x", "r-1").with_body(b"hello");

    half.write_all(b"POST /unsafe/x HTTP/1.1\r\nHost").unwrap();
    idle.write_all(&request.bytes()).unwrap();
    let served = read_response(&mut idle);

    assert_eq!(status(served), Some(200));
    assert!(read_some(&mut half).starts_with(b"HTTP/1.1 408"));
    // The connection ends without another byte, which a timeout of the read would not show as an end.
    let mut byte = [0];
    let end = std::io::Read::read(&mut idle, &mut byte);
    assert!(
        matches!(end, Ok(0)),
        "the idle connection ended with {end:?}"
    );
}
