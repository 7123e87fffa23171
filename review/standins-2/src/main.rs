//! Stand-ins and drivers of the cases of the second review. The argument names the case.

mod client;
mod gate;
mod restore;
mod system;
mod unframed;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let record = std::env::args()
        .nth(2)
        .unwrap_or_else(|| "record.txt".into());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match name.as_str() {
        "worker" => {
            worker::serve(&record, &std::env::args().nth(3).unwrap_or_default());
            0
        }
        "gate" => gate::run(&record, has_trouble),
        "restore" => restore::run(&record, has_trouble),
        "unframed" => unframed::run(&record, has_trouble),
        _ => 2,
    };
    ExitCode::from(code)
}
