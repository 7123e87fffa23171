//! Generates the reference pages of the result codes and log events.
//!
//! ```
//! let page = reference::codes();
//! assert!(page.contains("| 2001 | `BudgetExhausted` | 402 | `not_run` |"));
//! ```

use std::fmt::Write;
use std::path::{Path, PathBuf};

use fescuewell_core::code::{Code, Run};
use fescuewell_core::event::Event;

/// Text above the table of result codes.
const CODES_HEAD: &str = include_str!("codes_head.md");
/// Text above the table of log events.
const EVENTS_HEAD: &str = include_str!("events_head.md");

/// A generated page.
pub struct Page {
    /// Path of the committed file.
    pub path: PathBuf,
    /// Generated content.
    pub text: String,
}

/// Generates every page.
pub fn pages() -> Vec<Page> {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    vec![
        Page {
            path: docs.join("CODES.md"),
            text: codes(),
        },
        Page {
            path: docs.join("EVENTS.md"),
            text: events(),
        },
    ]
}

/// Generates the page of result codes.
pub fn codes() -> String {
    let mut text = CODES_HEAD.to_owned();
    text.push_str(
        "| code | name | HTTP status | `run` | meaning |\n| --- | --- | --- | --- | --- |\n",
    );
    for code in Code::ALL {
        push_row(
            &mut text,
            &[
                &code.number().to_string(),
                &format!("`{}`", code.name()),
                &code.status().to_string(),
                &format!("`{}`", run_name(code.run())),
                code.text(),
            ],
        );
    }
    text
}

/// Generates the page of log events.
pub fn events() -> String {
    let mut text = EVENTS_HEAD.to_owned();
    text.push_str("| event | title | level | meaning |\n| --- | --- | --- | --- |\n");
    for event in Event::ALL {
        push_row(
            &mut text,
            &[
                &format!("E{}", event.number()),
                &format!("`{}`", event.title()),
                &event.level().to_string().to_lowercase(),
                event.text(),
            ],
        );
    }
    text
}

fn push_row(text: &mut String, cells: &[&str]) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "| {} |", cells.join(" | "));
}

/// Returns the value of the field `run` in an error body.
fn run_name(run: Run) -> &'static str {
    match run {
        Run::NotRun => "not_run",
        Run::Unknown => "unknown",
        Run::Ran => "ran",
    }
}
