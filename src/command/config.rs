//! The `config` subcommand, which reads and changes the configuration document through the console.

use fescuewell::console::config::Client;
use fescuewell::core::id::Version;
use pico_args::Arguments;

use crate::cli::{Error, finish, usage};

/// Help text of `config`.
pub const HELP: &str = "\
fescuewell config - read, check or replace the document through the console

usage: fescuewell config get   --console URL --token-file FILE [--version N]
       fescuewell config check --console URL --token-file FILE FILE
       fescuewell config apply --console URL --token-file FILE FILE [--base N] [--merge]
       fescuewell config state --console URL --token-file FILE

'get' prints the document; its first line contains the version. 'apply' rejects a document that is not
based on the current version and lists what changed in between. --merge applies the changes that do
not conflict.
";

/// Runs the action given in the arguments.
///
/// # Errors
///
/// Returns [`Error::Failed`] if a file cannot be read, the console rejects the request or does not respond,
/// and [`Error::Usage`] if the arguments are invalid.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let action: String = arguments.free_from_str()?;
    let console: String = arguments.value_from_str("--console")?;
    let token_file: String = arguments.value_from_str("--token-file")?;
    let version: Option<u64> = arguments.opt_value_from_str("--version")?;
    let base: Option<u64> = arguments.opt_value_from_str("--base")?;
    let merge = arguments.contains("--merge");
    let file: Option<String> = arguments.opt_free_from_str()?;
    finish(arguments)?;
    let client = Client::new(console, read(&token_file)?.trim());
    match (action.as_str(), file) {
        ("get", None) => print!(
            "{}",
            client.get(version.map(Version)).map_err(Error::failed)?
        ),
        ("state", None) => println!("{:#}", client.state().map_err(Error::failed)?),
        ("check", Some(file)) => {
            client.check(&read(&file)?).map_err(Error::failed)?;
            println!("{file}: valid");
        }
        ("apply", Some(file)) => {
            let accepted = client
                .apply(&read(&file)?, base.map(Version), merge)
                .map_err(Error::failed)?;
            println!("accepted as version {}", accepted.version.0);
        }
        ("check" | "apply", None) => return Err(usage("no file given")),
        _ => return Err(usage("expected get, check, apply or state")),
    }
    Ok(())
}

fn read(path: &str) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|error| Error::failed(format_args!("{path}: {error}")))
}
