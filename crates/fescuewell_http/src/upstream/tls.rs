//! TLS towards servers whose authorities are named.

use std::net::SocketAddr;
use std::sync::Arc;

use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use snafu::Snafu;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

use super::gate::Gated;

/// The authorities cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct InvalidCertificate {
    /// What is wrong with them.
    pub reason: Arc<str>,
}

/// Authorities by which a server's certificate is checked. No others are trusted.
#[derive(Clone)]
pub struct RootCertificates(Arc<ClientConfig>);

impl RootCertificates {
    /// Reads the certificates of a PEM text.
    ///
    /// # Errors
    ///
    /// When the text has no certificate or one that cannot be used.
    pub fn from_pem(text: &[u8]) -> Result<Self, InvalidCertificate> {
        let mut roots = RootCertStore::empty();
        for certificate in rustls_pemfile::certs(&mut &text[..]) {
            let certificate: CertificateDer<'static> =
                certificate.map_err(|error| invalid(&error))?;
            roots.add(certificate).map_err(|error| invalid(&error))?;
        }
        if roots.is_empty() {
            return Err(invalid(&"no certificate was found"));
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|error| invalid(&error))?
            .with_root_certificates(roots)
            .with_no_client_auth();
        Ok(Self(Arc::new(config)))
    }

    /// Secures a connection to a server whose certificate names this IP address.
    pub(super) async fn secure(
        &self,
        stream: Gated,
        address: SocketAddr,
    ) -> std::io::Result<TlsStream<Gated>> {
        let connector = TlsConnector::from(self.0.clone());
        let name = ServerName::IpAddress(address.ip().into());
        connector.connect(name, stream).await
    }
}

fn invalid<Cause>(cause: &Cause) -> InvalidCertificate
where
    Cause: std::fmt::Display,
{
    InvalidCertificate {
        reason: cause.to_string().into(),
    }
}
