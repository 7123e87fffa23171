//! What the log files tell of requests that were not served.

use std::path::PathBuf;
use std::process::{Command, Output};

const LOG: &str = r#"  collector {"time":"2026-05-30T10:35:00.000Z","title":"process.ready"}
{"time":"2026-05-30T10:35:01.000Z","title":"route.chosen","request":"r-1","account":"group"}
{"time":"2026-05-30T10:35:01.100Z","title":"request.done","request":"r-1","outcome":"whole"}
{"time":"2026-05-30T10:35:02.000Z","title":"route.refused","request":"r-2","account":"group","cause":"BudgetUnknown"}
{"time":"2026-05-30T10:35:09.000Z","title":"route.refused","request":"r-3","account":"other","cause":"BudgetUnknown"}
{"time":"2026-05-30T10:35:09.500Z","title":"route.chosen","request":"r-4","account":"group"}
{"time":"2026-05-30T10:35:09.900Z","title":"request.done","request":"r-4","outcome":"caller_gone"}
{"time":"2026-05-30T10:35:10.000Z","title":"allowance.reclaimed","recorded":"100","charged":"150"}
half a line {"time":
"#;

fn run(name: &str, arguments: &[&str]) -> Output {
    let path: PathBuf =
        std::env::temp_dir().join(format!("fescuewell-{name}-{}.log", std::process::id()));
    std::fs::write(&path, LOG).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_fescuewell"))
        .arg("losses")
        .args(arguments)
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(path).unwrap();
    output
}

#[test]
fn losses_are_counted_by_cause_and_time() {
    let output = run("losses", &[]);

    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<Vec<&str>> = text
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(lines[0], ["answered", "1"]);
    assert_eq!(lines[1][..2], ["BudgetUnknown", "2"]);
    assert_eq!(lines[2], ["0s:1", "8s:1"]);
    assert_eq!(lines[3], ["CallerGone", "1", "account", "group", "1"]);
    assert_eq!(
        text.lines().last(),
        Some("tokens charged at restarts 150, of them recorded 100")
    );
}

#[test]
fn a_span_of_nothing_is_refused() {
    let output = run("span", &["--span", "0"]);

    assert_eq!(output.status.code(), Some(2));
}
