//! The step loop: one thread that drives the batch in real time.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fescuewell_http::listener;

use super::Core;
use super::batch::Plan;

/// Time between two looks when there is nothing to do; also the pace of load reports then.
const IDLE_PERIOD: Duration = Duration::from_millis(20);

/// Time between two looks for responses to pause or forget.
const TIDY_PERIOD: Duration = Duration::from_millis(50);

/// Starts the loop's thread.
pub(super) fn start(core: Arc<Core>) -> Result<JoinHandle<()>, listener::Error> {
    let wrap = |source| listener::Error::Thread { source };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .map_err(wrap)?;
    std::thread::Builder::new()
        .name(format!("{}-step", core.settings.name))
        .spawn(move || runtime.block_on(run(&core)))
        .map_err(wrap)
}

async fn run(core: &Core) {
    let mut due = Instant::now();
    let mut tidied = due;
    loop {
        let now = Instant::now();
        if core.state().stopped {
            return;
        }
        if now.saturating_duration_since(tidied) >= TIDY_PERIOD.min(core.settings.detached) {
            core.state().batch.tidy(&core.settings, now);
            tidied = now;
        }
        let Some(plan) = plan(core, now) else {
            let _ = tokio::time::timeout(IDLE_PERIOD, core.wake.notified()).await;
            due = Instant::now();
            continue;
        };
        // Steps follow one another without drift unless the thread itself was late by more than a step.
        due = (due + plan.duration).max(now);
        tokio::time::sleep_until(due.into()).await;
        finish(core, &plan);
    }
}

fn plan(core: &Core, now: Instant) -> Option<Plan> {
    let mut state = core.state();
    let state = &mut *state;
    state
        .reports
        .take(&state.batch, core.settings.report_period, now);
    if state.control.freeze == Some(true) {
        return None;
    }
    state.batch.plan(&core.settings, now)
}

fn finish(core: &Core, plan: &Plan) {
    let mut state = core.state();
    // Frozen while the step was under way: its tokens come after the thaw, with the next step.
    if state.control.freeze == Some(true) {
        return;
    }
    state.batch.finish(plan, &core.settings, Instant::now());
}
