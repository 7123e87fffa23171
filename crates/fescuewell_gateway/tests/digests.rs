//! Digests of the server list that a reader sends, over loopback.

mod common;

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use common::{INSTANCE, MemoryStore, instance, settings};
use fescuewell_forward::directory::Member;
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::relay::{Cursor, Digest, Rejection};
use fescuewell_forward::server::{Change, Entry, State};

/// Size of a buffer for one message, in bytes.
const MAX_MESSAGE_BYTES: usize = 2_048;
/// Interval between two heartbeats of a server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(5);
/// Full reads of the list that are observed, the first one included.
const READS: usize = 3;

fn key() -> Key {
    Key::new([7; 32])
}

fn entry() -> Change {
    Change::Entry(Entry {
        id: "one".into(),
        started_at_ms: None,
        service: "pool".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "zone-0".into(),
        slots: 8,
        cold_left_ms: 0,
        version: None,
        state: State::Ready,
    })
}

/// A store with the members of a zone that has readers. The instance of the test is the strongest;
/// all others receive messages at one socket.
fn store(follower: &UdpSocket) -> Arc<MemoryStore> {
    let store = MemoryStore::new(0);
    for number in 0..9 {
        let member = Member {
            address: ([127, 0, 0, 1], 1 + number).into(),
            peer: Some(follower.local_addr().unwrap()),
            zone: "zone-0".into(),
            weight: 500,
            requests_per_s: 0,
            usage: Vec::new(),
            heartbeat_at_ms: u64::MAX / 2,
            unready_until_ms: 0,
            era: 0,
            knows_grants: true,
            interval_ms: 0,
        };
        let name = format!("other-{number}");
        store.insert("member", "fleet", &name, member.encode());
    }
    store.insert("key", "fleet", "fleet", key().bytes().to_vec());
    store
}

fn receive(follower: &UdpSocket) -> Option<Digest> {
    let mut buffer = [0; MAX_MESSAGE_BYTES];
    let (length, _) = follower.recv_from(&mut buffer).ok()?;
    match key().open(&buffer[..length])? {
        Message::Digest(digest) => Some(digest),
        _ => None,
    }
}

/// Guards against followers that have to reject the digests of all readers for a second, four times
/// a minute at each reader: it reads the whole list now and then, and changes between its last poll
/// and that read were in no digest.
#[test]
fn the_periodic_read_of_a_reader_leaves_no_gap() {
    let follower = UdpSocket::bind("127.0.0.1:0").unwrap();
    follower.set_nonblocking(true).unwrap();
    let store = store(&follower);
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut settings = settings(INSTANCE);
    settings.zone = "zone-0".into();
    settings.cores = 4.0;
    settings.peer = Some(peer.local_addr().unwrap());
    drop(peer);
    let (_gateway, control) = instance(settings, &store, 1);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();

    let mut cursor = Cursor::default();
    let mut gaps = 0;
    let mut applied = 0;
    runtime.block_on(async {
        let follow = async {
            while store.read_count("servers") < READS {
                store.write_server("one", entry());
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
                while let Some(digest) = receive(&follower) {
                    match cursor.check(&digest, digest.at_ms) {
                        Err(Rejection::NothingKnown) => cursor.advance(digest.until, 0),
                        Err(Rejection::Gap) => {
                            gaps += 1;
                            cursor.advance(digest.until, 0);
                        }
                        Err(_) => {}
                        Ok(()) => {
                            applied += 1;
                            cursor.finish(&digest, 0);
                        }
                    }
                }
            }
        };
        tokio::select! {
            () = control.run() => unreachable!("the control tasks run until the process ends"),
            () = follow => {}
        }
    });

    assert!(applied > READS, "{applied} digests");
    assert_eq!(gaps, 0);
}
