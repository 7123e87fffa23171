//! Retries of a whole fleet while some or all backend servers are silent, as counts.

mod silent_fleet;

use silent_fleet::{Fleet, Outage, RATIO, Rule, SLACK, SUBSET, Scale, Silent};

/// 985 instances, each with the load of its share.
const LARGE: Scale = Scale {
    instances: 985,
    requests_per_second: 27_000,
    servers: 12_000,
};
/// 9 instances with the same load each.
const SMALL: Scale = Scale {
    instances: 9,
    requests_per_second: 247,
    servers: 112,
};
/// 9 instances with the load of the large fleet.
const NARROW: Scale = Scale {
    instances: 9,
    ..LARGE
};

/// One silence after another, closer together than the window of the budget.
fn outages() -> Vec<Outage> {
    let mut outages = Vec::new();
    for silent in [Silent::Zone, Silent::Share60, Silent::All] {
        for silence_ms in [1_200, 3_000] {
            outages.push(Outage { silent, silence_ms });
        }
    }
    outages
}

/// Guards against a silence of many servers that sends a retry for each of their streams: every window of the
/// budget has at most the allowed part, from the first silence to the end of the last.
#[test]
fn retries_stay_within_the_budget_of_the_fleet() {
    for scale in [SMALL, NARROW, LARGE] {
        let mut fleet = Fleet::new(scale, Rule::Any);

        for outage in outages() {
            fleet.play(outage);
        }

        for window in fleet.windows() {
            let allowed = RATIO * window.requests as f64 + SLACK;
            assert!(window.retries as f64 <= allowed, "{scale:?}: {window:?}");
        }
        assert!(fleet.retries() > 0, "{scale:?}");
    }
}

/// Guards against servers that are left and get the load of the silent ones on top of their own: within one
/// silence, a server gets at most as many more as half of what it works on.
#[test]
fn the_servers_that_are_left_get_little_more() {
    for scale in [SMALL, LARGE] {
        let in_flight = scale.in_flight_per_server();
        for outage in outages() {
            let mut fleet = Fleet::new(scale, Rule::Any);

            let extra = fleet.play(outage);

            assert!(extra.most <= in_flight / 2, "{outage:?}: {extra:?}");
            assert!(
                extra.at_once <= scale.retries_per_window(),
                "{outage:?}: {extra:?}"
            );
        }
    }
}

/// Guards against a fleet whose instances, with the same load each, retry more for being many.
#[test]
fn an_instance_retries_as_much_in_a_large_fleet_as_in_a_small_one() {
    for outage in outages() {
        let per_instance = |scale: Scale| {
            let extra = Fleet::new(scale, Rule::Any).play(outage);
            extra.total as f64 / scale.instances as f64
        };

        let (small, large) = (per_instance(SMALL), per_instance(LARGE));

        // The fixed allowance is divided among the instances.
        let allowance = SLACK / SMALL.instances as f64;
        assert!(large <= small, "{outage:?}: {large} of {small}");
        assert!(
            small - large <= allowance + 1.0,
            "{outage:?}: {large} of {small}"
        );
    }
}

/// Guards against retries at servers that are as silent, and against a record of them that grows with the
/// fleet or with the streams.
#[test]
fn servers_that_were_not_heard_get_no_retry() {
    for scale in [SMALL, LARGE] {
        for outage in outages() {
            let mut fleet = Fleet::new(scale, Rule::Heard);

            let heard = fleet.play(outage);

            assert!(fleet.entries() <= SUBSET.min(scale.servers));
            assert!(heard.most <= scale.in_flight_per_server() / 2, "{outage:?}");
            match outage.silent {
                Silent::All => assert_eq!(heard.total, 0),
                Silent::Zone | Silent::Share60 => assert!(heard.total > 0),
            }
            assert_eq!(heard.silent, 0, "{scale:?} {outage:?}: {heard:?}");
        }
    }
}
