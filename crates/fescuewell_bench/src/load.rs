//! Seeded load against a whole fleet in one process.
//!
//! [`plan`] reads the load's file and draws every arrival beforehand; [`drive`] sends them on one
//! thread, whatever their number; [`audit`] reads the slots and the budget rows once all routers have
//! drained; [`report`] makes figures of it, compares them with an earlier run's and prints them.
//!
//! Fleet, stand-ins and callers share the machine and its processors, so times are upper bounds.

pub mod audit;
pub mod drive;
pub mod ledger;
pub mod plan;
pub mod report;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fescuewell_adapter::product;
use fescuewell_core::tokens::Tokens;
use fescuewell_demo::document::{self, HANDSIGN_KEY, TEINTE_KEY};
use fescuewell_demo::fleet::{Fleet, Settings};
use fescuewell_router::daemon::Router;
use fescuewell_router::settings::Timing;
use fescuewell_standin::engine;
use serde_json::Value;
use snafu::Snafu;

use plan::Plan;
use report::Report;

/// Why a run came to nothing.
#[derive(Debug, Snafu)]
#[snafu(display("{part}: {reason}"))]
pub struct Error {
    part: &'static str,
    reason: String,
}

impl Error {
    fn new<Reason>(part: &'static str, reason: Reason) -> Self
    where
        Reason: std::fmt::Display,
    {
        let reason = reason.to_string();
        Self { part, reason }
    }
}

/// An account of the demo's document.
pub struct Account {
    /// Its name.
    pub name: &'static str,
    /// Its group.
    pub group: &'static str,
    /// Its key.
    pub key: &'static str,
}

/// The accounts of the demo's document.
pub const ACCOUNTS: [Account; 2] = [
    Account {
        name: "signwise",
        group: "handsign",
        key: HANDSIGN_KEY,
    },
    Account {
        name: "salon-anfa",
        group: "teinte",
        key: TEINTE_KEY,
    },
];

/// Price of each call, as in the demo's document.
pub const CALL_PRICES: [(&str, u64); 2] = [("status", 1), ("confirm", 5)];

/// Starts a fleet, sends the load, drains the fleet and reports.
///
/// # Errors
///
/// When the fleet cannot be started, or the audit cannot read what is left in the table.
pub fn run(plan: &Plan) -> Result<Report, Error> {
    let settings = settings(plan);
    let fleet = Fleet::start(&settings).map_err(|error| Error::new("fleet", error))?;
    if !fleet.wait_ready() {
        return Err(Error::new("fleet", "a router ended before it was ready"));
    }
    wait_slots(&fleet)?;
    let holders = holders(&fleet)?;
    let fault = fleet.platform.content().fault().clone();
    let before = fault.counters();
    let cpu = processor_seconds();
    let run = drive::drive(plan, &fleet)?;
    let cpu = processor_seconds().zip(cpu).map(|(end, start)| end - start);
    let after = fault.counters();
    let engines = fleet.engines.iter().map(|engine| engine.counters());
    let engines: Vec<engine::Counters> = engines.collect();
    let services = fleet.services.iter().map(|service| service.counters());
    let most_runs = services.map(|counters| counters.most_runs()).max();
    fault.set_down(false);
    let platform = fleet.stop();
    let services = product::connect(&platform.client_settings());
    let services = services.map_err(|error| Error::new("platform", error))?;
    let audit = audit::read(&*services.table, &holders, &run.records)?;
    let around = report::Around {
        processor_seconds: cpu,
        table_transactions: after.transactions - before.transactions,
        table_rows: after.writes - before.writes,
        table_reads: after.reads - before.reads,
        engines,
        most_runs: most_runs.unwrap_or(0),
    };
    Ok(report::make(plan, &run, &audit, &around))
}

/// Longest drain. All answers have come by then; a drain that is not done is told by the grants left.
const DRAIN_LIMIT_MS: u64 = 15_000;

fn settings(plan: &Plan) -> Settings {
    let pace = &plan.engine;
    let base = Settings::default();
    let engine = engine::Settings {
        base_step: Duration::from_micros(pace.base_step_us),
        step_per_stream: Duration::from_micros(pace.step_per_stream_us),
        prefill_per_token: Duration::from_micros(pace.prefill_per_token_us),
        max_batch: pace.max_batch,
        ..base.engine.clone()
    };
    Settings {
        routers: plan.routers,
        engines: plan.engines,
        engine,
        prepaid: plan.prepaid.clone(),
        timing: Timing {
            drain_limit_ms: DRAIN_LIMIT_MS,
            ..base.timing.clone()
        },
        ..base
    }
}

/// How long the routers may take to share all slots out.
const SLOTS_PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks at them.
const SLOTS_POLL: Duration = Duration::from_millis(50);

// Calls that may not be repeated are refused while a slot has no owner, which is not what is measured.
fn wait_slots(fleet: &Fleet) -> Result<(), Error> {
    let limit = Instant::now() + SLOTS_PATIENCE;
    while Instant::now() < limit {
        let mut held = 0;
        for router in &fleet.routers {
            held += state(router)?["slots"].as_u64().unwrap_or_default();
        }
        if held == u64::from(audit::SLOTS) {
            return Ok(());
        }
        std::thread::sleep(SLOTS_POLL);
    }
    Err(Error::new("fleet", "the slots did not all get an owner"))
}

/// The routers' names with their incarnations.
fn holders(fleet: &Fleet) -> Result<Vec<String>, Error> {
    let mut holders = Vec::new();
    for router in &fleet.routers {
        holders.extend(state(router)?["holder"].as_str().map(str::to_owned));
    }
    Ok(holders)
}

fn state(router: &Router) -> Result<Value, Error> {
    attohttpc::get(format!("http://{}/v1/state", router.operator_address()))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .send()
        .and_then(attohttpc::Response::json)
        .map_err(|error| Error::new("state of a router", error))
}

/// Ticks of `/proc/self/stat` in a second, on every Linux that this runs on.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time of this process: fleet, stand-ins and callers together. `None` where `/proc` is missing.
fn processor_seconds() -> Option<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    // The command's name, in parentheses, may hold spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Prepaid tokens of each group in this run.
pub fn prepaid(plan: &Plan) -> BTreeMap<String, Tokens> {
    let mut all = BTreeMap::new();
    for group in document::document(&[]).groups {
        let own = plan.prepaid.get(&*group.name).copied();
        all.insert(group.name.to_string(), own.unwrap_or(group.prepaid));
    }
    all
}
