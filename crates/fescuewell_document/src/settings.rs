//! Reading the daemons' settings files: JSON with comments, errors that name file, line, setting and
//! allowed values.
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

/// Why a settings file was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", self.text()))]
pub struct Error {
    /// The file's name, as it was given.
    pub file: Arc<str>,
    /// What is wrong and where.
    pub fault: Fault,
}

impl Error {
    /// A fault that the settings' own validation found.
    pub fn new<File>(file: File, fault: Fault) -> Self
    where
        File: Into<Arc<str>>,
    {
        Self {
            file: file.into(),
            fault,
        }
    }

    /// The line, starting at 1, when the place is known.
    pub fn line(&self) -> Option<u32> {
        self.fault.position.map(|position| position.line)
    }

    fn text(&self) -> String {
        let place = match self.fault.position {
            Some(position) => format!("{}:{}:{}", self.file, position.line, position.column),
            None => self.file.to_string(),
        };
        let mut rest = self.fault.clone();
        rest.position = None;
        format!("{place}: {rest}")
    }
}

/// Reads settings of any type from text.
///
/// The type should refuse unknown keys (`#[serde(deny_unknown_fields)]`) and hold secrets by reference
/// only (a file name), so that neither the file nor an error about it gives one away.
///
/// # Errors
///
/// The first fault that was met.
pub fn read<Settings>(text: &str, file_name: &str) -> Result<Settings, Error>
where
    Settings: DeserializeOwned,
{
    parse::read(text).map_err(|fault| Error::new(file_name, fault))
}
