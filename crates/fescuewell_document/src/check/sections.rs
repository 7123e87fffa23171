//! Validation of each section.

use std::collections::{HashMap, HashSet};

use super::{
    MAX_FLOOR_SUM_PERCENT, MAX_INNER_LIST_LEN, MAX_LIST_LEN, MAX_TOKENS, Names, Report, is_name,
};
use crate::fault::Fault;
use crate::key;
use crate::model::{Account, Call, Document, Group, Model, Server, ServerRole};

/// Maximum deadline of a kind and maximum `outage_seconds` of an allowance: one day.
const DAY_SECONDS: u32 = 86_400;
/// Maximum context window of a model, in tokens.
const MAX_CONTEXT_TOKENS: u32 = 1 << 24;
/// Maximum weight of a group.
const MAX_WEIGHT: u32 = 10_000;
/// Maximum number of concurrent requests on a backend server.
const MAX_CONCURRENCY: u32 = 100_000;
/// Maximum number of keys of an account.
const MAX_KEYS: usize = 32;

pub(super) fn check_sizes(document: &Document, report: &mut Report) {
    let sizes = [
        ("kinds", document.kinds.len()),
        ("groups", document.groups.len()),
        ("accounts", document.accounts.len()),
        ("models", document.models.len()),
        ("servers", document.servers.len()),
        ("services", document.services.len()),
    ];
    for (section, len) in sizes {
        if len <= MAX_LIST_LEN {
            continue;
        }
        let message = format!("{len} items exceed the limit of {MAX_LIST_LEN} per section");
        report.add(Fault::new(section, message));
    }
}

pub(super) fn check_kinds(document: &Document, report: &mut Report) {
    let mut seen = HashSet::new();
    let mut floors = 0u32;
    for (index, kind) in document.kinds.iter().enumerate() {
        let path = format!("kinds[{index}]");
        report.check_name(&path, &kind.name, &mut seen);
        let deadlines = 1..=u64::from(DAY_SECONDS) * 1_000;
        report.check_range(&format!("{path}.deadline_ms"), kind.deadline_ms, deadlines);
        floors += u32::from(kind.floor_percent);
    }
    if floors <= MAX_FLOOR_SUM_PERCENT {
        return;
    }
    let message = format!("the floors of all kinds sum to {floors} percent");
    let allowed = format!("allowed: at most {MAX_FLOOR_SUM_PERCENT}");
    report.add(Fault::new("kinds", message).with_suggestion(allowed));
}

pub(super) fn check_groups(document: &Document, names: &Names<'_>, report: &mut Report) {
    let mut seen = HashSet::new();
    for (index, group) in document.groups.iter().enumerate() {
        let path = format!("groups[{index}]");
        report.check_name(&path, &group.name, &mut seen);
        check_group_numbers(&path, group, report);
        let reach = format!("{path}.reach");
        report.check_references(&reach, "backend server", &group.reach, &names.servers);
        if group.reach.is_empty() {
            let message = format!("the group `{}` cannot reach any backend server", group.name);
            report.add(
                Fault::new(reach, message).with_suggestion("list at least one backend server"),
            );
        }
    }
}

fn check_group_numbers(path: &str, group: &Group, report: &mut Report) {
    let allowance = &group.allowance;
    report.check_range(&format!("{path}.prepaid"), group.prepaid.0, 0..=MAX_TOKENS);
    report.check_range(&format!("{path}.weight"), group.weight, 1..=MAX_WEIGHT);
    let path = format!("{path}.allowance");
    let outage = allowance.outage_seconds;
    report.check_range(&format!("{path}.outage_seconds"), outage, 1..=DAY_SECONDS);
    let share = allowance.share_percent;
    report.check_range(&format!("{path}.share_percent"), share, 1..=100);
    report.check_range(
        &format!("{path}.least"),
        allowance.min_draw.0,
        1..=MAX_TOKENS,
    );
}

pub(super) fn check_accounts(document: &Document, names: &Names<'_>, report: &mut Report) {
    let mut seen = HashSet::new();
    let mut hashes = HashMap::new();
    for (index, account) in document.accounts.iter().enumerate() {
        let path = format!("accounts[{index}]");
        report.check_name(&path, &account.name, &mut seen);
        report.check_reference(
            &format!("{path}.group"),
            "group",
            &account.group,
            &names.groups,
        );
        let kind = format!("{path}.default_kind");
        report.check_reference(&kind, "kind", &account.default_kind, &names.kinds);
        check_keys(&path, account, &mut hashes, report);
    }
}

fn check_keys<'a>(
    path: &str,
    account: &'a Account,
    hashes: &mut HashMap<&'a str, &'a str>,
    report: &mut Report,
) {
    if account.keys.len() > MAX_KEYS {
        let message = format!("{} keys exceed the limit of {MAX_KEYS}", account.keys.len());
        return report.add(Fault::new(format!("{path}.keys"), message));
    }
    let mut seen = HashSet::new();
    for (index, key) in account.keys.iter().enumerate() {
        let path = format!("{path}.keys[{index}]");
        report.check_name(&path, &key.name, &mut seen);
        if !key::is_hash(&key.hash) {
            let fault = Fault::new(format!("{path}.hash"), "not a BLAKE3 hash of a key");
            report.add(fault.with_suggestion("64 lower-case hexadecimal digits"));
            continue;
        }
        // If two accounts had the same key, the lookup would charge an arbitrary one of them.
        if let Some(other) = hashes.insert(&key.hash, &account.name) {
            let message = format!("the account `{other}` has the same key");
            report.add(Fault::new(format!("{path}.hash"), message));
        }
    }
}

