//! The rules of each section.

use std::collections::{HashMap, HashSet};

use super::{
    MAX_FLOOR_SUM_PERCENT, MAX_INNER_LIST_LEN, MAX_LIST_LEN, MAX_TOKENS, Names, Report, is_name,
};
use crate::fault::Fault;
use crate::key;
use crate::model::{Account, Call, Document, Group, Model, Server, ServerRole};

/// Longest deadline and longest outage to be outlasted: one day.
const DAY_SECONDS: u32 = 86_400;
/// Longest context that a model may be given, in tokens.
const LARGEST_CONTEXT: u32 = 1 << 24;
/// Largest weight of a group.
const LARGEST_WEIGHT: u32 = 10_000;
/// Most requests at once on one backend server.
const LARGEST_CONCURRENCY: u32 = 100_000;
/// Most keys of one account.
const MOST_KEYS: usize = 32;

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
        let message = format!("{len} items; at most {MAX_LIST_LEN} in one section");
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
            let message = format!("the group `{}` reaches no backend server", group.name);
            report.add(Fault::new(reach, message).with_suggestion("name at least one"));
        }
    }
}

fn check_group_numbers(path: &str, group: &Group, report: &mut Report) {
    let allowance = &group.allowance;
    report.check_range(&format!("{path}.prepaid"), group.prepaid.0, 0..=MAX_TOKENS);
    report.check_range(&format!("{path}.weight"), group.weight, 1..=LARGEST_WEIGHT);
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
    if account.keys.len() > MOST_KEYS {
        let message = format!("{} keys; at most {MOST_KEYS}", account.keys.len());
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
        // One key on two accounts would bill whichever the lookup happens to find.
        if let Some(other) = hashes.insert(&key.hash, &account.name) {
            let message = format!("the same key stands in the account `{other}`");
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
            "{} backend servers should keep `{}` loaded, but only {servers} may load it",
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
        2..=LARGEST_CONTEXT,
    );
    // A default output as long as the whole context would leave no room for a prompt.
    let largest = context.saturating_sub(1).max(1);
    report.check_range(
        &format!("{path}.default_output"),
        model.default_output,
        1..=largest,
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
        let message = format!("`{base}` is itself an adapter and cannot be a base");
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
            let message = format!("`{other}` listens at {} already", server.address);
            report.add(Fault::new(format!("{path}.address"), message));
        }
    }
}

fn check_server(path: &str, server: &Server, names: &Names<'_>, report: &mut Report) {
    if server.address.port() == 0 || server.address.ip().is_unspecified() {
        let message = format!("nothing can be reached at {}", server.address);
        let fault = Fault::new(format!("{path}.address"), message);
        report.add(fault.with_suggestion("an IP number and a port, such as 10.1.2.3:8000"));
    }
    if !is_name(&server.zone) {
        let message = format!("`{}` cannot be the name of a zone", server.zone);
        report.add(Fault::new(format!("{path}.zone"), message));
    }
    let models = format!("{path}.models");
    report.check_references(&models, "model", &server.models, &names.models);
    if server.role == ServerRole::Service && !server.models.is_empty() {
        let message = format!("`{}` runs plain calls and can load no models", server.name);
        report.add(Fault::new(models, message).with_suggestion("role `engine` loads models"));
    }
    let concurrency = format!("{path}.concurrency");
    report.check_range(&concurrency, server.concurrency, 1..=LARGEST_CONCURRENCY);
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
            let message = format!("`{name}` is a model engine and runs no plain calls");
            report.add(Fault::new(format!("{servers}[{at}]"), message));
        }
        check_calls(&path, &service.calls, names, report);
    }
}

fn check_calls(path: &str, calls: &[Call], names: &Names<'_>, report: &mut Report) {
    let path = format!("{path}.calls");
    if calls.is_empty() || calls.len() > MAX_INNER_LIST_LEN {
        let message = format!(
            "{} calls; 1 to {MAX_INNER_LIST_LEN} are allowed",
            calls.len()
        );
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
