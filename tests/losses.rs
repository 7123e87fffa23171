//! Tests of `fescuewell losses`, which reports from log files the requests that were not served.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Log lines of served, refused and abandoned requests, with a collector's prefix and a truncated line.
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

/// Runs `fescuewell losses` with a file that contains `log`.
fn run(name: &str, arguments: &[&str], log: &str) -> Output {
    let path: PathBuf =
        std::env::temp_dir().join(format!("fescuewell-{name}-{}.log", std::process::id()));
    std::fs::write(&path, log).unwrap();
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
    let output = run("losses", &[], LOG);

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

/// Guards against tokens that are missing from the sums: requests whose callers disconnected were charged without a
/// log line, so an account's log lines summed to 13.97 million tokens while its row showed 15.96 million.
#[test]
fn tokens_of_requests_without_an_answer_are_told() {
    let log = concat!(
        r#"{"time":"2026-05-30T10:35:01.100Z","title":"request.done","request":"r-1","outcome":"whole","tokens":"700"}"#,
        "\n",
        r#"{"time":"2026-05-30T10:35:02.000Z","title":"tokens.charged","request":"r-2","account":"group","tokens":"120"}"#,
        "\n",
    );

    let output = run("charged", &[], log);

    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("tokens of answers 700, of requests without one 120"));
}

/// Guards against logs that do not tell which part of their prompts the requests share under which servers crash.
#[test]
fn parts_that_were_running_at_several_crashes_are_told() {
    let crash = |server: &str, requests: &str, parts: &str| {
        format!(
            r#"{{"time":"2026-05-30T10:35:01.100Z","title":"server.crashed","server":"{server}","fingerprints":"{requests}","parts":"{parts}"}}"#
        )
    };
    let log = [
        crash("i-1", "f1", "a1,5c1e07a2"),
        crash("i-2", "f2", "5c1e07a2,b3"),
        crash("i-3", "f3", "c4,5c1e07a2"),
    ];

    let output = run("parts", &[], &log.join("\n"));

    let text = String::from_utf8(output.stdout).unwrap();
    assert!(
        text.contains("part 5c1e07a2 was running at 3 of them"),
        "{text}"
    );
    assert!(!text.contains("request f1"), "{text}");
}

#[test]
fn a_span_of_nothing_is_refused() {
    let output = run("span", &["--span", "0"], LOG);

    assert_eq!(output.status.code(), Some(2));
}

/// Log lines of three accounts: one whose tokens are granted to two instances (`rich`), one that is exhausted (`poor`)
/// and one whose tokens are mostly granted to no instance (`free`).
const TOKENS: &str = r#"1.0 entry-1 {"time":"2026-05-30T10:35:00.000Z","title":"allowance.drawn","account":"rich","granted":"400","prepaid":"1000"}
1.0 entry-2 {"time":"2026-05-30T10:35:00.000Z","title":"allowance.drawn","account":"rich","granted":"500","prepaid":"1000"}
1.0 entry-1 {"time":"2026-05-30T10:35:00.000Z","title":"allowance.drawn","account":"poor","granted":"100","prepaid":"100"}
1.0 entry-1 {"time":"2026-05-30T10:35:00.000Z","title":"allowance.drawn","account":"free","granted":"10","prepaid":"100"}
1.0 entry-1 {"time":"2026-05-30T10:35:01.000Z","title":"route.chosen","request":"r-1","account":"poor"}
1.0 entry-1 {"time":"2026-05-30T10:35:01.100Z","title":"request.done","request":"r-1","outcome":"whole","tokens":"97"}
1.0 entry-1 {"time":"2026-05-30T10:35:02.000Z","title":"route.refused","request":"r-2","account":"rich","cause":"BudgetUnknown"}
1.0 entry-1 {"time":"2026-05-30T10:35:02.000Z","title":"route.refused","request":"r-3","account":"rich","cause":"BudgetUnknown"}
1.0 entry-1 {"time":"2026-05-30T10:35:02.000Z","title":"route.refused","request":"r-4","account":"rich","cause":"BudgetUnknown"}
1.0 entry-1 {"time":"2026-05-30T10:35:02.000Z","title":"route.refused","request":"r-5","account":"poor","cause":"BudgetExhausted"}
1.0 entry-1 {"time":"2026-05-30T10:35:02.000Z","title":"route.refused","request":"r-6","account":"poor","cause":"BudgetUnknown"}
1.0 entry-1 {"time":"2026-05-30T10:35:02.000Z","title":"route.refused","request":"r-7","account":"free","cause":"BudgetUnknown"}
"#;

#[test]
fn accounts_tell_where_the_missing_tokens_were() {
    let output = run("accounts", &["--accounts", "5"], TOKENS);

    let text = String::from_utf8(output.stdout).unwrap();
    let accounts: Vec<&str> = text.lines().rev().take(3).collect();
    assert_eq!(
        accounts,
        [
            "free 1 0 100 10 0 0 1 nobody held them",
            "poor 1 1 100 100 97 0 1 exhausted",
            "rich 3 0 1000 900 0 0 2 stood elsewhere",
        ]
    );
}

