//! Measures the transport between two instances in one process on loopback: round trips, messages a
//! second, UDP bytes for each message, and what an idle connection costs.
//!
//! `cargo run --release -p fescuewell_peer --example peer_rate`

use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fescuewell_peer::{Address, Message, Traffic, Transport, testing};

const ROUND_TRIPS: usize = 5_000;
const BURST: usize = 20_000;
/// Messages that may be on their way at once; the transport drops what its rings cannot hold.
const UNDER_WAY: usize = 512;
const SETTLE: Duration = Duration::from_millis(500);
const IDLE: Duration = Duration::from_secs(12);
const PATIENCE: Duration = Duration::from_secs(5);

type Outcome<Value> = Result<Value, Box<dyn Error>>;

struct Node {
    transport: Transport,
    inbox: flume::Receiver<Message>,
}

impl Node {
    fn start(authority: &fescuewell_peer::credentials::Authority, name: &str) -> Outcome<Self> {
        let listen: SocketAddr = "127.0.0.1:0".parse()?;
        let (sender, inbox) = flume::bounded(BURST);
        let transport = Transport::start(authority.settings(name, listen)?, sender)?;
        Ok(Self { transport, inbox })
    }

    fn address(&self) -> Address {
        Address {
            instance: self.transport.instance(),
            address: self.transport.address(),
        }
    }
}

fn main() -> Outcome<()> {
    let authority = testing::authority();
    let a = Node::start(&authority, "instance-a")?;
    let b = Node::start(&authority, "instance-b")?;
    round_trip(&a, &b, 64)?;
    // Whatever the connections do by themselves after their start is part of their price.
    std::thread::sleep(SETTLE);
    println!(
        "two connections and one message on each: {} UDP bytes, both directions",
        wire_bytes(&a.transport.traffic())
    );
    for size in [64, 1_024, 16_384] {
        measure_round_trips(&a, &b, size)?;
    }
    for size in [64, 1_024] {
        measure_burst(&a, &b, size)?;
    }
    measure_idle(&a);
    Ok(())
}

fn round_trip(a: &Node, b: &Node, size: usize) -> Outcome<Duration> {
    let began = Instant::now();
    a.transport.send(b.address(), vec![1; size]);
    let question = b.inbox.recv_timeout(PATIENCE)?;
    b.transport.send(a.address(), question.payload);
    a.inbox.recv_timeout(PATIENCE)?;
    Ok(began.elapsed())
}

fn measure_round_trips(a: &Node, b: &Node, size: usize) -> Outcome<()> {
    let before = a.transport.traffic();
    let mut times = Vec::with_capacity(ROUND_TRIPS);
    for _ in 0..ROUND_TRIPS {
        times.push(round_trip(a, b, size)?);
    }
    times.sort_unstable();
    let at = |part: f64| times[(times.len() as f64 * part) as usize];
    let wire = wire_bytes(&a.transport.traffic()) - wire_bytes(&before);
    println!(
        "round trip of {size} bytes: p50 {:?} p99 {:?}; {:.0} UDP bytes for each message, all directions",
        at(0.5),
        at(0.99),
        wire as f64 / (2 * ROUND_TRIPS) as f64
    );
    Ok(())
}

fn measure_burst(a: &Node, b: &Node, size: usize) -> Outcome<()> {
    let before = a.transport.traffic();
    let began = Instant::now();
    let mut received = 0;
    let mut sent = 0;
    while received < BURST {
        let room = sent < BURST && sent - received < UNDER_WAY;
        if room && a.transport.send(b.address(), vec![1; size]) {
            sent += 1;
            continue;
        }
        // Enough is under way, or all is sent: take what has arrived.
        b.inbox.recv_timeout(PATIENCE)?;
        received += 1 + b.inbox.drain().count();
    }
    let elapsed = began.elapsed();
    let after = a.transport.traffic();
    let wire = wire_bytes(&after) - wire_bytes(&before);
    println!(
        "one way, {size} bytes, {BURST} messages: {:.0} a second, {:.0} UDP bytes for each, {} lost, {} calls refused by the ring",
        BURST as f64 / elapsed.as_secs_f64(),
        wire as f64 / BURST as f64,
        after.lost - before.lost,
        after.dropped - before.dropped
    );
    Ok(())
}

fn measure_idle(a: &Node) {
    let before = a.transport.traffic();
    std::thread::sleep(IDLE);
    let after = a.transport.traffic();
    let wire = wire_bytes(&after) - wire_bytes(&before);
    println!(
        "idle, {} connections: {:.1} UDP bytes a second, both directions",
        after.open,
        wire as f64 / IDLE.as_secs_f64()
    );
}

fn wire_bytes(traffic: &Traffic) -> u64 {
    traffic.wire_sent_bytes + traffic.wire_received_bytes
}
