//! Orders to load, unload or change role, and the controls of tests.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use fescuewell_http::listener;
use fescuewell_http::upstream::{Client, Target, Timeouts};
use http::HeaderMap;
use serde::Deserialize;
use serde_json::{Value, json};

use super::problem::Problem;
use super::prompt::{header, parse_json};
use super::{Control, Core};

/// An order as sent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct Order {
    /// The sender's epoch; the header counts if both are there.
    epoch: Option<u64>,
    action: Action,
    model: Option<Arc<str>>,
    role: Option<Arc<str>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Action {
    Load,
    Unload,
    Role,
}

/// Carries out an order.
pub(super) fn order(core: &Arc<Core>, headers: &HeaderMap, body: &[u8]) -> Result<Value, Problem> {
    let order = parse_json(body)?;
    let order: Order =
        serde_json::from_value(order).map_err(|error| Problem::invalid(error.to_string()))?;
    let number = fencing_number(&order, headers)?;
    let mut state = core.state();
    let state = &mut *state;
    if let Err(problem) = state.models.fence(number, core.settings.fencing) {
        state.batch.counters.stale_orders += 1;
        return Err(problem);
    }
    match (order.action, order.model, order.role) {
        (Action::Load, Some(model), _) => {
            let room = core.settings.model_room;
            if let Some(load) = state.models.begin_load(&model, room)? {
                listener::spawn(load_model(core.clone(), model, load));
            }
        }
        (Action::Unload, Some(model), _) => state.models.unload(&model),
        (Action::Role, _, Some(role)) => state.models.set_role(role),
        _ => return Err(Problem::invalid("the order lacks its model or role")),
    }
    state.batch.counters.orders += 1;
    Ok(json!({"accepted": true, "fencing_number": number}))
}

fn fencing_number(order: &Order, headers: &HeaderMap) -> Result<u64, Problem> {
    let Some(text) = header(headers, "x-fencing-token") else {
        let missing = || Problem::invalid("the order has no fencing number");
        return order.epoch.ok_or_else(missing);
    };
    text.parse()
        .map_err(|_| Problem::invalid("X-Fencing-Token is not a number"))
}

async fn load_model(core: Arc<Core>, model: Arc<str>, load: u64) {
    let outcome = fetch(&core, &model).await;
    let mut state = core.state();
    state.models.end_load(&model, load, outcome);
}

/// Fetches the weights, or takes the time of a load where there is no weight store.
async fn fetch(core: &Core, model: &str) -> Result<(), Arc<str>> {
    let Some(address) = core.settings.weight_store else {
        tokio::time::sleep(core.settings.load_time).await;
        return Ok(());
    };
    let mut request = http::Request::get(format!("/weights/{model}"));
    if let Some(token) = &core.settings.weight_store_token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let request = request
        .body(Bytes::new())
        .map_err(|error| error.to_string())?;
    let client = Client::default();
    let sent = client
        .open(&Target::new(address), request, Timeouts::default())
        .await;
    let mut exchange = sent.map_err(|error| error.to_string())?;
    if exchange.status != http::StatusCode::OK {
        return Err(format!("the weight store answered {}", exchange.status).into());
    }
    // The bytes themselves are of no use here; that they all came is.
    while let Some(chunk) = exchange.next_chunk().await {
        chunk.map_err(|error| error.to_string())?;
    }
    Ok(())
}

/// Applies a control of a test.
pub(super) fn control(core: &Core, control: &Control) {
    let mut state = core.state();
    merge(&mut state.control, control);
    if let Some(factor) = control.slow_factor {
        state.batch.slow_factor = factor.max(0.0);
    }
    if let Some(loss) = control.cache_event_loss {
        state.batch.cache.set_loss(loss);
    }
    if control.clear_cache {
        state.batch.cache.shrink(0, Instant::now());
    }
    drop(state);
    let opened = core.connections.load(Ordering::SeqCst);
    core.cutoff.send_modify(|cutoff| {
        if control.drop_connections {
            cutoff.dropped = opened;
        }
        if control.silence_connections {
            cutoff.silenced = opened;
        }
    });
    if let Some(silent) = control.silent {
        core.silence.send_replace(silent);
    }
    core.wake.notify_one();
}

fn merge(current: &mut Control, change: &Control) {
    fn set<Value>(current: &mut Option<Value>, change: Option<Value>) {
        if change.is_some() {
            *current = change;
        }
    }
    set(&mut current.freeze, change.freeze);
    set(&mut current.slow_factor, change.slow_factor);
    set(&mut current.refuse, change.refuse);
    set(&mut current.leaving, change.leaving);
    set(&mut current.silent, change.silent);
    set(&mut current.silent_inside_event, change.silent_inside_event);
    set(&mut current.drop_after_tokens, change.drop_after_tokens);
    set(&mut current.lose_replies, change.lose_replies);
    set(&mut current.report_lag_ms, change.report_lag_ms);
    set(&mut current.cache_event_lag_ms, change.cache_event_lag_ms);
    set(&mut current.cache_event_loss, change.cache_event_loss);
}