/// Guards against counting tokens as granted that their holder has returned: 18.1 million were
/// printed as granted of an account with 8.5 million. The files may be read in any order.
#[test]
fn granted_is_the_sum_of_the_last_known_grants() {
    let log = concat!(
        r#"1.0 entry-1 {"time":"2026-05-30T10:35:00.000Z","title":"allowance.drawn","account":"group","granted":"900","prepaid":"1000"}"#,
        "\n",
        r#"1.0 entry-1 {"time":"2026-05-30T10:35:01.000Z","title":"allowance.returned","account":"group","granted":"100","prepaid":"1000"}"#,
        "\n",
        r#"1.0 entry-2 {"time":"2026-05-30T10:35:04.000Z","title":"allowance.drawn","account":"group","granted":"300","prepaid":"1000"}"#,
        "\n",
        r#"1.0 entry-2 {"time":"2026-05-30T10:35:02.000Z","title":"allowance.drawn","account":"group","granted":"800","prepaid":"1000"}"#,
        "\n",
        r#"1.0 entry-3 {"time":"2026-05-30T10:35:02.000Z","title":"allowance.drawn","account":"group","granted":"250","prepaid":"1000"}"#,
        "\n",
        r#"1.0 entry-3 {"time":"2026-05-30T10:35:05.000Z","title":"allowance.reclaimed","account":"group","recorded":"10","charged":"20","granted":"50"}"#,
        "\n",
        r#"1.0 entry-1 {"time":"2026-05-30T10:35:06.000Z","title":"route.refused","request":"r-1","account":"group","cause":"BudgetUnknown"}"#,
        "\n",
    );

    let output = run("granted", &["--accounts", "5"], log);

    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(
        text.lines().last(),
        Some("group 1 0 1000 450 0 0 3 nobody held them")
    );
}

#[test]
fn requests_that_were_running_at_several_crashes_are_named() {
    let log = concat!(
        r#"{"time":"2026-05-30T10:35:01.000Z","title":"server.crashed","server":"i-1","fingerprints":"aa,bb"}"#,
        "\n",
        r#"{"time":"2026-05-30T10:35:01.010Z","title":"server.crashed","server":"i-1","fingerprints":"aa"}"#,
        "\n",
        r#"{"time":"2026-05-30T10:35:02.000Z","title":"server.crashed","server":"i-2","fingerprints":"cc,aa"}"#,
        "\n",
    );

    let output = run("crashes", &[], log);

    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("servers crashed 2\n  request aa was running at 2 of them\n"));
    assert!(!text.contains("request bb"));
}

/// Returns the last lines of the report on a log with these titles and fields, each a tenth of a second after the one
/// before.
fn report(name: &str, lines: &[(&str, &str)], count: usize) -> Vec<String> {
    let mut log = String::new();
    for (number, (title, fields)) in lines.iter().enumerate() {
        log.push_str(&format!(
            r#"{{"time":"2026-05-30T10:35:01.{number}00Z","title":"{title}""#
        ));
        for field in fields.split_whitespace() {
            let (key, value) = field.split_once('=').unwrap();
            log.push_str(&format!(r#","{key}":"{value}""#));
        }
        log.push_str("}\n");
    }
    let output = run(name, &[], &log);
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<String> = text.lines().map(str::to_owned).collect();
    lines[lines.len() - count..].to_vec()
}

/// Guards against cut streams that are counted as one cause, so that a change of the configuration that ends streams
/// looks like servers that break off.
#[test]
fn cut_streams_are_counted_by_who_ended_them_and_by_changes() {
    let lines = [
        (
            "stream.cut",
            "by=instance cause=silent then=NoServer server=i-1 silent_ms=1251 configuration_age_ms=812",
        ),
        (
            "stream.cut",
            "by=server cause=broken then=- server=i-3 silent_ms=4 configuration_age_ms=2999",
        ),
        (
            "stream.cut",
            "by=instance cause=silent then=NoServer server=i-1 silent_ms=1250 configuration_age_ms=3000",
        ),
        (
            "stream.cut",
            "by=caller cause=left then=- server=i-4 silent_ms=4 configuration_age_ms=90000",
        ),
    ];

    let report = report("cuts", &lines, 5);

    assert_eq!(
        report,
        [
            "tokens charged at restarts 0, of them recorded 0",
            "streams cut 4, of them within 3 s after a change of the configuration 2",
            "  by instance, cause silent, then NoServer 2, of them after a change 1",
            "  by caller, cause left, then - 1, of them after a change 0",
            "  by server, cause broken, then - 1, of them after a change 1",
        ]
    );
}

/// Guards against a service whose servers all pause at once and look like single slow servers.
#[test]
fn servers_that_were_silent_together_are_named() {
    let lines = [
        ("attempt.silent", "server=i-1 silent_ms=1250 decision=wait"),
        (
            "attempt.silent",
            "server=i-2 silent_ms=1250 decision=second",
        ),
        ("attempt.overtaken", "server=i-3 by=i-5 silent_ms=1300"),
        ("attempt.silent", "server=i-3 silent_ms=1250 decision=wait"),
        ("attempt.silent", "server=i-6 silent_ms=0 decision=wait"),
        // These silences begin when the first ones have ended.
        ("attempt.silent", "server=i-4 silent_ms=50 decision=wait"),
        (
            "stream.cut",
            "by=server cause=broken then=- server=i-5 silent_ms=499 configuration_age_ms=9000",
        ),
    ];

    let together = report("together", &lines, 1);
    let alone = report("alone", &lines[2..6], 1);

    assert_eq!(together, ["servers silent at the same time 3: i-1 i-2 i-3"]);
    assert_eq!(alone, ["tokens charged at restarts 0, of them recorded 0"]);
}
