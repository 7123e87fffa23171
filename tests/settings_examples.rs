//! The settings files under `examples/settings` pass `fescuewell check`.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Exit code for settings that do not pass their checks.
const EXIT_INVALID: i32 = 3;

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("examples/settings")
        .join(name)
}

fn check(file: &PathBuf) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fescuewell"))
        .arg("check")
        .arg(file)
        .output()
        .expect("the program runs")
}

fn assert_valid(name: &str, kind: &str) {
    let file = example(name);

    let output = check(&file);

    let text = String::from_utf8_lossy(&output.stdout);
    let faults = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{faults}");
    assert!(text.contains(&format!("a valid {kind} file")), "{text}");
}

#[test]
fn the_routers_example_is_valid() {
    assert_valid("router.json", "router");
}

#[test]
fn the_consoles_example_is_valid() {
    assert_valid("console.json", "console");
}

#[test]
fn the_documents_example_is_valid() {
    assert_valid("document.json", "document");
}

// Symptom: an instance runs with a default although the operator set the value.
// Sequence: a key is misspelt; the file is read all the same.
// Cause: unknown keys that are skipped in silence.
#[test]
fn a_misspelt_key_is_refused_with_its_line_and_the_nearest_name() {
    let text = std::fs::read_to_string(example("router.json")).expect("the example is there");
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("misspelt.json");
    let misspelt = text.replace("\"lease_ms\"", "\"leese_ms\"");
    let line = 1 + misspelt
        .lines()
        .position(|line| line.contains("leese_ms"))
        .expect("the key was there");
    std::fs::write(&file, &misspelt).expect("the copy is written");

    let output = check(&file);

    let faults = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(EXIT_INVALID), "{faults}");
    assert!(faults.contains("lease_ms"), "{faults}");
    assert!(faults.contains(&format!(":{line}:")), "{faults}");
}
