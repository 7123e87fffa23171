//! Address, credentials and timeouts of the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Settings of the store's client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address, `http://ip:port` or `https://ip:port`.
    pub address: Arc<str>,
    /// Certificates of the authorities that an `https` store is trusted by: a PEM file's path, or the PEM text itself. No
    /// others are trusted.
    #[serde(default)]
    pub authority: Option<Arc<str>>,
    /// Where to find the bearer token, if the store wants one.
    #[serde(default)]
    pub token: Option<Secret>,
    /// Longest wait for a connection, in milliseconds.
    #[serde(default = "default_connect_timeout")]
    pub connect_timeout_ms: u32,
    /// Longest wait for a whole reply, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u32,
}

/// A reference to a secret, so that settings themselves hold none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Secret {
    /// The content of a file, without white space at its ends.
    File(Arc<str>),
    /// The value of an environment variable.
    Environment(Arc<str>),
}

/// Why a client could not be built.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address cannot be used.
    #[snafu(display(
        "address {address:?} is not of the form http://host:port or https://host:port with an IP number as host"
    ))]
    Address {
        /// The address as set.
        address: Arc<str>,
    },
    /// An `https` address without authorities, or the other way round.
    #[snafu(display("{address:?} needs the setting authority if, and only if, it is https"))]
    AuthorityMissing {
        /// The address as set.
        address: Arc<str>,
    },
    /// The authorities' certificates could not be read.
    #[snafu(display("setting authority of {address:?}: {reason}"))]
    Authority {
        /// The address as set.
        address: Arc<str>,
        /// What is wrong.
        reason: Arc<str>,
    },
    /// A time limit is zero.
    #[snafu(display("the time limits of {address:?} must be at least 1 ms"))]
    Timeout {
        /// The address as set.
        address: Arc<str>,
    },
    /// The file of a secret could not be read.
    #[snafu(display("the secret's file {file:?} could not be read"))]
    SecretFile {
        /// The file's path.
        file: Arc<str>,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The variable of a secret is not set.
    #[snafu(display("the secret's environment variable {variable:?} is not set"))]
    SecretVariable {
        /// The variable's name.
        variable: Arc<str>,
    },
    /// The secret is empty or holds characters that a header cannot carry.
    #[snafu(display("the secret is empty or not printable ASCII"))]
    SecretContent,
    /// The client's thread could not be started.
    #[snafu(display("cannot start the client's thread: {source}"))]
    Thread {
        /// What the operating system said.
        source: std::io::Error,
    },
}

const DEFAULT_CONNECT_TIMEOUT_MS: u32 = 1_000;
const DEFAULT_TIMEOUT_MS: u32 = 2_000;

fn default_connect_timeout() -> u32 {
    DEFAULT_CONNECT_TIMEOUT_MS
}

fn default_timeout() -> u32 {
    DEFAULT_TIMEOUT_MS
}

/// How an `https` address begins.
const SECURE: &str = "https://";
/// How an address without TLS begins.
const PLAIN: &str = "http://";
/// How the text of a PEM file starts; anything else is a path.
const PEM_START: &str = "-----BEGIN";

impl Settings {
    /// Settings without a token and with the default time limits.
    pub fn new(address: impl Into<Arc<str>>) -> Self {
        Self {
            address: address.into(),
            authority: None,
            token: None,
            connect_timeout_ms: DEFAULT_CONNECT_TIMEOUT_MS,
            timeout_ms: DEFAULT_TIMEOUT_MS,
        }
    }

    /// Sets by which authorities the store is trusted.
    pub fn with_authority(mut self, authority: impl Into<Arc<str>>) -> Self {
        self.authority = Some(authority.into());
        self
    }

    /// Sets where to find the bearer token.
    pub fn with_token(mut self, token: Secret) -> Self {
        self.token = Some(token);
        self
    }

    /// Sets the longest wait for a whole reply.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        self
    }

    /// The address to connect to.
    ///
    /// # Errors
    ///
    /// When the address or a time limit cannot be used, or the scheme and [`Self::authority`] do not go together.
    pub fn socket_address(&self) -> Result<SocketAddr, Error> {
        let address = self.address.clone();
        if self.connect_timeout_ms == 0 || self.timeout_ms == 0 {
            return TimeoutSnafu { address }.fail();
        }
        let secure = self.address.strip_prefix(SECURE);
        let host = secure.or_else(|| self.address.strip_prefix(PLAIN));
        let socket = host.and_then(|host| host.trim_end_matches('/').parse().ok());
        let Some(socket) = socket else {
            return AddressSnafu { address }.fail();
        };
        if secure.is_some() != self.authority.is_some() {
            return AuthorityMissingSnafu { address }.fail();
        }
        Ok(socket)
    }

    /// The authorities' certificates as PEM text, if the store is reached by TLS.
    ///
    /// # Errors
    ///
    /// When the file cannot be read.
    pub fn authority_pem(&self) -> Result<Option<String>, Error> {
        let Some(authority) = &self.authority else {
            return Ok(None);
        };
        if authority.trim_start().starts_with(PEM_START) {
            return Ok(Some(authority.to_string()));
        }
        let text = std::fs::read_to_string(&**authority);
        let text = text.map_err(|error| self.authority_error(&error))?;
        Ok(Some(text))
    }

    /// An [`Error::Authority`] of these settings.
    pub fn authority_error<Cause>(&self, cause: &Cause) -> Error
    where
        Cause: std::fmt::Display,
    {
        Error::Authority {
            address: self.address.clone(),
            reason: cause.to_string().into(),
        }
    }
}

impl Secret {
    /// Reads the secret.
    ///
    /// # Errors
    ///
    /// When it cannot be found, is empty, or is not printable ASCII. The error never quotes it.
    pub fn read(&self) -> Result<Arc<str>, Error> {
        let text = match self {
            Self::File(file) => {
                std::fs::read_to_string(&**file).context(SecretFileSnafu { file: file.clone() })?
            }
            Self::Environment(variable) => {
                std::env::var(&**variable).map_err(|_| Error::SecretVariable {
                    variable: variable.clone(),
                })?
            }
        };
        let text = text.trim();
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(Error::SecretContent);
        }
        Ok(text.into())
    }
}
