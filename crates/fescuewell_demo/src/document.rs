//! The demo's configuration document: two groups like those of the brief.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_document::key::hash_key;
use fescuewell_document::prelude::*;

/// Key of the demo's account of the group that weighs false refusals most.
pub const HANDSIGN_KEY: &str = "demo-handsign-key";
/// Key of the demo's account of the group with a tight budget.
pub const TEINTE_KEY: &str = "demo-teinte-key";
/// Name of the demo's model.
pub const MODEL: &str = "auslan-7b";

/// A backend server of the demo.
#[derive(Debug, Clone)]
pub struct Place {
    /// Its name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// What it does.
    pub role: ServerRole,
}

/// Prepaid tokens of the demo's groups.
const HANDSIGN_PREPAID: Tokens = Tokens(5_000_000);
const TEINTE_PREPAID: Tokens = Tokens(2_500);
/// Requests that the fleet keeps on one engine at once.
const ENGINE_CONCURRENCY: u32 = 64;

/// The document over these backend servers.
pub fn document(places: &[Place]) -> Document {
    let reach: Vec<Arc<str>> = places.iter().map(|place| place.name.clone()).collect();
    Document {
        kinds: kinds(),
        groups: vec![
            group("handsign", HANDSIGN_PREPAID, 120, 25, &reach),
            group("teinte", TEINTE_PREPAID, 20, 10, &reach),
        ],
        accounts: vec![
            account("signwise", "handsign", HANDSIGN_KEY, "summary"),
            account("salon-anfa", "teinte", TEINTE_KEY, "formula-card"),
        ],
        models: vec![Model {
            name: MODEL.into(),
            context_tokens: 32_768,
            default_output: 256,
            base: None,
            min_servers: 1,
        }],
        servers: places.iter().map(server).collect(),
        services: vec![service(places)],
    }
}

fn kinds() -> Vec<Kind> {
    vec![
        kind("status", 0, 0, 5_000),
        kind("match", 1, 0, 60_000),
        kind("formula-card", 2, 10, 120_000),
        kind("summary", 3, 10, 600_000),
    ]
}

fn kind(name: &str, priority: u8, floor_percent: u8, deadline_ms: u64) -> Kind {
    Kind {
        name: name.into(),
        priority,
        floor_percent,
        deadline_ms,
    }
}

fn group(
    name: &str,
    prepaid: Tokens,
    outage_seconds: u32,
    share_percent: u8,
    reach: &[Arc<str>],
) -> Group {
    Group {
        name: name.into(),
        prepaid,
        weight: 1,
        allowance: Allowance {
            outage_seconds,
            share_percent,
            min_draw: Tokens(500),
        },
        reach: reach.to_vec(),
    }
}

fn account(name: &str, group: &str, key: &str, default_kind: &str) -> Account {
    Account {
        name: name.into(),
        group: group.into(),
        keys: vec![Key {
            name: "first".into(),
            hash: hash_key(key),
        }],
        default_kind: default_kind.into(),
    }
}

fn server(place: &Place) -> Server {
    let models = match place.role {
        ServerRole::Engine => vec![MODEL.into()],
        ServerRole::Service => Vec::new(),
    };
    Server {
        name: place.name.clone(),
        role: place.role,
        address: place.address,
        zone: place.zone.clone(),
        models,
        concurrency: ENGINE_CONCURRENCY,
        checks_fencing: true,
    }
}

fn service(places: &[Place]) -> Service {
    let servers = places
        .iter()
        .filter(|place| place.role == ServerRole::Service);
    let call = |name: &str, repeatable: bool, price: u64| Call {
        name: name.into(),
        repeatable,
        kind: "status".into(),
        price: Tokens(price),
    };
    Service {
        name: "desk".into(),
        servers: servers.map(|place| place.name.clone()).collect(),
        calls: vec![call("status", true, 1), call("confirm", false, 5)],
    }
}
