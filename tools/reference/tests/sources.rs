//! What the sources may not say.

use std::fs;
use std::path::{Path, PathBuf};

/// Crates that decide: time comes to them as an argument.
const DECIDING: [&str; 10] = [
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
/// Names of deployments, of their places and kinds of request, and of the bench. A policy that knows one of them fits it.
const DEPLOYMENTS: [&str; 14] = [
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

/// Symptom: an instance went on with a decision that was seconds old, or dropped one that was fresh. Sequence: the time of day of
/// its machine jumps. Cause: a decision that went by the time of day instead of a steady clock.
#[test]
fn nothing_that_decides_reads_the_time_of_day() {
    for name in DECIDING {
        let found = crate_sources(&format!("fescuewell_{name}"));
        assert!(!found.is_empty(), "{name} has no sources");
        for (path, text) in found {
            assert!(!text.contains("SystemTime"), "{}", path.display());
        }
    }
}

/// The demo and the load tool may name their samples; what decides, and the adapter, may not.
#[test]
fn no_decision_names_a_deployment() {
    let mut found = Vec::new();
    for name in DECIDING {
        found.extend(crate_sources(&format!("fescuewell_{name}")));
    }
    sources(&root().join("platform/src"), &mut found);

    for (path, text) in &found {
        let text = text.to_lowercase();
        let named = DEPLOYMENTS.iter().find(|name| text.contains(**name));
        assert_eq!(named, None, "{}", path.display());
    }
    assert!(found.len() > DECIDING.len(), "the sources were not found");
}
