//! A certificate authority of our own, for the demo and for tests.

use std::net::SocketAddr;
use std::sync::Arc;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::settings::{Limits, Settings};

/// An authority that signs instances' certificates, held in memory.
///
/// Operators of a real fleet use their own; nothing here stores or renews anything.
pub struct Authority {
    certificate: Arc<str>,
    issuer: Issuer<'static, KeyPair>,
}

/// What an authority issued to one instance.
#[derive(Clone)]
pub struct CertifiedKey {
    /// The instance's certificate, as PEM.
    pub certificate: Arc<str>,
    /// Its private key, as PEM.
    pub key: Arc<str>,
}

impl Authority {
    /// Makes an authority with a fresh key.
    ///
    /// # Errors
    ///
    /// When no key can be generated.
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

    /// The authority's certificate, as PEM.
    pub fn certificate(&self) -> Arc<str> {
        self.certificate.clone()
    }

    /// Signs a certificate for an instance.
    ///
    /// # Errors
    ///
    /// When the name cannot stand in a certificate or no key can be generated.
    pub fn issue(&self, instance: &str) -> Result<CertifiedKey, rcgen::Error> {
        self.issue_for_names(vec![instance.into()])
    }

    /// Signs a certificate with these DNS names, one or not.
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

    /// Settings for an instance that trusts this authority and got its certificate from it.
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
