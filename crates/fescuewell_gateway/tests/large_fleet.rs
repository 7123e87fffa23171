//! What one instance of a large fleet reads from the store, as counts.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{INSTANCE, MemoryStore, instance, settings};
use fescuewell_forward::directory::{Directory, Member};
use fescuewell_gateway::gateway::Gateway;

/// Number of the other instances.
const INSTANCES: usize = 985;
/// A time of the store's clock that never passes.
const ALWAYS_MS: u64 = u64::MAX / 2;

fn member(index: usize) -> Member {
    let address: SocketAddr = ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into();
    Member {
        address,
        peer: None,
        zone: format!("zone-{}", index % 5).into(),
        weight: 1_000,
        requests_per_s: 1,
        usage: Vec::new(),
        heartbeat_at_ms: ALWAYS_MS,
        unready_until_ms: 0,
        era: 0,
        knows_grants: true,
        interval_ms: 1_000,
    }
}

/// A store that knows a large fleet.
fn store() -> Arc<MemoryStore> {
    let store = MemoryStore::new(1_000_000);
    for index in 0..INSTANCES {
        let name = format!("other-{index}");
        store.insert("member", "fleet", &name, member(index).encode());
    }
    store
}

fn insert_summary(store: &MemoryStore) {
    let members = (0..INSTANCES).map(|index| (format!("other-{index}").into(), member(index)));
    let members: BTreeMap<Arc<str>, Member> = members.collect();
    let mut directory = Directory::default();
    directory.replace(members, ALWAYS_MS);
    let summary = directory.summarize().unwrap();
    store.insert("summary", "fleet", "summary", summary.encode());
}

/// Plays a weak instance of that fleet for some virtual time.
fn play(store: &Arc<MemoryStore>, time: Duration) -> Arc<Gateway> {
    let mut settings = settings(INSTANCE);
    settings.zone = "zone-0".into();
    settings.cores = 0.1;
    let (gateway, control) = instance(settings, store, 1);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async move {
        tokio::select! {
            () = control.run() => unreachable!("the control tasks run until the process ends"),
            () = tokio::time::sleep(time) => gateway,
        }
    })
}

/// Guards against reading all members, ledgers and servers at each of hundreds of instances: that
/// was a third of what the whole day is worth.
#[test]
fn an_idle_instance_reads_the_summary_only() {
    let store = store();
    insert_summary(&store);

    let gateway = play(&store, Duration::from_secs(120));

    assert!(gateway.is_ready());
    assert_eq!(gateway.state().directory.count(), INSTANCES);
    assert_eq!(store.read_count("member"), 0);
    // Once, to take over the grants of the process before.
    assert!(store.read_count("ledger") <= 1);
}

/// Guards against a fleet whose instances wait for a summary that nobody writes.
#[test]
fn without_a_summary_an_instance_reads_the_members_once_and_writes_it() {
    let store = store();

    let gateway = play(&store, Duration::from_secs(10));

    // The first read precedes the own heartbeat.
    assert_eq!(gateway.state().directory.count(), INSTANCES);
    assert_eq!(store.row_count("summary"), 1);
    assert!(
        store.read_count("member") <= 2,
        "{}",
        store.read_count("member")
    );
}
