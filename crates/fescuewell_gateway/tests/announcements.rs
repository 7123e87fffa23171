//! Announcements of long prompts between two instances.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use common::{Behaviour, MemoryStore};
use fescuewell_forward::config::{Configuration, Engine, Kind, Route, Service, Split, Table};
use fescuewell_gateway::control::Control;
use fescuewell_gateway::gateway::Gateway;

/// Uncached tokens of the prompt.
const TOKENS: u64 = 17_020;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}

fn instance(name: &str, store: &Arc<MemoryStore>) -> (Arc<Gateway>, Control) {
    let mut settings = common::settings(name);
    settings.peer = Some(free_address());
    common::instance(settings, store, 1)
}

fn is_advertised(gateway: &Gateway, name: &str) -> bool {
    gateway.state().directory.is_advertised(name)
}

/// Waits until both know that only the first is advertised, and have the fleet key.
async fn wait_ready(first: &Gateway, second: &Gateway) {
    let knows = |gateway: &Gateway| {
        gateway.state().directory.count() == 2
            && is_advertised(gateway, "entry-1")
            && !is_advertised(gateway, "entry-2")
            && gateway.fleet_key().is_some()
    };
    while !knows(first) || !knows(second) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn counts(gateway: &Gateway, outcome: &str) -> bool {
    let line = format!("fescuewell_announcements_total{{outcome=\"{outcome}\"");
    let text = String::from_utf8(gateway.metrics.text()).unwrap();
    text.contains(&line)
}

/// Guards against instances that are not advertised and choose servers without knowing of long
/// prompts at other instances, also while the store does not respond: they get no load reports.
#[test]
fn an_instance_that_is_not_advertised_learns_of_a_long_prompt() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let store = MemoryStore::new(400_000);
        let (first, first_control) = instance("entry-1", &store);
        let (second, second_control) = instance("entry-2", &store);
        let (own, server): (Arc<str>, Arc<str>) = ("server-1".into(), "server-2".into());
        let scenario = async {
            wait_ready(&first, &second).await;
            store.set_behaviour(Behaviour::Silent);
            // The load report of this request makes the second instance known to the first. A
            // datagram may be lost, so both are repeated.
            while second.state().load.pending_prefill(&server) < TOKENS {
                second.begin_request(&own, 100, false);
                tokio::time::sleep(POLL_INTERVAL).await;
                first.begin_request(&server, TOKENS, true);
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };

        tokio::select! {
            () = first_control.run() => unreachable!("the control tasks run until the process ends"),
            () = second_control.run() => unreachable!("the control tasks run until the process ends"),
            () = scenario => {}
        }

        assert!(second.state().load.in_flight(&server) >= 1);
        assert!(counts(&first, "sent"));
        assert!(counts(&second, "received"));
        let now_ms = second.now_ms();
        second.state().load.expire_announcements(now_ms + 2_000);
        assert_eq!(second.state().load.in_flight(&server), 0);
    });
}

fn table(target_gap: Duration) -> Table {
    let route = Route {
        name: "chat".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind: Kind::Stream { resumable: false },
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(500),
        priority: 0,
        splits: vec![Split {
            service: "engines".into(),
            weight: 1,
        }],
        max_attempts: 1,
        public: false,
        sticky: false,
        target_gap,
    };
    let service = Service {
        name: "engines".into(),
        max_connections: 8,
        engine: Some(Engine {
            slots: 8,
            kv_capacity: 9,
            tokens_per_event: 4,
        }),
        warmup: None,
    };
    Table::new(Configuration {
        routes: vec![Arc::new(route)],
        services: vec![service],
        ..Configuration::default()
    })
}

/// Guards against announcements of prompts that do not call for them.
#[test]
fn only_long_prompts_of_gap_sensitive_services_are_announced() {
    let store = MemoryStore::new(0);
    let (gateway, _control) = instance("entry-1", &store);
    let (alone, _alone_control) = common::instance(common::settings("entry-2"), &store, 1);
    for gateway in [&gateway, &alone] {
        gateway.set_table(table(Duration::from_millis(400)));
    }

    assert!(gateway.is_prompt_announced("engines", 4_000));
    assert!(!gateway.is_prompt_announced("engines", 3_999));
    assert!(!gateway.is_prompt_announced("other", 4_000));
    assert!(!alone.is_prompt_announced("engines", 4_000), "no peers");

    gateway.set_table(table(Duration::from_millis(500)));
    assert!(!gateway.is_prompt_announced("engines", 4_000));
}
