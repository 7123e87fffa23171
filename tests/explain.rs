//! Tests of `fescuewell explain`, which prints the log lines of one request.

use std::process::Command;

/// Log lines of a stream, of the attempt that takes it up, and of another request.
const LOG: &str = r#"{"time":"2026-05-30T10:35:01.000Z","title":"route.chosen","request":"r-1","software":"v1"}
{"time":"2026-05-30T10:35:01.500Z","title":"route.chosen","request":"r-9","software":"v2"}
{"time":"2026-05-30T10:35:02.000Z","title":"stream.taken_up","request":"r-2","resumes":"r-1","software":"v1"}
{"time":"2026-05-30T10:35:02.100Z","title":"route.chosen","request":"r-2","resumes":"r-1","software":"v1"}
{"time":"2026-05-30T10:35:02.900Z","title":"request.done","request":"r-2","outcome":"whole"}
"#;

/// Guards against a stream whose second half is missing from the story of its first attempt.
#[test]
fn the_attempts_that_take_up_a_stream_are_explained_with_it() {
    let path = std::env::temp_dir().join(format!("fescuewell-explain-{}.log", std::process::id()));
    std::fs::write(&path, LOG).unwrap();

    let output = Command::new(env!("CARGO_BIN_EXE_fescuewell"))
        .args(["explain", "r-1"])
        .arg(&path)
        .output()
        .unwrap();

    std::fs::remove_file(path).unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let own = text.lines().filter(|line| line.starts_with('*'));
    assert_eq!(own.count(), 4, "{text}");
    assert!(!text.contains("v2"), "{text}");
}
