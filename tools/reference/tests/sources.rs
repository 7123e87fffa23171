//! Checks that decision crates do not read the time of day or name a deployment.

use std::fs;
use std::path::{Path, PathBuf};

/// Crates that make decisions. They receive the time as an argument.
const DECISION_CRATES: [&str; 10] = [
    "budget",
    "claims",
    "document",
    "forward",
    "gateway",
    "membership",
    "node",
    "placement",
    "queue",
    "routing",
];
/// Names of deployments, of their locations and request types, and of the benchmark. A policy that refers to one of them is
/// fitted to it.
const DEPLOYMENT_NAMES: [&str; 14] = [
    "pilgerpass",
    "hcq-",
    "teinte",
    "bayern",
    "casa-",
    "bne-",
    "fleetbench",
    "case-brief",
    "match-draft",
    "route-summary",
    "pilgrim-letter",
    "correction-card",
    "stamp-register",
    "passport-lookup",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn sources(directory: &Path, found: &mut Vec<(PathBuf, String)>) {
    for entry in fs::read_dir(directory).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, found);
            continue;
        }
        if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).expect("a source can be read");
            found.push((path, text));
        }
    }
}

fn crate_sources(name: &str) -> Vec<(PathBuf, String)> {
    let mut found = Vec::new();
    sources(&root().join("crates").join(name).join("src"), &mut found);
    found
}

/// Guards against decisions based on the time of day instead of a monotonic clock: when the time of day jumps, an instance
/// would follow a decision that is seconds old or drop a fresh one.
#[test]
fn nothing_that_decides_reads_the_time_of_day() {
    for name in DECISION_CRATES {
        let found = crate_sources(&format!("fescuewell_{name}"));
        assert!(!found.is_empty(), "{name} has no sources");
        for (path, text) in found {
            assert!(!text.contains("SystemTime"), "{}", path.display());
        }
    }
}

/// The demo and the load tool may name their sample deployments; decision crates and the adapter may not.
#[test]
fn no_decision_names_a_deployment() {
    let mut found = Vec::new();
    for name in DECISION_CRATES {
        found.extend(crate_sources(&format!("fescuewell_{name}")));
    }
    sources(&root().join("platform/src"), &mut found);

    for (path, text) in &found {
        let text = text.to_lowercase();
        let named = DEPLOYMENT_NAMES.iter().find(|name| text.contains(**name));
        assert_eq!(named, None, "{}", path.display());
    }
    assert!(
        found.len() > DECISION_CRATES.len(),
        "the sources were not found"
    );
}
