//! Scripts of the review: each starts the system's own program and stand-ins, brings about one disruption and
//! checks one rule. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod desk;
mod leave;
mod money;
mod net;
mod store;
mod term;
mod world;

use std::path::Path;
use std::process::ExitCode;

use world::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: harness CASE RECORD");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(path));
    record.note(&format!("case {case}, with the disruption: {is_troubled}"));
    let held = match case.as_str() {
        "late-rejection" => desk::run(&record, is_troubled),
        "late-return" => money::run_case(&record, is_troubled),
        "leaving" => leave::run(&record, is_troubled),
        "stop" => term::run(&record, is_troubled),
        _ => None,
    };
    match held {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}
