//! Tests of `fescuewell explain`, which prints the log lines of one request.

use std::process::Command;

/// Log lines of a stream, of the attempt that takes it up, and of another request.
const LOG: &str = r#"{"time":"2026-05-30T10:35:01.000Z","title":"route.chosen","request":"r-1","software":"v1"}
{"time":"2026-05-30T10:35:01.500Z","title":"route.chosen","request":"r-9","software":"v2"}
{"time":"2026-05-30T10:35:02.000Z","title":"stream.taken_up","request":"r-2","resumes":"r-1","software":"v1"}
{"time":"2026-05-30T10:35:02.100Z","title":"route.chosen","request":"r-2","resumes":"r-1","software":"v1"}
{"time":"2026-05-30T10:35:02.900Z","title":"request.done","request":"r-2","outcome":"whole"}
"#;

/// Returns what `fescuewell explain r-1` prints for a file that contains `log`.
fn explain(name: &str, log: &str) -> String {
    let file = format!("fescuewell-explain-{name}-{}.log", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, log).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_fescuewell"))
        .args(["explain", "r-1"])
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(path).unwrap();
    String::from_utf8(output.stdout).unwrap()
}

/// Returns the conclusions that are printed for the lines of request `r-1`, of each its title and its other fields.
fn conclusions(name: &str, lines: &[(&str, &str)]) -> Vec<String> {
    let mut log = String::new();
    for (number, (title, fields)) in lines.iter().enumerate() {
        let mut line = format!(
            r#"{{"time":"2026-05-30T10:35:0{number}.000Z","title":"{title}","request":"r-1""#
        );
        for field in fields.split_whitespace() {
            let (key, value) = field.split_once('=').unwrap();
            line.push_str(&format!(r#","{key}":"{value}""#));
        }
        log.push_str(&line);
        log.push_str("}\n");
    }
    let text = explain(name, &log);
    let own = text.lines().filter(|line| line.starts_with('*'));
    assert_eq!(own.count(), lines.len(), "{text}");
    let conclusions = text.lines().filter(|line| line.starts_with('='));
    conclusions.map(str::to_owned).collect()
}

/// Guards against a stream whose second half is missing from the story of its first attempt.
#[test]
fn the_attempts_that_take_up_a_stream_are_explained_with_it() {
    let text = explain("resumed", LOG);

    let own = text.lines().filter(|line| line.starts_with('*'));
    assert_eq!(own.count(), 4, "{text}");
    assert!(!text.contains("v2"), "{text}");
    assert!(!text.contains("\n="), "{text}");
}

/// Guards against a stream that was given up for silence and looks like one that its server broke off.
#[test]
fn a_stream_given_up_for_silence_is_told() {
    let cut = "server=i-1 by=instance cause=silent silent_ms=1251 events=22 last_event=22 sends=1 configuration=40 configuration_age_ms=812";
    let done = ("request.done", "outcome=broken_off");

    let refused = format!("{cut} then=NoServer");
    let refused = conclusions("silent", &[("stream.cut", &refused), done]);
    let unasked = format!("{cut} then=-");
    let unasked = conclusions("unasked", &[("stream.cut", &unasked), done]);

    assert_eq!(
        refused,
        [
            "= r-1 ended by this instance: i-1 sent nothing for 1,251 ms after event 22, and no other server went on with it (NoServer); configuration 40 was in force for 812 ms"
        ]
    );
    assert_eq!(
        unasked,
        [
            "= r-1 ended by this instance: i-1 sent nothing for 1,251 ms after event 22, and no other server was asked; configuration 40 was in force for 812 ms"
        ]
    );
}

/// Guards against a stream that its server broke off and looks like one that was given up for silence.
#[test]
fn a_stream_that_its_server_broke_off_is_told() {
    let cut = |cause: &str| {
        format!(
            "server=i-1 by=server cause={cause} then=OutcomeUnknown silent_ms=3 events=3 last_event=3 sends=2 configuration=40 configuration_age_ms=1000812"
        )
    };
    let end = "after event 3, and no other server went on with it (OutcomeUnknown); configuration 40 was in force for 1,000,812 ms";

    let broken = conclusions("broken", &[("stream.cut", &cut("broken"))]);
    let restarted = conclusions("restarted", &[("stream.cut", &cut("restarted"))]);
    let malformed = conclusions("malformed", &[("stream.cut", &cut("malformed"))]);

    assert_eq!(
        broken,
        [format!(
            "= r-1 ended by the server: the connection to i-1 broke {end}"
        )]
    );
    assert_eq!(
        restarted,
        [format!(
            "= r-1 ended by the server: i-1 started again {end}"
        )]
    );
    assert_eq!(
        malformed,
        [format!(
            "= r-1 ended by the server: i-1 sent something else than the next event {end}"
        )]
    );
}

/// Guards against a stream whose deadline passed, or whose caller left, and looks like one that was given up.
#[test]
fn a_stream_that_outlived_its_deadline_is_told() {
    let cut = |by: &str, cause: &str, last_event: &str| {
        format!(
            "server=i-1 by={by} cause={cause} then=- silent_ms=4000 events=0 last_event={last_event} sends=1 configuration=40 configuration_age_ms=812"
        )
    };
    let silent = (
        "attempt.silent",
        "server=i-1 stage=events silent_ms=1251 decision=wait why=no_retry",
    );

    let deadline = cut("deadline", "deadline", "22");
    let deadline = conclusions("deadline", &[silent, ("stream.cut", &deadline)]);
    let caller = conclusions("caller", &[("stream.cut", &cut("caller", "left", "-"))]);

    assert_eq!(
        deadline,
        [
            "= r-1 ended by the deadline after event 22: i-1 had sent nothing for 4,000 ms; when it was silent, no second server was asked (no_retry); configuration 40 was in force for 812 ms"
        ]
    );
    assert_eq!(
        caller,
        [
            "= r-1 ended by the caller before its first event: i-1 had sent nothing for 4,000 ms; configuration 40 was in force for 812 ms"
        ]
    );
}

/// Guards against a stream that was saved by a second server and looks like one whose server never paused.
#[test]
fn a_whole_stream_that_was_overtaken_is_told() {
    let silent = (
        "attempt.silent",
        "server=i-1 stage=events silent_ms=1250 decision=second",
    );
    let overtaken = (
        "attempt.overtaken",
        "server=i-1 by=i-2 silent_ms=1300 events=22",
    );

    let second = conclusions(
        "overtaken",
        &[silent, overtaken, ("request.done", "outcome=whole")],
    );
    let first = conclusions("first", &[silent, ("request.done", "outcome=whole")]);
    let cancelled = (
        "attempt.overtaken",
        "server=i-2 by=i-1 silent_ms=70 events=0",
    );
    let again = conclusions(
        "again",
        &[silent, cancelled, ("request.done", "outcome=whole")],
    );

    assert_eq!(
        second,
        ["= r-1 whole, after i-2 overtook i-1, which had been silent for 1,300 ms"]
    );
    assert_eq!(
        first,
        ["= r-1 whole; i-1 had been silent for 1,250 ms when a second server was asked"]
    );
    assert_eq!(
        again,
        ["= r-1 whole, after i-1 went on before i-2 delivered"]
    );
}

/// Guards against a conclusion that the log does not allow: a request that is still open, or a line without its
/// figures.
#[test]
fn a_log_without_an_end_has_no_conclusion() {
    let overtaken = "server=i-1 by=i-2 silent_ms=1300 events=22";
    let truncated = "server=i-1 by=instance cause=silent then=NoServer";

    let open = conclusions("open", &[("attempt.overtaken", overtaken)]);
    let unknown = conclusions("truncated", &[("stream.cut", truncated)]);

    assert_eq!(open, Vec::<String>::new());
    assert_eq!(unknown, Vec::<String>::new());
}

#[test]
fn a_request_that_a_shutdown_did_not_accept_is_told() {
    let refused = ("route.refused", "code=4005 cause=Draining");
    let late = |name: &str, fields: &str| conclusions(name, &[("drain.refused", fields), refused]);

    assert_eq!(
        late("late", "left_ms=4900 expected_ms=6000"),
        [
            "= r-1 refused (Draining): the shutdown of this instance ended in 4,900 ms, and such requests take up to 6,000 ms"
        ]
    );
    assert_eq!(
        late("late-unknown", "left_ms=4900 expected_ms=-"),
        [
            "= r-1 refused (Draining): the shutdown of this instance ended in 4,900 ms, and its deadline was later"
        ]
    );
}

#[test]
fn responses_to_other_requests_are_told() {
    let foreign = |name: &str, fields: &str, last: (&str, &str)| {
        conclusions(name, &[("response.foreign", fields), last])
    };

    assert_eq!(
        foreign(
            "foreign",
            "server=i-1 skipped=2 own=true",
            ("request.done", "outcome=200")
        ),
        ["= r-1 answered with 200; i-1 sent 2 other responses before this one"]
    );
    assert_eq!(
        foreign(
            "unusable",
            "server=i-1 skipped=0 own=false",
            ("route.refused", "cause=OutcomeUnknown")
        ),
        ["= r-1 refused (OutcomeUnknown); i-1 sent a response that does not name this request"]
    );
}

#[test]
fn a_stream_that_a_shutdown_cut_is_told() {
    let fields = "server=i-1 by=instance cause=shutdown then=- silent_ms=20 events=3 last_event=3 configuration=2 configuration_age_ms=1500";

    assert_eq!(
        conclusions("shutdown", &[("stream.cut", fields)]),
        [
            "= r-1 ended by this instance, which was shut down, after event 3, and no other server was asked; configuration 2 was in force for 1,500 ms"
        ]
    );
}
