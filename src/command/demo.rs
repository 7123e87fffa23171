//! The `demo` subcommand, which runs the whole system in one process.

use fescuewell::demo::document::{HANDSIGN_KEY, MODEL, TEINTE_KEY};
use fescuewell::demo::fleet::{Fleet, OPERATOR, PASSWORD, Settings};
use fescuewell::demo::forward::Forward;
use pico_args::Arguments;

use super::{log, signal};
use crate::cli::{Error, finish};

/// Help text of `demo`.
pub const HELP: &str = "\
fescuewell demo - the whole system in one process, on embedded stand-ins

usage: fescuewell demo [--port N] [--log LEVEL] [--json]

Starts the platform's stand-in, three model engines, a plain service, three routers in three zones
and the console on loopback, and separately the forwarding path: a row store, three backend servers
and two entry instances. Prints 'ready' with addresses and example commands, and runs until Ctrl-C,
which drains.

options
  --port N      port of the first router (default 8080; 0 picks a free port)
  --log LEVEL   error, warn, info or debug (default warn; info shows each routing decision)
  --json        log lines as JSON
";

/// Port of the first router without `--port`.
const DEFAULT_PORT: u16 = 8_080;

/// Runs the demo until the process receives a stop signal.
///
/// # Errors
///
/// Returns an error if a component cannot be started.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let port = arguments
        .opt_value_from_str("--port")?
        .unwrap_or(DEFAULT_PORT);
    let options = log::Options::read_with(&mut arguments, "warn")?;
    finish(arguments)?;
    let _logger = log::start(&options)?;
    let mut signals = signal::Listener::start()?;
    let settings = Settings {
        port,
        ..Settings::default()
    };
    let fleet = Fleet::start(&settings).map_err(Error::failed)?;
    if !fleet.wait_ready() {
        return Err(Error::failed("a router stopped before it was ready"));
    }
    let forward = Forward::start().map_err(Error::failed)?;
    if !forward.wait_ready() {
        return Err(Error::failed("an entry instance was not ready in time"));
    }
    print_guide(&fleet);
    println!("\n{}\n\nCtrl-C drains and stops.", forward.guide());
    signals.wait_for_stop();
    println!("draining");
    forward.stop();
    fleet.stop();
    println!("stopped");
    Ok(())
}

fn print_guide(fleet: &Fleet) {
    let addresses = fleet.addresses();
    println!("ready");
    for address in &addresses {
        println!("callers  http://{address}");
    }
    println!(
        "console  http://{} (user {OPERATOR}, password {PASSWORD})",
        fleet.console.address()
    );
    let first = addresses
        .first()
        .map(ToString::to_string)
        .unwrap_or_default();
    let second = addresses
        .get(1)
        .map(ToString::to_string)
        .unwrap_or_default();
    println!("
# list the instances' addresses
curl -s http://{first}/v1/instances -H 'Authorization: Bearer {HANDSIGN_KEY}'

# a streamed chat
curl -sN http://{first}/v1/chat/completions -H 'Authorization: Bearer {HANDSIGN_KEY}' -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Summarise job 7\"}}]}}'

# a status call
curl -s http://{first}/v1/services/desk/status -H 'Authorization: Bearer {HANDSIGN_KEY}' -d '{{\"booking\":7}}'

# a booking confirmation, sent to two routers with the same id: it runs once, both return the same response
curl -s http://{first}/v1/services/desk/confirm -H 'Authorization: Bearer {HANDSIGN_KEY}' -H 'Idempotency-Key: booking-7' -d '{{\"booking\":7}}'
curl -s http://{second}/v1/services/desk/confirm -H 'Authorization: Bearer {HANDSIGN_KEY}' -H 'Idempotency-Key: booking-7' -d '{{\"booking\":7}}'

# a small budget that runs out: after some requests the response has code 2001
for n in $(seq 40); do curl -s http://{first}/v1/chat/completions -H 'Authorization: Bearer {TEINTE_KEY}' -d '{{\"model\":\"{MODEL}\",\"max_tokens\":150,\"messages\":[{{\"role\":\"user\",\"content\":\"Formula card '$n'\"}}]}}' | cut -c1-160; echo; done");
}