pub(super) fn check_models(document: &Document, names: &Names<'_>, report: &mut Report) {
    let mut loadable: HashMap<&str, u32> = HashMap::new();
    for name in document.servers.iter().flat_map(|server| &server.models) {
        *loadable.entry(name).or_default() += 1;
    }
    let mut seen = HashSet::new();
    for (index, model) in document.models.iter().enumerate() {
        let path = format!("models[{index}]");
        report.check_name(&path, &model.name, &mut seen);
        check_model_numbers(&path, model, report);
        check_base(&path, model, document, names, report);
        let servers = loadable.get(&*model.name).copied().unwrap_or(0);
        if model.min_servers <= servers {
            continue;
        }
        let message = format!(
            "at least {} backend servers must keep `{}` loaded, but only {servers} may load it",
            model.min_servers, model.name
        );
        report.add(Fault::new(format!("{path}.least_servers"), message));
    }
}

fn check_model_numbers(path: &str, model: &Model, report: &mut Report) {
    let context = model.context_tokens;
    report.check_range(
        &format!("{path}.context_tokens"),
        context,
        2..=MAX_CONTEXT_TOKENS,
    );
    // A default output as large as the context window would leave no room for a prompt.
    let max_output = context.saturating_sub(1).max(1);
    report.check_range(
        &format!("{path}.default_output"),
        model.default_output,
        1..=max_output,
    );
}

fn check_base(
    path: &str,
    model: &Model,
    document: &Document,
    names: &Names<'_>,
    report: &mut Report,
) {
    let Some(base) = &model.base else { return };
    let path = format!("{path}.base");
    report.check_reference(&path, "model", base, &names.models);
    let Some(&index) = names.models.get(&**base) else {
        return;
    };
    if document.models[index].base.is_some() {
        let message = format!("`{base}` is an adapter and cannot be a base model");
        report.add(Fault::new(path, message));
    }
}

pub(super) fn check_servers(document: &Document, names: &Names<'_>, report: &mut Report) {
    let mut seen = HashSet::new();
    let mut addresses = HashMap::new();
    for (index, server) in document.servers.iter().enumerate() {
        let path = format!("servers[{index}]");
        report.check_name(&path, &server.name, &mut seen);
        check_server(&path, server, names, report);
        if let Some(other) = addresses.insert(server.address, &server.name) {
            let message = format!("`{other}` already uses the address {}", server.address);
            report.add(Fault::new(format!("{path}.address"), message));
        }
    }
}

fn check_server(path: &str, server: &Server, names: &Names<'_>, report: &mut Report) {
    if server.address.port() == 0 || server.address.ip().is_unspecified() {
        let message = format!("{} is not a reachable address", server.address);
        let fault = Fault::new(format!("{path}.address"), message);
        report.add(fault.with_suggestion("an IP address and a port, such as 10.1.2.3:8000"));
    }
    if !is_name(&server.zone) {
        let message = format!("`{}` is not a valid availability zone name", server.zone);
        report.add(Fault::new(format!("{path}.zone"), message));
    }
    let models = format!("{path}.models");
    report.check_references(&models, "model", &server.models, &names.models);
    if server.role == ServerRole::Service && !server.models.is_empty() {
        let message = format!(
            "`{}` has the role `service` and cannot load models",
            server.name
        );
        report.add(
            Fault::new(models, message).with_suggestion("only the role `engine` can load models"),
        );
    }
    let concurrency = format!("{path}.concurrency");
    report.check_range(&concurrency, server.concurrency, 1..=MAX_CONCURRENCY);
}

pub(super) fn check_services(document: &Document, names: &Names<'_>, report: &mut Report) {
    let mut seen = HashSet::new();
    for (index, service) in document.services.iter().enumerate() {
        let path = format!("services[{index}]");
        report.check_name(&path, &service.name, &mut seen);
        let servers = format!("{path}.servers");
        report.check_references(&servers, "backend server", &service.servers, &names.servers);
        if service.servers.is_empty() {
            let message = format!("no backend server runs the service `{}`", service.name);
            report.add(Fault::new(servers.as_str(), message));
        }
        for (at, name) in service.servers.iter().enumerate() {
            let Some(&server) = names.servers.get(&**name) else {
                continue;
            };
            if document.servers[server].role == ServerRole::Service {
                continue;
            }
            let message = format!("`{name}` has the role `engine` and cannot run service calls");
            report.add(Fault::new(format!("{servers}[{at}]"), message));
        }
        check_calls(&path, &service.calls, names, report);
    }
}

fn check_calls(path: &str, calls: &[Call], names: &Names<'_>, report: &mut Report) {
    let path = format!("{path}.calls");
    if calls.is_empty() || calls.len() > MAX_INNER_LIST_LEN {
        let message = format!("{} calls; allowed: 1 to {MAX_INNER_LIST_LEN}", calls.len());
        return report.add(Fault::new(path, message));
    }
    let mut seen = HashSet::new();
    for (index, call) in calls.iter().enumerate() {
        let path = format!("{path}[{index}]");
        report.check_name(&path, &call.name, &mut seen);
        report.check_reference(&format!("{path}.kind"), "kind", &call.kind, &names.kinds);
        report.check_range(&format!("{path}.price"), call.price.0, 0..=MAX_TOKENS);
    }
}
