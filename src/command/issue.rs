//! The `issue-certificates` subcommand, which creates a certificate authority and instance certificates.

use std::path::{Path, PathBuf};

use fescuewell::peer::credentials::Authority;
use pico_args::Arguments;

use crate::cli::{Error, usage};

/// Help text of `issue-certificates`.
pub const HELP: &str = "\
fescuewell issue-certificates - issue a certificate authority and a certificate for each instance

usage: fescuewell issue-certificates --out DIRECTORY NAME...

Writes authority.pem and, for each name, NAME.pem and NAME.key. The authority's key is not stored. To
rotate, issue new files, put both authorities into 'authority' of every settings file, send SIGHUP,
replace the certificates, send SIGHUP again, and finally remove the old authority.
";

/// Issues the certificates and writes them to the output directory.
///
/// # Errors
///
/// Returns an error if no instance is given, a certificate cannot be issued or a file cannot be written.
pub fn run(mut arguments: Arguments) -> Result<(), Error> {
    let out: PathBuf = arguments.value_from_str("--out")?;
    let names: Vec<String> = arguments
        .finish()
        .into_iter()
        .map(|name| name.to_string_lossy().into_owned())
        .collect();
    if names.is_empty() {
        return Err(usage("expected at least one instance name"));
    }
    let authority = Authority::new("fescuewell").map_err(Error::failed)?;
    std::fs::create_dir_all(&out).map_err(Error::failed)?;
    write(&out, "authority.pem", &authority.certificate(), false)?;
    for name in &names {
        let issued = authority.issue(name).map_err(Error::failed)?;
        write(&out, &format!("{name}.pem"), &issued.certificate, false)?;
        write(&out, &format!("{name}.key"), &issued.key, true)?;
    }
    Ok(())
}

fn write(out: &Path, name: &str, content: &str, is_secret: bool) -> Result<(), Error> {
    use std::os::unix::fs::OpenOptionsExt;
    let mode = if is_secret { 0o600 } else { 0o644 };
    let path = out.join(name);
    let file = std::fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(mode)
        .open(&path);
    let written =
        file.and_then(|mut file| std::io::Write::write_all(&mut file, content.as_bytes()));
    written.map_err(|error| Error::failed(format_args!("{}: {error}", path.display())))
}
