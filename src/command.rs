//! The subcommands of the `fescuewell` binary, one module each.

mod bench;
mod capacity;
mod check;
mod config;
mod console;
mod demo;
mod entry;
mod explain;
mod issue;
mod lines;
mod log;
mod losses;
mod router;
mod signal;
mod standin;

use pico_args::Arguments;

use crate::cli::{Error, finish, usage};

/// Returns the help text of a subcommand, if it has one.
pub fn help(command: &str) -> Option<&'static str> {
    match command {
        "bench" => Some(bench::HELP),
        "check" => Some(check::HELP),
        "config" => Some(config::HELP),
        "console" => Some(console::HELP),
        "demo" => Some(demo::HELP),
        "entry" => Some(entry::HELP),
        "explain" => Some(explain::HELP),
        "issue-certificates" => Some(issue::HELP),
        "losses" => Some(losses::HELP),
        "router" => Some(router::HELP),
        "stand-in" => Some(standin::HELP),
        _ => None,
    }
}

/// Runs the subcommand with the given name.
///
/// # Errors
///
/// Returns the error of the subcommand, or [`Error::Usage`] if no subcommand has this name.
pub fn dispatch(command: &str, arguments: Arguments) -> Result<(), Error> {
    match command {
        "bench" => bench::run(arguments),
        "check" => check::run(arguments),
        "config" => config::run(arguments),
        "console" => console::run(arguments),
        "demo" => demo::run(arguments),
        "entry" => entry::run(arguments),
        "explain" => explain::run(arguments),
        "hash-key" => hash_secret(arguments, |key| {
            Ok(fescuewell::document::key::hash_key(key).to_string())
        }),
        "hash-password" => hash_secret(arguments, |password| {
            fescuewell::console::password::hash(password).map_err(Error::failed)
        }),
        "issue-certificates" => issue::run(arguments),
        "losses" => losses::run(arguments),
        "router" => router::run(arguments),
        "stand-in" => standin::run(arguments),
        _ => Err(usage(format!("unknown command {command}"))),
    }
}

// Reads the secret from standard input: any process on the machine can read a command line.
fn hash_secret<Hash>(arguments: Arguments, hash: Hash) -> Result<(), Error>
where
    Hash: Fn(&str) -> Result<String, Error>,
{
    finish(arguments)?;
    let mut line = String::new();
    std::io::stdin()
        .read_line(&mut line)
        .map_err(Error::failed)?;
    let secret = line.trim_end_matches(['\r', '\n']);
    if secret.is_empty() {
        return Err(usage("expected a key or password on standard input"));
    }
    println!("{}", hash(secret)?);
    Ok(())
}
