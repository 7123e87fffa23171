//! The live state: budgets and instances from the table, refusals and backend servers from the instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{Range, Row};
use fescuewell_document::head::BUDGET_PREFIX;
use serde_json::Value;

use crate::http::session;
use crate::store::{MEMBER_PREFIX, Store};

/// Budgets on one page.
pub const BUDGETS_SHOWN: u32 = 200;
/// Most instances that are asked for their state.
const MOST_ASKED: usize = 64;
/// How many are asked at the same time.
const ASKED_AT_ONCE: usize = 8;
/// How long one instance may take to answer.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Largest answer that is read, in bytes.
const LARGEST_ANSWER: u64 = 1 << 20;

fescuewell_core::data! {
    /// One budget as the table has it.
    pub struct Budget {
        /// Name of the group.
        pub group: Arc<str>,
        /// Paid so far.
        pub prepaid: u64,
        /// Spent by holders that are closed.
        pub spent: u64,
        /// Allowed out to instances: partly spent, partly held, partly free at the instance.
        pub granted: u64,
        /// Not allowed out.
        pub free: u64,
    }

    /// One instance as it tells of itself.
    pub struct Instance {
        /// Its name.
        pub name: Arc<str>,
        /// Its row, with whatever fields its program writes.
        pub row: Value,
        /// What it answered when asked for its state; `None` when it was not asked.
        pub state: Option<Value>,
        /// Why it gave no state.
        pub problem: Option<Arc<str>>,
    }

    /// Everything on the page.
    pub struct State {
        /// Budgets, at most [`BUDGETS_SHOWN`].
        pub budgets: Vec<Budget>,
        /// Group to continue after, when there are more budgets.
        pub more_after: Option<Arc<str>>,
        /// Instances.
        pub instances: Vec<Instance>,
        /// Refusals by result code, summed over the instances that answered.
        pub refusals: BTreeMap<Arc<str>, u64>,
    }
}

/// Reads the state; `after` continues the list of budgets.
///
/// An instance that does not answer is listed with the reason and holds nothing up for longer than
/// a second.
///
/// # Errors
///
/// [`Code::StoreUnavailable`] when the table does not answer.
pub fn read(store: &Store, after: Option<&str>, token: Option<&str>) -> Result<State, Refusal> {
    let mut rows = store.scan(&Range {
        prefix: BUDGET_PREFIX.into(),
        after: after.map(|group| format!("{BUDGET_PREFIX}{group}").into()),
        limit: BUDGETS_SHOWN + 1,
    })?;
    let more = rows.len() > BUDGETS_SHOWN as usize;
    rows.truncate(BUDGETS_SHOWN as usize);
    let budgets: Vec<Budget> = rows.iter().filter_map(budget).collect();
    let last = budgets.last().map(|budget| budget.group.clone());
    let members = store.scan(&Range::prefix(MEMBER_PREFIX))?;
    let instances = ask_all(&members, token);
    Ok(State {
        refusals: refusals(&instances),
        budgets,
        more_after: last.filter(|_| more),
        instances,
    })
}

fn budget(row: &Row) -> Option<Budget> {
    let value: Value = serde_json::from_slice(&row.value).ok()?;
    let prepaid = value["prepaid"].as_u64()?;
    let spent = value["spent"].as_u64().unwrap_or(0);
    let grants = value["grants"].as_object();
    let granted = grants.map_or(0, |grants| {
        let amounts = grants.values().filter_map(|g| g["granted"].as_u64());
        amounts.sum()
    });
    Some(Budget {
        group: row.key.strip_prefix(BUDGET_PREFIX)?.into(),
        prepaid,
        spent,
        granted,
        free: prepaid.saturating_sub(spent).saturating_sub(granted),
    })
}

/// Asks the instances for their state, a few at a time.
fn ask_all(members: &[Row], token: Option<&str>) -> Vec<Instance> {
    let (jobs, inbox) = flume::bounded::<(usize, &Row)>(members.len().max(1));
    let (outbox, results) = flume::bounded(members.len().max(1));
    for job in members.iter().enumerate() {
        let _ = jobs.send(job);
    }
    drop(jobs);
    std::thread::scope(|scope| {
        for _ in 0..ASKED_AT_ONCE.min(members.len()) {
            let (inbox, outbox) = (inbox.clone(), outbox.clone());
            scope.spawn(move || {
                for (index, row) in inbox {
                    let _ = outbox.send((index, instance(row, token, index < MOST_ASKED)));
                }
            });
        }
    });
    drop(outbox);
    let mut answers: Vec<(usize, Instance)> = results.into_iter().collect();
    answers.sort_by_key(|(index, _)| *index);
    answers.into_iter().map(|(_, instance)| instance).collect()
}

fn instance(row: &Row, token: Option<&str>, asked: bool) -> Instance {
    let name = row.key.strip_prefix(MEMBER_PREFIX).unwrap_or(&row.key);
    let content: Value = serde_json::from_slice(&row.value).unwrap_or(Value::Null);
    let address = content["operator_address"].as_str();
    let address = address.and_then(|text| text.parse::<SocketAddr>().ok());
    let answer = match address {
        Some(address) if asked && content["state"] != "gone" => Some(ask(address, token)),
        _ => None,
    };
    let (state, problem) = match answer {
        Some(Ok(state)) => (Some(state), None),
        Some(Err(problem)) => (None, Some(problem)),
        None => (None, None),
    };
    Instance {
        name: name.into(),
        row: content,
        state,
        problem,
    }
}

fn ask(address: SocketAddr, token: Option<&str>) -> Result<Value, Arc<str>> {
    let mut request = session(ANSWER_TIME).get(format!("http://{address}/v1/state"));
    if let Some(token) = token {
        request = request.bearer_auth(token);
    }
    let text = |error: attohttpc::Error| Arc::<str>::from(error.to_string());
    let response = request.send().map_err(text)?;
    if !response.is_success() {
        return Err(format!("status {}", response.status()).into());
    }
    let (_, _, reader) = response.split();
    let bounded = std::io::Read::take(reader, LARGEST_ANSWER);
    serde_json::from_reader(bounded).map_err(|error| error.to_string().into())
}

/// Sums `{"refusals": {"2001": 5, ...}}` over all answers.
fn refusals(instances: &[Instance]) -> BTreeMap<Arc<str>, u64> {
    let mut sums = BTreeMap::new();
    for instance in instances {
        let counts = instance
            .state
            .as_ref()
            .and_then(|s| s["refusals"].as_object());
        for (code, count) in counts.into_iter().flatten() {
            *sums.entry(Arc::from(code.as_str())).or_insert(0) += count.as_u64().unwrap_or(0);
        }
    }
    sums
}
