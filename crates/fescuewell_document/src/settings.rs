//! Reads the daemons' settings files: JSON with comments. Errors include the file, the line, the setting and
//! the allowed values.
//!
//! ```
//! #[derive(serde::Deserialize, Debug)]
//! #[serde(deny_unknown_fields)]
//! struct Settings { listen: std::net::SocketAddr }
//!
//! let text = "{\n  // where callers connect\n  \"lisen\": \"127.0.0.1:80\"\n}";
//! let error = fescuewell_document::settings::read::<Settings>(text, "router.json").unwrap_err();
//! assert!(error.to_string().starts_with("router.json:3:3: unknown key `lisen`"));
//! assert!(error.to_string().contains("did you mean `listen`?"));
//! ```

use std::sync::Arc;

use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::fault::Fault;
use crate::parse;

/// Why a settings file was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", self.text()))]
pub struct Error {
    /// Name of the file, as passed by the caller.
    pub file: Arc<str>,
    /// The error and its location.
    pub fault: Fault,
}

impl Error {
    /// Creates an error from a fault that the settings' own validation found.
    pub fn new<File>(file: File, fault: Fault) -> Self
    where
        File: Into<Arc<str>>,
    {
        Self {
            file: file.into(),
            fault,
        }
    }

    /// Returns the line number, starting at 1, if the location is known.
    pub fn line(&self) -> Option<u32> {
        self.fault.position.map(|position| position.line)
    }

    fn text(&self) -> String {
        let location = match self.fault.position {
            Some(position) => format!("{}:{}:{}", self.file, position.line, position.column),
            None => self.file.to_string(),
        };
        let mut fault = self.fault.clone();
        fault.position = None;
        format!("{location}: {fault}")
    }
}

/// Reads settings of any type from text.
///
/// The type should reject unknown keys (`#[serde(deny_unknown_fields)]`) and contain secrets only by reference,
/// e.g. as a file name, so that neither the file nor an error about it reveals them.
///
/// # Errors
///
/// Returns the first fault found.
pub fn read<Settings>(text: &str, file_name: &str) -> Result<Settings, Error>
where
    Settings: DeserializeOwned,
{
    parse::read(text).map_err(|fault| Error::new(file_name, fault))
}
