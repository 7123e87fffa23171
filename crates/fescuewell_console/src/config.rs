//! `fescuewell config get|check|apply`: the same as the console's forms, by command line.
//!
//! A document that was fetched starts with a comment that names its version. Applying it sends this
//! version along, so that nobody's change is overwritten unseen.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::api::{Accepted, Failure, Stored};
use crate::http::session;

/// How long the console may take to answer: accepting retries while the table is busy.
const ANSWER_TIME: Duration = Duration::from_secs(30);
/// What the first line of a fetched document starts with.
const VERSION_MARK: &str = "// fescuewell document, version ";

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The console gave no answer. After `apply` the document may have been accepted.
    #[snafu(display("the console at {address} gave no answer: {reason}"))]
    NoAnswer {
        /// Where it was asked.
        address: Arc<str>,
        /// What the client saw.
        reason: Arc<str>,
    },
    /// The console refused.
    #[snafu(display("{}", describe(failure)))]
    Refused {
        /// Its answer.
        failure: Box<Failure>,
    },
    /// The document does not say which version it was made from.
    #[snafu(display(
        "the file does not say which version it was made from: start it with `{VERSION_MARK}N` as \
         `config get` does, or give --base N"
    ))]
    NoBase,
}

impl Error {
    /// Whether the change may have taken effect all the same.
    pub fn run(&self) -> Run {
        match self {
            Self::NoAnswer { .. } => Run::Unknown,
            Self::Refused { failure } => failure.error.run,
            Self::NoBase => Run::NotRun,
        }
    }
}

fn describe(failure: &Failure) -> String {
    let mut text = format!("{} {}", failure.error.code, failure.error.message);
    for fault in &failure.faults {
        let _ = write!(text, "\n  {fault}");
    }
    if let Some(current) = failure.current {
        let _ = write!(
            text,
            "\n  version {} is in force; accepted meanwhile:",
            current.0
        );
    }
    for change in &failure.meanwhile {
        let _ = write!(text, "\n    {change}");
    }
    for clash in &failure.clashes {
        let _ = write!(text, "\n  clash: {clash}");
    }
    text
}

/// Talks to one console.
///
/// ```no_run
/// use fescuewell_console::config::Client;
/// let client = Client::new("http://127.0.0.1:9000", "operator token");
/// print!("{}", client.get(None)?);
/// # Ok::<(), fescuewell_console::config::Error>(())
/// ```
#[derive(Clone)]
pub struct Client {
    address: Arc<str>,
    token: Arc<str>,
}

impl Client {
    /// A client for the console at `address` (`http://host:port`), with an operator's token.
    pub fn new<Address, Token>(address: Address, token: Token) -> Self
    where
        Address: Into<Arc<str>>,
        Token: Into<Arc<str>>,
    {
        Self {
            address: address.into(),
            token: token.into(),
        }
    }

    /// The document in force, or that of a version, as text to edit.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] or [`Error::Refused`].
    pub fn get(&self, version: Option<Version>) -> Result<String, Error> {
        let query = version.map_or(String::new(), |version| format!("?version={}", version.0));
        let stored: Stored = self.fetch(&format!("/api/document{query}"))?;
        let text = serde_json::to_string_pretty(&stored.document).unwrap_or_default();
        Ok(format!("{VERSION_MARK}{}\n{text}\n", stored.version.0))
    }

    /// Checks a document and tells what it would change in the one in force.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] or [`Error::Refused`].
    pub fn check(&self, text: &str) -> Result<Accepted, Error> {
        self.send("/api/check?base=0", text)
    }

    /// Accepts a document made from version `base`, or from the one that its first line names.
    /// With `merge` it is joined with what was accepted meanwhile, unless the two clash.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; [`Error::run`] tells whether it may have been accepted.
    pub fn apply(&self, text: &str, base: Option<Version>, merge: bool) -> Result<Accepted, Error> {
        let base = base.or_else(|| base_of(text)).ok_or(Error::NoBase)?;
        let merge = if merge { "&merge=yes" } else { "" };
        self.send(&format!("/api/document?base={}{merge}", base.0), text)
    }

    /// The live state as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] or [`Error::Refused`].
    pub fn state(&self) -> Result<serde_json::Value, Error> {
        self.fetch("/api/state")
    }

    fn fetch<T>(&self, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let request = session(ANSWER_TIME).get(format!("{}{path}", self.address));
        let sent = request.bearer_auth(&*self.token).send();
        self.read(sent)
    }

    fn send(&self, path: &str, text: &str) -> Result<Accepted, Error> {
        let request = session(ANSWER_TIME).post(format!("{}{path}", self.address));
        let sent = request.bearer_auth(&*self.token).text(text).send();
        self.read(sent)
    }

    fn read<T>(&self, sent: attohttpc::Result<attohttpc::Response>) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let no_answer = |reason: String| Error::NoAnswer {
            address: self.address.clone(),
            reason: reason.into(),
        };
        let response = sent.map_err(|error| no_answer(error.to_string()))?;
        let (status, success) = (response.status(), response.is_success());
        let body = response
            .bytes()
            .map_err(|error| no_answer(error.to_string()))?;
        if success {
            return serde_json::from_slice(&body).map_err(|error| no_answer(error.to_string()));
        }
        match serde_json::from_slice::<Failure>(&body) {
            Ok(failure) => Err(Error::Refused {
                failure: Box::new(failure),
            }),
            Err(_) => Err(no_answer(format!("status {status}"))),
        }
    }
}

/// The version that the first line of a fetched document names.
pub fn base_of(text: &str) -> Option<Version> {
    let rest = text.lines().next()?.strip_prefix(VERSION_MARK)?;
    rest.trim().parse().ok().map(Version)
}
