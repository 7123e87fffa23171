//! In-memory certificate authority for the demo and for tests.

use std::net::SocketAddr;
use std::sync::Arc;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::settings::{Limits, Settings};

/// A certificate authority that signs instances' certificates and exists only in memory.
///
/// It is not meant for production: it does not store or renew certificates.
pub struct Authority {
    certificate: Arc<str>,
    issuer: Issuer<'static, KeyPair>,
}

/// A certificate and its private key, issued to one instance.
#[derive(Clone)]
pub struct CertifiedKey {
    /// The instance's certificate, as PEM.
    pub certificate: Arc<str>,
    /// The certificate's private key, as PEM.
    pub key: Arc<str>,
}

impl Authority {
    /// Creates an authority with a new key.
    ///
    /// # Errors
    ///
    /// When key generation fails.
    pub fn new(name: &str) -> Result<Self, rcgen::Error> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        params.distinguished_name.push(DnType::CommonName, name);
        let certificate = params.self_signed(&key)?.pem().into();
        let issuer = Issuer::new(params, key);
        Ok(Self {
            certificate,
            issuer,
        })
    }

    /// Returns the authority's certificate, as PEM.
    pub fn certificate(&self) -> Arc<str> {
        self.certificate.clone()
    }

    /// Issues a certificate for an instance.
    ///
    /// # Errors
    ///
    /// When the name is not a valid DNS name or key generation fails.
    pub fn issue(&self, instance: &str) -> Result<CertifiedKey, rcgen::Error> {
        self.issue_for_names(vec![instance.into()])
    }

    /// Issues a certificate with any number of DNS names; only one with exactly one name is accepted.
    ///
    /// # Errors
    ///
    /// Those of [`Self::issue`].
    pub fn issue_for_names(&self, names: Vec<String>) -> Result<CertifiedKey, rcgen::Error> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(names)?;
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(CertifiedKey {
            certificate: certificate.pem().into(),
            key: key.serialize_pem().into(),
        })
    }

    /// Returns settings for an instance with a certificate of this authority, which it also trusts.
    ///
    /// # Errors
    ///
    /// Those of [`Self::issue`].
    pub fn settings(&self, instance: &str, listen: SocketAddr) -> Result<Settings, rcgen::Error> {
        let issued = self.issue(instance)?;
        Ok(Settings {
            listen,
            certificate: issued.certificate,
            key: issued.key,
            authority: self.certificate(),
            limits: Limits::default(),
        })
    }
}
