//! TLS configuration of a listener.

use std::sync::Arc;

use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::TlsAcceptor;

use super::{CertificateSnafu, Error, Tls};

/// Creates a TLS acceptor from a certificate and key.
pub(super) fn acceptor(tls: &Tls) -> Result<TlsAcceptor, Error> {
    let chain: Vec<CertificateDer<'static>> = rustls_pemfile::certs(&mut &tls.certificate[..])
        .collect::<Result<_, _>>()
        .map_err(|error| invalid(&error))?;
    let key: Option<PrivateKeyDer<'static>> =
        rustls_pemfile::private_key(&mut &tls.key[..]).map_err(|error| invalid(&error))?;
    let Some(key) = key else {
        let reason: Arc<str> = "no private key found in the PEM text".into();
        return CertificateSnafu { reason }.fail();
    };
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| invalid(&error))?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(|error| invalid(&error))?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

fn invalid<Cause>(cause: &Cause) -> Error
where
    Cause: std::fmt::Display,
{
    Error::Certificate {
        reason: cause.to_string().into(),
    }
}
