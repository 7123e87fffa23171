//! Settings of the client for the platform's store: address, credentials and timeouts.

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
    /// Certificates of the authorities trusted to sign an `https` store's certificate: the path of a PEM file, or the PEM
    /// text itself. No other authorities are trusted.
    #[serde(default)]
    pub authority: Option<Arc<str>>,
    /// Source of the bearer token, if the store requires one.
    #[serde(default)]
    pub token: Option<Secret>,
    /// Timeout for establishing a connection, in milliseconds.
    #[serde(default = "default_connect_timeout")]
    pub connect_timeout_ms: u32,
    /// Timeout for a complete reply, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u32,
}

/// Reference to a secret, so that the settings do not contain the secret itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Secret {
    /// The content of a file, with leading and trailing whitespace removed.
    File(Arc<str>),
    /// The value of an environment variable.
    Environment(Arc<str>),
}

/// Why a client could not be built.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address is not valid.
    #[snafu(display(
        "address {address:?} is not of the form http://host:port or https://host:port with an IP address as host"
    ))]
    Address {
        /// The address as set.
        address: Arc<str>,
    },
    /// An `https` address without authorities, or an `http` address with them.
    #[snafu(display(
        "setting authority of {address:?}: it is required for https and not allowed for http"
    ))]
    AuthorityMismatch {
        /// The address as set.
        address: Arc<str>,
    },
    /// The authorities' certificates could not be read.
    #[snafu(display("setting authority of {address:?}: {reason}"))]
    Authority {
        /// The address as set.
        address: Arc<str>,
        /// Description of the failure.
        reason: Arc<str>,
    },
    /// A timeout is zero.
    #[snafu(display("the time limits of {address:?} must be at least 1 ms"))]
    Timeout {
        /// The address as set.
        address: Arc<str>,
    },
    /// The file that holds a secret could not be read.
    #[snafu(display("the secret's file {file:?} could not be read"))]
    SecretFile {
        /// The file's path.
        file: Arc<str>,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The environment variable that holds a secret is not set.
    #[snafu(display("the secret's environment variable {variable:?} is not set"))]
    SecretVariable {
        /// The variable's name.
        variable: Arc<str>,
    },
    /// The secret is empty or contains characters that are not allowed in an HTTP header.
    #[snafu(display("the secret is empty or not printable ASCII"))]
    SecretContent,
    /// The client's thread could not be started.
    #[snafu(display("cannot start the client's thread: {source}"))]
    Thread {
        /// The operating system's error.
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

/// Prefix of an address with TLS.
const HTTPS_PREFIX: &str = "https://";
/// Prefix of an address without TLS.
const HTTP_PREFIX: &str = "http://";
/// Prefix of PEM text. A setting without it is the path of a PEM file.
const PEM_PREFIX: &str = "-----BEGIN";

impl Settings {
    /// Creates settings for `address` with the default timeouts and neither authority nor token.
    pub fn new(address: impl Into<Arc<str>>) -> Self {
        Self {
            address: address.into(),
            authority: None,
            token: None,
            connect_timeout_ms: DEFAULT_CONNECT_TIMEOUT_MS,
            timeout_ms: DEFAULT_TIMEOUT_MS,
        }
    }

    /// Sets the authorities trusted to sign the store's certificate.
    pub fn with_authority(mut self, authority: impl Into<Arc<str>>) -> Self {
        self.authority = Some(authority.into());
        self
    }

    /// Sets the source of the bearer token.
    pub fn with_token(mut self, token: Secret) -> Self {
        self.token = Some(token);
        self
    }

    /// Sets the timeout for a complete reply.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        self
    }

    /// Returns the address to connect to.
    ///
    /// # Errors
    ///
    /// When the address or a timeout is not valid, or the scheme does not match [`Self::authority`].
    pub fn socket_address(&self) -> Result<SocketAddr, Error> {
        let address = self.address.clone();
        if self.connect_timeout_ms == 0 || self.timeout_ms == 0 {
            return TimeoutSnafu { address }.fail();
        }
        let https_host = self.address.strip_prefix(HTTPS_PREFIX);
        let host = https_host.or_else(|| self.address.strip_prefix(HTTP_PREFIX));
        let socket = host.and_then(|host| host.trim_end_matches('/').parse().ok());
        let Some(socket) = socket else {
            return AddressSnafu { address }.fail();
        };
        if https_host.is_some() != self.authority.is_some() {
            return AuthorityMismatchSnafu { address }.fail();
        }
        Ok(socket)
    }

    /// Returns the authorities' certificates as PEM text, or `None` if none are set.
    ///
    /// # Errors
    ///
    /// When the file cannot be read.
    pub fn authority_pem(&self) -> Result<Option<String>, Error> {
        let Some(authority) = &self.authority else {
            return Ok(None);
        };
        if authority.trim_start().starts_with(PEM_PREFIX) {
            return Ok(Some(authority.to_string()));
        }
        let text = std::fs::read_to_string(&**authority);
        let text = text.map_err(|error| self.authority_error(&error))?;
        Ok(Some(text))
    }

    /// Builds an [`Error::Authority`] for these settings.
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
    /// When the secret cannot be found, is empty, or is not printable ASCII. The error never contains the secret.
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
