//! Checks the settings files under `examples/settings` with `fescuewell check`.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Exit code of `fescuewell check` for invalid settings.
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
        .expect("the binary should run")
}

fn assert_valid(name: &str, kind: &str) {
    let file = example(name);

    let output = check(&file);

    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
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

// Guards against silently ignored unknown keys: with a misspelt key, an instance would run with the default although
// the operator set a value.
#[test]
fn a_misspelt_key_is_refused_with_its_line_and_the_nearest_name() {
    let text =
        std::fs::read_to_string(example("router.json")).expect("the example should be readable");
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("misspelt.json");
    let misspelt = text.replace("\"lease_ms\"", "\"leese_ms\"");
    let line = 1 + misspelt
        .lines()
        .position(|line| line.contains("leese_ms"))
        .expect("the example should contain the key");
    std::fs::write(&file, &misspelt).expect("the copy should be written");

    let output = check(&file);

    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(EXIT_INVALID), "{errors}");
    assert!(errors.contains("lease_ms"), "{errors}");
    assert!(errors.contains(&format!(":{line}:")), "{errors}");
}
