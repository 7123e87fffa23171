//! The document used by the tests.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_document::prelude::*;

/// Name of the group that pays.
pub const GROUP: &str = "handsign";
/// Name of the model.
pub const MODEL: &str = "auslan-7b";
/// Name of the plain service.
pub const SERVICE: &str = "desk";
/// Names of the engines.
pub const ENGINES: [&str; 3] = ["engine-1", "engine-2", "engine-3"];
/// Names of the plain service's servers.
pub const DESKS: [&str; 2] = ["desk-1", "desk-2"];

/// Returns a document with one group, three engines and two servers of a plain service.
pub fn document(prepaid: u64, concurrency: u32) -> Document {
    let names =
        |list: &[&str]| -> Vec<Arc<str>> { list.iter().map(|name| (*name).into()).collect() };
    let mut servers: Vec<Server> = Vec::new();
    let engines = ENGINES.iter().map(|name| (name, ServerRole::Engine));
    let desks = DESKS.iter().map(|name| (name, ServerRole::Service));
    for (index, (name, role)) in engines.chain(desks).enumerate() {
        let port = 9_000 + index as u16;
        servers.push(server(name, role, (port, concurrency)));
    }
    let reach = servers.iter().map(|server| server.name.clone()).collect();
    Document {
        kinds: vec![kind("status", 0, 0), kind("summary", 3, 10)],
        groups: vec![Group {
            name: GROUP.into(),
            prepaid: Tokens(prepaid),
            weight: 1,
            allowance: Allowance {
                outage_seconds: 30,
                share_percent: 10,
                least: Tokens(500),
            },
            reach,
        }],
        accounts: Vec::new(),
        models: vec![Model {
            name: MODEL.into(),
            context_tokens: 8_192,
            default_output: 256,
            base: None,
            least_servers: 1,
        }],
        servers,
        services: vec![Service {
            name: SERVICE.into(),
            servers: names(&DESKS),
            calls: vec![call("file", false), call("read", true)],
        }],
    }
}

fn kind(name: &str, priority: u8, floor_percent: u8) -> Kind {
    Kind {
        name: name.into(),
        priority,
        floor_percent,
        deadline_ms: 60_000,
    }
}

fn call(name: &str, repeatable: bool) -> Call {
    Call {
        name: name.into(),
        repeatable,
        kind: "status".into(),
        price: Tokens(20),
    }
}

fn server(name: &str, role: ServerRole, (port, concurrency): (u16, u32)) -> Server {
    let models = match role {
        ServerRole::Engine => vec![MODEL.into()],
        ServerRole::Service => Vec::new(),
    };
    Server {
        name: name.into(),
        role,
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        models,
        concurrency,
        checks_fencing: false,
    }
}
