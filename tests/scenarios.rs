//! Scripted scenarios with real router processes. Each file under `tests/scenarios` is one scenario.
//!
//! A script starts routers, sends requests, cuts connections, kills processes and states the expected results. The
//! `audit` at its end drains the processes that still run and compares what callers received, what backend servers
//! ran and what was billed. Run one with `cargo test --test scenarios NAME`.

mod scenario;

use scenario::runner::Runner;

macro_rules! scenarios {
    ($($name:ident),* $(,)?) => {
        $(
            #[test]
            fn $name() {
                let path = concat!("tests/scenarios/", stringify!($name));
                goldenscript::run(&mut Runner::default(), path).expect("the scenario file should be readable");
            }
        )*
    };
}

scenarios!(
    whole_path,
    repeated_confirmation,
    budget_runs_out,
    router_killed_mid_stream,
    router_drained,
    router_paused_past_its_lease,
    table_down,
    engine_connection_breaks,
    engine_connection_goes_silent,
    engine_leaves,
    confirmation_reply_lost,
    everything_restarts,
    operators_race,
    fleet_of_nine,
    router_killed_while_table_is_down,
    router_cut_off_from_the_platform,
    router_killed_while_another_drains,
    table_replies_lost,
    service_dead,
    service_refuses_connections,
    topup_while_a_router_is_cut_off,
    routers_restarted_one_by_one,
    confirmation_at_a_paused_router,
);
