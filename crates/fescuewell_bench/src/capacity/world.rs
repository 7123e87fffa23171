//! Documents and member rows of a wanted size.

use std::sync::Arc;

use fescuewell_budget::row::{Budget, Grant};
use fescuewell_core::prelude::*;
use fescuewell_document::model::{
    Account, Allowance, Call, Document, Group, Key, Kind, Model, Server, ServerRole, Service,
};
use fescuewell_membership::row;

/// Name of the plain service and of its call, which may not be repeated.
pub const SERVICE: &str = "booking";
/// Kind of all requests.
pub const KIND: &str = "chat";
/// Models in steady use.
pub const MODELS: usize = 9;
/// Backend servers that each group may reach.
pub const REACH: usize = 12;
/// Prepaid tokens of each group; more than any run uses.
pub const PREPAID: Tokens = Tokens(1_000_000_000_000);

/// How large a document is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Backend servers.
    pub servers: usize,
    /// Groups, each with a budget.
    pub groups: usize,
    /// Client accounts.
    pub accounts: usize,
}

/// The document that the axes vary from.
pub const BASE: Size = Size {
    servers: 240,
    groups: 500,
    accounts: 150,
};

/// Name of a group.
pub fn group_name(index: usize) -> Arc<str> {
    format!("group-{index}").into()
}

/// Name of a model.
pub fn model_name(index: usize) -> Arc<str> {
    format!("model-{}", index % MODELS).into()
}

/// A document of that size; one server in ten runs the plain service.
pub fn document(size: Size) -> Document {
    let servers: Vec<Server> = (0..size.servers).map(server).collect();
    let services = servers
        .iter()
        .filter(|server| server.role == ServerRole::Service);
    let service = Service {
        name: SERVICE.into(),
        servers: services.map(|server| server.name.clone()).collect(),
        calls: vec![Call {
            name: "confirm".into(),
            repeatable: false,
            kind: KIND.into(),
            price: Tokens(1),
        }],
    };
    Document {
        kinds: vec![Kind {
            name: KIND.into(),
            priority: 0,
            floor_percent: 0,
            deadline_ms: 60_000,
        }],
        groups: (0..size.groups).map(|index| group(index, size)).collect(),
        accounts: (0..size.accounts)
            .map(|index| account(index, size))
            .collect(),
        models: (0..MODELS).map(model).collect(),
        servers,
        services: vec![service],
    }
}

fn server(index: usize) -> Server {
    let role = match index % 10 {
        0 => ServerRole::Service,
        _ => ServerRole::Engine,
    };
    let models = match role {
        ServerRole::Engine => (0..MODELS).map(model_name).collect(),
        ServerRole::Service => Vec::new(),
    };
    Server {
        name: server_name(index),
        role,
        address: address(index),
        zone: zone(index),
        models,
        concurrency: 64,
        checks_fencing: true,
    }
}

fn server_name(index: usize) -> Arc<str> {
    format!("server-{index}").into()
}

fn address(index: usize) -> std::net::SocketAddr {
    let host = [10, (index >> 16) as u8, (index >> 8) as u8, index as u8];
    (host, 7_000).into()
}

/// Eleven zones, as wanted.
fn zone(index: usize) -> Arc<str> {
    format!("zone-{}", index % 11).into()
}

fn group(index: usize, size: Size) -> Group {
    let reach = (0..REACH).map(|step| server_name((index * REACH + step) % size.servers));
    Group {
        name: group_name(index),
        prepaid: PREPAID,
        weight: 1,
        allowance: Allowance::default(),
        reach: reach.collect(),
    }
}

fn account(index: usize, size: Size) -> Account {
    Account {
        name: format!("account-{index}").into(),
        group: group_name(index % size.groups),
        keys: vec![Key {
            name: "first".into(),
            hash: fescuewell_document::key::hash_key(&key_text(index)),
        }],
        default_kind: KIND.into(),
    }
}

/// The key of an account.
pub fn key_text(index: usize) -> String {
    format!("key-of-account-{index}")
}

fn model(index: usize) -> Model {
    Model {
        name: model_name(index),
        context_tokens: 32_768,
        default_output: 512,
        base: None,
        min_servers: 2,
    }
}

/// Name of an entry instance.
pub fn instance_name(index: usize) -> Arc<str> {
    format!("entry-{index:04}").into()
}

/// What the instance of that index writes about itself.
pub fn member(index: usize, beat: u64, version: Version) -> row::Row {
    row::Row {
        incarnation: Incarnation(1),
        beat,
        caller_address: address(index),
        peer_address: address(index),
        operator_address: address(index),
        zone: zone(index),
        state: row::State::Ready,
        version,
        formats: 1,
        load: row::Load::default(),
        settled: false,
        earlier: Vec::new(),
    }
}

/// A budget's row with grants of that many holders.
pub fn budget(holders: usize) -> Budget {
    let mut budget = Budget::new(PREPAID);
    for index in 1..=holders {
        let grant = Grant {
            granted: Tokens(1_000_000),
            draw_id: "00000000000000ff".into(),
            rate: 80,
            ..Grant::default()
        };
        let holder = format!("{}.18c5a2f3b7", instance_name(index));
        budget.grants.insert(holder.into(), grant);
    }
    budget
}
