//! Benchmark of the transport between two instances in one process on loopback: round-trip time,
//! messages per second, UDP bytes per message, and the traffic of an idle connection.
//!
//! `cargo run --release -p fescuewell_peer --example peer_rate`

use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fescuewell_peer::{Address, Message, Traffic, Transport, testing};

const ROUND_TRIPS: usize = 5_000;
const BURST: usize = 20_000;
/// Maximum number of messages in flight. The transport drops messages that exceed its queues.
const MAX_IN_FLIGHT: usize = 512;
const SETTLE_TIME: Duration = Duration::from_millis(500);
const IDLE_TIME: Duration = Duration::from_secs(12);
const TIMEOUT: Duration = Duration::from_secs(5);

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
    // Packets that the connections send on their own after the handshake count towards their cost.
    std::thread::sleep(SETTLE_TIME);
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
    let start = Instant::now();
    a.transport.send(b.address(), vec![1; size]);
    let request = b.inbox.recv_timeout(TIMEOUT)?;
    b.transport.send(a.address(), request.payload);
    a.inbox.recv_timeout(TIMEOUT)?;
    Ok(start.elapsed())
}

fn measure_round_trips(a: &Node, b: &Node, size: usize) -> Outcome<()> {
    let before = a.transport.traffic();
    let mut times = Vec::with_capacity(ROUND_TRIPS);
    for _ in 0..ROUND_TRIPS {
        times.push(round_trip(a, b, size)?);
    }
    times.sort_unstable();
    let quantile = |fraction: f64| times[(times.len() as f64 * fraction) as usize];
    let udp_bytes = wire_bytes(&a.transport.traffic()) - wire_bytes(&before);
    println!(
        "round trip of {size} bytes: p50 {:?} p99 {:?}; {:.0} UDP bytes per message, all directions",
        quantile(0.5),
        quantile(0.99),
        udp_bytes as f64 / (2 * ROUND_TRIPS) as f64
    );
    Ok(())
}

fn measure_burst(a: &Node, b: &Node, size: usize) -> Outcome<()> {
    let before = a.transport.traffic();
    let start = Instant::now();
    let mut received = 0;
    let mut sent = 0;
    while received < BURST {
        let may_send = sent < BURST && sent - received < MAX_IN_FLIGHT;
        if may_send && a.transport.send(b.address(), vec![1; size]) {
            sent += 1;
            continue;
        }
        // Enough messages are in flight, or all are sent: receive those that have arrived.
        b.inbox.recv_timeout(TIMEOUT)?;
        received += 1 + b.inbox.drain().count();
    }
    let elapsed = start.elapsed();
    let after = a.transport.traffic();
    let udp_bytes = wire_bytes(&after) - wire_bytes(&before);
    println!(
        "one way, {size} bytes, {BURST} messages: {:.0} per second, {:.0} UDP bytes per message, {} lost, {} sends rejected by a full queue",
        BURST as f64 / elapsed.as_secs_f64(),
        udp_bytes as f64 / BURST as f64,
        after.lost - before.lost,
        after.dropped - before.dropped
    );
    Ok(())
}

fn measure_idle(a: &Node) {
    let before = a.transport.traffic();
    std::thread::sleep(IDLE_TIME);
    let after = a.transport.traffic();
    let udp_bytes = wire_bytes(&after) - wire_bytes(&before);
    println!(
        "idle, {} connections: {:.1} UDP bytes per second, both directions",
        after.open,
        udp_bytes as f64 / IDLE_TIME.as_secs_f64()
    );
}

fn wire_bytes(traffic: &Traffic) -> u64 {
    traffic.wire_sent_bytes + traffic.wire_received_bytes
}
