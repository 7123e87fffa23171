//! The `stand-in` subcommand, which runs a stand-in in its own process, for tests with real processes.

use std::net::SocketAddr;

use fescuewell::standin::engine::{self, Engine};
use fescuewell::standin::platform::{self, Platform};
use fescuewell::standin::service::{self, Service};
use pico_args::Arguments;

use super::signal;
use crate::cli::{Error, finish, usage};

/// Help text of `stand-in`.
pub const HELP: &str = "\
fescuewell stand-in - a stand-in for the platform, an engine or a service, for tests and trials

usage: fescuewell stand-in platform --listen ADDRESS [--writes-per-second N] [--lag-ms N]
       fescuewell stand-in engine   --listen ADDRESS --name NAME [--model NAME]... [--step-ms N] [--no-fencing]
                                    [--least-answer N] [--most-answer N]
       fescuewell stand-in service  --listen ADDRESS --name NAME [--no-records]

Prints 'ready ADDRESS' once it listens. 'POST /control' with a JSON body changes its behaviour.
";

/// Runs a stand-in until the process receives a stop signal.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or the stand-in cannot listen.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let kind: String = arguments.free_from_str()?;
    let listen: SocketAddr = arguments.value_from_str("--listen")?;
    let mut signals = signal::Listener::start()?;
    match kind.as_str() {
        "platform" => {
            let settings = platform_settings(&mut arguments)?;
            finish(arguments)?;
            let platform = Platform::start(listen, settings).map_err(Error::failed)?;
            println!("ready {}", platform.address());
            signals.wait_for_stop();
        }
        "engine" => {
            let settings = engine_settings(&mut arguments)?;
            finish(arguments)?;
            let engine = Engine::start(listen, settings).map_err(Error::failed)?;
            println!("ready {}", engine.address());
            signals.wait_for_stop();
        }
        "service" => {
            let name: String = arguments.value_from_str("--name")?;
            let keeps_records = !arguments.contains("--no-records");
            finish(arguments)?;
            let settings = service::Settings::default()
                .with_name(name)
                .with_records(keeps_records);
            let service = Service::start(listen, settings).map_err(Error::failed)?;
            println!("ready {}", service.address());
            signals.wait_for_stop();
        }
        other => {
            return Err(usage(format!(
                "unknown stand-in {other}: must be platform, engine or service"
            )));
        }
    }
    Ok(())
}

fn platform_settings(arguments: &mut Arguments) -> Result<platform::Settings, Error> {
    let writes_per_second: Option<u32> = arguments.opt_value_from_str("--writes-per-second")?;
    let lag_ms: Option<u64> = arguments.opt_value_from_str("--lag-ms")?;
    Ok(platform::Settings {
        writes_per_second: writes_per_second.unwrap_or_default(),
        lag_ms: lag_ms.unwrap_or_default(),
        ..platform::Settings::default()
    })
}

fn engine_settings(arguments: &mut Arguments) -> Result<engine::Settings, Error> {
    let name: String = arguments.value_from_str("--name")?;
    let models: Vec<String> = arguments.values_from_str("--model")?;
    let step_ms: Option<u64> = arguments.opt_value_from_str("--step-ms")?;
    let min_tokens: Option<u32> = arguments.opt_value_from_str("--least-answer")?;
    let max_tokens: Option<u32> = arguments.opt_value_from_str("--most-answer")?;
    let mut settings = engine::Settings::default().with_name(name);
    if !models.is_empty() {
        settings = settings.with_models(models);
    }
    if let Some(step_ms) = step_ms {
        settings.base_step = std::time::Duration::from_millis(step_ms);
    }
    settings.least_answer = min_tokens.unwrap_or(settings.least_answer);
    settings.most_answer = max_tokens
        .unwrap_or(settings.most_answer)
        .max(settings.least_answer);
    settings.fencing = !arguments.contains("--no-fencing");
    Ok(settings)
}
