//! TLS for connections to backend servers.

use std::net::SocketAddr;
use std::sync::Arc;

use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use snafu::Snafu;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

use super::gate::GatedStream;

/// The root certificates are invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct InvalidCertificate {
    /// Why they are invalid.
    pub reason: Arc<str>,
}

/// Root certificates against which server certificates are verified. No others are trusted.
#[derive(Clone)]
pub struct RootCertificates(Arc<ClientConfig>);

impl RootCertificates {
    /// Parses the certificates of a PEM text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text contains no certificate or an invalid one.
    pub fn from_pem(text: &[u8]) -> Result<Self, InvalidCertificate> {
        let mut roots = RootCertStore::empty();
        for certificate in rustls_pemfile::certs(&mut &text[..]) {
            let certificate: CertificateDer<'static> =
                certificate.map_err(|error| invalid(&error))?;
            roots.add(certificate).map_err(|error| invalid(&error))?;
        }
        if roots.is_empty() {
            return Err(invalid(&"no certificate found in the PEM text"));
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|error| invalid(&error))?
            .with_root_certificates(roots)
            .with_no_client_auth();
        Ok(Self(Arc::new(config)))
    }

    /// Performs the TLS handshake with a server whose certificate must be valid for this IP address.
    pub(super) async fn handshake(
        &self,
        stream: GatedStream,
        address: SocketAddr,
    ) -> std::io::Result<TlsStream<GatedStream>> {
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
