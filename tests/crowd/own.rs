//! Crowds at the own interface and at the console.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use fescuewell::demo::document::{HANDSIGN_KEY, MODEL, TEINTE_KEY};
use fescuewell::platform::settings::Secret;
use fescuewell::standin::platform::{Platform, Settings as PlatformSettings};
use fescuewell::standin::worker::wait_until;
use serde_json::json;

use crate::fixture::{any_address, get, read_response};
use crate::meter::{self, Meter};
use crate::scenario::fleet::Fleet;
use crate::way::{BODY_BYTES, Crowd};
use crate::world;

/// Memory of a machine that runs the own interface or the console.
const MEMORY_KB: u64 = 512 * 1_024;
/// Callers of a crowd at the own interface.
const CALLERS: usize = 24;
/// Operators of a crowd at the console: as many as it takes.
const OPERATORS: usize = 64;
/// Size of a form.
const FORM_BYTES: usize = 1_000_000;
/// Crowds in a row.
const CROWDS: usize = 3;

/// Returns the bytes of a request with this body, of which `missing` bytes are not sent.
fn request(path: &str, key: &str, body: &[u8], missing: usize) -> Vec<u8> {
    let authorization = match key {
        "" => String::new(),
        key => format!("Authorization: Bearer {key}\r\n"),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n{authorization}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&body[..body.len() - missing]);
    bytes
}

/// A model request of the largest size, filled with this value again and again.
fn prompt_of(unit: &str) -> Vec<u8> {
    let start = format!(
        r#"{{"model":"{MODEL}","max_tokens":5,"messages":[{{"role":"user","content":"x"}}],"filler":["#
    );
    let count = (BODY_BYTES - start.len() - 8) / (unit.len() + 1);
    let filler = vec![unit; count].join(",");
    format!("{start}{filler}]}}").into_bytes()
}

/// Checks the figures of a process.
fn assert_within(process: u32, doors: &[SocketAddr], meter: &Meter, when: &str) {
    let Some(figures) = meter::read(process, doors) else {
        return;
    };
    let peak_kb = figures.peak_kb.max(meter.peak_kb());
    eprintln!(
        "{when}: {figures:?} most with unread {} kB",
        meter.peak_kb()
    );
    assert!(
        peak_kb < MEMORY_KB,
        "{when}: peak of {peak_kb} kB, limit {MEMORY_KB} kB"
    );
}

/// Plays crowds that send these bytes to the callers' port of a router.
fn play_router(name: &str, bytes: &[u8]) {
    let _alone = world::alone();
    world::raise_descriptors();
    let mut fleet = Fleet::start(name, 1, 1, None);
    fleet.start_routers(1);
    let router = &fleet.routers["r1"];
    let (process, callers, operators) = (router.id(), router.callers, router.operators);
    let doors = [callers, operators];
    let meter = Meter::start(process, doors.to_vec());
    let serves = || {
        let body = json!({"booking": "1"}).to_string();
        let call = request("/v1/services/desk/status", TEINTE_KEY, body.as_bytes(), 0);
        send(callers, &call) == Some(200)
    };

    for number in 1..=CROWDS {
        let when = format!("{name}, crowd {number}");
        let mut crowd = Crowd::of_bytes(callers, CALLERS, bytes);
        crowd.send();
        assert!(wait_until(serves), "{when}: no ordinary request is served");
        assert_within(process, &doors, &meter, &when);
        let state = get(operators, "/v1/state").map(|response| response.status);
        assert_eq!(state, Some(200), "{when}: the state is not answered");
        drop(crowd);
        assert!(wait_until(serves), "{when}: no ordinary request is served");
        assert_within(process, &doors, &meter, &when);
    }
}

fn send(address: SocketAddr, bytes: &[u8]) -> Option<u16> {
    use std::io::Write;

    let mut connection = crate::fixture::connect_to(address);
    connection.write_all(bytes).ok()?;
    read_response(&mut connection).map(|response| response.status)
}

/// Guards against JSON whose values take many times the memory of its text.
#[test]
fn crowd_own_lists() {
    let bytes = request("/v1/chat/completions", HANDSIGN_KEY, &prompt_of("[]"), 0);
    play_router("crowd_own_lists", &bytes);
}

/// As above, with objects.
#[test]
fn crowd_own_objects() {
    let body = prompt_of(r#"{"a":0}"#);
    let bytes = request("/v1/chat/completions", HANDSIGN_KEY, &body, 0);
    play_router("crowd_own_objects", &bytes);
}

/// As above, from callers without a key.
#[test]
fn crowd_own_objects_without_a_key() {
    let body = prompt_of(r#"{"a":0}"#);
    let bytes = request("/v1/chat/completions", "", &body, 0);
    play_router("crowd_own_objects_without_a_key", &bytes);
}

/// Guards against bodies that are kept until their end, which never comes.
#[test]
fn crowd_own_large_bodies() {
    let body = prompt_of("[]");
    let bytes = request("/v1/chat/completions", HANDSIGN_KEY, &body, 1);
    play_router("crowd_own_large_bodies", &bytes);
}

/// A console as a process. Dropping it kills the process.
struct Console {
    child: Child,
    address: SocketAddr,
    _platform: Platform,
}

impl Console {
    fn start() -> Self {
        let platform = Platform::start(any_address(), PlatformSettings::default()).unwrap();
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let hash = folder.join("crowd_password");
        std::fs::write(
            &hash,
            fescuewell::console::password::hash("secret").unwrap(),
        )
        .unwrap();
        let settings = json!({
            "listen": "127.0.0.1:0",
            "operators": [{
                "name": "operator",
                "password_hash": Secret::File(hash.to_string_lossy().into()),
            }],
            "platform": platform.client_settings(),
        });
        let file = folder.join("crowd_console.json");
        std::fs::write(&file, settings.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_fescuewell"))
            .args(["console", "--settings"])
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let address = line.trim().split('=').nth(1).unwrap().parse().unwrap();
        Self {
            child,
            address,
            _platform: platform,
        }
    }
}

impl Drop for Console {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn play_console(name: &str, bytes: &[u8]) {
    let _alone = world::alone();
    let console = Console::start();
    let (process, address) = (console.child.id(), console.address);
    let meter = Meter::start(process, vec![address]);
    let serves = || get(address, "/healthz").is_some_and(|response| response.status == 200);

    for number in 1..=CROWDS {
        let when = format!("{name}, crowd {number}");
        let mut crowd = Crowd::of_bytes(address, OPERATORS, bytes);
        crowd.send();
        assert!(wait_until(serves), "{when}: nobody else is answered");
        assert_within(process, &[address], &meter, &when);
        drop(crowd);
        assert!(wait_until(serves), "{when}: nobody is answered");
        assert_within(process, &[address], &meter, &when);
    }
}

/// Guards against forms of operators that are not signed in and that end nowhere.
#[test]
fn crowd_console_forms() {
    let form = vec![b'x'; FORM_BYTES];
    let bytes = request("/sign-in", "", &form, 1);
    play_console("console forms", &bytes);
}

/// Guards against connections that take all the places of others and send nothing.
#[test]
fn crowd_console_silent() {
    play_console("console silent", b"");
}
