//! `stand-in`: one stand-in as a process of its own, for tests with real processes.

use std::net::SocketAddr;

use fescuewell::standin::engine::{self, Engine};
use fescuewell::standin::platform::{self, Platform};
use fescuewell::standin::service::{self, Service};
use pico_args::Arguments;

use super::signal;
use crate::cli::{Error, finish, usage};

/// Help text.
pub const HELP: &str = "\
fescuewell stand-in - one stand-in, for tests and trials

usage: fescuewell stand-in platform --listen ADDRESS [--writes-per-second N] [--lag-ms N]
       fescuewell stand-in engine   --listen ADDRESS --name NAME [--model NAME]... [--step-ms N] [--no-fencing]
                                    [--least-answer N] [--most-answer N]
       fescuewell stand-in service  --listen ADDRESS --name NAME [--no-records]

Prints 'ready ADDRESS'. Each takes 'POST /control' with JSON to change its behaviour.
";

/// Runs a stand-in.
///
/// # Errors
///
/// When it cannot listen.
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
            let records = !arguments.contains("--no-records");
            finish(arguments)?;
            let settings = service::Settings::default()
                .with_name(name)
                .with_records(records);
            let service = Service::start(listen, settings).map_err(Error::failed)?;
            println!("ready {}", service.address());
            signals.wait_for_stop();
        }
        other => {
            return Err(usage(format!(
                "{other}: one of platform, engine, service is wanted"
            )));
        }
    }
    Ok(())
}

fn platform_settings(arguments: &mut Arguments) -> Result<platform::Settings, Error> {
    let writes: Option<u32> = arguments.opt_value_from_str("--writes-per-second")?;
    let lag: Option<u64> = arguments.opt_value_from_str("--lag-ms")?;
    Ok(platform::Settings {
        writes_per_second: writes.unwrap_or_default(),
        lag_ms: lag.unwrap_or_default(),
        ..platform::Settings::default()
    })
}

fn engine_settings(arguments: &mut Arguments) -> Result<engine::Settings, Error> {
    let name: String = arguments.value_from_str("--name")?;
    let models: Vec<String> = arguments.values_from_str("--model")?;
    let step: Option<u64> = arguments.opt_value_from_str("--step-ms")?;
    let least: Option<u32> = arguments.opt_value_from_str("--least-answer")?;
    let most: Option<u32> = arguments.opt_value_from_str("--most-answer")?;
    let mut settings = engine::Settings::default().with_name(name);
    if !models.is_empty() {
        settings = settings.with_models(models);
    }
    if let Some(step) = step {
        settings.base_step = std::time::Duration::from_millis(step);
    }
    settings.least_answer = least.unwrap_or(settings.least_answer);
    settings.most_answer = most
        .unwrap_or(settings.most_answer)
        .max(settings.least_answer);
    settings.fencing = !arguments.contains("--no-fencing");
    Ok(settings)
}
